//! Reads and writes of the platform's store: table, claims and lease.

use std::time::Duration;

use super::*;
use crate::claim::{self, StoredShard, WriteResult};
use crate::editor;
use crate::lease;
use crate::message::Message;
use crate::table::Edit;

/// Time between attempts to read the table while the box has an old version.
const TABLE_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which peers may send a newer table before it is read from the platform. A
/// peer's edits cost less than the platform's whole table.
const PEER_GRACE: Duration = Duration::from_millis(500);

/// Delay after which news is sent to peers.
pub(super) const NEWS_DELAY: Duration = Duration::from_millis(50);

impl Node {
    pub(super) fn tick_store(&mut self) {
        if self.is_behind() && self.now >= self.control.next_read {
            self.read_table();
        }
        let actions = self.claims.tick(self.now, self.wall_ms() / 1000);
        self.run_claim_actions(actions);
        let actions = self.editor.advance(self.now);
        self.run_edit_actions(actions);
        self.tick_lease();
        self.send_orders();
    }

    pub(super) fn on_read(
        &mut self,
        key: ObjectKey,
        answer: Option<(Version, Option<ObjectValue>)>,
    ) {
        if answer.is_some() {
            self.control.last_contact = Some(self.now);
        }
        match key {
            ObjectKey::Table => self.on_table_read(answer),
            ObjectKey::Claims(shard) => {
                let answer = answer.map(|(v, c)| match c {
                    Some(ObjectValue::Claims(entries)) => (v, entries),
                    _ => (v, StoredShard::default()),
                });
                let wall_secs = self.wall_ms() / 1000;
                let actions = self.claims.on_read(self.now, wall_secs, shard, answer);
                self.run_claim_actions(actions);
            }
            ObjectKey::Lease => {
                let answer = answer.map(|(v, c)| match c {
                    Some(ObjectValue::Lease(stored)) => (v, stored),
                    _ => (v, lease::StoredLease::default()),
                });
                self.lease.on_read(self.now, answer);
            }
        }
    }

    pub(super) fn on_written(&mut self, key: ObjectKey, value: ObjectValue, result: WriteResult) {
        if let WriteResult::Done(_) = result {
            self.control.last_contact = Some(self.now);
        }
        match (key, value) {
            (ObjectKey::Table, ObjectValue::Table(table)) => {
                if let WriteResult::Done(version) = result {
                    self.install_table(version, table.clone(), "edit");
                }
                let table = Table::clone(&table);
                let actions = self.editor.on_written(self.now, table, result);
                self.run_edit_actions(actions);
            }
            (ObjectKey::Claims(shard), ObjectValue::Claims(entries)) => {
                let wall_secs = self.wall_ms() / 1000;
                let actions = self
                    .claims
                    .on_written(self.now, wall_secs, shard, entries, result);
                self.run_claim_actions(actions);
            }
            (ObjectKey::Lease, ObjectValue::Lease(stored)) => self.on_lease_written(stored, result),
            _ => {}
        }
    }

    /// Puts a table in force if it is newer than the present one.
    pub(super) fn install_table(&mut self, version: Version, table: Arc<Table>, source: &str) {
        self.control.newest_version = self.control.newest_version.max(version);
        if version <= self.policy.version {
            return;
        }
        self.policy = Policy::new(version, &table);
        self.table = table;
        let record_kind = RecordKind::Table {
            version,
            source: source.into(),
        };
        self.record(None, record_kind);
        self.expedite_heartbeat();
        self.dispatch_all();
    }

    /// Handles a table version that the platform's watch returned.
    pub(super) fn on_table_version(&mut self, version: Version) {
        self.control.last_contact = Some(self.now);
        self.expect_version(version);
    }

    /// Handles the table version of a peer: asks the peer for the edits if it is newer.
    pub(super) fn on_peer_version(&mut self, version: Version, from: &BoxId, addr: &str) {
        if version <= self.policy.version {
            return;
        }
        self.expect_version(version);
        let since = self.policy.version;
        self.send(
            from.clone(),
            addr.into(),
            Message::FetchState { after: since },
        );
    }

    /// Applies the edits that a peer sent.
    pub(super) fn apply_edits(&mut self, version: Version, edits: &[Edit], hash: u64, from: &str) {
        let known = self.policy.version;
        let missing = version.saturating_sub(known) as usize;
        if missing == 0 || known == 0 || missing > edits.len() {
            return;
        }
        let mut table = Table::clone(&self.table);
        for edit in &edits[edits.len() - missing..] {
            match table.apply(edit) {
                Ok(next) => table = next,
                Err(_) => return,
            }
        }
        // The hash differs if a version was not made by an edit, such as one restored by
        // hand. The whole table is then read from the platform.
        if table.hash() == hash {
            self.install_table(version, Arc::new(table), from);
        }
    }

    fn expect_version(&mut self, version: Version) {
        if version > self.control.newest_version {
            self.control.newest_version = version;
            self.control.next_read = self.control.next_read.max(self.now + PEER_GRACE);
        }
    }

    fn is_behind(&self) -> bool {
        self.policy.version == 0 || self.policy.version < self.control.newest_version
    }

    pub(super) fn run_claim_actions(&mut self, actions: Vec<claim::ClaimAction>) {
        for action in actions {
            match action {
                claim::ClaimAction::Read(shard) => {
                    self.stats.reads += 1;
                    self.actions.push(Action::Read(ObjectKey::Claims(shard)));
                }
                claim::ClaimAction::Write(shard, version, entries) => {
                    self.stats.writes += 1;
                    let value = ObjectValue::Claims(entries);
                    self.actions
                        .push(Action::Write(ObjectKey::Claims(shard), version, value));
                }
                claim::ClaimAction::Respond(id, result) => match self.claim_askers.remove(&id) {
                    Some((to, addr)) => self.send(to, addr, Message::ClaimReply { id, result }),
                    None => self.on_claim_result(&id, result),
                },
            }
        }
    }

    pub(super) fn run_edit_actions(&mut self, actions: Vec<editor::EditAction>) {
        for action in actions {
            match action {
                editor::EditAction::Read => self.read_table(),
                editor::EditAction::Write(version, table) => {
                    self.stats.writes += 1;
                    let value = ObjectValue::Table(Arc::new(table));
                    self.actions
                        .push(Action::Write(ObjectKey::Table, version, value));
                }
                editor::EditAction::Respond(waiter, edit, answer) => {
                    let record_kind = RecordKind::Edit {
                        id: edit.id,
                        result: format!("{answer:?}"),
                    };
                    self.record(None, record_kind);
                    self.actions.push(Action::EditDone(waiter, answer));
                }
            }
        }
    }

    pub(super) fn run_lease_action(&mut self, action: lease::LeaseAction) {
        match action {
            lease::LeaseAction::Read => {
                self.stats.reads += 1;
                self.actions.push(Action::Read(ObjectKey::Lease));
            }
            lease::LeaseAction::Write(version, stored) => {
                self.stats.writes += 1;
                let value = ObjectValue::Lease(stored);
                self.actions
                    .push(Action::Write(ObjectKey::Lease, version, value));
            }
        }
    }

    /// Acquires or renews the lease. Only the box that owns the key `lease` does this, so
    /// that the other boxes make no calls.
    fn tick_lease(&mut self) {
        let owner = self.members.owner_of(self.now, "lease");
        let wanted = !self.policy.desired_states.is_empty() && !self.control.draining;
        if !wanted || owner.as_ref() != Some(&self.config.id) {
            return;
        }
        if let Some(action) = self.lease.tick(self.now) {
            self.run_lease_action(action);
        }
    }

    fn on_lease_written(&mut self, stored: lease::StoredLease, result: WriteResult) {
        let before = self.lease.term(self.now);
        self.lease.on_written(self.now, result);
        let after = self.lease.term(self.now);
        if before != after {
            let record_kind = RecordKind::Lease {
                name: "orders".into(),
                term: stored.term,
                held: after.is_some(),
            };
            self.record(None, record_kind);
        }
    }

    fn read_table(&mut self) {
        if std::mem::replace(&mut self.control.reading_table, true) {
            return;
        }
        self.control.next_read = self.now + TABLE_READ_INTERVAL;
        self.stats.reads += 1;
        self.actions.push(Action::Read(ObjectKey::Table));
    }

    fn on_table_read(&mut self, answer: Option<(Version, Option<ObjectValue>)>) {
        self.control.reading_table = false;
        let answer = answer.map(|(version, value)| match value {
            Some(ObjectValue::Table(table)) => (version, table),
            _ => (version, Arc::default()),
        });
        if let Some((version, table)) = &answer {
            self.install_table(*version, table.clone(), "platform");
        }
        if self.policy.version == 0 && answer.is_none() {
            self.fetch_from_seeds();
        }
        let answer = answer.map(|(v, t)| (v, Table::clone(&t)));
        let actions = self.editor.on_read(self.now, self.policy.version, answer);
        self.run_edit_actions(actions);
    }

    /// Asks the seed boxes of the settings for the table, so that a box can start while
    /// the platform is down.
    fn fetch_from_seeds(&mut self) {
        for addr in self.config.seeds.clone() {
            self.send("".into(), addr, Message::FetchState { after: 0 });
        }
    }
}

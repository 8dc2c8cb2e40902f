//! What a node reads from and writes to the platform's store.

use std::time::Duration;

use super::*;
use crate::claim::{self, StoredShard, WriteResult};
use crate::editor;
use crate::lease;
use crate::message::Message;
use crate::table::Edit;

/// Pause between tries to read the table while the box is behind.
const TABLE_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which peers may bring a newer table, which costs less than the
/// platform's whole one.
const PEER_GRACE: Duration = Duration::from_millis(500);

/// Time after news in which they are told to peers.
pub(super) const NEWS_DELAY: Duration = Duration::from_millis(50);

impl Node {
    pub(super) fn tick_store(&mut self) {
        if self.is_behind() && self.now >= self.control.next_read {
            self.read_table();
        }
        let steps = self.claims.tick(self.now, self.wall_ms() / 1000);
        self.run_claim_steps(steps);
        let steps = self.editor.advance(self.now);
        self.run_edit_steps(steps);
        self.tick_lease();
        self.send_orders();
    }

    pub(super) fn on_read(
        &mut self,
        object: ObjectKey,
        answer: Option<(Version, Option<ObjectValue>)>,
    ) {
        if answer.is_some() {
            self.control.last_contact = Some(self.now);
        }
        match object {
            ObjectKey::Table => self.on_table_read(answer),
            ObjectKey::Claims(shard) => {
                let answer = answer.map(|(v, c)| match c {
                    Some(ObjectValue::Claims(entries)) => (v, entries),
                    _ => (v, StoredShard::default()),
                });
                let wall = self.wall_ms() / 1000;
                let steps = self.claims.on_read(self.now, wall, shard, answer);
                self.run_claim_steps(steps);
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

    pub(super) fn on_written(
        &mut self,
        object: ObjectKey,
        content: ObjectValue,
        result: WriteResult,
    ) {
        if let WriteResult::Done(_) = result {
            self.control.last_contact = Some(self.now);
        }
        match (object, content) {
            (ObjectKey::Table, ObjectValue::Table(table)) => {
                if let WriteResult::Done(version) = result {
                    self.install_table(version, table.clone(), "edit");
                }
                let table = Table::clone(&table);
                let steps = self.editor.on_written(self.now, table, result);
                self.run_edit_steps(steps);
            }
            (ObjectKey::Claims(shard), ObjectValue::Claims(entries)) => {
                let wall = self.wall_ms() / 1000;
                let steps = self
                    .claims
                    .on_written(self.now, wall, shard, entries, result);
                self.run_claim_steps(steps);
            }
            (ObjectKey::Lease, ObjectValue::Lease(stored)) => self.on_lease_written(stored, result),
            _ => {}
        }
    }

    /// Puts a table in force, unless it is older than the one that is.
    pub(super) fn install_table(&mut self, version: Version, table: Arc<Table>, source: &str) {
        self.control.newest_version = self.control.newest_version.max(version);
        if version <= self.policy.version {
            return;
        }
        self.policy = Policy::new(version, &table);
        self.table = table;
        let what = RecordKind::Table {
            version,
            source: source.into(),
        };
        self.record(None, what);
        self.expedite_heartbeat();
        self.dispatch_all();
    }

    /// Notes a version that the platform has.
    pub(super) fn on_table_version(&mut self, version: Version) {
        self.control.last_contact = Some(self.now);
        self.expect_version(version);
    }

    /// Notes a version that a peer has in force, and asks it for the edits.
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

    /// Takes over the edits that a peer sent.
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
        // A version that no edit made, such as one restored by hand, shows
        // here; the whole table is then read from the platform.
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

    pub(super) fn run_claim_steps(&mut self, steps: Vec<claim::ClaimAction>) {
        for step in steps {
            match step {
                claim::ClaimAction::Read(shard) => {
                    self.stats.reads += 1;
                    self.actions.push(Action::Read(ObjectKey::Claims(shard)));
                }
                claim::ClaimAction::Write(shard, version, entries) => {
                    self.stats.writes += 1;
                    let content = ObjectValue::Claims(entries);
                    self.actions
                        .push(Action::Write(ObjectKey::Claims(shard), version, content));
                }
                claim::ClaimAction::Respond(id, verdict) => match self.claim_askers.remove(&id) {
                    Some((to, addr)) => self.send(
                        to,
                        addr,
                        Message::ClaimReply {
                            id,
                            result: verdict,
                        },
                    ),
                    None => self.on_verdict(&id, verdict),
                },
            }
        }
    }

    pub(super) fn run_edit_steps(&mut self, steps: Vec<editor::EditAction>) {
        for step in steps {
            match step {
                editor::EditAction::Read => self.read_table(),
                editor::EditAction::Write(version, table) => {
                    self.stats.writes += 1;
                    let content = ObjectValue::Table(Arc::new(table));
                    self.actions
                        .push(Action::Write(ObjectKey::Table, version, content));
                }
                editor::EditAction::Respond(ticket, edit, answer) => {
                    let what = RecordKind::Edit {
                        id: edit.id,
                        result: format!("{answer:?}"),
                    };
                    self.record(None, what);
                    self.actions.push(Action::EditAnswer(ticket, answer));
                }
            }
        }
    }

    pub(super) fn run_lease_step(&mut self, step: lease::LeaseAction) {
        match step {
            lease::LeaseAction::Read => {
                self.stats.reads += 1;
                self.actions.push(Action::Read(ObjectKey::Lease));
            }
            lease::LeaseAction::Write(version, stored) => {
                self.stats.writes += 1;
                let content = ObjectValue::Lease(stored);
                self.actions
                    .push(Action::Write(ObjectKey::Lease, version, content));
            }
        }
    }

    /// Only the lease's home box asks for it, so that the others cost nothing.
    fn tick_lease(&mut self) {
        let home = self.members.owner_of(self.now, "lease");
        let wanted = !self.policy.desired_states.is_empty() && !self.control.draining;
        if !wanted || home.as_ref() != Some(&self.config.id) {
            return;
        }
        if let Some(step) = self.lease.tick(self.now) {
            self.run_lease_step(step);
        }
    }

    fn on_lease_written(&mut self, stored: lease::StoredLease, result: WriteResult) {
        let before = self.lease.term(self.now);
        self.lease.on_written(self.now, result);
        let after = self.lease.term(self.now);
        if before != after {
            let what = RecordKind::Lease {
                name: "orders".into(),
                term: stored.term,
                held: after.is_some(),
            };
            self.record(None, what);
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
        let answer = answer.map(|(version, content)| match content {
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
        let steps = self.editor.on_read(self.now, self.policy.version, answer);
        self.run_edit_steps(steps);
    }

    /// Asks the boxes named in the settings, for a start during an outage.
    fn fetch_from_seeds(&mut self) {
        for addr in self.config.seeds.clone() {
            self.send("".into(), addr, Message::FetchState { after: 0 });
        }
    }
}

//! What a node reads from and writes to the platform's store.

use std::time::Duration;

use super::*;
use crate::claim::{self, Entries, Written};
use crate::editor;
use crate::lease;
use crate::message::Message;
use crate::table::Edit;

/// Pause between tries to read the table while the box is behind.
const TABLE_PAUSE: Duration = Duration::from_millis(500);

/// Time in which peers may bring a newer table, which costs less than the
/// platform's whole one.
const PEER_TIME: Duration = Duration::from_millis(500);

/// Time after news in which they are told to peers.
pub(super) const NEWS_TIME: Duration = Duration::from_millis(50);

impl Node {
    pub(super) fn tick_store(&mut self) {
        if self.is_behind() && self.now >= self.fleet.read_at {
            self.read_table();
        }
        let steps = self.claims.tick(self.now, self.wall() / 1000);
        self.claim_steps(steps);
        let steps = self.editor.advance(self.now);
        self.edit_steps(steps);
        self.tick_lease();
        self.send_orders();
    }

    pub(super) fn read(&mut self, object: Object, answer: Option<(Version, Option<Content>)>) {
        if answer.is_some() {
            self.fleet.heard = Some(self.now);
        }
        match object {
            Object::Table => self.table_read(answer),
            Object::Claims(shard) => {
                let answer = answer.map(|(v, c)| match c {
                    Some(Content::Claims(entries)) => (v, entries),
                    _ => (v, Entries::default()),
                });
                let wall = self.wall() / 1000;
                let steps = self.claims.read(self.now, wall, shard, answer);
                self.claim_steps(steps);
            }
            Object::Lease => {
                let answer = answer.map(|(v, c)| match c {
                    Some(Content::Lease(stored)) => (v, stored),
                    _ => (v, lease::Stored::default()),
                });
                self.lease.read(self.now, answer);
            }
        }
    }

    pub(super) fn written(&mut self, object: Object, content: Content, result: Written) {
        if let Written::Done(_) = result {
            self.fleet.heard = Some(self.now);
        }
        match (object, content) {
            (Object::Table, Content::Table(table)) => {
                if let Written::Done(version) = result {
                    self.install(version, table.clone(), "edit");
                }
                let table = Table::clone(&table);
                let steps = self.editor.written(self.now, table, result);
                self.edit_steps(steps);
            }
            (Object::Claims(shard), Content::Claims(entries)) => {
                let wall = self.wall() / 1000;
                let steps = self.claims.written(self.now, wall, shard, entries, result);
                self.claim_steps(steps);
            }
            (Object::Lease, Content::Lease(stored)) => self.lease_written(stored, result),
            _ => {}
        }
    }

    /// Puts a table in force, unless it is older than the one that is.
    pub(super) fn install(&mut self, version: Version, table: Arc<Table>, source: &str) {
        self.fleet.newest = self.fleet.newest.max(version);
        if version <= self.policy.version {
            return;
        }
        self.policy = Policy::new(version, &table);
        self.table = table;
        let what = What::Table {
            version,
            source: source.into(),
        };
        self.note(None, what);
        self.tell_news();
        self.dispatch_all();
    }

    /// Notes a version that the platform has.
    pub(super) fn see_version(&mut self, version: Version) {
        self.fleet.heard = Some(self.now);
        self.await_version(version);
    }

    /// Notes a version that a peer has in force, and asks it for the edits.
    pub(super) fn hear_version(&mut self, version: Version, from: &BoxId, addr: &str) {
        if version <= self.policy.version {
            return;
        }
        self.await_version(version);
        let since = self.policy.version;
        self.send(from.clone(), addr.into(), Message::FetchState { since });
    }

    /// Takes over the edits that a peer sent.
    pub(super) fn take_edits(&mut self, version: Version, edits: &[Edit], hash: u64, from: &str) {
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
            self.install(version, Arc::new(table), from);
        }
    }

    fn await_version(&mut self, version: Version) {
        if version > self.fleet.newest {
            self.fleet.newest = version;
            self.fleet.read_at = self.fleet.read_at.max(self.now + PEER_TIME);
        }
    }

    fn is_behind(&self) -> bool {
        self.policy.version == 0 || self.policy.version < self.fleet.newest
    }

    pub(super) fn claim_steps(&mut self, steps: Vec<claim::Step>) {
        for step in steps {
            match step {
                claim::Step::Read(shard) => {
                    self.stats.reads += 1;
                    self.out.push(Action::Read(Object::Claims(shard)));
                }
                claim::Step::Write(shard, version, entries) => {
                    self.stats.writes += 1;
                    let content = Content::Claims(entries);
                    self.out
                        .push(Action::Write(Object::Claims(shard), version, content));
                }
                claim::Step::Tell(id, verdict) => match self.asked_for.remove(&id) {
                    Some((to, addr)) => self.send(to, addr, Message::TellClaim { id, verdict }),
                    None => self.claim_told(&id, verdict),
                },
            }
        }
    }

    pub(super) fn edit_steps(&mut self, steps: Vec<editor::Step>) {
        for step in steps {
            match step {
                editor::Step::Read => self.read_table(),
                editor::Step::Write(version, table) => {
                    self.stats.writes += 1;
                    let content = Content::Table(Arc::new(table));
                    self.out
                        .push(Action::Write(Object::Table, version, content));
                }
                editor::Step::Tell(ticket, edit, answer) => {
                    let what = What::Edit {
                        id: edit.id,
                        result: format!("{answer:?}"),
                    };
                    self.note(None, what);
                    self.out.push(Action::Edited(ticket, answer));
                }
            }
        }
    }

    pub(super) fn lease_step(&mut self, step: lease::Step) {
        match step {
            lease::Step::Read => {
                self.stats.reads += 1;
                self.out.push(Action::Read(Object::Lease));
            }
            lease::Step::Write(version, stored) => {
                self.stats.writes += 1;
                let content = Content::Lease(stored);
                self.out
                    .push(Action::Write(Object::Lease, version, content));
            }
        }
    }

    /// Only the lease's home box asks for it, so that the others cost nothing.
    fn tick_lease(&mut self) {
        let home = self.members.home(self.now, "lease");
        let wanted = !self.policy.goals.is_empty() && !self.fleet.draining;
        if !wanted || home.as_ref() != Some(&self.config.id) {
            return;
        }
        if let Some(step) = self.lease.tick(self.now) {
            self.lease_step(step);
        }
    }

    fn lease_written(&mut self, stored: lease::Stored, result: Written) {
        let before = self.lease.term(self.now);
        self.lease.written(self.now, result);
        let after = self.lease.term(self.now);
        if before != after {
            let what = What::Lease {
                name: "orders".into(),
                term: stored.term,
                held: after.is_some(),
            };
            self.note(None, what);
        }
    }

    fn read_table(&mut self) {
        if std::mem::replace(&mut self.fleet.reading, true) {
            return;
        }
        self.fleet.read_at = self.now + TABLE_PAUSE;
        self.stats.reads += 1;
        self.out.push(Action::Read(Object::Table));
    }

    fn table_read(&mut self, answer: Option<(Version, Option<Content>)>) {
        self.fleet.reading = false;
        let answer = answer.map(|(version, content)| match content {
            Some(Content::Table(table)) => (version, table),
            _ => (version, Arc::default()),
        });
        if let Some((version, table)) = &answer {
            self.install(*version, table.clone(), "platform");
        }
        if self.policy.version == 0 && answer.is_none() {
            self.fetch_first();
        }
        let answer = answer.map(|(v, t)| (v, Table::clone(&t)));
        let steps = self.editor.read(self.now, self.policy.version, answer);
        self.edit_steps(steps);
    }

    /// Asks the boxes named in the settings, for a start during an outage.
    fn fetch_first(&mut self) {
        for addr in self.config.seeds.clone() {
            self.send("".into(), addr, Message::FetchState { since: 0 });
        }
    }
}

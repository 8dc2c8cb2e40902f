//! Follows the store: what is in force, who is there, and how sure that is.
//!
//! A few boxes read the store ([`watch`], [`prove`]); the others ask them
//! ([`ask`]). Either way what is learned comes in here. The store may come back from a
//! copy of an earlier state ([`returns`]).

mod ask;
mod prove;
mod returns;
mod watch;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::asker::Poller;
use ashgauge::member::UpstreamId;
use ashgauge::mirror::{Change, ChangeKind, Revision};
use ashgauge::revision;
use ashgauge::upstream::Upstream;
use platform::{StoreError, config, servers};
use serde_json::json;
use spdlog::Level;
use tokio::sync::{Notify, mpsc};

use super::desk::Desk;
use super::peers::{Heard, Peers};
use super::{census, log, quarantine};

/// How long after the store's return entries may be missing though their
/// upstreams live; the users' figure.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Upstreams that come together with a line each.
const LINES_MOST: usize = 64;

/// What the following tasks tell each other.
pub struct Follower {
    desk: Rc<Desk>,
    /// The way to the other boxes, if there is one.
    peers: Option<Rc<Peers>>,
    /// Whom this box asks.
    asker: RefCell<Poller>,
    /// Revision up to which the configuration is known; nothing until it was
    /// read, or once the history behind it is gone.
    config_at: Cell<Option<Revision>>,
    /// The same for the list of upstreams.
    servers_at: Cell<Option<Revision>>,
    /// The configuration in force, as other boxes are handed it.
    in_force: RefCell<Option<Vec<u8>>>,
    /// Whether the first proof was left to the watches' first reading.
    begun: Cell<bool>,
    /// Whether other boxes learn from this one.
    is_shared: Cell<bool>,
    /// When the readers were chosen last.
    chosen: Cell<Duration>,
    /// When boxes may be looked for again as those that were asked are silent.
    look_at: Cell<Duration>,
    /// When a call to the store last failed, while it is away.
    failed: Cell<Option<Duration>>,
    /// What is not sure since the store came back from a copy.
    doubts: returns::Doubts,
    /// When the store last came back.
    returned: Cell<Option<Duration>>,
    /// Ends the watches, which may hang on dead connections, and begins them
    /// anew.
    restart: Notify,
    /// Asks for a proof at once.
    check: Notify,
    /// A watch has brought something.
    changed: Notify,
}

impl Follower {
    /// Starts following; the tasks run as long as the process.
    pub fn start(desk: Rc<Desk>, peers: Option<(Rc<Peers>, mpsc::Receiver<Heard>)>) {
        let (peers, heard) = peers.unzip();
        let follower = Rc::new(Follower {
            desk,
            peers,
            asker: RefCell::default(),
            config_at: Cell::new(None),
            servers_at: Cell::new(None),
            in_force: RefCell::default(),
            begun: Cell::new(false),
            is_shared: Cell::new(false),
            chosen: Cell::new(Duration::ZERO),
            look_at: Cell::new(Duration::ZERO),
            failed: Cell::new(None),
            doubts: returns::Doubts::default(),
            returned: Cell::new(None),
            restart: Notify::new(),
            check: Notify::new(),
            changed: Notify::new(),
        });
        tokio::task::spawn_local(follower.clone().confirm());
        tokio::task::spawn_local(follower.clone().follow_config());
        tokio::task::spawn_local(follower.clone().follow_servers());
        tokio::task::spawn_local(census::count(follower.desk.clone()));
        tokio::task::spawn_local(census::renew(follower.desk.clone()));
        tokio::task::spawn_local(quarantine::renew(follower.desk.clone()));
        tokio::task::spawn_local(follower.clone().follow_clock());
        tokio::task::spawn_local(follower.clone().follow_returns());
        match heard.filter(|_| follower.desk.settings().shares_reading()) {
            Some(heard) => drop(tokio::task::spawn_local(follower.ask(heard))),
            None => {
                follower.desk.reads.send_replace(true);
                tokio::task::spawn_local(quarantine::read(follower.desk.clone()));
            }
        }
    }

    /// Begins watches and proofs anew after the machine was suspended: what they wait
    /// for may have died meanwhile.
    async fn follow_clock(self: Rc<Self>) {
        let mut woken = self.desk.clock.woken();
        // The clock lives as long as the desk.
        while woken.changed().await.is_ok() {
            self.restart.notify_waiters();
            self.check.notify_one();
        }
    }

    /// Waits until this box reads the store itself.
    async fn until_reader(&self) {
        let mut reads = self.desk.reads.subscribe();
        // The sender lives as long as the desk.
        let _ = reads.wait_for(|reads| *reads).await;
    }

    async fn read_config(&self) -> Result<(), StoreError> {
        let asked = self.desk.now();
        let read = config::read(&self.desk.store, skipped).await;
        self.desk.count_call("list", &read);
        let (config, at) = read?;
        match config {
            Some((config, revision)) => {
                self.adopt(config, revision)?;
                self.desk.fresh.borrow_mut().confirm(asked);
            }
            None => self.desk.vacant_at.set(Some(asked)),
        }
        advance(&self.config_at, at);
        self.note_read();
        Ok(())
    }

    /// Puts a configuration in force unless a newer one is.
    fn adopt(&self, config: config::Config, revision: Revision) -> Result<(), StoreError> {
        let bytes = config.to_bytes()?;
        self.desk.mirror.borrow_mut().set_config(revision, bytes);
        self.put_in_force(config)
    }

    /// Puts a configuration in force; one that is older than that in force goes to no other
    /// box either.
    fn put_in_force(&self, config: config::Config) -> Result<(), StoreError> {
        let desk = &self.desk;
        let old = desk.routing.borrow().version;
        let is_newer = config.version() > old;
        if is_newer {
            *self.in_force.borrow_mut() = Some(config.to_bytes()?);
        }
        if let Some(bytes) = &*self.in_force.borrow() {
            desk.mirror.borrow_mut().restore_config(bytes.clone());
        }
        if !is_newer {
            return Ok(());
        }
        let routing = config::decode(config);
        let version = routing.version;
        desk.metrics.version.set(version as i64);
        *desk.routing.borrow_mut() = Arc::new(routing);
        let fields = json!({"version": version, "before": old});
        log::line(Level::Info, "config", "in force", fields);
        Ok(())
    }

    /// Reads all entries; returns whether they held something that no watch had
    /// brought.
    async fn read_servers(&self) -> Result<bool, StoreError> {
        let read = servers::list(&self.desk.store, skipped).await;
        self.desk.count_call("list", &read);
        let (list, at) = read?;
        let count = list.len();
        // A watch may have overtaken the list.
        let list: Vec<Upstream> = {
            let mut mirror = self.desk.mirror.borrow_mut();
            mirror.replace_all(at, list);
            mirror.upstreams().cloned().collect()
        };
        let missed = self.log_changed(&list, at);
        let gives_up = list.iter().any(|u| self.gives_up(u));
        let (now, sure) = (self.desk.now(), !self.is_unsure());
        self.desk.roster.borrow_mut().replace(now, list, sure);
        let fields = json!({"upstreams": count, "at": revision::count(at), "sure": sure});
        log::line(Level::Info, "roster", "listed", fields);
        if gives_up {
            self.desk.wake_streams();
        }
        self.desk.listed.set(true);
        advance(&self.servers_at, at);
        self.note_read();
        Ok(missed)
    }

    /// Writes a line for each upstream of a list that no watch had brought;
    /// returns whether there was one.
    fn log_changed(&self, list: &[Upstream], at: Revision) -> bool {
        let roster = self.desk.roster.borrow();
        let is_known = |u: &Upstream| roster.get(&u.id).is_some_and(|e| e.upstream == *u);
        let changed: Vec<_> = list.iter().filter(|u| !is_known(u)).collect();
        if has_lines(changed.len()) {
            changed.iter().for_each(|u| log_announced(u, at));
        }
        !changed.is_empty()
    }

    /// Notes that everything up to what was read of both kinds is known.
    fn note_read(&self) {
        if let (Some(config), Some(servers)) = (self.config_at.get(), self.servers_at.get()) {
            self.desk
                .mirror
                .borrow_mut()
                .mark_read_to(config.min(servers));
        }
        self.desk.note_read();
    }

    /// Acts on changes that are news.
    fn apply(&self, changes: Vec<Change>, sure: bool) {
        let has_lines = has_lines(changes.len());
        for change in changes {
            match change.kind {
                ChangeKind::Config(_) => {}
                ChangeKind::Put(upstream) => {
                    if has_lines {
                        log_announced(&upstream, change.revision);
                    }
                    self.put(upstream);
                }
                ChangeKind::Removed(id) => self.remove(&id, change.revision, sure),
            }
        }
    }

    fn put(&self, upstream: Upstream) {
        let gives_up = self.gives_up(&upstream);
        self.desk.roster.borrow_mut().put(upstream);
        if gives_up {
            self.desk.wake_streams();
        }
    }

    fn remove(&self, id: &UpstreamId, revision: Revision, sure: bool) {
        let fields =
            json!({"upstream": &**id, "revision": revision::count(revision), "sure": sure});
        log::line(Level::Info, "roster", "gone", fields);
        let now = self.desk.now();
        let mut roster = self.desk.roster.borrow_mut();
        match sure {
            true => roster.remove(now, id),
            false => roster.mark_missing(now, id),
        }
    }

    /// Whether an upstream begins to leave, or gives up layers that it held.
    fn gives_up(&self, upstream: &Upstream) -> bool {
        let roster = self.desk.roster.borrow();
        let before = roster.get(&upstream.id).map(|e| &e.upstream);
        before.is_some_and(|b| {
            let leaves = upstream.leaving && !b.leaving;
            leaves || (b.layers.is_some() && b.layers != upstream.layers)
        })
    }

    /// Tells the boxes that learn from this one that there is something new.
    async fn spread_news(&self) {
        if let Some(peers) = &self.peers {
            peers.spread_news().await;
        }
    }

    /// Whether entries may be missing only because the store was away, or passed over as
    /// they had been removed before it came back.
    fn is_unsure(&self) -> bool {
        let now = self.desk.now();
        let is_away = self.failed.get().is_some();
        let has_returned = self.returned.get().is_some_and(|t| now < t + RETURN_TIME);
        is_away || has_returned || self.doubts.settling.get()
    }

    /// Keeps what other boxes are told of it up to date.
    fn note_sure(&self) {
        self.desk.sure.set(!self.is_unsure());
    }

    /// Notes that a call failed, with one line for each time the store goes.
    fn lost(&self, what: &str, fault: &StoreError) {
        if matches!(fault, StoreError::HistoryGone) {
            log::line(Level::Info, "store", "history gone", json!({"watch": what}));
            return;
        }
        self.desk.store_away.set(true);
        self.desk.sure.set(false);
        let first = self.failed.replace(Some(self.desk.now())).is_none();
        if first {
            let fields = json!({"call": what, "fault": fault.to_string()});
            log::line(Level::Warn, "store", "lost", fields);
        }
    }

    async fn regained(&self) {
        let Some(last) = self.failed.take() else {
            return;
        };
        let now = self.desk.now();
        self.returned.set(Some(now));
        self.desk.store_away.set(false);
        let fields = json!({"last_failure_ms": (now - last).as_millis() as u64});
        log::line(Level::Info, "store", "regained", fields);
        self.restart.notify_waiters();
        self.spread_news().await;
    }
}

/// Moves a known revision on; a reading that was overtaken does not move it
/// back.
fn advance(known: &Cell<Option<Revision>>, at: Revision) {
    known.set(known.get().max(Some(at)));
}

/// Whether so many upstreams that came together get a line each; else one line
/// says how many there were. Where a fleet starts all of them come to each box.
fn has_lines(count: usize) -> bool {
    if count > LINES_MOST {
        log::line(
            Level::Info,
            "roster",
            "many announced",
            json!({"upstreams": count}),
        );
    }
    count <= LINES_MOST
}

fn log_announced(upstream: &Upstream, revision: Revision) {
    let fields = json!({
        "upstream": &*upstream.id,
        "addr": upstream.addr,
        "leaving": upstream.leaving,
        "layers": upstream.layers,
        "revision": revision::count(revision),
    });
    log::line(Level::Info, "roster", "announced", fields);
}

/// Writes a line for an object of the store that cannot be read.
pub fn skipped(name: &str, fault: &StoreError) {
    let fields = json!({"object": name, "fault": fault.to_string()});
    log::line(Level::Warn, "store", "object cannot be read", fields);
}

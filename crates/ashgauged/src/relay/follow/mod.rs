//! Follows the store: what is in force, who is there, and how sure that is.
//!
//! A few boxes read the store ([`watch`], [`prove`]); the others ask them
//! ([`ask`]). Either way what is learned comes in here. The store may come back from a
//! copy of an earlier state ([`returns`]).

mod poll;
mod revision_check;
mod store_restore;
mod watch;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::member::UpstreamId;
use ashgauge::mirror::{Change, ChangeKind, Revision};
use ashgauge::poller::Poller;
use ashgauge::revision;
use ashgauge::upstream::Upstream;
use platform::{StoreError, config, servers};
use serde_json::json;
use spdlog::Level;
use tokio::sync::{Notify, mpsc};

use super::peers::{PeerMessage, Peers};
use super::shared_state::SharedState;
use super::{log, membership, quarantine};

/// How long after the store's return entries may be missing though their
/// upstreams live; the users' figure.
const RESTORE_GRACE: Duration = Duration::from_secs(2);

/// Upstreams that come together with a line each.
const MAX_LOGGED_UPSTREAMS: usize = 64;

/// What the following tasks tell each other.
pub struct StoreFollower {
    shared: Rc<SharedState>,
    /// The way to the other boxes, if there is one.
    peers: Option<Rc<Peers>>,
    /// Whom this box asks.
    asker: RefCell<Poller>,
    /// Revision up to which the configuration is known; nothing until it was
    /// read, or once the history behind it is gone.
    config_revision: Cell<Option<Revision>>,
    /// The same for the list of upstreams.
    upstreams_revision: Cell<Option<Revision>>,
    /// The configuration in force, as other boxes are handed it.
    active_config: RefCell<Option<Vec<u8>>>,
    /// Whether the first proof was left to the watches' first reading.
    first_read: Cell<bool>,
    /// Whether other boxes learn from this one.
    is_shared: Cell<bool>,
    /// When the readers were chosen last.
    chosen_at: Cell<Duration>,
    /// When boxes may be looked for again as those that were asked are silent.
    refresh_at: Cell<Duration>,
    /// When a call to the store last failed, while it is away.
    failed_at: Cell<Option<Duration>>,
    /// What is not sure since the store came back from a copy.
    restore: store_restore::RestoreState,
    /// When the store last came back.
    returned_at: Cell<Option<Duration>>,
    /// Ends the watches, which may hang on dead connections, and begins them
    /// anew.
    restart: Notify,
    /// Asks for a proof at once.
    check_now: Notify,
    /// A watch has brought something.
    changed: Notify,
}

impl StoreFollower {
    /// Starts following; the tasks run as long as the process.
    pub fn start(shared: Rc<SharedState>, peers: Option<(Rc<Peers>, mpsc::Receiver<PeerMessage>)>) {
        let (peers, heard) = peers.unzip();
        let follower = Rc::new(StoreFollower {
            shared,
            peers,
            asker: RefCell::default(),
            config_revision: Cell::new(None),
            upstreams_revision: Cell::new(None),
            active_config: RefCell::default(),
            first_read: Cell::new(false),
            is_shared: Cell::new(false),
            chosen_at: Cell::new(Duration::ZERO),
            refresh_at: Cell::new(Duration::ZERO),
            failed_at: Cell::new(None),
            restore: store_restore::RestoreState::default(),
            returned_at: Cell::new(None),
            restart: Notify::new(),
            check_now: Notify::new(),
            changed: Notify::new(),
        });
        tokio::task::spawn_local(follower.clone().confirm_loop());
        tokio::task::spawn_local(follower.clone().follow_config());
        tokio::task::spawn_local(follower.clone().follow_upstreams());
        tokio::task::spawn_local(membership::follow_members(follower.shared.clone()));
        tokio::task::spawn_local(membership::reannounce(follower.shared.clone()));
        tokio::task::spawn_local(quarantine::restore_held(follower.shared.clone()));
        tokio::task::spawn_local(follower.clone().follow_suspensions());
        tokio::task::spawn_local(follower.clone().follow_restores());
        match heard.filter(|_| follower.shared.settings().shares_reading()) {
            Some(heard) => drop(tokio::task::spawn_local(follower.poll_readers(heard))),
            None => {
                follower.shared.reads_store.send_replace(true);
                tokio::task::spawn_local(quarantine::load_held(follower.shared.clone()));
            }
        }
    }

    /// Begins watches and proofs anew after the machine was suspended: what they wait
    /// for may have died meanwhile.
    async fn follow_suspensions(self: Rc<Self>) {
        let mut woken = self.shared.clock.resumptions();
        // The clock lives as long as the desk.
        while woken.changed().await.is_ok() {
            self.restart.notify_waiters();
            self.check_now.notify_one();
        }
    }

    /// Waits until this box reads the store itself.
    async fn wait_until_reader(&self) {
        let mut reads = self.shared.reads_store.subscribe();
        // The sender lives as long as the desk.
        let _ = reads.wait_for(|reads| *reads).await;
    }

    async fn read_config(&self) -> Result<(), StoreError> {
        let asked = self.shared.now();
        let read = config::read(&self.shared.store, log_skipped).await;
        self.shared.count_store_call("list", &read);
        let (config, at) = read?;
        match config {
            Some((config, revision)) => {
                self.apply_config(config, revision)?;
                self.shared.freshness.borrow_mut().confirm(asked);
            }
            None => self.shared.config_missing_at.set(Some(asked)),
        }
        advance_revision(&self.config_revision, at);
        self.update_covered();
        Ok(())
    }

    /// Puts a configuration in force unless a newer one is.
    fn apply_config(&self, config: config::Config, revision: Revision) -> Result<(), StoreError> {
        let bytes = config.to_bytes()?;
        self.shared.mirror.borrow_mut().set_config(revision, bytes);
        self.activate_config(config)
    }

    /// Puts a configuration in force; one that is older than that in force goes to no other
    /// box either.
    fn activate_config(&self, config: config::Config) -> Result<(), StoreError> {
        let shared = &self.shared;
        let old = shared.routing.borrow().version;
        let is_newer = config.version() > old;
        if is_newer {
            *self.active_config.borrow_mut() = Some(config.to_bytes()?);
        }
        if let Some(bytes) = &*self.active_config.borrow() {
            shared.mirror.borrow_mut().restore_config(bytes.clone());
        }
        if !is_newer {
            return Ok(());
        }
        let routing = config::decode(config);
        let version = routing.version;
        shared.metrics.config_version.set(version as i64);
        *shared.routing.borrow_mut() = Arc::new(routing);
        let fields = json!({"version": version, "before": old});
        log::event(Level::Info, "config", "in force", fields);
        Ok(())
    }

    /// Reads all entries; returns whether they held something that no watch had
    /// brought.
    async fn read_upstreams(&self) -> Result<bool, StoreError> {
        let read = servers::list(&self.shared.store, log_skipped).await;
        self.shared.count_store_call("list", &read);
        let (list, at) = read?;
        let count = list.len();
        // A watch may have overtaken the list.
        let list: Vec<Upstream> = {
            let mut mirror = self.shared.mirror.borrow_mut();
            mirror.replace_all(at, list);
            mirror.upstreams().cloned().collect()
        };
        let missed = self.log_changed(&list, at);
        let gives_up = list.iter().any(|u| self.reduces_layers(u));
        let (now, sure) = (self.shared.now(), !self.has_uncertain_removals());
        self.shared.registry.borrow_mut().replace(now, list, sure);
        let fields = json!({"upstreams": count, "at": revision::count(at), "sure": sure});
        log::event(Level::Info, "roster", "listed", fields);
        if gives_up {
            self.shared.notify_streams();
        }
        self.shared.upstreams_listed.set(true);
        advance_revision(&self.upstreams_revision, at);
        self.update_covered();
        Ok(missed)
    }

    /// Writes a line for each upstream of a list that no watch had brought;
    /// returns whether there was one.
    fn log_changed(&self, list: &[Upstream], at: Revision) -> bool {
        let registry = self.shared.registry.borrow();
        let is_known = |u: &Upstream| registry.get(&u.id).is_some_and(|e| e.upstream == *u);
        let changed: Vec<_> = list.iter().filter(|u| !is_known(u)).collect();
        if may_log_each(changed.len()) {
            changed.iter().for_each(|u| log_announced(u, at));
        }
        !changed.is_empty()
    }

    /// Notes that everything up to what was read of both kinds is known.
    fn update_covered(&self) {
        if let (Some(config), Some(servers)) =
            (self.config_revision.get(), self.upstreams_revision.get())
        {
            self.shared
                .mirror
                .borrow_mut()
                .mark_read_to(config.min(servers));
        }
        self.shared.update_synced();
    }

    /// Acts on changes that are news.
    fn apply_changes(&self, changes: Vec<Change>, sure: bool) {
        let has_lines = may_log_each(changes.len());
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
        let gives_up = self.reduces_layers(&upstream);
        self.shared.registry.borrow_mut().put(upstream);
        if gives_up {
            self.shared.notify_streams();
        }
    }

    fn remove(&self, id: &UpstreamId, revision: Revision, sure: bool) {
        let fields =
            json!({"upstream": &**id, "revision": revision::count(revision), "sure": sure});
        log::event(Level::Info, "roster", "gone", fields);
        let now = self.shared.now();
        let mut registry = self.shared.registry.borrow_mut();
        match sure {
            true => registry.remove(now, id),
            false => registry.mark_missing(now, id),
        }
    }

    /// Whether an upstream begins to leave, or gives up layers that it held.
    fn reduces_layers(&self, upstream: &Upstream) -> bool {
        let registry = self.shared.registry.borrow();
        let before = registry.get(&upstream.id).map(|e| &e.upstream);
        before.is_some_and(|b| {
            let leaves = upstream.leaving && !b.leaving;
            leaves || (b.layers.is_some() && b.layers != upstream.layers)
        })
    }

    /// Tells the boxes that learn from this one that there is something new.
    async fn notify_pollers(&self) {
        if let Some(peers) = &self.peers {
            peers.notify_pollers().await;
        }
    }

    /// Whether entries may be missing only because the store was away, or passed over as
    /// they had been removed before it came back.
    fn has_uncertain_removals(&self) -> bool {
        let now = self.shared.now();
        let is_away = self.failed_at.get().is_some();
        let has_returned = self
            .returned_at
            .get()
            .is_some_and(|t| now < t + RESTORE_GRACE);
        is_away || has_returned || self.restore.settling.get()
    }

    /// Keeps what other boxes are told of it up to date.
    fn update_certainty(&self) {
        self.shared
            .removals_certain
            .set(!self.has_uncertain_removals());
    }

    /// Notes that a call failed, with one line for each time the store goes.
    fn note_store_failure(&self, what: &str, fault: &StoreError) {
        if matches!(fault, StoreError::HistoryGone) {
            log::event(Level::Info, "store", "history gone", json!({"watch": what}));
            return;
        }
        self.shared.store_down.set(true);
        self.shared.removals_certain.set(false);
        let first = self.failed_at.replace(Some(self.shared.now())).is_none();
        if first {
            let fields = json!({"call": what, "fault": fault.to_string()});
            log::event(Level::Warn, "store", "lost", fields);
        }
    }

    async fn note_store_recovery(&self) {
        let Some(last) = self.failed_at.take() else {
            return;
        };
        let now = self.shared.now();
        self.returned_at.set(Some(now));
        self.shared.store_down.set(false);
        let fields = json!({"last_failure_ms": (now - last).as_millis() as u64});
        log::event(Level::Info, "store", "regained", fields);
        self.restart.notify_waiters();
        self.notify_pollers().await;
    }
}

/// Moves a known revision on; a reading that was overtaken does not move it
/// back.
fn advance_revision(known: &Cell<Option<Revision>>, at: Revision) {
    known.set(known.get().max(Some(at)));
}

/// Whether so many upstreams that came together get a line each; else one line
/// says how many there were. Where a fleet starts all of them come to each box.
fn may_log_each(count: usize) -> bool {
    if count > MAX_LOGGED_UPSTREAMS {
        log::event(
            Level::Info,
            "roster",
            "many announced",
            json!({"upstreams": count}),
        );
    }
    count <= MAX_LOGGED_UPSTREAMS
}

fn log_announced(upstream: &Upstream, revision: Revision) {
    let fields = json!({
        "upstream": &*upstream.id,
        "addr": upstream.addr,
        "leaving": upstream.leaving,
        "layers": upstream.layers,
        "revision": revision::count(revision),
    });
    log::event(Level::Info, "roster", "announced", fields);
}

/// Writes a line for an object of the store that cannot be read.
pub fn log_skipped(name: &str, fault: &StoreError) {
    let fields = json!({"object": name, "fault": fault.to_string()});
    log::event(Level::Warn, "store", "object cannot be read", fields);
}

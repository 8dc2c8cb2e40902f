//! Follows the platform's store: the configuration in force, the registered upstreams,
//! and how certain both are.
//!
//! A few boxes read the store themselves (modules [`watch`] and [`revision_check`]); the
//! others poll them (module [`poll`]). Both paths update the state through
//! [`StoreFollower`]. The store may be restored from a copy of an earlier state (module
//! [`store_restore`]).

mod configuration;
mod poll;
mod revision_check;
mod store_restore;
mod watch;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::member::UpstreamId;
use ashgauge::mirror::{Change, ChangeKind, Revision};
use ashgauge::poller::Poller;
use ashgauge::revision;
use ashgauge::upstream::{EntryFault, Upstream};
use platform::{StoreError, servers};
use serde_json::json;
use spdlog::Level;
use tokio::sync::{Mutex, Notify, mpsc};

use super::peers::{PeerMessage, Peers};
use super::shared_state::SharedState;
use super::task::TaskName;
use super::{log, membership, quarantine, task};

/// How long after the store has become reachable again an entry may be missing although
/// its upstream is alive. The users gave this figure.
const RESTORE_GRACE: Duration = Duration::from_secs(2);

/// Most upstreams announced at once that are logged individually.
const MAX_LOGGED_UPSTREAMS: usize = 64;

/// State shared by the tasks that follow the store.
pub struct StoreFollower {
    shared: Rc<SharedState>,
    /// Messaging with the other boxes, if it is configured.
    peers: Option<Rc<Peers>>,
    /// Decides which reader this box polls next.
    poller: RefCell<Poller>,
    /// Revision up to which the configuration is known; `None` before the first read and
    /// after the store has dropped the history since that revision.
    config_revision: Cell<Option<Revision>>,
    /// Revision up to which the list of upstreams is known, in the same way.
    upstreams_revision: Cell<Option<Revision>>,
    /// When the last complete read of the configuration was sent.
    config_asked_at: Cell<Option<Duration>>,
    /// When the last complete read of the list of upstreams was sent.
    upstreams_asked_at: Cell<Option<Duration>>,
    /// The encoded configuration in force, as it is passed to other boxes.
    active_config: RefCell<Option<Vec<u8>>>,
    /// Whether the first freshness check has been left to the initial reads of the
    /// watches.
    first_read: Cell<bool>,
    /// Whether other boxes poll this one.
    is_polled: Cell<bool>,
    /// When the readers were last selected.
    chosen_at: Cell<Duration>,
    /// Earliest time of the next refresh of the member list after polled boxes have not
    /// answered.
    refresh_at: Cell<Duration>,
    /// When a call to the store last failed; `None` while the store is reachable.
    failed_at: Cell<Option<Duration>>,
    /// What is uncertain since the store was restored from a copy.
    restore: store_restore::RestoreState,
    /// When the store last became reachable again or was restored.
    returned_at: Cell<Option<Duration>>,
    /// Until when the next call of a watch is delayed, to batch changes.
    watch_delayed_until: Cell<Duration>,
    /// Upstreams that are not used for a fault of their entries.
    faulty: RefCell<HashMap<UpstreamId, EntryFault>>,
    /// Cancels the watches, which may hang on dead connections, and starts new ones.
    restart: Notify,
    /// Triggers a freshness check at once.
    check_now: Notify,
    /// Signals that a watch has returned, even without changes, or that the answer of a
    /// polled box has brought some.
    changed: Notify,
}

impl StoreFollower {
    /// Spawns the tasks that follow the store; they run as long as the process.
    pub fn start(shared: Rc<SharedState>, peers: Option<(Rc<Peers>, mpsc::Receiver<PeerMessage>)>) {
        let (peers, messages) = peers.unzip();
        let follower = Rc::new(StoreFollower {
            shared,
            peers,
            poller: RefCell::default(),
            config_revision: Cell::new(None),
            upstreams_revision: Cell::new(None),
            config_asked_at: Cell::new(None),
            upstreams_asked_at: Cell::new(None),
            active_config: RefCell::default(),
            first_read: Cell::new(false),
            is_polled: Cell::new(false),
            chosen_at: Cell::new(Duration::ZERO),
            refresh_at: Cell::new(Duration::ZERO),
            failed_at: Cell::new(None),
            restore: store_restore::RestoreState::default(),
            returned_at: Cell::new(None),
            watch_delayed_until: Cell::new(Duration::ZERO),
            faulty: RefCell::default(),
            restart: Notify::new(),
            check_now: Notify::new(),
            changed: Notify::new(),
        });
        follower.spawn("revision check", Self::confirm_loop);
        follower.spawn("configuration", Self::follow_config);
        follower.spawn("upstreams", Self::follow_upstreams);
        follower.spawn("configuration age", Self::report_config_age);
        follower.spawn("members", |f| membership::follow_members(f.shared.clone()));
        follower.spawn("own entry", |f| membership::reannounce(f.shared.clone()));
        follower.spawn("quarantine", |f| {
            quarantine::restore_quarantined(f.shared.clone())
        });
        follower.spawn("suspensions", Self::follow_suspensions);
        follower.spawn("restores", Self::follow_restores);
        follower.spawn("silent connections", Self::follow_silent_connections);
        let shared = &follower.shared;
        match messages.filter(|_| shared.settings().shares_reading()) {
            Some(messages) => {
                let messages = Rc::new(Mutex::new(messages));
                follower.spawn("polls", move |f| f.poll_readers(messages.clone()));
            }
            None => {
                shared.reads_store.send_replace(true);
                tokio::task::spawn_local(quarantine::load_quarantined(shared.clone()));
            }
        }
    }

    /// Starts one of the follower's tasks.
    fn spawn<F>(self: &Rc<Self>, name: TaskName, start: impl Fn(Rc<Self>) -> F + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let follower = self.clone();
        task::spawn(&self.shared, name, move || start(follower.clone()));
    }

    /// Restarts the watches and checks freshness after the machine was suspended, as the
    /// connections they wait on may have died meanwhile.
    async fn follow_suspensions(self: Rc<Self>) {
        let mut resumptions = self.shared.clock.resumptions();
        // The clock lives as long as the shared state.
        while resumptions.changed().await.is_ok() {
            self.restart.notify_waiters();
            self.check_now.notify_one();
        }
    }

    /// Restarts the watches when another connection to the store has turned out to be dead.
    async fn follow_silent_connections(self: Rc<Self>) {
        let mut silent = self.shared.store.subscribe_silent();
        // The store client lives as long as the shared state.
        while silent.changed().await.is_ok() {
            let fields = json!({"reads": self.is_reader()});
            log::event(Level::Warn, "store", "silent connection", fields);
            self.restart.notify_waiters();
        }
    }

    /// Waits until this box reads the store itself.
    async fn wait_until_reader(&self) {
        let mut reads = self.shared.reads_store.subscribe();
        // The sender lives as long as the shared state.
        let _ = reads.wait_for(|reads| *reads).await;
    }

    /// Reads all upstream entries; returns whether they contained something that no watch
    /// had delivered.
    async fn read_upstreams(&self) -> Result<bool, StoreError> {
        let asked_at = self.shared.now();
        let result = servers::list(&self.shared.store, log_skipped).await;
        self.shared.count_store_call("list", &result);
        let (list, list_revision) = result?;
        let count = list.len();
        // A watch may have delivered changes newer than the list.
        let list: Vec<Upstream> = {
            let mut mirror = self.shared.mirror.borrow_mut();
            mirror.replace_all(list_revision, list);
            mirror.upstreams().cloned().collect()
        };
        let missed = self.log_changed(&list, list_revision);
        let releases_layers = list.iter().any(|u| self.reduces_layers(u));
        let (now, removals_certain) = (self.shared.now(), !self.has_uncertain_removals());
        self.shared
            .registry
            .borrow_mut()
            .replace(now, list, removals_certain);
        let fields = json!({"upstreams": count, "at": revision::count(list_revision), "sure": removals_certain});
        log::event(Level::Info, "roster", "listed", fields);
        self.log_faulty();
        if releases_layers {
            self.shared.notify_streams();
        }
        self.shared.upstreams_listed.set(true);
        self.upstreams_asked_at.set(Some(asked_at));
        self.confirm_reads();
        advance_revision(&self.upstreams_revision, list_revision);
        self.update_covered();
        Ok(missed)
    }

    /// Logs each upstream of a list that no watch had delivered; returns whether there
    /// was one.
    fn log_changed(&self, list: &[Upstream], revision: Revision) -> bool {
        let registry = self.shared.registry.borrow();
        let is_known = |u: &Upstream| registry.get(&u.id).is_some_and(|e| e.upstream == *u);
        let changed: Vec<_> = list.iter().filter(|u| !is_known(u)).collect();
        if may_log_each(changed.len()) {
            changed.iter().for_each(|u| log_announced(u, revision));
        }
        !changed.is_empty()
    }

    /// Marks everything up to the lower of both read revisions as known.
    fn update_covered(&self) {
        if let (Some(config), Some(upstreams)) =
            (self.config_revision.get(), self.upstreams_revision.get())
        {
            self.shared
                .mirror
                .borrow_mut()
                .mark_read_to(config.min(upstreams));
        }
        self.shared.update_synced();
    }

    /// Applies changes that were not known before.
    fn apply_changes(&self, changes: Vec<Change>, removals_certain: bool) {
        let logs_each = may_log_each(changes.len());
        for change in changes {
            match change.kind {
                ChangeKind::Config(_) => {}
                ChangeKind::Put(upstream) => {
                    if logs_each {
                        log_announced(&upstream, change.revision);
                    }
                    self.put(upstream);
                }
                ChangeKind::Removed(id) => self.remove(&id, change.revision, removals_certain),
            }
        }
    }

    fn put(&self, upstream: Upstream) {
        let releases_layers = self.reduces_layers(&upstream);
        self.shared.registry.borrow_mut().put(upstream);
        self.log_faulty();
        if releases_layers {
            self.shared.notify_streams();
        }
    }

    /// Logs the upstreams that are not used any more for a fault of their entries.
    fn log_faulty(&self) {
        let registry = self.shared.registry.borrow();
        let faulty: HashMap<_, _> = registry.faulty().map(|(id, f)| (id.clone(), f)).collect();
        self.shared.metrics.faulty_entries.set(faulty.len() as i64);
        let before = self.faulty.replace(faulty.clone());
        for (id, fault) in faulty {
            if before.get(&id) != Some(&fault) {
                let fields = json!({"upstream": &*id, "fault": fault.to_string()});
                log::event(Level::Warn, "roster", "left out", fields);
            }
        }
    }

    fn remove(&self, id: &UpstreamId, revision: Revision, removals_certain: bool) {
        let fields = json!({"upstream": &**id, "revision": revision::count(revision), "sure": removals_certain});
        log::event(Level::Info, "roster", "gone", fields);
        let now = self.shared.now();
        let mut registry = self.shared.registry.borrow_mut();
        match removals_certain {
            true => registry.remove(now, id),
            false => registry.mark_missing(now, id),
        }
    }

    /// Returns whether an upstream starts to leave or releases layers that it held.
    fn reduces_layers(&self, upstream: &Upstream) -> bool {
        let registry = self.shared.registry.borrow();
        let old = registry.get(&upstream.id).map(|e| &e.upstream);
        old.is_some_and(|b| {
            let starts_leaving = upstream.leaving && !b.leaving;
            starts_leaving || (b.layers.is_some() && b.layers != upstream.layers)
        })
    }

    /// Notifies the boxes that poll this one of new data.
    async fn notify_pollers(&self) {
        if let Some(peers) = &self.peers {
            peers.notify_pollers().await;
        }
    }

    /// Returns whether entries may be missing only because the store was unreachable, or
    /// are ignored because they had been removed before the store was restored.
    fn has_uncertain_removals(&self) -> bool {
        let now = self.shared.now();
        let is_store_down = self.failed_at.get().is_some();
        let has_just_recovered = self
            .returned_at
            .get()
            .is_some_and(|t| now < t + RESTORE_GRACE);
        is_store_down || has_just_recovered || self.restore.settling.get()
    }

    /// Updates the certainty of removals that is reported to other boxes.
    fn update_certainty(&self) {
        self.shared
            .removals_certain
            .set(!self.has_uncertain_removals());
    }

    /// Records a failed call; logs only the first failure of each outage.
    fn note_store_failure(&self, call: &str, fault: &StoreError) {
        if matches!(fault, StoreError::HistoryGone) {
            log::event(Level::Info, "store", "history gone", json!({"watch": call}));
            return;
        }
        self.shared.store_down.set(true);
        self.shared.removals_certain.set(false);
        let is_first = self.failed_at.replace(Some(self.shared.now())).is_none();
        if is_first {
            let fields = json!({"call": call, "fault": fault.to_string()});
            log::event(Level::Warn, "store", "lost", fields);
        }
    }

    async fn note_store_recovery(&self) {
        let Some(last_failure) = self.failed_at.take() else {
            return;
        };
        let now = self.shared.now();
        self.returned_at.set(Some(now));
        self.shared.store_down.set(false);
        let fields = json!({"last_failure_ms": (now - last_failure).as_millis() as u64});
        log::event(Level::Info, "store", "regained", fields);
        self.restart.notify_waiters();
        self.notify_pollers().await;
    }
}

/// Advances a known revision; a read that has been overtaken does not move it back.
fn advance_revision(known: &Cell<Option<Revision>>, revision: Revision) {
    known.set(known.get().max(Some(revision)));
}

/// Returns whether this many upstreams announced at once are logged individually; if not,
/// logs their number instead. When a fleet starts, each box receives all of them at once.
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

/// Logs an object of the store that cannot be decoded.
pub fn log_skipped(name: &str, fault: &StoreError) {
    let fields = json!({"object": name, "fault": fault.to_string()});
    log::event(Level::Warn, "store", "object cannot be read", fields);
}

//! Follows the store: configuration and upstreams by watch, with plain reads
//! that prove how fresh both are.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::fresh::Ledger;
use ashgauge::roster::Upstream;
use platform::servers::Update;
use platform::store::Revision;
use platform::{Fault, config, servers};
use serde_json::json;
use spdlog::Level;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::desk::Desk;
use super::{census, log, place};

/// First pause after a call that failed; doubled up to [`PAUSE_MOST`].
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after a call that failed: a store that is back is noticed
/// within the users' bound on configurations (2 s) with time to spare.
const PAUSE_MOST: Duration = Duration::from_millis(500);

/// How long watches wait for the store's return before they try by
/// themselves.
const AWAY_MOST: Duration = Duration::from_secs(5);

/// How long after the store's return entries may be missing though their
/// upstreams live; the users' figure.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Share of the operators' bounds for which changes are gathered after a watch
/// brought some, so that those which come together cost one call. What is left
/// is for the call itself and for requests on their way.
const GATHER_SHARE: f64 = 0.35;

/// How long they are gathered before any engine holds layers: all entries are
/// new then, and nothing can be served yet.
const GATHER_FIRST: Duration = Duration::from_millis(1200);

/// For the call of a watch that has gathered changes.
const GATHER_SLACK: Duration = Duration::from_millis(100);

/// What the following tasks tell each other.
pub struct Follower {
    desk: Rc<Desk>,
    /// Changes of the store that were read.
    ledger: RefCell<Ledger>,
    /// Revision up to which the configuration is known; nothing until it was
    /// read, or once the history behind it is gone.
    config_at: Cell<Option<Revision>>,
    /// The same for the list of upstreams.
    servers_at: Cell<Option<Revision>>,
    /// Whether the first proof was left to the watches' first reading.
    begun: Cell<bool>,
    /// When a call to the store last failed, while it is away.
    failed: Cell<Option<Duration>>,
    /// When the store last came back.
    returned: Cell<Option<Duration>>,
    /// Ends the watches, which may hang on dead connections, and begins them
    /// anew.
    restart: Notify,
    /// Asks for a proof at once.
    check: Notify,
}

impl Follower {
    /// Starts following; the tasks run as long as the process.
    pub fn start(desk: Rc<Desk>) {
        let follower = Rc::new(Follower {
            desk,
            ledger: RefCell::default(),
            config_at: Cell::new(None),
            servers_at: Cell::new(None),
            begun: Cell::new(false),
            failed: Cell::new(None),
            returned: Cell::new(None),
            restart: Notify::new(),
            check: Notify::new(),
        });
        tokio::task::spawn_local(follower.clone().confirm());
        tokio::task::spawn_local(follower.clone().follow_config());
        tokio::task::spawn_local(follower.clone().follow_servers());
        tokio::task::spawn_local(census::count(follower.desk.clone()));
    }

    /// Proves again and again that what is known is still so.
    async fn confirm(self: Rc<Self>) {
        let mut pause = PAUSE_FIRST;
        loop {
            let began = self.desk.now();
            let confirmed = self.confirm_once().await;
            self.desk.roster.borrow_mut().expire(self.desk.now());
            match confirmed {
                Ok(()) => {
                    pause = PAUSE_FIRST;
                    // A watch that failed asks earlier.
                    let every = self.desk.settings().confirm_time();
                    let rest = (began + every).saturating_sub(self.desk.now());
                    let _ = timeout(rest, self.check.notified()).await;
                }
                Err(fault) => {
                    self.lost("confirm", &fault);
                    sleep(pause).await;
                    pause = (pause * 2).min(PAUSE_MOST);
                }
            }
        }
    }

    /// Proves that all changes are known; if some are missing, reads everything
    /// anew.
    async fn confirm_once(&self) -> Result<(), Fault> {
        let desk = &self.desk;
        if self.failed.get().is_none() {
            let known = desk.routing().version > 0 && desk.listed.get();
            if !known && !self.begun.replace(true) {
                // The watches' first reading is under way.
                return Ok(());
            }
            if known && self.prove().await? {
                return Ok(());
            }
        }
        self.read_config().await?;
        if desk.routing().version == 0 && self.failed.get().is_none() {
            // Nothing can be served yet, and the watch brings the upstreams.
            return Ok(());
        }
        self.read_servers().await?;
        self.regained();
        Ok(())
    }

    /// Asks for the store's revision; returns whether all changes up to it are
    /// known.
    async fn prove(&self) -> Result<bool, Fault> {
        let asked = self.desk.now();
        let at = config::revision(&self.desk.store).await?;
        self.count_call();
        let covered = self.covers(at).await;
        if covered {
            self.desk.fresh.borrow_mut().confirm(asked);
        }
        Ok(covered)
    }

    /// Whether all changes up to a revision are known: those that watches
    /// brought, and the boxes' own objects, which no watch brings and which are
    /// read at a tenth.
    async fn covers(&self, at: Revision) -> bool {
        if self.ledger.borrow().covers(at) {
            return true;
        }
        // The watch may be gathering what is missing. What was known before
        // ages meanwhile, so there is time for one such wait.
        sleep(self.servers_gather() + GATHER_SLACK).await;
        self.ledger.borrow().covers(at) || self.covers_own(at).await
    }

    async fn covers_own(&self, at: Revision) -> bool {
        let store = &self.desk.store;
        self.add_known(place::written_rounds(store).await);
        if self.ledger.borrow().covers(at) {
            return true;
        }
        self.add_known(census::written(store).await);
        self.ledger.borrow().covers(at)
    }

    fn add_known(&self, read: Result<Vec<Revision>, Fault>) {
        match read {
            Ok(revisions) => {
                let mut ledger = self.ledger.borrow_mut();
                revisions.into_iter().for_each(|r| ledger.add(r));
            }
            // Everything is read anew then.
            Err(fault) => {
                let fields = json!({"fault": fault.to_string()});
                log::line(Level::Debug, "store", "own objects not read", fields);
            }
        }
    }

    /// Notes that everything up to what was read of both kinds is known.
    fn note_read(&self) {
        if let (Some(config), Some(servers)) = (self.config_at.get(), self.servers_at.get()) {
            self.ledger.borrow_mut().read_all(config.min(servers));
        }
    }

    async fn read_config(&self) -> Result<(), Fault> {
        let asked = self.desk.now();
        let (config, at) = config::read(&self.desk.store, skipped).await?;
        self.count_call();
        if let Some(config) = config {
            self.adopt(config);
            self.desk.fresh.borrow_mut().confirm(asked);
        }
        advance(&self.config_at, at);
        self.note_read();
        self.desk.note_read();
        Ok(())
    }

    /// Puts a configuration in force unless a newer one is.
    fn adopt(&self, config: config::Config) {
        let desk = &self.desk;
        let old = desk.routing.borrow().version;
        if config.version() <= old {
            return;
        }
        let routing = config::decode(config);
        let version = routing.version;
        desk.metrics.version.set(version as i64);
        *desk.routing.borrow_mut() = Arc::new(routing);
        let fields = json!({"version": version, "before": old});
        log::line(Level::Info, "config", "in force", fields);
    }

    async fn read_servers(&self) -> Result<(), Fault> {
        let (list, at) = servers::list(&self.desk.store, skipped).await?;
        self.count_call();
        let count = list.len();
        let sure = !self.is_unsure();
        let now = self.desk.now();
        self.log_changed(&list, at);
        let gives_up = list.iter().any(|u| self.gives_up(u));
        self.desk.roster.borrow_mut().replace(now, list, sure);
        if gives_up {
            self.desk.wake_streams();
        }
        self.desk.listed.set(true);
        let fields = json!({"upstreams": count, "at": at, "sure": sure});
        log::line(Level::Info, "roster", "listed", fields);
        advance(&self.servers_at, at);
        self.note_read();
        self.desk.note_read();
        Ok(())
    }

    /// Writes a line for each upstream of a list that no watch had brought.
    fn log_changed(&self, list: &[Upstream], at: Revision) {
        let roster = self.desk.roster.borrow();
        let is_known = |u: &&Upstream| roster.get(&u.id).is_some_and(|e| e.upstream == **u);
        let changed = list.iter().filter(|u| !is_known(u));
        changed.for_each(|upstream| log_announced(upstream, at));
    }

    async fn follow_config(self: Rc<Self>) {
        loop {
            let Some(from) = self.config_at.get() else {
                self.begin("config", self.read_config().await).await;
                continue;
            };
            let watch = config::watch(&self.desk.store, from, self.watch_time(), skipped);
            match self.unless_restarted(watch).await {
                Some(Ok((configs, at))) => {
                    let changed = !configs.is_empty();
                    let first = self.desk.routing().version == 0;
                    for (config, revision) in configs {
                        self.ledger.borrow_mut().add(revision);
                        self.adopt(config);
                    }
                    if changed && first {
                        // A watch proves nothing.
                        self.desk.note_read();
                        self.check.notify_one();
                    }
                    advance(&self.config_at, at);
                    if changed {
                        sleep(self.config_gather()).await;
                    }
                }
                Some(Err(fault)) => {
                    self.config_at.set(None);
                    self.wait_out("config", &fault).await;
                }
                None => {}
            }
        }
    }

    async fn follow_servers(self: Rc<Self>) {
        loop {
            let Some(from) = self.servers_at.get() else {
                self.begin("servers", self.read_servers().await).await;
                continue;
            };
            let watch = servers::watch(&self.desk.store, from, self.watch_time(), skipped);
            match self.unless_restarted(watch).await {
                Some(Ok((updates, at))) => {
                    let changed = !updates.is_empty();
                    self.apply(updates);
                    advance(&self.servers_at, at);
                    if changed {
                        sleep(self.servers_gather()).await;
                    }
                }
                Some(Err(fault)) => {
                    self.servers_at.set(None);
                    self.wait_out("servers", &fault).await;
                }
                None => {}
            }
        }
    }

    /// Waits if a first reading failed.
    async fn begin(&self, what: &str, read: Result<(), Fault>) {
        if let Err(fault) = read {
            self.wait_out(what, &fault).await;
        }
    }

    fn watch_time(&self) -> Duration {
        Duration::from_millis(self.desk.settings().timing.watch_ms)
    }

    /// Runs a watch; `None` if the store came back meanwhile.
    async fn unless_restarted<T>(
        &self,
        watch: impl Future<Output = Result<T, Fault>>,
    ) -> Option<Result<T, Fault>> {
        let answer = tokio::select! {
            answer = watch => answer,
            () = self.restart.notified() => return None,
        };
        if answer.is_ok() {
            self.count_call();
        }
        Some(answer)
    }

    fn apply(&self, updates: Vec<Update>) {
        let now = self.desk.now();
        // A list that was read while the watch was under way is newer.
        let known = self.servers_at.get().unwrap_or(0);
        for update in updates {
            match update {
                Update::Put(_, revision) | Update::Gone(_, revision) if revision <= known => {}
                Update::Put(upstream, revision) => {
                    self.ledger.borrow_mut().add(revision);
                    log_announced(&upstream, revision);
                    let gives_up = self.gives_up(&upstream);
                    self.desk.roster.borrow_mut().put(upstream);
                    if gives_up {
                        self.desk.wake_streams();
                    }
                }
                Update::Gone(id, revision) => {
                    self.ledger.borrow_mut().add(revision);
                    let sure = !self.is_unsure();
                    let fields = json!({"upstream": id, "revision": revision, "sure": sure});
                    log::line(Level::Info, "roster", "gone", fields);
                    let mut roster = self.desk.roster.borrow_mut();
                    match sure {
                        true => roster.remove(&id),
                        false => roster.miss(now, &id),
                    }
                }
            }
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

    fn servers_gather(&self) -> Duration {
        let roster = self.desk.roster.borrow();
        let placed = roster.all().any(|e| e.upstream.layers.is_some());
        match placed || self.desk.is_ready() {
            true => self.desk.settings().drain_time().mul_f64(GATHER_SHARE),
            false => GATHER_FIRST,
        }
    }

    fn config_gather(&self) -> Duration {
        self.desk.settings().apply_time().mul_f64(GATHER_SHARE)
    }

    /// Whether entries may be missing only because the store was away.
    fn is_unsure(&self) -> bool {
        let now = self.desk.now();
        let returned = self.returned.get();
        self.failed.get().is_some() || returned.is_some_and(|t| now < t + RETURN_TIME)
    }

    /// Waits after a watch that failed. While the store is away only the
    /// proofs go on calling it, as each call is priced, refused ones too.
    async fn wait_out(&self, what: &str, fault: &Fault) {
        self.lost(what, fault);
        if self.failed.get().is_none() {
            sleep(PAUSE_FIRST).await;
            return;
        }
        self.check.notify_one();
        let _ = timeout(AWAY_MOST, self.restart.notified()).await;
    }

    fn count_call(&self) {
        self.desk.metrics.store.with_label_values(&["done"]).inc();
    }

    /// Notes that a call failed, with one line for each time the store goes.
    fn lost(&self, what: &str, fault: &Fault) {
        self.desk.metrics.store.with_label_values(&["failed"]).inc();
        if matches!(fault, Fault::Forgotten) {
            log::line(Level::Info, "store", "history gone", json!({"watch": what}));
            return;
        }
        self.desk.store_away.set(true);
        let first = self.failed.replace(Some(self.desk.now())).is_none();
        if first {
            let fields = json!({"call": what, "fault": fault.to_string()});
            log::line(Level::Warn, "store", "lost", fields);
        }
    }

    fn regained(&self) {
        let Some(last) = self.failed.take() else {
            return;
        };
        let now = self.desk.now();
        self.returned.set(Some(now));
        self.desk.store_away.set(false);
        let fields = json!({"last_failure_ms": (now - last).as_millis() as u64});
        log::line(Level::Info, "store", "regained", fields);
        self.restart.notify_waiters();
    }
}

/// Moves a known revision on; a reading that was overtaken does not move it
/// back.
fn advance(known: &Cell<Option<Revision>>, at: Revision) {
    known.set(known.get().max(Some(at)));
}

fn log_announced(upstream: &Upstream, revision: Revision) {
    let fields = json!({
        "upstream": &*upstream.id,
        "addr": upstream.addr,
        "leaving": upstream.leaving,
        "layers": upstream.layers,
        "revision": revision,
    });
    log::line(Level::Info, "roster", "announced", fields);
}

fn skipped(name: &str, fault: &Fault) {
    let fields = json!({"object": name, "fault": fault.to_string()});
    log::line(Level::Warn, "store", "object cannot be read", fields);
}

//! Follows the store: configuration and upstreams by watch, with plain reads
//! that prove how fresh both are.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::fresh::Ledger;
use platform::servers::Update;
use platform::store::Revision;
use platform::{Fault, config, servers};
use serde_json::json;
use spdlog::Level;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::desk::Desk;
use super::log;

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

/// Pause after a watch that brought changes, so that those which come together
/// cost one call; a small part of the users' least bound (2 s).
const GATHER_TIME: Duration = Duration::from_millis(200);

/// The same before any engine holds layers: all entries are new then, and
/// nothing can be served yet.
const GATHER_FIRST: Duration = Duration::from_millis(800);

/// Kind of the objects by which boxes count each other.
const BOX_KIND: &str = "ashgauge-boxes";

/// Time from announcing this box to the first count, so that boxes that start
/// together see each other; the cheap read is some seconds old.
const COUNT_FIRST: Duration = Duration::from_secs(5);

/// Time between two counts of the boxes.
const COUNT_EVERY: Duration = Duration::from_secs(10);

/// What the following tasks tell each other.
pub struct Follower {
    desk: Rc<Desk>,
    /// Changes of the store that were read.
    ledger: RefCell<Ledger>,
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
            failed: Cell::new(None),
            returned: Cell::new(None),
            restart: Notify::new(),
            check: Notify::new(),
        });
        tokio::task::spawn_local(follower.clone().confirm());
        tokio::task::spawn_local(follower.clone().follow_config());
        tokio::task::spawn_local(follower.clone().follow_servers());
        tokio::task::spawn_local(follower.count_boxes());
    }

    /// Proves again and again that what is known is still so.
    async fn confirm(self: Rc<Self>) {
        let mut pause = PAUSE_FIRST;
        loop {
            let confirmed = self.confirm_once().await;
            self.desk.roster.borrow_mut().expire(self.desk.now());
            match confirmed {
                Ok(()) => {
                    pause = PAUSE_FIRST;
                    // A watch that failed asks earlier.
                    let every = self.desk.settings().confirm_time();
                    let _ = timeout(every, self.check.notified()).await;
                }
                Err(fault) => {
                    self.lost("confirm", &fault);
                    sleep(pause).await;
                    pause = (pause * 2).min(PAUSE_MOST);
                }
            }
        }
    }

    /// Asks for the store's revision; if changes up to it are missing, reads
    /// everything anew.
    async fn confirm_once(&self) -> Result<(), Fault> {
        let desk = &self.desk;
        let known = desk.routing().version > 0 && desk.listed.get();
        if known && self.failed.get().is_none() {
            let asked = desk.now();
            let at = config::revision(&desk.store).await?;
            self.count_call();
            if self.ledger.borrow().covers(at) {
                desk.fresh.borrow_mut().confirm(asked);
                return Ok(());
            }
        }
        let config_at = self.read_config().await?;
        if desk.routing().version == 0 && self.failed.get().is_none() {
            // Nothing can be served yet, and the watch brings the upstreams.
            return Ok(());
        }
        let servers_at = self.read_servers().await?;
        self.ledger.borrow_mut().read_all(config_at.min(servers_at));
        self.regained();
        Ok(())
    }

    async fn read_config(&self) -> Result<Revision, Fault> {
        let asked = self.desk.now();
        let (config, at) = config::read(&self.desk.store, skipped).await?;
        self.count_call();
        if let Some(config) = config {
            self.adopt(config);
            self.desk.fresh.borrow_mut().confirm(asked);
        }
        Ok(at)
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

    async fn read_servers(&self) -> Result<Revision, Fault> {
        let (list, at) = servers::list(&self.desk.store, skipped).await?;
        self.count_call();
        let count = list.len();
        let sure = !self.is_unsure();
        let now = self.desk.now();
        self.desk.roster.borrow_mut().replace(now, list, sure);
        self.desk.listed.set(true);
        let fields = json!({"upstreams": count, "at": at, "sure": sure});
        log::line(Level::Info, "roster", "listed", fields);
        Ok(at)
    }

    async fn follow_config(self: Rc<Self>) {
        let mut after = None;
        loop {
            let Some(from) = after else {
                after = self.begin("config", self.read_config().await).await;
                continue;
            };
            let watch = config::watch(&self.desk.store, from, self.watch_time(), skipped);
            match self.unless_restarted(watch).await {
                Some(Ok((configs, at))) => {
                    after = Some(at.max(from));
                    for (config, revision) in configs {
                        self.ledger.borrow_mut().add(revision);
                        self.adopt(config);
                    }
                    sleep(GATHER_TIME).await;
                }
                Some(Err(fault)) => {
                    after = None;
                    self.wait_out("config", &fault).await;
                }
                None => after = None,
            }
        }
    }

    async fn follow_servers(self: Rc<Self>) {
        let mut after = None;
        loop {
            let Some(from) = after else {
                after = self.begin("servers", self.read_servers().await).await;
                continue;
            };
            let watch = servers::watch(&self.desk.store, from, self.watch_time(), skipped);
            match self.unless_restarted(watch).await {
                Some(Ok((updates, at))) => {
                    after = Some(at.max(from));
                    self.apply(updates);
                    sleep(self.gather_time()).await;
                }
                Some(Err(fault)) => {
                    after = None;
                    self.wait_out("servers", &fault).await;
                }
                None => after = None,
            }
        }
    }

    /// The revision to watch from, once the list was read.
    async fn begin(&self, what: &str, read: Result<Revision, Fault>) -> Option<Revision> {
        match read {
            Ok(at) => Some(at),
            Err(fault) => {
                self.wait_out(what, &fault).await;
                None
            }
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
        for update in updates {
            match update {
                Update::Put(upstream, revision) => {
                    self.ledger.borrow_mut().add(revision);
                    let fields = json!({
                        "upstream": &*upstream.id,
                        "addr": upstream.addr,
                        "leaving": upstream.leaving,
                        "layers": upstream.layers,
                        "revision": revision,
                    });
                    log::line(Level::Info, "roster", "announced", fields);
                    self.desk.roster.borrow_mut().put(upstream);
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

    fn gather_time(&self) -> Duration {
        let roster = self.desk.roster.borrow();
        let placed = roster.all().any(|e| e.upstream.layers.is_some());
        match placed || self.desk.is_ready() {
            true => GATHER_TIME,
            false => GATHER_FIRST,
        }
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

    /// Announces this box to the others and counts them, for the part of the
    /// retry budget.
    ///
    /// Boxes that are gone for good stay counted, so the parts only shrink.
    async fn count_boxes(self: Rc<Self>) {
        let (store, id) = (&self.desk.store, &self.desk.settings().id);
        loop {
            match store.create(BOX_KIND, id, &json!({})).await {
                Ok(()) | Err(Fault::Conflict) => break,
                Err(fault) => self.lost("boxes", &fault),
            }
            sleep(PAUSE_MOST).await;
        }
        sleep(COUNT_FIRST).await;
        loop {
            match store.count_stale(BOX_KIND).await {
                // It must at least have this box.
                Ok(0) => {}
                Ok(count) => self.desk.set_boxes(count as u32),
                Err(fault) => self.lost("boxes", &fault),
            }
            sleep(COUNT_EVERY).await;
        }
    }
}

fn skipped(name: &str, fault: &Fault) {
    let fields = json!({"object": name, "fault": fault.to_string()});
    log::line(Level::Warn, "store", "object cannot be read", fields);
}

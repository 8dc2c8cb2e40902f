//! State that the tasks of one box share: what the box knows, and its retry budgets.
//!
//! All tasks run on one thread. A decision borrows the state, decides and releases the
//! borrow without awaiting in between, so the state that it is based on is unchanged when
//! the bytes are sent.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::admission::AdmissionQueue;
use ashgauge::forecast::Calibration;
use ashgauge::freshness::Freshness;
use ashgauge::hub::{self, Role};
use ashgauge::load_report::{self, FleetLoad};
use ashgauge::member::{BoxId, UpstreamId};
use ashgauge::mirror::{Mirror, Revision};
use ashgauge::quarantine::Quarantine;
use ashgauge::reader::Readers;
use ashgauge::registry::UpstreamRegistry;
use ashgauge::request_duration::RequestDuration;
use ashgauge::routing::{RoutingConfig, ServiceId};
use ashgauge::suspicion::SuspectReports;
use ashgauge::wan::WanUsage;
use http::Client;
use platform::{StoreClient, StoreError, engine};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use spdlog::Level;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::metrics::Metrics;
use super::settings::Settings;
use super::state::{
    AdmissionStates, Clock, ConfigSource, Egress, Liveness, Memory, Permits, Probes, Reach,
    RetryBudgets, Stop, boot_time,
};
use super::task::Tasks;
use super::{codec, log, suspicion};

/// Fleet size that is assumed when upstreams are chosen before the boxes are counted.
const DEFAULT_FLEET_SIZE: u32 = 16;

/// Time since the start after which a small count of the boxes is trusted.
const COUNT_TRUST_DELAY: Duration = Duration::from_secs(3);

/// Reading of the clock when the process starts. Moments before the start need a time as
/// well: a revision check of another box may be older than the process.
const CLOCK_OFFSET: Duration = Duration::from_secs(60);

/// Another box, as it announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Address on which the box receives messages of other boxes.
    pub addr: SocketAddr,
    /// Data centre of the box.
    pub data_centre: Arc<str>,
    /// Whether the box is in the same data centre as this one.
    pub is_local: bool,
    /// Capacity of the box's network link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Whether all boxes know the box, so that it may read the store for them.
    pub is_candidate: bool,
}

/// Last query of another box.
#[derive(Clone, Copy, Debug)]
pub struct LastQuery {
    /// When the query arrived.
    pub asked_at: Duration,
    /// Revision up to which the other box knew everything.
    pub revision: Revision,
}

/// State that the tasks of one box share.
pub struct SharedState {
    settings: RefCell<Rc<Settings>>,
    /// Client of the store.
    pub store: StoreClient,
    /// HTTP client for orders to engines and for their reports.
    pub client: Client,
    /// HTTP client for what other boxes hold ready.
    pub peer_client: Client,
    /// Memory for messages.
    pub memory: Memory,
    /// Configuration in force.
    pub routing: RefCell<Arc<RoutingConfig>>,
    /// Where the configuration in force came from; `None` before the first one.
    pub config_source: RefCell<Option<ConfigSource>>,
    /// The known upstreams.
    pub registry: RefCell<UpstreamRegistry>,
    /// Rate limits that upstreams name, and permits to send to those upstreams.
    pub permits: Permits,
    /// How current the configuration is.
    pub freshness: RefCell<Freshness>,
    /// Copy of what was read from the store, to pass on to other boxes.
    pub mirror: RefCell<Mirror>,
    /// Whether entries that are missing were certainly removed.
    pub removals_certain: Cell<bool>,
    /// Whether this box reads the store itself.
    pub reads_store: watch::Sender<bool>,
    /// When the search for the other boxes ended, so that the readers can be chosen.
    pub discovered_at: Cell<Option<Duration>>,
    /// Whether all boxes know this one, so that it may read the store for them.
    pub is_candidate: Cell<bool>,
    /// Whether this box was listed before it started.
    pub was_listed: Cell<bool>,
    /// Whether there are boxes that this one does not know.
    pub peers_partial: Cell<bool>,
    /// The boxes that read the store for the others.
    pub readers: RefCell<Rc<Readers>>,
    /// When the store was last asked for a configuration and had none.
    pub config_missing_at: Cell<Option<Duration>>,
    /// Whether the last revision check failed, so that other calls to the store would fail
    /// too.
    pub store_down: Cell<bool>,
    /// Whether the list of upstreams has been read.
    pub upstreams_listed: Cell<bool>,
    /// Whether a configuration and the list of upstreams have been read.
    synced: watch::Sender<bool>,
    /// The end of the process after a signal to stop.
    pub stop: Stop,
    /// Number of requests in flight.
    pub inflight: Cell<usize>,
    /// Services that have sent whole answers larger than what is held of one.
    pub large_answers: RefCell<HashSet<ServiceId>>,
    /// Metrics of the box.
    pub metrics: Metrics,
    /// Notifies streams that an upstream became suspect or releases layers.
    pub upstream_changes: watch::Sender<u64>,
    /// Recent probes of upstreams.
    pub probes: Probes,
    /// What is known of this box's way to the upstreams.
    pub reach: Reach,
    /// What this box and others see of upstreams that may have ended.
    pub liveness: Liveness,
    /// Offers between boxes to send requests through one another.
    pub egress: Egress,
    /// Queues of requests that wait for capacity, by service.
    pub queues: RefCell<HashMap<ServiceId, AdmissionQueue>>,
    /// Demand for each service, and which streams are admitted.
    pub admissions: AdmissionStates,
    /// Mean duration of streams, by service.
    pub durations: RefCell<HashMap<ServiceId, RequestDuration>>,
    /// Corrections of forecasts of first events, by service.
    pub calibrations: RefCell<HashMap<ServiceId, Calibration>>,
    /// Load of the other boxes on the upstreams.
    pub fleet_load: RefCell<FleetLoad>,
    /// Interval between two load reports about boxes in other data centres.
    pub report_interval: Cell<Duration>,
    /// Largest age of the load that boxes in the same data centre report.
    pub local_report_interval: Cell<Duration>,
    /// Requests that crash the upstreams that run them.
    pub quarantine: RefCell<Quarantine>,
    /// Upstreams that run requests under which others were lost, one entry for each run.
    pub suspect_runs: RefCell<Vec<UpstreamId>>,
    /// Notifies that there is another loss to report to the other boxes.
    pub loss_notify: Notify,
    /// Notifies that a check of a possibly lost upstream has ended.
    pub check_notify: Notify,
    /// Engines that accept no connections, as found by this box and as reported by others.
    pub suspicions: RefCell<SuspectReports>,
    /// Notifies that there are such engines to report to the other boxes.
    pub suspect_notify: Notify,
    /// Address on which this box receives messages of the others, if it does.
    pub peer_addr: Cell<Option<SocketAddr>>,
    /// The other boxes, by id.
    pub peers: RefCell<HashMap<BoxId, Peer>>,
    /// Boxes that query this one.
    pub pollers: RefCell<HashMap<BoxId, LastQuery>>,
    /// Traffic between data centres.
    pub wan_usage: RefCell<WanUsage>,
    /// Data centre of this box.
    pub data_centre: Arc<str>,
    /// Retries that this box may make.
    pub retry_budgets: RetryBudgets,
    fleet_size: Cell<u32>,
    counted_boxes: Cell<u32>,
    rng: RefCell<SmallRng>,
    /// Tasks that last as long as the process.
    pub tasks: Tasks,
    /// Clock that all times here are measured by.
    pub clock: Clock,
}

impl SharedState {
    /// Creates the state of a box that knows nothing yet.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let memory = Memory::new(settings.message_bytes());
        let (upstreams, platform) = (memory.upstreams.clone(), memory.platform.clone());
        let client = Client::new(Duration::from_millis(settings.timing.connect_ms));
        let store = StoreClient::new(&settings.store, settings.store_timeout());
        SharedState {
            store: store.with_budget(platform.clone()),
            peer_client: client
                .clone()
                .with_limits(codec::MAX_COMPRESSED_BYTES, platform),
            client: client.with_limits(engine::MAX_REPORT_BYTES, upstreams),
            memory,
            routing: RefCell::default(),
            config_source: RefCell::default(),
            registry: RefCell::default(),
            permits: Permits::default(),
            freshness: RefCell::new(Freshness::new(settings.max_key_age())),
            mirror: RefCell::default(),
            removals_certain: Cell::new(true),
            reads_store: watch::Sender::new(false),
            discovered_at: Cell::new(None),
            is_candidate: Cell::new(true),
            was_listed: Cell::new(false),
            peers_partial: Cell::new(false),
            readers: RefCell::default(),
            config_missing_at: Cell::new(None),
            store_down: Cell::new(false),
            upstreams_listed: Cell::new(false),
            synced: watch::Sender::new(false),
            stop: Stop::default(),
            inflight: Cell::new(0),
            large_answers: RefCell::default(),
            metrics,
            upstream_changes: watch::Sender::new(0),
            probes: Probes::default(),
            reach: Reach::default(),
            liveness: Liveness::default(),
            egress: Egress::default(),
            queues: RefCell::default(),
            admissions: AdmissionStates::default(),
            durations: RefCell::default(),
            calibrations: RefCell::default(),
            fleet_load: RefCell::default(),
            report_interval: Cell::new(load_report::report_intervals(0, 0).1),
            local_report_interval: Cell::new(load_report::report_intervals(0, 0).0),
            quarantine: RefCell::default(),
            suspect_runs: RefCell::default(),
            loss_notify: Notify::new(),
            check_notify: Notify::new(),
            suspicions: RefCell::default(),
            suspect_notify: Notify::new(),
            peer_addr: Cell::new(None),
            peers: RefCell::default(),
            pollers: RefCell::default(),
            wan_usage: RefCell::default(),
            data_centre: settings.data_centre.as_str().into(),
            retry_budgets: RetryBudgets::new(settings.retry_allowance(), CLOCK_OFFSET),
            fleet_size: Cell::new(DEFAULT_FLEET_SIZE),
            counted_boxes: Cell::new(0),
            rng: RefCell::new(SmallRng::from_os_rng()),
            tasks: Tasks::default(),
            clock: Clock::new(boot_time),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts changed bounds and times in force. Addresses, the id and the log level only
    /// change with a restart.
    pub fn reload(&self, settings: Settings) {
        self.freshness
            .borrow_mut()
            .set_max_age(settings.max_key_age());
        self.retry_budgets
            .set_allowance(self.now(), settings.retry_allowance());
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Time on the box's clock, which starts at [`CLOCK_OFFSET`]. It keeps running while
    /// the process is stopped or its machine is suspended.
    pub fn now(&self) -> Duration {
        CLOCK_OFFSET + self.clock.elapsed()
    }

    /// Time since the start of the process.
    pub fn uptime(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Returns the configuration in force.
    pub fn routing(&self) -> Arc<RoutingConfig> {
        self.routing.borrow().clone()
    }

    /// Returns the random number generator.
    pub fn rng(&self) -> std::cell::RefMut<'_, SmallRng> {
        self.rng.borrow_mut()
    }

    /// Whether the load balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        let needs_keys = self.routing.borrow().requires_keys();
        let accepts_keys = !needs_keys || self.may_accept_keys();
        self.is_synced() && accepts_keys && !self.stop.is_stopping.get()
    }

    /// Whether the configuration is young enough for its keys to be accepted.
    pub fn may_accept_keys(&self) -> bool {
        self.freshness.borrow().is_fresh(self.now())
    }

    /// Whether the configuration is so young that a newer one need not be in force yet.
    pub fn is_config_current(&self) -> bool {
        let age = self.freshness.borrow().age(self.now());
        age.is_some_and(|age| age <= self.settings().apply_bound())
    }

    /// Whether a configuration and the list of upstreams have been read.
    pub fn is_synced(&self) -> bool {
        self.routing.borrow().version > 0 && self.upstreams_listed.get()
    }

    /// Updates whether the box is synced, after something was read.
    pub fn update_synced(&self) {
        let is_synced = self.is_synced();
        self.synced
            .send_if_modified(|synced| std::mem::replace(synced, is_synced) != is_synced);
    }

    /// Waits until a box that has just started knows enough to serve, but not longer than
    /// `max_wait`.
    pub async fn wait_synced(&self, max_wait: Duration) {
        let mut synced = self.synced.subscribe();
        // In either case the request is judged by what is known by then.
        let _ = timeout(max_wait, synced.wait_for(|is_synced| *is_synced)).await;
    }

    /// Records how many boxes there are.
    pub fn set_fleet_size(&self, boxes: u32) {
        self.counted_boxes.set(boxes);
        let is_trusted = self.is_count_trusted();
        if is_trusted {
            self.retry_budgets.set_boxes(boxes);
        }
        let boxes = match is_trusted {
            true => boxes,
            false => boxes.max(DEFAULT_FLEET_SIZE),
        };
        if self.fleet_size.replace(boxes) != boxes {
            let fields = json!({"boxes": boxes, "trusted": is_trusted});
            log::event(Level::Info, "fleet", "boxes", fields);
        }
    }

    /// Whether a count of the boxes is trusted. A first count may be from before the others
    /// had started, unless this box was listed before its own start.
    fn is_count_trusted(&self) -> bool {
        self.was_listed.get() || self.uptime() >= COUNT_TRUST_DELAY
    }

    /// Role of this box in the exchange of load reports.
    pub fn role(&self) -> Role {
        let known_boxes = self.peers.borrow().len() + 1;
        let boxes = known_boxes.max(self.counted_boxes.get() as usize);
        hub::role(boxes, &self.readers.borrow())
    }

    /// Boxes that this one sends its load reports to.
    pub fn report_targets(&self) -> Vec<(BoxId, Peer)> {
        let peers = self.peers.borrow();
        let find_peer = |id: &BoxId| Some((id.clone(), peers.get(id)?.clone()));
        match self.role() {
            Role::Peer => peers.keys().filter_map(find_peer).collect(),
            Role::Hub => self
                .readers
                .borrow()
                .ids
                .iter()
                .filter_map(find_peer)
                .collect(),
            Role::Leaf(hub) => find_peer(&hub).into_iter().collect(),
        }
    }

    /// Boxes that learn the load of the rest of the fleet from this one; none unless it is
    /// a hub.
    pub fn leaves(&self) -> Vec<(BoxId, Peer)> {
        if self.role() != Role::Hub {
            return Vec::new();
        }
        let (peers, fleet_load) = (self.peers.borrow(), self.fleet_load.borrow());
        let hubs = &self.readers.borrow().ids;
        let leaves = fleet_load.senders().filter(|id| !hubs.contains(id));
        let leaves = leaves.filter_map(|id| Some((id.clone(), peers.get(id)?.clone())));
        leaves.collect()
    }

    /// Trusts the last count, as the other boxes have had time to start.
    pub fn trust_count(&self) {
        match self.counted_boxes.get() {
            0 => {}
            counted => self.set_fleet_size(counted),
        }
    }

    /// Counts a call to the store.
    pub fn count_store_call<T>(&self, call: &str, result: &Result<T, StoreError>) {
        let result = match result {
            Ok(_) => "done",
            Err(_) => "failed",
        };
        self.metrics
            .store_calls
            .with_label_values(&[call, result])
            .inc();
    }

    /// Number of boxes at the last count; 0 before the first one.
    pub fn counted_boxes(&self) -> u32 {
        self.counted_boxes.get()
    }

    /// Size of the fleet, as far as known.
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size.get()
    }

    /// Calls `with` on the queue of requests that wait for a service.
    pub fn with_queue<T>(
        &self,
        service: &ServiceId,
        with: impl FnOnce(&mut AdmissionQueue) -> T,
    ) -> T {
        with(self.queues.borrow_mut().entry(service.clone()).or_default())
    }

    /// Mean duration of a service's streams.
    pub fn mean_duration(&self, service: &str) -> Duration {
        let durations = self.durations.borrow();
        durations.get(service).copied().unwrap_or_default().mean()
    }

    /// Mean age of what this box knows of the load on the upstreams of all data centres. Load
    /// reports come once per interval, those about the own data centre more often.
    pub fn report_age(&self) -> Duration {
        let reporting = self.fleet_load.borrow().boxes() as f64;
        let data_centres = self.registry.borrow().data_centres().max(1) as f64;
        let (local, remote) = (self.local_report_interval.get(), self.report_interval.get());
        let interval = (local + remote.mul_f64(data_centres - 1.0)).div_f64(data_centres);
        interval.mul_f64(0.5 * reporting / (reporting + 1.0))
    }

    /// Records the duration of a stream that completed.
    pub fn note_duration(&self, service: &ServiceId, duration: Duration) {
        let mut durations = self.durations.borrow_mut();
        durations
            .entry(service.clone())
            .or_default()
            .record(duration);
    }

    /// Records that an engine refused a request at a certain utilization of its memory.
    pub fn note_full_refusal(&self, id: &str, utilization: f64) {
        let service = self
            .registry
            .borrow()
            .get(id)
            .map(|e| e.upstream.service.clone());
        if let Some(service) = service {
            self.with_queue(&service, |queue| queue.note_refused(utilization));
        }
    }

    /// Notifies the streams that the upstreams that they use may have changed.
    pub fn notify_streams(&self) {
        self.upstream_changes.send_modify(|n| *n += 1);
    }

    /// Marks an upstream that does not answer as suspect and notifies the streams on it.
    /// The other boxes are notified as well if it has just failed to accept a connection of
    /// this box.
    pub fn mark_suspect(&self, id: &str, reason: &str) {
        let is_new = self.registry.borrow_mut().mark_suspect(self.now(), id);
        if is_new {
            self.metrics.suspects.inc();
            log::event(
                Level::Warn,
                "roster",
                "suspect",
                json!({"upstream": id, "why": reason}),
            );
            self.notify_streams();
            suspicion::note_suspect(self, id);
        }
    }
}

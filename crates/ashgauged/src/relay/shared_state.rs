//! What the tasks of one box share: what it knows, and its budgets.
//!
//! All tasks run on one thread. A decision borrows the state, decides and
//! lets go without waiting in between, so what it decided on still holds when
//! the bytes go out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
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
use platform::{StoreClient, StoreError};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use spdlog::Level;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::metrics::Metrics;
use super::settings::Settings;
use super::state::{AdmissionStates, Clock, Permits, Probes, RetryBudgets, boot_time};
use super::{log, suspicion};

/// Boxes assumed by choices of upstreams before their number is known.
const DEFAULT_FLEET_SIZE: u32 = 16;

/// Time since the start after which a small count of the boxes is believed.
const COUNT_TRUST_DELAY: Duration = Duration::from_secs(3);

/// What the clock shows when the process starts, so that moments before it have
/// a time as well: a proof from another box may be older than the process.
const CLOCK_OFFSET: Duration = Duration::from_secs(60);

/// Another box, as it announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Address on which it hears.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it stands in the same data centre.
    pub is_local: bool,
    /// What its link carries, in Mbit/s; 0 if it did not say.
    pub link_mbps: u32,
    /// Whether all boxes know it, so that it may read for them.
    pub is_candidate: bool,
}

/// What another box asked last.
#[derive(Clone, Copy, Debug)]
pub struct LastQuery {
    /// When.
    pub asked_at: Duration,
    /// Revision up to which it knew everything.
    pub revision: Revision,
}

/// What the tasks of one box share.
pub struct SharedState {
    settings: RefCell<Rc<Settings>>,
    /// The store.
    pub store: StoreClient,
    /// Connections for orders and reports.
    pub client: Client,
    /// The configuration in force.
    pub routing: RefCell<Arc<RoutingConfig>>,
    /// The upstreams.
    pub registry: RefCell<UpstreamRegistry>,
    /// Limits that upstreams name, and permits to send to those.
    pub permits: Permits,
    /// How sure the configuration is.
    pub freshness: RefCell<Freshness>,
    /// What was read of the store, to hand on to other boxes.
    pub mirror: RefCell<Mirror>,
    /// Whether entries that are gone are certainly gone.
    pub removals_certain: Cell<bool>,
    /// Whether this box reads the store itself.
    pub reads_store: watch::Sender<bool>,
    /// When the other boxes had been looked for, so that who reads can be told.
    pub discovered_at: Cell<Option<Duration>>,
    /// Whether all boxes know this one, so that it may read for them.
    pub is_candidate: Cell<bool>,
    /// Whether the others knew this box before it started.
    pub was_listed: Cell<bool>,
    /// Whether there are boxes that this one does not know.
    pub peers_partial: Cell<bool>,
    /// The boxes that read for the others.
    pub readers: RefCell<Rc<Readers>>,
    /// When the store was last asked for a configuration that it did not have.
    pub config_missing_at: Cell<Option<Duration>>,
    /// Whether the last proof failed, so that calls to the store are in vain.
    pub store_down: Cell<bool>,
    /// Whether the list of upstreams was read.
    pub upstreams_listed: Cell<bool>,
    /// Whether a configuration and the list of upstreams were read.
    synced: watch::Sender<bool>,
    /// Whether the box is stopping.
    pub is_stopping: Cell<bool>,
    /// Whether new requests are refused, as the process is about to end.
    pub is_stopped: Cell<bool>,
    /// Requests under way.
    pub inflight: Cell<usize>,
    /// Bytes of bodies that are being read.
    pub body_bytes: Cell<usize>,
    /// Figures for operators.
    pub metrics: Metrics,
    /// Tells streams that an upstream became suspect, or gives up what it held.
    pub upstream_changes: watch::Sender<u64>,
    /// Probes of upstreams of the last moments.
    pub probes: Probes,
    /// Requests that wait for room, by service.
    pub queues: RefCell<HashMap<ServiceId, AdmissionQueue>>,
    /// How much is asked of each service, and who is let in.
    pub admissions: AdmissionStates,
    /// How long streams stay, by service.
    pub durations: RefCell<HashMap<ServiceId, RequestDuration>>,
    /// How far forecasts of first events are off, by service.
    pub calibrations: RefCell<HashMap<ServiceId, Calibration>>,
    /// What the other boxes have on the upstreams.
    pub fleet_load: RefCell<FleetLoad>,
    /// Time between two words on what boxes elsewhere have.
    pub report_interval: Cell<Duration>,
    /// Requests that end upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// Upstreams that run requests under which others were lost, one for each.
    pub suspect_runs: RefCell<Vec<UpstreamId>>,
    /// Tells that the other boxes are to know of another loss.
    pub loss_notify: Notify,
    /// Tells that a check of an upstream that may be lost has ended.
    pub check_notify: Notify,
    /// Engines that accept no connections, as this box found and others told it.
    pub suspicions: RefCell<SuspectReports>,
    /// Tells that the other boxes are to be notified of such engines.
    pub suspect_notify: Notify,
    /// Address on which this box hears the others, if it does.
    pub peer_addr: Cell<Option<SocketAddr>>,
    /// The other boxes, by name.
    pub peers: RefCell<HashMap<BoxId, Peer>>,
    /// Boxes that ask this one.
    pub pollers: RefCell<HashMap<BoxId, LastQuery>>,
    /// What goes between data centres.
    pub wan_usage: RefCell<WanUsage>,
    /// This box's data centre.
    pub data_centre: Arc<str>,
    /// Retries that this box may take.
    pub retry_budgets: RetryBudgets,
    fleet_size: Cell<u32>,
    counted: Cell<u32>,
    rng: RefCell<SmallRng>,
    /// The clock by which everything here goes.
    pub clock: Clock,
}

impl SharedState {
    /// Makes the state of a box that knows nothing yet.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let ms = Duration::from_millis;
        SharedState {
            store: StoreClient::new(&settings.store, settings.store_timeout()),
            client: Client::new(ms(settings.timing.connect_ms)),
            routing: RefCell::default(),
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
            is_stopping: Cell::new(false),
            is_stopped: Cell::new(false),
            inflight: Cell::new(0),
            body_bytes: Cell::new(0),
            metrics,
            upstream_changes: watch::Sender::new(0),
            probes: Probes::default(),
            queues: RefCell::default(),
            admissions: AdmissionStates::default(),
            durations: RefCell::default(),
            calibrations: RefCell::default(),
            fleet_load: RefCell::default(),
            report_interval: Cell::new(load_report::report_intervals(0, 0).1),
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
            counted: Cell::new(0),
            rng: RefCell::new(SmallRng::from_os_rng()),
            clock: Clock::new(boot_time),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts changed bounds and times in force. Addresses, the name and the
    /// log level hold from the next start on.
    pub fn reload(&self, settings: Settings) {
        self.freshness
            .borrow_mut()
            .set_max_age(settings.max_key_age());
        self.retry_budgets
            .set_allowance(self.now(), settings.retry_allowance());
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Time since [`CLOCK_OFFSET`] before the process's start; goes on while the
    /// process stands still or its machine is suspended.
    pub fn now(&self) -> Duration {
        CLOCK_OFFSET + self.clock.elapsed()
    }

    /// Time since the process's start.
    pub fn uptime(&self) -> Duration {
        self.clock.elapsed()
    }

    /// The configuration in force.
    pub fn routing(&self) -> Arc<RoutingConfig> {
        self.routing.borrow().clone()
    }

    /// Random choices.
    pub fn rng(&self) -> std::cell::RefMut<'_, SmallRng> {
        self.rng.borrow_mut()
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        let keyed = self.routing.borrow().requires_keys();
        let sure = !keyed || self.freshness.borrow().is_fresh(self.now());
        self.is_synced() && sure && !self.is_stopping.get()
    }

    /// Whether a configuration and the list of upstreams were read.
    pub fn is_synced(&self) -> bool {
        self.routing.borrow().version > 0 && self.upstreams_listed.get()
    }

    /// Notes that something was read for the first time.
    pub fn update_synced(&self) {
        let known = self.is_synced();
        self.synced
            .send_if_modified(|k| std::mem::replace(k, known) != known);
    }

    /// Waits until a box that has just started knows enough to serve, or for
    /// `most`.
    pub async fn wait_synced(&self, most: Duration) {
        let mut known = self.synced.subscribe();
        // Either way the request is judged by what is known then.
        let _ = timeout(most, known.wait_for(|k| *k)).await;
    }

    /// Notes how many boxes there are.
    pub fn set_fleet_size(&self, boxes: u32) {
        self.counted.set(boxes);
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

    /// Whether a count of the boxes is believed: a first one may be from before the
    /// others had started, but not where this box is listed from before its own start.
    fn is_count_trusted(&self) -> bool {
        self.was_listed.get() || self.uptime() >= COUNT_TRUST_DELAY
    }

    /// What this box is to the others.
    pub fn role(&self) -> Role {
        let known = self.peers.borrow().len() + 1;
        let boxes = known.max(self.counted.get() as usize);
        hub::role(boxes, &self.readers.borrow())
    }

    /// Boxes that this one tells what it has.
    pub fn report_targets(&self) -> Vec<(BoxId, Peer)> {
        let peers = self.peers.borrow();
        let named = |id: &BoxId| Some((id.clone(), peers.get(id)?.clone()));
        match self.role() {
            Role::Peer => peers.keys().filter_map(named).collect(),
            Role::Hub => self.readers.borrow().ids.iter().filter_map(named).collect(),
            Role::Leaf(hub) => named(&hub).into_iter().collect(),
        }
    }

    /// Boxes that hear of the others by this one.
    pub fn leaves(&self) -> Vec<(BoxId, Peer)> {
        if self.role() != Role::Hub {
            return Vec::new();
        }
        let (peers, shares) = (self.peers.borrow(), self.fleet_load.borrow());
        let hubs = &self.readers.borrow().ids;
        let below = shares.senders().filter(|id| !hubs.contains(id));
        let named = below.filter_map(|id| Some((id.clone(), peers.get(id)?.clone())));
        named.collect()
    }

    /// Believes the last count, as the others have had the time to start.
    pub fn trust_count(&self) {
        match self.counted.get() {
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

    /// Boxes that were counted so far; 0 before the first count.
    pub fn counted_boxes(&self) -> u32 {
        self.counted.get()
    }

    /// Boxes of the fleet, as far as is known.
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size.get()
    }

    /// Uses the line of requests that wait for a service.
    pub fn with_queue<T>(
        &self,
        service: &ServiceId,
        with: impl FnOnce(&mut AdmissionQueue) -> T,
    ) -> T {
        with(self.queues.borrow_mut().entry(service.clone()).or_default())
    }

    /// How long streams of a service stay.
    pub fn mean_duration(&self, service: &str) -> Duration {
        let stays = self.durations.borrow();
        stays.get(service).copied().unwrap_or_default().mean()
    }

    /// About how old what this box knows of all others is: words come each lag, those of
    /// the own data centre more often.
    pub fn report_age(&self) -> Duration {
        let heard = self.fleet_load.borrow().boxes() as f64;
        self.report_interval
            .get()
            .mul_f64(0.5 * heard / (heard + 1.0))
    }

    /// Notes how long a stream took that ended well.
    pub fn note_duration(&self, service: &ServiceId, took: Duration) {
        let mut stays = self.durations.borrow_mut();
        stays.entry(service.clone()).or_default().record(took);
    }

    /// Notes that an engine refused a request at a share of its memory.
    pub fn note_full_refusal(&self, id: &str, fullness: f64) {
        let service = self
            .registry
            .borrow()
            .get(id)
            .map(|e| e.upstream.service.clone());
        if let Some(service) = service {
            self.with_queue(&service, |l| l.note_refused(fullness));
        }
    }

    /// Tells the streams that the upstreams that they use may have changed.
    pub fn notify_streams(&self) {
        self.upstream_changes.send_modify(|n| *n += 1);
    }

    /// Notes that an upstream does not answer and tells the streams on it; the other boxes as
    /// well if it just accepted no connection of this box.
    pub fn mark_suspect(&self, id: &str, why: &str) {
        let new = self.registry.borrow_mut().mark_suspect(self.now(), id);
        if new {
            self.metrics.suspects.inc();
            log::event(
                Level::Warn,
                "roster",
                "suspect",
                json!({"upstream": id, "why": why}),
            );
            self.notify_streams();
            suspicion::note_suspect(self, id);
        }
    }
}

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
use ashgauge::fresh::Freshness;
use ashgauge::hub::{self, Role};
use ashgauge::member::{BoxId, UpstreamId};
use ashgauge::mirror::{Mirror, Revision};
use ashgauge::pipes::WanUsage;
use ashgauge::quarantine::Quarantine;
use ashgauge::reader::Readers;
use ashgauge::roster::UpstreamRegistry;
use ashgauge::routing::{RoutingConfig, ServiceId};
use ashgauge::share::{self, FleetLoad};
use ashgauge::stay::RequestDuration;
use ashgauge::suspicion::SuspectReports;
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
use super::state::{Budgets, Clock, Gates, Permits, Probes, boot_time};
use super::{log, suspicion};

/// Boxes assumed by choices of upstreams before their number is known.
const BOXES_ASSUMED: u32 = 16;

/// Time since the start after which a small count of the boxes is believed.
const TRUST_AFTER: Duration = Duration::from_secs(3);

/// What the clock shows when the process starts, so that moments before it have
/// a time as well: a proof from another box may be older than the process.
const CLOCK_START: Duration = Duration::from_secs(60);

/// Another box, as it announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Address on which it hears.
    pub addr: SocketAddr,
    /// Its data centre.
    pub place: Arc<str>,
    /// Whether it stands in the same data centre.
    pub near: bool,
    /// What its link carries, in Mbit/s; 0 if it did not say.
    pub link: u32,
    /// Whether all boxes know it, so that it may read for them.
    pub is_candidate: bool,
}

/// What another box asked last.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// When.
    pub at: Duration,
    /// Revision up to which it knew everything.
    pub known: Revision,
}

/// What the tasks of one box share.
pub struct Desk {
    settings: RefCell<Rc<Settings>>,
    /// The store.
    pub store: StoreClient,
    /// Connections for orders and reports.
    pub client: Client,
    /// The configuration in force.
    pub routing: RefCell<Arc<RoutingConfig>>,
    /// The upstreams.
    pub roster: RefCell<UpstreamRegistry>,
    /// Limits that upstreams name, and permits to send to those.
    pub permits: Permits,
    /// How sure the configuration is.
    pub fresh: RefCell<Freshness>,
    /// What was read of the store, to hand on to other boxes.
    pub mirror: RefCell<Mirror>,
    /// Whether entries that are gone are certainly gone.
    pub sure: Cell<bool>,
    /// Whether this box reads the store itself.
    pub reads: watch::Sender<bool>,
    /// When the other boxes had been looked for, so that who reads can be told.
    pub searched: Cell<Option<Duration>>,
    /// Whether all boxes know this one, so that it may read for them.
    pub is_candidate: Cell<bool>,
    /// Whether the others knew this box before it started.
    pub was_listed: Cell<bool>,
    /// Whether there are boxes that this one does not know.
    pub is_partial: Cell<bool>,
    /// The boxes that read for the others.
    pub readers: RefCell<Rc<Readers>>,
    /// When the store was last asked for a configuration that it did not have.
    pub vacant_at: Cell<Option<Duration>>,
    /// Whether the last proof failed, so that calls to the store are in vain.
    pub store_away: Cell<bool>,
    /// Whether the list of upstreams was read.
    pub listed: Cell<bool>,
    /// Whether a configuration and the list of upstreams were read.
    known: watch::Sender<bool>,
    /// Whether the box is stopping.
    pub stopping: Cell<bool>,
    /// Whether new requests are refused, as the process is about to end.
    pub stopped: Cell<bool>,
    /// Requests under way.
    pub inflight: Cell<usize>,
    /// Bytes of bodies that are being read.
    pub bodies: Cell<usize>,
    /// Figures for operators.
    pub metrics: Metrics,
    /// Tells streams that an upstream became suspect, or gives up what it held.
    pub suspects: watch::Sender<u64>,
    /// Probes of upstreams of the last moments.
    pub probes: Probes,
    /// Requests that wait for room, by service.
    pub lines: RefCell<HashMap<ServiceId, AdmissionQueue>>,
    /// How much is asked of each service, and who is let in.
    pub gates: Gates,
    /// How long streams stay, by service.
    pub stays: RefCell<HashMap<ServiceId, RequestDuration>>,
    /// How far forecasts of first events are off, by service.
    pub calibrations: RefCell<HashMap<ServiceId, Calibration>>,
    /// What the other boxes have on the upstreams.
    pub shares: RefCell<FleetLoad>,
    /// Time between two words on what boxes elsewhere have.
    pub lag: Cell<Duration>,
    /// Requests that end upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// Upstreams that run requests under which others were lost, one for each.
    pub trials: RefCell<Vec<UpstreamId>>,
    /// Tells that the other boxes are to know of another loss.
    pub lost: Notify,
    /// Tells that a check of an upstream that may be lost has ended.
    pub checked: Notify,
    /// Engines that accept no connections, as this box found and others told it.
    pub suspicions: RefCell<SuspectReports>,
    /// Tells that the other boxes are to be notified of such engines.
    pub suspected: Notify,
    /// Address on which this box hears the others, if it does.
    pub heard_at: Cell<Option<SocketAddr>>,
    /// The other boxes, by name.
    pub peers: RefCell<HashMap<BoxId, Peer>>,
    /// Boxes that ask this one.
    pub askers: RefCell<HashMap<BoxId, Asked>>,
    /// What goes between data centres.
    pub pipes: RefCell<WanUsage>,
    /// This box's data centre.
    pub place: Arc<str>,
    /// Retries that this box may take.
    pub budgets: Budgets,
    boxes: Cell<u32>,
    counted: Cell<u32>,
    rng: RefCell<SmallRng>,
    /// The clock by which everything here goes.
    pub clock: Clock,
}

impl Desk {
    /// Makes the state of a box that knows nothing yet.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let ms = Duration::from_millis;
        Desk {
            store: StoreClient::new(&settings.store, settings.store_time()),
            client: Client::new(ms(settings.timing.connect_ms)),
            routing: RefCell::default(),
            roster: RefCell::default(),
            permits: Permits::default(),
            fresh: RefCell::new(Freshness::new(settings.key_age())),
            mirror: RefCell::default(),
            sure: Cell::new(true),
            reads: watch::Sender::new(false),
            searched: Cell::new(None),
            is_candidate: Cell::new(true),
            was_listed: Cell::new(false),
            is_partial: Cell::new(false),
            readers: RefCell::default(),
            vacant_at: Cell::new(None),
            store_away: Cell::new(false),
            listed: Cell::new(false),
            known: watch::Sender::new(false),
            stopping: Cell::new(false),
            stopped: Cell::new(false),
            inflight: Cell::new(0),
            bodies: Cell::new(0),
            metrics,
            suspects: watch::Sender::new(0),
            probes: Probes::default(),
            lines: RefCell::default(),
            gates: Gates::default(),
            stays: RefCell::default(),
            calibrations: RefCell::default(),
            shares: RefCell::default(),
            lag: Cell::new(share::report_intervals(0, 0).1),
            quarantine: RefCell::default(),
            trials: RefCell::default(),
            lost: Notify::new(),
            checked: Notify::new(),
            suspicions: RefCell::default(),
            suspected: Notify::new(),
            heard_at: Cell::new(None),
            peers: RefCell::default(),
            askers: RefCell::default(),
            pipes: RefCell::default(),
            place: settings.data_centre.as_str().into(),
            budgets: Budgets::new(settings.allowance(), CLOCK_START),
            boxes: Cell::new(BOXES_ASSUMED),
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
        self.fresh.borrow_mut().set_max_age(settings.key_age());
        self.budgets.set_allowance(self.now(), settings.allowance());
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Time since [`CLOCK_START`] before the process's start; goes on while the
    /// process stands still or its machine is suspended.
    pub fn now(&self) -> Duration {
        CLOCK_START + self.clock.elapsed()
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
        let sure = !keyed || self.fresh.borrow().is_fresh(self.now());
        self.is_informed() && sure && !self.stopping.get()
    }

    /// Whether a configuration and the list of upstreams were read.
    pub fn is_informed(&self) -> bool {
        self.routing.borrow().version > 0 && self.listed.get()
    }

    /// Notes that something was read for the first time.
    pub fn note_read(&self) {
        let known = self.is_informed();
        self.known
            .send_if_modified(|k| std::mem::replace(k, known) != known);
    }

    /// Waits until a box that has just started knows enough to serve, or for
    /// `most`.
    pub async fn wait_known(&self, most: Duration) {
        let mut known = self.known.subscribe();
        // Either way the request is judged by what is known then.
        let _ = timeout(most, known.wait_for(|k| *k)).await;
    }

    /// Notes how many boxes there are.
    pub fn set_boxes(&self, boxes: u32) {
        self.counted.set(boxes);
        let is_trusted = self.trusts_count();
        if is_trusted {
            self.budgets.share_with(boxes);
        }
        let boxes = match is_trusted {
            true => boxes,
            false => boxes.max(BOXES_ASSUMED),
        };
        if self.boxes.replace(boxes) != boxes {
            let fields = json!({"boxes": boxes, "trusted": is_trusted});
            log::line(Level::Info, "fleet", "boxes", fields);
        }
    }

    /// Whether a count of the boxes is believed: a first one may be from before the
    /// others had started, but not where this box is listed from before its own start.
    fn trusts_count(&self) -> bool {
        self.was_listed.get() || self.uptime() >= TRUST_AFTER
    }

    /// What this box is to the others.
    pub fn role(&self) -> Role {
        let known = self.peers.borrow().len() + 1;
        let boxes = known.max(self.counted.get() as usize);
        hub::role(boxes, &self.readers.borrow())
    }

    /// Boxes that this one tells what it has.
    pub fn listeners(&self) -> Vec<(BoxId, Peer)> {
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
        let (peers, shares) = (self.peers.borrow(), self.shares.borrow());
        let hubs = &self.readers.borrow().ids;
        let below = shares.senders().filter(|id| !hubs.contains(id));
        let named = below.filter_map(|id| Some((id.clone(), peers.get(id)?.clone())));
        named.collect()
    }

    /// Believes the last count, as the others have had the time to start.
    pub fn believe_count(&self) {
        match self.counted.get() {
            0 => {}
            counted => self.set_boxes(counted),
        }
    }

    /// Counts a call to the store.
    pub fn count_call<T>(&self, call: &str, result: &Result<T, StoreError>) {
        let result = match result {
            Ok(_) => "done",
            Err(_) => "failed",
        };
        self.metrics.store.with_label_values(&[call, result]).inc();
    }

    /// Boxes that were counted so far; 0 before the first count.
    pub fn counted_boxes(&self) -> u32 {
        self.counted.get()
    }

    /// Boxes of the fleet, as far as is known.
    pub fn boxes(&self) -> u32 {
        self.boxes.get()
    }

    /// Uses the line of requests that wait for a service.
    pub fn line<T>(&self, service: &ServiceId, with: impl FnOnce(&mut AdmissionQueue) -> T) -> T {
        with(self.lines.borrow_mut().entry(service.clone()).or_default())
    }

    /// How long streams of a service stay.
    pub fn stay(&self, service: &str) -> Duration {
        let stays = self.stays.borrow();
        stays.get(service).copied().unwrap_or_default().mean()
    }

    /// About how old what this box knows of all others is: words come each lag, those of
    /// the own data centre more often.
    pub fn words_age(&self) -> Duration {
        let heard = self.shares.borrow().boxes() as f64;
        self.lag.get().mul_f64(0.5 * heard / (heard + 1.0))
    }

    /// Notes how long a stream took that ended well.
    pub fn note_stay(&self, service: &ServiceId, took: Duration) {
        let mut stays = self.stays.borrow_mut();
        stays.entry(service.clone()).or_default().record(took);
    }

    /// Notes that an engine refused a request at a share of its memory.
    pub fn note_refused(&self, id: &str, fullness: f64) {
        let service = self
            .roster
            .borrow()
            .get(id)
            .map(|e| e.upstream.service.clone());
        if let Some(service) = service {
            self.line(&service, |l| l.note_refused(fullness));
        }
    }

    /// Tells the streams that the upstreams that they use may have changed.
    pub fn wake_streams(&self) {
        self.suspects.send_modify(|n| *n += 1);
    }

    /// Notes that an upstream does not answer and tells the streams on it; the other boxes as
    /// well if it just accepted no connection of this box.
    pub fn suspect(&self, id: &str, why: &str) {
        let new = self.roster.borrow_mut().mark_suspect(self.now(), id);
        if new {
            self.metrics.suspects.inc();
            log::line(
                Level::Warn,
                "roster",
                "suspect",
                json!({"upstream": id, "why": why}),
            );
            self.wake_streams();
            suspicion::note(self, id);
        }
    }
}

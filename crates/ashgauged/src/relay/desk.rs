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
use std::time::{Duration, Instant};

use ashgauge::admission::Line;
use ashgauge::chain::Stage;
use ashgauge::choice::{self, Need};
use ashgauge::cost;
use ashgauge::fresh::Freshness;
use ashgauge::member::{BoxId, UpstreamId};
use ashgauge::mirror::Mirror;
use ashgauge::pipes::Pipes;
use ashgauge::quarantine::Quarantine;
use ashgauge::retry::{Allowance, Window};
use ashgauge::roster::{Roster, Span};
use ashgauge::routing::{Model, Routing, ServiceId};
use ashgauge::scene::Scene;
use ashgauge::share::{self, Shares};
use ashgauge::slack::Slack;
use ashgauge::stay::Stay;
use http::Client;
use platform::{Fault, Store};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use spdlog::Level;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::log;
use super::metrics::Metrics;
use super::probe::Probes;
use super::settings::Settings;

/// Boxes assumed before their number is known; more than there are, so that
/// the part of the retry budget is small.
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
}

/// Share of the memory near up to which those who come back late choose as streams
/// of a lost engine do: they come back together, as they were cut together, and by
/// the time of a whole answer all went to the same engines. On eight plays with
/// seeds not used before 0.804 was earned so, 0.792 without (mean worth, without
/// processor time). Where memory is scarce a chain must be quick as a whole, as it
/// holds memory for as long.
const ROOM_TOGETHER: f64 = 0.4;

/// What a chain is chosen for.
#[derive(Clone, Copy)]
pub struct Wish {
    /// Room that it needs; none for a stream that goes on, which is not held up.
    pub need: Option<Need>,
    /// How the request stands against its aim.
    pub slack: Slack,
}

/// What the tasks of one box share.
pub struct Desk {
    settings: RefCell<Rc<Settings>>,
    /// The store.
    pub store: Store,
    /// Connections for orders and reports.
    pub client: Client,
    /// The configuration in force.
    pub routing: RefCell<Arc<Routing>>,
    /// The upstreams.
    pub roster: RefCell<Roster>,
    /// How sure the configuration is.
    pub fresh: RefCell<Freshness>,
    /// What was read of the store, to hand on to other boxes.
    pub mirror: RefCell<Mirror>,
    /// Whether entries that are gone are certainly gone.
    pub sure: Cell<bool>,
    /// Whether this box reads the store itself.
    pub reads: watch::Sender<bool>,
    /// Whether the other boxes were looked for, so that who reads can be told.
    pub searched: Cell<bool>,
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
    pub lines: RefCell<HashMap<ServiceId, Line>>,
    /// How long streams stay, by service.
    stays: RefCell<HashMap<ServiceId, Stay>>,
    /// What the other boxes have on the upstreams.
    pub shares: RefCell<Shares>,
    /// Requests that end upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// Tells that the other boxes are to know of another loss.
    pub lost: Notify,
    /// Address on which this box hears the others, if it does.
    pub heard_at: Cell<Option<SocketAddr>>,
    /// The other boxes, by name.
    pub peers: RefCell<HashMap<BoxId, Peer>>,
    pipes: RefCell<Pipes>,
    place: Arc<str>,
    budgets: RefCell<HashMap<ServiceId, Window>>,
    boxes: Cell<u32>,
    counted: Cell<u32>,
    rng: RefCell<SmallRng>,
    epoch: Instant,
}

impl Desk {
    /// Makes the state of a box that knows nothing yet.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let ms = Duration::from_millis;
        Desk {
            store: Store::new(&settings.store, settings.store_time()),
            client: Client::new(ms(settings.timing.connect_ms)),
            routing: RefCell::default(),
            roster: RefCell::default(),
            fresh: RefCell::new(Freshness::new(settings.key_age())),
            mirror: RefCell::default(),
            sure: Cell::new(true),
            reads: watch::Sender::new(false),
            searched: Cell::new(false),
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
            stays: RefCell::default(),
            shares: RefCell::default(),
            quarantine: RefCell::default(),
            lost: Notify::new(),
            heard_at: Cell::new(None),
            peers: RefCell::default(),
            pipes: RefCell::default(),
            place: settings.data_centre.as_str().into(),
            budgets: RefCell::default(),
            boxes: Cell::new(BOXES_ASSUMED),
            counted: Cell::new(0),
            rng: RefCell::new(SmallRng::from_os_rng()),
            epoch: Instant::now(),
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
        self.fresh.borrow_mut().set_most(settings.key_age());
        let allowance = self.allowance(&settings);
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_allowance(allowance);
        }
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Time since [`CLOCK_START`] before the process's start; goes on while the
    /// process stands still.
    pub fn now(&self) -> Duration {
        CLOCK_START + self.epoch.elapsed()
    }

    /// Time since the process's start.
    pub fn uptime(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// The configuration in force.
    pub fn routing(&self) -> Arc<Routing> {
        self.routing.borrow().clone()
    }

    /// Random choices.
    pub fn rng(&self) -> std::cell::RefMut<'_, SmallRng> {
        self.rng.borrow_mut()
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        let keyed = self.routing.borrow().is_keyed();
        let sure = !keyed || self.fresh.borrow().holds(self.now());
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

    /// Notes how many boxes share the fleet's budgets.
    pub fn set_boxes(&self, boxes: u32) {
        self.counted.set(boxes);
        // A small first count may be from before the others had started.
        let boxes = match self.uptime() < TRUST_AFTER {
            true => boxes.max(BOXES_ASSUMED),
            false => boxes,
        };
        if self.boxes.replace(boxes) == boxes {
            return;
        }
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.share_with(boxes);
        }
        log::line(Level::Info, "fleet", "boxes", json!({"boxes": boxes}));
    }

    /// Counts a call to the store.
    pub fn count_call<T>(&self, call: &str, result: &Result<T, Fault>) {
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

    /// Boxes that share the fleet's budgets, as far as is known.
    pub fn boxes(&self) -> u32 {
        self.boxes.get()
    }

    /// Retries spent in the window, by service.
    pub fn retries(&self) -> Vec<(String, f64)> {
        let budgets = self.budgets.borrow();
        let spent = budgets.iter().map(|(s, b)| (s.to_string(), b.spent()));
        spent.collect()
    }

    /// Uses a service's retry budget.
    pub fn budget<T>(&self, service: &ServiceId, with: impl FnOnce(&mut Window) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let make = || Window::new(self.allowance(&self.settings()));
        with(budgets.entry(service.clone()).or_insert_with(make))
    }

    fn allowance(&self, settings: &Settings) -> Allowance {
        let bounds = &settings.bounds;
        Allowance {
            window: settings.retry_window(),
            ratio: bounds.retry_share,
            extra: bounds.retry_extra,
            boxes: self.boxes.get(),
        }
    }

    /// Chooses an upstream of a plain service.
    pub fn choose(&self, service: &str, tried: &[UpstreamId]) -> Option<(UpstreamId, String)> {
        let roster = self.roster.borrow();
        let (pipes, shares) = (self.pipes.borrow(), self.shares.borrow());
        let scene = self.scene(&roster, &pipes, &shares, service);
        let id = choice::upstream(&scene, tried, &mut *self.rng())?;
        let addr = roster.get(&id)?.upstream.addr.clone();
        Some((id, addr))
    }

    /// Chooses a chain over a range of a model's layers; without a `need` for a
    /// stream that goes on elsewhere, as others do at the same moment.
    pub fn choose_chain(
        &self,
        service: &str,
        model: &Model,
        span: Span,
        avoid: &[UpstreamId],
        wish: Wish,
    ) -> Option<Vec<Stage>> {
        let roster = self.roster.borrow();
        let (pipes, shares) = (self.pipes.borrow(), self.shares.borrow());
        let scene = self.scene(&roster, &pipes, &shares, service);
        let together = match wish.slack {
            Slack::Short => true,
            Slack::Late => choice::filled_near(&scene, model) < ROOM_TOGETHER,
            Slack::Ample => false,
        };
        let scene = Scene { together, ..scene };
        choice::chain(&scene, model, span, avoid, wish.need, &mut *self.rng())
    }

    /// Uses the line of requests that wait for a service.
    pub fn line<T>(&self, service: &ServiceId, with: impl FnOnce(&mut Line) -> T) -> T {
        with(self.lines.borrow_mut().entry(service.clone()).or_default())
    }

    /// Notes how long a stream took that ended well.
    pub fn note_stay(&self, service: &ServiceId, took: Duration) {
        let mut stays = self.stays.borrow_mut();
        stays.entry(service.clone()).or_default().note(took);
    }

    /// Notes that an engine refused a request at a share of its memory.
    pub fn note_refused(&self, id: &str, fullness: f64) {
        let service = self
            .roster
            .borrow()
            .get(id)
            .map(|e| e.upstream.service.clone());
        if let Some(service) = service {
            self.line(&service, |l| l.note_full(fullness));
        }
    }

    /// Share of an engine's memory that requests hold, as far as is known.
    pub fn fullness(&self, id: &str) -> Option<f64> {
        let (roster, routing) = (self.roster.borrow(), self.routing());
        let entry = roster.get(id)?;
        let service = routing.services.get(&entry.upstream.service)?;
        let (pipes, shares) = (self.pipes.borrow(), self.shares.borrow());
        let scene = self.scene(&roster, &pipes, &shares, &service.name);
        choice::fullness(&scene, service.model.as_ref()?, entry)
    }

    /// How many of a service's engines are filled up to the share at which they
    /// get no first sends, and how many hold layers.
    pub fn count_full(&self, service: &ServiceId) -> (usize, usize) {
        let limit = self.line(service, |l| l.limit());
        let engines: Vec<UpstreamId> = {
            let roster = self.roster.borrow();
            let holding = roster.of(service).filter(|e| e.upstream.layers.is_some());
            holding.map(|e| e.upstream.id.clone()).collect()
        };
        let full = engines.iter().filter_map(|id| self.fullness(id));
        (full.filter(|f| *f >= limit).count(), engines.len())
    }

    /// Writes a chain for the wire, with the first engine's address.
    pub fn chain_text(&self, stages: &[Stage]) -> Option<(String, String)> {
        let roster = self.roster.borrow();
        let addr = |id: &str| roster.get(id).map(|e| e.upstream.addr.as_str());
        let text = platform::engine::chain(stages, addr)?;
        let first = addr(&stages.first()?.upstream)?;
        Some((text, first.into()))
    }

    /// How often a chain changes data centre.
    pub fn count_crossings(&self, stages: &[Stage]) -> usize {
        let roster = self.roster.borrow();
        let place = |s: &Stage| roster.get(&s.upstream).map(|e| e.upstream.place.clone());
        let pairs = stages.windows(2);
        pairs.filter(|p| place(&p[0]) != place(&p[1])).count()
    }

    /// Notes what goes between data centres for `tokens` tokens that a chain
    /// reads.
    pub fn note_crossings(&self, model: &Model, stages: &[Stage], tokens: u32) {
        let (roster, now) = (self.roster.borrow(), self.now());
        let mut pipes = self.pipes.borrow_mut();
        let place = |s: &Stage| roster.get(&s.upstream).map(|e| e.upstream.place.clone());
        for pair in stages.windows(2) {
            if let (Some(from), Some(to)) = (place(&pair[0]), place(&pair[1]))
                && from != to
            {
                pipes.note(now, &from, &to, f64::from(tokens) * model.activation_mb);
            }
        }
    }

    /// Notes that engines are to read `tokens` tokens, each through its stage.
    pub fn note_reading<'a>(
        &self,
        model: &Model,
        service: &str,
        stages: impl Iterator<Item = &'a Stage>,
        tokens: u32,
    ) {
        let mut roster = self.roster.borrow_mut();
        let (pipes, shares) = (self.pipes.borrow(), self.shares.borrow());
        for stage in stages {
            let layers = stage.end - stage.first;
            let scene = self.scene(&roster, &pipes, &shares, service);
            let entry = roster.get(&stage.upstream);
            let seconds = entry.map(|e| cost::reading_seconds(&scene, model, e, layers, tokens));
            if let Some(seconds) = seconds {
                roster.note_reading(self.now(), &stage.upstream, seconds);
            }
        }
    }

    /// Tells the streams that the upstreams that they use may have changed.
    pub fn wake_streams(&self) {
        self.suspects.send_modify(|n| *n += 1);
    }

    /// Notes that an upstream does not answer and tells the streams on it.
    pub fn suspect(&self, id: &str, why: &str) {
        let new = self.roster.borrow_mut().suspect(self.now(), id);
        if new {
            self.metrics.suspects.inc();
            log::line(
                Level::Warn,
                "roster",
                "suspect",
                json!({"upstream": id, "why": why}),
            );
            self.wake_streams();
        }
    }

    /// Boxes of one data centre, on average.
    fn neighbours(&self, roster: &Roster) -> f64 {
        let mut places: Vec<_> = roster.all().map(|e| &e.upstream.place).collect();
        places.sort();
        places.dedup();
        (f64::from(self.boxes.get()) / places.len().max(1) as f64).max(1.0)
    }

    fn scene<'a>(
        &'a self,
        roster: &'a Roster,
        pipes: &'a Pipes,
        shares: &'a Shares,
        service: &'a str,
    ) -> Scene<'a> {
        Scene {
            roster,
            pipes,
            shares,
            service,
            place: &self.place,
            lag: share::tell_times(0, self.peers.borrow().len()).1,
            boxes: f64::from(self.boxes.get()),
            neighbours: self.neighbours(roster),
            stay: self
                .stays
                .borrow()
                .get(service)
                .copied()
                .unwrap_or_default()
                .mean(),
            together: false,
            now: self.now(),
        }
    }
}

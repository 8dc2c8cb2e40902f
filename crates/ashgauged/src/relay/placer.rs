//! The one duty that needs one doer: giving layers to engines that hold none.
//!
//! Whoever sees such engines writes the ranges into the store, on the
//! condition that nobody else did meanwhile, and then gives the orders. The
//! write is the lease: it names who gives these orders, and it lapses by
//! itself when the engines do not show the layers in time.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::pending::{OrderRounds, PendingAssignment, PendingAssignments};
use ashgauge::placement::{self, Assignment, PlacedEngine};
use ashgauge::revision::{self, Era};
use ashgauge::routing::{Model, Service};
use ashgauge::upstream::LayerRange;
use ashgauge::upstream_state::UpstreamState;
use platform::StoreError;
use platform::engine::{self, OrderReply, ReleaseMode};
use platform::store::Revision;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use spdlog::Level;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::log;
use super::shared_state::SharedState;

/// Kind of the objects that say which engine is to hold what.
const KIND: &str = "ashgauge-placements";

/// Time between two looks for engines that hold nothing.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a look that found nothing to do; an engine that becomes suspect
/// or lets an order lapse is noticed as late.
const IDLE_PAUSE: Duration = Duration::from_millis(750);

/// How long no engine may have come or gone before ranges are chosen, so that
/// those of one start are placed together.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// The same once layers were given: losses are to be made good soon.
const RESETTLE_TIME: Duration = Duration::from_millis(300);

/// Longest wait for engines to stop coming and going, once layers were given:
/// while a release goes on they never do.
const MAX_RESETTLE_WAIT: Duration = Duration::from_millis(700);

/// The same before, when the fleet starts; entries come in over some seconds.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(6000);

/// Boxes wait up to this long, each at random, so that mostly one writes.
const MAX_STAGGER: Duration = Duration::from_millis(300);

/// For an engine's answer to an order, which takes milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Times an order is sent at most.
const MAX_ORDER_TRIES: u32 = 4;

/// Orders of a box that wait for an answer at one time: each has a connection.
const MAX_OPEN_ORDERS: usize = 256;

/// Pause before an order that got no answer is sent again; it may have been
/// taken, and then the engine's report shows it.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(1200);

/// Revisions of earlier rounds that are kept; rounds follow each other within
/// seconds at the most, and boxes look as often.
const MAX_KEPT_REVISIONS: usize = 16;

/// What an engine's announcement may lag behind its loading.
const ANNOUNCE_LAG: Duration = Duration::from_secs(3);

/// Ranges of one service's engines, as stored.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct StoredRound {
    /// The box that gives the orders.
    #[serde(rename = "by")]
    owner: String,
    /// Number of the writing, one more each time.
    round: u64,
    /// The ranges that it orders.
    ranges: Vec<Assignment>,
    /// Whether engines break off what uses the layers that they give up.
    #[serde(default)]
    #[serde(rename = "cut")]
    abort: bool,
    /// Ranges that were ordered before and had not shown yet.
    #[serde(default)]
    #[serde(rename = "earlier")]
    unannounced: Vec<PendingAssignment>,
    /// Revisions of the store at which the last rounds before were written.
    #[serde(default)]
    #[serde(rename = "written")]
    revisions: Vec<Revision>,
}

/// Revisions at which boxes wrote rounds of orders lately, as they were known
/// some seconds ago.
///
/// # Errors
///
/// As every call of the store.
pub async fn round_revisions(shared: &SharedState) -> Result<Vec<Revision>, StoreError> {
    let stored = shared.store.list_stale::<StoredRound>(KIND).await;
    shared.count_store_call("stale", &stored);
    let revisions = stored?.into_iter().flat_map(|object| {
        let mut revisions = object.value.revisions;
        revisions.push(object.revision);
        revisions
    });
    Ok(revisions.collect())
}

/// Follows the engines and places those that hold nothing.
pub struct Placer {
    shared: Rc<SharedState>,
    /// Places of orders that wait for an answer.
    order_slots: Rc<Semaphore>,
    /// Ranges ordered by some box that do not show yet.
    pending: PendingAssignments,
    /// Round of each service that was taken into `pending`.
    rounds: OrderRounds,
    registry_generation: u64,
    /// When engines last came, went or changed.
    changed_at: Duration,
    /// Until when nothing is looked for, unless engines come, go or change.
    idle_until: Duration,
    /// When they first did since the last look.
    unsettled_since: Option<Duration>,
}

impl Placer {
    /// Starts the duty; its task runs as long as the process.
    pub fn start(shared: Rc<SharedState>) {
        let placer = Placer {
            shared,
            order_slots: Rc::new(Semaphore::new(MAX_OPEN_ORDERS)),
            pending: PendingAssignments::default(),
            rounds: OrderRounds::default(),
            registry_generation: 0,
            changed_at: Duration::ZERO,
            idle_until: Duration::ZERO,
            unsettled_since: None,
        };
        tokio::task::spawn_local(placer.run());
    }

    async fn run(mut self) {
        loop {
            sleep(POLL_INTERVAL).await;
            // A box that does not read hears late of what others ordered.
            let reads = *self.shared.reads_store.borrow();
            let idle = !reads || self.shared.is_stopping.get() || self.shared.store_down.get();
            if idle || !self.has_settled() || self.shared.now() < self.idle_until {
                continue;
            }
            let routing = self.shared.routing();
            for service in routing.services.values() {
                let Some(model) = service.model.as_ref().filter(|m| m.layers > 0) else {
                    continue;
                };
                if let Err(fault) = self.place_unassigned(service, model).await {
                    let fields = json!({"service": &*service.name, "fault": fault.to_string()});
                    log::event(Level::Warn, "placement", "not written", fields);
                }
            }
        }
    }

    fn has_settled(&mut self) -> bool {
        let now = self.shared.now();
        let registry = self.shared.registry.borrow();
        if registry.generation() != self.registry_generation {
            self.registry_generation = registry.generation();
            self.changed_at = now;
            self.idle_until = now;
            self.unsettled_since.get_or_insert(now);
        }
        let placed = registry.iter().any(|e| e.upstream.layers.is_some());
        let (time, most) = match placed {
            true => (RESETTLE_TIME, MAX_RESETTLE_WAIT),
            false => (SETTLE_TIME, MAX_SETTLE_WAIT),
        };
        let long = self
            .unsettled_since
            .is_some_and(|since| now >= since + most);
        let settled = long || now >= self.changed_at + time;
        if settled {
            self.unsettled_since = None;
        }
        settled
    }

    /// Places the engines of a service that hold nothing, if any.
    async fn place_unassigned(
        &mut self,
        service: &Service,
        model: &Model,
    ) -> Result<(), StoreError> {
        if self.plan_ranges(service, model).is_empty() {
            self.idle_until = self.shared.now() + IDLE_PAUSE;
            return Ok(());
        }
        let stagger = self.shared.rng().random_range(Duration::ZERO..MAX_STAGGER);
        sleep(stagger).await;
        let read = self
            .shared
            .store
            .get::<StoredRound>(KIND, &service.name)
            .await;
        self.shared.count_store_call("get", &read);
        let (stored, revision) = match read {
            Ok(object) => (object.value, Some(object.revision)),
            Err(StoreError::NotFound) => (StoredRound::default(), None),
            Err(fault) => return Err(fault),
        };
        let era = revision.map_or_else(
            || *self.shared.store.subscribe_era().borrow(),
            revision::era,
        );
        if self.is_unacknowledged(service, era, &stored) {
            self.issue_orders(service, model, era, stored);
            return Ok(());
        }
        self.adopt_round(service, model, era, &stored);
        let ranges = self.plan_ranges(service, model);
        if ranges.is_empty() {
            return Ok(());
        }
        let next = StoredRound {
            owner: self.shared.settings().id.clone(),
            round: stored.round + 1,
            abort: !self.has_chain(service, model),
            ranges,
            unannounced: self.unannounced(service),
            revisions: recent_revisions(stored.revisions, revision),
        };
        let store = &self.shared.store;
        let written = match revision {
            Some(revision) => store.replace(KIND, &service.name, revision, &next).await,
            None => store.create(KIND, &service.name, &next).await,
        };
        self.shared.count_store_call("write", &written);
        match written {
            Ok(()) => self.issue_orders(service, model, era, next),
            // Another box was first; its ranges are taken in at the next look.
            Err(StoreError::Conflict) => {}
            Err(fault) => return Err(fault),
        }
        Ok(())
    }

    /// Whether this box wrote the round without hearing of it: the answer was
    /// lost, or the process ended before the orders. Giving them again is safe,
    /// as each names the count of orders before it.
    fn is_unacknowledged(&self, service: &Service, era: Era, stored: &StoredRound) -> bool {
        let is_own = stored.owner == self.shared.settings().id;
        is_own && self.rounds.may_be_unsent(&service.name, era, stored.round)
    }

    /// Takes a stored round into account, once.
    fn adopt_round(&mut self, service: &Service, model: &Model, era: Era, stored: &StoredRound) {
        if !self.rounds.is_newer(&service.name, era, stored.round) {
            return;
        }
        self.rounds.record(service.name.clone(), era, stored.round);
        self.note_orders(model, &stored.ranges);
        self.pending.merge(self.shared.now(), &stored.unannounced);
    }

    /// Ranges of a service's engines that were ordered and do not show yet.
    fn unannounced(&self, service: &Service) -> Vec<PendingAssignment> {
        let registry = self.shared.registry.borrow();
        let of_service = |id: &str| {
            let entry = registry.get(id);
            entry.is_some_and(|e| e.upstream.service == service.name)
        };
        let mut told = self.pending.snapshot(self.shared.now());
        told.retain(|unshown| of_service(&unshown.assignment.id));
        told
    }

    fn note_orders(&mut self, model: &Model, ranges: &[Assignment]) {
        let time = load_time(model, ranges) + ANNOUNCE_LAG;
        self.pending.add(self.shared.now(), ranges, time);
    }

    /// Ranges for the engines that hold nothing and were ordered nothing, or
    /// for one that is needed elsewhere.
    fn plan_ranges(&mut self, service: &Service, model: &Model) -> Vec<Assignment> {
        let now = self.shared.now();
        let registry = self.shared.registry.borrow();
        self.pending.expire(now);
        self.pending.retain(|id, span| {
            let entry = registry.get(id);
            entry.is_some_and(|e| e.upstream.layers != Some(span))
        });
        let entries = registry
            .of_service(&service.name)
            .filter(|e| e.is_usable(now));
        let seats: Vec<PlacedEngine> = entries.filter_map(|e| self.to_seat(e)).collect();
        placement::plan(model, &seats)
    }

    /// Whether a whole chain is left.
    ///
    /// Without one nothing passes that could end well, yet engines that wait for
    /// what passes may wait until the deadlines of requests whose boxes lost
    /// power. A box that reaches less than half of the engines may be cut off itself.
    fn has_chain(&self, service: &Service, model: &Model) -> bool {
        let now = self.shared.now();
        let registry = self.shared.registry.borrow();
        let usable = || {
            registry
                .of_service(&service.name)
                .filter(|e| e.is_usable(now))
        };
        let spans = usable().filter_map(|e| e.upstream.layers);
        let is_cut_off = usable().count() * 2 < registry.of_service(&service.name).count();
        is_cut_off || placement::covers_model(model.layers, spans)
    }

    fn to_seat(&self, entry: &UpstreamState) -> Option<PlacedEngine> {
        let upstream = &entry.upstream;
        let ordered = self.pending.layers(&upstream.id);
        Some(PlacedEngine {
            id: upstream.id.clone(),
            data_centre: upstream.data_centre.clone(),
            accelerator: upstream.accelerator.clone()?,
            layers: ordered.or(upstream.layers),
            movable: ordered.is_none(),
        })
    }

    /// Gives the orders of a round that this box has written.
    fn issue_orders(&mut self, service: &Service, model: &Model, era: Era, stored: StoredRound) {
        let fields = json!({
            "service": &*service.name,
            "round": stored.round,
            "engines": stored.ranges.len(),
            "cut": stored.abort,
        });
        log::event(Level::Info, "placement", "ordering", fields);
        self.rounds.record(service.name.clone(), era, stored.round);
        self.note_orders(model, &stored.ranges);
        let time = load_time(model, &stored.ranges) + ANNOUNCE_LAG;
        let giving = if stored.abort {
            ReleaseMode::Cut
        } else {
            ReleaseMode::Wait
        };
        for range in stored.ranges {
            let (shared, orders) = (self.shared.clone(), self.order_slots.clone());
            tokio::task::spawn_local(order_and_verify(shared, orders, range, giving, time));
        }
    }
}

/// The revisions of earlier rounds with that of the last one.
fn recent_revisions(mut written: Vec<Revision>, last: Option<Revision>) -> Vec<Revision> {
    written.extend(last);
    let old = written.len().saturating_sub(MAX_KEPT_REVISIONS);
    written.drain(..old);
    written
}

/// Time until engines that begin together have loaded their ranges.
fn load_time(model: &Model, ranges: &[Assignment]) -> Duration {
    let layers: u32 = ranges.iter().map(|r| r.layers.len()).sum();
    let longest = ranges.iter().map(|r| r.layers.len()).max().unwrap_or(0);
    let slot_share = f64::from(layers) / f64::from(model.parallel_loads);
    let worst = slot_share.max(f64::from(longest));
    model
        .load_time
        .mul_f64(worst / f64::from(model.layers.max(1)))
}

/// Orders one engine to hold a range, and writes a line if it does not show
/// the range in time.
async fn order_and_verify(
    shared: Rc<SharedState>,
    orders: Rc<Semaphore>,
    range: Assignment,
    giving: ReleaseMode,
    time: Duration,
) {
    send_order(shared.clone(), &orders, range.clone(), giving).await;
    sleep(time).await;
    let Some((addr, _)) = pending_order(&shared, &range) else {
        return;
    };
    let report = engine::fetch_report(&shared.client, &addr, ORDER_TIMEOUT).await;
    let fields = json!({
        "upstream": &*range.id,
        "layers": range.layers,
        "busy": report.as_ref().map(|r| r.busy).ok(),
        "orders": report.as_ref().map(|r| r.orders).ok(),
        "fault": report.err().map(|e| e.to_string()),
    });
    log::event(Level::Warn, "placement", "not shown", fields);
}

/// Orders one engine to hold a range, until it says that it does.
async fn send_order(
    shared: Rc<SharedState>,
    orders: &Semaphore,
    range: Assignment,
    giving: ReleaseMode,
) {
    let mut before = None;
    for attempt in 1..=MAX_ORDER_TRIES {
        // It is never closed.
        let place = orders.acquire().await;
        let Some((addr, held)) = pending_order(&shared, &range) else {
            return;
        };
        // It has carried out another box's order meanwhile, which is newer.
        let first = *before.get_or_insert(held);
        if held.is_some() && held != first {
            return;
        }
        let empty = held.is_none();
        // An engine that holds nothing has mostly taken no order; of others,
        // and after an order in vain, the count must be asked for.
        let orders = match empty && attempt == 1 {
            true => Some(0),
            false => match count_orders(&shared, &range, &addr).await {
                // It carries out an order, which is this one or a later one.
                OrderCount::Busy => return,
                OrderCount::Taken(orders) => Some(orders),
                OrderCount::Unknown => None,
            },
        };
        if let Some(orders) = orders {
            let client = &shared.client;
            let reply = engine::order_place(
                client,
                &addr,
                range.layers,
                giving,
                Some(orders),
                ORDER_TIMEOUT,
            );
            let reply = reply.await;
            log_reply(&shared, &range, attempt, &reply);
            if matches!(reply, OrderReply::Begun | OrderReply::Holds) {
                return;
            }
        }
        drop(place);
        sleep(ORDER_RETRY_DELAY).await;
    }
}

/// What an engine says of the orders that it has taken.
enum OrderCount {
    Taken(u64),
    Busy,
    Unknown,
}

async fn count_orders(shared: &SharedState, range: &Assignment, addr: &str) -> OrderCount {
    match engine::fetch_report(&shared.client, addr, ORDER_TIMEOUT).await {
        Ok(report) if report.busy => OrderCount::Busy,
        Ok(report) => OrderCount::Taken(report.orders),
        Err(e) => {
            let fields = json!({"upstream": &*range.id, "fault": e.to_string()});
            log::event(Level::Warn, "placement", "no report", fields);
            OrderCount::Unknown
        }
    }
}

fn log_reply(shared: &SharedState, range: &Assignment, attempt: u32, reply: &OrderReply) {
    let done = matches!(reply, OrderReply::Begun | OrderReply::Holds);
    let label = if done { "taken" } else { "not taken" };
    shared.metrics.orders.with_label_values(&[label]).inc();
    let fields = json!({
        "upstream": &*range.id,
        "layers": range.layers,
        "attempt": attempt,
        "reply": format!("{reply:?}"),
    });
    log::event(Level::Info, "placement", "ordered", fields);
}

/// Address of an engine that does not show the range yet, and what it holds.
fn pending_order(shared: &SharedState, range: &Assignment) -> Option<(String, Option<LayerRange>)> {
    let registry = shared.registry.borrow();
    let entry = registry.get(&range.id)?;
    let upstream = &entry.upstream;
    let shown = upstream.layers == Some(range.layers) || entry.is_leaving();
    (!shown).then(|| (upstream.addr.clone(), upstream.layers))
}

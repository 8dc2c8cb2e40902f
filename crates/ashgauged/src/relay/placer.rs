//! Placement of model layers on engines that hold none: the only task that exactly one box
//! of the fleet must do.
//!
//! Any box that sees such engines writes the layer ranges to the store, on the condition
//! that no other box has written meanwhile, and then sends the orders. The write acts as a
//! lease: it names the box that sends these orders, and it expires by itself if the engines
//! do not announce the layers in time, or report that they have taken no order.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::member::UpstreamId;
use ashgauge::pending::{OrderRounds, PendingAssignment, PendingAssignments};
use ashgauge::placement::{self, Assignment, PlacedEngine};
use ashgauge::revision::{self, Era};
use ashgauge::routing::{Model, Service};
use ashgauge::upstream_state::UpstreamState;
use platform::StoreError;
use platform::engine::ReleaseMode;
use rand::Rng;
use rand::seq::SliceRandom;
use serde_json::json;
use spdlog::Level;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::log;
use super::orders::{fetch_order_state, order_and_verify};
use super::round::{KIND, StoredRound, announce_time, recent_revisions};
use super::shared_state::SharedState;
use super::task;

/// Interval between two checks for engines that hold no layers.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a check that found nothing to do. An engine that becomes suspect or lets an
/// order expire is noticed that much later.
const IDLE_PAUSE: Duration = Duration::from_millis(750);

/// Time without changes among the engines after which ranges are planned, so that engines
/// that start together are placed together.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// [`SETTLE_TIME`] once layers are placed; it is shorter, as losses are to be repaired
/// soon.
const RESETTLE_TIME: Duration = Duration::from_millis(300);

/// Longest wait for changes to stop once layers are placed; they never stop while a release
/// is rolled out.
const MAX_RESETTLE_WAIT: Duration = Duration::from_millis(700);

/// [`MAX_RESETTLE_WAIT`] before any layers are placed: when the fleet starts, entries
/// arrive over some seconds.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(6000);

/// Upper bound of the random time that a box waits before it writes, so that mostly only
/// one box writes.
const MAX_STAGGER: Duration = Duration::from_millis(300);

/// Maximum number of a box's orders that wait for a reply at the same time; each one has a
/// connection.
const MAX_OPEN_ORDERS: usize = 256;

/// Number of engines that are asked at once whether they have taken the orders of a round. A round
/// that was not sent shows at any of them; asking all would cost each reader a connection to each.
const CHECKED_ORDERS: usize = 4;

/// Watches the engines and places layers on those that hold none.
pub struct Placer {
    shared: Rc<SharedState>,
    /// Slots for orders that wait for a reply.
    order_slots: Rc<Semaphore>,
    /// Ranges that some box ordered and that are not announced yet.
    pending: PendingAssignments,
    /// Last round of each service that was merged into `pending`.
    rounds: OrderRounds,
    registry_generation: u64,
    /// When an engine last appeared, disappeared or changed.
    changed_at: Duration,
    /// Time until which no check is made, unless engines appear, disappear or change.
    idle_until: Duration,
    /// When engines first changed since they last were settled.
    unsettled_since: Option<Duration>,
}

impl Placer {
    /// Starts the placement task, which runs as long as the process.
    pub fn start(shared: Rc<SharedState>) {
        let order_slots = Rc::new(Semaphore::new(MAX_OPEN_ORDERS));
        let state = shared.clone();
        task::spawn(&shared, "placement", move || {
            Placer::new(state.clone(), order_slots.clone()).run()
        });
    }

    fn new(shared: Rc<SharedState>, order_slots: Rc<Semaphore>) -> Self {
        Placer {
            shared,
            order_slots,
            pending: PendingAssignments::default(),
            rounds: OrderRounds::default(),
            registry_generation: 0,
            changed_at: Duration::ZERO,
            idle_until: Duration::ZERO,
            unsettled_since: None,
        }
    }

    async fn run(mut self) {
        loop {
            sleep(POLL_INTERVAL).await;
            // A box that does not read the store learns late what others ordered.
            let reads = *self.shared.reads_store.borrow();
            let idle = !reads || self.shared.stop.is_stopping.get() || self.shared.store_down.get();
            // A box that reaches no engine of a service cannot give orders.
            let idle = idle || self.shared.reach.has_lost_service();
            if !idle {
                self.check_orders().await;
            }
            if idle || !self.has_settled() || self.shared.now() < self.idle_until {
                continue;
            }
            let routing = self.shared.routing();
            for service in routing.services.values() {
                let Some(model) = service.model.as_ref().filter(|m| m.layers > 0) else {
                    continue;
                };
                if let Err(error) = self.place_unassigned(service, model).await {
                    let fields = json!({"service": &*service.name, "fault": error.to_string()});
                    log::event(Level::Warn, "placement", "not written", fields);
                }
            }
        }
    }

    /// Whether the engines have stopped changing for long enough, or the longest wait for
    /// that is over.
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
        let (time, max_wait) = match placed {
            true => (RESETTLE_TIME, MAX_RESETTLE_WAIT),
            false => (SETTLE_TIME, MAX_SETTLE_WAIT),
        };
        let waited_long = self
            .unsettled_since
            .is_some_and(|since| now >= since + max_wait);
        let settled = waited_long || now >= self.changed_at + time;
        if settled {
            self.unsettled_since = None;
        }
        settled
    }

    /// Places layers on the engines of a service that hold none, if there are any.
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
            .get_any::<StoredRound>(KIND, &service.name)
            .await;
        self.shared.count_store_call("get", &read);
        let (stored, revision) = match read {
            Ok(object) => (object.value, Some(object.revision)),
            Err(StoreError::NotFound) => (None, None),
            Err(error) => return Err(error),
        };
        let era = revision.map_or_else(
            || *self.shared.store.subscribe_era().borrow(),
            revision::era,
        );
        let stored = self.check_round(service, model, stored);
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
        let write_result = match revision {
            Some(revision) => store.replace(KIND, &service.name, revision, &next).await,
            None => store.create(KIND, &service.name, &next).await,
        };
        self.shared.count_store_call("write", &write_result);
        match write_result {
            Ok(()) => self.issue_orders(service, model, era, next),
            // Another box wrote first; its ranges are adopted at the next check.
            Err(StoreError::Conflict) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Returns a stored round without what another client may have written into it; a round that
    /// cannot be decoded counts as one without orders.
    fn check_round(
        &self,
        service: &Service,
        model: &Model,
        stored: Option<StoredRound>,
    ) -> StoredRound {
        let last_round = self.rounds.last_round(&service.name);
        let stored = stored.unwrap_or_else(|| StoredRound {
            round: last_round,
            ..StoredRound::default()
        });
        stored.sanitize(model, last_round)
    }

    /// Whether this box wrote the round but may not have sent its orders: the store's reply
    /// was lost, or the process ended before. Sending them again is safe, as each order
    /// names the number of orders before it.
    fn is_unacknowledged(&self, service: &Service, era: Era, round: &StoredRound) -> bool {
        let is_own = round.owner == self.shared.settings().id;
        is_own && self.rounds.may_be_unsent(&service.name, era, round.round)
    }

    /// Merges a stored round into the pending assignments, once.
    fn adopt_round(&mut self, service: &Service, model: &Model, era: Era, round: &StoredRound) {
        if !self.rounds.is_newer(&service.name, era, round.round) {
            return;
        }
        self.rounds.record(service.name.clone(), era, round.round);
        let (now, wait) = (self.shared.now(), announce_time(model, &round.ranges));
        self.pending.adopt(now, &round.ranges, wait);
        self.pending.merge(now, &round.unannounced);
        let fields = json!({
            "service": &*service.name,
            "from": round.owner,
            "round": round.round,
            "engines": round.ranges.len(),
            "wait_ms": wait.as_millis() as u64,
        });
        log::event(Level::Info, "placement", "adopted", fields);
    }

    /// Ranges of a service's engines that were ordered and are not announced yet.
    fn unannounced(&self, service: &Service) -> Vec<PendingAssignment> {
        let registry = self.shared.registry.borrow();
        let of_service = |id: &str| {
            let entry = registry.get(id);
            entry.is_some_and(|e| e.upstream.service == service.name)
        };
        let mut unannounced = self.pending.snapshot(self.shared.now());
        unannounced.retain(|pending| of_service(&pending.assignment.id));
        unannounced
    }

    /// Asks some of the engines with pending orders whether they have taken them, and all if one
    /// has not: the box that wrote the round may be gone. What they have not taken is planned
    /// anew.
    async fn check_orders(&mut self) {
        self.drop_closed();
        let mut due = self.pending.due_checks(self.shared.now());
        due.shuffle(&mut *self.shared.rng());
        let others = due.split_off(due.len().min(CHECKED_ORDERS));
        let mut dropped = self.check_engines(due).await;
        match dropped {
            0 => {
                let now = self.shared.now();
                others
                    .iter()
                    .for_each(|id| self.pending.postpone_check(now, id));
            }
            _ => dropped += self.check_engines(others).await,
        }
        if dropped > 0 {
            let fields = json!({"engines": dropped});
            log::event(Level::Warn, "placement", "orders not taken", fields);
            self.idle_until = self.shared.now();
        }
    }

    /// Asks engines whether they have taken their orders; returns how many have not.
    async fn check_engines(&mut self, engines: Vec<UpstreamId>) -> usize {
        let mut queries = JoinSet::new();
        for id in engines {
            self.pending.postpone_check(self.shared.now(), &id);
            let (shared, slots) = (self.shared.clone(), self.order_slots.clone());
            queries.spawn_local(async move {
                // The semaphore is never closed.
                let _slot = slots.acquire().await;
                let state = fetch_order_state(&shared, &id).await;
                (id, state)
            });
        }
        let mut dropped = 0;
        while let Some(reply) = queries.join_next().await {
            if let Ok((id, Some(state))) = reply {
                let is_dropped = self.pending.observe(self.shared.now(), &id, state);
                dropped += usize::from(is_dropped);
            }
        }
        dropped
    }

    /// Drops assignments that are no longer pending: their time is over, they are announced, or
    /// their engine is gone.
    fn drop_closed(&mut self) {
        let registry = self.shared.registry.borrow();
        self.pending.expire(self.shared.now());
        self.pending.retain(|id, layers| {
            let entry = registry.get(id);
            entry.is_some_and(|e| e.upstream.layers != Some(layers))
        });
    }

    /// Drops assignments that are no longer pending, then plans ranges for the engines that
    /// hold no layers and have no pending order, and moves a few engines that are needed
    /// more elsewhere.
    fn plan_ranges(&mut self, service: &Service, model: &Model) -> Vec<Assignment> {
        self.drop_closed();
        let now = self.shared.now();
        let registry = self.shared.registry.borrow();
        let entries = registry
            .of_service(&service.name)
            .filter(|e| e.is_usable(now));
        let engines: Vec<PlacedEngine> = entries.filter_map(|e| self.to_placed_engine(e)).collect();
        placement::plan(model, &engines)
    }

    /// Whether a complete chain is left; if none is, engines abort the requests that keep
    /// them from releasing layers.
    ///
    /// Without a chain no request can complete, yet engines that wait for running requests
    /// might wait until the deadlines of requests whose boxes lost power. A box that
    /// reaches less than half of the engines may be cut off itself, and assumes that a
    /// chain is left.
    fn has_chain(&self, service: &Service, model: &Model) -> bool {
        let now = self.shared.now();
        let registry = self.shared.registry.borrow();
        let usable = || {
            registry
                .of_service(&service.name)
                .filter(|e| e.is_usable(now))
        };
        let ranges = usable().filter_map(|e| e.upstream.layers);
        let is_cut_off = usable().count() * 2 < registry.of_service(&service.name).count();
        is_cut_off || placement::covers_model(model.layers, ranges)
    }

    /// Converts an engine for the planner; `None` if its accelerator is unknown. An ordered
    /// range counts as held, and its engine as not movable.
    fn to_placed_engine(&self, entry: &UpstreamState) -> Option<PlacedEngine> {
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

    /// Sends the orders of a round that this box has written.
    fn issue_orders(&mut self, service: &Service, model: &Model, era: Era, round: StoredRound) {
        let fields = json!({
            "service": &*service.name,
            "round": round.round,
            "engines": round.ranges.len(),
            "cut": round.abort,
        });
        log::event(Level::Info, "placement", "ordering", fields);
        self.rounds.record(service.name.clone(), era, round.round);
        let announce_time = announce_time(model, &round.ranges);
        self.pending
            .add(self.shared.now(), &round.ranges, announce_time);
        let release_mode = if round.abort {
            ReleaseMode::Cut
        } else {
            ReleaseMode::Wait
        };
        for range in round.ranges {
            let (shared, slots) = (self.shared.clone(), self.order_slots.clone());
            tokio::task::spawn_local(order_and_verify(
                shared,
                slots,
                range,
                release_mode,
                announce_time,
            ));
        }
    }
}

//! Selection of the upstream, or the chain of engines, that a request goes to.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::chain::{self, Edge, Layer, Stage};
use crate::context::{EstimatedLoad, SelectionContext};
use crate::cost::{self, CostModel};
use crate::member::UpstreamId;
use crate::routing::Model;
use crate::staleness::{self, Candidate};
use crate::upstream::LayerRange;
use crate::upstream_state::UpstreamState;

/// Latency assumed for an upstream that has not answered yet, in seconds.
const DEFAULT_LATENCY_SECONDS: f64 = 0.02;

/// Factor on the cost of an upstream in another data centre.
const REMOTE_COST_FACTOR: f64 = 1.15;

/// Number of queued requests that an upstream without capacity is assumed to have.
const FULL_QUEUE_PENALTY: f64 = 20.0;

/// Share of the fill limit that the engines of a data centre keep for the callers of its
/// own boxes, see [`Requirements::reserved_share`].
pub const RESERVED_SHARE: f64 = 0.125;

/// Selects an upstream of a plain service, and one that was not `tried` before if there is
/// any.
pub fn select_upstream(
    context: &SelectionContext,
    tried: &[UpstreamId],
    rng: &mut impl Rng,
) -> Option<UpstreamId> {
    let is_available = |e: &&UpstreamState| available_in(context, e).is_none();
    let all = || context.registry.of_service(context.service);
    let states = || all().filter(is_available);
    let is_usable = |e: &&UpstreamState| e.is_usable(context.now);
    let is_untried = |e: &&UpstreamState| !tried.contains(&e.upstream.id);
    let is_staying = |e: &&UpstreamState| !e.is_leaving();
    let is_listed = |e: &&UpstreamState| !e.is_missing();
    let mut cheapest = |states: &mut dyn Iterator<Item = &UpstreamState>| {
        let costs = states.map(|e| {
            (
                upstream_cost(context, e) * context.jitter(rng),
                &e.upstream.id,
            )
        });
        costs
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    };
    cheapest(&mut states().filter(is_usable).filter(is_untried))
        .or_else(|| {
            cheapest(
                &mut states()
                    .filter(is_staying)
                    .filter(is_listed)
                    .filter(is_untried),
            )
        })
        .or_else(|| cheapest(&mut states().filter(is_usable)))
        // An upstream whose entry disappeared may have left. Only an outage of the store
        // makes all entries disappear at once.
        .or_else(|| match all().any(|e| is_listed(&e)) {
            true => None,
            false => cheapest(&mut states().filter(is_staying).filter(is_untried)),
        })
}

/// Selects a chain over `range` of the model's layers, without the engines in `avoid` and
/// those that do not meet the request's `requirements`.
///
/// The cost is the time of a request of the context's size: reading its prompt, generating
/// its output and passing on activations. It is higher for engines that are filling up.
///
/// The share that engines in other data centres reserve for the callers there is only used
/// if there is no chain without it: that is better for the request than a refusal.
pub fn select_chain(
    context: &SelectionContext,
    model: &Model,
    range: LayerRange,
    avoid: &[UpstreamId],
    requirements: Option<Requirements>,
    rng: &mut impl Rng,
) -> Option<Vec<Stage>> {
    let found = select_fitting_chain(context, model, range, avoid, requirements, rng);
    match requirements.filter(|n| found.is_none() && n.reserved_share > 0.0) {
        Some(requirements) => {
            let requirements = Requirements {
                reserved_share: 0.0,
                ..requirements
            };
            select_fitting_chain(context, model, range, avoid, Some(requirements), rng)
        }
        None => found,
    }
}

/// Selects a chain of engines that meet `requirements`.
fn select_fitting_chain(
    context: &SelectionContext,
    model: &Model,
    range: LayerRange,
    avoid: &[UpstreamId],
    requirements: Option<Requirements>,
    rng: &mut impl Rng,
) -> Option<Vec<Stage>> {
    let mut data_centres: Vec<&Arc<str>> = vec![context.data_centre];
    let mut edges = Vec::new();
    let cost_model = CostModel::new(context, model);
    let mut candidates: Vec<Candidate> = holders(context, range).collect();
    staleness::correct(context, model, &mut candidates, rng);
    for Candidate { state, held, load } in &candidates {
        let (state, held) = (*state, *held);
        if avoid.contains(&state.upstream.id) {
            continue;
        }
        if requirements.is_some_and(|n| !n.are_met_by(context, model, state, load)) {
            continue;
        }
        let is_head = range.first == 0 && held.first == 0;
        if is_head && state.blocked_for(context.now).is_some() {
            continue;
        }
        let (fixed_cost, layer_cost) = cost_model.stage_cost(state, held, is_head, load, rng);
        edges.push(Edge {
            upstream: state.upstream.id.clone(),
            first: held.first,
            end: held.end,
            fixed_cost,
            layer_cost,
            data_centre: index_of(&mut data_centres, &state.upstream.data_centre),
        });
    }
    chain::cheapest_crossing_chain(range.first, range.end, &edges, |from, to| match from {
        _ if from == Some(to) => 0.0,
        Some(from) => cost_model.crossing_seconds(data_centres[from], data_centres[to]),
        None if to == 0 => 0.0,
        None => cost::remote_entry_seconds(context),
    })
}

/// Iterates over the engines that accept requests and hold some of these layers.
fn holders<'a>(
    context: &'a SelectionContext,
    range: LayerRange,
) -> impl Iterator<Item = Candidate<'a>> {
    let states = context.registry.of_service(context.service);
    let accepting = states.filter(|e| e.accepts_requests(context.now));
    let holders = accepting.filter_map(|e| Some((e, e.upstream.layers?)));
    let holders = holders.filter(move |(_, held)| held.overlaps(&range));
    holders.map(|(state, held)| Candidate {
        state,
        held,
        load: EstimatedLoad::estimate(context, state),
    })
}

/// Returns the index of a data centre in the list, to which it is added if it is new.
fn index_of<'a>(data_centres: &mut Vec<&'a Arc<str>>, name: &'a Arc<str>) -> usize {
    let known = data_centres.iter().position(|p| *p == name);
    known.unwrap_or_else(|| {
        data_centres.push(name);
        data_centres.len() - 1
    })
}

/// Returns how long nothing may be sent to an upstream: during a back-off it rejects all
/// requests, and while it is blocked by its rate limit it must get none.
fn available_in(context: &SelectionContext, state: &UpstreamState) -> Option<Duration> {
    state
        .backoff(context.now)
        .max(state.blocked_for(context.now))
}

/// Returns the time until there is an upstream, or a chain over the whole `model`, if those
/// that are missing are in a back-off or blocked; `None` if that is not the obstacle.
pub fn backoff_left(
    context: &SelectionContext,
    model: Option<&Model>,
    rng: &mut impl Rng,
) -> Option<Duration> {
    let all = context.registry.of_service(context.service);
    let mut waits: Vec<_> = all.filter_map(|e| available_in(context, e)).collect();
    if waits.is_empty() {
        return None;
    }
    waits.sort_unstable();
    let mut is_too_early = |left: &Duration| {
        let now = context.now + *left;
        let context = SelectionContext { now, ..*context };
        let found = match model {
            Some(m) => select_chain(&context, m, all_layers(m.layers), &[], None, rng).is_some(),
            None => select_upstream(&context, &[], rng).is_some(),
        };
        !found
    };
    if !is_too_early(&Duration::ZERO) {
        return None;
    }
    let first = waits.partition_point(is_too_early);
    waits.get(first).copied()
}

/// Returns the share of an engine's memory for requests that the requests of all boxes
/// hold, as far as this box knows; `None` if it holds no layers.
pub fn memory_utilization(
    context: &SelectionContext,
    model: &Model,
    state: &UpstreamState,
) -> Option<f64> {
    let held = state.upstream.layers?;
    let tokens = EstimatedLoad::estimate(context, state).token_layers;
    Some(tokens / cost::memory_capacity(model, state, held).max(1.0))
}

/// Returns how many engines are filled up to `limit`, a share of their memory for requests,
/// and how many hold layers.
pub fn count_full(context: &SelectionContext, model: &Model, limit: f64) -> (usize, usize) {
    let states = context.registry.of_service(context.service);
    let utilizations = states.filter_map(|e| memory_utilization(context, model, e));
    utilizations.fold((0, 0), |(full, all), utilization| {
        (full + usize::from(utilization >= limit), all + 1)
    })
}

/// Returns the share of their memory for requests that is used on the engines of the box's
/// data centre, as far as this box knows; 1 if it has no engines.
pub fn local_utilization(context: &SelectionContext, model: &Model) -> f64 {
    let (mut used, mut capacity) = (0.0, 0.0);
    for state in context.local_upstreams() {
        let Some(held) = state.upstream.layers else {
            continue;
        };
        used += EstimatedLoad::estimate(context, state).token_layers;
        capacity += cost::memory_capacity(model, state, held);
    }
    match capacity > 0.0 {
        true => used / capacity,
        false => 1.0,
    }
}

/// What a request requires of each engine of its chain.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Tokens for which it needs memory.
    pub tokens: u32,
    /// Share of their memory for requests up to which engines may be filled.
    pub fill_limit: f64,
    /// Share of the first engine's slots up to which they may be used.
    pub slot_limit: f64,
    /// Share of the limits of engines in other data centres that is left to the callers
    /// there; 0 for none.
    pub reserved_share: f64,
}

impl Requirements {
    /// Returns whether an engine has the memory, with all of its layers in the chain, and a
    /// free slot if it would be the first of the chain.
    ///
    /// An engine refuses requests when its slots are used up.
    fn are_met_by(
        &self,
        context: &SelectionContext,
        model: &Model,
        state: &UpstreamState,
        load: &EstimatedLoad,
    ) -> bool {
        let Some(held) = state.upstream.layers else {
            return false;
        };
        let required = f64::from(self.tokens) * f64::from(held.len());
        let usable_share = match state.upstream.data_centre == *context.data_centre {
            true => 1.0,
            false => 1.0 - self.reserved_share,
        };
        let limit = self.fill_limit * usable_share;
        let slots = f64::from(state.upstream.slots.max(1)) * self.slot_limit * usable_share;
        let has_slot = held.first > 0 || load.head_requests.floor() + 1.0 <= slots;
        let has_memory =
            load.token_layers + required <= limit * cost::memory_capacity(model, state, held);
        has_slot && has_memory && !state.is_full(context.now)
    }
}

fn upstream_cost(context: &SelectionContext, state: &UpstreamState) -> f64 {
    let seconds = match state.latency_seconds {
        0.0 => DEFAULT_LATENCY_SECONDS,
        known => known,
    };
    let slots = f64::from(state.upstream.slots.max(1));
    let reported = state.reported_load.map_or(0.0, |(running, waiting)| {
        f64::from(running) + 2.0 * f64::from(waiting)
    });
    let queued = reported.max(EstimatedLoad::estimate(context, state).requests) / slots;
    let distance_factor = match state.upstream.data_centre == *context.data_centre {
        true => 1.0,
        false => REMOTE_COST_FACTOR,
    };
    let failure_factor = 1.0 / (1.0 - state.failure_rate(context.now).min(0.95));
    let now = context.now;
    let is_avoided = state.is_full(now) || state.is_peer_suspect(now) || state.is_unreachable(now);
    let queued = if is_avoided {
        queued + FULL_QUEUE_PENALTY
    } else {
        queued
    };
    seconds * (1.0 + queued) * distance_factor * failure_factor * failure_factor
}

/// Returns the range of all layers of a model.
pub fn all_layers(layers: Layer) -> LayerRange {
    LayerRange {
        first: 0,
        end: layers,
    }
}

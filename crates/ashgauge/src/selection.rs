//! Selection of the upstream, or the chain of engines, that a request goes to.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::chain::{self, Edge, Layer, Stage};
use crate::context::{EstimatedLoad, SelectionContext};
use crate::cost::{self, CostModel};
use crate::member::UpstreamId;
use crate::routing::Model;
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
    let open = |e: &&UpstreamState| available_in(context, e).is_none();
    let all = || context.registry.of_service(context.service);
    let entries = || all().filter(open);
    let usable = |e: &&UpstreamState| e.is_usable(context.now);
    let new = |e: &&UpstreamState| !tried.contains(&e.upstream.id);
    let stays = |e: &&UpstreamState| !e.is_leaving();
    let listed = |e: &&UpstreamState| !e.is_missing();
    let mut cheapest = |entries: &mut dyn Iterator<Item = &UpstreamState>| {
        let costs = entries.map(|e| {
            (
                upstream_cost(context, e) * context.jitter(rng),
                &e.upstream.id,
            )
        });
        costs
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    };
    cheapest(&mut entries().filter(usable).filter(new))
        .or_else(|| cheapest(&mut entries().filter(stays).filter(listed).filter(new)))
        .or_else(|| cheapest(&mut entries().filter(usable)))
        // An upstream whose entry disappeared may have left. Only an outage of the store
        // makes all entries disappear at once.
        .or_else(|| match all().any(|e| listed(&e)) {
            true => None,
            false => cheapest(&mut entries().filter(stays).filter(new)),
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
    span: LayerRange,
    avoid: &[UpstreamId],
    need: Option<Requirements>,
    rng: &mut impl Rng,
) -> Option<Vec<Stage>> {
    let found = select_fitting_chain(context, model, span, avoid, need, rng);
    match need.filter(|n| found.is_none() && n.reserved_share > 0.0) {
        Some(need) => {
            let need = Requirements {
                reserved_share: 0.0,
                ..need
            };
            select_fitting_chain(context, model, span, avoid, Some(need), rng)
        }
        None => found,
    }
}

/// Selects a chain of engines that meet `requirements`.
fn select_fitting_chain(
    context: &SelectionContext,
    model: &Model,
    span: LayerRange,
    avoid: &[UpstreamId],
    need: Option<Requirements>,
    rng: &mut impl Rng,
) -> Option<Vec<Stage>> {
    let mut places: Vec<&Arc<str>> = vec![context.data_centre];
    let mut edges = Vec::new();
    let scale = CostModel::new(context, model);
    for (entry, held) in holders(context, span) {
        if avoid.contains(&entry.upstream.id) {
            continue;
        }
        if need.is_some_and(|n| !n.are_met_by(context, model, entry)) {
            continue;
        }
        let leads = span.first == 0 && held.first == 0;
        if leads && entry.blocked_for(context.now).is_some() {
            continue;
        }
        let (fixed, layer) = scale.stage_cost(entry, held, leads, rng);
        edges.push(Edge {
            upstream: entry.upstream.id.clone(),
            first: held.first,
            end: held.end,
            fixed_cost: fixed,
            layer_cost: layer,
            data_centre: index_of(&mut places, &entry.upstream.data_centre),
        });
    }
    chain::cheapest_crossing_chain(span.first, span.end, &edges, |from, to| match from {
        _ if from == Some(to) => 0.0,
        Some(from) => scale.crossing_seconds(places[from], places[to]),
        None if to == 0 => 0.0,
        None => cost::remote_entry_seconds(context),
    })
}

/// Iterates over the engines that accept requests and hold some of these layers, with the
/// layers that they hold.
fn holders<'a>(
    context: &'a SelectionContext,
    span: LayerRange,
) -> impl Iterator<Item = (&'a UpstreamState, LayerRange)> {
    let entries = context.registry.of_service(context.service);
    let open = entries.filter(|e| e.accepts_requests(context.now));
    let holders = open.filter_map(|e| Some((e, e.upstream.layers?)));
    holders.filter(move |(_, held)| held.overlaps(&span))
}

/// Returns the index of a data centre in the list, to which it is added if it is new.
fn index_of<'a>(places: &mut Vec<&'a Arc<str>>, name: &'a Arc<str>) -> usize {
    let known = places.iter().position(|p| *p == name);
    known.unwrap_or_else(|| {
        places.push(name);
        places.len() - 1
    })
}

/// Returns how long nothing may be sent to an upstream: during a back-off it rejects all
/// requests, and while it is blocked by its rate limit it must get none.
fn available_in(context: &SelectionContext, entry: &UpstreamState) -> Option<Duration> {
    entry
        .backoff(context.now)
        .max(entry.blocked_for(context.now))
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
    let mut is_early = |left: &Duration| {
        let now = context.now + *left;
        let context = SelectionContext { now, ..*context };
        let found = match model {
            Some(m) => select_chain(&context, m, all_layers(m.layers), &[], None, rng).is_some(),
            None => select_upstream(&context, &[], rng).is_some(),
        };
        !found
    };
    if !is_early(&Duration::ZERO) {
        return None;
    }
    let first = waits.partition_point(is_early);
    waits.get(first).copied()
}

/// Returns the share of an engine's memory for requests that the requests of all boxes
/// hold, as far as this box knows; `None` if it holds no layers.
pub fn memory_utilization(
    context: &SelectionContext,
    model: &Model,
    entry: &UpstreamState,
) -> Option<f64> {
    let held = entry.upstream.layers?;
    let tokens = EstimatedLoad::estimate(context, entry).token_layers;
    Some(tokens / cost::memory_capacity(model, entry, held).max(1.0))
}

/// Returns how many engines are filled up to `limit`, a share of their memory for requests,
/// and how many hold layers.
pub fn count_full(context: &SelectionContext, model: &Model, limit: f64) -> (usize, usize) {
    let entries = context.registry.of_service(context.service);
    let filled = entries.filter_map(|e| memory_utilization(context, model, e));
    filled.fold((0, 0), |(full, all), filled| {
        (full + usize::from(filled >= limit), all + 1)
    })
}

/// Returns the share of their memory for requests that is used on the engines of the box's
/// data centre, as far as this box knows; 1 if it has no engines.
pub fn local_utilization(context: &SelectionContext, model: &Model) -> f64 {
    let (mut used, mut room) = (0.0, 0.0);
    for entry in context.local_upstreams() {
        let Some(held) = entry.upstream.layers else {
            continue;
        };
        used += EstimatedLoad::estimate(context, entry).token_layers;
        room += cost::memory_capacity(model, entry, held);
    }
    match room > 0.0 {
        true => used / room,
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
    /// Share of the limit of engines in other data centres that is left to the callers
    /// there; 0 for none.
    pub reserved_share: f64,
}

impl Requirements {
    /// Returns whether an engine has the memory, with all of its layers in the chain, and a
    /// free slot if it would be the first of the chain.
    ///
    /// An engine refuses requests when its slots are used up.
    pub fn are_met_by(
        &self,
        context: &SelectionContext,
        model: &Model,
        entry: &UpstreamState,
    ) -> bool {
        let Some(held) = entry.upstream.layers else {
            return false;
        };
        let more = f64::from(self.tokens) * f64::from(held.len());
        let total = EstimatedLoad::estimate(context, entry);
        let usable = match entry.upstream.data_centre == *context.data_centre {
            true => 1.0,
            false => 1.0 - self.reserved_share,
        };
        let limit = self.fill_limit * usable;
        let slots = f64::from(entry.upstream.slots.max(1)) * self.fill_limit.min(1.0) * usable;
        let has_slot = held.first > 0 || total.head_requests + 1.0 <= slots;
        let has_memory =
            total.token_layers + more <= limit * cost::memory_capacity(model, entry, held);
        has_slot && has_memory && !entry.is_full(context.now)
    }
}

fn upstream_cost(context: &SelectionContext, entry: &UpstreamState) -> f64 {
    let seconds = match entry.latency_seconds {
        0.0 => DEFAULT_LATENCY_SECONDS,
        known => known,
    };
    let slots = f64::from(entry.upstream.slots.max(1));
    let told = entry.reported_load.map_or(0.0, |(running, waiting)| {
        f64::from(running) + 2.0 * f64::from(waiting)
    });
    let ahead = told.max(EstimatedLoad::estimate(context, entry).requests) / slots;
    let away = match entry.upstream.data_centre == *context.data_centre {
        true => 1.0,
        false => REMOTE_COST_FACTOR,
    };
    let failing = 1.0 / (1.0 - entry.failure_rate(context.now).min(0.95));
    let now = context.now;
    let avoided = entry.is_full(now) || entry.is_peer_suspect(now) || entry.is_unreachable(now);
    let ahead = if avoided {
        ahead + FULL_QUEUE_PENALTY
    } else {
        ahead
    };
    seconds * (1.0 + ahead) * away * failing * failing
}

/// Returns the range of all layers of a model.
pub fn all_layers(layers: Layer) -> LayerRange {
    LayerRange {
        first: 0,
        end: layers,
    }
}

//! Pressure: how close a service's engines are to their capacity.

use crate::context::{EstimatedLoad, SelectionContext};
use crate::cost;
use crate::routing::Model;
use crate::upstream::Upstream;

/// Slowdown at full engines where the configuration gives no figures for it: 850 us for a
/// pass and 3.82 us more for each of some 180 requests.
const DEFAULT_SLOWDOWN: f64 = 0.8;

/// Bounds of the slowdown, as the configured figures may be wrong.
const SLOWDOWN_RANGE: (f64, f64) = (0.2, 2.0);

/// Load of all boxes on the engines of a service, as shares of the engines' capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Requests in flight, including those on engines that accept no more.
    pub requests: f64,
    /// Used share of the memory for requests, for the layer that has the least left.
    pub memory: f64,
    /// Used share of the slots of head engines, which hold a model's first layers.
    pub slots: f64,
}

impl Pressure {
    /// Computes the pressure from what this box knows of the engines. The shares cover
    /// engines that accept requests; the request count covers all engines, as requests
    /// still run on those that accept no more.
    pub fn from_context(context: &SelectionContext, model: &Model) -> Self {
        let layers = model.layers as usize;
        let (mut used, mut capacity) = (vec![0.0; layers], vec![0.0; layers]);
        let (mut requests, mut head_requests, mut slots) = (0.0, 0.0, 0.0);
        for entry in context.registry.of_service(context.service) {
            let Some(held_layers) = entry.upstream.layers else {
                continue;
            };
            let load = EstimatedLoad::estimate(context, entry);
            requests += load.head_requests;
            if !entry.accepts_requests(context.now) {
                continue;
            }
            if held_layers.first == 0 {
                head_requests += load.head_requests;
                slots += f64::from(entry.upstream.slots);
            }
            let layer_count = f64::from(held_layers.len().max(1));
            let (tokens, memory) = (
                load.token_layers,
                cost::memory_capacity(model, entry, held_layers),
            );
            let end = (held_layers.end as usize).min(layers);
            for layer in (held_layers.first as usize).min(end)..end {
                used[layer] += tokens / layer_count;
                capacity[layer] += memory / layer_count;
            }
        }
        let correction = overcount_factor(context);
        let shares = used
            .iter()
            .zip(&capacity)
            .map(|(used, capacity)| share(*used, *capacity));
        Pressure {
            requests: requests * correction,
            memory: shares.fold(0.0, f64::max) * correction,
            slots: share(head_requests, slots) * correction,
        }
    }

    /// Returns the higher of the memory and slot shares.
    pub fn max_share(&self) -> f64 {
        self.memory.max(self.slots)
    }
}

/// Returns the slowdown at full engines: by which part requests take longer there than at
/// empty ones, since a pass takes longer with more requests in it.
pub fn full_slowdown<'a>(model: &Model, engines: impl Iterator<Item = &'a Upstream>) -> f64 {
    let (prompt, answer) = (
        f64::from(model.typical_prompt),
        f64::from(model.typical_output),
    );
    // The capacity counts requests with their whole answer; on average they hold half of
    // it.
    let held_share = (prompt + answer / 2.0) / (prompt + answer).max(1.0);
    let requests = engines
        .filter_map(|e| Some(model.request_capacity(e.accelerator.as_deref()?, e.layers?.len())));
    let requests = requests.map(|capacity| (capacity / held_share).min(f64::from(model.slots)));
    let (sum, count) = requests.fold((0.0, 0.0), |(sum, count), requests| {
        (sum + requests, count + 1.0)
    });
    let added_time = model.step_per_request.as_secs_f64() * sum / count;
    let slowdown = added_time / model.step_time.as_secs_f64();
    let (min, max) = SLOWDOWN_RANGE;
    match slowdown > 0.0 && slowdown.is_finite() {
        true => slowdown.clamp(min, max),
        false => DEFAULT_SLOWDOWN,
    }
}

/// Returns the factor that corrects for boxes that are counted twice. After a start of
/// the whole fleet, some boxes report for themselves and are part of a hub's sum as well,
/// for some seconds.
fn overcount_factor(context: &SelectionContext) -> f64 {
    let counted = context.fleet_load.boxes() as f64 + 1.0;
    (context.boxes / counted).min(1.0)
}

/// Returns the used share of a capacity; 1 if there is no capacity.
fn share(used: f64, capacity: f64) -> f64 {
    match capacity > 0.0 {
        true => used / capacity,
        false => 1.0,
    }
}

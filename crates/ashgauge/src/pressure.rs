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
        let (mut used, mut room) = (vec![0.0; layers], vec![0.0; layers]);
        let (mut requests, mut leads, mut slots) = (0.0, 0.0, 0.0);
        for entry in context.registry.of_service(context.service) {
            let Some(held) = entry.upstream.layers else {
                continue;
            };
            let total = EstimatedLoad::estimate(context, entry);
            requests += total.head_requests;
            if !entry.takes_requests(context.now) {
                continue;
            }
            if held.first == 0 {
                leads += total.head_requests;
                slots += f64::from(entry.upstream.slots);
            }
            let each = f64::from(held.len().max(1));
            let (tokens, memory) = (
                total.token_layers,
                cost::memory_capacity(model, entry, held),
            );
            let end = (held.end as usize).min(layers);
            for layer in (held.first as usize).min(end)..end {
                used[layer] += tokens / each;
                room[layer] += memory / each;
            }
        }
        let once = overcount_factor(context);
        let shares = used
            .iter()
            .zip(&room)
            .map(|(used, room)| share(*used, *room));
        Pressure {
            requests: requests * once,
            memory: shares.fold(0.0, f64::max) * once,
            slots: share(leads, slots) * once,
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
    let part_there = (prompt + answer / 2.0) / (prompt + answer).max(1.0);
    let held = engines
        .filter_map(|e| Some(model.request_capacity(e.accelerator.as_deref()?, e.layers?.len())));
    let held = held.map(|room| (room / part_there).min(f64::from(model.slots)));
    let (sum, count) = held.fold((0.0, 0.0), |(sum, count), held| (sum + held, count + 1.0));
    let more = model.step_per_request.as_secs_f64() * sum / count;
    let growth = more / model.step_time.as_secs_f64();
    let (least, most) = SLOWDOWN_RANGE;
    match growth > 0.0 && growth.is_finite() {
        true => growth.clamp(least, most),
        false => DEFAULT_SLOWDOWN,
    }
}

/// Returns the factor that corrects for boxes that are counted twice. After a start of
/// the whole fleet, some boxes report for themselves and are part of a hub's sum as well,
/// for some seconds.
fn overcount_factor(context: &SelectionContext) -> f64 {
    let heard = context.fleet_load.boxes() as f64 + 1.0;
    (context.boxes / heard).min(1.0)
}

/// Returns the used share of a capacity; 1 if there is no capacity.
fn share(used: f64, of: f64) -> f64 {
    match of > 0.0 {
        true => used / of,
        false => 1.0,
    }
}

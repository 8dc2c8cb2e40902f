//! How near the engines of a service are to what they can do.

use crate::context::{EstimatedLoad, SelectionContext};
use crate::cost;
use crate::routing::Model;
use crate::upstream::Upstream;

/// Part by which requests stay longer at full engines where the configuration does not tell
/// it: 850 us for a pass and 3.82 us more for each of some 180 requests.
const DEFAULT_SLOWDOWN: f64 = 0.8;

/// Least and most of that part: figures of engines may be wrong.
const SLOWDOWN_RANGE: (f64, f64) = (0.2, 2.0);

/// What all boxes have on the engines of a service, as shares of what these can take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Requests under way, also on engines that take no more.
    pub requests: f64,
    /// Share of the memory for requests that is used, of the layers that are shortest
    /// of it.
    pub memory: f64,
    /// Share of the first engines' slots that is used.
    pub slots: f64,
}

impl Pressure {
    /// What a box knows of the engines: the shares of those that take requests, and the
    /// requests on all of them, as those on engines that take no more still run.
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
            if !entry.accepts_requests(context.now) {
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

    /// The share that is nearest to its bound.
    pub fn max_share(&self) -> f64 {
        self.memory.max(self.slots)
    }
}

/// Part by which requests stay longer at full engines than at empty ones: a pass takes more
/// time for each request in it.
pub fn full_slowdown<'a>(model: &Model, engines: impl Iterator<Item = &'a Upstream>) -> f64 {
    let (prompt, answer) = (
        f64::from(model.typical_prompt),
        f64::from(model.typical_output),
    );
    // Room is told for requests with all of their answer; they have half of it on average.
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

/// Factor on what was heard, where more boxes were heard than there are: after a start of
/// all of them some tell for themselves and are in a hub's sum as well, for some seconds.
fn overcount_factor(context: &SelectionContext) -> f64 {
    let heard = context.fleet_load.boxes() as f64 + 1.0;
    (context.boxes / heard).min(1.0)
}

/// A share of what there is; all of it where there is nothing.
fn share(used: f64, of: f64) -> f64 {
    match of > 0.0 {
        true => used / of,
        false => 1.0,
    }
}

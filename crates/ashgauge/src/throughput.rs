//! Throughput of chains of engines within their memory.
//!
//! A request holds memory in every engine of its chain for as long as it runs. So the
//! throughput of a chain is the number of requests that fit into its smallest engine,
//! divided by the duration of a request.

use crate::chain::Layer;
use crate::cost::PASSES_PER_TOKEN;
use crate::routing::Model;

/// Number of requests that are assumed to share the passes of an engine when chains are
/// compared. The offered load does not depend on which chains are built, so the same number
/// is used for all.
const ASSUMED_LOAD: f64 = 50.0;

/// A part of a chain: a kind of accelerator, and its number of layers.
pub type ChainPart<'a> = (&'a str, Layer);

/// Returns the requests a second that a chain of these parts can serve, if they have all
/// layers.
pub fn chain_throughput(model: &Model, parts: &[ChainPart]) -> f64 {
    let capacities = parts
        .iter()
        .map(|(accelerator, layers)| model.request_capacity(accelerator, *layers));
    let min_capacity = capacities.fold(f64::INFINITY, f64::min);
    let seconds: f64 = parts.iter().map(|p| part_seconds(model, p)).sum();
    match seconds > 0.0 {
        true => min_capacity / seconds,
        false => 0.0,
    }
}

/// Returns the seconds that a typical request spends at a part.
fn part_seconds(model: &Model, (accelerator, layers): &ChainPart) -> f64 {
    let Some(accelerator) = model.accelerators.get(*accelerator) else {
        return f64::INFINITY;
    };
    let share = f64::from(*layers) / f64::from(model.layers.max(1));
    let decode = f64::from(model.typical_output)
        * model.step_seconds(ASSUMED_LOAD)
        * accelerator.step_factor;
    let prefill =
        f64::from(model.typical_prompt) / model.prefill_rate.max(1.0) * accelerator.prefill_factor;
    PASSES_PER_TOKEN * share * (decode + prefill)
}

//! How many requests a second engines can carry within their memory.
//!
//! A request holds memory in every engine of its chain for as long as it runs.
//! So what a chain carries is what fits into its scarcest engine, divided by the
//! time that requests take.

use crate::chain::Layer;
use crate::routing::Model;

/// Passes that a token waits for at each engine, its own included: on average
/// it comes in the middle of one.
const PASSES_PER_TOKEN: f64 = 1.5;

/// Requests that share an engine's passes while chains are compared. What is
/// offered is the same whichever is built, so it is one figure for all.
const ASSUMED_LOAD: f64 = 50.0;

/// A part of a chain: a kind of accelerator with so many layers.
pub type ChainPart<'a> = (&'a str, Layer);

/// Requests a second that a chain of these parts carries, if it has all layers.
pub fn chain_throughput(model: &Model, parts: &[ChainPart]) -> f64 {
    let rooms = parts
        .iter()
        .map(|(card, layers)| model.request_capacity(card, *layers));
    let room = rooms.fold(f64::INFINITY, f64::min);
    let seconds: f64 = parts.iter().map(|p| part_seconds(model, p)).sum();
    match seconds > 0.0 {
        true => room / seconds,
        false => 0.0,
    }
}

/// Seconds that a usual request spends at a part.
fn part_seconds(model: &Model, (card, layers): &ChainPart) -> f64 {
    let Some(card) = model.accelerators.get(*card) else {
        return f64::INFINITY;
    };
    let share = f64::from(*layers) / f64::from(model.layers.max(1));
    let writing =
        f64::from(model.typical_output) * model.step_seconds(ASSUMED_LOAD) * card.step_factor;
    let reading =
        f64::from(model.typical_prompt) / model.prefill_rate.max(1.0) * card.prefill_factor;
    PASSES_PER_TOKEN * share * (writing + reading)
}

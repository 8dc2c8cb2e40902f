//! How many requests a second engines can carry within their memory.
//!
//! A request holds memory in every engine of its chain for as long as it runs.
//! So what a chain carries is what fits into its scarcest engine, divided by the
//! time that requests take.

use crate::chain::Layer;
use crate::routing::Model;

/// Passes that a token waits for at each engine, its own included: on average
/// it comes in the middle of one.
const PASSES: f64 = 1.5;

/// Requests that share an engine's passes while chains are compared. What is
/// offered is the same whichever is built, so it is one figure for all.
const LOAD: f64 = 50.0;

/// A part of a chain: a kind of accelerator with so many layers.
pub type Part<'a> = (&'a str, Layer);

/// Requests a second that a chain of these parts carries, if it has all layers.
pub fn chain_rate(model: &Model, parts: &[Part]) -> f64 {
    let rooms = parts.iter().map(|(card, layers)| model.room(card, *layers));
    let room = rooms.fold(f64::INFINITY, f64::min);
    let seconds: f64 = parts.iter().map(|p| seconds(model, p)).sum();
    match seconds > 0.0 {
        true => room / seconds,
        false => 0.0,
    }
}

/// Seconds that a usual request spends at a part.
fn seconds(model: &Model, (card, layers): &Part) -> f64 {
    let Some(card) = model.cards.get(*card) else {
        return f64::INFINITY;
    };
    let share = f64::from(*layers) / f64::from(model.layers.max(1));
    let writing = f64::from(model.answer) * model.step_seconds(LOAD) * card.step_factor;
    let reading = f64::from(model.prompt) / model.read_rate.max(1.0) * card.read_factor;
    PASSES * share * (writing + reading)
}

//! Share of the engines' memory that weights take in a data centre.
//!
//! The rest of the memory holds requests. Where the memory allows a second copy of every layer,
//! the loss of an engine is to leave a chain; elsewhere the share with the highest throughput is
//! chosen.

use crate::chain::Layer;
use crate::routing::Model;
use crate::throughput;

/// Minimum and maximum share of an engine's memory that weights may take.
///
/// The rest of the memory holds requests: a larger share leaves memory for too few of them,
/// a smaller one for too few layers.
const MIN_WEIGHT_SHARE: f64 = 0.5;
const MAX_WEIGHT_SHARE: f64 = 0.78;

/// Step between the shares that are compared. Engines hold whole layers, and a hundredth of
/// a small engine's memory may make a layer more.
const WEIGHT_SHARE_STEP: f64 = 0.01;

/// Share of memory for weights on fast accelerators, which chains prefer, and the minimum on
/// the others, in a data centre with memory for a second copy of every layer.
pub(crate) const MIN_SPARE_SHARE: f64 = 0.60;

/// Copies of the model in a data centre at which no more memory is given to weights: one
/// chain, and second holders for some of the layers.
const TARGET_COPIES: f64 = 1.15;

/// The same in a data centre whose memory allows a second copy of every layer, see
/// [`MIN_SPARE_COPIES`]. The loss of any engine, and of most pairs, then leaves a chain in the
/// data centre.
const TARGET_SPARE_COPIES: f64 = 2.4;

/// Copies that a data centre's memory must allow to count as one with a second copy of every
/// layer.
const MIN_SPARE_COPIES: f64 = 2.0;

/// Share of memory for weights in a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightShare {
    /// Whether the memory allows a second copy of every layer.
    pub allows_second: bool,
    /// Share of an engine's memory that weights may take.
    pub share: f64,
}

impl WeightShare {
    /// Chooses the share for a data centre with these accelerators, one for each engine, the
    /// fastest first.
    pub fn choose(model: &Model, accelerators: &[&str]) -> Self {
        let copies = |share: f64| {
            let held = accelerators.iter().map(|a| layer_capacity(model, a, share));
            held.map(f64::from).sum::<f64>() / f64::from(model.layers)
        };
        let allows_second = copies(MAX_WEIGHT_SHARE) >= MIN_SPARE_COPIES;
        let share = match allows_second {
            true => weight_shares(MIN_SPARE_SHARE)
                .find(|share| copies(*share) >= TARGET_SPARE_COPIES)
                .unwrap_or(MAX_WEIGHT_SHARE),
            false => best_share(model, accelerators, copies),
        };
        WeightShare {
            allows_second,
            share,
        }
    }
}

/// Returns how many layers fit on an accelerator if weights take at most `weight_share` of
/// its memory; 0 for a kind that is not configured.
pub fn layer_capacity(model: &Model, accelerator: &str, weight_share: f64) -> Layer {
    let memory_mb = model
        .accelerators
        .get(accelerator)
        .map_or(0.0, |a| a.memory_mb);
    let layers = (memory_mb * weight_share / model.layer_mb.max(1e-9)).floor();
    (layers as Layer).min(model.layers)
}

/// Iterates over shares of memory that weights may take, from `min` up.
fn weight_shares(min: f64) -> impl Iterator<Item = f64> {
    let steps = ((MAX_WEIGHT_SHARE - min) / WEIGHT_SHARE_STEP).round() as u32;
    (0..=steps).map(move |n| min + WEIGHT_SHARE_STEP * f64::from(n))
}

/// Returns the share of memory for weights with which a data centre has the highest throughput,
/// if it holds [`TARGET_COPIES`] of the model; `copies` returns how many it holds at a share.
fn best_share(model: &Model, accelerators: &[&str], copies: impl Fn(f64) -> f64) -> f64 {
    let mut best = (0.0, MAX_WEIGHT_SHARE);
    for share in weight_shares(MIN_WEIGHT_SHARE).filter(|share| copies(*share) >= TARGET_COPIES) {
        let rate = data_centre_rate(model, accelerators, share);
        if rate > best.0 {
            best = (rate, share);
        }
    }
    best.1
}

/// Returns the requests a second that a data centre can serve with chains of its engines, built
/// from the fastest on.
fn data_centre_rate(model: &Model, accelerators: &[&str], share: f64) -> f64 {
    let (mut rate, mut parts, mut missing) = (0.0, Vec::new(), model.layers);
    for accelerator in accelerators {
        let layers = layer_capacity(model, accelerator, share).min(missing);
        if layers == 0 {
            continue;
        }
        parts.push((*accelerator, layers));
        missing -= layers;
        if missing == 0 {
            rate += throughput::chain_throughput(model, &parts);
            (parts, missing) = (Vec::new(), model.layers);
        }
    }
    rate
}

//! Placement of model layers on engines.
//!
//! Engines start empty and are given one layer range each, where one more holder is worth
//! the most. The first holder of a layer is worth more than the second, and the first in a
//! data centre more than the second there. So each data centre gets a complete chain if its
//! memory allows, and activations need not cross. The remaining engines become second
//! holders, so that the loss of an engine leaves a chain. Where losses have left some
//! layers with few holders, engines are moved to them.

use std::collections::HashMap;
use std::sync::Arc;

use crate::chain::Layer;
use crate::member::UpstreamId;
use crate::routing::Model;
use crate::upstream::LayerRange;
use crate::weight_share::{MIN_SPARE_SHARE, WeightShare};

pub use crate::weight_share::layer_capacity;

/// An accelerator counts as fast if the slowest kind takes this many times as long for a
/// step.
const FAST_RATIO: f64 = 4.0;

/// Number of typical requests for which an engine must have memory to count as one holder.
const REQUESTS_PER_HOLDER: f64 = 100.0;

/// Maximum number of holders that one engine counts for: its compute limits it as well.
const MAX_HOLDER_WEIGHT: f64 = 2.0;

/// The same in a data centre with memory for a second copy of every layer: however much
/// memory an engine has, its loss removes one holder.
const SPARE_HOLDER_WEIGHT: f64 = 1.0;

/// Weight of a layer's holders within the data centre, relative to all holders.
const LOCAL_WEIGHT: f64 = 1.0;

/// Smooths the value of holders, so that a layer without any does not outweigh everything
/// else.
const SMOOTHING: f64 = 0.25;

/// Minimum gain for which an engine that holds layers is given others: about the value of a
/// second holder for one or two layers. Loading is expensive and makes the engine
/// unavailable for seconds.
const MIN_MOVE_GAIN: f64 = 0.6;

/// Additional gain that a move must bring for each layer that it loads: each one makes the
/// engine unavailable for longer.
const MOVE_LAYER_COST: f64 = 0.06;

/// Number of pending orders up to which more engines may be moved; the layers that moves
/// give up meanwhile must be dispensable.
const MAX_MOVES: usize = 4;

/// Number of other holders that a layer must have for an engine to give it up: the first in
/// its data centre, or else the second anywhere. One local holder keeps a chain for the
/// requests that arrive meanwhile; elsewhere a holder must remain after the next loss.
const MIN_LOCAL_HOLDERS: i32 = 1;
const MIN_TOTAL_HOLDERS: i32 = 2;

/// Share by which the value of a range rises for each of its two ends that is also an end of
/// another engine's range in the data centre, or of the model: chains then have fewer stages.
const ALIGNMENT_BONUS: f64 = 0.04;

/// An engine and its layers, as the placement sees it.
#[derive(Clone, Debug)]
pub struct PlacedEngine {
    /// Its id.
    pub id: UpstreamId,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Layers that it holds or was ordered to hold.
    pub layers: Option<LayerRange>,
    /// Whether it may be given other layers now.
    pub movable: bool,
}

/// Assignment of a layer range to an engine.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Assignment {
    /// The engine.
    pub id: UpstreamId,
    /// Layers that it is to hold.
    #[serde(rename = "span")]
    pub layers: LayerRange,
}

/// Chooses layer ranges for all engines that hold nothing, and new ranges for engines that
/// are much more useful elsewhere.
///
/// The result does not depend on the order of `engines`. No engine gets more layers than
/// [`layer_capacity`] allows. Engines with layers past the model are left out.
pub fn plan(model: &Model, engines: &[PlacedEngine]) -> Vec<Assignment> {
    let mut state = PlacementState::new(model, engines);
    let mut assignments = Vec::new();
    for index in 0..state.engines.len() {
        if state.engines[index].layers.is_some() {
            continue;
        }
        if let Some((range, _)) = state.best_range(index) {
            assignments.push(state.assign(index, range));
        }
    }
    // Each move takes the previous ones into account.
    let pending = assignments.len() + state.engines.iter().filter(|e| !e.movable).count();
    for _ in pending..MAX_MOVES {
        let Some((index, range)) = state.best_move() else {
            break;
        };
        assignments.push(state.assign(index, range));
    }
    assignments
}

/// Returns whether each layer of a model is in one of the ranges.
///
/// # Example
///
/// ```
/// use ashgauge::placement::covers_model;
/// use ashgauge::upstream::LayerRange;
///
/// let ranges = [LayerRange { first: 0, end: 3 }, LayerRange { first: 2, end: 4 }];
/// assert!(covers_model(4, ranges.into_iter()));
/// assert!(!covers_model(5, ranges.into_iter()));
/// ```
pub fn covers_model(layers: Layer, ranges: impl Iterator<Item = LayerRange>) -> bool {
    let mut ranges: Vec<LayerRange> = ranges.collect();
    ranges.sort_by_key(|r| r.first);
    let covered_to = ranges
        .iter()
        .fold(0, |covered_to, range| match range.first <= covered_to {
            true => range.end.max(covered_to),
            false => covered_to,
        });
    covered_to >= layers
}

/// Returns the holders of each layer within `data_centre`, or anywhere, weighted by their
/// memory for requests.
pub fn layer_coverage(
    model: &Model,
    engines: &[PlacedEngine],
    data_centre: Option<&str>,
) -> Vec<f64> {
    let state = PlacementState::new(model, engines);
    match data_centre {
        Some(data_centre) => match state.data_centres.get(data_centre) {
            Some(sums) => sums.coverage.clone(),
            None => vec![0.0; model.layers as usize],
        },
        None => state.coverage,
    }
}

/// Engines and the sums over them, which are updated as ranges change: plans are made
/// several times a second with a fraction of a core.
struct PlacementState<'a> {
    model: &'a Model,
    /// Fastest first, then by the largest memory, then by id: chains of fast engines alone
    /// hold memory for less time than mixed ones.
    engines: Vec<PlacedEngine>,
    /// Weight of the holders of each layer.
    coverage: Vec<f64>,
    /// Number of engines that announce each layer and were not ordered to hold others.
    announced: Vec<i32>,
    /// Data centres by name.
    data_centres: HashMap<Arc<str>, DataCentre>,
}

/// Sums over the engines of a data centre.
struct DataCentre {
    /// Whether its memory allows a second copy of every layer.
    allows_second: bool,
    /// Share of an engine's memory that weights may take.
    weight_share: f64,
    /// Weight of the holders of each layer.
    coverage: Vec<f64>,
    /// Number of engines that announce each layer.
    announced: Vec<i32>,
    /// Number of range boundaries before each layer, and after the last one.
    range_ends: Vec<i32>,
}

impl<'a> PlacementState<'a> {
    fn new(model: &'a Model, engines: &[PlacedEngine]) -> Self {
        let mut engines = engines.to_vec();
        engines.retain(|e| e.layers.is_none_or(|held| held.is_within(model.layers)));
        engines.sort_by(|a, b| {
            let size = |e: &PlacedEngine| memory_mb(model, e);
            let faster = step_factor(model, a).total_cmp(&step_factor(model, b));
            let larger = size(b).total_cmp(&size(a));
            faster.then(larger).then_with(|| a.id.cmp(&b.id))
        });
        let mut data_centres = HashMap::new();
        for engine in &engines {
            let name = &engine.data_centre;
            if !data_centres.contains_key(name) {
                data_centres.insert(name.clone(), DataCentre::new(model, &engines, name));
            }
        }
        let mut state = PlacementState {
            model,
            engines,
            coverage: vec![0.0; model.layers as usize],
            announced: vec![0; model.layers as usize],
            data_centres,
        };
        for index in 0..state.engines.len() {
            state.update_coverage(index, 1.0);
        }
        state
    }

    /// Adds an engine's range to the sums (`sign` 1), or subtracts it (`sign` -1).
    fn update_coverage(&mut self, index: usize, sign: f64) {
        let engine = &self.engines[index];
        let Some(range) = engine.layers else {
            return;
        };
        let weight = sign * self.holder_weight(engine, range.len());
        let announced = if engine.movable { sign as i32 } else { 0 };
        let Some(data_centre) = self.data_centres.get_mut(&engine.data_centre) else {
            return;
        };
        for boundary in [range.first, range.end] {
            data_centre.range_ends[boundary as usize] += sign as i32;
        }
        for layer in range.first..range.end {
            data_centre.coverage[layer as usize] += weight;
            data_centre.announced[layer as usize] += announced;
            self.coverage[layer as usize] += weight;
            self.announced[layer as usize] += announced;
        }
    }

    fn set_layers(&mut self, index: usize, layers: Option<LayerRange>) {
        self.update_coverage(index, -1.0);
        self.engines[index].layers = layers;
        self.update_coverage(index, 1.0);
    }

    /// Assigns a range to an engine, which does not announce it yet.
    fn assign(&mut self, index: usize, range: LayerRange) -> Assignment {
        self.set_layers(index, None);
        self.engines[index].movable = false;
        self.set_layers(index, Some(range));
        let id = self.engines[index].id.clone();
        Assignment { id, layers: range }
    }

    /// Returns the move of one engine with the highest gain, if it gains enough: the index
    /// of the engine and its new range.
    fn best_move(&mut self) -> Option<(usize, LayerRange)> {
        let mut best: Option<(f64, usize, LayerRange)> = None;
        for index in 0..self.engines.len() {
            let Some(old) = self.engines[index]
                .layers
                .filter(|_| self.engines[index].movable)
            else {
                continue;
            };
            self.set_layers(index, None);
            let found = self.best_range(index);
            let current_gain = self.range_gain(index, old);
            self.set_layers(index, Some(old));
            let Some((range, new_gain)) = found else {
                continue;
            };
            let loaded = (range.first..range.end)
                .filter(|l| !old.contains(*l))
                .count();
            let gain = new_gain - current_gain - MOVE_LAYER_COST * loaded as f64;
            let is_best =
                gain >= MIN_MOVE_GAIN && best.is_none_or(|(max_gain, ..)| gain > max_gain);
            if is_best && self.can_release(index, old, range) {
                best = Some((gain, index, range));
            }
        }
        best.map(|(_, index, range)| (index, range))
    }

    /// Returns whether other engines announce the layers that an engine gives up for a new
    /// range.
    ///
    /// The layers that it gives up accept no new requests from the order on. The new range
    /// is announced seconds later, when the running requests have ended and the layers are
    /// loaded. The same holds for ranges that other engines were ordered to hold. If moves
    /// relied on such ranges, the fleet would be without a complete chain meanwhile.
    fn can_release(&self, index: usize, old: LayerRange, new: LayerRange) -> bool {
        let local = self
            .data_centres
            .get(&self.engines[index].data_centre)
            .map(|s| &s.announced[..]);
        let other_holders = |announced: &[i32], l: Layer| announced[l as usize] - 1;
        let mut given_up = (old.first..old.end).filter(|l| !new.contains(*l));
        given_up.all(|l| {
            let local_holders = local.map_or(0, |announced| other_holders(announced, l));
            local_holders >= MIN_LOCAL_HOLDERS
                || other_holders(&self.announced, l) >= MIN_TOTAL_HOLDERS
        })
    }

    /// Returns the range with the highest gain for an engine, and the gain; of equal ones
    /// the range with the lowest layers.
    fn best_range(&self, index: usize) -> Option<(LayerRange, f64)> {
        let engine = &self.engines[index];
        let layers = self.model.layers;
        let data_centre = self.data_centres.get(&engine.data_centre)?;
        let weight_share =
            match data_centre.allows_second && is_fast(self.model, &engine.accelerator) {
                true => MIN_SPARE_SHARE,
                false => data_centre.weight_share,
            };
        let len = layer_capacity(self.model, &engine.accelerator, weight_share);
        if len == 0 {
            return None;
        }
        let sums = prefix_sums(&self.layer_gains(index, len));
        let mut best: Option<(LayerRange, f64, f64)> = None;
        for first in 0..=layers - len {
            let end = first + len;
            let sum = sums[end as usize] - sums[first as usize];
            let aligned_ends = u32::from(data_centre.is_range_end(first))
                + u32::from(data_centre.is_range_end(end));
            let value = sum * (1.0 + ALIGNMENT_BONUS * f64::from(aligned_ends));
            if best.is_none_or(|(_, _, max_value)| value > max_value + 1e-9) {
                best = Some((LayerRange { first, end }, sum, value));
            }
        }
        best.map(|(range, sum, _)| (range, sum))
    }

    /// Returns what an engine gains by holding a range, if it holds nothing else.
    fn range_gain(&self, index: usize, range: LayerRange) -> f64 {
        let gains = self.layer_gains(index, range.len());
        gains[range.first as usize..range.end as usize].iter().sum()
    }

    /// Returns what each layer gains by one more holder, which holds `len` layers in total.
    fn layer_gains(&self, index: usize, len: Layer) -> Vec<f64> {
        let engine = &self.engines[index];
        let weight = self.holder_weight(engine, len);
        let local = self
            .data_centres
            .get(&engine.data_centre)
            .map_or(&[][..], |s| &s.coverage);
        // The value of holders is -1 / (holders + SMOOTHING).
        let gain = |holders: &f64| {
            let smooth = holders + SMOOTHING;
            weight / (smooth * (smooth + weight))
        };
        let layers = local.iter().zip(&self.coverage);
        let layers = layers.map(|(local, all)| gain(all) + LOCAL_WEIGHT * gain(local));
        layers.collect()
    }

    /// Returns how many holders an engine counts for that holds `len` layers: its memory
    /// for requests limits its share of the load.
    fn holder_weight(&self, engine: &PlacedEngine, len: Layer) -> f64 {
        let allows_second = self
            .data_centres
            .get(&engine.data_centre)
            .is_some_and(|s| s.allows_second);
        let max = if allows_second {
            SPARE_HOLDER_WEIGHT
        } else {
            MAX_HOLDER_WEIGHT
        };
        (self.model.request_capacity(&engine.accelerator, len) / REQUESTS_PER_HOLDER).min(max)
    }
}

impl DataCentre {
    fn new(model: &Model, engines: &[PlacedEngine], name: &str) -> Self {
        let local = engines.iter().filter(|e| *e.data_centre == *name);
        let accelerators: Vec<&str> = local.map(|e| e.accelerator.as_str()).collect();
        let WeightShare {
            allows_second,
            share,
        } = WeightShare::choose(model, &accelerators);
        DataCentre {
            allows_second,
            weight_share: share,
            coverage: vec![0.0; model.layers as usize],
            announced: vec![0; model.layers as usize],
            range_ends: vec![0; model.layers as usize + 1],
        }
    }

    /// Returns whether a range of an engine here, or the model, begins or ends at this
    /// layer boundary.
    fn is_range_end(&self, layer: Layer) -> bool {
        let ends = [0, self.range_ends.len() - 1].contains(&(layer as usize));
        ends || self.range_ends[layer as usize] > 0
    }
}

/// Returns the sum of the values before each one, and that of all.
fn prefix_sums(values: &[f64]) -> Vec<f64> {
    let mut sum = 0.0;
    let sums = values.iter().map(|value| {
        sum += value;
        sum
    });
    std::iter::once(0.0).chain(sums).collect()
}

/// Returns whether chains prefer an accelerator for its speed, so that it needs memory for
/// most of the requests of its data centre.
fn is_fast(model: &Model, accelerator: &str) -> bool {
    let slowest = model.accelerators.values().map(|a| a.step_factor);
    let slowest = slowest.fold(0.0, f64::max);
    let accelerator = model.accelerators.get(accelerator);
    accelerator.is_some_and(|a| a.step_factor * FAST_RATIO <= slowest)
}

fn step_factor(model: &Model, engine: &PlacedEngine) -> f64 {
    let accelerator = model.accelerators.get(&engine.accelerator);
    accelerator.map_or(f64::INFINITY, |a| a.step_factor)
}

fn memory_mb(model: &Model, engine: &PlacedEngine) -> f64 {
    model
        .accelerators
        .get(&engine.accelerator)
        .map_or(0.0, |a| a.memory_mb)
}

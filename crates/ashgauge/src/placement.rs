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
use crate::throughput;
use crate::upstream::LayerRange;

/// Minimum and maximum share of an engine's memory that weights may take.
///
/// The rest of the memory holds requests: a larger share leaves memory for too few of them,
/// a smaller one for too few layers.
const MIN_WEIGHT_SHARE: f64 = 0.5;
const MAX_WEIGHT_SHARE: f64 = 0.78;

/// Step between the shares that are compared. Engines hold whole layers, and a hundredth of
/// a small engine's memory may make a layer more.
const WEIGHT_SHARE_STEP: f64 = 0.01;

/// Minimum share in a data centre with memory for a second copy of every layer, and the
/// share of its fast accelerators, which chains prefer.
const MIN_SPARE_SHARE: f64 = 0.60;

/// Copies of the model in a data centre at which no more memory is given to weights: one
/// chain, and second holders for some of the layers.
const TARGET_COPIES: f64 = 1.15;

/// The same where the memory allows a second copy of every layer. The loss of any engine,
/// and of most pairs, then leaves a chain in the data centre.
const TARGET_SPARE_COPIES: f64 = 2.4;

/// Copies that the memory must allow for that.
const MIN_SPARE_COPIES: f64 = 2.0;

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

/// Share by which the value of a range rises for each boundary that it has in common with
/// the range of another engine: chains then have fewer stages.
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
/// [`layer_capacity`] allows.
pub fn plan(model: &Model, seats: &[PlacedEngine]) -> Vec<Assignment> {
    let mut board = PlacementState::new(model, seats);
    let mut out = Vec::new();
    for at in 0..board.engines.len() {
        if board.engines[at].layers.is_some() {
            continue;
        }
        if let Some((span, _)) = board.best_range(at) {
            out.push(board.assign(at, span));
        }
    }
    // Each move takes the previous ones into account.
    let under_way = out.len() + board.engines.iter().filter(|s| !s.movable).count();
    for _ in under_way..MAX_MOVES {
        let Some((at, span)) = board.best_move() else {
            break;
        };
        out.push(board.assign(at, span));
    }
    out
}

/// Returns whether each layer of a model is in one of the ranges.
///
/// # Example
///
/// ```
/// use ashgauge::placement::covers_model;
/// use ashgauge::upstream::LayerRange;
///
/// let spans = [LayerRange { first: 0, end: 3 }, LayerRange { first: 2, end: 4 }];
/// assert!(covers_model(4, spans.into_iter()));
/// assert!(!covers_model(5, spans.into_iter()));
/// ```
pub fn covers_model(layers: Layer, spans: impl Iterator<Item = LayerRange>) -> bool {
    let mut spans: Vec<LayerRange> = spans.collect();
    spans.sort_by_key(|s| s.first);
    let reach = spans
        .iter()
        .fold(0, |reach, span| match span.first <= reach {
            true => span.end.max(reach),
            false => reach,
        });
    reach >= layers
}

/// Returns how many layers fit on an accelerator if weights take at most `weight_share` of
/// its memory; 0 for a kind that is not configured.
pub fn layer_capacity(model: &Model, card: &str, fill: f64) -> Layer {
    let memory = model.accelerators.get(card).map_or(0.0, |c| c.memory_mb);
    let layers = (memory * fill / model.layer_mb.max(1e-9)).floor();
    (layers as Layer).min(model.layers)
}

/// Returns the holders of each layer within `data_centre`, or anywhere, weighted by their
/// memory for requests.
pub fn layer_coverage(model: &Model, seats: &[PlacedEngine], place: Option<&str>) -> Vec<f64> {
    let board = PlacementState::new(model, seats);
    match place {
        Some(place) => match board.data_centres.get(place) {
            Some(site) => site.coverage.clone(),
            None => vec![0.0; model.layers as usize],
        },
        None => board.coverage,
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
    fn new(model: &'a Model, seats: &[PlacedEngine]) -> Self {
        let mut seats = seats.to_vec();
        seats.sort_by(|a, b| {
            let size = |s: &PlacedEngine| memory_mb(model, s);
            let faster = step_factor(model, a).total_cmp(&step_factor(model, b));
            let larger = size(b).total_cmp(&size(a));
            faster.then(larger).then_with(|| a.id.cmp(&b.id))
        });
        let mut sites = HashMap::new();
        for seat in &seats {
            let place = &seat.data_centre;
            if !sites.contains_key(place) {
                sites.insert(place.clone(), DataCentre::new(model, &seats, place));
            }
        }
        let mut board = PlacementState {
            model,
            engines: seats,
            coverage: vec![0.0; model.layers as usize],
            announced: vec![0; model.layers as usize],
            data_centres: sites,
        };
        for at in 0..board.engines.len() {
            board.update_coverage(at, 1.0);
        }
        board
    }

    /// Adds an engine's range to the sums (`sign` 1), or subtracts it (`sign` -1).
    fn update_coverage(&mut self, at: usize, sign: f64) {
        let seat = &self.engines[at];
        let Some(span) = seat.layers else {
            return;
        };
        let more = sign * self.holder_weight(seat, span.len());
        let shown = if seat.movable { sign as i32 } else { 0 };
        let Some(site) = self.data_centres.get_mut(&seat.data_centre) else {
            return;
        };
        for edge in [span.first, span.end] {
            site.range_ends[edge.min(self.model.layers) as usize] += sign as i32;
        }
        for layer in span.first..span.end.min(self.model.layers) {
            site.coverage[layer as usize] += more;
            site.announced[layer as usize] += shown;
            self.coverage[layer as usize] += more;
            self.announced[layer as usize] += shown;
        }
    }

    fn set_layers(&mut self, at: usize, span: Option<LayerRange>) {
        self.update_coverage(at, -1.0);
        self.engines[at].layers = span;
        self.update_coverage(at, 1.0);
    }

    /// Assigns a range to an engine, which does not announce it yet.
    fn assign(&mut self, at: usize, span: LayerRange) -> Assignment {
        self.set_layers(at, None);
        self.engines[at].movable = false;
        self.set_layers(at, Some(span));
        let id = self.engines[at].id.clone();
        Assignment { id, layers: span }
    }

    /// Returns the move of one engine with the highest gain, if it gains enough: the index
    /// of the engine and its new range.
    fn best_move(&mut self) -> Option<(usize, LayerRange)> {
        let mut best: Option<(f64, usize, LayerRange)> = None;
        for at in 0..self.engines.len() {
            let Some(old) = self.engines[at].layers.filter(|_| self.engines[at].movable) else {
                continue;
            };
            self.set_layers(at, None);
            let found = self.best_range(at);
            let kept = self.range_gain(at, old);
            self.set_layers(at, Some(old));
            let Some((span, gained)) = found else {
                continue;
            };
            let loaded = (span.first..span.end).filter(|l| !old.contains(*l)).count();
            let more = gained - kept - MOVE_LAYER_COST * loaded as f64;
            let is_best = more >= MIN_MOVE_GAIN && best.is_none_or(|(most, ..)| more > most);
            if is_best && self.can_release(at, old, span) {
                best = Some((more, at, span));
            }
        }
        best.map(|(_, at, span)| (at, span))
    }

    /// Returns whether other engines announce the layers that an engine gives up for a new
    /// range.
    ///
    /// The layers that it gives up accept no new requests from the order on. The new range
    /// is announced seconds later, when the running requests have ended and the layers are
    /// loaded. The same holds for ranges that other engines were ordered to hold. If moves
    /// relied on such ranges, the fleet would be without a complete chain meanwhile.
    fn can_release(&self, at: usize, old: LayerRange, new: LayerRange) -> bool {
        let here = self
            .data_centres
            .get(&self.engines[at].data_centre)
            .map(|s| &s.announced[..]);
        let others = |shown: &[i32], l: Layer| shown[l as usize] - 1;
        let end = old.end.min(self.model.layers);
        let mut given_up = (old.first..end).filter(|l| !new.contains(*l));
        given_up.all(|l| {
            let near = here.map_or(0, |shown| others(shown, l));
            near >= MIN_LOCAL_HOLDERS || others(&self.announced, l) >= MIN_TOTAL_HOLDERS
        })
    }

    /// Returns the range with the highest gain for an engine, and the gain; of equal ones
    /// the range with the lowest layers.
    fn best_range(&self, at: usize) -> Option<(LayerRange, f64)> {
        let seat = &self.engines[at];
        let layers = self.model.layers;
        let site = self.data_centres.get(&seat.data_centre)?;
        let fill = match site.allows_second && is_fast(self.model, &seat.accelerator) {
            true => MIN_SPARE_SHARE,
            false => site.weight_share,
        };
        let len = layer_capacity(self.model, &seat.accelerator, fill);
        if len == 0 {
            return None;
        }
        let sums = prefix_sums(&self.layer_gains(at, len));
        let mut best: Option<(LayerRange, f64, f64)> = None;
        for first in 0..=layers - len {
            let end = first + len;
            let sum = sums[end as usize] - sums[first as usize];
            let aligned = u32::from(site.is_range_end(first)) + u32::from(site.is_range_end(end));
            let worth = sum * (1.0 + ALIGNMENT_BONUS * f64::from(aligned));
            if best.is_none_or(|(_, _, most)| worth > most + 1e-9) {
                best = Some((LayerRange { first, end }, sum, worth));
            }
        }
        best.map(|(span, sum, _)| (span, sum))
    }

    /// Returns what an engine gains by holding a range, if it holds nothing else.
    fn range_gain(&self, at: usize, span: LayerRange) -> f64 {
        let gains = self.layer_gains(at, span.len());
        gains[span.first as usize..span.end as usize].iter().sum()
    }

    /// Returns what each layer gains by one more holder, which holds `len` layers in total.
    fn layer_gains(&self, at: usize, len: Layer) -> Vec<f64> {
        let seat = &self.engines[at];
        let more = self.holder_weight(seat, len);
        let here = self
            .data_centres
            .get(&seat.data_centre)
            .map_or(&[][..], |s| &s.coverage);
        // The value of holders is -1 / (holders + SMOOTHING).
        let gain = |holders: &f64| {
            let smooth = holders + SMOOTHING;
            more / (smooth * (smooth + more))
        };
        let layers = here.iter().zip(&self.coverage);
        let layers = layers.map(|(here, all)| gain(all) + LOCAL_WEIGHT * gain(here));
        layers.collect()
    }

    /// Returns how many holders an engine counts for that holds `len` layers: its memory
    /// for requests limits its share of the load.
    fn holder_weight(&self, seat: &PlacedEngine, len: Layer) -> f64 {
        let is_rich = self
            .data_centres
            .get(&seat.data_centre)
            .is_some_and(|s| s.allows_second);
        let most = if is_rich {
            SPARE_HOLDER_WEIGHT
        } else {
            MAX_HOLDER_WEIGHT
        };
        (self.model.request_capacity(&seat.accelerator, len) / REQUESTS_PER_HOLDER).min(most)
    }
}

impl DataCentre {
    fn new(model: &Model, seats: &[PlacedEngine], place: &str) -> Self {
        let held = |fill: f64| -> f64 {
            let here = seats.iter().filter(|s| *s.data_centre == *place);
            here.map(|s| f64::from(layer_capacity(model, &s.accelerator, fill)))
                .sum()
        };
        let layers = f64::from(model.layers);
        let is_rich = held(MAX_WEIGHT_SHARE) >= MIN_SPARE_COPIES * layers;
        let fill = match is_rich {
            true => {
                let enough = |fill: &f64| held(*fill) >= TARGET_SPARE_COPIES * layers;
                weight_shares(MIN_SPARE_SHARE)
                    .find(enough)
                    .unwrap_or(MAX_WEIGHT_SHARE)
            }
            false => best_weight_share(model, seats, place, |fill| held(fill) / layers),
        };
        DataCentre {
            allows_second: is_rich,
            weight_share: fill,
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

/// Iterates over shares of memory that weights may take, from `least` up.
fn weight_shares(least: f64) -> impl Iterator<Item = f64> {
    let steps = ((MAX_WEIGHT_SHARE - least) / WEIGHT_SHARE_STEP).round() as u32;
    (0..=steps).map(move |n| least + WEIGHT_SHARE_STEP * f64::from(n))
}

/// Returns the share of memory for weights with which a data centre has the highest
/// throughput, if it holds [`TARGET_COPIES`] of the model; `copies` returns how many it
/// holds at a share.
fn best_weight_share(
    model: &Model,
    seats: &[PlacedEngine],
    place: &str,
    copies: impl Fn(f64) -> f64,
) -> f64 {
    let mut best = (0.0, MAX_WEIGHT_SHARE);
    for fill in weight_shares(MIN_WEIGHT_SHARE).filter(|fill| copies(*fill) >= TARGET_COPIES) {
        let rate = data_centre_rate(model, seats, place, fill);
        if rate > best.0 {
            best = (rate, fill);
        }
    }
    best.1
}

/// Returns the requests a second that a data centre can serve with chains of its engines,
/// built from the fastest on.
fn data_centre_rate(model: &Model, seats: &[PlacedEngine], place: &str, fill: f64) -> f64 {
    let (mut rate, mut parts, mut missing) = (0.0, Vec::new(), model.layers);
    for seat in seats.iter().filter(|s| *s.data_centre == *place) {
        let layers = layer_capacity(model, &seat.accelerator, fill).min(missing);
        if layers == 0 {
            continue;
        }
        parts.push((seat.accelerator.as_str(), layers));
        missing -= layers;
        if missing == 0 {
            rate += throughput::chain_throughput(model, &parts);
            (parts, missing) = (Vec::new(), model.layers);
        }
    }
    rate
}

/// Returns whether chains prefer an accelerator for its speed, so that it needs memory for
/// most of the requests of its data centre.
fn is_fast(model: &Model, card: &str) -> bool {
    let slowest = model.accelerators.values().map(|c| c.step_factor);
    let slowest = slowest.fold(0.0, f64::max);
    let card = model.accelerators.get(card);
    card.is_some_and(|c| c.step_factor * FAST_RATIO <= slowest)
}

fn step_factor(model: &Model, seat: &PlacedEngine) -> f64 {
    let card = model.accelerators.get(&seat.accelerator);
    card.map_or(f64::INFINITY, |c| c.step_factor)
}

fn memory_mb(model: &Model, seat: &PlacedEngine) -> f64 {
    model
        .accelerators
        .get(&seat.accelerator)
        .map_or(0.0, |c| c.memory_mb)
}

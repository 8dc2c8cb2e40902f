//! Which engine holds which layers.
//!
//! Engines begin empty and are given one range each. A range is chosen where
//! it is needed most: first a whole chain within each data centre, so that
//! activations need not cross between them, then second holders of as many
//! layers as the memory allows, so that the loss of an engine leaves a chain.

use std::sync::Arc;

use crate::chain::Layer;
use crate::member::UpstreamId;
use crate::roster::Span;
use crate::routing::Model;

/// Shares of an engine's memory that weights may take, from the least.
///
/// What is left holds requests. Measured on the users' sites: at 0.9 too few
/// requests fit, at 0.55 too few layers (docs/MEASUREMENTS.md).
const FILLS: [f64; 4] = [0.60, 0.66, 0.72, 0.78];

/// Copies of the model in a data centre at which no more memory is given to
/// weights: one chain, and second holders for some of the layers.
const COPIES: f64 = 1.15;

/// Worth of a layer's first holder in a data centre, against a second one.
const FIRST_HERE: f64 = 8.0;

/// Worth of a layer's first holder anywhere.
const FIRST_ANYWHERE: f64 = 40.0;

/// An engine as placement sees it.
#[derive(Clone, Debug)]
pub struct Seat {
    /// Its id.
    pub id: UpstreamId,
    /// Data centre.
    pub place: Arc<str>,
    /// Kind of accelerator.
    pub card: String,
    /// Layers that it holds or was ordered to hold.
    pub span: Option<Span>,
}

/// A range for an engine.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Assignment {
    /// The engine.
    pub id: UpstreamId,
    /// What it is to hold.
    pub span: Span,
}

/// Chooses ranges for all engines that hold nothing.
///
/// The same seats bring the same ranges, in whatever order they are given.
/// No engine gets more layers than [`capacity`] allows.
pub fn plan(model: &Model, seats: &[Seat]) -> Vec<Assignment> {
    let mut seats: Vec<Seat> = seats.to_vec();
    seats.sort_by(|a, b| {
        let size = |s: &Seat| memory(model, s);
        size(b).total_cmp(&size(a)).then_with(|| a.id.cmp(&b.id))
    });
    let mut out = Vec::new();
    for at in 0..seats.len() {
        if seats[at].span.is_some() {
            continue;
        }
        let fill = choose_fill(model, &seats, &seats[at].place);
        let most = capacity(model, &seats[at].card, fill);
        let Some(span) = best_span(model, &seats, &seats[at].place, most) else {
            continue;
        };
        seats[at].span = Some(span);
        let id = seats[at].id.clone();
        out.push(Assignment { id, span });
    }
    out
}

/// Layers that a kind of accelerator may hold if weights take at most `fill`
/// of its memory; 0 for a kind that the configuration does not tell.
pub fn capacity(model: &Model, card: &str, fill: f64) -> Layer {
    let memory = model.cards.get(card).map_or(0.0, |c| c.memory_mb);
    let layers = (memory * fill / model.layer_mb.max(1e-9)).floor();
    (layers as Layer).min(model.layers)
}

/// How often each layer is held within `place`, or anywhere.
pub fn cover(model: &Model, seats: &[Seat], place: Option<&str>) -> Vec<u32> {
    let mut cover = vec![0; model.layers as usize];
    let here = |s: &&Seat| place.is_none_or(|p| *s.place == *p);
    for span in seats.iter().filter(here).filter_map(|s| s.span) {
        for layer in span.first..span.end.min(model.layers) {
            cover[layer as usize] += 1;
        }
    }
    cover
}

fn memory(model: &Model, seat: &Seat) -> f64 {
    model.cards.get(&seat.card).map_or(0.0, |c| c.memory_mb)
}

/// The least share of memory at which a data centre holds enough copies.
fn choose_fill(model: &Model, seats: &[Seat], place: &str) -> f64 {
    let wanted = COPIES * f64::from(model.layers);
    let held = |fill: f64| -> f64 {
        let here = seats.iter().filter(|s| *s.place == *place);
        here.map(|s| f64::from(capacity(model, &s.card, fill)))
            .sum()
    };
    let enough = FILLS.iter().find(|fill| held(**fill) >= wanted);
    *enough.unwrap_or(&FILLS[FILLS.len() - 1])
}

/// The range of `len` layers that is worth most in `place`; the lowest of
/// those that are worth the same.
fn best_span(model: &Model, seats: &[Seat], place: &str, len: Layer) -> Option<Span> {
    if len == 0 {
        return None;
    }
    let here = cover(model, seats, Some(place));
    let all = cover(model, seats, None);
    let worth: Vec<f64> = here.iter().zip(&all).map(|(h, a)| gain(*h, *a)).collect();
    let mut best: Option<(f64, Layer)> = None;
    for first in 0..=model.layers - len {
        let range = first as usize..(first + len) as usize;
        let sum: f64 = worth[range].iter().sum();
        if best.is_none_or(|(most, _)| sum > most + 1e-9) {
            best = Some((sum, first));
        }
    }
    best.map(|(_, first)| Span {
        first,
        end: first + len,
    })
}

/// What one more holder of a layer is worth.
fn gain(here: u32, all: u32) -> f64 {
    let nth = 1.0 / f64::from(1 + here * here + all);
    match (here, all) {
        (_, 0) => FIRST_ANYWHERE,
        (0, _) => FIRST_HERE,
        _ => nth,
    }
}

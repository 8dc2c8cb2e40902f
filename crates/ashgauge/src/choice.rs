//! Which upstream, or which chain of engines, a request goes to.

use std::time::Duration;

use rand::Rng;

use crate::chain::{self, Edge, Layer, Stage};
use crate::member::UpstreamId;
use crate::roster::{Entry, Roster, Span};
use crate::routing::Model;

/// Time assumed for an upstream that has not answered yet, in seconds.
const UNKNOWN_SECONDS: f64 = 0.02;

/// Factor on the cost of an upstream in another data centre.
const AWAY_FACTOR: f64 = 1.15;

/// Costs are spread by this share at random, so that boxes that know the same
/// do not all choose the same.
const SPREAD: f64 = 0.08;

/// Share of an engine's memory past which requests do not go there if there is
/// any other way; sizes vary, and a full engine throws requests out.
const FULL: f64 = 0.85;

/// Factor on the cost of an engine past [`FULL`].
const FULL_FACTOR: f64 = 50.0;

/// Seconds that an engine in a chain counts for besides its work: each is one
/// more that may be lost while the request runs.
const ENGINE_SECONDS: f64 = 0.25;

/// Seconds that a change of data centre counts for besides its delays: the
/// bytes are priced, and the pipe is shared.
const CROSSING_SECONDS: f64 = 2.5;

/// Delay of one message between two data centres, in seconds; the users'
/// figure for theirs, in one region.
const AWAY_SECONDS: f64 = 0.0005;

/// Delay of one message within a data centre, in seconds.
const HOP_SECONDS: f64 = 0.0002;

/// What is chosen from, and by whom.
#[derive(Clone, Copy)]
pub struct Scene<'a> {
    /// The upstreams.
    pub roster: &'a Roster,
    /// Name of the service.
    pub service: &'a str,
    /// Data centre of the box.
    pub place: &'a str,
    /// Boxes of the fleet, this one included.
    pub boxes: f64,
    /// Boxes in one data centre, on average.
    pub neighbours: f64,
    /// Time of the choice.
    pub now: Duration,
}

/// Chooses an upstream of a plain service, and not one that was `tried` if
/// there is another.
pub fn upstream(scene: &Scene, tried: &[UpstreamId], rng: &mut impl Rng) -> Option<UpstreamId> {
    let entries = || scene.roster.of(scene.service);
    let usable = |e: &&Entry| e.is_usable(scene.now);
    let new = |e: &&Entry| !tried.contains(&e.upstream.id);
    let leaving = |e: &&Entry| e.upstream.leaving;
    let mut cheapest = |entries: &mut dyn Iterator<Item = &Entry>| {
        let costs = entries.map(|e| (upstream_cost(scene, e) * jitter(rng), &e.upstream.id));
        costs
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    };
    cheapest(&mut entries().filter(usable).filter(new))
        .or_else(|| cheapest(&mut entries().filter(|e| !leaving(e)).filter(new)))
        .or_else(|| cheapest(&mut entries().filter(usable)))
}

/// Chooses a chain over `span` of the model's layers, without the engines in
/// `avoid`.
///
/// The cost is the time of a usual request: reading its prompt, writing its
/// answer, handing activations on; engines that are filling up cost more.
pub fn chain(
    scene: &Scene,
    model: &Model,
    span: Span,
    avoid: &[UpstreamId],
    rng: &mut impl Rng,
) -> Option<Vec<Stage>> {
    let mut places: Vec<&str> = vec![scene.place];
    let mut edges = Vec::new();
    let streams = own_streams(scene, model);
    for entry in scene.roster.of(scene.service) {
        let (Some(held), true) = (entry.upstream.layers, entry.is_usable(scene.now)) else {
            continue;
        };
        if avoid.contains(&entry.upstream.id) || !held.overlaps(&span) {
            continue;
        }
        let name: &str = &entry.upstream.place;
        let place = places.iter().position(|p| *p == name);
        let place = place.unwrap_or_else(|| {
            places.push(name);
            places.len() - 1
        });
        let load = expected_load(scene, entry, streams);
        let full = match entry.is_full(scene.now) {
            true => 1.0,
            false => load / capacity(model, entry, held).max(1.0),
        };
        let filling = filling(full) * jitter(rng);
        let fixed = ENGINE_SECONDS + f64::from(model.answer) * HOP_SECONDS;
        edges.push(Edge {
            upstream: entry.upstream.id.clone(),
            first: held.first,
            end: held.end,
            fixed: fixed * filling,
            layer: layer_seconds(model, entry, load) * filling,
            place,
        });
    }
    let crossing = crossing_seconds(model);
    chain::cheapest_across(span.first, span.end, &edges, |from, to| match from {
        None if to == 0 => 0.0,
        None => CROSSING_SECONDS / 2.0 + f64::from(model.answer) * AWAY_SECONDS,
        Some(from) if from == to => 0.0,
        Some(_) => crossing,
    })
}

/// Requests of usual size that an engine has memory for.
pub fn capacity(model: &Model, entry: &Entry, held: Span) -> f64 {
    let card = entry
        .upstream
        .card
        .as_ref()
        .and_then(|c| model.cards.get(c));
    let memory = card.map_or(0.0, |c| c.memory_mb);
    let free = (memory - f64::from(held.len()) * model.layer_mb).max(0.0);
    let share = f64::from(held.len()) / f64::from(model.layers.max(1));
    let usual = f64::from(model.prompt + model.answer) * model.token_mb * share;
    if usual > 0.0 {
        free / usual
    } else {
        f64::INFINITY
    }
}

fn upstream_cost(scene: &Scene, entry: &Entry) -> f64 {
    let seconds = match entry.seconds {
        0.0 => UNKNOWN_SECONDS,
        known => known,
    };
    let slots = f64::from(entry.upstream.slots.max(1));
    let told = entry.load.map_or(0.0, |(running, waiting)| {
        f64::from(running) + 2.0 * f64::from(waiting)
    });
    let ahead = told.max(f64::from(entry.inflight) * scene.neighbours) / slots;
    let away = match *entry.upstream.place == *scene.place {
        true => 1.0,
        false => AWAY_FACTOR,
    };
    let failing = 1.0 / (1.0 - entry.failures.min(0.95));
    let ahead = if entry.is_full(scene.now) {
        ahead + FULL_FACTOR
    } else {
        ahead
    };
    seconds * (1.0 + ahead) * away * failing * failing
}

/// Requests of this box that run on the service's engines; each covers every
/// layer once.
fn own_streams(scene: &Scene, model: &Model) -> f64 {
    let entries = scene.roster.of(scene.service);
    let layers = entries.map(|e| {
        let held = e.upstream.layers.map_or(0, |l| l.len());
        f64::from(e.inflight) * f64::from(held)
    });
    layers.sum::<f64>() / f64::from(model.layers.max(1))
}

/// Requests that all boxes together have on an engine, as far as this box can
/// tell from its own: its neighbours are taken to do as it does, and the boxes
/// elsewhere to use their own engines in the same way.
fn expected_load(scene: &Scene, entry: &Entry, streams: f64) -> f64 {
    let own = f64::from(entry.inflight);
    match *entry.upstream.place == *scene.place {
        true => own * scene.neighbours,
        false => own * scene.boxes + streams * scene.neighbours,
    }
}

/// Factor on the cost of an engine that is full to this share.
fn filling(full: f64) -> f64 {
    match full < FULL {
        true => 1.0 / (1.0 - full),
        false => FULL_FACTOR * (1.0 + full),
    }
}

/// Seconds that one layer costs a usual request on an engine with this load.
fn layer_seconds(model: &Model, entry: &Entry, load: f64) -> f64 {
    let card = entry
        .upstream
        .card
        .as_ref()
        .and_then(|c| model.cards.get(c));
    let (step, read) = card.map_or((1.0, 1.0), |c| (c.step_factor, c.read_factor));
    let own = model.step + model.step_request.mul_f64(load);
    let writing = f64::from(model.answer) * own.as_secs_f64() * step;
    let reading = f64::from(model.prompt) / model.read_rate.max(1.0) * read;
    (writing + reading) / f64::from(model.layers.max(1))
}

/// Seconds that a usual request loses where its chain changes data centre:
/// the prompt's activations in the pipe, and the delay of each token.
fn crossing_seconds(model: &Model) -> f64 {
    let prompt = f64::from(model.prompt) * model.activation_mb;
    let pipe = if model.pipe_mb > 0.0 {
        prompt / model.pipe_mb
    } else {
        0.0
    };
    CROSSING_SECONDS + pipe + f64::from(model.answer) * AWAY_SECONDS
}

fn jitter(rng: &mut impl Rng) -> f64 {
    1.0 + SPREAD * rng.random_range(-1.0..1.0)
}

/// The whole model as a range.
pub fn whole(layers: Layer) -> Span {
    Span {
        first: 0,
        end: layers,
    }
}

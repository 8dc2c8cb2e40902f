//! Which upstream, or which chain of engines, a request goes to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::chain::{self, Edge, Layer, Stage};
use crate::member::UpstreamId;
use crate::roster::{Entry, Roster, Span};
use crate::routing::Model;
use crate::share::Shares;

/// Time assumed for an upstream that has not answered yet, in seconds.
const UNKNOWN_SECONDS: f64 = 0.02;

/// Factor on the cost of an upstream in another data centre.
const AWAY_FACTOR: f64 = 1.15;

/// Costs are spread by this share at random, so that boxes that know the same
/// do not all choose the same.
const SPREAD: f64 = 0.08;

/// The same where boxes choose together: what they choose now is in no word of
/// theirs yet, and all streams of a lost engine were read anew by the same two.
const SPREAD_TOGETHER: f64 = 0.4;

/// Seconds that a second of reading counts for there: it is a pause in a stream,
/// late past some 250 ms, while other costs are spread over the stream's time.
/// With it and [`SPREAD_TOGETHER`] pauses after a loss were 313 ms in the median
/// where engines are led around, not 391, and 349 ms where streams go on
/// elsewhere, not 454, by the boxes' lines of one day.
const READING_TOGETHER: f64 = 4.0;

/// Share of an engine's memory past which requests do not go there if there is
/// any other way; sizes vary, and a full engine throws requests out. Measured as
/// mean worth of five days, 15 plays: 0.521 at 0.85, 0.539 at 0.95, 0.514 at
/// 1.05 (docs/DECISIONS.md).
const FULL: f64 = 0.95;

/// How late the cost of an engine rises as it fills, where the data centre holds
/// [`COPIES_SPARE`]: half full it is an eighth dearer, not twice as dear, which
/// led requests to slow engines that they hold for longer.
const FILLING_SPARE: i32 = 3;

/// Copies of the model in a data centre from which on others can stand in for an
/// engine that is full. With fewer, room is saved from the first request on: 30
/// plays of a fleet with 1.5 copies earned 0.637 so, 0.617 at the late rise.
const COPIES_SPARE: f64 = 2.0;

/// Seconds that an engine past [`FULL`] counts for besides, more than two
/// changes of data centre.
const FULL_SECONDS: f64 = 8.0;

/// Seconds that a first engine counts for that failed all its requests lately;
/// after one failure it is a change of data centre for the caller's request
/// and a good deal more.
const FAILING_SECONDS: f64 = 8.0;

/// Seconds that an engine counts for besides which another box found to be lost.
/// Each of 59 boxes had to find out by requests of its own, up to nine lost
/// engines one after the other, and 900 of a day's requests were refused when the
/// retries for that were used up.
const RUMOUR_SECONDS: f64 = 8.0;

/// Requests that an upstream without room counts as having ahead of a new one.
const FULL_AHEAD: f64 = 20.0;

/// Seconds that an engine in a chain counts for besides its work: each is one
/// more that may be lost while the request runs.
const ENGINE_SECONDS: f64 = 0.25;

/// Seconds that a change of data centre within a chain counts for besides its
/// delays: all activations go over a pipe that is shared and soon full.
const CROSSING_SECONDS: f64 = 3.0;

/// Least and most seconds that a chain in another data centre counts for. Only
/// the request and its events cross; but boxes that know the load there late
/// fill the same engines. Measured as the same mean: 0.478 at 0.3, 0.461 at 3
/// with words each 0.1 s (docs/DECISIONS.md).
const ENTRY_RANGE: (f64, f64) = (0.3, 3.0);

/// Seconds that it counts for each second between words from there: at words
/// each 3 to 5 s a quiet day of 71 boxes served 0.885 of its worth at 0.3 s,
/// 0.998 at words each second.
const ENTRY_LAG: f64 = 3.0;

/// Share of a pipe that may be used; past it what crosses waits for seconds.
const PIPE_SHARE: f64 = 0.75;

/// Time over which the use of pipes is averaged.
const PIPE_TIME: Duration = Duration::from_secs(1);

/// Delay of one message between two data centres, in seconds; the users'
/// figure for theirs, in one region.
const AWAY_SECONDS: f64 = 0.0005;

/// Delay of one message within a data centre, in seconds.
const HOP_SECONDS: f64 = 0.0002;

/// How much this box has sent over the pipes between data centres lately.
///
/// The boxes do alike, so each takes the fleet's use to be its own times their
/// number.
#[derive(Clone, Debug, Default)]
pub struct Pipes(HashMap<(Arc<str>, Arc<str>), (f64, Duration)>);

impl Pipes {
    /// Notes that `mb` megabytes go from one data centre to another.
    pub fn note(&mut self, now: Duration, from: &Arc<str>, to: &Arc<str>, mb: f64) {
        let entry = self.0.entry(pair(from, to)).or_insert((0.0, now));
        *entry = (fade(*entry, now) + mb, now);
    }

    /// Megabytes a second that this box sends between two data centres.
    pub fn rate(&self, now: Duration, a: &Arc<str>, b: &Arc<str>) -> f64 {
        let used = self.0.get(&pair(a, b));
        used.map_or(0.0, |used| fade(*used, now) / PIPE_TIME.as_secs_f64())
    }
}

/// A pipe carries both directions.
fn pair(a: &Arc<str>, b: &Arc<str>) -> (Arc<str>, Arc<str>) {
    match a < b {
        true => (a.clone(), b.clone()),
        false => (b.clone(), a.clone()),
    }
}

fn fade((mb, at): (f64, Duration), now: Duration) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    mb * (-age / PIPE_TIME.as_secs_f64()).exp()
}

/// What is chosen from, and by whom.
#[derive(Clone, Copy)]
pub struct Scene<'a> {
    /// The upstreams.
    pub roster: &'a Roster,
    /// What crosses between data centres.
    pub pipes: &'a Pipes,
    /// What the other boxes have on the upstreams.
    pub shares: &'a Shares,
    /// Name of the service.
    pub service: &'a str,
    /// Data centre of the box.
    pub place: &'a Arc<str>,
    /// Time between two words of a box in another data centre.
    pub lag: Duration,
    /// Boxes of the fleet, this one included.
    pub boxes: f64,
    /// Boxes in one data centre, on average.
    pub neighbours: f64,
    /// Whether the other boxes choose at the same moment for the same cause, such
    /// as the loss of an engine that all of them use.
    pub together: bool,
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
        let costs = entries.map(|e| (upstream_cost(scene, e) * scene.jitter(rng), &e.upstream.id));
        costs
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    };
    cheapest(&mut entries().filter(usable).filter(new))
        .or_else(|| cheapest(&mut entries().filter(|e| !leaving(e)).filter(new)))
        .or_else(|| cheapest(&mut entries().filter(usable)))
}

/// Chooses a chain over `span` of the model's layers, without the engines in
/// `avoid` and those that lack what the request may `need`.
///
/// The cost is the time of a usual request: reading its prompt, writing its
/// answer, handing activations on; engines that are filling up cost more.
pub fn chain(
    scene: &Scene,
    model: &Model,
    span: Span,
    avoid: &[UpstreamId],
    need: Option<Need>,
    rng: &mut impl Rng,
) -> Option<Vec<Stage>> {
    let mut places: Vec<&Arc<str>> = vec![scene.place];
    let mut edges = Vec::new();
    let scale = Scale {
        scene,
        model,
        spare: copies_near(scene, model) >= COPIES_SPARE,
    };
    for entry in scene.roster.of(scene.service) {
        let (Some(held), true) = (entry.upstream.layers, entry.is_usable(scene.now)) else {
            continue;
        };
        if avoid.contains(&entry.upstream.id) || !held.overlaps(&span) {
            continue;
        }
        if need.is_some_and(|n| !n.fits(scene, model, entry)) {
            continue;
        }
        let name = &entry.upstream.place;
        let place = places.iter().position(|p| *p == name);
        let place = place.unwrap_or_else(|| {
            places.push(name);
            places.len() - 1
        });
        let leads = span.first == 0 && held.first == 0;
        let (fixed, layer) = scale.weigh(entry, held, leads, scene.jitter(rng));
        edges.push(Edge {
            upstream: entry.upstream.id.clone(),
            first: held.first,
            end: held.end,
            fixed,
            layer,
            place,
        });
    }
    chain::cheapest_across(span.first, span.end, &edges, |from, to| match from {
        _ if from == Some(to) => 0.0,
        Some(from) => crossing_seconds(scene, model, places[from], places[to]),
        None if to == 0 => 0.0,
        None => entry_seconds(scene),
    })
}

/// Share of an engine's memory for requests that all boxes' requests hold, as
/// far as this box knows; `None` if it holds no layers.
pub fn fullness(scene: &Scene, model: &Model, entry: &Entry) -> Option<f64> {
    let held = entry.upstream.layers?;
    let tokens = Total::of(scene, entry).tokens;
    Some(tokens / memory(model, entry, held).max(1.0))
}

/// Room that a request needs on each engine of its chain.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Tokens that it holds.
    pub tokens: u32,
    /// Share of their memory up to which engines are filled.
    pub limit: f64,
}

impl Need {
    /// Whether an engine has the room, with all of its layers in the chain, and a
    /// slot if it would be the chain's first.
    ///
    /// Past its slots an engine turns requests away: 3,496 arrivals, not 4,182, of
    /// a day with 2.2 times the usual traffic and nine of 86 engines dark.
    pub fn fits(&self, scene: &Scene, model: &Model, entry: &Entry) -> bool {
        let Some(held) = entry.upstream.layers else {
            return false;
        };
        let more = f64::from(self.tokens) * f64::from(held.len());
        let total = Total::of(scene, entry);
        let slots = f64::from(entry.upstream.slots.max(1)) * self.limit.min(1.0);
        let has_slot = held.first > 0 || total.leads + 1.0 <= slots;
        let has_memory = total.tokens + more <= self.limit * memory(model, entry, held);
        has_slot && has_memory && !entry.is_full(scene.now)
    }
}

/// Memory of an engine for requests, in tokens times layers.
pub fn memory(model: &Model, entry: &Entry, held: Span) -> f64 {
    let card = entry.upstream.card.as_deref().unwrap_or_default();
    let usual = f64::from(model.prompt + model.answer) * f64::from(held.len());
    model.room(card, held.len()) * usual
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
    let ahead = told.max(Total::of(scene, entry).requests) / slots;
    let away = match entry.upstream.place == *scene.place {
        true => 1.0,
        false => AWAY_FACTOR,
    };
    let failing = 1.0 / (1.0 - entry.failures(scene.now).min(0.95));
    let avoided = entry.is_full(scene.now) || entry.is_rumoured(scene.now);
    let ahead = if avoided { ahead + FULL_AHEAD } else { ahead };
    seconds * (1.0 + ahead) * away * failing * failing
}

/// What all boxes have on an upstream, as far as this one knows.
///
/// Boxes that were not heard lately are taken to do as those that were: all of
/// them, or the part of them that stands in the upstream's data centre if it is
/// this box's own.
struct Total {
    requests: f64,
    leads: f64,
    tokens: f64,
    /// Seconds for which it has prompts to read.
    reading: f64,
}

impl Total {
    fn of(scene: &Scene, entry: &Entry) -> Self {
        let own = entry.used(scene.now);
        let mut known = own;
        known.add(&scene.shares.others(&entry.upstream.id));
        let likes = likes(scene, entry);
        let heard = scene.shares.boxes() as f64 + 1.0;
        let unheard = (likes / heard).max(1.0);
        let told = f64::from(known.reading) * unheard;
        let alike = match scene.together {
            true => f64::from(own.reading) * likes,
            false => 0.0,
        };
        Total {
            requests: f64::from(known.requests) * unheard,
            leads: f64::from(known.leads) * unheard,
            tokens: f64::from(known.tokens) * unheard,
            reading: told.max(alike) / 1e3,
        }
    }
}

/// What engines are weighed by.
struct Scale<'a> {
    scene: &'a Scene<'a>,
    model: &'a Model,
    /// Whether the data centre has engines to spare.
    spare: bool,
}

impl Scale<'_> {
    /// Seconds that any use of an engine costs, and each of its layers; `leads`
    /// says that it may become the chain's first, which answers for all.
    fn weigh(&self, entry: &Entry, held: Span, leads: bool, jitter: f64) -> (f64, f64) {
        let (scene, model) = (self.scene, self.model);
        let total = Total::of(scene, entry);
        // A slow engine gets through less; its room counts for as much less.
        let slowness = entry.slowness(scene.now);
        let mut full = match entry.is_full(scene.now) {
            true => 1.0,
            false => total.tokens * slowness / memory(model, entry, held).max(1.0),
        };
        let mut fixed = match scene.together {
            true => total.reading * READING_TOGETHER,
            false => total.reading,
        };
        if leads {
            full = full.max(total.leads / f64::from(entry.upstream.slots.max(1)));
            fixed += FAILING_SECONDS * entry.failures(scene.now);
        }
        if full >= FULL {
            fixed += FULL_SECONDS * full;
        }
        if entry.is_rumoured(scene.now) {
            fixed += RUMOUR_SECONDS;
        }
        let power = if self.spare { FILLING_SPARE } else { 1 };
        let filling = jitter / (1.0 - full.min(FULL).powi(power));
        let engine = ENGINE_SECONDS + f64::from(model.answer) * HOP_SECONDS;
        // A request waits at one engine of its chain at a time.
        let there = match self.spare {
            true => f64::from(held.len()) / f64::from(model.layers.max(1)),
            false => 1.0,
        };
        let load = total.requests * there * slowness;
        let layer = layer_seconds(model, entry, load) * slowness * filling;
        (fixed + engine * filling, layer)
    }
}

/// Copies of the model that the engines of the box's data centre hold.
fn copies_near(scene: &Scene, model: &Model) -> f64 {
    let entries = scene.roster.of(scene.service);
    let near = entries.filter(|e| e.upstream.place == *scene.place && e.is_usable(scene.now));
    let layers: Layer = near
        .filter_map(|e| e.upstream.layers)
        .map(|l| l.len())
        .sum();
    f64::from(layers) / f64::from(model.layers.max(1))
}

/// Boxes that are taken to use an engine as this one does.
fn likes(scene: &Scene, entry: &Entry) -> f64 {
    match entry.upstream.place == *scene.place {
        true => scene.neighbours,
        false => scene.boxes,
    }
}

/// Seconds that an engine needs to read `tokens` through some of its layers.
pub fn reading_seconds(
    scene: &Scene,
    model: &Model,
    entry: &Entry,
    layers: Layer,
    tokens: u32,
) -> f64 {
    let card = entry.upstream.card.as_ref();
    let factor = card.and_then(|c| model.cards.get(c));
    let factor = factor.map_or(1.0, |c| c.read_factor) * entry.slowness(scene.now);
    let whole = f64::from(tokens) / model.read_rate.max(1.0) * factor;
    whole * f64::from(layers) / f64::from(model.layers.max(1))
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
/// the prompt's activations in the pipe, and the delay of each token. A pipe
/// that is used up may not be used.
fn crossing_seconds(scene: &Scene, model: &Model, from: &Arc<str>, to: &Arc<str>) -> f64 {
    let delays = f64::from(model.answer) * AWAY_SECONDS;
    if model.pipe_mb <= 0.0 {
        return CROSSING_SECONDS + delays;
    }
    let used = scene.pipes.rate(scene.now, from, to) * scene.boxes / model.pipe_mb;
    if used >= PIPE_SHARE {
        return f64::INFINITY;
    }
    let prompt = f64::from(model.prompt) * model.activation_mb;
    (CROSSING_SECONDS + prompt / model.pipe_mb) / (1.0 - used) + delays
}

/// Seconds that a chain in another data centre counts for. Streams that go on
/// elsewhere are not led there by words that lag, so they may share the reading
/// among all data centres.
fn entry_seconds(scene: &Scene) -> f64 {
    let (least, most) = ENTRY_RANGE;
    if scene.together {
        return least;
    }
    (scene.lag.as_secs_f64() * ENTRY_LAG).clamp(least, most)
}

impl Scene<'_> {
    /// A factor on a cost, so that boxes do not all choose the same.
    fn jitter(&self, rng: &mut impl Rng) -> f64 {
        let spread = if self.together {
            SPREAD_TOGETHER
        } else {
            SPREAD
        };
        1.0 + spread * rng.random_range(-1.0..1.0)
    }
}

/// The whole model as a range.
pub fn whole(layers: Layer) -> Span {
    Span {
        first: 0,
        end: layers,
    }
}

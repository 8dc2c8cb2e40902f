//! Which upstream, or which chain of engines, a request goes to.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::chain::{self, Edge, Layer, Stage};
use crate::cost::{self, Scale};
use crate::entry::Entry;
use crate::member::UpstreamId;
use crate::routing::Model;
use crate::scene::{Scene, Total};
use crate::upstream::Span;

/// Time assumed for an upstream that has not answered yet, in seconds.
const UNKNOWN_SECONDS: f64 = 0.02;

/// Factor on the cost of an upstream in another data centre.
const AWAY_FACTOR: f64 = 1.15;

/// Requests that an upstream without room counts as having ahead of a new one.
const FULL_AHEAD: f64 = 20.0;

/// Share of the limit up to which engines are filled that a data centre's engines keep for
/// the callers of its own boxes, see [`Need::reserved`].
pub const RESERVED: f64 = 0.125;

/// Chooses an upstream of a plain service, and not one that was `tried` if
/// there is another.
pub fn upstream(scene: &Scene, tried: &[UpstreamId], rng: &mut impl Rng) -> Option<UpstreamId> {
    let open = |e: &&Entry| opens(scene, e).is_none();
    let all = || scene.roster.of(scene.service);
    let entries = || all().filter(open);
    let usable = |e: &&Entry| e.is_usable(scene.now);
    let new = |e: &&Entry| !tried.contains(&e.upstream.id);
    let stays = |e: &&Entry| !e.is_leaving();
    let listed = |e: &&Entry| !e.is_missing();
    let mut cheapest = |entries: &mut dyn Iterator<Item = &Entry>| {
        let costs = entries.map(|e| (upstream_cost(scene, e) * scene.jitter(rng), &e.upstream.id));
        costs
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    };
    cheapest(&mut entries().filter(usable).filter(new))
        .or_else(|| cheapest(&mut entries().filter(stays).filter(listed).filter(new)))
        .or_else(|| cheapest(&mut entries().filter(usable)))
        // One whose entry is gone may have left; only an outage takes all at once.
        .or_else(|| match all().any(|e| listed(&e)) {
            true => None,
            false => cheapest(&mut entries().filter(stays).filter(new)),
        })
}

/// Chooses a chain over `span` of the model's layers, without the engines in
/// `avoid` and those that lack what the request may `need`.
///
/// The cost is the time of a request of the scene's shape: reading its prompt, writing
/// its answer, handing activations on; engines that are filling up cost more.
///
/// What engines in other data centres reserve for the callers there is used only if there
/// is no chain without it: that is better for the request than a refusal.
pub fn chain(
    scene: &Scene,
    model: &Model,
    span: Span,
    avoid: &[UpstreamId],
    need: Option<Need>,
    rng: &mut impl Rng,
) -> Option<Vec<Stage>> {
    let found = chain_with(scene, model, span, avoid, need, rng);
    match need.filter(|n| found.is_none() && n.reserved > 0.0) {
        Some(need) => {
            let need = Need {
                reserved: 0.0,
                ..need
            };
            chain_with(scene, model, span, avoid, Some(need), rng)
        }
        None => found,
    }
}

/// Chooses a chain of engines on which `need` fits.
fn chain_with(
    scene: &Scene,
    model: &Model,
    span: Span,
    avoid: &[UpstreamId],
    need: Option<Need>,
    rng: &mut impl Rng,
) -> Option<Vec<Stage>> {
    let mut places: Vec<&Arc<str>> = vec![scene.place];
    let mut edges = Vec::new();
    let scale = Scale::new(scene, model);
    for (entry, held) in holders(scene, span) {
        if avoid.contains(&entry.upstream.id) {
            continue;
        }
        if need.is_some_and(|n| !n.fits(scene, model, entry)) {
            continue;
        }
        let leads = span.first == 0 && held.first == 0;
        if leads && entry.closed(scene.now).is_some() {
            continue;
        }
        let (fixed, layer) = scale.weigh(entry, held, leads, rng);
        edges.push(Edge {
            upstream: entry.upstream.id.clone(),
            first: held.first,
            end: held.end,
            fixed,
            layer,
            place: number_of(&mut places, &entry.upstream.place),
        });
    }
    chain::cheapest_across(span.first, span.end, &edges, |from, to| match from {
        _ if from == Some(to) => 0.0,
        Some(from) => scale.crossing_seconds(places[from], places[to]),
        None if to == 0 => 0.0,
        None => cost::entry_seconds(scene),
    })
}

/// Engines that take requests and hold some of these layers, with what they hold.
fn holders<'a>(scene: &'a Scene, span: Span) -> impl Iterator<Item = (&'a Entry, Span)> {
    let entries = scene.roster.of(scene.service);
    let open = entries.filter(|e| e.takes_requests(scene.now));
    let holders = open.filter_map(|e| Some((e, e.upstream.layers?)));
    holders.filter(move |(_, held)| held.overlaps(&span))
}

/// Number of a data centre among those that were met, as which it is added if it is new.
fn number_of<'a>(places: &mut Vec<&'a Arc<str>>, name: &'a Arc<str>) -> usize {
    let known = places.iter().position(|p| *p == name);
    known.unwrap_or_else(|| {
        places.push(name);
        places.len() - 1
    })
}

/// How long until something may be sent to an upstream: one that wants rest turns away
/// whatever comes meanwhile, one that takes no more is to get nothing.
fn opens(scene: &Scene, entry: &Entry) -> Option<Duration> {
    entry.rest(scene.now).max(entry.closed(scene.now))
}

/// How long until there is an upstream, or a chain over the whole `model`, as those
/// that it lacks want nothing until then; `None` if that is not what stands in the way.
pub fn rest_left(scene: &Scene, model: Option<&Model>, rng: &mut impl Rng) -> Option<Duration> {
    let all = scene.roster.of(scene.service);
    let mut waits: Vec<_> = all.filter_map(|e| opens(scene, e)).collect();
    if waits.is_empty() {
        return None;
    }
    waits.sort_unstable();
    let mut is_early = |left: &Duration| {
        let now = scene.now + *left;
        let scene = Scene { now, ..*scene };
        let found = match model {
            Some(m) => chain(&scene, m, whole(m.layers), &[], None, rng).is_some(),
            None => upstream(&scene, &[], rng).is_some(),
        };
        !found
    };
    if !is_early(&Duration::ZERO) {
        return None;
    }
    let first = waits.partition_point(is_early);
    waits.get(first).copied()
}

/// Share of an engine's memory for requests that all boxes' requests hold, as
/// far as this box knows; `None` if it holds no layers.
pub fn fullness(scene: &Scene, model: &Model, entry: &Entry) -> Option<f64> {
    let held = entry.upstream.layers?;
    let tokens = Total::of(scene, entry).tokens;
    Some(tokens / cost::memory(model, entry, held).max(1.0))
}

/// How many of the engines are filled up to `limit`, a share of their memory for
/// requests, and how many hold layers.
pub fn count_full(scene: &Scene, model: &Model, limit: f64) -> (usize, usize) {
    let entries = scene.roster.of(scene.service);
    let filled = entries.filter_map(|e| fullness(scene, model, e));
    filled.fold((0, 0), |(full, all), filled| {
        (full + usize::from(filled >= limit), all + 1)
    })
}

/// Share of their memory for requests that the engines of the box's data centre
/// have given away, as far as this box knows; 1 if they have none.
pub fn filled_near(scene: &Scene, model: &Model) -> f64 {
    let (mut used, mut room) = (0.0, 0.0);
    for entry in scene.near() {
        let Some(held) = entry.upstream.layers else {
            continue;
        };
        used += Total::of(scene, entry).tokens;
        room += cost::memory(model, entry, held);
    }
    match room > 0.0 {
        true => used / room,
        false => 1.0,
    }
}

/// Room that a request needs on each engine of its chain.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Tokens that it holds.
    pub tokens: u32,
    /// Share of their memory up to which engines are filled.
    pub limit: f64,
    /// Share of the limit of engines in other data centres that is left to the callers
    /// there; 0 if none is.
    pub reserved: f64,
}

impl Need {
    /// Whether an engine has the room, with all of its layers in the chain, and a
    /// slot if it would be the chain's first.
    ///
    /// Past its slots an engine turns requests away.
    pub fn fits(&self, scene: &Scene, model: &Model, entry: &Entry) -> bool {
        let Some(held) = entry.upstream.layers else {
            return false;
        };
        let more = f64::from(self.tokens) * f64::from(held.len());
        let total = Total::of(scene, entry);
        let usable = match entry.upstream.place == *scene.place {
            true => 1.0,
            false => 1.0 - self.reserved,
        };
        let limit = self.limit * usable;
        let slots = f64::from(entry.upstream.slots.max(1)) * self.limit.min(1.0) * usable;
        let has_slot = held.first > 0 || total.leads + 1.0 <= slots;
        let has_memory = total.tokens + more <= limit * cost::memory(model, entry, held);
        has_slot && has_memory && !entry.is_full(scene.now)
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
    let ahead = told.max(Total::of(scene, entry).requests) / slots;
    let away = match entry.upstream.place == *scene.place {
        true => 1.0,
        false => AWAY_FACTOR,
    };
    let failing = 1.0 / (1.0 - entry.failures(scene.now).min(0.95));
    let now = scene.now;
    let avoided = entry.is_full(now) || entry.is_rumoured(now) || entry.is_shut(now);
    let ahead = if avoided { ahead + FULL_AHEAD } else { ahead };
    seconds * (1.0 + ahead) * away * failing * failing
}

/// The whole model as a range.
pub fn whole(layers: Layer) -> Span {
    Span {
        first: 0,
        end: layers,
    }
}

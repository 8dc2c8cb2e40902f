//! What a choice is made from: the upstreams, and what all boxes have on them.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::entry::Entry;
use crate::pipes::Pipes;
use crate::roster::Roster;
use crate::shape::Shape;
use crate::share::Shares;

/// Costs are spread by this share at random, so that boxes that know the same
/// do not all choose the same.
const SPREAD: f64 = 0.08;

/// The same where boxes choose together: what they choose now is in no word of
/// theirs yet, and the same two would read all streams of a lost engine anew.
const SPREAD_TOGETHER: f64 = 0.4;

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
    /// Time that requests stay on the service's upstreams.
    pub stay: Duration,
    /// Whether the other boxes choose at the same moment for the same cause, such
    /// as the loss of an engine that all of them use.
    pub together: bool,
    /// What the request has to read and to write; `None` for a usual one.
    pub shape: Option<Shape>,
    /// Time of the choice.
    pub now: Duration,
}

impl Scene<'_> {
    /// The service's upstreams in the box's data centre that may be used.
    pub(crate) fn near(&self) -> impl Iterator<Item = &Entry> {
        let all = self.roster.of(self.service);
        all.filter(|e| e.upstream.place == *self.place && e.is_usable(self.now))
    }

    /// A factor on a cost, so that boxes do not all choose the same.
    pub(crate) fn jitter(&self, rng: &mut impl Rng) -> f64 {
        let spread = if self.together {
            SPREAD_TOGETHER
        } else {
            SPREAD
        };
        1.0 + spread * rng.random_range(-1.0..1.0)
    }
}

/// What all boxes have on an upstream, as far as this one knows.
///
/// Boxes that were not heard lately are taken to do as those that were: all of
/// them, or the part of them that stands in the upstream's data centre if it is
/// this box's own.
pub(crate) struct Total {
    pub requests: f64,
    pub leads: f64,
    pub tokens: f64,
    /// Seconds for which it has prompts to read.
    pub reading: f64,
}

impl Total {
    pub fn of(scene: &Scene, entry: &Entry) -> Self {
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

/// Boxes that are taken to use an engine as this one does.
fn likes(scene: &Scene, entry: &Entry) -> f64 {
    match entry.upstream.place == *scene.place {
        true => scene.neighbours,
        false => scene.boxes,
    }
}

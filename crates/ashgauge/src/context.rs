//! What a choice is made from: the upstreams, and what all boxes have on them.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::load_report::FleetLoad;
use crate::registry::UpstreamRegistry;
use crate::request_size::RequestSize;
use crate::upstream_state::UpstreamState;
use crate::wan::WanUsage;

/// Costs are spread by this share at random, so that boxes that know the same
/// do not all choose the same.
const COST_JITTER: f64 = 0.08;

/// The same where boxes choose together: what they choose now is in no word of
/// theirs yet, and the same two would read all streams of a lost engine anew.
const SIMULTANEOUS_COST_JITTER: f64 = 0.4;

/// What is chosen from, and by whom.
#[derive(Clone, Copy)]
pub struct SelectionContext<'a> {
    /// The upstreams.
    pub registry: &'a UpstreamRegistry,
    /// What crosses between data centres.
    pub wan_usage: &'a WanUsage,
    /// What the other boxes have on the upstreams.
    pub fleet_load: &'a FleetLoad,
    /// Name of the service.
    pub service: &'a str,
    /// Data centre of the box.
    pub data_centre: &'a Arc<str>,
    /// Time between two words of a box in another data centre.
    pub remote_interval: Duration,
    /// Boxes of the fleet, this one included.
    pub boxes: f64,
    /// Boxes in one data centre, on average.
    pub local_boxes: f64,
    /// Time that requests stay on the service's upstreams.
    pub request_duration: Duration,
    /// Whether the other boxes choose at the same moment for the same cause, such
    /// as the loss of an engine that all of them use.
    pub simultaneous: bool,
    /// What the request has to read and to write; `None` for a usual one.
    pub size: Option<RequestSize>,
    /// Time of the choice.
    pub now: Duration,
}

impl SelectionContext<'_> {
    /// The service's upstreams in the box's data centre that may be used.
    pub(crate) fn local_upstreams(&self) -> impl Iterator<Item = &UpstreamState> {
        let all = self.registry.of_service(self.service);
        all.filter(|e| e.upstream.data_centre == *self.data_centre && e.is_usable(self.now))
    }

    /// A factor on a cost, so that boxes do not all choose the same.
    pub(crate) fn jitter(&self, rng: &mut impl Rng) -> f64 {
        let spread = if self.simultaneous {
            SIMULTANEOUS_COST_JITTER
        } else {
            COST_JITTER
        };
        1.0 + spread * rng.random_range(-1.0..1.0)
    }
}

/// What all boxes have on an upstream, as far as this one knows.
///
/// Boxes that were not heard lately are taken to do as those that were: all of
/// them, or the part of them that stands in the upstream's data centre if it is
/// this box's own.
pub(crate) struct EstimatedLoad {
    pub requests: f64,
    pub head_requests: f64,
    pub token_layers: f64,
    /// Seconds for which it has prompts to read.
    pub prefill_seconds: f64,
}

impl EstimatedLoad {
    pub fn estimate(context: &SelectionContext, entry: &UpstreamState) -> Self {
        let own = entry.usage(context.now);
        let mut known = own;
        known.add(&context.fleet_load.others(&entry.upstream.id));
        let likes = similar_boxes(context, entry);
        let heard = context.fleet_load.boxes() as f64 + 1.0;
        let unheard = (likes / heard).max(1.0);
        let told = f64::from(known.prefill_ms) * unheard;
        let alike = match context.simultaneous {
            true => f64::from(own.prefill_ms) * likes,
            false => 0.0,
        };
        EstimatedLoad {
            requests: f64::from(known.requests) * unheard,
            head_requests: f64::from(known.head_requests) * unheard,
            token_layers: f64::from(known.token_layers) * unheard,
            prefill_seconds: told.max(alike) / 1e3,
        }
    }
}

/// Boxes that are taken to use an engine as this one does.
fn similar_boxes(context: &SelectionContext, entry: &UpstreamState) -> f64 {
    match entry.upstream.data_centre == *context.data_centre {
        true => context.local_boxes,
        false => context.boxes,
    }
}

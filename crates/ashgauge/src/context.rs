//! Context of a selection: the upstreams, and the load that all boxes put on them.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::load_report::FleetLoad;
use crate::registry::UpstreamRegistry;
use crate::request_size::RequestSize;
use crate::upstream_state::UpstreamState;
use crate::wan::WanUsage;

/// Random share by which costs vary, so that boxes with the same knowledge do not all
/// select the same upstream.
const COST_JITTER: f64 = 0.08;

/// The same for simultaneous selections. The load that results from them is in no report
/// yet, so without more variation the same two engines would read all streams of a lost
/// engine again.
const SIMULTANEOUS_COST_JITTER: f64 = 0.4;

/// What a selection is made from, and by which box.
#[derive(Clone, Copy)]
pub struct SelectionContext<'a> {
    /// The upstreams.
    pub registry: &'a UpstreamRegistry,
    /// Recent traffic between data centres.
    pub wan_usage: &'a WanUsage,
    /// Load that the other boxes report.
    pub fleet_load: &'a FleetLoad,
    /// Name of the service.
    pub service: &'a str,
    /// Data centre of the box.
    pub data_centre: &'a Arc<str>,
    /// Largest age of the load that boxes in the same data centre report; zero to take it for
    /// the present one.
    pub local_interval: Duration,
    /// Time between two load reports of a box in another data centre.
    pub remote_interval: Duration,
    /// Boxes of the fleet, this one included.
    pub boxes: f64,
    /// Boxes in one data centre, on average.
    pub local_boxes: f64,
    /// Mean duration of requests on the service's upstreams.
    pub request_duration: Duration,
    /// Whether the other boxes select at the same moment for the same reason, such as the
    /// loss of an engine that all of them use.
    pub simultaneous: bool,
    /// Tokens that the request has to read and to write; `None` for a typical request.
    pub size: Option<RequestSize>,
    /// Time of the selection.
    pub now: Duration,
}

impl SelectionContext<'_> {
    /// Iterates over the service's usable upstreams in the data centre of the box.
    pub(crate) fn local_upstreams(&self) -> impl Iterator<Item = &UpstreamState> {
        let states = self.registry.of_service(self.service);
        states.filter(|e| e.upstream.data_centre == *self.data_centre && e.is_usable(self.now))
    }

    /// Returns a random factor for a cost, so that boxes do not all select the same
    /// upstream.
    pub(crate) fn jitter(&self, rng: &mut impl Rng) -> f64 {
        let jitter = if self.simultaneous {
            SIMULTANEOUS_COST_JITTER
        } else {
            COST_JITTER
        };
        1.0 + jitter * rng.random_range(-1.0..1.0)
    }
}

/// Estimated load of an upstream from all boxes.
///
/// Boxes without a recent report are assumed to cause the same load as those that report:
/// all boxes of the fleet, or, for an upstream in this box's data centre, those of that
/// data centre.
pub(crate) struct EstimatedLoad {
    pub requests: f64,
    pub head_requests: f64,
    pub token_layers: f64,
    /// Seconds that it still needs to read prompts.
    pub prefill_seconds: f64,
}

impl EstimatedLoad {
    pub fn estimate(context: &SelectionContext, state: &UpstreamState) -> Self {
        let own = state.usage(context.now);
        let mut total = own;
        total.add(&context.fleet_load.usage_by_others(&state.upstream.id));
        let similar = similar_boxes(context, state);
        let reporting = context.fleet_load.boxes() as f64 + 1.0;
        let factor = (similar / reporting).max(1.0);
        let reported = f64::from(total.prefill_ms) * factor;
        let simultaneous = match context.simultaneous {
            true => f64::from(own.prefill_ms) * similar,
            false => 0.0,
        };
        EstimatedLoad {
            requests: f64::from(total.requests) * factor,
            head_requests: f64::from(total.head_requests) * factor,
            token_layers: f64::from(total.token_layers) * factor,
            prefill_seconds: reported.max(simultaneous) / 1e3,
        }
    }
}

/// Returns the number of boxes that are assumed to use an engine as this one does.
fn similar_boxes(context: &SelectionContext, state: &UpstreamState) -> f64 {
    match state.upstream.data_centre == *context.data_centre {
        true => context.local_boxes,
        false => context.boxes,
    }
}

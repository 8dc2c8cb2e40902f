//! Cost of a request on an engine, and of transfers between engines.

use std::sync::Arc;

use rand::Rng;

use crate::chain::Layer;
use crate::context::{EstimatedLoad, SelectionContext};
use crate::request_size::RequestSize;
use crate::routing::Model;
use crate::upstream::LayerRange;
use crate::upstream_state::UpstreamState;

/// Maximum share of an engine's time that is assumed to be spent on reading prompts: it
/// makes the engine at most four times as expensive. In a large fleet the load from other
/// boxes is known late, and chains must not cross data centres because of an outdated
/// value.
const MAX_PREFILL_SHARE: f64 = 0.5;

/// Passes of an engine that a token takes: it arrives in the middle of one on average, and
/// is processed in the next.
pub(crate) const PASSES_PER_TOKEN: f64 = 1.5;

/// Cost in seconds of using a chain in another data centre to continue a stream. Its events
/// are only later by a few network delays, and the prompts can be read on the engines of
/// all data centres.
const SIMULTANEOUS_ENTRY_SECONDS: f64 = 0.05;

/// Share of an engine's memory past which it gets no requests if there is any alternative:
/// sizes vary, and an engine that runs out of memory evicts requests.
const FULL_THRESHOLD: f64 = 0.95;

/// Exponent with which the cost of an engine rises as it fills, where the data centre holds
/// [`MIN_COPIES_WITH_SPARE`]. An engine that is half full then costs an eighth more. With
/// exponent 1 it cost twice as much, which sent requests to slow engines, where they hold
/// memory for longer.
const SPARE_FILL_EXPONENT: i32 = 3;

/// Copies of the model in a data centre, in total, from which on other engines can replace
/// one that is full. With fewer, memory is saved from the first request on.
const MIN_COPIES_WITH_SPARE: f64 = 2.0;

/// Penalty in seconds for an engine past [`FULL_THRESHOLD`]: more than two changes of data
/// centre.
const FULL_PENALTY_SECONDS: f64 = 8.0;

/// Penalty in seconds for the first engine of a chain if all its recent requests failed.
/// After one failure it outweighs a change of data centre for the caller's request by far.
const FAILURE_PENALTY_SECONDS: f64 = 8.0;

/// Penalty in seconds for an engine that another box reported as lost. Without it each box
/// would find the loss by requests of its own, engine by engine, until the retry budget is
/// used up.
const SUSPECT_PENALTY_SECONDS: f64 = 8.0;

/// Penalty in seconds for each engine in a chain: with each of them one more may be lost
/// while the request runs.
const STAGE_PENALTY_SECONDS: f64 = 0.25;

/// Penalty in seconds for a change of data centre within a chain: all activations go over a
/// link that is shared and soon saturated.
const CROSSING_PENALTY_SECONDS: f64 = 3.0;

/// Minimum and maximum cost in seconds of using a chain in another data centre. Only the
/// request and its events cross, but boxes that learn late of the load there would fill the
/// same engines.
const REMOTE_ENTRY_RANGE: (f64, f64) = (0.3, 3.0);

/// Cost of using such a chain, in seconds for each second between load reports from there:
/// what is known of the load is as much older.
const ENTRY_INTERVAL_FACTOR: f64 = 3.0;

/// Share of the bandwidth between two data centres that may be used; past it transfers wait
/// for seconds.
const MAX_WAN_SHARE: f64 = 0.75;

/// Delay of one message between two data centres of a region, in seconds.
const CROSSING_DELAY_SECONDS: f64 = 0.0005;

/// Delay of one message within a data centre, in seconds.
const HOP_DELAY_SECONDS: f64 = 0.0002;

/// Costs of engines and links for one selection.
pub(crate) struct CostModel<'a> {
    context: &'a SelectionContext<'a>,
    model: &'a Model,
    /// Tokens that the request has to read and to write.
    size: RequestSize,
    /// Whether the engines of the box's data centre hold at least [`MIN_COPIES_WITH_SPARE`]
    /// copies of the model.
    has_spare: bool,
}

impl<'a> CostModel<'a> {
    pub(crate) fn new(context: &'a SelectionContext<'a>, model: &'a Model) -> Self {
        let has_spare = local_copies(context, model) >= MIN_COPIES_WITH_SPARE;
        let size = context.size.unwrap_or_else(|| RequestSize::typical(model));
        CostModel {
            context,
            model,
            size,
            has_spare,
        }
    }

    /// Returns the seconds that any use of an engine costs, and those that each of its
    /// layers costs. `is_head` tells that it may become the first engine of the chain, on
    /// which the whole request depends.
    pub(crate) fn stage_cost(
        &self,
        state: &UpstreamState,
        held: LayerRange,
        is_head: bool,
        load: &EstimatedLoad,
        rng: &mut impl Rng,
    ) -> (f64, f64) {
        let context = self.context;
        let jitter = context.jitter(rng);
        let slowness = state.slowness(context.now);
        let utilization = self.utilization(state, held, is_head, load);
        let fixed_cost = self.fixed_cost(state, is_head, utilization, load);
        let exponent = if self.has_spare {
            SPARE_FILL_EXPONENT
        } else {
            1
        };
        let fill_factor = jitter / (1.0 - utilization.min(FULL_THRESHOLD).powi(exponent));
        let fill_factor = fill_factor * self.prefill_factor(state, held, load.requests);
        // A request waits at one engine of its chain at a time.
        let batch_share = match self.has_spare {
            true => model_share(self.model, held.len()),
            false => 1.0,
        };
        let batch = load.requests * batch_share * slowness;
        if context.simultaneous {
            let (wait, layer) = self.resume_cost(state, held, batch, rng);
            return (fixed_cost + wait, layer * fill_factor);
        }
        let engine = STAGE_PENALTY_SECONDS + f64::from(self.size.output) * HOP_DELAY_SECONDS;
        let layer = layer_seconds(self.model, self.size, state, batch) * slowness * fill_factor;
        (fixed_cost + engine * fill_factor, layer)
    }

    /// Returns the share of an engine's memory that is used, or of its slots if `is_head`
    /// and that is higher.
    fn utilization(
        &self,
        state: &UpstreamState,
        held: LayerRange,
        is_head: bool,
        load: &EstimatedLoad,
    ) -> f64 {
        let now = self.context.now;
        let memory_share = match state.is_full(now) {
            true => 1.0,
            // A slow engine serves fewer requests, so its memory counts for less by the
            // same factor.
            false => {
                let capacity = memory_capacity(self.model, state, held).max(1.0);
                load.token_layers * state.slowness(now) / capacity
            }
        };
        match is_head {
            true => memory_share.max(load.head_requests / f64::from(state.upstream.slots.max(1))),
            false => memory_share,
        }
    }

    /// Returns the seconds that any use of an engine with this `utilization` costs.
    fn fixed_cost(
        &self,
        state: &UpstreamState,
        is_head: bool,
        utilization: f64,
        load: &EstimatedLoad,
    ) -> f64 {
        let now = self.context.now;
        let mut cost = load.prefill_seconds;
        if is_head {
            cost += FAILURE_PENALTY_SECONDS * state.failure_rate(now);
        }
        if utilization >= FULL_THRESHOLD {
            cost += FULL_PENALTY_SECONDS * utilization;
        }
        if state.is_peer_suspect(now) {
            cost += SUSPECT_PENALTY_SECONDS;
        }
        cost
    }

    /// Returns the factor on the cost of an engine that spends a part of its time on
    /// reading prompts, which lengthens the decode steps of all requests there. Without the
    /// factor a few engines are the first engines of most requests, and the loss of one
    /// interrupts as many.
    fn prefill_factor(&self, state: &UpstreamState, held: LayerRange, requests: f64) -> f64 {
        let (context, model) = (self.context, self.model);
        let prefill = prefill_seconds(context, model, state, held.len(), model.typical_prompt);
        let rate = requests
            / context
                .request_duration
                .as_secs_f64()
                .max(f64::MIN_POSITIVE);
        let share = (rate * prefill).min(MAX_PREFILL_SHARE);
        1.0 / (1.0 - share).powi(2)
    }

    /// Returns the cost of continuing a stream here: the seconds of waiting at the engine,
    /// and those that each layer takes until the next event.
    ///
    /// A pause within a stream makes it late, however fast the rest is. If whole answers
    /// were compared, the streams of a lost engine would all go to the few fastest engines
    /// and wait for each other there.
    ///
    /// The load that other boxes put on this engine at the same moment is in no report yet.
    /// It is assumed to be at most one stream for each box of a data centre.
    fn resume_cost(
        &self,
        state: &UpstreamState,
        held: LayerRange,
        load: f64,
        rng: &mut impl Rng,
    ) -> (f64, f64) {
        let (context, model) = (self.context, self.model);
        let typical_tokens = RequestSize::typical(model).resume_prompt;
        let prefill = prefill_seconds(context, model, state, held.len(), typical_tokens);
        let wait = context.local_boxes * rng.random_range(0.0..1.0) * prefill;
        let slowness = state.slowness(context.now);
        let steps = f64::from(model.event_tokens) * PASSES_PER_TOKEN;
        let tokens = f64::from(self.size.resume_prompt);
        let layer = work_seconds(model, state, load, steps, tokens);
        (wait + HOP_DELAY_SECONDS, layer * slowness)
    }

    /// Returns the seconds that the request loses where its chain changes data centre: the
    /// transfer of the prompt's activations, and the network delay of each token. A link
    /// whose bandwidth is used up has infinite cost.
    pub(crate) fn crossing_seconds(&self, from: &Arc<str>, to: &Arc<str>) -> f64 {
        let (context, model) = (self.context, self.model);
        let delays = f64::from(self.size.output) * CROSSING_DELAY_SECONDS;
        if model.wan_mb_s <= 0.0 {
            return CROSSING_PENALTY_SECONDS + delays;
        }
        let used_share =
            context.wan_usage.rate(context.now, from, to) * context.boxes / model.wan_mb_s;
        if used_share >= MAX_WAN_SHARE {
            return f64::INFINITY;
        }
        let prompt_mb = f64::from(self.size.prompt) * model.activation_mb;
        (CROSSING_PENALTY_SECONDS + prompt_mb / model.wan_mb_s) / (1.0 - used_share) + delays
    }
}

/// Returns the memory of an engine for requests, in tokens times layers.
pub fn memory_capacity(model: &Model, state: &UpstreamState, held: LayerRange) -> f64 {
    let accelerator = state.upstream.accelerator.as_deref().unwrap_or_default();
    let typical_tokens = model.typical_tokens() * f64::from(held.len());
    model.request_capacity(accelerator, held.len()) * typical_tokens
}

/// Returns how many copies of the model the engines of the box's data centre hold.
fn local_copies(context: &SelectionContext, model: &Model) -> f64 {
    let held = context.local_upstreams().filter_map(|e| e.upstream.layers);
    let layers: Layer = held.map(|l| l.len()).sum();
    model_share(model, layers)
}

/// Returns the share that so many layers have in the model.
fn model_share(model: &Model, layers: Layer) -> f64 {
    f64::from(layers) / f64::from(model.layers.max(1))
}

/// Returns the factors of an engine's accelerator on the time of a step and of reading a
/// prompt; 1 if the configuration does not have it.
fn accelerator_factors(model: &Model, state: &UpstreamState) -> (f64, f64) {
    let accelerator = state.upstream.accelerator.as_ref();
    let accelerator = accelerator.and_then(|name| model.accelerators.get(name));
    accelerator.map_or((1.0, 1.0), |a| (a.step_factor, a.prefill_factor))
}

/// Returns the seconds that an engine needs to read `tokens` tokens through some of its
/// layers.
pub fn prefill_seconds(
    context: &SelectionContext,
    model: &Model,
    state: &UpstreamState,
    layers: Layer,
    tokens: u32,
) -> f64 {
    let (_, prefill_factor) = accelerator_factors(model, state);
    let factor = prefill_factor * state.slowness(context.now);
    let model_seconds = f64::from(tokens) / model.prefill_rate.max(1.0) * factor;
    model_seconds * f64::from(layers) / f64::from(model.layers.max(1))
}

/// Returns the seconds that one layer costs a request of this size on an engine with this
/// load.
fn layer_seconds(model: &Model, size: RequestSize, state: &UpstreamState, load: f64) -> f64 {
    let (output, prompt) = (f64::from(size.output), f64::from(size.prompt));
    work_seconds(model, state, load, output, prompt)
}

/// Returns the seconds that an engine with this load needs in one layer for so many decode
/// steps and for reading so many tokens.
pub(crate) fn work_seconds(
    model: &Model,
    state: &UpstreamState,
    load: f64,
    steps: f64,
    tokens: f64,
) -> f64 {
    let (step_factor, prefill_factor) = accelerator_factors(model, state);
    let decode = steps * model.step_seconds(load) * step_factor;
    let prefill = tokens / model.prefill_rate.max(1.0) * prefill_factor;
    (decode + prefill) / f64::from(model.layers.max(1))
}

/// Returns the cost in seconds of using a chain in another data centre.
pub(crate) fn remote_entry_seconds(context: &SelectionContext) -> f64 {
    let (min, max) = REMOTE_ENTRY_RANGE;
    match context.simultaneous {
        true => SIMULTANEOUS_ENTRY_SECONDS,
        false => (context.remote_interval.as_secs_f64() * ENTRY_INTERVAL_FACTOR).clamp(min, max),
    }
}

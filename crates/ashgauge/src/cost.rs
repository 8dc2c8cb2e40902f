//! What a request costs on an engine, and between two.

use std::sync::Arc;

use rand::Rng;

use crate::chain::Layer;
use crate::context::{EstimatedLoad, SelectionContext};
use crate::request_size::RequestSize;
use crate::routing::Model;
use crate::upstream::LayerRange;
use crate::upstream_state::UpstreamState;

/// Most of an engine's time that it is taken to read prompts: its cost is at most
/// four times as high for it. What the others have there is known late in a large
/// fleet, and chains must not cross data centres to get around an old figure.
const MAX_PREFILL_SHARE: f64 = 0.5;

/// Passes of an engine that a token takes: it comes in the middle of one, and is
/// worked on in the next.
pub(crate) const PASSES_PER_TOKEN: f64 = 1.5;

/// Seconds that a chain in another data centre counts for if a stream goes on
/// there: its events come later by a few delays, and reading may be shared among
/// all data centres.
const SIMULTANEOUS_ENTRY_SECONDS: f64 = 0.05;

/// Share of an engine's memory past which requests do not go there if there is
/// any other way; sizes vary, and a full engine throws requests out.
const FULL_THRESHOLD: f64 = 0.95;

/// How late the cost of an engine rises as it fills, where the data centre holds
/// [`SPARE_COPIES`]: half full it is an eighth dearer, not twice as dear, which
/// led requests to slow engines that they hold for longer.
const SPARE_FILL_EXPONENT: i32 = 3;

/// Copies of the model in a data centre from which on others can stand in for an
/// engine that is full. With fewer, room is saved from the first request on.
const SPARE_COPIES: f64 = 2.0;

/// Seconds that an engine past [`FULL_THRESHOLD`] counts for besides, more than two
/// changes of data centre.
const FULL_PENALTY_SECONDS: f64 = 8.0;

/// Seconds that a first engine counts for that failed all its requests lately;
/// after one failure it is a change of data centre for the caller's request
/// and a good deal more.
const FAILURE_PENALTY_SECONDS: f64 = 8.0;

/// Seconds that an engine counts for besides which another box found to be lost:
/// each box would find out by requests of its own otherwise, engine by engine, until
/// the retries for that are used up.
const SUSPECT_PENALTY_SECONDS: f64 = 8.0;

/// Seconds that an engine in a chain counts for besides its work: each is one
/// more that may be lost while the request runs.
const STAGE_PENALTY_SECONDS: f64 = 0.25;

/// Seconds that a change of data centre within a chain counts for besides its
/// delays: all activations go over a pipe that is shared and soon full.
const CROSSING_PENALTY_SECONDS: f64 = 3.0;

/// Least and most seconds that a chain in another data centre counts for. Only
/// the request and its events cross; but boxes that know the load there late
/// fill the same engines.
const REMOTE_ENTRY_RANGE: (f64, f64) = (0.3, 3.0);

/// Seconds that it counts for each second between words from there, as what is known
/// of the load is so much older.
const ENTRY_INTERVAL_FACTOR: f64 = 3.0;

/// Share of a pipe that may be used; past it what crosses waits for seconds.
const MAX_WAN_SHARE: f64 = 0.75;

/// Delay of one message between two data centres of a region, in seconds.
const CROSSING_DELAY_SECONDS: f64 = 0.0005;

/// Delay of one message within a data centre, in seconds.
const HOP_DELAY_SECONDS: f64 = 0.0002;

/// What engines are weighed by.
pub(crate) struct CostModel<'a> {
    context: &'a SelectionContext<'a>,
    model: &'a Model,
    /// What the request has to read and to write.
    size: RequestSize,
    /// Whether the data centre has engines to spare.
    has_spare: bool,
}

impl<'a> CostModel<'a> {
    pub(crate) fn new(context: &'a SelectionContext<'a>, model: &'a Model) -> Self {
        let spare = local_copies(context, model) >= SPARE_COPIES;
        let shape = context.size.unwrap_or_else(|| RequestSize::typical(model));
        CostModel {
            context,
            model,
            size: shape,
            has_spare: spare,
        }
    }

    /// Seconds that any use of an engine costs, and each of its layers; `leads`
    /// says that it may become the chain's first, which answers for all.
    pub(crate) fn stage_cost(
        &self,
        entry: &UpstreamState,
        held: LayerRange,
        leads: bool,
        rng: &mut impl Rng,
    ) -> (f64, f64) {
        let context = self.context;
        let jitter = context.jitter(rng);
        let total = EstimatedLoad::estimate(context, entry);
        let slowness = entry.slowness(context.now);
        let full = self.utilization(entry, held, leads, &total);
        let fixed = self.fixed_cost(entry, leads, full, &total);
        let power = if self.has_spare {
            SPARE_FILL_EXPONENT
        } else {
            1
        };
        let filling = jitter / (1.0 - full.min(FULL_THRESHOLD).powi(power));
        let filling = filling * self.prefill_factor(entry, held, total.requests);
        // A request waits at one engine of its chain at a time.
        let there = match self.has_spare {
            true => model_share(self.model, held.len()),
            false => 1.0,
        };
        let load = total.requests * there * slowness;
        if context.simultaneous {
            let (wait, layer) = self.resume_cost(entry, held, load, rng);
            return (fixed + wait, layer * filling);
        }
        let engine = STAGE_PENALTY_SECONDS + f64::from(self.size.output) * HOP_DELAY_SECONDS;
        let layer = layer_seconds(self.model, self.size, entry, load) * slowness * filling;
        (fixed + engine * filling, layer)
    }

    /// Share of an engine's memory, or of its slots if it `leads`, that is used.
    fn utilization(
        &self,
        entry: &UpstreamState,
        held: LayerRange,
        leads: bool,
        total: &EstimatedLoad,
    ) -> f64 {
        let now = self.context.now;
        let full = match entry.is_full(now) {
            true => 1.0,
            // A slow engine gets through less; its room counts for as much less.
            false => {
                let memory = memory_capacity(self.model, entry, held).max(1.0);
                total.token_layers * entry.slowness(now) / memory
            }
        };
        match leads {
            true => full.max(total.head_requests / f64::from(entry.upstream.slots.max(1))),
            false => full,
        }
    }

    /// Seconds that any use of an engine costs that is `full` to a share.
    fn fixed_cost(
        &self,
        entry: &UpstreamState,
        leads: bool,
        full: f64,
        total: &EstimatedLoad,
    ) -> f64 {
        let now = self.context.now;
        let mut fixed = total.prefill_seconds;
        if leads {
            fixed += FAILURE_PENALTY_SECONDS * entry.failure_rate(now);
        }
        if full >= FULL_THRESHOLD {
            fixed += FULL_PENALTY_SECONDS * full;
        }
        if entry.is_peer_suspect(now) {
            fixed += SUSPECT_PENALTY_SECONDS;
        }
        fixed
    }

    /// Factor on the cost of an engine that spends a part of its time on reading:
    /// its steps take longer by that part, for the request and for all others
    /// that are there. Without it a few engines lead most of the requests, and the loss
    /// of one cuts as many.
    fn prefill_factor(&self, entry: &UpstreamState, held: LayerRange, requests: f64) -> f64 {
        let (context, model) = (self.context, self.model);
        let each = prefill_seconds(context, model, entry, held.len(), model.typical_prompt);
        let rate = requests
            / context
                .request_duration
                .as_secs_f64()
                .max(f64::MIN_POSITIVE);
        let part = (rate * each).min(MAX_PREFILL_SHARE);
        1.0 / (1.0 - part).powi(2)
    }

    /// Seconds until a stream that goes on here brings its next event: what it
    /// waits for at the engine, and what each layer takes.
    ///
    /// A pause within a stream makes it late, however quick the rest of it is: by the
    /// time of their whole answers the streams of a lost engine would all go to the few
    /// fastest, and wait for each other there.
    ///
    /// What the other boxes lead here at the same moment is in no word of theirs:
    /// as many streams as boxes stand near, at the most.
    fn resume_cost(
        &self,
        entry: &UpstreamState,
        held: LayerRange,
        load: f64,
        rng: &mut impl Rng,
    ) -> (f64, f64) {
        let (context, model) = (self.context, self.model);
        let usual = RequestSize::typical(model).resume_prompt;
        let read = prefill_seconds(context, model, entry, held.len(), usual);
        let others = context.local_boxes * rng.random_range(0.0..1.0) * read;
        let slowness = entry.slowness(context.now);
        let event = f64::from(model.event_tokens) * PASSES_PER_TOKEN;
        let reread = f64::from(self.size.resume_prompt);
        let layer = work_seconds(model, entry, load, event, reread);
        (others + HOP_DELAY_SECONDS, layer * slowness)
    }

    /// Seconds that the request loses where its chain changes data centre: the
    /// activations of what is read in the pipe, and the delay of each token. A pipe
    /// that is used up may not be used.
    pub(crate) fn crossing_seconds(&self, from: &Arc<str>, to: &Arc<str>) -> f64 {
        let (context, model) = (self.context, self.model);
        let delays = f64::from(self.size.output) * CROSSING_DELAY_SECONDS;
        if model.wan_mb_s <= 0.0 {
            return CROSSING_PENALTY_SECONDS + delays;
        }
        let used = context.wan_usage.rate(context.now, from, to) * context.boxes / model.wan_mb_s;
        if used >= MAX_WAN_SHARE {
            return f64::INFINITY;
        }
        let prompt = f64::from(self.size.prompt) * model.activation_mb;
        (CROSSING_PENALTY_SECONDS + prompt / model.wan_mb_s) / (1.0 - used) + delays
    }
}

/// Memory of an engine for requests, in tokens times layers.
pub fn memory_capacity(model: &Model, entry: &UpstreamState, held: LayerRange) -> f64 {
    let card = entry.upstream.accelerator.as_deref().unwrap_or_default();
    let usual = f64::from(model.typical_prompt + model.typical_output) * f64::from(held.len());
    model.request_capacity(card, held.len()) * usual
}

/// Copies of the model that the engines of the box's data centre hold.
fn local_copies(context: &SelectionContext, model: &Model) -> f64 {
    let held = context.local_upstreams().filter_map(|e| e.upstream.layers);
    let layers: Layer = held.map(|l| l.len()).sum();
    model_share(model, layers)
}

/// So many layers as a part of the model.
fn model_share(model: &Model, layers: Layer) -> f64 {
    f64::from(layers) / f64::from(model.layers.max(1))
}

/// Factors of an engine's card on the time of a step and of reading, 1 for one that the
/// configuration does not tell.
fn accelerator_factors(model: &Model, entry: &UpstreamState) -> (f64, f64) {
    let card = entry.upstream.accelerator.as_ref();
    let card = card.and_then(|c| model.accelerators.get(c));
    card.map_or((1.0, 1.0), |c| (c.step_factor, c.prefill_factor))
}

/// Seconds that an engine needs to read `tokens` through some of its layers.
pub fn prefill_seconds(
    context: &SelectionContext,
    model: &Model,
    entry: &UpstreamState,
    layers: Layer,
    tokens: u32,
) -> f64 {
    let (_, read) = accelerator_factors(model, entry);
    let factor = read * entry.slowness(context.now);
    let whole = f64::from(tokens) / model.prefill_rate.max(1.0) * factor;
    whole * f64::from(layers) / f64::from(model.layers.max(1))
}

/// Seconds that one layer costs a request of this shape on an engine with this load.
fn layer_seconds(model: &Model, shape: RequestSize, entry: &UpstreamState, load: f64) -> f64 {
    let (answer, prompt) = (f64::from(shape.output), f64::from(shape.prompt));
    work_seconds(model, entry, load, answer, prompt)
}

/// Seconds that an engine with this load needs for one layer of so many steps
/// and of reading so many tokens.
pub(crate) fn work_seconds(
    model: &Model,
    entry: &UpstreamState,
    load: f64,
    steps: f64,
    tokens: f64,
) -> f64 {
    let (step, read) = accelerator_factors(model, entry);
    let writing = steps * model.step_seconds(load) * step;
    let reading = tokens / model.prefill_rate.max(1.0) * read;
    (writing + reading) / f64::from(model.layers.max(1))
}

/// Seconds that a chain in another data centre counts for.
pub(crate) fn remote_entry_seconds(context: &SelectionContext) -> f64 {
    let (least, most) = REMOTE_ENTRY_RANGE;
    match context.simultaneous {
        true => SIMULTANEOUS_ENTRY_SECONDS,
        false => (context.remote_interval.as_secs_f64() * ENTRY_INTERVAL_FACTOR).clamp(least, most),
    }
}

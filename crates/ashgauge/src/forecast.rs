//! When the first event of a stream comes over a chain, and how far apart the next are.
//!
//! [`forecast`] goes by what is known of the chain's engines; a [`Calibration`] learns by
//! how much the first events of a service come later or earlier than that.

use std::time::Duration;

use crate::chain::{Layer, Stage};
use crate::context::{EstimatedLoad, SelectionContext};
use crate::cost;
use crate::routing::Model;
use crate::upstream_state::UpstreamState;

/// Longest time that is forecast: past it no caller waits, and a product of absurd
/// figures stays a time.
pub const MAX_FORECAST: Duration = Duration::from_secs(60);

/// Requests that an engine is taken to have at most, so that their time stays a number:
/// a hundred times the requests that a large fleet begins each second.
const MAX_REQUESTS: f64 = 1e6;

/// Weight of the newest ratio in a calibration: one late event changes little, and a
/// change of the load is learned within some forty streams.
const LEARNING_RATE: f64 = 0.05;

/// Least and most ratio that is learned: forecasts that are further off say nothing, and
/// silences must be looked into whatever engines report.
const RATIO_RANGE: (f64, f64) = (0.25, 4.0);

/// Multiple of its forecast after which a first event counts as late: most come within
/// it, and engines that are only busy are not checked.
const LATE_FACTOR: u32 = 2;

/// What is expected of a request on a chain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Time from its send to its first event.
    pub first_event: Duration,
    /// Time between two events.
    pub event_gap: Duration,
}

impl Forecast {
    /// How many times as long as forecast the first event took; `None` if the forecast
    /// says nothing, as no engine was known or the figures were absurd.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use ashgauge::forecast::Forecast;
    ///
    /// let first_event = Duration::from_millis(100);
    /// let forecast = Forecast { first_event, ..Forecast::default() };
    /// assert_eq!(forecast.ratio(first_event * 2), Some(2.0));
    /// assert_eq!(Forecast::default().ratio(first_event), None);
    /// ```
    pub fn ratio(&self, actual: Duration) -> Option<f64> {
        let is_known = !self.first_event.is_zero() && !self.is_capped();
        is_known.then(|| actual.as_secs_f64() / self.first_event.as_secs_f64())
    }

    /// Whether the figures gave a longer time than is forecast.
    pub fn is_capped(&self) -> bool {
        self.first_event >= MAX_FORECAST
    }
}

/// Forecasts a request of `prompt` tokens on a chain, before it is counted on the chain's
/// engines.
///
/// At each engine the prompt waits for those that are queued there and is read, and the
/// first event takes as long as each later one. A prompt of 0 tokens counts as the usual
/// one, as its caller did not say how long it is. Engines that are not known any more add
/// nothing.
pub fn forecast(
    context: &SelectionContext,
    model: &Model,
    stages: &[Stage],
    prompt: u32,
) -> Forecast {
    let tokens = match prompt {
        0 => model.typical_prompt,
        named => named,
    };
    let (mut first, mut pause) = (0.0, 0.0);
    for stage in stages {
        let Some(entry) = context.registry.get(&stage.upstream) else {
            continue;
        };
        let layers = stage.end.saturating_sub(stage.first);
        let total = EstimatedLoad::estimate(context, entry);
        let read = cost::prefill_seconds(context, model, entry, layers, tokens);
        let event = event_seconds(context, model, entry, layers, total.requests);
        first += clamp_seconds(total.prefill_seconds) + clamp_seconds(read) + event;
        pause += event;
    }
    Forecast {
        first_event: to_duration(first),
        event_gap: to_duration(pause),
    }
}

/// Silence before a first event, forecast for `first`, after which the engines are looked
/// at: `least`, or twice the forecast if that is longer, up to `most`.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::forecast::check_delay;
///
/// let ms = Duration::from_millis;
/// assert_eq!(check_delay(ms(20), ms(250), ms(1300)), ms(250));
/// assert_eq!(check_delay(ms(400), ms(250), ms(1300)), ms(800));
/// ```
pub fn check_delay(first: Duration, least: Duration, most: Duration) -> Duration {
    let late = first.saturating_mul(LATE_FACTOR);
    least.max(late.min(most))
}

/// Seconds that an event takes on an engine that works on so many requests.
fn event_seconds(
    context: &SelectionContext,
    model: &Model,
    entry: &UpstreamState,
    layers: Layer,
    requests: f64,
) -> f64 {
    // Longer steps would not fit into a time with the requests in them.
    if model.step_time.max(model.step_per_request) >= MAX_FORECAST {
        return MAX_FORECAST.as_secs_f64();
    }
    let load = clamp_or_zero(requests, MAX_REQUESTS);
    let steps = f64::from(model.event_tokens) * cost::PASSES_PER_TOKEN;
    let layer = cost::work_seconds(model, entry, load, steps, 0.0);
    clamp_seconds(layer * f64::from(layers) * entry.slowness(context.now))
}

/// A number from 0 to `most`; what is no number counts as 0.
fn clamp_or_zero(value: f64, most: f64) -> f64 {
    match value.is_nan() {
        true => 0.0,
        false => value.clamp(0.0, most),
    }
}

/// Seconds that may be forecast.
fn clamp_seconds(seconds: f64) -> f64 {
    clamp_or_zero(seconds, MAX_FORECAST.as_secs_f64())
}

fn to_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(clamp_seconds(seconds))
}

/// How many times as long as forecast the first events of a service take, and how far
/// they differ in that.
///
/// Learned on a logarithmic scale, on which twice as long and half as long are errors of
/// one size.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::forecast::Calibration;
///
/// let mut calibration = Calibration::default();
/// (0..200).for_each(|_| calibration.record(2.0));
/// let calibrated = calibration.apply(Duration::from_millis(100));
/// assert!(calibrated > Duration::from_millis(199));
/// assert!(calibration.error_factor() < 1.1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Calibration {
    /// Learned logarithm of the ratio.
    mean: f64,
    /// Learned distance of a ratio's logarithm from that.
    deviation: f64,
}

impl Default for Calibration {
    /// Forecasts hold as they are, and nothing is known of how good they are.
    fn default() -> Self {
        Calibration {
            mean: 0.0,
            deviation: RATIO_RANGE.1.ln(),
        }
    }
}

impl Calibration {
    /// Learns from the ratio of a first event's time to its forecast.
    pub fn record(&mut self, ratio: f64) {
        if ratio.is_nan() {
            return;
        }
        let (least, most) = RATIO_RANGE;
        let error = ratio.clamp(least, most).ln() - self.mean;
        self.mean += LEARNING_RATE * error;
        self.deviation += LEARNING_RATE * (error.abs() - self.deviation);
    }

    /// Factor on a forecast, 0.25 to 4.
    pub fn factor(&self) -> f64 {
        self.mean.exp()
    }

    /// How sure the factor is: by which factor first events differ from calibrated
    /// forecasts on average, 1 if they never do, and 4 before anything was learned.
    pub fn error_factor(&self) -> f64 {
        self.deviation.exp()
    }

    /// The forecast time of a first event, corrected by what was learned.
    pub fn apply(&self, first: Duration) -> Duration {
        to_duration(first.as_secs_f64() * self.factor())
    }
}

//! Forecasts when the first event of a stream arrives over a chain, and the time between
//! the following events.
//!
//! [`forecast`] uses what is known of the chain's engines. A [`Calibration`] learns by
//! which factor the first events of a service arrive later or earlier than forecast.

use std::time::Duration;

use crate::chain::{Layer, Stage};
use crate::context::{EstimatedLoad, SelectionContext};
use crate::cost;
use crate::routing::Model;
use crate::upstream_state::UpstreamState;

/// Longest time that is forecast. No caller waits longer, and it keeps products of absurd
/// figures within the range of a [`Duration`].
pub const MAX_FORECAST: Duration = Duration::from_secs(60);

/// Largest number of requests that is assumed for an engine, to keep times finite: a
/// hundred times the requests that a large fleet starts each second.
const MAX_REQUESTS: f64 = 1e6;

/// Weight of the newest ratio in a calibration. One late event changes little, and a
/// change of the load is learned within some forty streams.
const RATIO_ALPHA: f64 = 0.05;

/// Bounds of the learned ratio. Forecasts that are further off are meaningless, and
/// silent streams must be checked whatever engines report.
const RATIO_RANGE: (f64, f64) = (0.25, 4.0);

/// Multiple of its forecast after which a first event counts as late. Most events arrive
/// earlier, so engines that are only busy are not checked.
const LATE_FACTOR: u32 = 2;

/// Forecast for a request on a chain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Time from sending the request to its first event.
    pub first_event: Duration,
    /// Time between two events.
    pub event_gap: Duration,
}

impl Forecast {
    /// Returns the ratio of the actual time of the first event to its forecast; `None` if
    /// the forecast is meaningless because no engine was known or the figures were
    /// absurd.
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

    /// Returns whether the forecast was capped at [`MAX_FORECAST`].
    pub fn is_capped(&self) -> bool {
        self.first_event >= MAX_FORECAST
    }
}

/// Forecasts a request of `prompt` tokens on a chain, before the request is counted on
/// the chain's engines.
///
/// At each engine the prompt waits for the prompts queued there and is then processed
/// (prefill); the first event takes as long as each later one. With a `prompt` of 0,
/// which means that the caller did not state a length, the typical length is used.
/// Engines that are no longer known add nothing.
pub fn forecast(
    context: &SelectionContext,
    model: &Model,
    stages: &[Stage],
    prompt: u32,
) -> Forecast {
    let tokens = match prompt {
        0 => model.typical_prompt,
        stated => stated,
    };
    let (mut first_event, mut event_gap) = (0.0, 0.0);
    for stage in stages {
        let Some(entry) = context.registry.get(&stage.upstream) else {
            continue;
        };
        let layers = stage.end.saturating_sub(stage.first);
        let load = EstimatedLoad::estimate(context, entry);
        let prefill = cost::prefill_seconds(context, model, entry, layers, tokens);
        let event = event_seconds(context, model, entry, layers, load.requests);
        first_event += clamp_seconds(load.prefill_seconds) + clamp_seconds(prefill) + event;
        event_gap += event;
    }
    Forecast {
        first_event: to_duration(first_event),
        event_gap: to_duration(event_gap),
    }
}

/// Returns the silence before a first event, forecast for `first`, after which the
/// engines are checked: `min_delay`, or twice the forecast if that is longer, up to
/// `max_delay`.
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
pub fn check_delay(first: Duration, min_delay: Duration, max_delay: Duration) -> Duration {
    let late = first.saturating_mul(LATE_FACTOR);
    min_delay.max(late.min(max_delay))
}

/// Returns the seconds that an event takes on an engine that processes so many requests.
fn event_seconds(
    context: &SelectionContext,
    model: &Model,
    entry: &UpstreamState,
    layers: Layer,
    requests: f64,
) -> f64 {
    // Longer steps, multiplied by the requests, would overflow a `Duration`.
    if model.step_time.max(model.step_per_request) >= MAX_FORECAST {
        return MAX_FORECAST.as_secs_f64();
    }
    let load = clamp_or_zero(requests, MAX_REQUESTS);
    let steps = f64::from(model.event_tokens) * cost::PASSES_PER_TOKEN;
    let layer = cost::work_seconds(model, entry, load, steps, 0.0);
    clamp_seconds(layer * f64::from(layers) * entry.slowness(context.now))
}

/// Clamps a value to 0 to `max`; returns 0 for NaN.
fn clamp_or_zero(value: f64, max: f64) -> f64 {
    match value.is_nan() {
        true => 0.0,
        false => value.clamp(0.0, max),
    }
}

/// Clamps seconds to the range that may be forecast.
fn clamp_seconds(seconds: f64) -> f64 {
    clamp_or_zero(seconds, MAX_FORECAST.as_secs_f64())
}

fn to_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(clamp_seconds(seconds))
}

/// Learned ratio of the first events' actual times to their forecasts, for one service,
/// and its mean deviation.
///
/// It is learned on a logarithmic scale, on which twice as long and half as long are
/// errors of the same size.
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
    /// Learned mean absolute deviation of the ratios' logarithms from it.
    deviation: f64,
}

impl Default for Calibration {
    /// Creates a calibration that leaves forecasts unchanged and has the largest error
    /// factor.
    fn default() -> Self {
        Calibration {
            mean: 0.0,
            deviation: RATIO_RANGE.1.ln(),
        }
    }
}

impl Calibration {
    /// Records the ratio of a first event's time to its forecast.
    pub fn record(&mut self, ratio: f64) {
        if ratio.is_nan() {
            return;
        }
        let (min, max) = RATIO_RANGE;
        let error = ratio.clamp(min, max).ln() - self.mean;
        self.mean += RATIO_ALPHA * error;
        self.deviation += RATIO_ALPHA * (error.abs() - self.deviation);
    }

    /// Returns the factor on a forecast, 0.25 to 4.
    pub fn factor(&self) -> f64 {
        self.mean.exp()
    }

    /// Returns by which factor first events differ from calibrated forecasts on average:
    /// 1 if they never do, and 4 before anything was learned.
    pub fn error_factor(&self) -> f64 {
        self.deviation.exp()
    }

    /// Returns the forecast time of a first event, corrected by the learned factor.
    pub fn apply(&self, first: Duration) -> Duration {
        to_duration(first.as_secs_f64() * self.factor())
    }
}

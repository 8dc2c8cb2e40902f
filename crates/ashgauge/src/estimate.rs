//! Estimates the present demand and engine load from load reports that are some time old.
//!
//! During the age of one report, boxes can start and engines can complete enough requests
//! to go from empty to overfull engines. A box knows which share of the requests it
//! admitted in that time, since all boxes compute about the same level. From earlier
//! reports it knows when the requests in flight started, and thus how many have completed
//! by now. All this is derived from existing reports; no further messages are sent.

use std::collections::VecDeque;
use std::time::Duration;

use crate::demand::{COMPLETION_WINDOW, DEMAND_WINDOW, Demands};
use crate::pressure::Pressure;

/// Number of cohorts that are kept. With [`COHORT_SHARE`] they cover four times the
/// duration of a request.
const MAX_COHORTS: usize = 80;

/// Time span of one cohort's starts, as a share of the request duration.
const COHORT_SHARE: f64 = 0.05;

/// Number of cohorts into which the requests of the first report are divided.
const INITIAL_COHORTS: u32 = 8;

/// Number of samples that are kept. At 20 a second it is more than the oldest reports
/// need.
const MAX_SAMPLES: usize = 64;

/// Share by which the duration of a request may differ from the mean, depending on its
/// size.
const DURATION_SPREAD: f64 = 0.25;

/// Assumed duration of a request on an empty engine before any has completed: users'
/// answers take 1.7 to 2.9 s on full engines.
const INITIAL_DURATION_SECONDS: f64 = 1.5;

/// Bounds of the learned duration.
const DURATION_RANGE_SECONDS: (f64, f64) = (0.05, 100.0);

/// Weight of the newest observation in the learned duration, on a logarithmic scale. With
/// a weight of 1 the duration oscillates when 985 boxes with reports 0.5 s old fill the
/// engines at once.
const DURATION_ALPHA: f64 = 0.3;

/// Largest factor by which one observation may change the duration.
const MAX_DURATION_STEP: f64 = 2.0;

/// Largest accepted number of requests, and of requests a second.
const MAX_COUNT: f64 = 1e12;

/// Largest accepted slowdown at full engines.
const MAX_SLOWDOWN: f64 = 4.0;

/// Utilization above which requests are assumed to slow down no further, as engines
/// refuse what does not fit.
const MAX_UTILIZATION: f64 = 2.0;

/// Utilization for which [`Estimate::completion_rate`] holds.
const TYPICAL_UTILIZATION: f64 = 0.87;

/// Share by which the number of counted boxes may change between two samples. A larger
/// change means that reports of other boxes were added or lost, not that requests started
/// or completed.
const MAX_BOX_CHANGE: f64 = 0.2;

/// Gap between two samples from which earlier state is discarded.
const MAX_SAMPLE_GAP_SECONDS: f64 = 1.0;

/// Shortest time over which a change of demand is measured.
const MIN_TREND_INTERVAL: Duration = Duration::from_millis(100);

/// Standard deviations of a request count within which a change of demand is taken for
/// noise.
const NOISE_SIGMAS: f64 = 2.0;

/// Largest factor by which the estimated demand may differ from the reported one.
const MAX_TREND_FACTOR: f64 = 4.0;

/// What a box knows from its own state and from other boxes' reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Demand at all boxes.
    pub demands: Demands,
    /// Load of the engines.
    pub pressure: Pressure,
    /// Requests that complete each second.
    pub completion_rate: f64,
    /// Number of boxes that are included.
    pub boxes: f64,
    /// Age of the information.
    pub age: Duration,
    /// Time between two reports.
    pub report_interval: Duration,
    /// Part by which requests take longer on full engines than on empty ones.
    pub full_slowdown: f64,
}

/// Estimate for the present moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// Demand at all boxes.
    pub demands: Demands,
    /// Load of the engines.
    pub pressure: Pressure,
    /// Requests that would complete each second if those in flight had started evenly
    /// over time. Actual completions follow the starts of one request duration earlier;
    /// admitting as many again would repeat each past oscillation.
    pub completion_rate: f64,
}

/// Estimator for one service at one box.
#[derive(Clone, Debug)]
pub struct Estimator {
    /// Started requests, grouped by start time, the oldest first.
    cohorts: VecDeque<Cohort>,
    /// Times in seconds, and the share of requests that was admitted from each time on.
    admitted_shares: VecDeque<(f64, f64)>,
    last_sample: Option<Sample>,
    trend: Trend,
    /// Duration of a request on an empty engine, in seconds.
    base_duration: f64,
    demand_rate: f64,
}

/// Requests that started at about the same time. Times are in seconds.
#[derive(Clone, Copy, Debug)]
struct Cohort {
    /// Start of the first request.
    first_start: f64,
    /// Mean start time.
    mean_start: f64,
    requests: f64,
    /// Factor on the duration, from the engines' utilization at the start.
    slowdown: f64,
}

/// State at one moment, which is in seconds.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: f64,
    requests: f64,
    completion_rate: f64,
    utilization: f64,
    boxes: f64,
}

impl Default for Estimator {
    fn default() -> Self {
        Estimator {
            cohorts: VecDeque::new(),
            admitted_shares: VecDeque::new(),
            last_sample: None,
            trend: Trend::default(),
            base_duration: INITIAL_DURATION_SECONDS,
            demand_rate: 0.0,
        }
    }
}

impl Estimator {
    /// Estimates the state at `now`.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::estimate::{Estimator, Observation};
    /// use ashgauge::pressure::Pressure;
    /// use std::time::Duration;
    ///
    /// let ms = Duration::from_millis;
    /// let observation = Observation {
    ///     demands: Vec::new(),
    ///     pressure: Pressure { requests: 600.0, memory: 0.75, slots: 0.1 },
    ///     completion_rate: 300.0,
    ///     boxes: 8.0,
    ///     age: ms(500),
    ///     report_interval: ms(100),
    ///     full_slowdown: 0.8,
    /// };
    /// let mut estimator = Estimator::default();
    /// let estimate = estimator.estimate(ms(5000), &observation);
    /// // Some have completed since, and there was no new demand.
    /// assert!((300.0..600.0).contains(&estimate.pressure.requests));
    /// ```
    pub fn estimate(&mut self, now: Duration, observation: &Observation) -> Estimate {
        let observed_at = self.add_sample(
            now.saturating_sub(observation.age).as_secs_f64(),
            observation,
        );
        let now = now.as_secs_f64().max(observed_at);
        let requests = clamp_or_zero(observation.pressure.requests, MAX_COUNT);
        self.update_duration(observed_at, requests);

        let reported_rate: f64 = observation
            .demands
            .iter()
            .map(|(_, demand)| demand.rate())
            .sum();
        self.demand_rate = self
            .trend
            .current_rate(observed_at, reported_rate, observation);
        let factor = if reported_rate > 0.0 {
            self.demand_rate / reported_rate
        } else {
            1.0
        };
        let demands = observation.demands.iter();
        let demands = demands.map(|(source, demand)| (*source, demand.scaled(factor)));

        let before = self.remaining(observed_at);
        let remaining_share = if before > 0.0 {
            self.remaining(now) / before
        } else {
            1.0
        };
        let started = self.admitted_seconds(observed_at, now) * self.demand_rate;
        let in_flight = requests * remaining_share.clamp(0.0, 1.0) + started;
        let factor = if requests > 0.0 {
            in_flight / requests
        } else {
            1.0
        };
        Estimate {
            demands: demands.collect(),
            pressure: Pressure {
                requests: in_flight,
                memory: clamp_or_zero(observation.pressure.memory, MAX_COUNT) * factor,
                slots: clamp_or_zero(observation.pressure.slots, MAX_COUNT) * factor,
            },
            completion_rate: in_flight
                / (self.base_duration
                    * slowdown_factor(observation.full_slowdown, TYPICAL_UTILIZATION)),
        }
    }

    /// Records how many requests a second may start, by the level that was computed from
    /// the last estimate.
    pub fn record_allowed_rate(&mut self, now: Duration, allowed: f64) {
        let share = if self.demand_rate > 0.0 {
            allowed / self.demand_rate
        } else {
            1.0
        };
        self.admitted_shares
            .push_back((now.as_secs_f64(), share.clamp(0.0, 1.0)));
        if self.admitted_shares.len() > MAX_SAMPLES {
            self.admitted_shares.pop_front();
        }
    }

    /// Adds a sample of the moment `at`, and returns the sample's time, which is never
    /// before that of the last sample.
    fn add_sample(&mut self, at: f64, observation: &Observation) -> f64 {
        let at = self.last_sample.map_or(at, |last| at.max(last.at));
        let sample = Sample {
            at,
            requests: clamp_or_zero(observation.pressure.requests, MAX_COUNT),
            completion_rate: clamp_or_zero(observation.completion_rate, MAX_COUNT),
            utilization: clamp_or_zero(observation.pressure.max_share(), MAX_UTILIZATION),
            boxes: observation.boxes,
        };
        match self.last_sample.replace(sample) {
            Some(last) if at - last.at >= MAX_SAMPLE_GAP_SECONDS => {
                self.reset_cohorts(observation.full_slowdown, &sample)
            }
            Some(last) if (last.boxes - sample.boxes).abs() > last.boxes * MAX_BOX_CHANGE => {
                self.scale_cohorts(sample.requests / last.requests.max(1.0));
            }
            Some(last) => self.add_started(observation.full_slowdown, &last, &sample),
            None => self.reset_cohorts(observation.full_slowdown, &sample),
        }
        at
    }

    /// Assumes that the requests in flight started evenly over time, as nothing is known
    /// of the time before.
    fn reset_cohorts(&mut self, full_slowdown: f64, sample: &Sample) {
        let slowdown = slowdown_factor(full_slowdown, sample.utilization);
        let span = self.base_duration * slowdown / f64::from(INITIAL_COHORTS);
        let cohort = |n: u32| Cohort {
            first_start: sample.at - span * f64::from(INITIAL_COHORTS - n),
            mean_start: sample.at - span * (f64::from(INITIAL_COHORTS - n) - 0.5),
            requests: sample.requests / f64::from(INITIAL_COHORTS),
            slowdown,
        };
        self.cohorts = (0..INITIAL_COHORTS).map(cohort).collect();
    }

    /// Adds the requests that started between two samples: the increase of requests in
    /// flight, plus those that completed.
    fn add_started(&mut self, full_slowdown: f64, last: &Sample, sample: &Sample) {
        // The completion rate is a decaying mean; both terms together give the count.
        let mean = (sample.completion_rate + last.completion_rate) / 2.0 * (sample.at - last.at);
        let completed = mean
            + COMPLETION_WINDOW.as_secs_f64() * (sample.completion_rate - last.completion_rate);
        let remaining = (last.requests - completed.max(0.0)).max(0.0);
        let started = (sample.requests - remaining).max(0.0);
        if sample.requests < remaining {
            // Some were lost with their box or engine.
            self.scale_cohorts(sample.requests / remaining);
        }
        let new = Cohort {
            first_start: last.at,
            mean_start: (sample.at + last.at) / 2.0,
            requests: started,
            slowdown: slowdown_factor(full_slowdown, (sample.utilization + last.utilization) / 2.0),
        };
        let min_span = self.base_duration * COHORT_SHARE;
        match self
            .cohorts
            .back_mut()
            .filter(|c| sample.at < c.first_start + min_span)
        {
            Some(cohort) => cohort.merge(&new),
            None => self.cohorts.push_back(new),
        }
        if self.cohorts.len() > MAX_COHORTS {
            self.cohorts.pop_front();
        }
    }

    fn scale_cohorts(&mut self, factor: f64) {
        self.cohorts.iter_mut().for_each(|c| c.requests *= factor);
    }

    /// Updates the learned duration so that the cohorts' remaining requests match those
    /// in flight.
    fn update_duration(&mut self, at: f64, requests: f64) {
        let remaining = self.remaining(at);
        if remaining <= 0.0 || requests <= 0.0 {
            return;
        }
        let step = (requests / remaining).clamp(1.0 / MAX_DURATION_STEP, MAX_DURATION_STEP);
        let (min, max) = DURATION_RANGE_SECONDS;
        self.base_duration = (self.base_duration * step.powf(DURATION_ALPHA)).clamp(min, max);
    }

    /// Returns how many of the requests in all cohorts are still in flight at a time.
    fn remaining(&self, at: f64) -> f64 {
        let in_flight = |cohort: &Cohort| {
            let age = (at - cohort.mean_start) / (self.base_duration * cohort.slowdown);
            cohort.requests
                * ((1.0 + DURATION_SPREAD - age) / (2.0 * DURATION_SPREAD)).clamp(0.0, 1.0)
        };
        self.cohorts.iter().map(in_flight).sum()
    }

    /// Returns the seconds between two times, each weighted by the share of requests that
    /// was admitted.
    fn admitted_seconds(&self, from: f64, to: f64) -> f64 {
        let (mut seconds, mut end) = (0.0, to);
        for (at, share) in self.admitted_shares.iter().rev() {
            let start = at.clamp(from, end);
            seconds += share * (end - start);
            end = start;
        }
        // Before the first level, all requests were admitted.
        seconds + (end - from)
    }
}

impl Cohort {
    fn merge(&mut self, other: &Cohort) {
        let sum = self.requests + other.requests;
        if sum > 0.0 {
            let mean = |a: f64, b: f64| (a * self.requests + b * other.requests) / sum;
            (self.mean_start, self.slowdown) = (
                mean(self.mean_start, other.mean_start),
                mean(self.slowdown, other.slowdown),
            );
        }
        self.requests = sum;
    }
}

/// Returns the factor on the duration of requests that start at a utilization of the
/// engines: passes take longer with more requests in them.
fn slowdown_factor(full_slowdown: f64, utilization: f64) -> f64 {
    1.0 + clamp_or_zero(full_slowdown, MAX_SLOWDOWN) * utilization
}

/// Clamps a value to 0 to `max`; returns 0 for NaN.
fn clamp_or_zero(value: f64, max: f64) -> f64 {
    match value.is_nan() {
        true => 0.0,
        false => value.clamp(0.0, max),
    }
}

/// Trend of the demand.
#[derive(Clone, Debug, Default)]
struct Trend {
    /// Times in seconds, and the demand rates reported for them.
    samples: VecDeque<(f64, f64)>,
}

impl Trend {
    /// Estimates the present demand rate.
    ///
    /// Reported rates are means that decay over [`DEMAND_WINDOW`], so two of them give
    /// the rate between them. The part of that rate's difference from the mean that
    /// exceeds noise is assumed to continue.
    fn current_rate(
        &mut self,
        observed_at: f64,
        reported_rate: f64,
        observation: &Observation,
    ) -> f64 {
        let interval = observation
            .report_interval
            .max(MIN_TREND_INTERVAL)
            .as_secs_f64();
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| *at <= observed_at - interval)
        {
            self.samples.pop_front();
        }
        let previous = self.samples.front().copied();
        self.samples.push_back((observed_at, reported_rate));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        let is_apart =
            |(at, _): &(f64, f64)| (interval..MAX_SAMPLE_GAP_SECONDS).contains(&(observed_at - at));
        let Some((at, previous)) = previous.filter(is_apart) else {
            return reported_rate;
        };
        let window = DEMAND_WINDOW.as_secs_f64();
        let decay = (-(observed_at - at) / window).exp();
        let recent_rate = (reported_rate - previous * decay) / (1.0 - decay);
        let noise = NOISE_SIGMAS
            * (reported_rate / (observed_at - at) + reported_rate / (2.0 * window)).sqrt();
        let change = recent_rate - reported_rate;
        let trend = (change.abs() - noise).max(0.0).copysign(change);
        let weight = 1.0 - (-observation.age.as_secs_f64() / window).exp();
        (reported_rate + trend * weight).clamp(
            reported_rate / MAX_TREND_FACTOR,
            reported_rate * MAX_TREND_FACTOR,
        )
    }
}

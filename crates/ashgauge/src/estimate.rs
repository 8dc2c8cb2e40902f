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
const INITIAL_DURATION_S: f64 = 1.5;

/// Bounds of the learned duration.
const DURATION_RANGE_S: (f64, f64) = (0.05, 100.0);

/// Weight of the newest observation in the learned duration, on a logarithmic scale. With
/// a weight of 1 the duration oscillates when 985 boxes with reports 0.5 s old fill the
/// engines at once.
const DURATION_GAIN: f64 = 0.3;

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
const MAX_SAMPLE_GAP_S: f64 = 1.0;

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
            base_duration: INITIAL_DURATION_S,
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
    /// let known = Observation {
    ///     demands: Vec::new(),
    ///     pressure: Pressure { requests: 600.0, memory: 0.75, slots: 0.1 },
    ///     completion_rate: 300.0,
    ///     boxes: 8.0,
    ///     age: ms(500),
    ///     report_interval: ms(100),
    ///     full_slowdown: 0.8,
    /// };
    /// let mut estimator = Estimator::default();
    /// let estimate = estimator.estimate(ms(5000), &known);
    /// // Some have completed since, and there was no new demand.
    /// assert!((300.0..600.0).contains(&estimate.pressure.requests));
    /// ```
    pub fn estimate(&mut self, now: Duration, known: &Observation) -> Estimate {
        let of = self.add_sample(now.saturating_sub(known.age).as_secs_f64(), known);
        let now = now.as_secs_f64().max(of);
        let requests = clamp_or_zero(known.pressure.requests, MAX_COUNT);
        self.update_duration(of, requests);

        let told: f64 = known.demands.iter().map(|(_, demand)| demand.rate()).sum();
        self.demand_rate = self.trend.current_rate(of, told, known);
        let factor = if told > 0.0 {
            self.demand_rate / told
        } else {
            1.0
        };
        let demands = known.demands.iter();
        let demands = demands.map(|(source, demand)| (*source, demand.scaled(factor)));

        let left = self.remaining(of);
        let kept = if left > 0.0 {
            self.remaining(now) / left
        } else {
            1.0
        };
        let begun = self.admitted_seconds(of, now) * self.demand_rate;
        let under_way = requests * kept.clamp(0.0, 1.0) + begun;
        let factor = if requests > 0.0 {
            under_way / requests
        } else {
            1.0
        };
        Estimate {
            demands: demands.collect(),
            pressure: Pressure {
                requests: under_way,
                memory: clamp_or_zero(known.pressure.memory, MAX_COUNT) * factor,
                slots: clamp_or_zero(known.pressure.slots, MAX_COUNT) * factor,
            },
            completion_rate: under_way
                / (self.base_duration * slowdown_factor(known.full_slowdown, TYPICAL_UTILIZATION)),
        }
    }

    /// Records how many requests a second may start, by the level that was computed from
    /// the last estimate.
    pub fn record_allowed_rate(&mut self, now: Duration, allowed: f64) {
        let part = if self.demand_rate > 0.0 {
            allowed / self.demand_rate
        } else {
            1.0
        };
        self.admitted_shares
            .push_back((now.as_secs_f64(), part.clamp(0.0, 1.0)));
        if self.admitted_shares.len() > MAX_SAMPLES {
            self.admitted_shares.pop_front();
        }
    }

    /// Adds a sample of the moment `at`, and returns the sample's time, which is never
    /// before that of the last sample.
    fn add_sample(&mut self, of: f64, known: &Observation) -> f64 {
        let of = self.last_sample.map_or(of, |last| of.max(last.at));
        let sample = Sample {
            at: of,
            requests: clamp_or_zero(known.pressure.requests, MAX_COUNT),
            completion_rate: clamp_or_zero(known.completion_rate, MAX_COUNT),
            utilization: clamp_or_zero(known.pressure.max_share(), MAX_UTILIZATION),
            boxes: known.boxes,
        };
        match self.last_sample.replace(sample) {
            Some(last) if of - last.at >= MAX_SAMPLE_GAP_S => {
                self.reset_cohorts(known.full_slowdown, &sample)
            }
            Some(last) if (last.boxes - sample.boxes).abs() > last.boxes * MAX_BOX_CHANGE => {
                self.scale_cohorts(sample.requests / last.requests.max(1.0));
            }
            Some(last) => self.add_started(known.full_slowdown, &last, &sample),
            None => self.reset_cohorts(known.full_slowdown, &sample),
        }
        of
    }

    /// Assumes that the requests in flight started evenly over time, as nothing is known
    /// of the time before.
    fn reset_cohorts(&mut self, growth: f64, sample: &Sample) {
        let slow = slowdown_factor(growth, sample.utilization);
        let each = self.base_duration * slow / f64::from(INITIAL_COHORTS);
        let cohort = |n: u32| Cohort {
            first_start: sample.at - each * f64::from(INITIAL_COHORTS - n),
            mean_start: sample.at - each * (f64::from(INITIAL_COHORTS - n) - 0.5),
            requests: sample.requests / f64::from(INITIAL_COHORTS),
            slowdown: slow,
        };
        self.cohorts = (0..INITIAL_COHORTS).map(cohort).collect();
    }

    /// Adds the requests that started between two samples: the increase of requests in
    /// flight, plus those that completed.
    fn add_started(&mut self, growth: f64, last: &Sample, sample: &Sample) {
        // The completion rate is a decaying mean; both terms together give the count.
        let mean = (sample.completion_rate + last.completion_rate) / 2.0 * (sample.at - last.at);
        let ended = mean
            + COMPLETION_WINDOW.as_secs_f64() * (sample.completion_rate - last.completion_rate);
        let rest = (last.requests - ended.max(0.0)).max(0.0);
        let begun = (sample.requests - rest).max(0.0);
        if sample.requests < rest {
            // Some were lost with their box or engine.
            self.scale_cohorts(sample.requests / rest);
        }
        let new = Cohort {
            first_start: last.at,
            mean_start: (sample.at + last.at) / 2.0,
            requests: begun,
            slowdown: slowdown_factor(growth, (sample.utilization + last.utilization) / 2.0),
        };
        let least = self.base_duration * COHORT_SHARE;
        match self
            .cohorts
            .back_mut()
            .filter(|c| sample.at < c.first_start + least)
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
    fn update_duration(&mut self, of: f64, requests: f64) {
        let left = self.remaining(of);
        if left <= 0.0 || requests <= 0.0 {
            return;
        }
        let step = (requests / left).clamp(1.0 / MAX_DURATION_STEP, MAX_DURATION_STEP);
        let (least, most) = DURATION_RANGE_S;
        self.base_duration = (self.base_duration * step.powf(DURATION_GAIN)).clamp(least, most);
    }

    /// Returns how many of the requests in all cohorts are still in flight at a time.
    fn remaining(&self, at: f64) -> f64 {
        let left = |cohort: &Cohort| {
            let stays = (at - cohort.mean_start) / (self.base_duration * cohort.slowdown);
            cohort.requests
                * ((1.0 + DURATION_SPREAD - stays) / (2.0 * DURATION_SPREAD)).clamp(0.0, 1.0)
        };
        self.cohorts.iter().map(left).sum()
    }

    /// Returns the seconds between two times, each weighted by the share of requests that
    /// was admitted.
    fn admitted_seconds(&self, from: f64, to: f64) -> f64 {
        let (mut seconds, mut end) = (0.0, to);
        for (at, part) in self.admitted_shares.iter().rev() {
            let begin = at.clamp(from, end);
            seconds += part * (end - begin);
            end = begin;
        }
        // Before the first level, all requests were admitted.
        seconds + (end - from)
    }
}

impl Cohort {
    fn merge(&mut self, more: &Cohort) {
        let sum = self.requests + more.requests;
        if sum > 0.0 {
            let mean = |a: f64, b: f64| (a * self.requests + b * more.requests) / sum;
            (self.mean_start, self.slowdown) = (
                mean(self.mean_start, more.mean_start),
                mean(self.slowdown, more.slowdown),
            );
        }
        self.requests = sum;
    }
}

/// Returns the factor on the duration of requests that start at a utilization of the
/// engines: passes take longer with more requests in them.
fn slowdown_factor(growth: f64, used: f64) -> f64 {
    1.0 + clamp_or_zero(growth, MAX_SLOWDOWN) * used
}

/// Clamps a value to 0 to `max`; returns 0 for NaN.
fn clamp_or_zero(told: f64, most: f64) -> f64 {
    match told.is_nan() {
        true => 0.0,
        false => told.clamp(0.0, most),
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
    fn current_rate(&mut self, of: f64, told: f64, known: &Observation) -> f64 {
        let over = known.report_interval.max(MIN_TREND_INTERVAL).as_secs_f64();
        while self.samples.get(1).is_some_and(|(at, _)| *at <= of - over) {
            self.samples.pop_front();
        }
        let before = self.samples.front().copied();
        self.samples.push_back((of, told));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        let is_apart = |(at, _): &(f64, f64)| (over..MAX_SAMPLE_GAP_S).contains(&(of - at));
        let Some((at, before)) = before.filter(is_apart) else {
            return told;
        };
        let window = DEMAND_WINDOW.as_secs_f64();
        let faded = (-(of - at) / window).exp();
        let between = (told - before * faded) / (1.0 - faded);
        let chance = NOISE_SIGMAS * (told / (of - at) + told / (2.0 * window)).sqrt();
        let change = between - told;
        let more = (change.abs() - chance).max(0.0).copysign(change);
        let followed = 1.0 - (-known.age.as_secs_f64() / window).exp();
        (told + more * followed).clamp(told / MAX_TREND_FACTOR, told * MAX_TREND_FACTOR)
    }
}

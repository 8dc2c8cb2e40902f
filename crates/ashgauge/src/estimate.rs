//! Estimates demand and the engines' load now, from load reports that are some time old.
//!
//! Within one report age boxes start and engines end more requests than fit between an
//! empty and an overfull fleet. A box knows which part of the requests it admitted in that
//! time, as all boxes compute about the same level, and from earlier reports how many
//! requests began when, so that it can tell how many of them have ended by now. All of it
//! is derived from what reports hold already; nothing is sent for it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::demand::{COMPLETION_WINDOW, DEMAND_WINDOW, Demands};
use crate::pressure::Pressure;

/// Groups of requests that are kept, by the time at which they began. With [`COHORT_SHARE`]
/// they cover four times as long as a request stays.
const MAX_COHORTS: usize = 80;

/// Time in which the requests of one group begin, as a part of how long requests stay.
const COHORT_SHARE: f64 = 0.05;

/// Groups as which the requests are counted that were there before the first report.
const INITIAL_COHORTS: u32 = 8;

/// Admitted parts that are kept: at 20 a second, more than the oldest reports need.
const MAX_SAMPLES: usize = 64;

/// Requests stay for up to this part more or less than their mean, by their sizes.
const DURATION_SPREAD: f64 = 0.25;

/// Seconds that an only request is taken to stay before any has ended: users' answers
/// take 1.7 to 2.9 s at engines that are full.
const INITIAL_DURATION_S: f64 = 1.5;

/// Bounds of that time once it is learned.
const DURATION_RANGE_S: (f64, f64) = (0.05, 100.0);

/// Weight of the newest observation in that time, on a logarithmic scale. With 1 the time
/// oscillates where 985 boxes with reports 0.5 s old fill the engines at once.
const DURATION_GAIN: f64 = 0.3;

/// Most by which one observation may change it, as a factor.
const MAX_DURATION_STEP: f64 = 2.0;

/// Requests, and requests a second, that are counted at most.
const MAX_COUNT: f64 = 1e12;

/// Most that requests are taken to stay longer at full engines, as a part.
const MAX_SLOWDOWN: f64 = 4.0;

/// Use of the engines past which requests are not taken to stay any longer: engines
/// refuse what does not fit.
const MAX_UTILIZATION: f64 = 2.0;

/// Use of the engines for which [`Estimate::completion_rate`] holds.
const TYPICAL_UTILIZATION: f64 = 0.87;

/// Part by which the boxes that count may change between two estimates; with more, the
/// requests of other boxes are known, not more or fewer requests under way.
const MAX_BOX_CHANGE: f64 = 0.2;

/// Seconds between two estimates after which what was known before is discarded.
const MAX_SAMPLE_GAP_S: f64 = 1.0;

/// Least time over which a change of demand is measured.
const MIN_TREND_INTERVAL: Duration = Duration::from_millis(100);

/// Standard deviations of a count up to which a change of demand counts as chance.
const NOISE_SIGMAS: f64 = 2.0;

/// Most by which demand is taken to differ from what reports tell, as a factor.
const MAX_TREND_FACTOR: f64 = 4.0;

/// What a box knows from its own state and the reports of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// What all boxes are asked for.
    pub demands: Demands,
    /// Use of the engines.
    pub pressure: Pressure,
    /// Requests a second that end.
    pub completion_rate: f64,
    /// Boxes for which it counts.
    pub boxes: f64,
    /// How old it is.
    pub age: Duration,
    /// Time between two reports.
    pub report_interval: Duration,
    /// Part by which requests stay longer at full engines than at empty ones.
    pub full_slowdown: f64,
}

/// What is likely now.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// What all boxes are asked for.
    pub demands: Demands,
    /// Use of the engines.
    pub pressure: Pressure,
    /// Requests a second that end where those under way began evenly. Those that really
    /// end follow what began one stay earlier; to admit as many again would repeat each
    /// swing of the past.
    pub completion_rate: f64,
}

/// Estimates for one service at one box.
#[derive(Clone, Debug)]
pub struct Estimator {
    /// Requests that began, in groups, the oldest first.
    cohorts: VecDeque<Cohort>,
    /// Parts of the requests that were admitted from some time on.
    admitted_shares: VecDeque<(f64, f64)>,
    last_sample: Option<Sample>,
    trend: Trend,
    /// Seconds that an only request stays.
    base_duration: f64,
    demand_rate: f64,
}

/// Requests that began at about the same time.
#[derive(Clone, Copy, Debug)]
struct Cohort {
    /// When the first of them began.
    first_start: f64,
    /// When they began on average.
    mean_start: f64,
    requests: f64,
    /// Factor on their stay, by the use of the engines as they began.
    slowdown: f64,
}

/// What was known of one moment.
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
    /// Estimates what holds now.
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
    /// // Some have ended since, and nobody asked for more.
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

    /// Notes how many requests a second may begin by the level that was computed from the
    /// last estimate.
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

    /// Notes what is known of a moment, and returns that moment.
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

    /// Takes requests to have begun evenly, where nothing is known of the time before.
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

    /// Notes the requests that began between two moments: as many more as are under way,
    /// and as many as ended.
    fn add_started(&mut self, growth: f64, last: &Sample, sample: &Sample) {
        // The rate of ends is a mean that fades; both terms together are the count.
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

    /// Learns how long requests stay: as many must be left as are under way.
    fn update_duration(&mut self, of: f64, requests: f64) {
        let left = self.remaining(of);
        if left <= 0.0 || requests <= 0.0 {
            return;
        }
        let step = (requests / left).clamp(1.0 / MAX_DURATION_STEP, MAX_DURATION_STEP);
        let (least, most) = DURATION_RANGE_S;
        self.base_duration = (self.base_duration * step.powf(DURATION_GAIN)).clamp(least, most);
    }

    /// Requests of those that had begun by the last report that have not ended at a time.
    fn remaining(&self, at: f64) -> f64 {
        let left = |cohort: &Cohort| {
            let stays = (at - cohort.mean_start) / (self.base_duration * cohort.slowdown);
            cohort.requests
                * ((1.0 + DURATION_SPREAD - stays) / (2.0 * DURATION_SPREAD)).clamp(0.0, 1.0)
        };
        self.cohorts.iter().map(left).sum()
    }

    /// Seconds between two times, each counted by the part of the requests that was
    /// admitted.
    fn admitted_seconds(&self, from: f64, to: f64) -> f64 {
        let (mut seconds, mut end) = (0.0, to);
        for (at, part) in self.admitted_shares.iter().rev() {
            let begin = at.clamp(from, end);
            seconds += part * (end - begin);
            end = begin;
        }
        // All were admitted before the first level.
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

/// Factor on the stay of requests that begin at such a use of the engines: their passes
/// take longer with more requests in them.
fn slowdown_factor(growth: f64, used: f64) -> f64 {
    1.0 + clamp_or_zero(growth, MAX_SLOWDOWN) * used
}

/// A figure from 0 to `most`; 0 for one that is not a number.
fn clamp_or_zero(told: f64, most: f64) -> f64 {
    match told.is_nan() {
        true => 0.0,
        false => told.clamp(0.0, most),
    }
}

/// How demand changes.
#[derive(Clone, Debug, Default)]
struct Trend {
    /// Rates that were told, with the times that they are of.
    samples: VecDeque<(f64, f64)>,
}

impl Trend {
    /// The rate at which requests are asked for now.
    ///
    /// What is told is a mean that fades over [`DEMAND_WINDOW`], so two of them tell the rate
    /// between them. What differs from the mean by more than chance is taken to last.
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

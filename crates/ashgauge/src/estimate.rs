//! Estimates demand and the engines' load now, from load reports that are some time old.
//!
//! Within one report age boxes start and engines end more requests than fit between an
//! empty and an overfull fleet. A box knows which part of the requests it admitted in that
//! time, as all boxes compute about the same level, and from earlier reports how many
//! requests began when, so that it can tell how many of them have ended by now. All of it
//! is derived from what reports hold already; nothing is sent for it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::demand::{DEMAND_WINDOW, Demands, ENDS_WINDOW};
use crate::pressure::Pressure;

/// Groups of requests that are kept, by the time at which they began. With [`COHORT_PART`]
/// they cover four times as long as a request stays.
const COHORTS_MOST: usize = 80;

/// Time in which the requests of one group begin, as a part of how long requests stay.
const COHORT_PART: f64 = 0.05;

/// Groups as which the requests are counted that were there before the first report.
const COHORTS_FIRST: u32 = 8;

/// Admitted parts that are kept: at 20 a second, more than the oldest reports need.
const PARTS_MOST: usize = 64;

/// Requests stay for up to this part more or less than their mean, by their sizes.
const SPREAD: f64 = 0.25;

/// Seconds that an only request is taken to stay before any has ended: users' answers
/// take 1.7 to 2.9 s at engines that are full.
const STAY_FIRST: f64 = 1.5;

/// Bounds of that time once it is learned.
const STAY_RANGE: (f64, f64) = (0.05, 100.0);

/// Weight of the newest observation in that time, on a logarithmic scale. With 1 the time
/// oscillates where 985 boxes with reports 0.5 s old fill the engines at once.
const STAY_LEARN: f64 = 0.3;

/// Most by which one observation may change it, as a factor.
const STAY_STEP: f64 = 2.0;

/// Requests, and requests a second, that are counted at most.
const COUNT_MOST: f64 = 1e12;

/// Most that requests are taken to stay longer at full engines, as a part.
const GROWTH_MOST: f64 = 4.0;

/// Use of the engines past which requests are not taken to stay any longer: engines
/// refuse what does not fit.
const USED_MOST: f64 = 2.0;

/// Use of the engines for which [`Estimate::ends`] holds.
const USED_USUAL: f64 = 0.87;

/// Part by which the boxes that count may change between two estimates; with more, the
/// requests of other boxes are known, not more or fewer requests under way.
const BOXES_SAME: f64 = 0.2;

/// Seconds between two estimates after which what was known before is discarded.
const GAP_MOST: f64 = 1.0;

/// Least time over which a change of demand is measured.
const TREND_LEAST: Duration = Duration::from_millis(100);

/// Standard deviations of a count up to which a change of demand counts as chance.
const TREND_CHANCE: f64 = 2.0;

/// Most by which demand is taken to differ from what reports tell, as a factor.
const TREND_MOST: f64 = 4.0;

/// What a box knows from its own state and the reports of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// What all boxes are asked for.
    pub demands: Demands,
    /// Use of the engines.
    pub pressure: Pressure,
    /// Requests a second that end.
    pub ends: f64,
    /// Boxes for which it counts.
    pub boxes: f64,
    /// How old it is.
    pub age: Duration,
    /// Time between two reports.
    pub every: Duration,
    /// Part by which requests stay longer at full engines than at empty ones.
    pub growth: f64,
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
    pub ends: f64,
}

/// Estimates for one service at one box.
#[derive(Clone, Debug)]
pub struct Estimator {
    /// Requests that began, in groups, the oldest first.
    cohorts: VecDeque<Cohort>,
    /// Parts of the requests that were admitted from some time on.
    parts: VecDeque<(f64, f64)>,
    last: Option<Sample>,
    trend: Trend,
    /// Seconds that an only request stays.
    stay: f64,
    asked: f64,
}

/// Requests that began at about the same time.
#[derive(Clone, Copy, Debug)]
struct Cohort {
    /// When the first of them began.
    from: f64,
    /// When they began on average.
    at: f64,
    requests: f64,
    /// Factor on their stay, by the use of the engines as they began.
    slow: f64,
}

/// What was known of one moment.
#[derive(Clone, Copy, Debug)]
struct Sample {
    of: f64,
    requests: f64,
    ends: f64,
    used: f64,
    boxes: f64,
}

impl Default for Estimator {
    fn default() -> Self {
        Estimator {
            cohorts: VecDeque::new(),
            parts: VecDeque::new(),
            last: None,
            trend: Trend::default(),
            stay: STAY_FIRST,
            asked: 0.0,
        }
    }
}

impl Estimator {
    /// Estimates what holds now.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::estimate::{Estimator, Known};
    /// use ashgauge::pressure::Pressure;
    /// use std::time::Duration;
    ///
    /// let ms = Duration::from_millis;
    /// let known = Known {
    ///     demands: Vec::new(),
    ///     pressure: Pressure { requests: 600.0, memory: 0.75, slots: 0.1 },
    ///     ends: 300.0,
    ///     boxes: 8.0,
    ///     age: ms(500),
    ///     every: ms(100),
    ///     growth: 0.8,
    /// };
    /// let mut estimator = Estimator::default();
    /// let estimate = estimator.estimate(ms(5000), &known);
    /// // Some have ended since, and nobody asked for more.
    /// assert!((300.0..600.0).contains(&estimate.pressure.requests));
    /// ```
    pub fn estimate(&mut self, now: Duration, known: &Known) -> Estimate {
        let of = self.note(now.saturating_sub(known.age).as_secs_f64(), known);
        let now = now.as_secs_f64().max(of);
        let requests = bounded(known.pressure.requests, COUNT_MOST);
        self.learn(of, requests);

        let told: f64 = known.demands.iter().map(|(_, demand)| demand.rate()).sum();
        self.asked = self.trend.asked(of, told, known);
        let factor = if told > 0.0 { self.asked / told } else { 1.0 };
        let demands = known.demands.iter();
        let demands = demands.map(|(source, demand)| (*source, demand.times(factor)));

        let left = self.left(of);
        let kept = if left > 0.0 {
            self.left(now) / left
        } else {
            1.0
        };
        let begun = self.admitted(of, now) * self.asked;
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
                memory: bounded(known.pressure.memory, COUNT_MOST) * factor,
                slots: bounded(known.pressure.slots, COUNT_MOST) * factor,
            },
            ends: under_way / (self.stay * slow(known.growth, USED_USUAL)),
        }
    }

    /// Notes how many requests a second may begin by the level that was computed from the
    /// last estimate.
    pub fn note_allowed(&mut self, now: Duration, allowed: f64) {
        let part = if self.asked > 0.0 {
            allowed / self.asked
        } else {
            1.0
        };
        self.parts
            .push_back((now.as_secs_f64(), part.clamp(0.0, 1.0)));
        if self.parts.len() > PARTS_MOST {
            self.parts.pop_front();
        }
    }

    /// Notes what is known of a moment, and returns that moment.
    fn note(&mut self, of: f64, known: &Known) -> f64 {
        let of = self.last.map_or(of, |last| of.max(last.of));
        let sample = Sample {
            of,
            requests: bounded(known.pressure.requests, COUNT_MOST),
            ends: bounded(known.ends, COUNT_MOST),
            used: bounded(known.pressure.most(), USED_MOST),
            boxes: known.boxes,
        };
        match self.last.replace(sample) {
            Some(last) if of - last.of >= GAP_MOST => self.restart(known.growth, &sample),
            Some(last) if (last.boxes - sample.boxes).abs() > last.boxes * BOXES_SAME => {
                self.scale(sample.requests / last.requests.max(1.0));
            }
            Some(last) => self.begin(known.growth, &last, &sample),
            None => self.restart(known.growth, &sample),
        }
        of
    }

    /// Takes requests to have begun evenly, where nothing is known of the time before.
    fn restart(&mut self, growth: f64, sample: &Sample) {
        let slow = slow(growth, sample.used);
        let each = self.stay * slow / f64::from(COHORTS_FIRST);
        let cohort = |n: u32| Cohort {
            from: sample.of - each * f64::from(COHORTS_FIRST - n),
            at: sample.of - each * (f64::from(COHORTS_FIRST - n) - 0.5),
            requests: sample.requests / f64::from(COHORTS_FIRST),
            slow,
        };
        self.cohorts = (0..COHORTS_FIRST).map(cohort).collect();
    }

    /// Notes the requests that began between two moments: as many more as are under way,
    /// and as many as ended.
    fn begin(&mut self, growth: f64, last: &Sample, sample: &Sample) {
        // The rate of ends is a mean that fades; both terms together are the count.
        let mean = (sample.ends + last.ends) / 2.0 * (sample.of - last.of);
        let ended = mean + ENDS_WINDOW.as_secs_f64() * (sample.ends - last.ends);
        let rest = (last.requests - ended.max(0.0)).max(0.0);
        let begun = (sample.requests - rest).max(0.0);
        if sample.requests < rest {
            // Some were lost with their box or engine.
            self.scale(sample.requests / rest);
        }
        let new = Cohort {
            from: last.of,
            at: (sample.of + last.of) / 2.0,
            requests: begun,
            slow: slow(growth, (sample.used + last.used) / 2.0),
        };
        let least = self.stay * COHORT_PART;
        match self
            .cohorts
            .back_mut()
            .filter(|c| sample.of < c.from + least)
        {
            Some(cohort) => cohort.add(&new),
            None => self.cohorts.push_back(new),
        }
        if self.cohorts.len() > COHORTS_MOST {
            self.cohorts.pop_front();
        }
    }

    fn scale(&mut self, factor: f64) {
        self.cohorts.iter_mut().for_each(|c| c.requests *= factor);
    }

    /// Learns how long requests stay: as many must be left as are under way.
    fn learn(&mut self, of: f64, requests: f64) {
        let left = self.left(of);
        if left <= 0.0 || requests <= 0.0 {
            return;
        }
        let step = (requests / left).clamp(1.0 / STAY_STEP, STAY_STEP);
        let (least, most) = STAY_RANGE;
        self.stay = (self.stay * step.powf(STAY_LEARN)).clamp(least, most);
    }

    /// Requests of those that had begun by the last report that have not ended at a time.
    fn left(&self, at: f64) -> f64 {
        let left = |cohort: &Cohort| {
            let stays = (at - cohort.at) / (self.stay * cohort.slow);
            cohort.requests * ((1.0 + SPREAD - stays) / (2.0 * SPREAD)).clamp(0.0, 1.0)
        };
        self.cohorts.iter().map(left).sum()
    }

    /// Seconds between two times, each counted by the part of the requests that was
    /// admitted.
    fn admitted(&self, from: f64, to: f64) -> f64 {
        let (mut seconds, mut end) = (0.0, to);
        for (at, part) in self.parts.iter().rev() {
            let begin = at.clamp(from, end);
            seconds += part * (end - begin);
            end = begin;
        }
        // All were admitted before the first level.
        seconds + (end - from)
    }
}

impl Cohort {
    fn add(&mut self, more: &Cohort) {
        let sum = self.requests + more.requests;
        if sum > 0.0 {
            let mean = |a: f64, b: f64| (a * self.requests + b * more.requests) / sum;
            (self.at, self.slow) = (mean(self.at, more.at), mean(self.slow, more.slow));
        }
        self.requests = sum;
    }
}

/// Factor on the stay of requests that begin at such a use of the engines: their passes
/// take longer with more requests in them.
fn slow(growth: f64, used: f64) -> f64 {
    1.0 + bounded(growth, GROWTH_MOST) * used
}

/// A figure from 0 to `most`; 0 for one that is not a number.
fn bounded(told: f64, most: f64) -> f64 {
    match told.is_nan() {
        true => 0.0,
        false => told.clamp(0.0, most),
    }
}

/// How demand changes.
#[derive(Clone, Debug, Default)]
struct Trend {
    /// Rates that were told, with the times that they are of.
    told: VecDeque<(f64, f64)>,
}

impl Trend {
    /// The rate at which requests are asked for now.
    ///
    /// What is told is a mean that fades over [`DEMAND_WINDOW`], so two of them tell the rate
    /// between them. What differs from the mean by more than chance is taken to last.
    fn asked(&mut self, of: f64, told: f64, known: &Known) -> f64 {
        let over = known.every.max(TREND_LEAST).as_secs_f64();
        while self.told.get(1).is_some_and(|(at, _)| *at <= of - over) {
            self.told.pop_front();
        }
        let before = self.told.front().copied();
        self.told.push_back((of, told));
        if self.told.len() > PARTS_MOST {
            self.told.pop_front();
        }
        let is_apart = |(at, _): &(f64, f64)| (over..GAP_MOST).contains(&(of - at));
        let Some((at, before)) = before.filter(is_apart) else {
            return told;
        };
        let window = DEMAND_WINDOW.as_secs_f64();
        let faded = (-(of - at) / window).exp();
        let between = (told - before * faded) / (1.0 - faded);
        let chance = TREND_CHANCE * (told / (of - at) + told / (2.0 * window)).sqrt();
        let change = between - told;
        let more = (change.abs() - chance).max(0.0).copysign(change);
        let followed = 1.0 - (-known.age.as_secs_f64() / window).exp();
        (told + more * followed).clamp(told / TREND_MOST, told * TREND_MOST)
    }
}

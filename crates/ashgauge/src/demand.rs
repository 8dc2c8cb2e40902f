//! Demand of callers for a service, by class and team.
//!
//! Each box measures the demand of its own callers and sends it with its load reports.
//! Every box thus knows the sum, and all boxes refuse the same requests when not all can
//! be served.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::class::Class;

/// Hash that stands for a team in messages between boxes.
pub type TeamKey = u32;

/// Hash that stands for a service in messages between boxes.
pub type ServiceKey = u32;

/// Time constant of the demand rates: short enough for a burst to show. The sum over all
/// boxes is steady even if each box has few requests.
pub(crate) const DEMAND_WINDOW: Duration = Duration::from_millis(250);

/// Time constant of the completion rates: about as long as a request takes, since
/// completions vary with what started that much earlier.
pub(crate) const COMPLETION_WINDOW: Duration = Duration::from_secs(1);

/// Largest number of demands in one message; with more teams, the smallest are combined.
const MAX_DEMANDS: usize = 64;

/// Demand of a team up to which it is not sent, in thousandths of a request a second:
/// what remains of one request after two seconds.
const MIN_RATE: u32 = 1;

/// Largest demand or completion rate that is accepted from one box, in thousandths of a
/// request a second: two hundred times a box's share in a fleet of the size that the
/// system is designed for.
const MAX_BOX_RATE: u32 = 1_000_000;

/// Bounds of the work of one request, relative to a typical one: callers state the sizes,
/// and these may be wrong.
const WORK_RANGE: (f64, f64) = (0.1, 8.0);

/// Key of a demand: who asks for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DemandSource {
    /// Service that is requested.
    pub service: ServiceKey,
    /// Priority class of the requests.
    pub class: Class,
    /// Team of the callers; `None` for the combined demand of small teams.
    pub team: Option<TeamKey>,
}

/// Demand of one or more teams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Thousandths of a request a second.
    pub rate: u32,
    /// Work of these requests, in thousandths of a typical request a second.
    pub work: u32,
    /// Teams that are included.
    pub teams: TeamSketch,
}

/// Number of 64-bit words in a [`TeamSketch`].
const SKETCH_WORDS: usize = 8;

/// Sketch that counts distinct teams over all boxes (linear counting): each team sets one
/// bit, chosen by its hash, so that it counts once however many boxes report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSketch([u64; SKETCH_WORDS]);

impl TeamSketch {
    /// Creates a sketch of one team.
    pub fn single(key: TeamKey) -> Self {
        let hash = xxh3_64(&key.to_le_bytes()) as usize;
        let (word, bit) = (hash % SKETCH_WORDS, hash / SKETCH_WORDS);
        let mut words = [0; SKETCH_WORDS];
        words[word] = 1 << (bit % u64::BITS as usize);
        TeamSketch(words)
    }

    /// Returns the union with `others`.
    pub fn union(mut self, others: TeamSketch) -> Self {
        let words = self.0.iter_mut().zip(others.0);
        words.for_each(|(word, other)| *word |= other);
        self
    }

    /// Estimates the number of teams, at least one. The estimate corrects for teams that
    /// share a bit, and is usable up to some 3,000 teams.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::demand::{name_key, TeamSketch};
    ///
    /// let teams = (0..100).map(|n| TeamSketch::single(name_key(&format!("team-{n}"))));
    /// let all = teams.fold(TeamSketch::default(), TeamSketch::union);
    /// assert!((80.0..120.0).contains(&all.count()));
    /// assert_eq!(TeamSketch::single(7).union(TeamSketch::single(7)).count().round(), 1.0);
    /// ```
    pub fn count(self) -> f64 {
        let bits = f64::from(u64::BITS) * SKETCH_WORDS as f64;
        let zero_bits: u32 = self.0.iter().map(|word| word.count_zeros()).sum();
        (bits * (bits / f64::from(zero_bits).max(1.0)).ln()).max(1.0)
    }
}

/// Demands, ordered by [`DemandSource`].
pub type Demands = Vec<(DemandSource, Demand)>;

/// Completed requests in thousandths of one a second, ordered by service.
pub type CompletionRates = Vec<(ServiceKey, u32)>;

/// Requests that callers make, and admitted requests that complete.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Demand of callers.
    pub demands: Demands,
    /// Completion rates of admitted requests.
    #[serde(rename = "ends")]
    pub completions: CompletionRates,
}

/// Returns the hash that stands for a service or a team.
pub fn name_key(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Returns the work of a request relative to a typical one, from the tokens of its prompt
/// and answer: the memory that it occupies, multiplied by the time that its answer takes.
///
/// # Example
///
/// ```
/// use ashgauge::demand::relative_work;
///
/// assert_eq!(relative_work((800, 200), (800, 200)), 1.0);
/// assert!(relative_work((800, 400), (800, 200)) > 2.0);
/// assert!(relative_work((u32::MAX, u32::MAX), (800, 200)) < 10.0);
/// assert!(relative_work((0, 0), (0, 0)) > 0.0);
/// ```
pub fn relative_work(
    (prompt, answer): (u32, u32),
    (typical_prompt, typical_answer): (u32, u32),
) -> f64 {
    let occupancy = |prompt: u32, answer: u32| {
        let (prompt, answer) = (f64::from(prompt), f64::from(answer));
        (prompt + answer / 2.0) * answer
    };
    let typical = occupancy(typical_prompt, typical_answer);
    let (min, max) = WORK_RANGE;
    match typical > 0.0 {
        true => (occupancy(prompt, answer) / typical).clamp(min, max),
        false => 1.0,
    }
}

/// Measures the demand of one box's callers, and its completions.
#[derive(Debug, Default)]
pub struct DemandMeter {
    rates: HashMap<DemandSource, DecayingRate>,
    completions: HashMap<ServiceKey, DecayingRate>,
}

/// Exponentially decaying rates of requests and work a second.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    requests: f64,
    work: f64,
    updated: Duration,
}

impl DecayingRate {
    fn record(&mut self, now: Duration, window: Duration, work: f64) {
        let decay = self.decay(now, window);
        let window = window.as_secs_f64();
        self.requests = self.requests * decay + 1.0 / window;
        self.work = self.work * decay + work / window;
        self.updated = now;
    }

    /// Returns the factor by which the rates have decayed by `now`, with the time
    /// constant `window`.
    fn decay(&self, now: Duration, window: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        (-age / window.as_secs_f64()).exp()
    }

    /// Returns the rates of requests and work, in thousandths a second.
    fn milli_rates(&self, now: Duration, window: Duration) -> (u32, u32) {
        let thousandths = self.decay(now, window) * 1e3;
        let milli = |rate: f64| (rate * thousandths) as u32;
        (milli(self.requests), milli(self.work))
    }
}

impl DemandMeter {
    /// Records a request of a source, with its relative work.
    pub fn record(&mut self, now: Duration, source: DemandSource, work: f64) {
        let rate = self.rates.entry(source).or_default();
        rate.record(now, DEMAND_WINDOW, work);
    }

    /// Records that an admitted request of a service completed.
    pub fn record_completion(&mut self, now: Duration, service: ServiceKey) {
        let rate = self.completions.entry(service).or_default();
        rate.record(now, COMPLETION_WINDOW, 1.0);
    }

    /// Returns the present demands and completion rates, and forgets sources whose demand
    /// has decayed.
    pub fn traffic(&mut self, now: Duration) -> Traffic {
        self.rates
            .retain(|_, rate| rate.milli_rates(now, DEMAND_WINDOW).0 > MIN_RATE);
        let demand = |(source, rate): (&DemandSource, &DecayingRate)| {
            let (rate, work) = rate.milli_rates(now, DEMAND_WINDOW);
            let teams = source.team.map(TeamSketch::single).unwrap_or_default();
            (*source, Demand { rate, work, teams })
        };
        let mut demands: Demands = self.rates.iter().map(demand).collect();
        let completions = self
            .completions
            .iter()
            .map(|(s, rate)| (*s, rate.milli_rates(now, COMPLETION_WINDOW).0));
        let mut completions: CompletionRates = completions.collect();
        demands.sort_unstable_by_key(|(source, _)| *source);
        completions.sort_unstable();
        Traffic {
            demands,
            completions,
        }
    }
}

impl Traffic {
    /// Returns the sum of all traffic.
    pub fn sum<'a>(all: impl Iterator<Item = &'a Traffic>) -> Self {
        let mut demands: BTreeMap<DemandSource, Demand> = BTreeMap::new();
        let mut completions: BTreeMap<ServiceKey, u32> = BTreeMap::new();
        for traffic in all {
            for (source, addend) in &traffic.demands {
                demands.entry(*source).or_default().add(addend);
            }
            for (service, addend) in &traffic.completions {
                let sum = completions.entry(*service).or_default();
                *sum = sum.saturating_add(*addend);
            }
        }
        Traffic {
            demands: demands.into_iter().collect(),
            completions: completions.into_iter().collect(),
        }
    }

    /// Returns this traffic minus `less`, without demands that are then zero.
    pub fn minus(mut self, less: &Traffic) -> Self {
        for (source, less) in &less.demands {
            if let Ok(index) = self.demands.binary_search_by_key(source, |(s, _)| *s) {
                let remaining = &mut self.demands[index].1;
                remaining.rate = remaining.rate.saturating_sub(less.rate);
                remaining.work = remaining.work.saturating_sub(less.work);
            }
        }
        for (service, less) in &less.completions {
            if let Ok(index) = self.completions.binary_search_by_key(service, |(s, _)| *s) {
                let remaining = &mut self.completions[index].1;
                *remaining = remaining.saturating_sub(*less);
            }
        }
        self.demands.retain(|(_, demand)| demand.rate > 0);
        self
    }

    /// Limits all rates to what so many boxes may report: a box with wrong figures must
    /// not outweigh the fleet.
    pub fn clamped(mut self, boxes: u32) -> Self {
        let max_rate = MAX_BOX_RATE.saturating_mul(boxes.max(1));
        for (_, demand) in &mut self.demands {
            demand.rate = demand.rate.min(max_rate);
            demand.work = demand.work.min(max_rate);
        }
        for (_, rate) in &mut self.completions {
            *rate = (*rate).min(max_rate);
        }
        self
    }

    /// Truncates the demands to what one message holds: the largest are kept, and the
    /// others of each class are combined.
    pub fn truncated(mut self) -> Self {
        if self.demands.len() <= MAX_DEMANDS {
            return self;
        }
        // Each class may need one entry for its combined demands.
        let single = MAX_DEMANDS.saturating_sub(self.class_count());
        let demands = &mut self.demands;
        demands.sort_unstable_by_key(|(_, d)| Reverse(d.rate));
        let small = demands.split_off(single.min(MAX_DEMANDS / 2));
        let mut combined: BTreeMap<DemandSource, Demand> = demands.iter().copied().collect();
        for (source, addend) in &small {
            let source = DemandSource {
                team: None,
                ..*source
            };
            combined.entry(source).or_default().add(addend);
        }
        self.demands = combined.into_iter().take(MAX_DEMANDS).collect();
        self
    }

    /// Returns the number of distinct classes over all services. The demands must be
    /// ordered.
    fn class_count(&self) -> usize {
        let is_same_class = |a: &(DemandSource, Demand), b: &(DemandSource, Demand)| {
            (a.0.service, a.0.class) == (b.0.service, b.0.class)
        };
        self.demands.chunk_by(is_same_class).count()
    }

    /// Returns the demands for one service.
    pub fn demands_of(&self, service: ServiceKey) -> Demands {
        let is_of_service = |(source, _): &&(DemandSource, Demand)| source.service == service;
        self.demands.iter().filter(is_of_service).copied().collect()
    }

    /// Returns the requests of a service that complete each second.
    pub fn completion_rate(&self, service: ServiceKey) -> f64 {
        let mut rates = self.completions.iter().filter(|(s, _)| *s == service);
        rates.next().map_or(0.0, |(_, rate)| f64::from(*rate) / 1e3)
    }
}

impl Demand {
    /// Returns the requests a second.
    pub fn rate(&self) -> f64 {
        f64::from(self.rate) / 1e3
    }

    /// Returns the work a second, in typical requests.
    pub fn work(&self) -> f64 {
        f64::from(self.work) / 1e3
    }

    /// Returns this demand multiplied by `factor`. It extends a demand to boxes that were
    /// not heard from, which are assumed to have as much as the others.
    pub fn scaled(&self, factor: f64) -> Self {
        let scale = |rate: u32| (f64::from(rate) * factor) as u32;
        Demand {
            rate: scale(self.rate),
            work: scale(self.work),
            teams: self.teams,
        }
    }

    /// Adds the demand of others.
    pub(crate) fn add(&mut self, other: &Demand) {
        self.rate = self.rate.saturating_add(other.rate);
        self.work = self.work.saturating_add(other.work);
        self.teams = self.teams.union(other.teams);
    }
}

//! How much the callers ask of a service, by class and team.
//!
//! Each box learns what its own callers ask for and tells it with its loads, so that
//! every box knows the sum and all refuse the same requests when not all can be served.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::class::Class;

/// Number that stands for a team in a word.
pub type TeamKey = u32;

/// Number that stands for a service in a word.
pub type ServiceKey = u32;

/// Time over which a rate is learned: a burst shows within it. The sum over all boxes is
/// steady though each has few requests.
const WINDOW: Duration = Duration::from_millis(500);

/// Demands in one word at most; with more teams the smallest are told together.
const TOLD_MOST: usize = 64;

/// Demand of a team that is too little to be told, in thousandths of a mean request a
/// second: a tenth of one request, ten seconds ago.
const TOLD_LEAST: u32 = 1;

/// Least and most work of one request, in usual ones: sizes are what callers say.
const WORK_RANGE: (f64, f64) = (0.1, 8.0);

/// Whose demand it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The service that is asked.
    pub service: ServiceKey,
    /// Priority class of the requests.
    pub class: Class,
    /// Their team; `None` for the teams that are told together.
    pub team: Option<TeamKey>,
}

/// What some teams ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Work that is asked for, in thousandths of a mean request a second.
    pub rate: u32,
    /// Teams that it stands for.
    pub teams: u32,
}

/// Demands, ordered by their sources.
pub type Demands = Vec<(Source, Demand)>;

/// Requests that end, in thousandths of one a second, ordered by their services.
pub type Ends = Vec<(ServiceKey, u32)>;

/// What callers ask for, and what ends.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Flows {
    /// What callers ask for.
    pub demands: Demands,
    /// What ends of that which was let in.
    pub ends: Ends,
}

/// The number that stands for a service or a team.
pub fn key(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Work of a request in usual ones, by the tokens of its prompt and answer: the memory
/// that it holds, for as long as its answer takes.
///
/// # Example
///
/// ```
/// use ashgauge::demand::work;
///
/// assert_eq!(work((800, 200), (800, 200)), 1.0);
/// assert!(work((800, 400), (800, 200)) > 2.0);
/// assert!(work((u32::MAX, u32::MAX), (800, 200)) < 10.0);
/// assert!(work((0, 0), (0, 0)) > 0.0);
/// ```
pub fn work((prompt, answer): (u32, u32), (usual_prompt, usual_answer): (u32, u32)) -> f64 {
    let held = |prompt: u32, answer: u32| {
        let (prompt, answer) = (f64::from(prompt), f64::from(answer));
        (prompt + answer / 2.0) * answer
    };
    let usual = held(usual_prompt, usual_answer);
    let (least, most) = WORK_RANGE;
    match usual > 0.0 {
        true => (held(prompt, answer) / usual).clamp(least, most),
        false => 1.0,
    }
}

/// Least weight of the newest request in the learned mean of work; the first ones weigh
/// as much as each of those before, as a box of a large fleet has few.
const MEAN_LEARN: f64 = 0.02;

/// Learns what the callers of one box ask for.
#[derive(Debug)]
pub struct Meter {
    rates: HashMap<Source, Rate>,
    ends: HashMap<ServiceKey, Rate>,
    /// Mean work of a request: what callers ask for may be far from the usual.
    mean: f64,
    /// Requests that it was learned from.
    noted: u32,
}

impl Default for Meter {
    fn default() -> Self {
        Meter {
            rates: HashMap::new(),
            ends: HashMap::new(),
            mean: 1.0,
            noted: 0,
        }
    }
}

/// Work a second, at a time.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    work: f64,
    at: Duration,
}

impl Rate {
    fn note(&mut self, now: Duration, work: f64) {
        self.work = self.now(now) + work / WINDOW.as_secs_f64();
        self.at = now;
    }

    fn now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.work * (-age / WINDOW.as_secs_f64()).exp()
    }
}

impl Meter {
    /// Notes a request that asks for so much work. Rates count mean requests.
    pub fn note(&mut self, now: Duration, source: Source, work: f64) {
        self.noted = self.noted.saturating_add(1);
        let weight = f64::from(self.noted).recip().max(MEAN_LEARN);
        self.mean += weight * (work - self.mean);
        let rate = self.rates.entry(source).or_default();
        rate.note(now, work / self.mean);
    }

    /// Notes that a request ended that was let in.
    pub fn note_end(&mut self, now: Duration, service: ServiceKey) {
        self.ends.entry(service).or_default().note(now, 1.0);
    }

    /// What is asked for now, and what ends; forgets those who asked for nothing lately.
    pub fn flows(&mut self, now: Duration) -> Flows {
        let thousandths = |rate: &Rate| (rate.now(now) * 1e3) as u32;
        self.rates.retain(|_, rate| thousandths(rate) > TOLD_LEAST);
        let one = |rate| Demand { rate, teams: 1 };
        let demands = self.rates.iter().map(|(s, r)| (*s, one(thousandths(r))));
        let ends = self.ends.iter().map(|(s, r)| (*s, thousandths(r)));
        let (mut demands, mut ends) = (demands.collect::<Demands>(), ends.collect::<Ends>());
        demands.sort_unstable_by_key(|(source, _)| *source);
        ends.sort_unstable();
        Flows { demands, ends }
    }
}

impl Flows {
    /// Adds flows up.
    pub fn sum<'a>(all: impl Iterator<Item = &'a Flows>) -> Self {
        let mut demands: BTreeMap<Source, Demand> = BTreeMap::new();
        let mut ends: BTreeMap<ServiceKey, u32> = BTreeMap::new();
        for flows in all {
            for (source, more) in &flows.demands {
                demands.entry(*source).or_default().add(*source, more);
            }
            for (service, more) in &flows.ends {
                let sum = ends.entry(*service).or_default();
                *sum = sum.saturating_add(*more);
            }
        }
        Flows {
            demands: demands.into_iter().collect(),
            ends: ends.into_iter().collect(),
        }
    }

    /// These flows without those of `less`.
    pub fn without(mut self, less: &Flows) -> Self {
        for (source, less) in &less.demands {
            if let Ok(at) = self.demands.binary_search_by_key(source, |(s, _)| *s) {
                let rest = &mut self.demands[at].1;
                rest.rate = rest.rate.saturating_sub(less.rate);
            }
        }
        for (service, less) in &less.ends {
            if let Ok(at) = self.ends.binary_search_by_key(service, |(s, _)| *s) {
                let rest = &mut self.ends[at].1;
                *rest = rest.saturating_sub(*less);
            }
        }
        self.demands.retain(|(_, demand)| demand.rate > 0);
        self
    }

    /// The part that a word holds: the largest demands, and the others of each class
    /// together.
    pub fn fit(mut self) -> Self {
        if self.demands.len() <= TOLD_MOST {
            return self;
        }
        // Each class may need an entry for its others besides those told singly.
        let single = TOLD_MOST.saturating_sub(self.classes());
        let demands = &mut self.demands;
        demands.sort_unstable_by_key(|(_, d)| Reverse(d.rate));
        let small = demands.split_off(single.min(TOLD_MOST / 2));
        let mut together: BTreeMap<Source, Demand> = demands.iter().copied().collect();
        for (source, more) in &small {
            let source = Source {
                team: None,
                ..*source
            };
            together.entry(source).or_default().add(source, more);
        }
        self.demands = together.into_iter().take(TOLD_MOST).collect();
        self
    }

    /// Classes of all services, where demands are ordered.
    fn classes(&self) -> usize {
        let same = |a: &(Source, Demand), b: &(Source, Demand)| {
            (a.0.service, a.0.class) == (b.0.service, b.0.class)
        };
        self.demands.chunk_by(same).count()
    }

    /// What is asked of one service.
    pub fn demands_of(&self, service: ServiceKey) -> Demands {
        let of = |(source, _): &&(Source, Demand)| source.service == service;
        self.demands.iter().filter(of).copied().collect()
    }

    /// Requests of one service that end each second.
    pub fn ends_of(&self, service: ServiceKey) -> f64 {
        let mut ends = self.ends.iter().filter(|(s, _)| *s == service);
        ends.next().map_or(0.0, |(_, rate)| f64::from(*rate) / 1e3)
    }
}

impl Demand {
    /// Work a second, in mean requests.
    pub fn rate(&self) -> f64 {
        f64::from(self.rate) / 1e3
    }

    /// Adds more of one source; a team is one wherever its callers enter.
    fn add(&mut self, source: Source, more: &Demand) {
        self.rate = self.rate.saturating_add(more.rate);
        self.teams = match source.team {
            Some(_) => 1,
            None => self.teams.saturating_add(more.teams),
        };
    }
}

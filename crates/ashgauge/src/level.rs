//! Admission levels: which requests may start when demand exceeds the engines' capacity.
//!
//! Every box computes the same level from the same load reports: the demand by class and
//! team, and the rate at which requests may start. Classes are admitted in order of
//! urgency until that rate is used up. Within the class that is admitted only in part,
//! each team gets an equal share, and what a team does not use goes to the others. No box
//! decides for the others, and no state is kept: a level ends with the demand that caused
//! it.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use crate::class::Class;
use crate::demand::{Demand, DemandSource, Demands, TeamKey};
use crate::pressure::Pressure;

/// Utilization up to which engines' memory is filled. Request sizes vary: the deviation of the
/// sum of some 180 requests in an engine's memory is 0.08.
const MEMORY_TARGET: f64 = 0.87;

/// Utilization up to which the slots of the first engines are filled. Each request takes one,
/// whatever its size.
const SLOT_TARGET: f64 = 1.0;

/// Utilization below which no level begins. A box that has just started estimates the
/// fleet's demand from its own few requests, and must not refuse any on that basis while the
/// engines are far from full.
const REFUSAL_THRESHOLD: f64 = 0.5;

/// Utilization below which a level ends whatever the demand. If it ended as soon as engines are
/// less full, all waiting callers would be admitted at once and fill them again.
const RELEASE_THRESHOLD: f64 = 0.3;

/// Time within which the requests in flight are brought to the target. In a shorter time the
/// most urgent class is refused though its demand is far below the capacity.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Smallest share of a class's demand for which a team counts on its own.
const MIN_SINGLE_SHARE: f64 = 1.0 / 64.0;

/// Smallest rate of starts, as a share of the completion rate, so that engines do not run
/// empty when the figures about them are wrong.
const MIN_START_SHARE: f64 = 0.1;

/// Bounds of the time after which refused callers are told to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_secs(3), Duration::from_millis(6400));

/// Largest share of a caller's timeout that it is told to wait; from about a third on,
/// callers retry earlier than told.
const RETRY_AFTER_SHARE: f64 = 0.32;

/// Returns the requests a second that may start over all boxes, where `completion_rate`
/// requests complete each second at the present load
/// ([`crate::estimate::Estimate::completion_rate`]). `is_limited` tells that a level is in force.
///
/// # Example
///
/// ```
/// use ashgauge::level::allowed_rate;
/// use ashgauge::pressure::Pressure;
///
/// let pressure = |memory| Pressure { requests: 600.0, memory, slots: 0.1 };
/// assert_eq!(allowed_rate(&pressure(0.4), 300.0, false), f64::INFINITY);
/// assert!(allowed_rate(&pressure(0.4), 300.0, true).is_finite());
/// // There is capacity left: more may start than complete.
/// assert!(allowed_rate(&pressure(0.6), 300.0, true) > 500.0);
/// assert!(allowed_rate(&pressure(1.0), 300.0, true) < 300.0);
/// ```
pub fn allowed_rate(pressure: &Pressure, completion_rate: f64, is_limited: bool) -> f64 {
    let threshold = match is_limited {
        true => RELEASE_THRESHOLD,
        false => REFUSAL_THRESHOLD,
    };
    if pressure.max_share() <= threshold || pressure.requests <= 0.0 {
        return f64::INFINITY;
    }
    // Factor by which the requests in flight may grow.
    let growth = (MEMORY_TARGET / pressure.memory).min(SLOT_TARGET / pressure.slots);
    let adjustment = pressure.requests * (growth - 1.0) / SETTLE_TIME.as_secs_f64();
    // At the target utilization, this many requests complete and may start in the long
    // run.
    let rate = (completion_rate * growth + adjustment).max(completion_rate * MIN_START_SHARE);
    rate * release_factor(pressure.max_share())
}

/// Returns the factor on the allowed rate of a level in force, which rises from 1 at
/// [`REFUSAL_THRESHOLD`] without bound towards [`RELEASE_THRESHOLD`].
fn release_factor(utilization: f64) -> f64 {
    let span = REFUSAL_THRESHOLD - RELEASE_THRESHOLD;
    (span / (utilization - RELEASE_THRESHOLD)).max(1.0)
}

/// Returns the time after which a refused caller is to retry, where `time_left` is how
/// much longer it would wait. `draw` is random from 0 to 1, so that callers that are
/// refused together do not retry together.
///
/// Callers are told to wait for at most about a third of their timeout. An overload
/// mostly lasts longer than a request takes, and most callers retry only once, so they
/// are told to retry late.
///
/// # Example
///
/// ```
/// use ashgauge::level::retry_after;
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// assert!(retry_after(ms(20_000), 0.0) >= ms(3000));
/// assert!(retry_after(ms(20_000), 1.0) < ms(6667));
/// assert!(retry_after(ms(300), 1.0) < ms(100));
/// ```
pub fn retry_after(time_left: Duration, draw: f64) -> Duration {
    let (min_wait, max_wait) = RETRY_AFTER_RANGE;
    let max_wait = max_wait.min(time_left.mul_f64(RETRY_AFTER_SHARE));
    let min_wait = min_wait.min(max_wait / 2);
    min_wait + (max_wait - min_wait).mul_f64(draw.clamp(0.0, 1.0))
}

/// Admission level: which classes and teams are admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionLevel {
    /// Class that is admitted in part. More urgent classes are admitted in full, less
    /// urgent ones not at all.
    pub class: Class,
    /// Work that each team of this class may start, in typical requests a second.
    pub team_limit: f64,
    /// Demands of the teams of this class; the small ones are combined under `None`.
    demands: Vec<(Option<TeamKey>, Demand)>,
}

impl AdmissionLevel {
    /// Computes the level at which `allowed` requests a second start; `None` if all are
    /// admitted.
    ///
    /// Capacity is shared by work, as the requests of one team may be larger than those
    /// of another.
    pub fn new(demands: &Demands, allowed: f64) -> Option<Self> {
        if allowed.is_infinite() {
            return None;
        }
        let sum = |get: fn(&Demand) -> f64| demands.iter().map(|(_, d)| get(d)).sum::<f64>();
        let mean = sum(Demand::work) / sum(Demand::rate).max(f64::MIN_POSITIVE);
        let mut left = allowed * mean;
        let mut by_class = demands.clone();
        by_class.sort_by_key(|(source, _)| source.class);
        for class_demands in by_class.chunk_by(|a, b| a.0.class == b.0.class) {
            let work: f64 = class_demands.iter().map(|(_, demand)| demand.work()).sum();
            if work <= left {
                left -= work;
                continue;
            }
            let demands = group_demands(class_demands);
            return Some(AdmissionLevel {
                class: class_demands[0].0.class,
                team_limit: fair_share(&demands, left),
                demands,
            });
        }
        None
    }

    /// Returns the admitted share of a team's requests of a class, 0 to 1.
    pub fn share(&self, class: Class, team: TeamKey) -> f64 {
        match class.cmp(&self.class) {
            Ordering::Less => 1.0,
            Ordering::Greater => 0.0,
            Ordering::Equal => self.team_share(team),
        }
    }

    fn team_share(&self, team: TeamKey) -> f64 {
        let find = |team| self.demands.iter().find(|(t, _)| *t == team);
        let found = find(Some(team)).or_else(|| find(None));
        // A team that was not reported yet has little demand.
        found.map_or(1.0, |(_, demand)| {
            (self.team_limit * demand.teams.count() / demand.work()).min(1.0)
        })
    }
}

/// Groups the demands of one class by team. Teams with a small demand are combined, as
/// some boxes report them one by one and others do not.
fn group_demands(class_demands: &[(DemandSource, Demand)]) -> Vec<(Option<TeamKey>, Demand)> {
    let work: f64 = class_demands.iter().map(|(_, demand)| demand.work()).sum();
    let mut combined = Demand::default();
    let mut grouped = Vec::new();
    for (source, demand) in class_demands {
        match source.team {
            Some(_) if demand.work() >= work * MIN_SINGLE_SHARE => {
                grouped.push((source.team, *demand));
            }
            _ => combined.add(demand),
        }
    }
    if combined.rate > 0 {
        grouped.push((None, combined));
    }
    grouped
}

/// Returns the max-min fair share of `left` for each team: no team gets more than its
/// demand.
fn fair_share(demands: &[(Option<TeamKey>, Demand)], left: f64) -> f64 {
    let per_team = |demand: &Demand| demand.work() / demand.teams.count();
    let mut sorted: Vec<&Demand> = demands.iter().map(|(_, d)| d).collect();
    sorted.sort_by(|a, b| per_team(a).total_cmp(&per_team(b)));
    let mut teams: f64 = sorted.iter().map(|d| d.teams.count()).sum();
    let mut left = left.max(0.0);
    for demand in sorted {
        let share = left / teams.max(1.0);
        if per_team(demand) >= share {
            return share;
        }
        left -= demand.work();
        teams -= demand.teams.count();
    }
    f64::INFINITY
}

/// Admits the requests of one box according to the level.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    level: Option<AdmissionLevel>,
    since: Duration,
    /// Fractions of a request that each team may still start.
    credits: HashMap<TeamKey, f64>,
}

impl AdmissionGate {
    /// Sets the level; returns whether its class changed.
    pub fn set_level(&mut self, now: Duration, level: Option<AdmissionLevel>) -> bool {
        let class = |level: &Option<AdmissionLevel>| level.as_ref().map(|l| l.class);
        let changed = class(&level) != class(&self.level);
        if changed {
            self.since = now;
            self.credits.clear();
        }
        self.level = level;
        changed
    }

    /// Returns the present level.
    pub fn level(&self) -> Option<&AdmissionLevel> {
        self.level.as_ref()
    }

    /// Returns the time since which the partly admitted class has been the same, or all
    /// classes have been admitted.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Returns whether a request is admitted. `start`, random from 0 to 1, spreads the
    /// first refusals over boxes that have few requests each.
    pub fn admit(&mut self, class: Class, team: TeamKey, start: f64) -> bool {
        let Some(level) = &self.level else {
            return true;
        };
        let share = level.share(class, team);
        if class != level.class {
            return share >= 1.0;
        }
        let credit = self.credits.entry(team).or_insert(start);
        *credit += share;
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }
}

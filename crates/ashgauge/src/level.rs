//! Which requests begin where callers ask for more than the engines can do in time.
//!
//! Every box reckons the same level from the same words: how much is asked for, by class
//! and team, and how much may begin. Classes are let in one after the other until that is
//! used up; of the class at which it is, each team gets an equal part, and what a team
//! does not use goes to the others. No box decides for the others, and nothing is kept:
//! a level ends with the demand that it answers.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use crate::class::Class;
use crate::demand::{Demand, DemandSource, Demands, TeamKey};
use crate::pressure::Pressure;

/// Share of their bounds up to which engines are filled. Sizes vary: of some 180 requests
/// in an engine's memory the deviation of their sum is 0.08.
const TARGET_UTILIZATION: f64 = 0.87;

/// Share of their bounds below which all is let in: a box that has just started reckons
/// the demand of all from its own few requests.
const SHED_THRESHOLD: f64 = 0.5;

/// Time within which requests under way are brought to what the engines can do. With 500 ms
/// the most urgent class was refused at times though its demand was far below that.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Least part of a class's demand with which a team counts singly.
const MIN_SINGLE_SHARE: f64 = 1.0 / 64.0;

/// Least part of what ends that may begin, so that engines do not run empty where what
/// is known of them is wrong.
const MIN_START_SHARE: f64 = 0.1;

/// Time after which refused callers come back.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_secs(3), Duration::from_millis(6400));

/// Part of their time for which callers stay away at most; past a third they ask earlier
/// than they were told.
const RETRY_AFTER_SHARE: f64 = 0.32;

/// Requests a second that may begin over all boxes, where so many end as long as the
/// engines are used as they are ([`crate::estimate::Estimate`]).
///
/// # Example
///
/// ```
/// use ashgauge::level::allowed_rate;
/// use ashgauge::pressure::Pressure;
///
/// let pressure = |memory| Pressure { requests: 600.0, memory, slots: 0.1 };
/// assert_eq!(allowed_rate(&pressure(0.4), 300.0), f64::INFINITY);
/// // There is room left: more may begin than end.
/// assert!(allowed_rate(&pressure(0.6), 300.0) > 500.0);
/// assert!(allowed_rate(&pressure(1.0), 300.0) < 300.0);
/// ```
pub fn allowed_rate(pressure: &Pressure, ends: f64) -> f64 {
    let used = pressure.max_share();
    if used < SHED_THRESHOLD || pressure.requests <= 0.0 {
        return f64::INFINITY;
    }
    let more = pressure.requests * (TARGET_UTILIZATION / used - 1.0) / SETTLE_TIME.as_secs_f64();
    // As many end of those that fill the engines up to their share as may begin for good.
    (ends * TARGET_UTILIZATION / used + more).max(ends * MIN_START_SHARE)
}

/// When a refused caller is to come back that waits so much longer, with a `draw` from 0 to
/// 1 at random, so that those who are refused together do not return together.
///
/// Callers stay away for a third of their time at most. An overload mostly lasts longer
/// than a request does, and most callers ask twice only, so they come back late.
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
pub fn retry_after(patience: Duration, draw: f64) -> Duration {
    let (least, most) = RETRY_AFTER_RANGE;
    let most = most.min(patience.mul_f64(RETRY_AFTER_SHARE));
    let least = least.min(most / 2);
    least + (most - least).mul_f64(draw.clamp(0.0, 1.0))
}

/// Who is let in.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionLevel {
    /// Those of the classes before this one are let in, those behind it are not.
    pub class: Class,
    /// Work a second that each team of this class may begin.
    pub team_limit: f64,
    /// What the teams of this class ask for.
    demands: Vec<(Option<TeamKey>, Demand)>,
}

impl AdmissionLevel {
    /// The level at which so many requests a second begin; `None` if all are let in.
    ///
    /// Room is shared by work, which requests of one team may have more of than others.
    pub fn new(demands: &Demands, allowed: f64) -> Option<Self> {
        if allowed.is_infinite() {
            return None;
        }
        let sum = |of: fn(&Demand) -> f64| demands.iter().map(|(_, d)| of(d)).sum::<f64>();
        let mean = sum(Demand::work) / sum(Demand::rate).max(f64::MIN_POSITIVE);
        let mut left = allowed * mean;
        let mut by_class = demands.clone();
        by_class.sort_by_key(|(source, _)| source.class);
        for same in by_class.chunk_by(|a, b| a.0.class == b.0.class) {
            let asked: f64 = same.iter().map(|(_, demand)| demand.work()).sum();
            if asked <= left {
                left -= asked;
                continue;
            }
            let demands = group_demands(same);
            return Some(AdmissionLevel {
                class: same[0].0.class,
                team_limit: fair_share(&demands, left),
                demands,
            });
        }
        None
    }

    /// Part of a team's requests of this class that are let in, 0 to 1.
    pub fn share(&self, class: Class, team: TeamKey) -> f64 {
        match class.cmp(&self.class) {
            Ordering::Less => 1.0,
            Ordering::Greater => 0.0,
            Ordering::Equal => self.team_share(team),
        }
    }

    fn team_share(&self, team: TeamKey) -> f64 {
        let find = |team| self.demands.iter().find(|(t, _)| *t == team);
        let known = find(Some(team)).or_else(|| find(None));
        // A team of which nothing was told yet has asked for little.
        known.map_or(1.0, |(_, demand)| {
            (self.team_limit * demand.teams.count() / demand.work()).min(1.0)
        })
    }
}

/// What the teams of one class ask for, where those that ask for little count together:
/// some boxes tell them singly and others do not.
fn group_demands(same: &[(DemandSource, Demand)]) -> Vec<(Option<TeamKey>, Demand)> {
    let asked: f64 = same.iter().map(|(_, demand)| demand.work()).sum();
    let mut rest = Demand::default();
    let mut gathered = Vec::new();
    for (source, demand) in same {
        match source.team {
            Some(_) if demand.work() >= asked * MIN_SINGLE_SHARE => {
                gathered.push((source.team, *demand));
            }
            _ => rest.add(demand),
        }
    }
    if rest.rate > 0 {
        gathered.push((None, rest));
    }
    gathered
}

/// The most that each team may get of `left` if none gets more than it asks for.
fn fair_share(demands: &[(Option<TeamKey>, Demand)], left: f64) -> f64 {
    let each = |demand: &Demand| demand.work() / demand.teams.count();
    let mut sorted: Vec<&Demand> = demands.iter().map(|(_, d)| d).collect();
    sorted.sort_by(|a, b| each(a).total_cmp(&each(b)));
    let mut teams: f64 = sorted.iter().map(|d| d.teams.count()).sum();
    let mut left = left.max(0.0);
    for demand in sorted {
        let part = left / teams.max(1.0);
        if each(demand) >= part {
            return part;
        }
        left -= demand.work();
        teams -= demand.teams.count();
    }
    f64::INFINITY
}

/// Lets requests of one box in by the level.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    level: Option<AdmissionLevel>,
    since: Duration,
    /// Parts of a request that each team is owed.
    credits: HashMap<TeamKey, f64>,
}

impl AdmissionGate {
    /// Puts a level in force; returns whether its class changed.
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

    /// The level in force.
    pub fn level(&self) -> Option<&AdmissionLevel> {
        self.level.as_ref()
    }

    /// Since when requests of this class are the last to be let in, or all are.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Whether a request is let in; `start`, from 0 to 1 at random, spreads the first
    /// refusals of boxes that have few requests each.
    pub fn admit(&mut self, class: Class, team: TeamKey, start: f64) -> bool {
        let Some(level) = &self.level else {
            return true;
        };
        let share = level.share(class, team);
        if class != level.class {
            return share >= 1.0;
        }
        let owed = self.credits.entry(team).or_insert(start);
        *owed += share;
        let is_in = *owed >= 1.0;
        if is_in {
            *owed -= 1.0;
        }
        is_in
    }
}

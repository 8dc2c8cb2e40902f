//! Which waiting request goes next: tiers, then weighted fair order by tokens.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::policy::TeamId;

/// A request on one box, unique while the box's process lives.
pub type RequestId = u64;

/// Tokens after which old service counts half in the floor shares.
const FLOOR_WINDOW: f64 = 100_000.0;

/// Weight of the newest gap in the learned drain rate.
const DRAIN_GAIN: f64 = 0.05;

/// One request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// Its team.
    pub team: TeamId,
    /// Order of its tier; 0 goes first.
    pub rank: u32,
    /// The team's share within the tier.
    pub weight: f64,
    /// Estimated tokens.
    pub cost: f64,
    /// When it must be answered.
    pub deadline: Duration,
}

/// Requests waiting for one model or service.
///
/// Teams of a tier are served by start-time fair queueing: each has a virtual
/// start time that grows by cost over weight, and the least goes first.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<u32, Tier>,
    len: usize,
    tokens: f64,
    rate: f64,
    last: Option<Duration>,
}

#[derive(Debug, Default)]
struct Tier {
    teams: BTreeMap<TeamId, Lane>,
    clock: f64,
    served: f64,
    waiting: usize,
}

#[derive(Debug, Default)]
struct Lane {
    start: f64,
    jobs: VecDeque<Job>,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns true if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of the team's waiting requests.
    pub fn team_len(&self, rank: u32, team: &str) -> usize {
        let lane = self.tiers.get(&rank).and_then(|t| t.teams.get(team));
        lane.map_or(0, |l| l.jobs.len())
    }

    /// Adds a request.
    pub fn push(&mut self, job: Job) {
        let tier = self.tiers.entry(job.rank).or_default();
        let clock = tier.clock;
        let lane = tier.teams.entry(job.team.clone()).or_default();
        if lane.jobs.is_empty() {
            lane.start = lane.start.max(clock);
        }
        self.len += 1;
        self.tokens += job.cost;
        tier.waiting += 1;
        lane.jobs.push_back(job);
    }

    /// Puts a request back at the head of its team, as if never taken.
    pub fn unpop(&mut self, job: Job) {
        let tier = self.tiers.entry(job.rank).or_default();
        tier.served -= job.cost;
        tier.waiting += 1;
        let lane = tier.teams.entry(job.team.clone()).or_default();
        lane.start -= job.cost / job.weight;
        self.len += 1;
        self.tokens += job.cost;
        lane.jobs.push_front(job);
    }

    /// Takes the next request of a team that `allowed` lets pass.
    ///
    /// `floors` gives the share of tokens kept for a tier by its rank.
    pub fn pop(
        &mut self,
        now: Duration,
        floors: &HashMap<u32, f64>,
        mut allowed: impl FnMut(&Job) -> bool,
    ) -> Option<Job> {
        for rank in self.order(floors) {
            let tier = self.tiers.get_mut(&rank)?;
            let Some(job) = tier.pop(&mut allowed) else {
                continue;
            };
            self.took(&job);
            self.learn(now, job.cost);
            return Some(job);
        }
        None
    }

    /// Takes out one request that is no longer wanted.
    pub fn remove(&mut self, id: RequestId) -> Option<Job> {
        self.drain_where(|j| j.id == id).pop()
    }

    /// Takes out every request whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Job> {
        self.drain_where(|j| j.deadline <= now)
    }

    /// Corrects a team's virtual time once the true cost is known.
    pub fn settle(&mut self, job: &Job, cost: f64) {
        let Some(tier) = self.tiers.get_mut(&job.rank) else {
            return;
        };
        tier.served += cost - job.cost;
        let clock = tier.clock;
        if let Some(lane) = tier.teams.get_mut(&job.team) {
            lane.start = (lane.start + (cost - job.cost) / job.weight).max(clock);
        }
        tier.forget();
    }

    /// Expected wait of a team's new request, from the drain rate.
    ///
    /// Ahead are the higher tiers, and of its own tier what is served while
    /// the team's own requests are, by its weight.
    pub fn wait(&self, rank: u32, team: &str, weight: f64) -> Duration {
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        let higher: f64 = self.tiers.range(..rank).map(|(_, t)| t.cost()).sum();
        let own = self.tiers.get(&rank).map_or(0.0, |t| t.ahead(team, weight));
        Duration::from_secs_f64(((higher + own) / self.rate).min(3600.0))
    }

    fn order(&self, floors: &HashMap<u32, f64>) -> Vec<u32> {
        let total: f64 = self.tiers.values().map(|t| t.served).sum();
        let mut order = Vec::with_capacity(self.tiers.len());
        let waiting = || self.tiers.iter().filter(|(_, t)| t.waiting > 0);
        for (rank, tier) in waiting().skip(1) {
            let floor = floors.get(rank).copied().unwrap_or(0.0);
            if total > 0.0 && tier.served < floor * total {
                order.push(*rank);
            }
        }
        order.extend(waiting().map(|(r, _)| *r));
        order
    }

    fn took(&mut self, job: &Job) {
        self.len -= 1;
        self.tokens -= job.cost;
        let total: f64 = self.tiers.values().map(|t| t.served).sum();
        if total > FLOOR_WINDOW {
            self.tiers.values_mut().for_each(|t| t.served /= 2.0);
        }
    }

    fn learn(&mut self, now: Duration, cost: f64) {
        let Some(last) = self.last.replace(now) else {
            return;
        };
        let gap = now.saturating_sub(last).as_secs_f64().max(1e-6);
        // An average of gaps, not of rates: bursts would else count too much.
        let gap_per_token = gap / cost.max(1.0);
        let old = if self.rate > 0.0 {
            1.0 / self.rate
        } else {
            gap_per_token
        };
        self.rate = 1.0 / (old + DRAIN_GAIN * (gap_per_token - old)).max(1e-9);
        if self.is_empty() {
            // Idle time says nothing of how fast a backlog would drain.
            self.last = None;
        }
    }

    fn drain_where(&mut self, mut test: impl FnMut(&Job) -> bool) -> Vec<Job> {
        let mut out = Vec::new();
        for tier in self.tiers.values_mut() {
            for lane in tier.teams.values_mut() {
                let jobs = lane.jobs.drain(..);
                let (gone, kept): (Vec<Job>, Vec<Job>) = jobs.partition(|j| test(j));
                lane.jobs = kept.into();
                tier.waiting -= gone.len();
                out.extend(gone);
            }
            tier.forget();
        }
        self.len -= out.len();
        self.tokens -= out.iter().map(|j| j.cost).sum::<f64>();
        out
    }
}

impl Tier {
    fn pop(&mut self, allowed: &mut impl FnMut(&Job) -> bool) -> Option<Job> {
        let mut best: Option<(f64, &TeamId)> = None;
        for (team, lane) in &self.teams {
            let Some(job) = lane.jobs.front() else {
                continue;
            };
            // The name breaks ties, so that equal inputs give equal order.
            let sooner = best.is_none_or(|(s, t)| (lane.start, team) < (s, t));
            if sooner && allowed(job) {
                best = Some((lane.start, team));
            }
        }
        let team = best?.1.clone();
        let lane = self.teams.get_mut(&team)?;
        let job = lane.jobs.pop_front()?;
        self.clock = self.clock.max(lane.start);
        lane.start += job.cost / job.weight;
        self.served += job.cost;
        self.waiting -= 1;
        Some(job)
    }

    /// Cost that is served before a new request of the team.
    fn ahead(&self, team: &str, weight: f64) -> f64 {
        let mut weights = weight;
        let (mut own, mut all) = (0.0, 0.0);
        for (id, lane) in &self.teams {
            let Some(first) = lane.jobs.front() else {
                continue;
            };
            let cost: f64 = lane.jobs.iter().map(|j| j.cost).sum();
            all += cost;
            if **id == *team {
                own = cost;
            } else {
                weights += first.weight;
            }
        }
        // Other teams go on asking while this one waits; as much again is the
        // most that a short look ahead can know.
        (own * weights / weight).min(all * 2.0)
    }

    fn cost(&self) -> f64 {
        let jobs = self.teams.values().flat_map(|l| &l.jobs);
        jobs.map(|j| j.cost).sum()
    }

    /// Drops idle teams whose virtual time is past.
    fn forget(&mut self) {
        let clock = self.clock;
        self.teams
            .retain(|_, l| !l.jobs.is_empty() || l.start > clock);
    }
}

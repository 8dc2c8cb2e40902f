//! Queue of waiting requests: tiers by rank, and weighted fair queueing by tokens among
//! the teams of a tier.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::policy::TeamId;

/// Identifies a request on one box; unique while the box's process lives.
pub type RequestId = u64;

/// Tokens after which the served tokens are halved, so that older service counts less in
/// the floor shares.
const FLOOR_WINDOW_TOKENS: f64 = 100_000.0;

/// Weight of the newest gap in the learned drain rate.
const DRAIN_ALPHA: f64 = 0.05;

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Request.
    pub id: RequestId,
    /// Team of the request.
    pub team: TeamId,
    /// Rank of the team's tier; 0 goes first.
    pub rank: u32,
    /// Weight of the team within its tier.
    pub weight: f64,
    /// Estimated tokens.
    pub cost: f64,
    /// Time by which it must be answered.
    pub deadline: Duration,
}

/// Requests waiting for one model or service.
///
/// Teams of a tier are served by start-time fair queueing: each has a virtual start time
/// that grows by cost over weight, and the team with the smallest goes first.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<u32, Tier>,
    len: usize,
    drain_rate: f64,
    last_pop: Option<Duration>,
}

#[derive(Debug, Default)]
struct Tier {
    teams: BTreeMap<TeamId, TeamQueue>,
    virtual_time: f64,
    served_tokens: f64,
    waiting: usize,
}

#[derive(Debug, Default)]
struct TeamQueue {
    virtual_start: f64,
    jobs: VecDeque<Job>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of a team's waiting requests.
    pub fn team_len(&self, rank: u32, team: &str) -> usize {
        let queue = self.tiers.get(&rank).and_then(|t| t.teams.get(team));
        queue.map_or(0, |q| q.jobs.len())
    }

    /// Adds a request.
    pub fn push(&mut self, job: Job) {
        let tier = self.tiers.entry(job.rank).or_default();
        let virtual_time = tier.virtual_time;
        let queue = tier.teams.entry(job.team.clone()).or_default();
        if queue.jobs.is_empty() {
            queue.virtual_start = queue.virtual_start.max(virtual_time);
        }
        self.len += 1;
        tier.waiting += 1;
        queue.jobs.push_back(job);
    }

    /// Returns a request to the front of its team's queue, as if it had not been popped.
    pub fn push_front(&mut self, job: Job) {
        let tier = self.tiers.entry(job.rank).or_default();
        tier.served_tokens -= job.cost;
        tier.waiting += 1;
        let queue = tier.teams.entry(job.team.clone()).or_default();
        queue.virtual_start -= job.cost / job.weight;
        self.len += 1;
        queue.jobs.push_front(job);
    }

    /// Removes and returns the next request for which `allowed` returns true.
    ///
    /// `floors` holds the share of tokens that is reserved for a tier, by rank.
    pub fn pop(
        &mut self,
        now: Duration,
        floors: &HashMap<u32, f64>,
        mut allowed: impl FnMut(&Job) -> bool,
    ) -> Option<Job> {
        for rank in self.tier_order(floors) {
            let tier = self.tiers.get_mut(&rank)?;
            let Some(job) = tier.pop(&mut allowed) else {
                continue;
            };
            self.account_pop();
            self.update_drain_rate(now, job.cost);
            return Some(job);
        }
        None
    }

    /// Removes one request that is no longer needed.
    pub fn remove(&mut self, id: RequestId) -> Option<Job> {
        self.drain_where(|j| j.id == id).pop()
    }

    /// Removes all requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Job> {
        self.drain_where(|j| j.deadline <= now)
    }

    /// Corrects a team's virtual time once the actual cost is known.
    pub fn correct_cost(&mut self, job: &Job, cost: f64) {
        let Some(tier) = self.tiers.get_mut(&job.rank) else {
            return;
        };
        tier.served_tokens += cost - job.cost;
        let virtual_time = tier.virtual_time;
        if let Some(queue) = tier.teams.get_mut(&job.team) {
            queue.virtual_start =
                (queue.virtual_start + (cost - job.cost) / job.weight).max(virtual_time);
        }
        tier.drop_idle();
    }

    /// Returns the expected wait of a team's new request, from the drain rate.
    ///
    /// Served before it are the requests of higher tiers and, in its own tier, the team's
    /// own requests and what other teams are served meanwhile according to the weights.
    pub fn expected_wait(&self, rank: u32, team: &str, weight: f64) -> Duration {
        if self.drain_rate <= 0.0 {
            return Duration::ZERO;
        }
        let higher: f64 = self.tiers.range(..rank).map(|(_, t)| t.queued_cost()).sum();
        let own = self
            .tiers
            .get(&rank)
            .map_or(0.0, |t| t.cost_ahead(team, weight));
        Duration::from_secs_f64(((higher + own) / self.drain_rate).min(3600.0))
    }

    fn tier_order(&self, floors: &HashMap<u32, f64>) -> Vec<u32> {
        let total: f64 = self.tiers.values().map(|t| t.served_tokens).sum();
        let mut order = Vec::with_capacity(self.tiers.len());
        let waiting = || self.tiers.iter().filter(|(_, t)| t.waiting > 0);
        for (rank, tier) in waiting().skip(1) {
            let floor = floors.get(rank).copied().unwrap_or(0.0);
            if total > 0.0 && tier.served_tokens < floor * total {
                order.push(*rank);
            }
        }
        order.extend(waiting().map(|(r, _)| *r));
        order
    }

    fn account_pop(&mut self) {
        self.len -= 1;
        let total: f64 = self.tiers.values().map(|t| t.served_tokens).sum();
        if total > FLOOR_WINDOW_TOKENS {
            self.tiers.values_mut().for_each(|t| t.served_tokens /= 2.0);
        }
    }

    fn update_drain_rate(&mut self, now: Duration, cost: f64) {
        let Some(last) = self.last_pop.replace(now) else {
            return;
        };
        let gap = now.saturating_sub(last).as_secs_f64().max(1e-6);
        // This averages gaps rather than rates, in which bursts would weigh too much.
        let gap_per_token = gap / cost.max(1.0);
        let mean_gap = if self.drain_rate > 0.0 {
            1.0 / self.drain_rate
        } else {
            gap_per_token
        };
        self.drain_rate = 1.0 / (mean_gap + DRAIN_ALPHA * (gap_per_token - mean_gap)).max(1e-9);
        if self.is_empty() {
            // Idle time does not show how fast a backlog would drain.
            self.last_pop = None;
        }
    }

    fn drain_where(&mut self, mut test: impl FnMut(&Job) -> bool) -> Vec<Job> {
        let mut removed = Vec::new();
        for tier in self.tiers.values_mut() {
            for queue in tier.teams.values_mut() {
                let jobs = queue.jobs.drain(..);
                let (gone, kept): (Vec<Job>, Vec<Job>) = jobs.partition(|j| test(j));
                queue.jobs = kept.into();
                tier.waiting -= gone.len();
                removed.extend(gone);
            }
            tier.drop_idle();
        }
        self.len -= removed.len();
        removed
    }
}

impl Tier {
    fn pop(&mut self, allowed: &mut impl FnMut(&Job) -> bool) -> Option<Job> {
        let mut best: Option<(f64, &TeamId)> = None;
        for (team, queue) in &self.teams {
            let Some(job) = queue.jobs.front() else {
                continue;
            };
            // The name breaks ties, so that equal inputs give an equal order.
            let is_earlier = best.is_none_or(|(s, t)| (queue.virtual_start, team) < (s, t));
            if is_earlier && allowed(job) {
                best = Some((queue.virtual_start, team));
            }
        }
        let team = best?.1.clone();
        let queue = self.teams.get_mut(&team)?;
        let job = queue.jobs.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.virtual_start);
        queue.virtual_start += job.cost / job.weight;
        self.served_tokens += job.cost;
        self.waiting -= 1;
        Some(job)
    }

    /// Returns the cost that is served before a new request of the team.
    fn cost_ahead(&self, team: &str, weight: f64) -> f64 {
        let mut weights = weight;
        let (mut own, mut all) = (0.0, 0.0);
        for (id, queue) in &self.teams {
            let Some(first) = queue.jobs.front() else {
                continue;
            };
            let cost: f64 = queue.jobs.iter().map(|j| j.cost).sum();
            all += cost;
            if **id == *team {
                own = cost;
            } else {
                weights += first.weight;
            }
        }
        // Other teams send more requests while this one waits. This estimate allows them
        // at most as much again as is queued now.
        (own * weights / weight).min(all * 2.0)
    }

    fn queued_cost(&self) -> f64 {
        let jobs = self.teams.values().flat_map(|l| &l.jobs);
        jobs.map(|j| j.cost).sum()
    }

    /// Drops teams that have no requests and whose virtual start time has passed.
    fn drop_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams
            .retain(|_, q| !q.jobs.is_empty() || q.virtual_start > virtual_time);
    }
}

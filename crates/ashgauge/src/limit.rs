//! Rate limits of teams that hold over the whole fleet.
//!
//! Each box owns an equal share of a team's rate. A box whose demand exceeds its share
//! borrows from boxes with less demand, and loans expire by themselves. There is no
//! coordinator, so neither a dead box, a network partition nor an outage of the platform
//! can make the fleet exceed the limit: the lender counts a loan until it has certainly
//! expired, the borrower only until shortly before.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::member::BoxId;
use crate::policy::TeamId;

/// How long a loan is valid, counted by its borrower from before the request.
pub const LOAN_TTL: Duration = Duration::from_secs(2);

/// Margin on top of [`LOAN_TTL`] for clocks that run at different speeds.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);

/// Time between two loan requests for one team.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Seconds of the rate that may be saved up as a burst.
const BURST_SECONDS: f64 = 0.25;

/// Time constant of the learned demand, in seconds.
const DEMAND_WINDOW_SECONDS: f64 = 1.0;

/// Factor on its own demand that a lender keeps for itself.
const RESERVE_FACTOR: f64 = 1.1;

/// Factor on its need that a borrower requests, as some lenders have nothing to lend.
const REQUEST_FACTOR: f64 = 1.25;

/// Team limits of one box: its shares, and its loans in both directions.
#[derive(Debug, Default)]
pub struct TeamLimits {
    teams: BTreeMap<TeamId, TeamState>,
}

#[derive(Debug)]
struct TeamState {
    share: f64,
    lent: HashMap<BoxId, LentRates>,
    borrowed: HashMap<BoxId, Loan>,
    tokens: f64,
    refilled: Duration,
    demand: f64,
    last_demand: Duration,
    last_request: Option<Duration>,
}

/// Rates that one borrower may be using: all loans to it that have not expired, since
/// newer ones may be in transit or lost.
#[derive(Debug, Default)]
struct LentRates {
    loans: Vec<(f64, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    rate: f64,
    until: Duration,
}

impl TeamLimits {
    /// Sets the box's own share of a team's rate, in tokens a second.
    ///
    /// The process before a restart may have lent its share; the share must stay 0 for
    /// [`settle_time`] after a start.
    pub fn set_share(&mut self, now: Duration, team: &TeamId, share: f64) {
        let state = self.entry(now, team);
        state.refill(now);
        state.share = share;
    }

    /// Records the tokens that a new request needs.
    pub fn record_demand(&mut self, now: Duration, team: &TeamId, tokens: f64) {
        self.entry(now, team).add_demand(now, tokens);
    }

    /// Returns whether a request may start now.
    ///
    /// One request may overdraw the balance; the next one waits until that is repaid.
    pub fn has_room(&mut self, now: Duration, team: &TeamId) -> bool {
        let state = self.entry(now, team);
        state.refill(now);
        state.tokens > 0.0
    }

    /// Takes tokens from the balance; a negative number returns them.
    pub fn spend(&mut self, now: Duration, team: &TeamId, tokens: f64) {
        let state = self.entry(now, team);
        state.refill(now);
        state.tokens -= tokens;
    }

    /// Returns the time until a request may start, at the present rate; `None` if the rate is 0.
    pub fn time_to_room(&mut self, now: Duration, team: &TeamId) -> Option<Duration> {
        let state = self.entry(now, team);
        state.refill(now);
        let rate = state.rate(now);
        if rate <= 0.0 {
            return None;
        }
        Some(Duration::from_secs_f64((-state.tokens).max(0.0) / rate))
    }

    /// Returns the rate that this box may use now: what is left of its share, and what it
    /// has borrowed.
    pub fn rate(&self, now: Duration, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |state| state.rate(now))
    }

    /// Returns the rate to request from `lender`, which is one of `lenders` boxes.
    pub fn wanted_rate(&self, now: Duration, team: &str, lender: &str, lenders: usize) -> f64 {
        let Some(state) = self.teams.get(team) else {
            return 0.0;
        };
        let missing = state.demand_rate(now) - state.rate(now);
        let current = state.borrowed.get(lender).filter(|l| now < l.until);
        let additional = missing * REQUEST_FACTOR / lenders.max(1) as f64;
        (current.map_or(0.0, |l| l.rate) + additional).max(0.0)
    }

    /// Returns the teams whose demand exceeds the box's own share and whose next loan
    /// request is due.
    pub fn teams_to_borrow(&mut self, now: Duration) -> Vec<TeamId> {
        let mut due = Vec::new();
        for (id, state) in &mut self.teams {
            let is_waiting = state
                .last_request
                .is_some_and(|at| now < at + REQUEST_INTERVAL);
            if !is_waiting && state.demand_rate(now) > state.own_rate(now) {
                state.last_request = Some(now);
                due.push(id.clone());
            }
        }
        due
    }

    /// Records a loan that was requested at `asked`.
    pub fn record_loan(
        &mut self,
        now: Duration,
        team: &TeamId,
        lender: &BoxId,
        rate: f64,
        asked: Duration,
    ) {
        let state = self.entry(now, team);
        state.refill(now);
        let until = asked + LOAN_TTL;
        state.borrowed.insert(lender.clone(), Loan { rate, until });
    }

    /// Lends a borrower up to `wanted` of the box's own share; returns the rate lent.
    pub fn lend(&mut self, now: Duration, team: &TeamId, borrower: &BoxId, wanted: f64) -> f64 {
        let state = self.entry(now, team);
        state.refill(now);
        state.lend(now, borrower, wanted)
    }

    /// Returns the teams that this box tracks.
    pub fn teams(&self) -> Vec<TeamId> {
        self.teams.keys().cloned().collect()
    }

    /// Drops teams that have been idle for some time.
    pub fn expire(&mut self, now: Duration) {
        let is_idle = |state: &TeamState| {
            now > state.last_demand + LOAN_TTL * 10 && state.lent_rate(now) == 0.0
        };
        self.teams.retain(|_, state| !is_idle(state));
    }

    fn entry(&mut self, now: Duration, team: &TeamId) -> &mut TeamState {
        self.teams.entry(team.clone()).or_insert_with(|| TeamState {
            share: 0.0,
            lent: HashMap::new(),
            borrowed: HashMap::new(),
            tokens: 0.0,
            refilled: now,
            demand: 0.0,
            last_demand: now,
            last_request: None,
        })
    }
}

/// Returns the time after a start in which loans by an earlier process may still be
/// valid.
pub fn settle_time() -> Duration {
    LOAN_TTL + CLOCK_MARGIN
}

impl LentRates {
    fn rate(&self, now: Duration) -> f64 {
        let valid = self.loans.iter().filter(|(_, until)| *until > now);
        valid.map(|(rate, _)| *rate).fold(0.0, f64::max)
    }
}

impl TeamState {
    /// Returns what is left of the box's own share.
    fn own_rate(&self, now: Duration) -> f64 {
        (self.share - self.lent_rate(now)).max(0.0)
    }

    fn rate(&self, now: Duration) -> f64 {
        let valid = self.borrowed.values().filter(|l| now < l.until);
        self.own_rate(now) + valid.map(|l| l.rate).sum::<f64>()
    }

    fn lent_rate(&self, now: Duration) -> f64 {
        self.lent.values().map(|l| l.rate(now)).sum()
    }

    fn demand_rate(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.last_demand).as_secs_f64();
        self.demand * (-idle / DEMAND_WINDOW_SECONDS).exp() / DEMAND_WINDOW_SECONDS
    }

    fn add_demand(&mut self, now: Duration, tokens: f64) {
        self.demand = self.demand_rate(now) * DEMAND_WINDOW_SECONDS + tokens;
        self.last_demand = now;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        let borrowed = self.borrowed.values().map(|l| {
            let end = now.min(l.until);
            l.rate * end.saturating_sub(self.refilled).as_secs_f64()
        });
        let earned = self.own_rate(now) * elapsed + borrowed.sum::<f64>();
        let max_tokens = (self.rate(now) * BURST_SECONDS).max(self.tokens);
        self.tokens = (self.tokens + earned).min(max_tokens);
        self.refilled = now;
        self.borrowed.retain(|_, l| now < l.until);
    }

    fn lend(&mut self, now: Duration, borrower: &BoxId, wanted: f64) -> f64 {
        for lent in self.lent.values_mut() {
            lent.loans.retain(|(_, until)| *until > now);
        }
        self.lent.retain(|_, l| !l.loans.is_empty());
        let others = self.lent.iter().filter(|(id, _)| *id != borrower);
        let lent: f64 = others.map(|(_, l)| l.rate(now)).sum();
        let spare = self.share - self.demand_rate(now) * RESERVE_FACTOR - lent;
        let rate = wanted.min(spare).max(0.0);
        let loan = (rate, now + LOAN_TTL + CLOCK_MARGIN);
        self.lent
            .entry(borrower.clone())
            .or_default()
            .loans
            .push(loan);
        rate
    }
}

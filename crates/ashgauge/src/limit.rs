//! Team limits that hold over the whole fleet.
//!
//! Every box owns an equal share of a team's rate. A box with more demand than
//! its share borrows from boxes with less; a loan runs out by itself. Nobody
//! arbitrates, so neither a dead box, a cut nor an outage of the platform can
//! make the fleet pass the limit: a lender counts a loan until it must have
//! run out, the borrower only until a little before.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::member::BoxId;
use crate::policy::TeamId;

/// How long a loan is valid, counted by its borrower from before it asked.
pub const LOAN_TTL: Duration = Duration::from_secs(2);

/// Allowance on top of [`LOAN_TTL`] for clocks that run at other speeds.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);

/// Time between two asks of one team.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time of rate that may be saved up.
const BURST_S: f64 = 0.25;

/// Span over which demand is learned, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;

/// What a lender keeps beyond its own demand, as a factor.
const RESERVE_FACTOR: f64 = 1.1;

/// What a borrower asks for beyond its need, as some lenders have nothing.
const REQUEST_FACTOR: f64 = 1.25;

/// Limits of one box: its shares, what it lent and what it borrowed.
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

/// What one box may be spending of ours: any loan that has not run out, since
/// newer ones may be on their way or lost.
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
    /// A box that has just started may have lent its share before; it must
    /// leave the share at 0 for [`settle_time`].
    pub fn set_share(&mut self, now: Duration, team: &TeamId, share: f64) {
        let t = self.entry(now, team);
        t.refill(now);
        t.share = share;
    }

    /// Notes tokens that a new request would like to spend.
    pub fn record_demand(&mut self, now: Duration, team: &TeamId, tokens: f64) {
        self.entry(now, team).add_demand(now, tokens);
    }

    /// Returns true if there is room for a request now.
    ///
    /// One request may overdraw; the next waits until that is paid.
    pub fn has_room(&mut self, now: Duration, team: &TeamId) -> bool {
        let t = self.entry(now, team);
        t.refill(now);
        t.tokens > 0.0
    }

    /// Takes tokens; a negative number gives them back.
    pub fn spend(&mut self, now: Duration, team: &TeamId, tokens: f64) {
        let t = self.entry(now, team);
        t.refill(now);
        t.tokens -= tokens;
    }

    /// Time until there is room again, at the present rate.
    pub fn time_to_room(&mut self, now: Duration, team: &TeamId) -> Option<Duration> {
        let t = self.entry(now, team);
        t.refill(now);
        let rate = t.rate(now);
        if rate <= 0.0 {
            return None;
        }
        Some(Duration::from_secs_f64((-t.tokens).max(0.0) / rate))
    }

    /// Rate that this box may spend now: what it has left and has borrowed.
    pub fn rate(&self, now: Duration, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |t| t.rate(now))
    }

    /// Returns what to ask `lender` for, of those of `lenders` boxes.
    pub fn wanted_rate(&self, now: Duration, team: &str, lender: &str, lenders: usize) -> f64 {
        let Some(t) = self.teams.get(team) else {
            return 0.0;
        };
        let missing = t.demand_rate(now) - t.rate(now);
        let has = t.borrowed.get(lender).filter(|l| now < l.until);
        let more = missing * REQUEST_FACTOR / lenders.max(1) as f64;
        (has.map_or(0.0, |l| l.rate) + more).max(0.0)
    }

    /// Returns the teams whose demand passes the box's own share and for which
    /// it is time to ask.
    pub fn teams_to_borrow(&mut self, now: Duration) -> Vec<TeamId> {
        let mut due = Vec::new();
        for (id, t) in &mut self.teams {
            let waits = t.last_request.is_some_and(|at| now < at + REQUEST_INTERVAL);
            if !waits && t.demand_rate(now) > t.own_rate(now) {
                t.last_request = Some(now);
                due.push(id.clone());
            }
        }
        due
    }

    /// Takes over a loan that was asked for at `asked`.
    pub fn record_loan(
        &mut self,
        now: Duration,
        team: &TeamId,
        lender: &BoxId,
        rate: f64,
        asked: Duration,
    ) {
        let t = self.entry(now, team);
        t.refill(now);
        let until = asked + LOAN_TTL;
        t.borrowed.insert(lender.clone(), Loan { rate, until });
    }

    /// Lends a borrower up to `want` of the box's own share.
    pub fn lend(&mut self, now: Duration, team: &TeamId, borrower: &BoxId, want: f64) -> f64 {
        let t = self.entry(now, team);
        t.refill(now);
        t.lend(now, borrower, want)
    }

    /// Teams that this box keeps track of.
    pub fn teams(&self) -> Vec<TeamId> {
        self.teams.keys().cloned().collect()
    }

    /// Forgets teams that have been idle for some time.
    pub fn expire(&mut self, now: Duration) {
        let idle = |t: &TeamState| now > t.last_demand + LOAN_TTL * 10 && t.lent_rate(now) == 0.0;
        self.teams.retain(|_, t| !idle(t));
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

/// Time after a start in which loans of an earlier process may be valid.
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
    /// What is left of the own share.
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
        self.demand * (-idle / DEMAND_WINDOW_S).exp() / DEMAND_WINDOW_S
    }

    fn add_demand(&mut self, now: Duration, tokens: f64) {
        self.demand = self.demand_rate(now) * DEMAND_WINDOW_S + tokens;
        self.last_demand = now;
    }

    fn refill(&mut self, now: Duration) {
        let span = now.saturating_sub(self.refilled).as_secs_f64();
        let borrowed = self.borrowed.values().map(|l| {
            let end = now.min(l.until);
            l.rate * end.saturating_sub(self.refilled).as_secs_f64()
        });
        let gained = self.own_rate(now) * span + borrowed.sum::<f64>();
        let most = (self.rate(now) * BURST_S).max(self.tokens);
        self.tokens = (self.tokens + gained).min(most);
        self.refilled = now;
        self.borrowed.retain(|_, l| now < l.until);
    }

    fn lend(&mut self, now: Duration, borrower: &BoxId, want: f64) -> f64 {
        for lent in self.lent.values_mut() {
            lent.loans.retain(|(_, until)| *until > now);
        }
        self.lent.retain(|_, l| !l.loans.is_empty());
        let others = self.lent.iter().filter(|(id, _)| *id != borrower);
        let taken: f64 = others.map(|(_, l)| l.rate(now)).sum();
        let spare = self.share - self.demand_rate(now) * RESERVE_FACTOR - taken;
        let rate = want.min(spare).max(0.0);
        let part = (rate, now + LOAN_TTL + CLOCK_MARGIN);
        self.lent
            .entry(borrower.clone())
            .or_default()
            .loans
            .push(part);
        rate
    }
}

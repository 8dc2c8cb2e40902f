//! Budget for the recovery of stalled streams, so that an overload does not create
//! further load.
//!
//! Repairs over another chain, resends and checks of engines add load to engines that may
//! be overloaded already. A box earns credits for them with the requests that it admits.
//! The closer the engines are to their capacity, the fewer credits it earns.

use std::time::Duration;

/// Pressure up to which a box earns credits at the full rate: engines below it have time
/// for all checks.
pub const LOW_PRESSURE: f64 = 0.6;

/// Pressure from which a refusal by an engine ends a request that has no second chain.
/// The other engines are as full, and one more send would be refused as well.
pub const HIGH_PRESSURE: f64 = 0.8;

/// Share of the full credit rate that is earned at a pressure of 1.
const MIN_EARNED_SHARE: f64 = 0.1;

/// Credits earned by each request. A quarter of them is for checks: at a pressure of 1
/// that is one check for five requests.
const CREDITS_PER_REQUEST: f64 = 8.0;

/// Credits a second that are earned without requests. This allows one check a second at a
/// pressure of 1. Without pressure it allows six at once, as many as a chain has engines.
const IDLE_CREDIT_RATE: f64 = 40.0;

/// Time constant of the request rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Time for which credits accumulate. Together with [`PRESSURE_TTL`] it makes the second
/// after which a budget is full once the load has gone.
const BURST_TIME: Duration = Duration::from_millis(600);

/// Time for which a pressure value holds. It is computed when requests arrive, and by a
/// periodic task without them.
const PRESSURE_TTL: Duration = Duration::from_millis(400);

/// Shares of the earned credits: for repairs only, for repairs and resends, and for all
/// actions.
const POOL_SHARES: [f64; 3] = [0.5, 0.25, 0.25];

/// Smallest balance that counts as one credit, allowing for rounding errors.
const ONE_CREDIT: f64 = 1.0 - 1e-9;

/// Recovery action for a stalled stream, the most useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Continues a stream that the caller has received in part over another chain.
    Repair,
    /// Sends a request again whose caller has received nothing yet.
    Resend,
    /// Connects to an engine or requests its status.
    Check,
}

impl RecoveryAction {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RecoveryAction::Repair => "repair",
            RecoveryAction::Resend => "resend",
            RecoveryAction::Check => "check",
        }
    }
}

/// Credits of a box for the recovery of one service's stalled streams.
///
/// Some credits are for repairs only, so that checks and resends cannot use up all of
/// them.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::recovery::{RecoveryBudget, RecoveryAction};
///
/// let now = Duration::from_secs(60);
/// let mut budget = RecoveryBudget::default();
/// budget.set_pressure(now, 1.0);
/// assert!(budget.withdraw(now, RecoveryAction::Check));
/// assert!(!budget.withdraw(now, RecoveryAction::Check));
/// assert!(budget.withdraw(now, RecoveryAction::Repair));
/// ```
#[derive(Clone, Debug)]
pub struct RecoveryBudget {
    /// Time at which the pressure was computed, and its value.
    pressure: Option<(Duration, f64)>,
    /// Requests a second.
    request_rate: f64,
    /// Credits left in each pool.
    credits: [f64; POOL_SHARES.len()],
    /// Time up to which credits were accrued.
    updated: Duration,
}

impl Default for RecoveryBudget {
    /// Creates a budget that is as full as it gets without requests.
    fn default() -> Self {
        RecoveryBudget {
            pressure: None,
            request_rate: 0.0,
            credits: POOL_SHARES.map(|share| max_credits(share * IDLE_CREDIT_RATE)),
            updated: Duration::ZERO,
        }
    }
}

impl RecoveryBudget {
    /// Records an admitted request.
    pub fn record_request(&mut self, now: Duration) {
        self.accrue(now);
        self.request_rate += 1.0 / RATE_WINDOW.as_secs_f64();
    }

    /// Sets the pressure on the engines.
    pub fn set_pressure(&mut self, now: Duration, pressure: f64) {
        self.accrue(now);
        // NaN comes from engines of which nothing is known.
        let pressure = if pressure.is_nan() { 1.0 } else { pressure };
        self.pressure = Some((now, pressure.clamp(0.0, 1.0)));
        self.cap_credits();
    }

    /// Returns the pressure, 0 to 1; 0 if it was not set recently.
    pub fn pressure(&self, now: Duration) -> f64 {
        let current = self.pressure.filter(|_| self.is_pressure_current(now));
        current.map_or(0.0, |(_, pressure)| pressure)
    }

    /// Returns whether the pressure was set recently.
    pub fn is_pressure_current(&self, now: Duration) -> bool {
        self.pressure.is_some_and(|(at, _)| now < at + PRESSURE_TTL)
    }

    /// Returns whether there is a credit for an action.
    pub fn has_credit(&mut self, now: Duration, action: RecoveryAction) -> bool {
        self.accrue(now);
        self.pool(action).is_some()
    }

    /// Withdraws one credit for an action; returns false if there is none.
    pub fn withdraw(&mut self, now: Duration, action: RecoveryAction) -> bool {
        self.accrue(now);
        let pool = self.pool(action);
        if let Some(pool) = pool {
            self.credits[pool] = (self.credits[pool] - 1.0).max(0.0);
        }
        pool.is_some()
    }

    /// Returns the pool from which an action is paid: its own, or else that of a less
    /// useful action.
    fn pool(&self, action: RecoveryAction) -> Option<usize> {
        (action as usize..POOL_SHARES.len()).find(|pool| self.credits[*pool] >= ONE_CREDIT)
    }

    /// Adds the credits earned since the last call.
    fn accrue(&mut self, now: Duration) {
        if now <= self.updated {
            return;
        }
        let passed = now - self.updated;
        let windows = passed.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.request_rate *= (-windows).exp();
        let under_pressure = self.time_under_pressure(now);
        let share = earned_share(self.pressure.map_or(0.0, |(_, pressure)| pressure));
        let time = under_pressure.as_secs_f64() * share + (passed - under_pressure).as_secs_f64();
        let earned = self.credit_rate() * time;
        for (credits, share) in self.credits.iter_mut().zip(POOL_SHARES) {
            *credits += earned * share;
        }
        self.updated = now;
        self.cap_credits();
    }

    /// Returns for how much of the time since the last accrual the pressure was valid.
    fn time_under_pressure(&self, now: Duration) -> Duration {
        let set = self.pressure.map_or(Duration::ZERO, |(at, _)| at);
        now.min(set + PRESSURE_TTL).saturating_sub(self.updated)
    }

    /// Returns the credits earned each second without pressure.
    fn credit_rate(&self) -> f64 {
        (self.request_rate * CREDITS_PER_REQUEST).max(IDLE_CREDIT_RATE)
    }

    /// Drops credits beyond the largest balance.
    fn cap_credits(&mut self) {
        let rate = self.credit_rate() * earned_share(self.pressure(self.updated));
        for (credits, share) in self.credits.iter_mut().zip(POOL_SHARES) {
            *credits = credits.min(max_credits(share * rate));
        }
    }
}

/// Returns the share of the full credit rate that is earned at a pressure, 0 to 1.
fn earned_share(pressure: f64) -> f64 {
    let excess = (pressure - LOW_PRESSURE) / (1.0 - LOW_PRESSURE);
    1.0 - excess.clamp(0.0, 1.0) * (1.0 - MIN_EARNED_SHARE)
}

/// Returns the largest balance for a credit rate; at least one credit, as less is of no
/// use.
fn max_credits(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(1.0)
}

/// Returns whether a stream that waits for a credit stops waiting and proceeds without
/// one. It is called at each `interval`, for a stream that may wait for `left` more; `draw`
/// is random from 0 to 1.
///
/// Streams that are interrupted together thus proceed evenly spread over the time that
/// they have left.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::recovery::stops_waiting;
///
/// let ms = Duration::from_millis;
/// // One in twenty proceeds at this call.
/// assert!(stops_waiting(ms(1000), ms(50), 0.04));
/// assert!(!stops_waiting(ms(1000), ms(50), 0.06));
/// assert!(stops_waiting(ms(0), ms(50), 0.99));
/// ```
pub fn stops_waiting(left: Duration, interval: Duration, draw: f64) -> bool {
    left.mul_f64(draw.clamp(0.0, 1.0)) <= interval
}

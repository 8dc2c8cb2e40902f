//! How much a box does for streams that are held up, so that an overload does not make
//! more work of its own.
//!
//! Changes of chain, resends and checks of engines are work for engines that may have too
//! much already. A box earns them with the requests that it lets in, and earns fewer the
//! nearer the engines are to what they can do.

use std::time::Duration;

/// Pressure up to which a box earns the most: engines below it have time for all checks.
pub const LOW_PRESSURE: f64 = 0.6;

/// Pressure from which an engine's refusal ends a request that has no second chain: the
/// other engines are as full, and one more send is refused as well.
pub const HIGH_PRESSURE: f64 = 0.8;

/// Part that a box earns at a pressure of 1.
const MIN_EARNED_SHARE: f64 = 0.1;

/// Uses earned by each request. A quarter is for checks: at a pressure of 1 one for five
/// requests.
const CREDITS_PER_REQUEST: f64 = 8.0;

/// Uses earned each second without requests: a check each second at a pressure of 1, and
/// six at once without it, as many as a chain has engines.
const IDLE_CREDIT_RATE: f64 = 40.0;

/// Time over which requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Time of earnings that may be saved. With [`PRESSURE_TTL`] it makes the second after
/// which an account is full once the load has gone.
const BURST_TIME: Duration = Duration::from_millis(600);

/// Time for which a pressure counts. It is reckoned when requests come, and by a watch
/// without them.
const PRESSURE_TTL: Duration = Duration::from_millis(400);

/// Parts of what is earned: for repairs only, for repairs and resends, for all uses.
const POOL_SHARES: [f64; 3] = [0.5, 0.25, 0.25];

/// What one use takes, without the rounding of sums.
const ONE_CREDIT: f64 = 1.0 - 1e-9;

/// What a box does for a stream that is held up, the most useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Leads a stream of which the caller has a part over another chain.
    Repair,
    /// Sends a request again of which the caller has nothing.
    Resend,
    /// Connects to an engine, or asks it how it is.
    Check,
}

impl RecoveryAction {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RecoveryAction::Repair => "repair",
            RecoveryAction::Resend => "resend",
            RecoveryAction::Check => "check",
        }
    }
}

/// What a box may do for streams of one service that are held up.
///
/// A part is for repairs only, so that none waits for checks or resends.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::recovery::{RecoveryBudget, RecoveryAction};
///
/// let now = Duration::from_secs(60);
/// let mut account = RecoveryBudget::default();
/// account.set_pressure(now, 1.0);
/// assert!(account.withdraw(now, RecoveryAction::Check));
/// assert!(!account.withdraw(now, RecoveryAction::Check));
/// assert!(account.withdraw(now, RecoveryAction::Repair));
/// ```
#[derive(Clone, Debug)]
pub struct RecoveryBudget {
    /// The pressure, and when it was reckoned.
    pressure: Option<(Duration, f64)>,
    /// Requests a second.
    request_rate: f64,
    /// What is left of each part.
    credits: [f64; POOL_SHARES.len()],
    /// Up to when earnings are counted.
    updated: Duration,
}

impl Default for RecoveryBudget {
    /// Makes an account that is full without requests.
    fn default() -> Self {
        RecoveryBudget {
            pressure: None,
            request_rate: 0.0,
            credits: POOL_SHARES.map(|part| max_credits(part * IDLE_CREDIT_RATE)),
            updated: Duration::ZERO,
        }
    }
}

impl RecoveryBudget {
    /// Notes a request that was let in.
    pub fn record_request(&mut self, now: Duration) {
        self.accrue(now);
        self.request_rate += 1.0 / RATE_WINDOW.as_secs_f64();
    }

    /// Sets how near the engines are to what they can do.
    pub fn set_pressure(&mut self, now: Duration, pressure: f64) {
        self.accrue(now);
        // What is no number came from engines of which nothing is known.
        let pressure = if pressure.is_nan() { 1.0 } else { pressure };
        self.pressure = Some((now, pressure.clamp(0.0, 1.0)));
        self.cap_credits();
    }

    /// The pressure, 0 to 1, if it was set a short while ago; else 0.
    pub fn pressure(&self, now: Duration) -> f64 {
        let known = self.pressure.filter(|(at, _)| now < *at + PRESSURE_TTL);
        known.map_or(0.0, |(_, pressure)| pressure)
    }

    /// Whether there is enough for one use.
    pub fn has_credit(&mut self, now: Duration, what: RecoveryAction) -> bool {
        self.accrue(now);
        self.pool(what).is_some()
    }

    /// Takes one use out; returns false if there is not enough for it.
    pub fn withdraw(&mut self, now: Duration, what: RecoveryAction) -> bool {
        self.accrue(now);
        let part = self.pool(what);
        if let Some(part) = part {
            self.credits[part] = (self.credits[part] - 1.0).max(0.0);
        }
        part.is_some()
    }

    /// The part from which a use is taken: its own, else one for less useful ones.
    fn pool(&self, what: RecoveryAction) -> Option<usize> {
        (what as usize..POOL_SHARES.len()).find(|part| self.credits[*part] >= ONE_CREDIT)
    }

    /// Adds what was earned since the last time.
    fn accrue(&mut self, now: Duration) {
        if now <= self.updated {
            return;
        }
        let passed = now - self.updated;
        let counted = passed.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.request_rate *= (-counted).exp();
        let pressed = self.time_under_pressure(now);
        let part = earned_share(self.pressure.map_or(0.0, |(_, pressure)| pressure));
        let time = pressed.as_secs_f64() * part + (passed - pressed).as_secs_f64();
        let earned = self.credit_rate() * time;
        for (saved, part) in self.credits.iter_mut().zip(POOL_SHARES) {
            *saved += earned * part;
        }
        self.updated = now;
        self.cap_credits();
    }

    /// How much of the time since the last earnings the pressure counted.
    fn time_under_pressure(&self, now: Duration) -> Duration {
        let set = self.pressure.map_or(Duration::ZERO, |(at, _)| at);
        now.min(set + PRESSURE_TTL).saturating_sub(self.updated)
    }

    /// Uses earned each second without pressure.
    fn credit_rate(&self) -> f64 {
        (self.request_rate * CREDITS_PER_REQUEST).max(IDLE_CREDIT_RATE)
    }

    /// Drops what is more than may be saved.
    fn cap_credits(&mut self) {
        let earned = self.credit_rate() * earned_share(self.pressure(self.updated));
        for (saved, part) in self.credits.iter_mut().zip(POOL_SHARES) {
            *saved = saved.min(max_credits(part * earned));
        }
    }
}

/// Part that is earned at a pressure, 0 to 1.
fn earned_share(pressure: f64) -> f64 {
    let over = (pressure - LOW_PRESSURE) / (1.0 - LOW_PRESSURE);
    1.0 - over.clamp(0.0, 1.0) * (1.0 - MIN_EARNED_SHARE)
}

/// What may be saved of so much a second; one in any case, as less is of no use.
fn max_credits(earned: f64) -> f64 {
    (earned * BURST_TIME.as_secs_f64()).max(1.0)
}

/// Whether a stream that cannot go on otherwise does without what it waits for, at one of
/// its looks, if it may wait for `left` more; `draw` is from 0 to 1 at random.
///
/// Streams that are cut off together end their waits evenly over the time that they have.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::recovery::stops_waiting;
///
/// let ms = Duration::from_millis;
/// // One in twenty goes updated this look.
/// assert!(stops_waiting(ms(1000), ms(50), 0.04));
/// assert!(!stops_waiting(ms(1000), ms(50), 0.06));
/// assert!(stops_waiting(ms(0), ms(50), 0.99));
/// ```
pub fn stops_waiting(left: Duration, every: Duration, draw: f64) -> bool {
    left.mul_f64(draw.clamp(0.0, 1.0)) <= every
}

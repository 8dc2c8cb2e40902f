//! Decides when a stream has been silent for so long that its engines are checked.

use std::time::Duration;

/// Weight of the newest gap in the mean time between a stream's events.
const GAP_ALPHA: f64 = 0.2;

/// Multiple of a stream's mean event gap after which it counts as silent.
///
/// With 1.6 and a shortest silence of 60 ms, losses were found after 85 ms instead of 152
/// ms, according to the boxes' logs. The pauses stayed as long, as engines were
/// processing prompts again, and engines that were only slow were checked eighteen times
/// as often.
const GAP_FACTOR: f64 = 2.5;

/// Largest number of doublings of the time between checks.
const MAX_DOUBLINGS: u32 = 5;

/// Timer for the silence of a stream.
///
/// # Example
///
/// ```
/// use ashgauge::silence::SilenceTimer;
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut silence = SilenceTimer::new(ms(0));
/// assert_eq!(silence.next_check(ms(250), ms(100)), ms(250));
/// silence.record_event(ms(90));
/// silence.record_event(ms(190));
/// assert_eq!(silence.next_check(ms(250), ms(100)), ms(190 + 250));
/// silence.record_check();
/// assert_eq!(silence.next_check(ms(250), ms(100)), ms(190 + 500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SilenceTimer {
    /// Time of the last event, or of the last reset.
    last_event: Duration,
    /// Learned time between two events in seconds; none before the second event.
    event_gap: Option<f64>,
    /// Whether an event has arrived.
    started: bool,
    /// Checks of the engines since the last event.
    checks: u32,
}

impl SilenceTimer {
    /// Creates the timer of a stream without events.
    pub fn new(now: Duration) -> Self {
        SilenceTimer {
            last_event: now,
            event_gap: None,
            started: false,
            checks: 0,
        }
    }

    /// Records an event.
    pub fn record_event(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_event).as_secs_f64();
        if self.started {
            let mean = self.event_gap.unwrap_or(gap);
            self.event_gap = Some(mean + GAP_ALPHA * (gap - mean));
        }
        self.started = true;
        self.reset(now);
    }

    /// Restarts the silence at `now`, as the stream was moved to another chain.
    pub fn reset(&mut self, now: Duration) {
        self.last_event = now;
        self.checks = 0;
    }

    /// Records that the engines are being checked.
    pub fn record_check(&mut self) {
        self.checks += 1;
    }

    /// Returns the time of the last event.
    pub fn last_event(&self) -> Duration {
        self.last_event
    }

    /// Returns the learned time between two events in seconds; 0 if unknown.
    pub fn event_gap(&self) -> f64 {
        self.event_gap.unwrap_or(0.0)
    }

    /// Returns when the engines are to be checked. `first` is the shortest silence before
    /// the first event, `min_silence` that between two events. The time doubles with each
    /// check that finds no fault, since the cause is then one that checks cannot find, such
    /// as long prompts.
    pub fn next_check(&self, first: Duration, min_silence: Duration) -> Duration {
        let min_silence = if self.started { min_silence } else { first };
        let silence = Duration::from_secs_f64(self.event_gap() * GAP_FACTOR).max(min_silence);
        self.last_event + silence * 2u32.pow(self.checks.min(MAX_DOUBLINGS))
    }

    /// Like [`SilenceTimer::next_check`], but one of the checks comes after a silence of
    /// `max_silence`, unless the first check is later than that: after a long `first`, the
    /// doubled time would be far too late.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::silence::SilenceTimer;
    /// use std::time::Duration;
    ///
    /// let ms = Duration::from_millis;
    /// let mut silence = SilenceTimer::new(ms(0));
    /// assert_eq!(silence.next_check_within(ms(800), ms(100), ms(1300)), ms(800));
    /// silence.record_check();
    /// assert_eq!(silence.next_check_within(ms(800), ms(100), ms(1300)), ms(1300));
    /// ```
    pub fn next_check_within(
        &self,
        first: Duration,
        min_silence: Duration,
        max_silence: Duration,
    ) -> Duration {
        let check = self.next_check(first, min_silence);
        let checks = self.checks.saturating_sub(1);
        let previous = SilenceTimer { checks, ..*self }.next_check(first, min_silence);
        let latest = self.last_event + max_silence;
        match previous < latest {
            true => check.min(latest),
            false => check,
        }
    }
}

/// Returns how long to wait for the head of an answer before the engines are checked
/// again: twice the `last` time, but not past `max_wait` in total, of which `waited` has
/// passed.
///
/// When waits could double past `max_wait`, sends whose answer was lost were given up after
/// 1.75 s instead of 1.3 s; callers leave after two.
///
/// # Example
///
/// ```
/// use ashgauge::silence::next_wait;
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// assert_eq!(next_wait(ms(250), ms(250), ms(1300)), ms(500));
/// assert_eq!(next_wait(ms(500), ms(760), ms(1300)), ms(540));
/// ```
pub fn next_wait(last: Duration, waited: Duration, max_wait: Duration) -> Duration {
    (last * 2).min(max_wait.saturating_sub(waited))
}

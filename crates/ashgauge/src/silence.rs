//! When a stream has been silent for so long that its engines are checked.

use std::time::Duration;

/// Weight of the newest pause in a stream's pace.
const GAP_WEIGHT: f64 = 0.2;

/// A stream counts as silent after this multiple of its own pace.
///
/// At 1.6 and a least silence of 60 ms losses were found after 85 ms, not 152 (by
/// the boxes' lines), but the pauses stayed as long, as engines were reading
/// anew; engines that are only slow were asked eighteen times as often.
const GAP_FACTOR: f64 = 2.5;

/// Doublings of the time between checks at most.
const MAX_DOUBLINGS: u32 = 5;

/// What is known of a stream's silence.
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
    /// When something last came, or a repair began to count anew.
    last_event: Duration,
    /// Learned time between two pieces, in seconds; nothing before the second.
    event_gap: Option<f64>,
    /// Whether a piece has come.
    started: bool,
    /// Checks of the engines since something last came.
    checks: u32,
}

impl SilenceTimer {
    /// A stream of which nothing has come yet.
    pub fn new(now: Duration) -> Self {
        SilenceTimer {
            last_event: now,
            event_gap: None,
            started: false,
            checks: 0,
        }
    }

    /// Notes that a piece came.
    pub fn record_event(&mut self, now: Duration) {
        let pause = (now - self.last_event).as_secs_f64();
        if self.started {
            let pace = self.event_gap.unwrap_or(pause);
            self.event_gap = Some(pace + GAP_WEIGHT * (pause - pace));
        }
        self.started = true;
        self.reset(now);
    }

    /// Counts the silence from now on, as the stream was led elsewhere.
    pub fn reset(&mut self, now: Duration) {
        self.last_event = now;
        self.checks = 0;
    }

    /// Notes that a check of the engines found nothing.
    pub fn record_check(&mut self) {
        self.checks += 1;
    }

    /// When something last came.
    pub fn last_event(&self) -> Duration {
        self.last_event
    }

    /// Learned time between two pieces, in seconds; 0 if it is not known.
    pub fn event_gap(&self) -> f64 {
        self.event_gap.unwrap_or(0.0)
    }

    /// When the engines are to be checked; `first` is the least silence before
    /// the first piece, `least` that between two. It doubles with each check in
    /// vain: the cause is none that a check finds, such as long prompts.
    pub fn next_check(&self, first: Duration, least: Duration) -> Duration {
        let least = if self.started { least } else { first };
        let silence = Duration::from_secs_f64(self.event_gap() * GAP_FACTOR).max(least);
        self.last_event + silence * 2u32.pow(self.checks.min(MAX_DOUBLINGS))
    }

    /// As [`SilenceTimer::next_check`], but one of the checks comes after a silence of `most`, if the
    /// first comes no later: after a long `first` the next would come late by far.
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
    pub fn next_check_within(&self, first: Duration, least: Duration, most: Duration) -> Duration {
        let due = self.next_check(first, least);
        let checks = self.checks.saturating_sub(1);
        let before = SilenceTimer { checks, ..*self }.next_check(first, least);
        let end = self.last_event + most;
        match before < end {
            true => due.min(end),
            false => due,
        }
    }
}

/// How long to wait for the head of an answer before the engines are looked at
/// again: twice as long as the `last` time, but not past `most` in all, of which
/// so much has been `waited`.
///
/// A wait that doubled past `most` gave up sends whose answer was lost after
/// 1.75 s, not 1.3 s; callers leave after two.
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
pub fn next_wait(last: Duration, waited: Duration, most: Duration) -> Duration {
    (last * 2).min(most.saturating_sub(waited))
}

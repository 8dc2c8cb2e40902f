//! How far a stream has come, and whether it ends before an engine does.

use std::time::Duration;

/// How far a stream has come.
///
/// # Example
///
/// ```
/// use ashgauge::progress::Progress;
/// use std::time::Duration;
///
/// // 20 of 40 events are time_left, at 25 ms each.
/// let progress = Progress { answer_tokens: 200, events: 20, event_gap: 0.025 };
/// assert_eq!(progress.time_left(5), Duration::from_millis(500));
/// assert!(progress.ends_within(5, Duration::from_secs(3)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Tokens of the whole answer, as the caller expects.
    pub answer_tokens: u32,
    /// Events that have come.
    pub events: u64,
    /// Learned time between two events, in seconds.
    pub event_gap: f64,
}

impl Progress {
    /// Time until the answer's end, if each event holds so many tokens.
    pub fn time_left(&self, event_tokens: u32) -> Duration {
        let events = f64::from(self.answer_tokens) / f64::from(event_tokens.max(1));
        let missing = (events - self.events as f64).max(0.0);
        Duration::from_secs_f64(missing * self.event_gap)
    }

    /// Whether the stream ends by itself within `time`, so that it need not be
    /// led away from an engine that serves for as long.
    ///
    /// Leading a stream around an engine reads all its tokens anew on others,
    /// and many at once wait for each other: pauses of 210 to 370 ms for 158
    /// streams after a planned move of two engines, by the boxes' lines. An
    /// event was taken for one token there, and left all of them on the way.
    pub fn ends_within(&self, event_tokens: u32, time: Duration) -> bool {
        self.time_left(event_tokens) < time
    }
}

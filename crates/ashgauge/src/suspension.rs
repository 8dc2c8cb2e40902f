//! Detection of times for which the machine was suspended.
//!
//! While a machine is suspended, its monotonic clock stops, and so do all timers based on it,
//! but the box's data still becomes outdated. So the box uses a clock that includes
//! suspensions, and regularly checks whether the two clocks have diverged.

use std::time::Duration;

/// Minimum difference between the clocks that counts as a suspension: much more than two
/// consecutive clock reads take.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Compares the monotonic clock with one that includes suspensions.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::suspension::SuspensionDetector;
///
/// let second = Duration::from_secs(1);
/// let mut detector = SuspensionDetector::new(second * 5, second * 100);
/// assert_eq!(detector.check(second * 6, second * 101), None);
/// assert_eq!(detector.check(second * 7, second * 105), Some(second * 3));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    monotonic: Duration,
    boottime: Duration,
}

impl SuspensionDetector {
    /// Creates a detector with first readings of the monotonic clock and of the clock that
    /// includes suspensions.
    pub fn new(monotonic: Duration, boottime: Duration) -> Self {
        SuspensionDetector {
            monotonic,
            boottime,
        }
    }

    /// Returns how long the machine was suspended since the last check, if it was.
    pub fn check(&mut self, monotonic: Duration, boottime: Duration) -> Option<Duration> {
        let ran = monotonic.saturating_sub(self.monotonic);
        let elapsed = boottime.saturating_sub(self.boottime);
        *self = SuspensionDetector {
            monotonic,
            boottime,
        };
        let suspended = elapsed.saturating_sub(ran);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

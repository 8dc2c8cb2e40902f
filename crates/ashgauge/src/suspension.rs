//! Times for which the machine was suspended.
//!
//! A suspended machine's steady clock stands still, and so do all timers that go by it;
//! what a box knows grows old all the same. The box goes by a clock that counts such
//! times, and looks now and then whether the two went apart.

use std::time::Duration;

/// Difference between the clocks from which on the machine was suspended: far more than
/// two reads one after the other take.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Compares the steady clock with one that counts suspensions.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::suspension::SuspensionDetector;
///
/// let second = Duration::from_secs(1);
/// let mut suspension = SuspensionDetector::new(second * 5, second * 100);
/// assert_eq!(suspension.check(second * 6, second * 101), None);
/// assert_eq!(suspension.check(second * 7, second * 105), Some(second * 3));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    monotonic: Duration,
    boottime: Duration,
}

impl SuspensionDetector {
    /// Begins at a reading of the steady clock, and one of the clock that counts all.
    pub fn new(steady: Duration, whole: Duration) -> Self {
        SuspensionDetector {
            monotonic: steady,
            boottime: whole,
        }
    }

    /// How long the machine was suspended since the last look, if it was.
    pub fn check(&mut self, steady: Duration, whole: Duration) -> Option<Duration> {
        let ran = steady.saturating_sub(self.monotonic);
        let passed = whole.saturating_sub(self.boottime);
        *self = SuspensionDetector {
            monotonic: steady,
            boottime: whole,
        };
        let stood = passed.saturating_sub(ran);
        (stood >= MIN_SUSPENSION).then_some(stood)
    }
}

//! How long requests take until they end.

use std::time::Duration;

/// Weight of the newest request in the mean, and in the mean deviation.
const MEAN_ALPHA: f64 = 0.125;
const DEVIATION_ALPHA: f64 = 0.25;

/// Number of mean deviations above the mean within which nearly all requests end.
const DEVIATIONS: f64 = 3.0;

/// Mean time that requests take until they end, and its mean deviation, learned as the round-trip
/// time of a connection is (RFC 6298).
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::completion_time::CompletionTime;
///
/// let mut time = CompletionTime::default();
/// assert_eq!(time.upper(), None);
/// (0..50).for_each(|_| time.record(Duration::from_secs(2)));
/// assert!(time.upper() < Some(Duration::from_millis(2010)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CompletionTime {
    /// Mean and mean deviation, in seconds; `None` before the first request.
    learned: Option<(f64, f64)>,
}

impl CompletionTime {
    /// Records the time that a successful request took.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let (mean, deviation) = self.learned.unwrap_or((took, took / 2.0));
        let error = took - mean;
        self.learned = Some((
            mean + MEAN_ALPHA * error,
            deviation + DEVIATION_ALPHA * (error.abs() - deviation),
        ));
    }

    /// Returns the time within which nearly all requests end; `None` if none has ended yet.
    pub fn upper(&self) -> Option<Duration> {
        let (mean, deviation) = self.learned?;
        Some(Duration::from_secs_f64(mean + DEVIATIONS * deviation))
    }
}

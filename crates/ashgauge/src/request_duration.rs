//! Duration of requests on the upstreams of a service.

use std::time::Duration;

/// Weight of the newest request in the mean.
const ALPHA: f64 = 0.05;

/// Duration that is assumed until the first request has ended: answers in the target
/// deployments take 1.7 to 2.9 s.
const INITIAL_DURATION: Duration = Duration::from_secs(2);

/// Mean time from the arrival of a request to its end.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::request_duration::RequestDuration;
///
/// let mut duration = RequestDuration::default();
/// assert_eq!(duration.mean(), Duration::from_secs(2));
/// (0..200).for_each(|_| duration.record(Duration::from_secs(1)));
/// assert!(duration.mean() < Duration::from_millis(1010));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RequestDuration(f64);

impl Default for RequestDuration {
    fn default() -> Self {
        RequestDuration(INITIAL_DURATION.as_secs_f64())
    }
}

impl RequestDuration {
    /// Records the duration of a successful request.
    pub fn record(&mut self, took: Duration) {
        self.0 += ALPHA * (took.as_secs_f64() - self.0);
    }

    /// Returns the mean duration.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.0)
    }
}

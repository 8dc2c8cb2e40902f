//! How long requests stay on a service's upstreams.

use std::time::Duration;

/// Weight of the newest request in the learned time.
const ALPHA: f64 = 0.05;

/// Time that is assumed before the first request has ended: the users' answers
/// take 1.7 to 2.9 s.
const INITIAL_DURATION: Duration = Duration::from_secs(2);

/// Learned time from a request's arrival to its end.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::request_duration::RequestDuration;
///
/// let mut stay = RequestDuration::default();
/// assert_eq!(stay.mean(), Duration::from_secs(2));
/// (0..200).for_each(|_| stay.record(Duration::from_secs(1)));
/// assert!(stay.mean() < Duration::from_millis(1010));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RequestDuration(f64);

impl Default for RequestDuration {
    fn default() -> Self {
        RequestDuration(INITIAL_DURATION.as_secs_f64())
    }
}

impl RequestDuration {
    /// Notes that a request ended well after this time.
    pub fn record(&mut self, took: Duration) {
        self.0 += ALPHA * (took.as_secs_f64() - self.0);
    }

    /// The learned time.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.0)
    }
}

//! Schedules retries of callers to a service whose upstreams accept no more requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::routing::ServiceId;

/// Longest time that a caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Times at which callers were told to retry, by service.
///
/// If all callers were told the same time, they would retry together and most would be
/// refused again. Instead each gets a time of its own, at the rate at which the upstreams
/// accept requests.
///
/// # Example
///
/// ```
/// use ashgauge::permit::RetrySchedule;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut schedule = RetrySchedule::default();
/// assert_eq!(schedule.retry_after(second, &"notes".into(), second, 2.0), second * 3 / 2);
/// assert_eq!(schedule.retry_after(second, &"notes".into(), second, 2.0), second * 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    next_retry: HashMap<ServiceId, Duration>,
}

impl RetrySchedule {
    /// Returns the time after which a caller is to retry. The upstreams accept nothing
    /// for `wait`, and then `rate` requests a second of those that this box refuses.
    pub fn retry_after(
        &mut self,
        now: Duration,
        service: &ServiceId,
        wait: Duration,
        rate: f64,
    ) -> Duration {
        let gap = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER);
        let next = self.next_retry.entry(service.clone()).or_default();
        let retry_at = (*next).max(now + wait) + gap.min(MAX_RETRY_AFTER);
        *next = retry_at.min(now + MAX_RETRY_AFTER);
        *next - now
    }
}

//! When callers come back to a service whose upstreams take no more requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::routing::ServiceId;

/// Longest time that a caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Turns that callers were told to come back at, by service.
///
/// Told the same time, all would come back together and most be refused again; each gets
/// a turn of its own, as fast as the upstreams take requests.
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
    next: HashMap<ServiceId, Duration>,
}

impl RetrySchedule {
    /// Time after which a caller comes back where nothing is taken for `wait`, and then
    /// `rate` requests a second of those that this box refuses.
    pub fn retry_after(
        &mut self,
        now: Duration,
        service: &ServiceId,
        wait: Duration,
        rate: f64,
    ) -> Duration {
        let gap = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER);
        let next = self.next.entry(service.clone()).or_default();
        let turn = (*next).max(now + wait) + gap.min(MAX_RETRY_AFTER);
        *next = turn.min(now + MAX_RETRY_AFTER);
        *next - now
    }
}

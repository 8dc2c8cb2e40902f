//! How much time a request has left until it is late, and the priority that it gets from
//! this at the engines.

use std::time::Duration;

/// Time that a request has left until it is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slack {
    /// The stream has begun and its caller waits for the next event: a short pause already
    /// makes it late.
    Streaming,
    /// The answer may still arrive within its target latency.
    OnTime,
    /// The answer will be late in any case, but is still wanted.
    Late,
}

/// Minimum share of a route's timeout that callers wait for a first attempt. Their own
/// timeouts differ from it by up to a seventh, and a caller that was refused stays away for
/// at least as long.
const MIN_WAIT_SHARE: f64 = 0.85;

/// Returns whether a caller that waits for `time_left` more has made the request before.
///
/// # Example
///
/// ```
/// use ashgauge::slack::is_retry;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// assert!(!is_retry(second * 18, second * 20));
/// assert!(is_retry(second * 16, second * 20));
/// ```
pub fn is_retry(time_left: Duration, timeout: Duration) -> bool {
    time_left < timeout.mul_f64(MIN_WAIT_SHARE)
}

impl Slack {
    /// Returns the slack of a request whose caller waits for the first event and has
    /// `time_left` of `timeout`; a caller that retries has used up the rest.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::slack::Slack;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let (timeout, target) = (second * 20, second / 2);
    /// assert_eq!(Slack::before_first_event(timeout, timeout, target), Slack::OnTime);
    /// assert_eq!(Slack::before_first_event(second * 18, timeout, target), Slack::Late);
    /// ```
    pub fn before_first_event(
        time_left: Duration,
        timeout: Duration,
        target_latency: Duration,
    ) -> Self {
        match timeout.saturating_sub(time_left) >= target_latency {
            true => Slack::Late,
            false => Slack::OnTime,
        }
    }
}

/// Returns the priority of a request at the engines, 0 first, from its own `priority` and
/// its slack.
///
/// A late request goes behind those of its priority that are not late, level with the next
/// priority, as it loses nothing more by waiting. A stream that has begun goes before them,
/// except at priority 0, as a short pause already makes it late.
///
/// # Example
///
/// ```
/// use ashgauge::slack::{engine_priority, Slack};
///
/// assert!(engine_priority(1, Slack::Streaming) < engine_priority(1, Slack::OnTime));
/// assert!(engine_priority(1, Slack::OnTime) < engine_priority(1, Slack::Late));
/// assert!(engine_priority(1, Slack::Late) < engine_priority(3, Slack::OnTime));
/// ```
pub fn engine_priority(priority: u32, slack: Slack) -> u32 {
    match slack {
        Slack::Streaming => priority.saturating_sub(1),
        Slack::OnTime => priority,
        Slack::Late => priority.saturating_add(1),
    }
}

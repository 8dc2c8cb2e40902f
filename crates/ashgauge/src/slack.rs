//! How much time a request has until it is late, and what follows for its order
//! at the engines.

use std::time::Duration;

/// How a request stands against its aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slack {
    /// Its caller has a part of the answer and waits for the next event: late
    /// after a pause that is nearly over.
    Streaming,
    /// It may still be in time.
    OnTime,
    /// It is late whatever is done, but its answer is still wanted.
    Late,
}

/// Least part of a route's time that callers wait for a first attempt: their own limits
/// differ by up to a seventh of it, and who was refused stays away for as long or longer.
const MIN_FIRST_PATIENCE: f64 = 0.85;

/// Whether a caller who waits so much longer has made the request before.
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
pub fn is_retry(patience: Duration, timeout: Duration) -> bool {
    patience < timeout.mul_f64(MIN_FIRST_PATIENCE)
}

impl Slack {
    /// How a request stands whose caller waits for its first event, of `patience`
    /// left of `timeout`: a caller who comes back has used up the rest.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::slack::Slack;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let (timeout, aim) = (second * 20, second / 2);
    /// assert_eq!(Slack::before_first_event(timeout, timeout, aim), Slack::OnTime);
    /// assert_eq!(Slack::before_first_event(second * 18, timeout, aim), Slack::Late);
    /// ```
    pub fn before_first_event(patience: Duration, timeout: Duration, aim: Duration) -> Self {
        match timeout.saturating_sub(patience) >= aim {
            true => Slack::Late,
            false => Slack::OnTime,
        }
    }
}

/// The order of a request at the engines, 0 first, by its `rank` and its slack.
///
/// Who is late already waits behind those of its rank who are not, level with the
/// next rank, and who goes on before them: what is late loses nothing more by
/// waiting, and what waits for its next event is late after a short pause.
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
pub fn engine_priority(rank: u32, slack: Slack) -> u32 {
    match slack {
        Slack::Streaming => rank.saturating_sub(1),
        Slack::OnTime => rank,
        Slack::Late => rank.saturating_add(1),
    }
}

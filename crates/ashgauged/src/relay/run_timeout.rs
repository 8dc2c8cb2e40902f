//! Timeout of an operation of several steps, on a box that may lack processor time.
//!
//! A box that gets no processor time for a while finds both the reply to its first step and the
//! end of an ordinary timeout when it runs again, and would take the operation as failed before
//! its next step.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Interval at which the time is counted.
const STEP: Duration = Duration::from_millis(5);

/// Longest time that counts between two steps. What exceeds it, this process did not run.
const MAX_STEP: Duration = Duration::from_millis(10);

/// Waits for `work`, for at most `limit` of the time in which this process runs; returns `None`
/// once it has passed.
pub async fn run_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = work => Some(output),
        () = run_for(limit) => None,
    }
}

async fn run_for(limit: Duration) {
    let mut remaining = limit;
    while remaining > Duration::ZERO {
        let began = Instant::now();
        sleep(remaining.min(STEP)).await;
        remaining = remaining.saturating_sub(began.elapsed().min(MAX_STEP));
    }
}

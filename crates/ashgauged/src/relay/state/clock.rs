//! The clock of the box, which includes the time for which the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::sync::watch;
use tokio::time::sleep;

/// A clock that keeps running while the machine is suspended.
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
    /// Notifies waiters that the machine was suspended.
    resumed: watch::Sender<u64>,
}

impl Clock {
    /// Creates a clock that starts at zero and takes its time from `read`.
    pub fn new(read: fn() -> Duration) -> Self {
        Clock {
            read,
            start: read(),
            resumed: watch::Sender::new(0),
        }
    }

    /// Returns the time since the clock was created.
    pub fn elapsed(&self) -> Duration {
        (self.read)().saturating_sub(self.start)
    }

    /// Returns a receiver that changes each time the machine resumes from suspension.
    pub fn resumptions(&self) -> watch::Receiver<u64> {
        self.resumed.subscribe()
    }

    /// Wakes all waiters, so that they check their deadlines again.
    pub fn notify_resumed(&self) {
        self.resumed.send_modify(|n| *n += 1);
    }

    /// Waits for `work`, for at most `limit` by this clock; returns `None` once the limit
    /// has passed.
    pub async fn within<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Option<T> {
        let deadline = self.elapsed().saturating_add(limit);
        let mut resumptions = self.resumptions();
        tokio::pin!(work);
        loop {
            let remaining = deadline.saturating_sub(self.elapsed());
            tokio::select! {
                biased;
                output = work.as_mut() => return Some(output),
                () = sleep(remaining) => {}
                // The sender lives as long as the clock.
                Ok(()) = resumptions.changed() => {}
            }
            if self.elapsed() >= deadline {
                return None;
            }
        }
    }
}

/// Returns the time since the machine booted, including suspensions.
pub fn boot_time() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.into(),
        // On a kernel without that clock this process cannot observe a suspension.
        Err(_) => monotonic_time(),
    }
}

/// Returns the processor time that this process has used.
pub fn process_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

fn monotonic_time() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(Duration::ZERO, Duration::from)
}

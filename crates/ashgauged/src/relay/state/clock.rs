//! The box's clock, which counts the time for which the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::sync::watch;
use tokio::time::sleep;

/// A clock that goes on while the machine is suspended.
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
    /// Tells that the machine was suspended.
    resumed: watch::Sender<u64>,
}

impl Clock {
    /// Starts at zero, going by `read`.
    pub fn new(read: fn() -> Duration) -> Self {
        Clock {
            read,
            start: read(),
            resumed: watch::Sender::new(0),
        }
    }

    /// Time since the clock was made.
    pub fn elapsed(&self) -> Duration {
        (self.read)().saturating_sub(self.start)
    }

    /// Hears of each time after which the machine goes on.
    pub fn resumptions(&self) -> watch::Receiver<u64> {
        self.resumed.subscribe()
    }

    /// Lets everything that waits look at its time anew.
    pub fn notify_resumed(&self) {
        self.resumed.send_modify(|n| *n += 1);
    }

    /// Waits for `work`, for `limit` by this clock at most; `None` if that is over.
    pub async fn within<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Option<T> {
        let until = self.elapsed().saturating_add(limit);
        let mut woken = self.resumptions();
        tokio::pin!(work);
        loop {
            let rest = until.saturating_sub(self.elapsed());
            tokio::select! {
                biased;
                done = work.as_mut() => return Some(done),
                () = sleep(rest) => {}
                // The sender lives as long as the clock.
                Ok(()) = woken.changed() => {}
            }
            if self.elapsed() >= until {
                return None;
            }
        }
    }
}

/// Time since the machine started, suspended or not.
pub fn boot_time() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.into(),
        // A kernel without that clock suspends nothing that this process sees.
        Err(_) => monotonic_time(),
    }
}

fn monotonic_time() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(Duration::ZERO, Duration::from)
}

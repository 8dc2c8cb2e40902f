//! The box's clock, which counts the time for which the machine is suspended.
//!
//! What a box believes, and what it promised, grows old while its machine is suspended:
//! withdrawn keys, proofs, deadlines, losses. The steady clock, by which timers go,
//! stands still then, so timers are looked at anew after such a time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ashgauge::suspension::Suspension;
use nix::time::{ClockId, clock_gettime};
use serde_json::json;
use spdlog::Level;
use tokio::sync::watch;
use tokio::time::sleep;

use super::desk::Desk;
use super::log;

/// Time between two looks at the clocks: a request whose time was up meanwhile gets its
/// last answer that much later, at four wake-ups a second.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// A clock that goes on while the machine is suspended.
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
    /// Tells that the machine was suspended.
    woken: watch::Sender<u64>,
}

impl Clock {
    /// Starts at zero, going by `read`.
    pub fn new(read: fn() -> Duration) -> Self {
        Clock {
            read,
            start: read(),
            woken: watch::Sender::new(0),
        }
    }

    /// Time since the clock was made.
    pub fn elapsed(&self) -> Duration {
        (self.read)().saturating_sub(self.start)
    }

    /// Hears of each time after which the machine goes on.
    pub fn woken(&self) -> watch::Receiver<u64> {
        self.woken.subscribe()
    }

    /// Waits for `work`, for `limit` by this clock at most; `None` if that is over.
    pub async fn within<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Option<T> {
        let until = self.elapsed().saturating_add(limit);
        let mut woken = self.woken();
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
        Err(_) => steady_time(),
    }
}

fn steady_time() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(Duration::ZERO, Duration::from)
}

/// Looks for suspensions as long as the process runs, and lets everything that waits
/// look at its time anew after one.
pub async fn watch(desk: Rc<Desk>) {
    let began = Instant::now();
    let mut suspension = Suspension::new(began.elapsed(), desk.now());
    loop {
        sleep(LOOK_EVERY).await;
        let Some(time) = suspension.look(began.elapsed(), desk.now()) else {
            continue;
        };
        let fields = json!({"ms": time.as_millis() as u64});
        log::line(Level::Warn, "box", "was suspended", fields);
        desk.clock.woken.send_modify(|n| *n += 1);
        desk.wake_streams();
    }
}

//! Detects suspensions of the machine, and times in which the process does not run.
//!
//! Data and promises age while the machine is suspended: revoked keys, freshness,
//! deadlines, recorded losses. The monotonic clock, on which timers are based, stops
//! during a suspension, so all waiters check their deadlines again afterwards.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ashgauge::suspension::SuspensionDetector;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::log;
use super::shared_state::SharedState;
use super::state::process_time;

/// Interval between comparisons of the clocks. A request whose deadline passed during a
/// suspension gets its final answer this much later; the cost is four wake-ups a second.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Delay of a timer from which on the box counts as stalled: requests and answers between boxes
/// are then late.
const MIN_STALL: Duration = Duration::from_millis(100);

/// Detects suspensions as long as the process runs, and wakes all waiters after each one.
pub async fn watch_suspension(shared: Rc<SharedState>) {
    let started = Instant::now();
    let mut detector = SuspensionDetector::new(started.elapsed(), shared.now());
    loop {
        let round = Round::begin(&shared);
        sleep(POLL_INTERVAL).await;
        round.end(&shared);
        let Some(duration) = detector.check(started.elapsed(), shared.now()) else {
            continue;
        };
        let fields = json!({"ms": duration.as_millis() as u64});
        log::event(Level::Warn, "box", "was suspended", fields);
        shared.clock.notify_resumed();
        shared.notify_streams();
    }
}

/// One interval between two comparisons.
struct Round {
    began: Instant,
    process_time: Duration,
    connections: u64,
}

impl Round {
    fn begin(shared: &SharedState) -> Self {
        Round {
            began: Instant::now(),
            process_time: process_time(),
            connections: shared.metrics.connections.get(),
        }
    }

    /// Records by how much the timer was late. If the box used little processor time meanwhile,
    /// others kept the processor from it.
    fn end(self, shared: &SharedState) {
        let late = self.began.elapsed().saturating_sub(POLL_INTERVAL);
        shared.metrics.timer_delay.set(late.as_millis() as i64);
        if late < MIN_STALL {
            return;
        }
        shared.metrics.stalls.inc();
        let fields = json!({
            "late_ms": late.as_millis() as u64,
            "used_ms": process_time().saturating_sub(self.process_time).as_millis() as u64,
            "accepted": shared.metrics.connections.get() - self.connections,
            "inflight": shared.inflight.get(),
        });
        log::event(Level::Warn, "box", "stalled", fields);
    }
}

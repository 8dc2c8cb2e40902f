//! Detects suspensions of the machine.
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

/// Interval between comparisons of the clocks. A request whose deadline passed during a
/// suspension gets its final answer this much later; the cost is four wake-ups a second.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Detects suspensions as long as the process runs, and wakes all waiters after each one.
pub async fn watch_suspension(shared: Rc<SharedState>) {
    let started = Instant::now();
    let mut detector = SuspensionDetector::new(started.elapsed(), shared.now());
    loop {
        sleep(POLL_INTERVAL).await;
        let Some(duration) = detector.check(started.elapsed(), shared.now()) else {
            continue;
        };
        let fields = json!({"ms": duration.as_millis() as u64});
        log::event(Level::Warn, "box", "was suspended", fields);
        shared.clock.notify_resumed();
        shared.notify_streams();
    }
}

//! Looks for times in which the machine was suspended.
//!
//! What a box believes, and what it promised, grows old while its machine is suspended:
//! withdrawn keys, proofs, deadlines, losses. The steady clock, by which timers go,
//! stands still then, so timers are looked at anew after such a time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ashgauge::suspension::SuspensionDetector;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::log;
use super::shared_state::SharedState;

/// Time between two looks at the clocks: a request whose time was up meanwhile gets its
/// last answer that much later, at four wake-ups a second.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Looks for suspensions as long as the process runs, and lets everything that waits
/// look at its time anew after one.
pub async fn watch_suspension(shared: Rc<SharedState>) {
    let began = Instant::now();
    let mut suspension = SuspensionDetector::new(began.elapsed(), shared.now());
    loop {
        sleep(POLL_INTERVAL).await;
        let Some(time) = suspension.check(began.elapsed(), shared.now()) else {
            continue;
        };
        let fields = json!({"ms": time.as_millis() as u64});
        log::event(Level::Warn, "box", "was suspended", fields);
        shared.clock.notify_resumed();
        shared.notify_streams();
    }
}

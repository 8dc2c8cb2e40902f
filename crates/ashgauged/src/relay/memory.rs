//! Reports the memory for messages to operators: status, metrics and log.

use std::rc::Rc;
use std::time::Duration;

use prometheus::IntGaugeVec;
use serde::Serialize;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::log;
use super::shared_state::SharedState;

/// Interval between two looks for messages that got no memory.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Memory for the messages of one kind of sender.
#[derive(Serialize)]
pub struct MemoryStatus {
    sender: &'static str,
    /// Bytes that messages take now.
    used: usize,
    /// Bytes that they may take.
    limit: usize,
    /// Messages that got no memory since the start of the box.
    refused: u64,
}

/// Returns the memory for messages, by who sends them.
pub fn status(shared: &SharedState) -> Vec<MemoryStatus> {
    let budgets = shared.memory.budgets().into_iter();
    let status = budgets.map(|(sender, budget)| MemoryStatus {
        sender,
        used: budget.used(),
        limit: budget.limit(),
        refused: budget.refused(),
    });
    status.collect()
}

/// Sets the gauges of the memory for messages.
pub fn set_gauges(shared: &SharedState) {
    let metrics = &shared.metrics;
    let set = |gauges: &IntGaugeVec, sender: &str, value: i64| {
        gauges.with_label_values(&[sender]).set(value);
    };
    for (sender, budget) in shared.memory.budgets() {
        set(&metrics.message_bytes, sender, budget.used() as i64);
        set(&metrics.message_limit, sender, budget.limit() as i64);
        set(&metrics.message_refusals, sender, budget.refused() as i64);
    }
}

/// Logs that messages got no memory, once a second at most for each kind of sender, as long as
/// the process runs.
pub async fn log_refusals(shared: Rc<SharedState>) {
    let mut logged = shared.memory.budgets().map(|(_, budget)| budget.refused());
    loop {
        sleep(LOG_INTERVAL).await;
        for ((sender, budget), logged) in shared.memory.budgets().into_iter().zip(&mut logged) {
            let refused = budget.refused();
            let new = refused - std::mem::replace(logged, refused);
            if new > 0 {
                let fields = json!({
                    "sender": sender,
                    "messages": new,
                    "used": budget.used(),
                    "limit": budget.limit(),
                });
                log::event(Level::Warn, "memory", "messages without memory", fields);
            }
        }
    }
}

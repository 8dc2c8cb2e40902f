//! How many boxes there are, for their parts of the fleet's budgets.

use std::rc::Rc;
use std::time::Duration;

use platform::store::Revision;
use platform::{Fault, Store};
use serde::de::IgnoredAny;
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::desk::Desk;
use super::log;

/// Kind of the objects by which boxes count each other.
const KIND: &str = "ashgauge-boxes";

/// Pause after an announcement that the store did not take.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Time from announcing this box to the second count, so that boxes that start
/// together see each other; the cheap read is some seconds old. The first
/// count, at once, serves a box that joins a fleet.
const COUNT_AGAIN: Duration = Duration::from_secs(5);

/// Time between two counts of the boxes.
const COUNT_EVERY: Duration = Duration::from_secs(15);

/// Announces this box to the others and counts them as long as the process
/// runs.
///
/// Boxes that are gone for good stay counted, so the parts only shrink.
pub async fn count(desk: Rc<Desk>) {
    let id = desk.settings().id.clone();
    loop {
        match desk.store.create(KIND, &id, &json!({})).await {
            Ok(()) | Err(Fault::Conflict) => break,
            Err(fault) => note(&desk, "announce", &fault),
        }
        sleep(RETRY_PAUSE).await;
    }
    count_once(&desk).await;
    sleep(COUNT_AGAIN).await;
    loop {
        count_once(&desk).await;
        sleep(COUNT_EVERY).await;
    }
}

/// Revisions at which boxes announced themselves, as they were known some
/// seconds ago.
///
/// # Errors
///
/// As every call of the store.
pub async fn written(store: &Store) -> Result<Vec<Revision>, Fault> {
    let boxes = store.list_stale::<IgnoredAny>(KIND).await?;
    Ok(boxes.into_iter().map(|object| object.revision).collect())
}

async fn count_once(desk: &Desk) {
    match desk.store.count_stale(KIND).await {
        // An older state of the store may lack even this box.
        Ok(count) if count as u32 > desk.counted_boxes() => desk.set_boxes(count as u32),
        Ok(_) => {}
        Err(fault) => note(desk, "count", &fault),
    }
}

/// The proofs find out whether the store is away; here it only costs a count.
fn note(desk: &Desk, call: &str, fault: &Fault) {
    desk.metrics.store.with_label_values(&["failed"]).inc();
    let fields = json!({"call": call, "fault": fault.to_string()});
    log::line(Level::Debug, "fleet", "not counted", fields);
}

//! How many boxes there are, for their parts of the fleet's budgets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::store::Revision;
use platform::{Fault, Store};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::desk::{Desk, Peer};
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

/// A box as it announces itself.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Member {
    /// Address on which it hears what others tell.
    #[serde(default)]
    peer: Option<SocketAddr>,
    /// Its data centre.
    #[serde(default)]
    data_centre: String,
}

/// Announces this box to the others and counts them as long as the process
/// runs.
///
/// Boxes that are gone for good stay counted, so the parts only shrink.
pub async fn count(desk: Rc<Desk>) {
    loop {
        match announce(&desk).await {
            Ok(()) => break,
            Err(fault) => note(&desk, "announce", &fault),
        }
        sleep(RETRY_PAUSE).await;
    }
    count_once(desk.clone()).await;
    sleep(COUNT_AGAIN).await;
    loop {
        count_once(desk.clone()).await;
        sleep(COUNT_EVERY).await;
    }
}

/// Writes this box's object, or corrects one that names another address.
async fn announce(desk: &Desk) -> Result<(), Fault> {
    let settings = desk.settings();
    let member = Member {
        peer: desk.heard_at.get(),
        data_centre: settings.data_centre.clone(),
    };
    match desk.store.create(KIND, &settings.id, &member).await {
        Err(Fault::Conflict) => {}
        other => return other,
    }
    let known = desk.store.get::<Member>(KIND, &settings.id).await?;
    if known.value == member {
        return Ok(());
    }
    let replaced = desk
        .store
        .replace(KIND, &settings.id, known.revision, &member);
    replaced.await
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

/// Reads which boxes there are.
pub async fn count_once(desk: Rc<Desk>) {
    let boxes = match desk.store.list_stale::<Member>(KIND).await {
        Ok(boxes) => boxes,
        Err(fault) => return note(&desk, "count", &fault),
    };
    let settings = desk.settings();
    let mut peers = desk.peers.borrow_mut();
    for object in &boxes {
        let member = &object.value;
        if let Some(addr) = member.peer.filter(|_| object.name != settings.id) {
            let near = member.data_centre == settings.data_centre;
            peers.insert(object.name.as_str().into(), Peer { addr, near });
        }
    }
    drop(peers);
    // An older state of the store may lack even this box.
    // The same count again is believed more than the first one at a start.
    if boxes.len() as u32 >= desk.counted_boxes() {
        desk.set_boxes(boxes.len() as u32);
    }
}

/// The proofs find out whether the store is away; here it only costs a count.
fn note(desk: &Desk, call: &str, fault: &Fault) {
    desk.metrics.store.with_label_values(&["failed"]).inc();
    let fields = json!({"call": call, "fault": fault.to_string()});
    log::line(Level::Debug, "fleet", "not counted", fields);
}

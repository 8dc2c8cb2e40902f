//! How many boxes there are, for their parts of the fleet's budgets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::Fault;
use platform::store::Revision;
use rand::Rng;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::desk::{Desk, Peer};
use super::log;

/// Kind of the objects by which boxes count each other.
const KIND: &str = "ashgauge-boxes";

/// Longest pause after a call that failed, at random, so that boxes that start
/// while the store is away do not call it together.
const RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Times from announcing this box to further counts, so that boxes that start
/// together see each other; the cheap read is some seconds old. The first
/// count, at once, serves a box that joins a fleet or was restarted.
const COUNT_AGAIN: [Duration; 3] = [
    Duration::from_millis(1500),
    Duration::from_millis(3000),
    Duration::from_millis(5000),
];

/// When most boxes of a fleet that starts for the first time are listed: the
/// cheap read is some seconds old.
const SEARCH_TIME: Duration = Duration::from_millis(3000);

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
    /// What its link carries, in Mbit/s.
    #[serde(default)]
    link_mbps: u32,
}

/// Looks for the other boxes, announces this one to them and counts them as
/// long as the process runs.
///
/// Boxes that are gone for good stay counted, so the parts only shrink.
pub async fn count(desk: Rc<Desk>) {
    let own = Member::of(&desk);
    let found = first_look(&desk).await;
    desk.searched.set(!desk.settings().fresh_fleet);
    if found.as_ref() != Some(&own) {
        while let Err(fault) = announce(&desk, &own).await {
            note("announce", &fault);
            pause(&desk).await;
        }
    }
    let began = desk.now();
    for time in COUNT_AGAIN {
        sleep((began + time).saturating_sub(desk.now())).await;
        count_once(desk.clone()).await;
        if time >= SEARCH_TIME {
            desk.searched.set(true);
        }
    }
    loop {
        sleep(COUNT_EVERY).await;
        count_once(desk.clone()).await;
    }
}

/// Counts the boxes until the store answers; returns how this box was last
/// announced, if it was.
async fn first_look(desk: &Desk) -> Option<Member> {
    loop {
        match look(desk).await {
            Ok(own) => return own,
            Err(fault) => note("count", &fault),
        }
        pause(desk).await;
    }
}

async fn pause(desk: &Desk) {
    let time = desk.rng().random_range(RETRY_PAUSE / 4..RETRY_PAUSE);
    sleep(time).await;
}

/// Writes this box's object, or corrects one that names another address.
async fn announce(desk: &Desk, member: &Member) -> Result<(), Fault> {
    let settings = desk.settings();
    let created = desk.store.create(KIND, &settings.id, member).await;
    desk.count_call("write", &created);
    match created {
        Err(Fault::Conflict) => {}
        other => return other,
    }
    let known = desk.store.get::<Member>(KIND, &settings.id).await;
    desk.count_call("get", &known);
    let known = known?;
    if known.value == *member {
        return Ok(());
    }
    let replaced = desk
        .store
        .replace(KIND, &settings.id, known.revision, member);
    let replaced = replaced.await;
    desk.count_call("write", &replaced);
    replaced
}

/// Revisions at which boxes announced themselves, as they were known some
/// seconds ago.
///
/// # Errors
///
/// As every call of the store.
pub async fn written(desk: &Desk) -> Result<Vec<Revision>, Fault> {
    let boxes = desk.store.list_stale::<IgnoredAny>(KIND).await;
    desk.count_call("stale", &boxes);
    Ok(boxes?.into_iter().map(|object| object.revision).collect())
}

/// Reads which boxes there are.
pub async fn count_once(desk: Rc<Desk>) {
    if let Err(fault) = look(&desk).await {
        note("count", &fault);
    }
}

/// Reads which boxes there are; returns how this one is announced, if it is.
async fn look(desk: &Desk) -> Result<Option<Member>, Fault> {
    let boxes = desk.store.list_stale::<Member>(KIND).await;
    desk.count_call("stale", &boxes);
    let boxes = boxes?;
    let count = boxes.len() as u32;
    let settings = desk.settings();
    let mut own = None;
    let mut peers = desk.peers.borrow_mut();
    for object in boxes {
        let member = object.value;
        if object.name == settings.id {
            own = Some(member);
            continue;
        }
        if let Some(addr) = member.peer {
            let near = member.data_centre == settings.data_centre;
            let place = member.data_centre.into();
            let peer = Peer {
                addr,
                place,
                near,
                link: member.link_mbps,
            };
            peers.insert(object.name.into(), peer);
        }
    }
    drop(peers);
    // An older state of the store may lack even this box.
    // The same count again is believed more than the first one at a start.
    if count >= desk.counted_boxes() {
        desk.set_boxes(count);
    }
    Ok(own)
}

/// The proofs find out whether the store is away; here it only costs a count.
fn note(call: &str, fault: &Fault) {
    let fields = json!({"call": call, "fault": fault.to_string()});
    log::line(Level::Debug, "fleet", "not counted", fields);
}

impl Member {
    /// What this box announces.
    fn of(desk: &Desk) -> Self {
        Member {
            peer: desk.heard_at.get(),
            data_centre: desk.settings().data_centre.clone(),
            link_mbps: desk.settings().link_mbps(),
        }
    }
}

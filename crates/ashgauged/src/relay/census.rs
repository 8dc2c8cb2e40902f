//! Which boxes there are: whom this one may ask, and how many share the fleet's
//! budgets.
//!
//! The list of a large fleet has many pages. Its first one holds the boxes that read
//! for the others, so that each box finds whom to ask by one call; those that read
//! know all, as they answer only boxes that are listed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::reader::{self, Backoffs, Fleet};
use platform::StoreError;
use platform::store::{Object, Revision};
use rand::Rng;
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

/// Time over which boxes announce themselves again, at random, so that those of a large
/// fleet stay within the store's rate.
const RENEW_SPREAD: Duration = Duration::from_millis(3000);

/// Times from the first look to further ones, so that boxes that start together see
/// each other; the cheap read is some seconds old. The first look, at once, serves
/// a box that joins a fleet or was restarted.
const LOOK_AGAIN: [Duration; 3] = [
    Duration::from_millis(1500),
    Duration::from_millis(3000),
    Duration::from_millis(5000),
];

/// When most boxes of a fleet that starts for the first time are listed. Nobody is
/// asked before, so looks before are in vain there.
const SEARCH_TIME: Duration = Duration::from_millis(3000);

/// How much later boxes ask that are not readers. Readers answer only boxes that they
/// know, and learn of most when they find that they are readers; those that started
/// later find out later. A reader that was asked too early counts as silent, and the
/// next box in rank reads the store in its place.
const READERS_TIME: Duration = Duration::from_millis(500);

/// Time between two looks at the boxes.
const LOOK_EVERY: Duration = Duration::from_secs(15);

/// Looks for one of a box that knows only those that all know and asks some of them:
/// when those fall silent it looks at once.
const LOOKS_SKIPPED: u32 = 8;

/// A box as it announces itself.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Member {
    /// Its name.
    id: String,
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
    let began = desk.now();
    let fresh = desk.settings().fresh_fleet;
    let found = if fresh { None } else { first_look(&desk).await };
    if !fresh {
        desk.searched.set(Some(began));
    }
    if found.is_some() {
        desk.was_listed.set(true);
        desk.believe_count();
    }
    if found.as_ref() != Some(&own) {
        while let Err(fault) = announce(&desk, &own).await {
            note("announce", &fault);
            pause(&desk).await;
        }
    }
    for time in LOOK_AGAIN {
        if fresh && time < SEARCH_TIME {
            continue;
        }
        sleep((began + time).saturating_sub(desk.now())).await;
        if desk.searched.get().is_none() || knows_all(&desk) {
            look_once(desk.clone()).await;
        }
        if desk.searched.get().is_none() {
            end_search(&desk).await;
        }
    }
    desk.believe_count();
    for turn in 1u32.. {
        sleep(LOOK_EVERY).await;
        if knows_all(&desk) || turn.is_multiple_of(LOOKS_SKIPPED) {
            look_once(desk.clone()).await;
        }
    }
}

/// Announces this box again each time the store came back from a copy, which may be from
/// before it was announced.
pub async fn renew(desk: Rc<Desk>) {
    let mut eras = desk.store.subscribe_era();
    // The store's client lives as long as the desk.
    while eras.changed().await.is_ok() {
        let spread = desk.rng().random_range(Duration::ZERO..RENEW_SPREAD);
        sleep(spread).await;
        let own = Member::of(&desk);
        while let Err(fault) = announce(&desk, &own).await {
            note("announce", &fault);
            pause(&desk).await;
        }
    }
}

/// This box, and what it knows of the fleet.
pub fn known(desk: &Desk) -> (reader::Member, Fleet) {
    let settings = desk.settings();
    let own = reader::Member {
        id: settings.id.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        link_mbps: settings.link_mbps(),
    };
    let peers = desk.peers.borrow();
    let others = peers.iter().filter(|(_, peer)| peer.is_candidate);
    let others = others.map(|(id, peer)| reader::Member {
        id: id.clone(),
        data_centre: peer.place.clone(),
        link_mbps: peer.link,
    });
    let listed = desk.is_candidate.get().then(|| own.clone());
    let fleet = Fleet {
        candidates: others.chain(listed).collect(),
        box_count: (peers.len() + 1).max(desk.counted_boxes() as usize),
        reader_count: settings.readers,
    };
    (own, fleet)
}

/// Whether this box is to know all others: it reads for them, or they are few.
fn knows_all(desk: &Desk) -> bool {
    *desk.reads.borrow() || !desk.is_partial.get()
}

/// Lets this box ask others from now on, or read for them.
async fn end_search(desk: &Desk) {
    let (own, fleet) = known(desk);
    let readers = reader::choose(&own, &fleet, &Backoffs::default(), desk.now());
    if !readers.includes_self {
        sleep(READERS_TIME).await;
    }
    desk.searched.set(Some(desk.now()));
}

/// Looks for boxes until the store answers; returns how this box was last
/// announced, if it was.
async fn first_look(desk: &Desk) -> Option<Member> {
    loop {
        match look(desk).await {
            Ok(seen) => return seen.own,
            Err(fault) => note("look", &fault),
        }
        pause(desk).await;
    }
}

async fn pause(desk: &Desk) {
    let time = desk.rng().random_range(RETRY_PAUSE / 4..RETRY_PAUSE);
    sleep(time).await;
}

/// Writes this box's object, or corrects one that names another address.
async fn announce(desk: &Desk, member: &Member) -> Result<(), StoreError> {
    let name = reader::listing_key(member.link_mbps, &member.id);
    let created = desk.store.create(KIND, &name, member).await;
    desk.count_call("write", &created);
    match created {
        Err(StoreError::Conflict) => {}
        other => return other,
    }
    let known = desk.store.get::<Member>(KIND, &name).await;
    desk.count_call("get", &known);
    let known = known?;
    if known.value == *member {
        return Ok(());
    }
    let replaced = desk.store.replace(KIND, &name, known.revision, member);
    let replaced = replaced.await;
    desk.count_call("write", &replaced);
    replaced
}

/// Revisions at which boxes announced themselves, as they were known some
/// seconds ago; who is listed is taken in.
///
/// # Errors
///
/// As every call of the store.
pub async fn written(desk: &Desk) -> Result<Vec<Revision>, StoreError> {
    Ok(look(desk).await?.revisions)
}

/// Looks which boxes there are.
pub async fn look_once(desk: Rc<Desk>) {
    if let Err(fault) = look(&desk).await {
        note("look", &fault);
    }
}

/// What a look at the boxes showed.
struct Seen {
    /// How this box is announced, if it is.
    own: Option<Member>,
    /// Revisions at which boxes announced themselves.
    revisions: Vec<Revision>,
}

/// Reads which boxes there are: the first page of their list, and the rest of it if
/// this box is to know all.
async fn look(desk: &Desk) -> Result<Seen, StoreError> {
    let head = desk.store.first_stale_page::<Member>(KIND).await;
    desk.count_call("stale", &head);
    let head = head?;
    let mut seen = Seen {
        own: None,
        revisions: Vec::new(),
    };
    let is_whole = head.next_after.is_none();
    if !is_whole {
        let mut peers = desk.peers.borrow_mut();
        peers.values_mut().for_each(|p| p.is_candidate = false);
    }
    take(desk, head.objects, true, &mut seen);
    desk.is_candidate.set(is_whole || seen.own.is_some());
    desk.is_partial.set(!is_whole);
    let reads_all = is_whole || *desk.reads.borrow();
    if !is_whole && reads_all {
        let rest = desk
            .store
            .remaining_stale::<Member>(KIND, head.next_after)
            .await;
        desk.count_call("stale", &rest);
        take(desk, rest?, false, &mut seen);
    }
    // An older state of the store may lack others as well if it lacks this box. The same
    // count again is believed more than the first one at a start.
    let count = seen.revisions.len() as u32;
    if reads_all && seen.own.is_some() && count >= desk.counted_boxes() {
        desk.set_boxes(count);
    }
    Ok(seen)
}

/// Takes in boxes that are listed.
fn take(desk: &Desk, objects: Vec<Object<Member>>, is_candidate: bool, seen: &mut Seen) {
    let settings = desk.settings();
    let mut peers = desk.peers.borrow_mut();
    for object in objects {
        let member = object.value;
        seen.revisions.push(object.revision);
        if member.id == settings.id {
            seen.own = Some(member);
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
                is_candidate,
            };
            peers.insert(member.id.into(), peer);
        }
    }
}

/// The proofs find out whether the store is away; here it only costs a count.
fn note(call: &str, fault: &StoreError) {
    let fields = json!({"call": call, "fault": fault.to_string()});
    log::line(Level::Debug, "fleet", "not counted", fields);
}

impl Member {
    /// What this box announces.
    fn of(desk: &Desk) -> Self {
        Member {
            id: desk.settings().id.clone(),
            peer: desk.heard_at.get(),
            data_centre: desk.settings().data_centre.clone(),
            link_mbps: desk.settings().link_mbps(),
        }
    }
}

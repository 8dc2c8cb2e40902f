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

use super::log;
use super::shared_state::{Peer, SharedState};

/// Kind of the objects by which boxes count each other.
const KIND: &str = "ashgauge-boxes";

/// Longest pause after a call that failed, at random, so that boxes that start
/// while the store is away do not call it together.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Time over which boxes announce themselves again, at random, so that those of a large
/// fleet stay within the store's rate.
const MAX_RENEW_DELAY: Duration = Duration::from_millis(3000);

/// Times from the first look to further ones, so that boxes that start together see
/// each other; the cheap read is some seconds old. The first look, at once, serves
/// a box that joins a fleet or was restarted.
const DISCOVERY_TIMES: [Duration; 3] = [
    Duration::from_millis(1500),
    Duration::from_millis(3000),
    Duration::from_millis(5000),
];

/// When most boxes of a fleet that starts for the first time are listed. Nobody is
/// asked before, so looks before are in vain there.
const FRESH_DISCOVERY_TIME: Duration = Duration::from_millis(3000);

/// How much later boxes ask that are not readers. Readers answer only boxes that they
/// know, and learn of most when they find that they are readers; those that started
/// later find out later. A reader that was asked too early counts as silent, and the
/// next box in rank reads the store in its place.
const NON_READER_DELAY: Duration = Duration::from_millis(500);

/// Time between two looks at the boxes.
const LIST_INTERVAL: Duration = Duration::from_secs(15);

/// Looks for one of a box that knows only those that all know and asks some of them:
/// when those fall silent it looks at once.
const LISTS_SKIPPED: u32 = 8;

/// A box as it announces itself.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct StoredBox {
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
pub async fn follow_members(shared: Rc<SharedState>) {
    let own = StoredBox::of(&shared);
    let began = shared.now();
    let fresh = shared.settings().fresh_fleet;
    let found = if fresh {
        None
    } else {
        first_list(&shared).await
    };
    if !fresh {
        shared.discovered_at.set(Some(began));
    }
    if found.is_some() {
        shared.was_listed.set(true);
        shared.trust_count();
    }
    if found.as_ref() != Some(&own) {
        while let Err(fault) = announce(&shared, &own).await {
            log_fault("announce", &fault);
            random_pause(&shared).await;
        }
    }
    for time in DISCOVERY_TIMES {
        if fresh && time < FRESH_DISCOVERY_TIME {
            continue;
        }
        sleep((began + time).saturating_sub(shared.now())).await;
        if shared.discovered_at.get().is_none() || needs_all(&shared) {
            refresh(shared.clone()).await;
        }
        if shared.discovered_at.get().is_none() {
            finish_discovery(&shared).await;
        }
    }
    shared.trust_count();
    for turn in 1u32.. {
        sleep(LIST_INTERVAL).await;
        if needs_all(&shared) || turn.is_multiple_of(LISTS_SKIPPED) {
            refresh(shared.clone()).await;
        }
    }
}

/// Announces this box again each time the store came back from a copy, which may be from
/// before it was announced.
pub async fn reannounce(shared: Rc<SharedState>) {
    let mut eras = shared.store.subscribe_era();
    // The store's client lives as long as the desk.
    while eras.changed().await.is_ok() {
        let spread = shared.rng().random_range(Duration::ZERO..MAX_RENEW_DELAY);
        sleep(spread).await;
        let own = StoredBox::of(&shared);
        while let Err(fault) = announce(&shared, &own).await {
            log_fault("announce", &fault);
            random_pause(&shared).await;
        }
    }
}

/// This box, and what it knows of the fleet.
pub fn known_fleet(shared: &SharedState) -> (reader::Member, Fleet) {
    let settings = shared.settings();
    let own = reader::Member {
        id: settings.id.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        link_mbps: settings.link_mbps(),
    };
    let peers = shared.peers.borrow();
    let others = peers.iter().filter(|(_, peer)| peer.is_candidate);
    let others = others.map(|(id, peer)| reader::Member {
        id: id.clone(),
        data_centre: peer.data_centre.clone(),
        link_mbps: peer.link_mbps,
    });
    let listed = shared.is_candidate.get().then(|| own.clone());
    let fleet = Fleet {
        candidates: others.chain(listed).collect(),
        box_count: (peers.len() + 1).max(shared.counted_boxes() as usize),
        reader_count: settings.readers,
    };
    (own, fleet)
}

/// Whether this box is to know all others: it reads for them, or they are few.
fn needs_all(shared: &SharedState) -> bool {
    *shared.reads_store.borrow() || !shared.peers_partial.get()
}

/// Lets this box ask others from now on, or read for them.
async fn finish_discovery(shared: &SharedState) {
    let (own, fleet) = known_fleet(shared);
    let readers = reader::choose(&own, &fleet, &Backoffs::default(), shared.now());
    if !readers.includes_self {
        sleep(NON_READER_DELAY).await;
    }
    shared.discovered_at.set(Some(shared.now()));
}

/// Looks for boxes until the store answers; returns how this box was last
/// announced, if it was.
async fn first_list(shared: &SharedState) -> Option<StoredBox> {
    loop {
        match list_boxes(shared).await {
            Ok(seen) => return seen.own,
            Err(fault) => log_fault("look", &fault),
        }
        random_pause(shared).await;
    }
}

async fn random_pause(shared: &SharedState) {
    let time = shared
        .rng()
        .random_range(MAX_RETRY_DELAY / 4..MAX_RETRY_DELAY);
    sleep(time).await;
}

/// Writes this box's object, or corrects one that names another address.
async fn announce(shared: &SharedState, member: &StoredBox) -> Result<(), StoreError> {
    let name = reader::listing_key(member.link_mbps, &member.id);
    let created = shared.store.create(KIND, &name, member).await;
    shared.count_store_call("write", &created);
    match created {
        Err(StoreError::Conflict) => {}
        other => return other,
    }
    let known = shared.store.get::<StoredBox>(KIND, &name).await;
    shared.count_store_call("get", &known);
    let known = known?;
    if known.value == *member {
        return Ok(());
    }
    let replaced = shared.store.replace(KIND, &name, known.revision, member);
    let replaced = replaced.await;
    shared.count_store_call("write", &replaced);
    replaced
}

/// Revisions at which boxes announced themselves, as they were known some
/// seconds ago; who is listed is taken in.
///
/// # Errors
///
/// As every call of the store.
pub async fn announce_revisions(shared: &SharedState) -> Result<Vec<Revision>, StoreError> {
    Ok(list_boxes(shared).await?.revisions)
}

/// Looks which boxes there are.
pub async fn refresh(shared: Rc<SharedState>) {
    if let Err(fault) = list_boxes(&shared).await {
        log_fault("look", &fault);
    }
}

/// What a look at the boxes showed.
struct Listing {
    /// How this box is announced, if it is.
    own: Option<StoredBox>,
    /// Revisions at which boxes announced themselves.
    revisions: Vec<Revision>,
}

/// Reads which boxes there are: the first page of their list, and the rest of it if
/// this box is to know all.
async fn list_boxes(shared: &SharedState) -> Result<Listing, StoreError> {
    let head = shared.store.first_stale_page::<StoredBox>(KIND).await;
    shared.count_store_call("stale", &head);
    let head = head?;
    let mut seen = Listing {
        own: None,
        revisions: Vec::new(),
    };
    let is_whole = head.next_after.is_none();
    if !is_whole {
        let mut peers = shared.peers.borrow_mut();
        peers.values_mut().for_each(|p| p.is_candidate = false);
    }
    add_peers(shared, head.objects, true, &mut seen);
    shared.is_candidate.set(is_whole || seen.own.is_some());
    shared.peers_partial.set(!is_whole);
    let reads_all = is_whole || *shared.reads_store.borrow();
    if !is_whole && reads_all {
        let rest = shared
            .store
            .remaining_stale::<StoredBox>(KIND, head.next_after)
            .await;
        shared.count_store_call("stale", &rest);
        add_peers(shared, rest?, false, &mut seen);
    }
    // An older state of the store may lack others as well if it lacks this box. The same
    // count again is believed more than the first one at a start.
    let count = seen.revisions.len() as u32;
    if reads_all && seen.own.is_some() && count >= shared.counted_boxes() {
        shared.set_fleet_size(count);
    }
    Ok(seen)
}

/// Takes in boxes that are listed.
fn add_peers(
    shared: &SharedState,
    objects: Vec<Object<StoredBox>>,
    is_candidate: bool,
    seen: &mut Listing,
) {
    let settings = shared.settings();
    let mut peers = shared.peers.borrow_mut();
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
                data_centre: place,
                is_local: near,
                link_mbps: member.link_mbps,
                is_candidate,
            };
            peers.insert(member.id.into(), peer);
        }
    }
}

/// The proofs find out whether the store is away; here it only costs a count.
fn log_fault(call: &str, fault: &StoreError) {
    let fields = json!({"call": call, "fault": fault.to_string()});
    log::event(Level::Debug, "fleet", "not counted", fields);
}

impl StoredBox {
    /// What this box announces.
    fn of(shared: &SharedState) -> Self {
        StoredBox {
            id: shared.settings().id.clone(),
            peer: shared.peer_addr.get(),
            data_centre: shared.settings().data_centre.clone(),
            link_mbps: shared.settings().link_mbps(),
        }
    }
}

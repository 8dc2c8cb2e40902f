//! Fleet membership: which boxes this one may poll, and how many boxes share the fleet's
//! budgets.
//!
//! The member list of a large fleet has many pages. Its first page contains the boxes
//! that read the store for the others, so that each box finds the boxes to poll with one
//! call. Readers know all boxes, as they answer only listed ones.

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

/// Kind of the stored objects by which boxes register.
const KIND: &str = "ashgauge-boxes";

/// Longest delay after a failed call; the delay is random, so that boxes that start while
/// the store is unreachable do not call it at the same time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Longest random delay before boxes register again, so that a large fleet stays within
/// the store's rate limit.
const MAX_RENEW_DELAY: Duration = Duration::from_millis(3000);

/// Delays from the first read of the list to further ones, so that boxes that start
/// together find each other; the stale read returns data some seconds old. The first
/// read, at once, serves a box that joins a fleet or was restarted.
const DISCOVERY_TIMES: [Duration; 3] = [
    Duration::from_millis(1500),
    Duration::from_millis(3000),
    Duration::from_millis(5000),
];

/// Delay after which most boxes of a fleet that starts for the first time are listed. No
/// box is polled before, so earlier reads would be useless there.
const FRESH_DISCOVERY_TIME: Duration = Duration::from_millis(3000);

/// Delay before boxes that are not readers start to poll. Readers answer only boxes that
/// they know, and learn of most when they find that they are readers; those that started
/// later find out later. A reader that is polled too early counts as silent, and the next
/// box in rank reads the store in its place.
const NON_READER_DELAY: Duration = Duration::from_millis(500);

/// Interval between reads of the member list.
const LIST_INTERVAL: Duration = Duration::from_secs(15);

/// A box that only knows the first page and polls some of those boxes reads the list in
/// one of this many intervals; when they stop answering it reads the list at once.
const LISTS_SKIPPED: u32 = 8;

/// A box as it registers in the store.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct StoredBox {
    /// Name of the box.
    id: String,
    /// Address on which it receives messages of other boxes.
    #[serde(default)]
    peer: Option<SocketAddr>,
    /// Data centre of the box.
    #[serde(default)]
    data_centre: String,
    /// Bandwidth of its network link, in Mbit/s.
    #[serde(default)]
    link_mbps: u32,
}

/// Registers this box, discovers the other boxes and counts them as long as the process
/// runs.
///
/// Boxes that are gone for good remain counted, so the budget shares of the others only
/// shrink.
pub async fn follow_members(shared: Rc<SharedState>) {
    let own = StoredBox::of(&shared);
    let started = shared.now();
    let is_fresh_fleet = shared.settings().fresh_fleet;
    let stored = if is_fresh_fleet {
        None
    } else {
        first_list(&shared).await
    };
    if !is_fresh_fleet {
        shared.discovered_at.set(Some(started));
    }
    if stored.is_some() {
        shared.was_listed.set(true);
        shared.trust_count();
    }
    if stored.as_ref() != Some(&own) {
        while let Err(fault) = announce(&shared, &own).await {
            log_fault("announce", &fault);
            random_pause(&shared).await;
        }
    }
    for delay in DISCOVERY_TIMES {
        if is_fresh_fleet && delay < FRESH_DISCOVERY_TIME {
            continue;
        }
        sleep((started + delay).saturating_sub(shared.now())).await;
        if shared.discovered_at.get().is_none() || needs_all(&shared) {
            refresh(shared.clone()).await;
        }
        if shared.discovered_at.get().is_none() {
            finish_discovery(&shared).await;
        }
    }
    shared.trust_count();
    for round in 1u32.. {
        sleep(LIST_INTERVAL).await;
        if needs_all(&shared) || round.is_multiple_of(LISTS_SKIPPED) {
            refresh(shared.clone()).await;
        }
    }
}

/// Registers this box again after each restore of the store, whose copy may be from
/// before the registration.
pub async fn reannounce(shared: Rc<SharedState>) {
    let mut eras = shared.store.subscribe_era();
    // The store client lives as long as the shared state.
    while eras.changed().await.is_ok() {
        let delay = shared.rng().random_range(Duration::ZERO..MAX_RENEW_DELAY);
        sleep(delay).await;
        let own = StoredBox::of(&shared);
        while let Err(fault) = announce(&shared, &own).await {
            log_fault("announce", &fault);
            random_pause(&shared).await;
        }
    }
}

/// Returns this box as a member, and the fleet as far as it is known.
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

/// Returns whether this box must know all others: it reads the store for them, or they
/// are few.
fn needs_all(shared: &SharedState) -> bool {
    *shared.reads_store.borrow() || !shared.peers_partial.get()
}

/// Lets this box start to poll readers, or to read the store for the others.
async fn finish_discovery(shared: &SharedState) {
    let (own, fleet) = known_fleet(shared);
    let readers = reader::choose(&own, &fleet, &Backoffs::default(), shared.now());
    if !readers.includes_self {
        sleep(NON_READER_DELAY).await;
    }
    shared.discovered_at.set(Some(shared.now()));
}

/// Reads the member list until the store answers; returns this box's stored registration,
/// if there is one.
async fn first_list(shared: &SharedState) -> Option<StoredBox> {
    loop {
        match list_boxes(shared).await {
            Ok(listing) => return listing.own,
            Err(fault) => log_fault("look", &fault),
        }
        random_pause(shared).await;
    }
}

async fn random_pause(shared: &SharedState) {
    let delay = shared
        .rng()
        .random_range(MAX_RETRY_DELAY / 4..MAX_RETRY_DELAY);
    sleep(delay).await;
}

/// Creates this box's registration, or corrects one with another address.
async fn announce(shared: &SharedState, member: &StoredBox) -> Result<(), StoreError> {
    let name = reader::listing_key(member.link_mbps, &member.id);
    let created = shared.store.create(KIND, &name, member).await;
    shared.count_store_call("write", &created);
    match created {
        Err(StoreError::Conflict) => {}
        other => return other,
    }
    let stored = shared.store.get_any::<StoredBox>(KIND, &name).await;
    shared.count_store_call("get", &stored);
    let stored = stored?;
    if stored.value.as_ref() == Some(member) {
        return Ok(());
    }
    let replaced = shared.store.replace(KIND, &name, stored.revision, member);
    let replaced = replaced.await;
    shared.count_store_call("write", &replaced);
    replaced
}

/// Reads the member list, as it was some seconds ago, and adds its boxes; returns the
/// revisions of the registrations.
///
/// # Errors
///
/// Fails if the call to the store fails.
pub async fn announce_revisions(shared: &SharedState) -> Result<Vec<Revision>, StoreError> {
    Ok(list_boxes(shared).await?.revisions)
}

/// Reads the member list and adds its boxes.
pub async fn refresh(shared: Rc<SharedState>) {
    if let Err(fault) = list_boxes(&shared).await {
        log_fault("look", &fault);
    }
}

/// Result of reading the member list.
struct Listing {
    /// The stored registration of this box, if there is one.
    own: Option<StoredBox>,
    /// Revisions of the registrations.
    revisions: Vec<Revision>,
}

/// Reads the member list: its first page, and the remaining ones if this box must know
/// all boxes.
async fn list_boxes(shared: &SharedState) -> Result<Listing, StoreError> {
    let first_page = shared.store.first_stale_page::<StoredBox>(KIND).await;
    shared.count_store_call("stale", &first_page);
    let first_page = first_page?;
    let mut listing = Listing {
        own: None,
        revisions: Vec::new(),
    };
    let is_complete = first_page.next_after.is_none();
    if !is_complete {
        let mut peers = shared.peers.borrow_mut();
        peers.values_mut().for_each(|p| p.is_candidate = false);
    }
    add_peers(shared, first_page.objects, true, &mut listing);
    shared
        .is_candidate
        .set(is_complete || listing.own.is_some());
    shared.peers_partial.set(!is_complete);
    let reads_all = is_complete || *shared.reads_store.borrow();
    if !is_complete && reads_all {
        let remaining = shared
            .store
            .remaining_stale::<StoredBox>(KIND, first_page.next_after)
            .await;
        shared.count_store_call("stale", &remaining);
        add_peers(shared, remaining?, false, &mut listing);
    }
    // If this box is missing from an older state of the store, others may be as well. An
    // unchanged count is trusted more than the first one after a start.
    let count = listing.revisions.len() as u32;
    if reads_all && listing.own.is_some() && count >= shared.counted_boxes() {
        shared.set_fleet_size(count);
    }
    Ok(listing)
}

/// Adds listed boxes to the peers.
fn add_peers(
    shared: &SharedState,
    objects: Vec<Object<StoredBox>>,
    is_candidate: bool,
    listing: &mut Listing,
) {
    let settings = shared.settings();
    let mut peers = shared.peers.borrow_mut();
    for object in objects {
        let member = object.value;
        listing.revisions.push(object.revision);
        if object.name != reader::listing_key(member.link_mbps, &member.id) {
            // Another client has written it.
            continue;
        }
        if member.id == settings.id {
            listing.own = Some(member);
            continue;
        }
        if let Some(addr) = member.peer {
            let local = member.data_centre == settings.data_centre;
            let name = member.data_centre.into();
            let peer = Peer {
                addr,
                data_centre: name,
                is_local: local,
                link_mbps: member.link_mbps,
                is_candidate,
            };
            peers.insert(member.id.into(), peer);
        }
    }
}

/// The freshness checks detect an outage of the store; here a failure only leaves the
/// count out of date.
fn log_fault(call: &str, fault: &StoreError) {
    let fields = json!({"call": call, "fault": fault.to_string()});
    log::event(Level::Debug, "fleet", "not counted", fields);
}

impl StoredBox {
    /// Returns the registration of this box.
    fn of(shared: &SharedState) -> Self {
        StoredBox {
            id: shared.settings().id.clone(),
            peer: shared.peer_addr.get(),
            data_centre: shared.settings().data_centre.clone(),
            link_mbps: shared.settings().link_mbps(),
        }
    }
}

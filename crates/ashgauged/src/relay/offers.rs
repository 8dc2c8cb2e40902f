//! Offers between boxes to send requests through one another: asks for them, and makes them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::egress::{Decline, OfferReply, OfferRequest, Referral, Token};
use ashgauge::hub::Role;
use ashgauge::member::BoxId;
use ashgauge::placement;
use ashgauge::query::{Datagram, QueryId};
use ashgauge::routing::ServiceId;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use serde_json::json;
use spdlog::Level;
use tokio::time::timeout;

use super::egress::count;
use super::shared_state::{Peer, SharedState};
use super::state::ServiceOffers;
use super::{log, messaging, reach};

/// Maximum number of boxes asked for offers at a time, half of them in the same data centre.
const MAX_ASKED: usize = 8;

/// Maximum number of hubs among them.
const MAX_HUBS_ASKED: usize = 4;

/// Number of boxes to which a hub refers a request for offers.
const MAX_REFERRED: usize = 3;

/// Period in which a hub refers at most [`MAX_REFERRED_REQUESTS`] requests for offers.
const REFERRAL_PERIOD: Duration = Duration::from_millis(100);

/// Maximum number of requests for offers that a hub refers in a period. Each costs as many
/// datagrams as boxes that it is referred to.
const MAX_REFERRED_REQUESTS: u32 = 40;

/// Interval between two requests for offers.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the last request for offers at which new ones are asked for, before the offers
/// expire.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between two requests for offers while none come.
const UNOFFERED_ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for an offer. A healthy box replies within some milliseconds, also if it has to
/// probe an upstream first.
const OFFER_TIMEOUT: Duration = Duration::from_millis(120);

/// How long requests are refused at once after no offer came; offers are asked for meanwhile.
const MIN_UNOFFERED_TIME: Duration = Duration::from_millis(250);

/// Longest time for which requests are refused at once, after no offer came several times.
const MAX_UNOFFERED_TIME: Duration = Duration::from_secs(1);

/// Number of requests in flight from which on a box makes no offers.
pub const MAX_INFLIGHT: usize = 512;

/// Way of a request whose service this box did not reach.
pub enum Way {
    /// Through another box, which made an offer.
    Box(SocketAddr, Token),
    /// As usual: this box reaches the service again.
    Direct,
}

/// Returns the way of a request that has not begun. If there is none, waits for one, unless no
/// offer came a moment ago.
pub async fn wait(shared: &Rc<SharedState>, service: &ServiceId) -> Option<Way> {
    if let Some((addr, token)) = choose(shared, service) {
        return Some(Way::Box(addr, token));
    }
    if is_unoffered(shared, service) {
        return None;
    }
    let was_cut_off = shared.reach.is_cut_off(service);
    let waiting = async {
        loop {
            let changed = shared.egress.changed.notified();
            if let Some((addr, token)) = choose(shared, service) {
                return Way::Box(addr, token);
            }
            if was_cut_off && !shared.reach.is_cut_off(service) {
                return Way::Direct;
            }
            // Those that do not reply are cut off themselves, so others are asked.
            let _ = timeout(ASK_INTERVAL, changed).await;
        }
    };
    let way = timeout(OFFER_TIMEOUT, waiting).await.ok();
    if way.is_none() {
        note_unoffered(shared, service);
    }
    way
}

/// Waits until there may be an offer that there was not, or the box reaches a service again.
pub async fn wait_change(shared: &SharedState) {
    let _ = timeout(ASK_INTERVAL, shared.egress.changed.notified()).await;
}

/// Removes the offers of a box that did not accept a request.
pub fn withdraw(shared: &SharedState, service: &ServiceId, addr: SocketAddr) {
    update(shared, service, |state| state.offers.remove(addr));
}

/// Handles an offer; returns whether it answers a recent request of this box. Its sender need
/// not be known, as only boxes that were asked know the number of the request.
pub fn handle_offer(shared: &SharedState, offer: &OfferReply) -> bool {
    let mut services = shared.egress.services.borrow_mut();
    let is_asked = |state: &&mut ServiceOffers| state.asked.is_some_and(|(id, _)| id == offer.id);
    let Some(state) = services.values_mut().find(is_asked) else {
        return false;
    };
    state.offers.add(shared.now(), offer);
    state.backoff = Duration::ZERO;
    shared.egress.changed.notify_waiters();
    true
}

/// Handles a box's request for offers: offers this box, and as a hub refers it to others, even
/// if this box is cut off itself.
pub fn handle_request(shared: &Rc<SharedState>, request: &OfferRequest, to: SocketAddr) {
    let is_hub = refer(shared, request, to);
    let (shared, service, id) = (shared.clone(), request.service.clone(), request.id);
    tokio::task::spawn_local(async move {
        offer(&shared, &service, id, to, is_hub).await;
    });
}

/// Handles a request for offers that a hub passes on. The hub, at `hub`, is told if this box
/// makes none.
pub fn handle_referral(shared: &Rc<SharedState>, referral: Referral, hub: SocketAddr) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let Referral {
            id, service, to, ..
        } = referral;
        if !offer(&shared, &service, id, to, false).await {
            let from = own_id(&shared);
            messaging::send(&shared, hub, &Datagram::Decline(Decline { from, service }));
        }
    });
}

/// Handles the reply of a box to which this one referred a request.
pub fn handle_decline(shared: &SharedState, decline: Decline) {
    let now = shared.now();
    shared.egress.declines.borrow_mut().insert(now, decline);
}

/// Forgets the services that the configuration in force does not have.
pub fn forget_services(shared: &SharedState) {
    let routing = shared.routing();
    let mut services = shared.egress.services.borrow_mut();
    services.retain(|service, _| routing.services.contains_key(service));
}

fn update<T>(
    shared: &SharedState,
    service: &ServiceId,
    change: impl FnOnce(&mut ServiceOffers) -> T,
) -> T {
    let mut services = shared.egress.services.borrow_mut();
    change(services.entry(service.clone()).or_default())
}

fn own_id(shared: &SharedState) -> BoxId {
    shared.settings().id.as_str().into()
}

fn is_unoffered(shared: &SharedState, service: &ServiceId) -> bool {
    update(shared, service, |state| {
        shared.now() < state.unoffered_until
    })
}

/// Records that no box made an offer. Requests are then refused at once for a while, longer with
/// each time: where no box reaches a service, few of its callers wait for an offer in vain.
fn note_unoffered(shared: &SharedState, service: &ServiceId) {
    let now = shared.now();
    let backoff = update(shared, service, |state| {
        let doubled = (state.backoff * 2).clamp(MIN_UNOFFERED_TIME, MAX_UNOFFERED_TIME);
        state.backoff = doubled;
        state.unoffered_until = now + doubled;
        doubled
    });
    let fields = json!({
        "service": &**service,
        "boxes": boxes_to_ask(shared).len(),
        "role": format!("{:?}", shared.role()),
        "backoff_ms": backoff.as_millis() as u64,
    });
    log::event(Level::Warn, "egress", "no offer", fields);
}

/// Chooses an offer, and asks for more before they expire.
fn choose(shared: &SharedState, service: &ServiceId) -> Option<(SocketAddr, Token)> {
    let now = shared.now();
    let choose = |state: &mut ServiceOffers| state.offers.choose(now, &mut *shared.rng());
    let offer = update(shared, service, choose);
    let interval = match offer {
        Some(_) => RENEW_INTERVAL,
        None if is_unoffered(shared, service) => UNOFFERED_ASK_INTERVAL,
        None => ASK_INTERVAL,
    };
    ask(shared, service, interval);
    offer
}

/// Asks some boxes for offers, unless that was done less than `interval` ago.
fn ask(shared: &SharedState, service: &ServiceId, interval: Duration) {
    let now = shared.now();
    let last = update(shared, service, |state| state.asked);
    if last.is_some_and(|(_, at)| now < at + interval) {
        return;
    }
    let id = shared.rng().random();
    update(shared, service, |state| state.asked = Some((id, now)));
    let request = Datagram::AskOffer(OfferRequest {
        from: own_id(shared),
        id,
        service: service.clone(),
    });
    for peer in boxes_to_ask(shared) {
        messaging::send(shared, peer.addr, &request);
    }
}

/// Chooses boxes at random, half of them in the same data centre if there are any. In a fleet
/// with hubs some of them are hubs; other boxes may not know this one unless all boxes do.
pub fn boxes_to_ask(shared: &SharedState) -> Vec<Peer> {
    let mut rng = shared.rng();
    let mut hubs = match shared.role() {
        Role::Peer => Vec::new(),
        Role::Hub | Role::Leaf(_) => hubs(shared),
    };
    hubs.shuffle(&mut *rng);
    if shared.role() == Role::Peer || shared.is_candidate.get() {
        hubs.truncate(MAX_HUBS_ASKED);
        let peers = shared.peers.borrow();
        let is_hub = |peer: &Peer| hubs.iter().any(|hub| hub.addr == peer.addr);
        let mut known: Vec<Peer> = peers.values().filter(|p| !is_hub(p)).cloned().collect();
        known.shuffle(&mut *rng);
        let (mut near, mut far): (Vec<Peer>, Vec<Peer>) =
            known.into_iter().partition(|peer| peer.is_local);
        let free = MAX_ASKED - hubs.len();
        near.truncate(free.saturating_sub(far.len()).max(free / 2));
        far.truncate(free - near.len());
        hubs.append(&mut near);
        hubs.append(&mut far);
    }
    hubs.truncate(MAX_ASKED);
    hubs
}

fn hubs(shared: &SharedState) -> Vec<Peer> {
    let (peers, readers) = (shared.peers.borrow(), shared.readers.borrow());
    let hubs = readers.ids.iter().filter_map(|id| peers.get(id));
    hubs.cloned().collect()
}

/// Refers a request for offers to some of the boxes that report to this hub; returns whether it
/// is a hub with such boxes.
fn refer(shared: &SharedState, request: &OfferRequest, to: SocketAddr) -> bool {
    let leaves = shared.leaves();
    if leaves.is_empty() {
        return false;
    }
    if !may_refer(shared) {
        count(shared, "not referred");
        return true;
    }
    let declines = shared.egress.declines.borrow();
    let declined = declines.of_service(shared.now(), &request.service);
    let may_offer = |id: &BoxId| *id != request.from && !declined.contains(id);
    let leaves: Vec<&Peer> = leaves
        .iter()
        .filter(|(id, _)| may_offer(id))
        .map(|(_, peer)| peer)
        .collect();
    let chosen = leaves.choose_multiple(&mut *shared.rng(), MAX_REFERRED);
    let chosen: Vec<SocketAddr> = chosen.map(|peer| peer.addr).collect();
    for addr in chosen {
        let referral = Referral {
            from: own_id(shared),
            id: request.id,
            service: request.service.clone(),
            to,
        };
        messaging::send(shared, addr, &Datagram::Referral(referral));
    }
    true
}

/// Counts a request that this hub refers; returns whether it may.
fn may_refer(shared: &SharedState) -> bool {
    let now = shared.now();
    let (began, referred) = shared.egress.referred.get();
    let (began, referred) = match now < began + REFERRAL_PERIOD {
        true => (began, referred),
        false => (now, 0),
    };
    shared.egress.referred.set((began, referred + 1));
    referred < MAX_REFERRED_REQUESTS
}

/// Offers this box for a service, if it can serve it; returns whether it did.
async fn offer(
    shared: &Rc<SharedState>,
    service: &ServiceId,
    id: QueryId,
    to: SocketAddr,
    is_reserve: bool,
) -> bool {
    let is_able = can_serve(shared, service) && reach::is_reached(shared, service).await;
    let Some(addr) = shared.peer_addr.get().filter(|_| is_able) else {
        count(shared, "no reply");
        return false;
    };
    let token = shared.rng().random();
    let mut tokens = shared.egress.tokens.borrow_mut();
    if !tokens.insert(shared.now(), token) {
        return false;
    }
    count(shared, "offered");
    let offer = OfferReply {
        from: own_id(shared),
        id,
        addr,
        token,
        load: shared.inflight.get() as u32,
        is_reserve,
    };
    messaging::send(shared, to, &Datagram::Offer(offer));
    true
}

/// Whether this box is free to serve requests for a service, and knows upstreams that can run
/// them.
fn can_serve(shared: &SharedState, service: &str) -> bool {
    let routing = shared.routing();
    let Some(service) = routing.services.get(service) else {
        return false;
    };
    if !shared.is_ready() || shared.inflight.get() >= MAX_INFLIGHT {
        return false;
    }
    let (now, registry) = (shared.now(), shared.registry.borrow());
    let mut usable = registry
        .of_service(&service.name)
        .filter(|e| e.is_usable(now));
    match service.model.as_ref().filter(|m| m.layers > 0) {
        Some(model) => {
            let ranges = usable.filter_map(|e| e.upstream.layers);
            placement::covers_model(model.layers, ranges)
        }
        None => usable.next().is_some(),
    }
}

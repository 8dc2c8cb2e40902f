//! Requests sent through other boxes, for a box that does not reach the upstreams itself.
//!
//! A box that is cut off from a service asks others for an offer. An offer comes from a box that
//! reaches the service, and holds a token, without which that box accepts no request from
//! another. A box in a large fleet may know few others, so hubs refer its request to boxes that
//! report to them. Requests are spread over the offers by load.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::member::BoxId;
use crate::query::QueryId;
use crate::routing::ServiceId;

/// Number that authorizes a box to send requests through another one.
pub type Token = u64;

/// How long an offer may be used for new requests.
pub const OFFER_TTL: Duration = Duration::from_secs(2);

/// How long a token is valid: longer than the offer, so that requests which have just been
/// sent are accepted.
const TOKEN_TTL: Duration = Duration::from_secs(4);

/// Maximum number of offers that a box keeps.
const MAX_OFFERS: usize = 16;

/// Maximum number of valid tokens of a box.
const MAX_TOKENS: usize = 1024;

/// How long a hub refers no request to a box that made no offer.
const DECLINE_TTL: Duration = Duration::from_millis(500);

/// Maximum number of boxes, each counted once for a service, that a hub refers no request to.
const MAX_DECLINES: usize = 1024;

/// Request of a box for an offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferRequest {
    /// Name of the box that is cut off.
    pub from: BoxId,
    /// Number of the request.
    pub id: QueryId,
    /// Service that it is cut off from.
    pub service: ServiceId,
}

/// Request for an offer that a hub passes on to a box that reports to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Referral {
    /// Name of the hub.
    pub from: BoxId,
    /// Number of the request.
    pub id: QueryId,
    /// Service that the requesting box is cut off from.
    pub service: ServiceId,
    /// Address of the requesting box, which the offer is sent to.
    pub to: SocketAddr,
}

/// Offer to send requests for a service through a box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferReply {
    /// Name of the box that replies.
    pub from: BoxId,
    /// Number of the request.
    pub id: QueryId,
    /// Address of the box to send requests to.
    pub addr: SocketAddr,
    /// Token that this box accepts.
    pub token: Token,
    /// Requests in flight at this box.
    pub load: u32,
    /// Whether the offer is to be used only if there are no others, as the box is a hub.
    pub is_reserve: bool,
}

/// Tells a hub that the box to which it referred a request makes no offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decline {
    /// Name of the box that replies.
    pub from: BoxId,
    /// Service that it does not reach either.
    pub service: ServiceId,
}

/// An offer that a box may use.
#[derive(Clone, Copy, Debug)]
struct Offer {
    addr: SocketAddr,
    token: Token,
    /// Load of the offering box, and requests that were sent to it since.
    load: u32,
    is_reserve: bool,
    received: Duration,
}

/// Offers of other boxes.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::egress::{OfferReply, Offers, OFFER_TTL};
/// use rand::{SeedableRng, rngs::SmallRng};
///
/// let (now, mut rng) = (Duration::from_secs(1), SmallRng::seed_from_u64(1));
/// let addr = "10.0.0.2:7340".parse().unwrap();
/// let mut offers = Offers::default();
/// offers.add(now, &OfferReply { from: "b".into(), id: 1, addr, token: 7, load: 0, is_reserve: false });
/// assert_eq!(offers.choose(now, &mut rng), Some((addr, 7)));
/// assert_eq!(offers.choose(now + OFFER_TTL, &mut rng), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Offers {
    offers: Vec<Offer>,
}

impl Offers {
    /// Adds an offer, in place of an earlier one of the same box.
    pub fn add(&mut self, now: Duration, reply: &OfferReply) {
        self.expire(now);
        self.remove(reply.addr);
        if self.offers.len() >= MAX_OFFERS {
            self.offers.remove(0);
        }
        self.offers.push(Offer {
            addr: reply.addr,
            token: reply.token,
            load: reply.load,
            is_reserve: reply.is_reserve,
            received: now,
        });
    }

    /// Removes the offers of a box, which does not accept requests any more.
    pub fn remove(&mut self, addr: SocketAddr) {
        self.offers.retain(|offer| offer.addr != addr);
    }

    /// Chooses a box to send a request to: the one with less load of two at random. Counts the
    /// request as load there. Offers in reserve are used only if there are no others.
    pub fn choose(&mut self, now: Duration, rng: &mut impl Rng) -> Option<(SocketAddr, Token)> {
        self.expire(now);
        let has_others = self.offers.iter().any(|offer| !offer.is_reserve);
        let offers = self.offers.iter_mut();
        let mut usable: Vec<_> = offers.filter(|o| !(o.is_reserve && has_others)).collect();
        if usable.is_empty() {
            return None;
        }
        let first = rng.random_range(0..usable.len());
        let second = rng.random_range(0..usable.len());
        let chosen = match usable[second].load < usable[first].load {
            true => second,
            false => first,
        };
        let offer = &mut usable[chosen];
        offer.load = offer.load.saturating_add(1);
        Some((offer.addr, offer.token))
    }

    fn expire(&mut self, now: Duration) {
        self.offers.retain(|offer| now < offer.received + OFFER_TTL);
    }
}

/// Tokens with which other boxes may send requests to this one.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    /// End of the validity of each token.
    valid_until: HashMap<Token, Duration>,
}

impl Tokens {
    /// Makes a token valid; returns `false` if there are too many.
    pub fn insert(&mut self, now: Duration, token: Token) -> bool {
        self.valid_until.retain(|_, until| now < *until);
        if self.valid_until.len() >= MAX_TOKENS {
            return false;
        }
        self.valid_until.insert(token, now + TOKEN_TTL);
        true
    }

    /// Returns whether a token is valid.
    pub fn is_valid(&self, now: Duration, token: Token) -> bool {
        self.valid_until
            .get(&token)
            .is_some_and(|until| now < *until)
    }
}

/// Boxes that lately made no offer although a request was referred to them, as a hub knows them.
///
/// Where most boxes are cut off, the hub thus finds those that are not.
#[derive(Clone, Debug, Default)]
pub struct Declines {
    until: HashMap<(BoxId, ServiceId), Duration>,
}

impl Declines {
    /// Records that a box makes no offer for a service.
    pub fn insert(&mut self, now: Duration, decline: Decline) {
        self.until.retain(|_, until| now < *until);
        if self.until.len() < MAX_DECLINES {
            let until = now + DECLINE_TTL;
            self.until.insert((decline.from, decline.service), until);
        }
    }

    /// Returns the boxes that make no offer for a service.
    pub fn of_service(&self, now: Duration, service: &str) -> HashSet<&BoxId> {
        let valid = self.until.iter().filter(|(_, until)| now < **until);
        let boxes = valid.filter(|((_, declined), _)| &**declined == service);
        boxes.map(|((id, _), _)| id).collect()
    }
}

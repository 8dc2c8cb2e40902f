//! Whom a box tells its loads, and how often.
//!
//! In a small fleet each box tells every other one. What that takes grows with the
//! square of the fleet, so in a large one the boxes that read the store are hubs: a
//! box tells its hub, hubs tell each other what their boxes have together, and hand
//! on the sum of all. What a box keeps and sends stays the same then, however many
//! there are.

use std::time::Duration;

use crate::load_report::{Scope, UpstreamKey, report_intervals};
use crate::member::BoxId;
use crate::reader::Readers;

/// Boxes of a fleet in which each tells every other one: a word from far away comes
/// about twice a second then, as over hubs.
const MAX_DIRECT_BOXES: usize = 40;

/// Time between two words of a box to its hub, if something changed.
const UPLINK_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two words of a hub to its boxes on upstreams of their data centre.
pub const LOCAL_INTERVAL: Duration = Duration::from_millis(250);

/// The same on the other upstreams, which are used when those near do not do; there
/// are several times as many.
pub const REMOTE_INTERVAL: Duration = Duration::from_millis(1000);

/// Words in which what boxes have on far upstreams is told.
const REMOTE_PARTS: u8 = 2;

/// The words that a hub tells its boxes.
pub fn leaf_scopes() -> impl Iterator<Item = Scope> {
    std::iter::once(Scope::Local).chain((0..REMOTE_PARTS).map(Scope::Remote))
}

/// Whether such a word tells of an upstream, which may be near its receiver.
pub fn is_in_scope(scope: Scope, key: UpstreamKey, is_near: bool) -> bool {
    match scope {
        Scope::Own => true,
        Scope::Local => is_near,
        Scope::Remote(part) => !is_near && key % u32::from(REMOTE_PARTS) == u32::from(part),
    }
}

/// Time between two such words.
pub fn leaf_interval(scope: Scope) -> Duration {
    match scope {
        Scope::Remote(_) => REMOTE_INTERVAL,
        _ => LOCAL_INTERVAL,
    }
}

/// What a box is to the others.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// It tells every other box.
    Peer,
    /// It tells the other hubs, and the boxes that tell it.
    Hub,
    /// It tells this hub.
    Leaf(BoxId),
}

/// Whether a fleet of so many boxes is small enough for each to tell every other one.
pub fn is_full_mesh(boxes: usize) -> bool {
    boxes <= MAX_DIRECT_BOXES
}

/// The role of a box in a fleet of so many, that sees these readers.
///
/// # Example
///
/// ```
/// use ashgauge::hub::{role, Role};
/// use ashgauge::reader::Readers;
///
/// let reader_count = Readers { ids: vec!["b1".into()], sources: vec!["b1".into()], ..Default::default() };
/// assert_eq!(role(7, &reader_count), Role::Peer);
/// assert_eq!(role(985, &reader_count), Role::Leaf("b1".into()));
/// ```
pub fn role(boxes: usize, readers: &Readers) -> Role {
    if is_full_mesh(boxes) || readers.ids.is_empty() {
        return Role::Peer;
    }
    match readers.sources.first() {
        _ if readers.includes_self => Role::Hub,
        Some(hub) => Role::Leaf(hub.clone()),
        None => Role::Peer,
    }
}

impl Role {
    /// Times between two words to boxes of the own data centre, of which there are
    /// `near`, and to those elsewhere, of `others` in all that this box tells.
    pub fn intervals(&self, near: usize, others: usize) -> (Duration, Duration) {
        match self {
            Role::Leaf(_) => (UPLINK_INTERVAL, UPLINK_INTERVAL),
            _ => report_intervals(near, others),
        }
    }

    /// Time between two words on what boxes elsewhere have, where this box tells
    /// `others`.
    pub fn remote_interval(&self, others: usize) -> Duration {
        let told = report_intervals(0, others).1;
        match self {
            Role::Peer => told,
            Role::Hub => told + UPLINK_INTERVAL,
            Role::Leaf(_) => REMOTE_INTERVAL,
        }
    }

    /// Time between two words of one box on what its callers ask for. In a small fleet
    /// those of several boxes come in between where it is longer.
    pub fn traffic_interval(&self) -> Duration {
        match self {
            Role::Peer => report_intervals(0, 0).0,
            Role::Hub => UPLINK_INTERVAL,
            Role::Leaf(_) => LOCAL_INTERVAL,
        }
    }
}

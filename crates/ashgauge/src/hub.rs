//! Which boxes a box sends its load reports to, and how often.
//!
//! In a small fleet each box reports to every other one. That traffic grows with the square
//! of the fleet, so in a large fleet the boxes that read the store are hubs: a box reports
//! to its hub, hubs send each other the sums of their boxes and forward the total to them.
//! The state and the traffic of a box are then independent of the size of the fleet.

use std::time::Duration;

use crate::load_report::{Scope, UpstreamKey, report_intervals};
use crate::member::BoxId;
use crate::reader::Readers;

/// Largest fleet in which each box reports to every other one: with this many boxes a
/// report from another data centre arrives about twice a second, which is as often as
/// through hubs.
const MAX_DIRECT_BOXES: usize = 40;

/// Time between two reports of a box to its hub, if something changed.
const UPLINK_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two reports of a hub to its boxes about upstreams in their data centre.
pub const LOCAL_INTERVAL: Duration = Duration::from_millis(250);

/// The same for upstreams in other data centres. These are only used when the local ones do
/// not suffice, and there are several times as many.
pub const REMOTE_INTERVAL: Duration = Duration::from_millis(1000);

/// Number of reports over which the upstreams of other data centres are split.
const REMOTE_PARTS: u8 = 2;

/// Iterates over the scopes of the reports that a hub sends to its boxes.
pub fn leaf_scopes() -> impl Iterator<Item = Scope> {
    std::iter::once(Scope::Local).chain((0..REMOTE_PARTS).map(Scope::Remote))
}

/// Returns whether a report of this scope includes an upstream, which may be in the data
/// centre of the receiver (`is_local`).
pub fn is_in_scope(scope: Scope, key: UpstreamKey, is_local: bool) -> bool {
    match scope {
        Scope::Own => true,
        Scope::Local => is_local,
        Scope::Remote(part) => !is_local && key % u32::from(REMOTE_PARTS) == u32::from(part),
    }
}

/// Returns the time between two reports of this scope from a hub to its boxes.
pub fn leaf_interval(scope: Scope) -> Duration {
    match scope {
        Scope::Remote(_) => REMOTE_INTERVAL,
        _ => LOCAL_INTERVAL,
    }
}

/// Role of a box in the exchange of load reports.
///
/// The hubs are the readers ([`crate::reader`]). The boxes that are not readers are their
/// leaves; [`Readers::has_followers`] tells whether there are any.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Reports to every other box, as the fleet is small or no hub is known.
    Peer,
    /// Reports to the other hubs, and to the boxes that report to it.
    Hub,
    /// Reports to this hub only.
    Leaf(BoxId),
}

/// Returns whether a fleet of so many boxes is small enough for each to report to every
/// other one.
pub fn is_full_mesh(boxes: usize) -> bool {
    boxes <= MAX_DIRECT_BOXES
}

/// Returns the role of a box in a fleet of so many boxes, given the readers that it sees.
///
/// # Example
///
/// ```
/// use ashgauge::hub::{role, Role};
/// use ashgauge::reader::Readers;
///
/// let readers = Readers { ids: vec!["b1".into()], sources: vec!["b1".into()], ..Default::default() };
/// assert_eq!(role(7, &readers), Role::Peer);
/// assert_eq!(role(985, &readers), Role::Leaf("b1".into()));
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
    /// Returns the time between two reports to boxes in the same data centre, of which
    /// there are `local`, and to those elsewhere, if this box reports to `others` in total.
    pub fn intervals(&self, local: usize, others: usize) -> (Duration, Duration) {
        match self {
            Role::Leaf(_) => (UPLINK_INTERVAL, UPLINK_INTERVAL),
            _ => report_intervals(local, others),
        }
    }

    /// Returns the largest age of reports about the usage of boxes in the same data centre, of
    /// which there are `local`.
    pub fn local_interval(&self, local: usize) -> Duration {
        let interval = report_intervals(local, 0).0;
        match self {
            Role::Peer => interval,
            Role::Hub => UPLINK_INTERVAL + interval,
            Role::Leaf(_) => UPLINK_INTERVAL + interval + LOCAL_INTERVAL,
        }
    }

    /// Returns the time between two reports about the usage of boxes in other data centres,
    /// if this box reports to `others`.
    pub fn remote_interval(&self, others: usize) -> Duration {
        let interval = report_intervals(0, others).1;
        match self {
            Role::Peer => interval,
            Role::Hub => interval + UPLINK_INTERVAL,
            Role::Leaf(_) => REMOTE_INTERVAL,
        }
    }

    /// Returns the time between two reports of one box about the demand of its callers. In
    /// a small fleet the actual time may be longer, but the reports of several boxes then
    /// arrive within it.
    pub fn traffic_interval(&self) -> Duration {
        match self {
            Role::Peer => report_intervals(0, 0).0,
            Role::Hub => UPLINK_INTERVAL,
            Role::Leaf(_) => LOCAL_INTERVAL,
        }
    }
}

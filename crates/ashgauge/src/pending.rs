//! Layer ranges that engines were ordered to hold and do not announce yet.
//!
//! A box writes a round of orders before it sends them, so others know of orders that may never
//! have been sent. Engines report whether they have taken one; see
//! [`PendingAssignments::observe`].

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::member::UpstreamId;
use crate::placement::Assignment;
use crate::revision::Era;
use crate::routing::ServiceId;
use crate::upstream::LayerRange;

/// Longest time by which an engine's announcement may lag behind its loading.
pub const ANNOUNCE_LAG: Duration = Duration::from_secs(3);

/// Time after which an engine is asked for the first time whether it has taken the order of
/// another box, which sends its orders at once.
const CHECK_DELAY: Duration = Duration::from_millis(1500);

/// The same for an order of this box, which it sends several times.
const OWN_CHECK_DELAY: Duration = Duration::from_secs(8);

/// Longest time between two checks of one engine; it doubles from [`CHECK_DELAY`] on.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(12);

/// What an engine reports of an order that it may have been given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// It has taken no order since its start.
    NotTaken,
    /// It carries out an order.
    Busy,
    /// It has taken orders before, and carries out none.
    Idle,
}

/// An assignment that its engine does not announce yet, as boxes tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingAssignment {
    /// The engine and its layers.
    #[serde(flatten)]
    pub assignment: Assignment,
    /// How much longer the announcement may take, in milliseconds, from the time of
    /// sending.
    pub left_ms: u64,
}

/// Assignments that engines do not announce yet, and until when they may.
///
/// Boxes tell each other their pending assignments with the time left. So a lost order
/// expires everywhere, however often it is passed on.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::pending::PendingAssignments;
/// use ashgauge::placement::Assignment;
/// use ashgauge::upstream::LayerRange;
///
/// let second = Duration::from_secs(1);
/// let assignment = Assignment { id: "e1".into(), layers: LayerRange { first: 0, end: 4 } };
/// let (mut here, mut there) = (PendingAssignments::default(), PendingAssignments::default());
/// here.add(Duration::ZERO, &[assignment], second * 5);
/// there.merge(second * 2, &here.snapshot(second * 2));
/// assert!(there.layers("e1").is_some());
/// there.expire(second * 5);
/// assert!(there.layers("e1").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct PendingAssignments(HashMap<UpstreamId, Pending>);

/// A pending assignment, and what is known of its order.
#[derive(Clone, Copy, Debug)]
struct Pending {
    layers: LayerRange,
    /// Until when the layers may be announced.
    until: Duration,
    /// When the engine is to be asked for its order.
    check_at: Duration,
    /// Time from that check to the next one.
    check_delay: Duration,
    /// Since when the engine carries out no order, as far as it was asked.
    idle_since: Option<Duration>,
}

impl PendingAssignments {
    /// Adds assignments that this box orders now and that may take `time` until they are
    /// announced.
    pub fn add(&mut self, now: Duration, assignments: &[Assignment], time: Duration) {
        for assignment in assignments {
            let pending = Pending::new(now, assignment, time, OWN_CHECK_DELAY);
            self.0.insert(assignment.id.clone(), pending);
        }
    }

    /// Adds assignments that another box orders now, or should have ordered.
    pub fn adopt(&mut self, now: Duration, assignments: &[Assignment], time: Duration) {
        for assignment in assignments {
            let pending = Pending::new(now, assignment, time, CHECK_DELAY);
            self.0.insert(assignment.id.clone(), pending);
        }
    }

    /// Adds the assignments that another box knows of; those that this box has for the same
    /// engine take precedence.
    pub fn merge(&mut self, now: Duration, received: &[PendingAssignment]) {
        for pending in received {
            let time = Duration::from_millis(pending.left_ms);
            let assignment = &pending.assignment;
            let known = self.0.entry(assignment.id.clone());
            known.or_insert(Pending::new(now, assignment, time, CHECK_DELAY));
        }
    }

    /// Returns the pending assignments for other boxes.
    pub fn snapshot(&self, now: Duration) -> Vec<PendingAssignment> {
        let all = self.0.iter();
        let pending = all.map(|(id, pending)| PendingAssignment {
            assignment: Assignment {
                id: id.clone(),
                layers: pending.layers,
            },
            left_ms: pending.until.saturating_sub(now).as_millis() as u64,
        });
        pending.collect()
    }

    /// Removes assignments whose time is over.
    pub fn expire(&mut self, now: Duration) {
        self.0.retain(|_, pending| now < pending.until);
    }

    /// Removes the assignments that `is_open` rejects: those that are announced, or whose
    /// engine is gone.
    pub fn retain(&mut self, is_open: impl Fn(&str, LayerRange) -> bool) {
        self.0.retain(|id, pending| is_open(id, pending.layers));
    }

    /// Returns the layers that an engine was ordered to hold and does not announce yet.
    pub fn layers(&self, id: &str) -> Option<LayerRange> {
        self.0.get(id).map(|pending| pending.layers)
    }

    /// Returns the engines that are to be asked for their orders now.
    pub fn due_checks(&self, now: Duration) -> Vec<UpstreamId> {
        let due = self.0.iter().filter(|(_, pending)| now >= pending.check_at);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Puts off the next check of an engine, each time for longer.
    pub fn postpone_check(&mut self, now: Duration, id: &str) {
        if let Some(pending) = self.0.get_mut(id) {
            pending.check_at = now + pending.check_delay;
            pending.check_delay = (pending.check_delay * 2).min(MAX_CHECK_DELAY);
        }
    }

    /// Applies what an engine reports; returns whether its assignment is dropped, as it has not
    /// taken the order. One that carries out an order stays pending for as long as it does.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use ashgauge::pending::{OrderState, PendingAssignments};
    /// use ashgauge::placement::Assignment;
    /// use ashgauge::upstream::LayerRange;
    ///
    /// let second = Duration::from_secs(1);
    /// let layers = LayerRange { first: 0, end: 4 };
    /// let mut pending = PendingAssignments::default();
    /// pending.adopt(Duration::ZERO, &[Assignment { id: "e1".into(), layers }], second * 19);
    /// assert_eq!(pending.due_checks(second * 2), ["e1".into()]);
    /// assert!(pending.observe(second * 2, "e1", OrderState::NotTaken));
    /// assert!(pending.layers("e1").is_none());
    /// ```
    pub fn observe(&mut self, now: Duration, id: &str, state: OrderState) -> bool {
        let Some(pending) = self.0.get_mut(id) else {
            return false;
        };
        let is_dropped = match state {
            OrderState::NotTaken => true,
            OrderState::Busy => {
                pending.idle_since = None;
                let next_check = pending.check_at.max(now + CHECK_DELAY);
                pending.until = pending.until.max(next_check + ANNOUNCE_LAG);
                false
            }
            // Its announcement may be under way.
            OrderState::Idle => {
                let since = *pending.idle_since.get_or_insert(now);
                now >= since + ANNOUNCE_LAG
            }
        };
        if is_dropped {
            self.0.remove(id);
        }
        is_dropped
    }
}

impl Pending {
    fn new(now: Duration, assignment: &Assignment, time: Duration, check_delay: Duration) -> Self {
        Pending {
            layers: assignment.layers,
            until: now + time,
            check_at: now + check_delay,
            check_delay: CHECK_DELAY,
            idle_since: None,
        }
    }
}

/// The last round of orders that a box has heard of, by service.
///
/// A store that was restored from a copy has lost the latest rounds, and uses their numbers
/// again in its next era. The orders of the rounds that the copy holds were sent long before,
/// and the engines know those of the lost rounds, so none of them need be sent again.
///
/// # Example
///
/// ```
/// use ashgauge::pending::OrderRounds;
///
/// let mut rounds = OrderRounds::default();
/// assert!(rounds.is_newer(&"model".into(), 0, 5));
/// rounds.record("model".into(), 0, 5);
/// assert!(!rounds.is_newer(&"model".into(), 0, 5));
/// // Round 3 of the next era is newer, but its orders need not be sent again.
/// assert!(rounds.is_newer(&"model".into(), 1, 3));
/// assert!(!rounds.may_be_unsent(&"model".into(), 1, 3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OrderRounds(HashMap<ServiceId, (Era, u64)>);

impl OrderRounds {
    /// Returns whether a stored round is later than the last known one.
    pub fn is_newer(&self, service: &ServiceId, era: Era, round: u64) -> bool {
        self.last(service) < (era, round)
    }

    /// Returns whether the orders of a box's own stored round may not have been sent: its
    /// write was not answered, or the process ended before the orders.
    pub fn may_be_unsent(&self, service: &ServiceId, era: Era, round: u64) -> bool {
        let is_same = self.0.get(service).is_none_or(|(known, _)| *known == era);
        is_same && self.is_newer(service, era, round)
    }

    /// Returns the number of the last known round of a service; 0 before the first one.
    pub fn last_round(&self, service: &ServiceId) -> u64 {
        self.last(service).1
    }

    /// Records a round.
    pub fn record(&mut self, service: ServiceId, era: Era, round: u64) {
        self.0.insert(service, (era, round));
    }

    fn last(&self, service: &ServiceId) -> (Era, u64) {
        self.0.get(service).copied().unwrap_or_default()
    }
}

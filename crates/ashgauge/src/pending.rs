//! Layer ranges that engines were ordered to hold and do not announce yet.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::member::UpstreamId;
use crate::placement::Assignment;
use crate::revision::Era;
use crate::routing::ServiceId;
use crate::upstream::LayerRange;

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
pub struct PendingAssignments(HashMap<UpstreamId, (LayerRange, Duration)>);

impl PendingAssignments {
    /// Adds assignments that are ordered now and may take `time` until they are announced.
    pub fn add(&mut self, now: Duration, assignments: &[Assignment], time: Duration) {
        for assignment in assignments {
            self.0
                .insert(assignment.id.clone(), (assignment.layers, now + time));
        }
    }

    /// Adds the assignments that another box knows of; those that this box has for the same
    /// engine take precedence.
    pub fn merge(&mut self, now: Duration, received: &[PendingAssignment]) {
        for pending in received {
            let until = now + Duration::from_millis(pending.left_ms);
            let assignment = &pending.assignment;
            let known = self.0.entry(assignment.id.clone());
            known.or_insert((assignment.layers, until));
        }
    }

    /// Returns the pending assignments for other boxes.
    pub fn snapshot(&self, now: Duration) -> Vec<PendingAssignment> {
        let pending = self
            .0
            .iter()
            .map(|(id, (layers, until))| PendingAssignment {
                assignment: Assignment {
                    id: id.clone(),
                    layers: *layers,
                },
                left_ms: until.saturating_sub(now).as_millis() as u64,
            });
        pending.collect()
    }

    /// Removes assignments whose time is over.
    pub fn expire(&mut self, now: Duration) {
        self.0.retain(|_, (_, until)| now < *until);
    }

    /// Removes the assignments that `is_open` rejects: those that are announced, or whose
    /// engine is gone.
    pub fn retain(&mut self, is_open: impl Fn(&str, LayerRange) -> bool) {
        self.0.retain(|id, (layers, _)| is_open(id, *layers));
    }

    /// Returns the layers that an engine was ordered to hold and does not announce yet.
    pub fn layers(&self, id: &str) -> Option<LayerRange> {
        self.0.get(id).map(|(layers, _)| *layers)
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

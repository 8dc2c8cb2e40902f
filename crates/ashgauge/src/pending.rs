//! Ranges of layers that were ordered and do not show yet.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::member::UpstreamId;
use crate::placement::Assignment;
use crate::revision::Era;
use crate::routing::ServiceId;
use crate::upstream::LayerRange;

/// A range that does not show yet, as one box tells it to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingAssignment {
    /// The range and its engine.
    #[serde(flatten)]
    pub assignment: Assignment,
    /// How much longer it may take to show, in milliseconds, from the moment
    /// of telling.
    pub left_ms: u64,
}

/// What was ordered of engines, and until when it may take to show.
///
/// Boxes tell each other what they wait for, with the time that is left. An
/// order that was lost thus lapses everywhere, however often it is told on.
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
    /// Notes ranges that are ordered now and may take `time` to show.
    pub fn add(&mut self, now: Duration, ranges: &[Assignment], time: Duration) {
        for range in ranges {
            self.0.insert(range.id.clone(), (range.layers, now + time));
        }
    }

    /// Takes what another box told; what this box knows itself goes before it.
    pub fn merge(&mut self, now: Duration, told: &[PendingAssignment]) {
        for unshown in told {
            let until = now + Duration::from_millis(unshown.left_ms);
            let range = &unshown.assignment;
            let known = self.0.entry(range.id.clone());
            known.or_insert((range.layers, until));
        }
    }

    /// What other boxes are to know.
    pub fn snapshot(&self, now: Duration) -> Vec<PendingAssignment> {
        let unshown = self.0.iter().map(|(id, (span, until))| PendingAssignment {
            assignment: Assignment {
                id: id.clone(),
                layers: *span,
            },
            left_ms: until.saturating_sub(now).as_millis() as u64,
        });
        unshown.collect()
    }

    /// Forgets what had its time.
    pub fn expire(&mut self, now: Duration) {
        self.0.retain(|_, (_, until)| now < *until);
    }

    /// Forgets ranges for which `is_open` says no: those that show, or whose
    /// engine is gone.
    pub fn retain(&mut self, is_open: impl Fn(&str, LayerRange) -> bool) {
        self.0.retain(|id, (span, _)| is_open(id, *span));
    }

    /// The range that an engine was ordered to hold and does not show yet.
    pub fn layers(&self, id: &str) -> Option<LayerRange> {
        self.0.get(id).map(|(span, _)| *span)
    }
}

/// Rounds of orders that a box has heard of, by service.
///
/// A store that came back from a copy gives numbers of rounds out again. Those that it
/// holds then were ordered long before, and those that it lost are known to the engines.
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
/// // Round 3 of the next era is news, but no add that was not given.
/// assert!(rounds.is_newer(&"model".into(), 1, 3));
/// assert!(!rounds.may_be_unsent(&"model".into(), 1, 3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OrderRounds(HashMap<ServiceId, (Era, u64)>);

impl OrderRounds {
    /// Whether a stored round is later than the last one heard of.
    pub fn is_newer(&self, service: &ServiceId, era: Era, round: u64) -> bool {
        self.last(service) < (era, round)
    }

    /// Whether a box's own stored round may not have been ordered: its writing was not
    /// answered, or the process ended before the orders.
    pub fn may_be_unsent(&self, service: &ServiceId, era: Era, round: u64) -> bool {
        let is_same = self.0.get(service).is_none_or(|(known, _)| *known == era);
        is_same && self.is_newer(service, era, round)
    }

    /// Notes a round.
    pub fn record(&mut self, service: ServiceId, era: Era, round: u64) {
        self.0.insert(service, (era, round));
    }

    fn last(&self, service: &ServiceId) -> (Era, u64) {
        self.0.get(service).copied().unwrap_or_default()
    }
}

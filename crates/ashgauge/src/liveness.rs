//! Whether an upstream instance has ended, as judged from what several boxes see of it.
//!
//! That a box cannot connect to an upstream does not show that the upstream has ended: it may
//! have used up its connections, be busy, or be cut off from that box only. An upstream that
//! ends breaks all its connections at once, those of all boxes, and takes no new ones.

use serde::{Deserialize, Serialize};

use crate::member::BoxId;
use crate::quarantine::InstanceKey;
use crate::query::QueryId;

/// Number of runs on an upstream that must have broken for it to count as ended. A single one
/// may have failed by itself.
const MIN_BROKEN_RUNS: u32 = 2;

/// Request of a box for what another one sees of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LivenessRequest {
    /// Name of the box that sends the request.
    pub from: BoxId,
    /// Number of the request.
    pub id: QueryId,
    /// The upstream instance.
    pub instance: InstanceKey,
}

/// Reply to a [`LivenessRequest`]; a box that is cut off from the service sends none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LivenessReply {
    /// Name of the box that sends the reply.
    pub from: BoxId,
    /// Number of the request.
    pub id: QueryId,
    /// What the box sees.
    pub observation: Observation,
}

/// What a box sees of an upstream instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Whether the upstream takes new connections, or works on requests of the box.
    pub is_reached: bool,
    /// Number of the box's runs there that have broken since the upstream last answered it.
    pub broken_runs: u32,
}

/// Returns whether an upstream instance has ended, from what this box and others see of it.
///
/// None of them reaches it, and runs there have broken: on another box too, unless this box is
/// the only one.
///
/// # Example
///
/// ```
/// use ashgauge::liveness::{Observation, has_ended};
///
/// let broken = Observation { is_reached: false, broken_runs: 1 };
/// let unused = Observation { is_reached: false, broken_runs: 0 };
/// let reached = Observation { is_reached: true, broken_runs: 0 };
/// assert!(has_ended(broken, &[broken, unused], true));
/// assert!(!has_ended(broken, &[unused], true));
/// assert!(!has_ended(broken, &[broken, reached], true));
/// ```
pub fn has_ended(own: Observation, others: &[Observation], has_peers: bool) -> bool {
    if own.is_reached || others.iter().any(|o| o.is_reached) {
        return false;
    }
    let theirs: u32 = others.iter().map(|o| o.broken_runs).sum();
    let is_seen_by_others = !has_peers || theirs > 0;
    is_seen_by_others && own.broken_runs.saturating_add(theirs) >= MIN_BROKEN_RUNS
}

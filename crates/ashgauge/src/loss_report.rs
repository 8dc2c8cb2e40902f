//! Reports of one box to others on upstreams that were lost while they ran requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::crashing_part::{LostRun, SoundPart};
use crate::digest::Digest;

/// Hash that identifies one instance of an upstream: from one start of it to its end.
pub type InstanceKey = u32;

/// The loss of an upstream instance while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceLoss {
    /// Digest of the request.
    pub digest: Digest,
    /// Instance of the upstream that was lost.
    #[serde(rename = "start")]
    pub instance: InstanceKey,
}

/// A quarantined request, as one box reports it to others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Digest of the request.
    pub digest: Digest,
    /// Remaining time of the quarantine, in whole seconds, from the time of the report.
    pub left_s: u32,
}

/// Report of one box to others on losses and quarantined requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LossReport {
    /// Losses that the box saw or was told of within the last seconds.
    #[serde(rename = "lost")]
    pub losses: Vec<InstanceLoss>,
    /// Quarantined requests.
    #[serde(rename = "held")]
    pub quarantined: Vec<QuarantinedRequest>,
}

/// Report of one box to others on the parts of prompts under which upstreams were lost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartReport {
    /// Runs during which upstreams were lost, with the parts that may be the cause.
    pub runs: Vec<LostRun>,
    /// Parts on which answers were written, among those under which upstreams were lost.
    pub sound: Vec<SoundPart>,
}

/// Number of items of each kind that a box has reported to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reported {
    pub(crate) losses: u64,
    pub(crate) runs: u64,
    pub(crate) sound: u64,
}

impl QuarantinedRequest {
    /// Creates the report of a request with the time left of its quarantine.
    pub(crate) fn new((digest, left): &(Digest, Duration)) -> Self {
        QuarantinedRequest {
            digest: *digest,
            left_s: left.as_secs().try_into().unwrap_or(u32::MAX),
        }
    }
}

impl PartReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.sound.is_empty()
    }
}

impl LossReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.quarantined.is_empty()
    }
}

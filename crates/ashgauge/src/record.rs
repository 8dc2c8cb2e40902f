//! Records of a box's timeline: what it decided or learned, and when.

use serde::{Deserialize, Serialize};

use crate::chain::{Layer, Stage};
use crate::clock::Timestamp;
use crate::member::{BoxId, UpstreamId};
use crate::queue::RequestId;
use crate::table::Version;

/// A record of something that a box decided or learned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Timestamp, comparable with those of other boxes.
    pub at: Timestamp,
    /// Name of the box.
    #[serde(rename = "node")]
    pub box_id: BoxId,
    /// Request that the record belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Kind and details of the record.
    #[serde(flatten)]
    pub kind: RecordKind,
}

/// Kind and details of a [`Record`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum RecordKind {
    Arrived {
        team: String,
        route: String,
    },
    Claimed {
        key: String,
        #[serde(rename = "verdict")]
        result: String,
    },
    Queued {
        waiting: usize,
    },
    Chosen {
        attempt: u32,
        stages: Vec<Stage>,
    },
    Called {
        attempt: u32,
        upstream: UpstreamId,
    },
    Resumed {
        upstream: UpstreamId,
        position: u32,
    },
    Lost {
        upstream: UpstreamId,
        cause: String,
    },
    Replaced {
        first: Layer,
        end: Layer,
        stages: Vec<Stage>,
        replayed: usize,
    },
    HeldBack,
    Stalled {
        first: Layer,
        end: Layer,
    },
    Dropped {
        upstream: UpstreamId,
    },
    Ended {
        outcome: String,
        kind: String,
        tokens: u32,
    },
    Table {
        version: Version,
        source: String,
    },
    Edit {
        id: String,
        result: String,
    },
    Leaving {
        upstream: UpstreamId,
        source: String,
    },
    Lease {
        name: String,
        term: u64,
        held: bool,
    },
    Ordered {
        upstream: UpstreamId,
        term: u64,
        order: String,
        result: String,
    },
    Draining {
        inflight: usize,
    },
    Suspected {
        #[serde(rename = "node")]
        box_id: BoxId,
    },
}

//! Messages between boxes.

use serde::{Deserialize, Serialize};

use crate::claim::{ClaimId, ClaimResult};
use crate::clock::Timestamp;
use crate::member::{BoxId, MemberList, UpstreamId};
use crate::policy::TeamId;
use crate::quarantine::LossReport;
use crate::table::{Edit, Table, Version};

/// A message with its sender and timestamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sending box.
    pub from: BoxId,
    /// Address of the sender's port for messages from other boxes, for the reply.
    pub addr: String,
    /// Timestamp by the sender's clock.
    pub at: Timestamp,
    /// Content of the message.
    pub body: Message,
}

/// Content of a message from one box to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Message {
    /// Sent to a few randomly chosen boxes in every heartbeat interval.
    Heartbeat {
        /// Table version in force.
        version: Version,
        /// Upstreams that are known to be leaving.
        leaving: Vec<UpstreamId>,
        /// Whether the receiver should reply with a heartbeat of its own.
        #[serde(rename = "answer")]
        wants_reply: bool,
        /// Upstreams lost while they ran a request, and the requests quarantined for that.
        #[serde(default, skip_serializing_if = "LossReport::is_empty")]
        losses: LossReport,
    },
    /// Asks the receiver to lend parts of its shares of team rates.
    #[serde(rename = "ask_loans")]
    RequestLoans {
        /// Teams and the requested tokens per second.
        wants: Vec<(TeamId, f64)>,
        /// Time of the request by the sender's own clock, in microseconds; the reply returns it.
        #[serde(rename = "asked")]
        asked_us: u64,
    },
    /// Answers [`Message::RequestLoans`] with the parts of team rates that are lent.
    GrantLoans {
        /// Teams and the lent tokens per second.
        rates: Vec<(TeamId, f64)>,
        /// Value of the same field of the request.
        #[serde(rename = "asked")]
        asked_us: u64,
    },
    /// Asks the box that owns an idempotency key to claim the key.
    #[serde(rename = "ask_claim")]
    RequestClaim {
        /// Idempotency key.
        key: String,
        /// Unique name of the claim.
        id: ClaimId,
    },
    /// Answers [`Message::RequestClaim`].
    #[serde(rename = "tell_claim")]
    ClaimReply {
        /// Unique name of the claim.
        id: ClaimId,
        /// Result of the claim.
        #[serde(rename = "verdict")]
        result: ClaimResult,
    },
    /// Tells the box that owns a key the new state of the claimed request.
    #[serde(rename = "end_claim")]
    UpdateClaim {
        /// Idempotency key.
        key: String,
        /// Unique name of the claim.
        id: ClaimId,
        /// New state of the request.
        #[serde(rename = "stage")]
        state: crate::claim::ClaimState,
    },
    /// Asks for the changes after a table version; 0 asks for the whole state.
    FetchState {
        /// Table version of the sender.
        #[serde(rename = "since")]
        after: Version,
    },
    /// Answers [`Message::FetchState`] with the edits that led to a version.
    Edits {
        /// Version after the last edit.
        version: Version,
        /// Edits, oldest first; each of them made one version.
        edits: Vec<Edit>,
        /// Hash of the table at that version.
        hash: u64,
    },
    /// Answers [`Message::FetchState`] with the whole state.
    State {
        /// Version of the table.
        version: Version,
        /// The table.
        table: Box<Table>,
        /// The platform's list of members.
        listing: MemberList,
    },
}

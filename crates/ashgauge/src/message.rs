//! Messages between boxes.

use serde::{Deserialize, Serialize};

use crate::claim::{ClaimId, ClaimResult};
use crate::clock::Timestamp;
use crate::member::{BoxId, MemberList, UpstreamId};
use crate::policy::TeamId;
use crate::quarantine::Report;
use crate::table::{Edit, Table, Version};

/// A message with its sender and the sender's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending box.
    pub from: BoxId,
    /// Address of its box-to-box port, for the answer.
    pub addr: String,
    /// Its clock.
    pub at: Timestamp,
    /// What it says.
    pub body: Message,
}

/// What one box tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Message {
    /// Sent to a few boxes chosen at random, every heartbeat interval.
    Heartbeat {
        /// Table version in force.
        version: Version,
        /// Upstreams known to leave.
        leaving: Vec<UpstreamId>,
        /// Whether the receiver should answer with a heartbeat of its own.
        #[serde(rename = "answer")]
        wants_reply: bool,
        /// Losses under requests, and requests that are held back for them.
        #[serde(default, skip_serializing_if = "Report::is_empty")]
        losses: Report,
    },
    /// Asks for loans of team rates.
    #[serde(rename = "ask_loans")]
    RequestLoans {
        /// Teams and the tokens a second wanted.
        wants: Vec<(TeamId, f64)>,
        /// Asker's clock when it asked, in microseconds; given back.
        #[serde(rename = "asked")]
        asked_us: u64,
    },
    /// Lends parts of team rates.
    GrantLoans {
        /// Teams and tokens a second.
        rates: Vec<(TeamId, f64)>,
        /// The asker's clock, as it came.
        #[serde(rename = "asked")]
        asked_us: u64,
    },
    /// Asks a key's home box to claim it.
    #[serde(rename = "ask_claim")]
    RequestClaim {
        /// The key.
        key: String,
        /// Unique name of the claim.
        id: ClaimId,
    },
    /// Answers [`Message::RequestClaim`].
    #[serde(rename = "tell_claim")]
    ClaimReply {
        /// Unique name of the claim.
        id: ClaimId,
        /// What became of it.
        #[serde(rename = "verdict")]
        result: ClaimResult,
    },
    /// Tells a key's home box how far the request came.
    #[serde(rename = "end_claim")]
    UpdateClaim {
        /// The key.
        key: String,
        /// Unique name of the claim.
        id: ClaimId,
        /// How far the request came.
        #[serde(rename = "stage")]
        state: crate::claim::ClaimState,
    },
    /// Asks for what is newer than a table version; 0 asks for everything.
    FetchState {
        /// Version that the sender has.
        #[serde(rename = "since")]
        after: Version,
    },
    /// Answers [`Message::FetchState`] with the edits that led to a version.
    Edits {
        /// Version after the last edit.
        version: Version,
        /// The edits, oldest first; each made one version.
        edits: Vec<Edit>,
        /// Hash of the table at that version.
        hash: u64,
    },
    /// Answers [`Message::FetchState`] whole.
    State {
        /// Version of the table.
        version: Version,
        /// The table.
        table: Box<Table>,
        /// The list of members.
        listing: MemberList,
    },
}

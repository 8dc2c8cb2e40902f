//! Proofs of freshness that one box takes from another.
//!
//! A box asks at its own time `q`; the answer says how old the answering box's
//! knowledge is at that moment, by its own clock: the time since it sent the
//! question that proved it. The answer was given after `q`, so what it proves
//! held at `q` less that age. A slow, frozen or restarted box on either side,
//! and a datagram that comes late or twice, can only make that moment earlier
//! than need be. For the same reason a proof may be handed on any number of
//! times: ages only add up.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::load_report::LoadReport;
use crate::member::BoxId;
use crate::mirror::{Revision, Update};
use crate::permit;
use crate::quarantine::{InstanceKey, Report};

/// Number of a question, chosen at random.
pub type QueryId = u64;

/// What a box sends another in one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// What a box has on the upstreams.
    Load(LoadReport),
    /// What do you know?
    #[serde(rename = "Question")]
    Query(Query),
    /// What this box knows.
    Answer(Answer),
    /// The box with this name knows something new.
    #[serde(rename = "News")]
    Changed(BoxId),
    /// What the box with this name knows of requests that end upstreams.
    Losses(BoxId, Report),
    /// May a request go to an upstream that names a limit?
    AskPermit(permit::PermitRequest),
    /// Whether it may.
    Permit(permit::PermitReply),
    /// Engines that accept no connections, as the box with this name found or was told; at
    /// most [`crate::suspicion::MAX_SUSPECTS_SENT`].
    Suspects(BoxId, Vec<InstanceKey>),
}

/// Asks what another box knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The box that asks.
    pub from: BoxId,
    /// Number of the question.
    pub id: QueryId,
    /// Revision up to which it knows everything.
    pub after: Revision,
    /// Ticket of an answer that was too large for a datagram.
    #[serde(rename = "ticket")]
    pub fetch_token: Option<FetchToken>,
}

/// Lets a box fetch an answer over a connection. It is sent to the address that
/// the box announced, so nobody else has it.
pub type FetchToken = u64;

/// What a box knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The box that answers.
    pub from: BoxId,
    /// The question that it answers.
    pub id: QueryId,
    /// How many boxes it knows of; 0 if it has not counted them.
    pub boxes: u32,
    /// What it says.
    pub body: AnswerBody,
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AnswerBody {
    /// The box knows nothing yet.
    #[serde(rename = "Nothing")]
    Empty {
        /// How long ago it asked the store, if that held nothing to know.
        #[serde(rename = "asked")]
        asked_ago: Option<Duration>,
    },
    /// What the asking box lacks.
    #[serde(rename = "Known")]
    Update {
        /// Age of the proof that it is still so.
        age: Duration,
        /// What it lacks.
        update: Update,
    },
    /// The same in few bytes, for an answer that is fetched.
    #[serde(rename = "Packed")]
    Compressed {
        /// Age of the proof that it is still so.
        age: Duration,
        /// The update, packed.
        bytes: Vec<u8>,
    },
    /// It is too large for a datagram.
    #[serde(rename = "Large")]
    TooLarge {
        /// Lets it be fetched.
        #[serde(rename = "ticket")]
        fetch_token: FetchToken,
        /// Its size in bytes.
        bytes: u64,
    },
}

/// Moment as of which an answer proves what a box knows, by the clock of the
/// box that asked; nothing if that is before its clock began.
pub fn proven_at(asked: Duration, age: Duration) -> Option<Duration> {
    asked.checked_sub(age)
}

impl Datagram {
    /// The box that sent it.
    pub fn from(&self) -> &BoxId {
        match self {
            Datagram::Load(word) => &word.from,
            Datagram::Query(question) => &question.from,
            Datagram::Answer(answer) => &answer.from,
            Datagram::AskPermit(ask) => &ask.from,
            Datagram::Permit(reply) => &reply.from,
            Datagram::Changed(from) | Datagram::Losses(from, _) | Datagram::Suspects(from, _) => {
                from
            }
        }
    }
}

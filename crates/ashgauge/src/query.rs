//! Queries by which one box gets the store's content, and a proof of its freshness, from
//! another box.
//!
//! A box sends a query at its own time `q`. The answer states the age of the answering box's
//! data at that moment, by that box's clock: the time since it sent the query that its data is
//! based on. The answer was given after `q`, so its data was current at `q` minus that age. A
//! slow, suspended or restarted box on either side, or a late or duplicated datagram, can only
//! make that time earlier than necessary. For the same reason data can be passed on any number
//! of times: the ages just add up.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::egress::{Decline, OfferReply, OfferRequest, Referral};
use crate::liveness::{LivenessReply, LivenessRequest};
use crate::load_report::LoadReport;
use crate::member::BoxId;
use crate::mirror::{Revision, Update};
use crate::permit;
use crate::quarantine::{InstanceKey, LossReport, PartReport};

/// Random number that identifies a query.
pub type QueryId = u64;

/// Message that a box sends to another in one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Load that the requests of a box put on the upstreams.
    Load(LoadReport),
    /// Query for the data of another box.
    #[serde(rename = "Question")]
    Query(Query),
    /// Answer to a query.
    Answer(Answer),
    /// The box with this name has new data.
    #[serde(rename = "News")]
    Changed(BoxId),
    /// Report by the box with this name of requests that crash upstreams.
    Losses(BoxId, LossReport),
    /// Request for a permit to send to an upstream that names a limit.
    AskPermit(permit::PermitRequest),
    /// Reply to a permit request.
    Permit(permit::PermitReply),
    /// Engines that do not accept connections, as the box with this name found or was told; at
    /// most [`crate::suspicion::MAX_SUSPECTS_SENT`].
    Suspects(BoxId, Vec<InstanceKey>),
    /// Request for an offer to send requests through another box.
    AskOffer(OfferRequest),
    /// Offer to send requests through a box.
    Offer(OfferReply),
    /// Request for an offer that a hub passes on.
    Referral(Referral),
    /// Report by the box with this name on parts of prompts that crash upstreams.
    Parts(BoxId, PartReport),
    /// Reply to a referral by a box that makes no offer.
    Decline(Decline),
    /// Request for what another box sees of an upstream.
    AskLiveness(LivenessRequest),
    /// Reply to such a request.
    Liveness(LivenessReply),
}

/// Query for the changes that another box has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Name of the box that sent the query.
    pub from: BoxId,
    /// Number of the query.
    pub id: QueryId,
    /// Revision up to which the querying box has everything.
    pub after: Revision,
    /// Token of an answer that was too large for a datagram, to fetch it.
    #[serde(rename = "ticket")]
    pub fetch_token: Option<FetchToken>,
}

/// Token that authorizes a box to fetch an answer over a connection. It is sent only to the
/// address that the box announced, so no other box has it.
pub type FetchToken = u64;

/// Answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Name of the box that answers.
    pub from: BoxId,
    /// Number of the query.
    pub id: QueryId,
    /// Number of boxes that the answering box knows of; 0 if it has not counted them.
    pub boxes: u32,
    /// Content of the answer.
    pub body: AnswerBody,
}

/// Content of an [`Answer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AnswerBody {
    /// The answering box has no data yet.
    #[serde(rename = "Nothing")]
    Empty {
        /// Time since it last read the store, if the store was empty then.
        #[serde(rename = "asked")]
        asked_ago: Option<Duration>,
    },
    /// Changes that the querying box lacks.
    #[serde(rename = "Known")]
    Update {
        /// Age of the data: the time since the query that it is based on was sent.
        age: Duration,
        /// The changes.
        update: Update,
    },
    /// The same in compressed form, for an answer that is fetched over a connection.
    #[serde(rename = "Packed")]
    Compressed {
        /// Age of the data: the time since the query that it is based on was sent.
        age: Duration,
        /// The encoded and compressed update.
        bytes: Vec<u8>,
    },
    /// The answer is too large for a datagram.
    #[serde(rename = "Large")]
    TooLarge {
        /// Token to fetch the answer with.
        #[serde(rename = "ticket")]
        fetch_token: FetchToken,
        /// Size of the answer in bytes.
        bytes: u64,
    },
}

/// Returns the time at which the data of an answer was current, by the clock of the box that
/// sent the query at `asked_at`; `None` if that is before the start of that clock.
pub fn proven_at(asked_at: Duration, age: Duration) -> Option<Duration> {
    asked_at.checked_sub(age)
}

impl Datagram {
    /// Returns the name of the box that sent the datagram.
    pub fn from(&self) -> &BoxId {
        match self {
            Datagram::Load(report) => &report.from,
            Datagram::Query(query) => &query.from,
            Datagram::Answer(answer) => &answer.from,
            Datagram::AskPermit(request) => &request.from,
            Datagram::Permit(reply) => &reply.from,
            Datagram::AskOffer(request) => &request.from,
            Datagram::Offer(offer) => &offer.from,
            Datagram::Referral(referral) => &referral.from,
            Datagram::Decline(decline) => &decline.from,
            Datagram::AskLiveness(request) => &request.from,
            Datagram::Liveness(reply) => &reply.from,
            Datagram::Changed(from)
            | Datagram::Losses(from, _)
            | Datagram::Suspects(from, _)
            | Datagram::Parts(from, _) => from,
        }
    }
}

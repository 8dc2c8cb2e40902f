//! What goes into a node and what comes out of it.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::chain::Layer;
use crate::claim::{StoredShard, WriteResult};
use crate::editor::{EditResult, WaiterId};
use crate::lease;
use crate::member::{MemberList, UpstreamId};
use crate::message::{Envelope, Message};
use crate::policy::KeyHash;
use crate::queue::RequestId;
use crate::record::Record;
use crate::table::{Edit, Table, Version};

/// What a stage passes to the next for one position: token or activation.
///
/// A node keeps and hands on these values and never looks into them.
pub type StageValue = u64;

/// Number of a stage's session, unique within its request.
pub type SessionId = u32;

/// A caller's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct IncomingRequest {
    /// Unique while this process lives.
    pub id: RequestId,
    /// SHA-256 of the bearer key.
    pub key_hash: KeyHash,
    /// What it asks for.
    pub work: Work,
    /// Value of `Idempotency-Key`.
    #[serde(rename = "key")]
    pub idempotency_key: Option<String>,
    /// Whether the caller allows a second try.
    pub repeatable: bool,
    /// Longest time, if the caller gave one.
    pub timeout: Option<Duration>,
}

/// What a caller asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Work {
    /// Generate from a model.
    Generate {
        /// Route of the model.
        model: String,
        /// The prompt's tokens.
        prompt: Vec<StageValue>,
        /// Most tokens to generate.
        #[serde(rename = "most")]
        max_tokens: u32,
    },
    /// Call a plain service.
    Call {
        /// Method.
        method: String,
        /// Path and query.
        path: String,
        /// Content type.
        #[serde(rename = "content")]
        content_type: String,
        /// Body.
        body: Arc<[u8]>,
    },
}

/// A generated token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Its value, the next position's input.
    pub id: StageValue,
    /// Its text.
    pub text: String,
    /// Whether the model ends here.
    pub end: bool,
}

/// Order to one stage: run these positions through these layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageRun {
    /// The request.
    pub id: RequestId,
    /// Number of the try.
    pub attempt: u32,
    /// The stage's session; a replacement has another one.
    pub session: SessionId,
    /// The engine.
    pub upstream: UpstreamId,
    /// Its address.
    pub addr: String,
    /// Model.
    pub model: String,
    /// First layer.
    pub first: Layer,
    /// Layer after the last.
    pub end: Layer,
    /// Position of the first input.
    pub start: u32,
    /// Inputs, one a position.
    pub inputs: Vec<StageValue>,
    /// How many of them only rebuild a lost stage's state.
    pub rebuild: u32,
}

/// A stage's answer to a [`StageRun`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageResult {
    /// The request.
    pub id: RequestId,
    /// The session that the engine names.
    pub session: SessionId,
    /// Position of the first output.
    pub start: u32,
    /// Outputs, one a position.
    pub outputs: Vec<StageValue>,
    /// Token sampled after the last position, by the stage with the last layer.
    pub token: Option<Token>,
    /// Time in the engine before it ran.
    pub queued: Duration,
    /// Time that it ran.
    pub ran: Duration,
}

/// Why an order brought no answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpstreamError {
    /// No byte of it left this box.
    NotSent(String),
    /// The upstream refused before running, in its protocol's words.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// How long it wants no new work from this box, if it says so.
        rest: Option<Duration>,
    },
    /// It was sent and no whole answer came.
    Lost(String),
}

/// An upstream's own word for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It is leaving.
    Leaving,
    /// It has no place for another session.
    Busy,
    /// It does not hold the session, or holds it at another position.
    NoSession,
    /// It does not hold the layers.
    NoLayers,
}

/// Order to a plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceCall {
    /// The request.
    pub id: RequestId,
    /// Number of the try.
    pub attempt: u32,
    /// The service.
    pub upstream: UpstreamId,
    /// Its address.
    pub addr: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type.
    #[serde(rename = "content")]
    pub content_type: String,
    /// Value of `Idempotency-Key`, passed on.
    #[serde(rename = "key")]
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Arc<[u8]>,
}

/// A service's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Status code.
    pub status: u16,
    /// Content type.
    #[serde(rename = "content")]
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Whether a request ran, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran to its end.
    Done,
    /// It did not run and will not; sending it again is safe.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Kinds of refusals and failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum RefusalKind {
    Unauthorized,
    UnknownRoute,
    BadKey,
    NotReady,
    Draining,
    QueueFull,
    Overloaded,
    RateLimited,
    NoUpstream,
    PlatformDown,
    KeyTaken,
    Deadline,
    Broken,
    Held,
    Stopped,
}

/// A request's final answer when it brought no result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind.
    pub kind: RefusalKind,
    /// Whether it ran.
    pub outcome: Outcome,
    /// What happened.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// When to come back, if that may help.
    pub retry_after: Option<Duration>,
}

/// Parts of the answer to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplyPart {
    /// A piece of generated text.
    Token(Token),
    /// The whole answer was given; counts of prompt and generated tokens.
    End {
        /// Prompt tokens.
        prompt: u32,
        /// Generated tokens.
        generated: u32,
    },
    /// A service's answer.
    Called(ServiceResponse),
    /// No result.
    Refused(Refusal),
}

/// Names of the objects that a node keeps in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObjectKey {
    /// The table; see [`Table`].
    Table,
    /// A shard of claims; see [`StoredShard`].
    Claims(u32),
    /// A lease; see [`lease::Stored`].
    Lease,
}

/// A typed value of an [`ObjectKey`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObjectValue {
    /// Of [`ObjectKey::Table`].
    Table(Arc<Table>),
    /// Of [`ObjectKey::ClaimSettings`].
    Claims(StoredShard),
    /// Of [`ObjectKey::Lease`].
    Lease(lease::StoredLease),
}

/// What a node is told. Each event comes with the time it happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Event {
    /// A caller sent a request.
    #[serde(rename = "Arrive")]
    RequestArrived(IncomingRequest),
    /// A caller closed its connection.
    #[serde(rename = "Gone")]
    CallerGone(RequestId),
    /// A stage answered.
    #[serde(rename = "Ran")]
    StageDone(StageResult),
    /// A stage's order failed; names the request, session and position.
    #[serde(rename = "RunFailed")]
    StageFailed(RequestId, SessionId, u32, UpstreamError),
    /// A service answered.
    #[serde(rename = "Called")]
    ServiceDone(RequestId, u32, ServiceResponse),
    /// A service call failed.
    #[serde(rename = "CallFailed")]
    ServiceFailed(RequestId, u32, UpstreamError),
    /// An object was read; version 0 if it is not there, `None` if no answer.
    Read(ObjectKey, Option<(Version, Option<ObjectValue>)>),
    /// A conditional write of this content ended.
    Written(ObjectKey, ObjectValue, WriteResult),
    /// The table's watch showed a version.
    #[serde(rename = "Watched")]
    TableVersion(Version),
    /// The platform's list was read and has changed.
    Listed(MemberList),
    /// A watch ended without a change; the platform is there.
    Unchanged,
    /// Another box's message.
    #[serde(rename = "Heard")]
    MessageReceived(Envelope),
    /// A message to another box could not be delivered.
    SendFailed(crate::member::BoxId, Message),
    /// An operator edits the table.
    Edit(WaiterId, Edit),
    /// An upstream answered a fenced order.
    #[serde(rename = "Obeyed")]
    OrderAnswered(UpstreamId, u64, crate::order::Reply),
    /// The process is asked to stop.
    Drain,
    /// Time has passed; sent every few milliseconds.
    Tick,
}

/// What a node wants done.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Action {
    /// Give a caller a part of its answer.
    Reply(RequestId, ReplyPart),
    /// Send an order to a stage.
    Run(StageRun),
    /// Tell an engine that a session is over.
    Cancel {
        /// The request.
        id: RequestId,
        /// The session.
        session: SessionId,
        /// The engine.
        upstream: UpstreamId,
        /// Its address.
        addr: String,
    },
    /// Call a service.
    Call(ServiceCall),
    /// Read an object.
    Read(ObjectKey),
    /// Write an object if it has this version; 0 creates it.
    Write(ObjectKey, Version, ObjectValue),
    /// Send a message to another box at this address.
    Send(crate::member::BoxId, String, Envelope),
    /// Tell an operator the result of an edit.
    #[serde(rename = "Edited")]
    EditAnswer(WaiterId, EditResult),
    /// Send a fenced order to an upstream.
    Command(crate::order::Command),
    /// Write a record to the time line.
    #[serde(rename = "Note")]
    Record(Record),
}

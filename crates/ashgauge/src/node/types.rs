//! Events that a node takes, actions that it returns, and the types in them.

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

/// Value that a stage passes to the next for one position: a token or an activation.
///
/// A node stores and forwards these values without interpreting them.
pub type StageValue = u64;

/// Number of a stage's session on its engine, unique within the request.
pub type SessionId = u32;

/// A caller's request as it arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct IncomingRequest {
    /// Id of the request, unique within this process.
    pub id: RequestId,
    /// SHA-256 of the bearer key.
    pub key_hash: KeyHash,
    /// What the caller asks for.
    pub work: Work,
    /// Value of the `Idempotency-Key` header.
    #[serde(rename = "key")]
    pub idempotency_key: Option<String>,
    /// Whether the caller allows the request to be run more than once.
    pub repeatable: bool,
    /// Time limit set by the caller, if any.
    pub timeout: Option<Duration>,
}

/// What a caller asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Work {
    /// Generate tokens with a model.
    Generate {
        /// Name of the model's route.
        model: String,
        /// The prompt's tokens.
        prompt: Vec<StageValue>,
        /// Maximum number of tokens to generate.
        #[serde(rename = "most")]
        max_tokens: u32,
    },
    /// Call a service that is not a model.
    Call {
        /// HTTP method.
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
    /// Value of the token, which is the next position's input.
    pub id: StageValue,
    /// Text of the token.
    pub text: String,
    /// Whether the model ends its output with this token.
    pub end: bool,
}

/// Instruction to one stage to run some positions through its layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageRun {
    /// Id of the caller's request.
    pub id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Session of the stage. A replacement stage has another session.
    pub session: SessionId,
    /// Id of the engine.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub addr: String,
    /// Name of the model.
    pub model: String,
    /// First layer.
    pub first: Layer,
    /// Layer after the last.
    pub end: Layer,
    /// Position of the first input.
    pub start: u32,
    /// Inputs, one for each position.
    pub inputs: Vec<StageValue>,
    /// Number of leading inputs that a lost stage had already run. They only rebuild its
    /// state.
    #[serde(rename = "rebuild")]
    pub rebuild_count: u32,
}

/// A stage's answer to a [`StageRun`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageResult {
    /// Id of the caller's request.
    pub id: RequestId,
    /// Session that the engine named in its answer.
    pub session: SessionId,
    /// Position of the first output.
    pub start: u32,
    /// Outputs, one for each position.
    pub outputs: Vec<StageValue>,
    /// Token sampled after the last position. Only the stage with the last layer returns
    /// one.
    pub token: Option<Token>,
    /// Time in the engine before the run began.
    pub queued: Duration,
    /// Duration of the run.
    pub ran: Duration,
}

/// Why a stage run or a service call had no answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpstreamError {
    /// No byte of the request left this box.
    NotSent(String),
    /// The upstream refused before it ran anything.
    Refused {
        /// Reason that the upstream gave.
        reason: RefusalReason,
        /// Time for which the upstream wants no new work from this box, if it names one.
        rest: Option<Duration>,
    },
    /// The request was sent and no complete answer was received.
    Lost(String),
}

/// Reason of a refusal, as the upstream gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The upstream is leaving the fleet.
    Leaving,
    /// The upstream has no room for another session.
    Busy,
    /// The upstream does not have the session, or has it at another position.
    NoSession,
    /// The upstream does not hold the layers.
    NoLayers,
}

/// Call of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Id of the caller's request.
    pub id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Id of the service's upstream.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub addr: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type.
    #[serde(rename = "content")]
    pub content_type: String,
    /// Value of the `Idempotency-Key` header to send.
    #[serde(rename = "key")]
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Arc<[u8]>,
}

/// A service's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    #[serde(rename = "content")]
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Whether a request ran, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran to its end.
    Done,
    /// The request did not run and will not run; it is safe to send again.
    NotRun,
    /// The request may have run, wholly or in part.
    Unknown,
}

/// Kind of a refusal or failure.
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

/// Final answer to a request that has no result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of the refusal.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// What happened.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// Time after which a retry may succeed, if one may.
    pub retry_after: Option<Duration>,
}

/// One part of the answer to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplyPart {
    /// A generated token.
    Token(Token),
    /// End of a complete answer, with the numbers of tokens.
    End {
        /// Number of prompt tokens.
        prompt: u32,
        /// Number of generated tokens.
        generated: u32,
    },
    /// A service's response.
    Called(ServiceResponse),
    /// Final answer without a result.
    Refused(Refusal),
}

/// Key of an object that a node keeps in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObjectKey {
    /// The table; see [`Table`].
    Table,
    /// A shard of claims; see [`StoredShard`].
    Claims(u32),
    /// A lease; see [`lease::StoredLease`].
    Lease,
}

/// Value of the object with an [`ObjectKey`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObjectValue {
    /// Of [`ObjectKey::Table`].
    Table(Arc<Table>),
    /// Of [`ObjectKey::Claims`].
    Claims(StoredShard),
    /// Of [`ObjectKey::Lease`].
    Lease(lease::StoredLease),
}

/// Input of a node. Each event comes with the time at which it happened.
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
    /// A stage run failed: request, session, start position and error.
    #[serde(rename = "RunFailed")]
    StageFailed(RequestId, SessionId, u32, UpstreamError),
    /// A service answered: request, attempt and response.
    #[serde(rename = "Called")]
    ServiceDone(RequestId, u32, ServiceResponse),
    /// A service call failed: request, attempt and error.
    #[serde(rename = "CallFailed")]
    ServiceFailed(RequestId, u32, UpstreamError),
    /// A read of an object ended: its version and value. The version is 0 if there is no
    /// such object; `None` means that there was no answer.
    Read(ObjectKey, Option<(Version, Option<ObjectValue>)>),
    /// A conditional write of this value ended.
    Written(ObjectKey, ObjectValue, WriteResult),
    /// The watch of the table returned a new version.
    #[serde(rename = "Watched")]
    TableVersion(Version),
    /// The platform's list of members has changed.
    Listed(MemberList),
    /// A watch ended without a change, which shows that the platform is reachable.
    Unchanged,
    /// A message from another box.
    #[serde(rename = "Heard")]
    MessageReceived(Envelope),
    /// Sending a message to another box failed; it may have arrived all the same.
    SendFailed(crate::member::BoxId, Message),
    /// An operator requested an edit of the table.
    Edit(WaiterId, Edit),
    /// A fenced order ended: upstream, term of the lease under which it was sent, and reply,
    /// which may be [`Reply::Lost`](crate::order::Reply::Lost).
    #[serde(rename = "Obeyed")]
    OrderAnswered(UpstreamId, u64, crate::order::Reply),
    /// The process was asked to stop.
    Drain,
    /// Periodic tick, every few milliseconds.
    Tick,
}

/// Output of a node: an action to perform.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Action {
    /// Send a caller a part of its answer.
    Reply(RequestId, ReplyPart),
    /// Run positions through a stage.
    Run(StageRun),
    /// Tell an engine that a session is over.
    Cancel {
        /// Id of the caller's request.
        id: RequestId,
        /// Session to end.
        session: SessionId,
        /// Id of the engine.
        upstream: UpstreamId,
        /// Address of the upstream.
        addr: String,
    },
    /// Call a service.
    Call(ServiceCall),
    /// Read an object.
    Read(ObjectKey),
    /// Write an object if it still has this version; version 0 creates it.
    Write(ObjectKey, Version, ObjectValue),
    /// Send a message to another box at this address.
    Send(crate::member::BoxId, String, Envelope),
    /// Tell an operator the result of an edit.
    #[serde(rename = "Edited")]
    EditDone(WaiterId, EditResult),
    /// Send a fenced order to an upstream.
    Command(crate::order::Order),
    /// Append a record to the timeline.
    #[serde(rename = "Note")]
    Record(Record),
}

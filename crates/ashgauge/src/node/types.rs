//! What goes into a node and what comes out of it.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::chain::Layer;
use crate::claim::{Entries, Written};
use crate::editor::{Answer, Ticket};
use crate::lease;
use crate::member::{Listing, UpstreamId};
use crate::message::{Envelope, Message};
use crate::policy::KeyHash;
use crate::queue::RequestId;
use crate::record::Record;
use crate::table::{Edit, Table, Version};

/// What a stage passes to the next for one position: token or activation.
///
/// A node keeps and hands on these values and never looks into them.
pub type Value = u64;

/// Number of a stage's session, unique within its request.
pub type Session = u32;

/// A caller's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Unique while this process lives.
    pub id: RequestId,
    /// SHA-256 of the bearer key.
    pub key_hash: KeyHash,
    /// What it asks for.
    pub work: Work,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
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
        prompt: Vec<Value>,
        /// Most tokens to generate.
        most: u32,
    },
    /// Call a plain service.
    Call {
        /// Method.
        method: String,
        /// Path and query.
        path: String,
        /// Content type.
        content: String,
        /// Body.
        body: Arc<[u8]>,
    },
}

/// A generated token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Its value, the next position's input.
    pub id: Value,
    /// Its text.
    pub text: String,
    /// Whether the model ends here.
    pub end: bool,
}

/// Order to one stage: run these positions through these layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub id: RequestId,
    /// Number of the try.
    pub attempt: u32,
    /// The stage's session; a replacement has another one.
    pub session: Session,
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
    pub inputs: Vec<Value>,
    /// How many of them only rebuild a lost stage's state.
    pub rebuild: u32,
}

/// A stage's answer to a [`Run`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ran {
    /// The request.
    pub id: RequestId,
    /// The session that the engine names.
    pub session: Session,
    /// Position of the first output.
    pub start: u32,
    /// Outputs, one a position.
    pub outputs: Vec<Value>,
    /// Token sampled after the last position, by the stage with the last layer.
    pub token: Option<Token>,
    /// Time in the engine before it ran.
    pub queued: Duration,
    /// Time that it ran.
    pub ran: Duration,
}

/// Why an order brought no answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// No byte of it left this box.
    NotSent(String),
    /// The upstream refused before running, in its protocol's words.
    Refused {
        /// Why.
        reason: Reason,
        /// How long it wants no new work from this box, if it says so.
        rest: Option<Duration>,
    },
    /// It was sent and no whole answer came.
    Lost(String),
}

/// An upstream's own word for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
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
pub struct Call {
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
    pub content: String,
    /// Value of `Idempotency-Key`, passed on.
    pub key: Option<String>,
    /// Body.
    pub body: Arc<[u8]>,
}

/// A service's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Called {
    /// Status code.
    pub status: u16,
    /// Content type.
    pub content: String,
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
pub enum Kind {
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
    pub kind: Kind,
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
pub enum Reply {
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
    Called(Called),
    /// No result.
    Refused(Refusal),
}

/// Names of the objects that a node keeps in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Object {
    /// The table; see [`Table`].
    Table,
    /// A shard of claims; see [`Entries`].
    Claims(u32),
    /// A lease; see [`lease::Stored`].
    Lease,
}

/// A typed value of an [`Object`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// Of [`Object::Table`].
    Table(Arc<Table>),
    /// Of [`Object::Claims`].
    Claims(Entries),
    /// Of [`Object::Lease`].
    Lease(lease::Stored),
}

/// What a node is told. Each event comes with the time it happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Event {
    /// A caller sent a request.
    Arrive(Order),
    /// A caller closed its connection.
    Gone(RequestId),
    /// A stage answered.
    Ran(Ran),
    /// A stage's order failed; names the request, session and position.
    RunFailed(RequestId, Session, u32, Fault),
    /// A service answered.
    Called(RequestId, u32, Called),
    /// A service call failed.
    CallFailed(RequestId, u32, Fault),
    /// An object was read; version 0 if it is not there, `None` if no answer.
    Read(Object, Option<(Version, Option<Content>)>),
    /// A conditional write of this content ended.
    Written(Object, Content, Written),
    /// The table's watch showed a version.
    Watched(Version),
    /// The platform's list was read and has changed.
    Listed(Listing),
    /// A watch ended without a change; the platform is there.
    Unchanged,
    /// Another box's message.
    Heard(Envelope),
    /// A message to another box could not be delivered.
    SendFailed(crate::member::BoxId, Message),
    /// An operator edits the table.
    Edit(Ticket, Edit),
    /// An upstream answered a fenced order.
    Obeyed(UpstreamId, u64, crate::order::Reply),
    /// The process is asked to stop.
    Drain,
    /// Time has passed; sent every few milliseconds.
    Tick,
}

/// What a node wants done.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Action {
    /// Give a caller a part of its answer.
    Reply(RequestId, Reply),
    /// Send an order to a stage.
    Run(Run),
    /// Tell an engine that a session is over.
    Cancel {
        /// The request.
        id: RequestId,
        /// The session.
        session: Session,
        /// The engine.
        upstream: UpstreamId,
        /// Its address.
        addr: String,
    },
    /// Call a service.
    Call(Call),
    /// Read an object.
    Read(Object),
    /// Write an object if it has this version; 0 creates it.
    Write(Object, Version, Content),
    /// Send a message to another box at this address.
    Send(crate::member::BoxId, String, Envelope),
    /// Tell an operator the result of an edit.
    Edited(Ticket, Answer),
    /// Send a fenced order to an upstream.
    Command(crate::order::Command),
    /// Write a record to the time line.
    Note(Record),
}

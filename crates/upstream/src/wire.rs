//! Bodies and words of the engine protocol, for client and stand-in alike.

use ashgauge::chain::Layer;
use ashgauge::node::{RefusalReason, StageValue, Token};
use ashgauge::order::DesiredState;
use serde::{Deserialize, Serialize};

/// Header by which an upstream says that it did nothing, and why.
pub const NOT_RUN_HEADER: &str = "not-run";

/// Body of `POST /v1/stages/run`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunBody {
    /// Session, unique over all boxes and tries.
    pub session: String,
    /// Request that it belongs to, for the engine's own records.
    pub request: String,
    /// Number of the try.
    pub attempt: u32,
    /// Model.
    pub model: String,
    /// First layer to run.
    pub first: Layer,
    /// Layer after the last.
    pub end: Layer,
    /// Position of the first input.
    pub start: u32,
    /// Inputs, one a position.
    pub inputs: Vec<StageValue>,
    /// How many of them only rebuild a lost stage's state.
    #[serde(default)]
    pub rebuild: u32,
}

/// Answer to [`RunBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReply {
    /// Session, as it came.
    pub session: String,
    /// Position of the first output.
    pub start: u32,
    /// Outputs, one a position.
    pub outputs: Vec<StageValue>,
    /// Token sampled after the last position, if the last layer is here.
    #[serde(default)]
    pub token: Option<Token>,
    /// Microseconds that the order waited in the engine.
    pub queued_us: u64,
    /// Microseconds that it ran.
    pub ran_us: u64,
}

/// Body of `POST /v1/stages/cancel`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// Session to forget.
    pub session: String,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// The fence.
    pub term: u64,
    /// The wanted state.
    pub goal: DesiredState,
}

/// Answer to [`OrderBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderReply {
    /// Number of the goal that the upstream has reached.
    pub has: u64,
}

const REASONS: &[(&str, RefusalReason)] = &[
    ("leaving", RefusalReason::Leaving),
    ("busy", RefusalReason::Busy),
    ("no-session", RefusalReason::NoSession),
    ("no-layers", RefusalReason::NoLayers),
];

/// Reads a [`NOT_RUN_HEADER`] word.
pub fn parse_reason(word: &str) -> Option<RefusalReason> {
    REASONS.iter().find(|(w, _)| *w == word).map(|(_, r)| *r)
}

/// The [`NOT_RUN_HEADER`] word of a reason.
pub fn reason_name(reason: RefusalReason) -> &'static str {
    let found = REASONS.iter().find(|(_, r)| *r == reason);
    found.map_or("busy", |(w, _)| w)
}

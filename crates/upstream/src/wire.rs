//! Messages of the engine protocol, for the client and the stand-in.

use ashgauge::chain::Layer;
use ashgauge::node::{RefusalReason, StageValue, Token};
use ashgauge::order::DesiredState;
use serde::{Deserialize, Serialize};

/// Header by which an upstream states that it has done nothing, and why.
pub const NOT_RUN_HEADER: &str = "not-run";

/// Body of `POST /v1/stages/run`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunBody {
    /// Session, unique over all boxes and attempts.
    pub session: String,
    /// Request that it belongs to, for the logs of the engine.
    pub request: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Model.
    pub model: String,
    /// First layer to run.
    pub first: Layer,
    /// Layer after the last.
    pub end: Layer,
    /// Position of the first input.
    pub start: u32,
    /// Inputs, one for each position.
    pub inputs: Vec<StageValue>,
    /// Number of inputs that only rebuild the state of a lost stage.
    #[serde(default)]
    pub rebuild: u32,
}

/// Answer to [`RunBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReply {
    /// Session of the request.
    pub session: String,
    /// Position of the first output.
    pub start: u32,
    /// Outputs, one for each position.
    pub outputs: Vec<StageValue>,
    /// Token sampled after the last position, if the engine holds the last layer.
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
    /// Session to end.
    pub session: String,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// Term of the lease, which fences off orders of earlier holders.
    pub term: u64,
    /// The desired state.
    #[serde(rename = "goal")]
    pub desired: DesiredState,
}

/// Answer to [`OrderBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderReply {
    /// Hash of the desired state that the upstream has reached.
    #[serde(rename = "has")]
    pub confirmed: u64,
}

const REASONS: &[(&str, RefusalReason)] = &[
    ("leaving", RefusalReason::Leaving),
    ("busy", RefusalReason::Busy),
    ("no-session", RefusalReason::NoSession),
    ("no-layers", RefusalReason::NoLayers),
];

/// Parses a value of [`NOT_RUN_HEADER`].
pub fn parse_reason(value: &str) -> Option<RefusalReason> {
    REASONS
        .iter()
        .find(|(name, _)| *name == value)
        .map(|(_, r)| *r)
}

/// Returns the value of [`NOT_RUN_HEADER`] for a reason.
pub fn reason_name(reason: RefusalReason) -> &'static str {
    let found = REASONS.iter().find(|(_, r)| *r == reason);
    found.map_or("busy", |(name, _)| name)
}

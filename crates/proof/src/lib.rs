//! Starts boxes and stand-ins as processes, for tests and the demo.
//!
//! The verdicts of tests come from the stand-ins' own records.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod call;
mod fleet;
mod folder;
mod process;
mod records;

pub use call::{Reply, get, outcome, post, text_of};
pub use fleet::{BoxPlan, EnginePlan, Fleet, Node, Plan, Upstream, starter_table};
pub use folder::Folder;
pub use process::{Link, Process, binary, put, wait_until};
pub use records::{check_layer, check_layers, replayed, runs};

/// Bearer key of the first team of the starter table.
pub const KEY: &str = "payroll-key";

/// Bearer key of its second team.
pub const OTHER_KEY: &str = "cellar-key";

/// Operators' credential of a test fleet.
pub const OPERATOR: &str = "operator-credential";

/// Credential between boxes of a test fleet.
pub const PEER: &str = "peer-credential-1";

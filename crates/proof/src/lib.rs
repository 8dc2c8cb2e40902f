//! Starts boxes and stand-ins as processes, for integration tests and the demo.
//!
//! Tests check behaviour against the records that the stand-ins keep of the
//! work they ran.

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

/// Bearer key of the second team of the starter table.
pub const OTHER_KEY: &str = "cellar-key";

/// Operator credential of a test fleet.
pub const OPERATOR: &str = "operator-credential";

/// Credential that the boxes of a test fleet present to each other.
pub const PEER: &str = "peer-credential-1";

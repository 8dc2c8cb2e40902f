//! Operator API: its types, the server's part and the client's part.
//!
//! JSON over HTTP. Every call but `/metrics` needs the operators' credential.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod client;
mod server;

use ashgauge::member::BoxEntry;
use ashgauge::record::Record;
use ashgauge::table::{Table, Version};
use serde::{Deserialize, Serialize};

pub use client::{CallError, OperatorClient};
pub use server::{OperatorApi, listen};

/// The table with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TableResponse {
    /// Version in force on the box that answered.
    pub version: Version,
    /// The table.
    pub table: Table,
}

/// A part of a box's time line.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EventsResponse {
    /// Records, oldest first.
    pub records: Vec<Record>,
    /// Records that the box no longer holds.
    #[serde(rename = "lost")]
    pub dropped: u64,
}

/// Boxes of the platform's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxesResponse {
    /// Boxes.
    pub boxes: Vec<BoxEntry>,
}

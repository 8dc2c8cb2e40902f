//! Operator API of a box: types, server and client.
//!
//! The API is JSON over HTTP. Every call except `/metrics` needs the operators' credential.

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
    /// Version in force on the box that responded.
    pub version: Version,
    /// The table.
    pub table: Table,
}

/// The part of a box's timeline that it still has.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EventsResponse {
    /// Records, oldest first.
    pub records: Vec<Record>,
    /// Number of older records that the box has dropped.
    #[serde(rename = "lost")]
    pub dropped: u64,
}

/// Boxes that the platform lists.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxesResponse {
    /// The boxes.
    pub boxes: Vec<BoxEntry>,
}

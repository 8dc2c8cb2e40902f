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

pub use client::{CallError, Operator};
pub use server::{Desk, listen};

/// The table with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TableAnswer {
    /// Version in force on the box that answered.
    pub version: Version,
    /// The table.
    pub table: Table,
}

/// A part of a box's time line.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EventsAnswer {
    /// Records, oldest first.
    pub records: Vec<Record>,
    /// Records that the box no longer holds.
    pub lost: u64,
}

/// Boxes of the platform's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxesAnswer {
    /// Boxes.
    pub boxes: Vec<BoxEntry>,
}

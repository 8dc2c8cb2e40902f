//! Stand-ins for external systems, each a process of its own: the platform, a
//! model engine, a plain HTTP service, and a fault-injecting link. Engines and
//! services keep records of what they ran, against which tests check.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod ends;
pub mod engine;
mod filter;
pub mod link;
pub mod model;
pub mod platform;
pub mod service;

pub mod web;

pub use web::{announce, append};

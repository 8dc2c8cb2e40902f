//! Small stand-ins for the outside systems, each a process of its own: the
//! platform, a model engine, a plain service, and a link that brings faults
//! about. They keep records of what they did, which tests judge by.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod link;
pub mod model;
pub mod platform;
pub mod service;

pub mod web;

pub use web::{announce, append};

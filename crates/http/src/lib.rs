//! HTTP client and server over `hyper`, shared by the packages that speak it.
//!
//! The client knows whether a request got out: [`Failure::NotSent`] means that
//! no byte of it left this process, which is what "not run" rests on.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod client;
mod headers;
mod server;

pub use client::{Client, Failure};
pub use headers::retry_after;
pub use http_body_util::Full;
pub use server::{Body, Limits, empty, full, json, read_body, serve};

//! HTTP client and server over `hyper`, shared by the packages that speak it.
//!
//! The client knows whether a request was sent: [`Failure::NotSent`] means that no byte of
//! it left this process, so that it cannot have run.

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod budget;
mod client;
mod connect;
mod headers;
mod meter;
mod sender;
mod server;

pub use budget::{Budget, Buffer, ReadError, Reservation};
pub use client::{Client, Failure, FetchLimits};
pub use connect::{connect, set_source};
pub use headers::retry_after;
pub use http_body_util::Full;
pub use meter::ResponseBody;
pub use sender::{SendError, Sender, handshake};
pub use server::{Body, Limits, empty, full, json, read_body, serve};

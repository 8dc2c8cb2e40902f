//! Reads callers' bodies, within limits of size, time and memory.

use std::time::Duration;

use bytes::Bytes;
use http::ReadError;
use hyper::StatusCode;
use hyper::body::{Body as HttpBody, Incoming};

use super::shared_state::SharedState;

/// Timeout for a request's body; today's callers send it at once.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a request's body. On failure returns the response's status, and how the request
/// ended.
pub async fn read(
    shared: &SharedState,
    body: Incoming,
    timeout: Duration,
) -> Result<Bytes, (StatusCode, &'static str)> {
    let max_bytes = shared.routing().client_limits.body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
    }
    let reading = shared.memory.callers.collect(body, max_bytes);
    match shared
        .clock
        .within(timeout.min(BODY_TIMEOUT), reading)
        .await
    {
        Some(Ok(body)) => Ok(body),
        Some(Err(ReadError::TooLarge)) => Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long")),
        Some(Err(ReadError::NoMemory)) => {
            Err((StatusCode::SERVICE_UNAVAILABLE, "no room for the body"))
        }
        Some(Err(ReadError::Broken(_))) => Err((StatusCode::BAD_REQUEST, "broken body")),
        None => Err((StatusCode::REQUEST_TIMEOUT, "slow body")),
    }
}

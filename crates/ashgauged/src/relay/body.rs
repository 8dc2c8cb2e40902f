//! Reads callers' bodies, within limits of size and time.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::{Body as HttpBody, Incoming};

use super::shared_state::SharedState;

/// Timeout for a request's body; today's callers send it at once.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of bodies that may be read at the same time, over all callers: part of the least
/// memory that users give a box (160 MB).
const MAX_BUFFERED_BYTES: usize = 48 << 20;

/// Reads a request's body. On failure returns the response's status, and how the request
/// ended.
pub async fn read(
    shared: &SharedState,
    body: Incoming,
    timeout: Duration,
) -> Result<Bytes, (StatusCode, &'static str)> {
    let max_bytes = shared.routing().client_limits.body_bytes;
    let declared_bytes = body.size_hint().upper().map_or(max_bytes, |n| n as usize);
    if declared_bytes > max_bytes {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"));
    }
    let Some(_reservation) = BodyReservation::reserve(&shared.body_bytes, declared_bytes) else {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "no room for the body"));
    };
    let reading = Limited::new(body, max_bytes).collect();
    match shared
        .clock
        .within(timeout.min(BODY_TIMEOUT), reading)
        .await
    {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(e)) if e.is::<LengthLimitError>() => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "body too long"))
        }
        Some(Err(_)) => Err((StatusCode::BAD_REQUEST, "broken body")),
        None => Err((StatusCode::REQUEST_TIMEOUT, "slow body")),
    }
}

/// Part of the buffer space for bodies, released when dropped.
struct BodyReservation<'a> {
    total_bytes: &'a Cell<usize>,
    bytes: usize,
}

impl<'a> BodyReservation<'a> {
    /// Reserves space for a body; `None` if other bodies use up the space.
    fn reserve(total_bytes: &'a Cell<usize>, bytes: usize) -> Option<Self> {
        let new_total = total_bytes.get() + bytes;
        // One body may always be read, whatever its limit.
        if new_total > MAX_BUFFERED_BYTES && total_bytes.get() > 0 {
            return None;
        }
        total_bytes.set(new_total);
        Some(BodyReservation { total_bytes, bytes })
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.total_bytes.set(self.total_bytes.get() - self.bytes);
    }
}

//! Response headers that the client and its callers evaluate.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;

/// Longest time that a response can ask for; sums of longer ones with clock times overflow.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(24 * 3600);

/// Parses `retry-after` as a number of seconds, which may have a fraction; at most a
/// day counts.
///
/// # Example
///
/// ```
/// use hyper::HeaderMap;
/// use std::time::Duration;
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(http::retry_after(&headers), Ok(None));
/// headers.insert("retry-after", "0.5".parse().unwrap());
/// assert_eq!(http::retry_after(&headers), Ok(Some(Duration::from_millis(500))));
/// ```
///
/// # Errors
///
/// Returns the text of the header if it is not a valid time.
pub fn retry_after(headers: &HeaderMap) -> Result<Option<Duration>, String> {
    let Some(value) = headers.get(RETRY_AFTER) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    let seconds = text.trim().parse().ok();
    let after = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    let after = after.map(|a| a.min(MAX_RETRY_AFTER));
    after.map(Some).ok_or_else(|| text.into_owned())
}

//! When to come back.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;

/// Reads `retry-after` as a number of seconds, parts of them included.
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
/// Fails with the header's text if that is no time.
pub fn retry_after(headers: &HeaderMap) -> Result<Option<Duration>, String> {
    let Some(value) = headers.get(RETRY_AFTER) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    let seconds = text.trim().parse().ok();
    let after = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    after.map(Some).ok_or_else(|| text.into_owned())
}

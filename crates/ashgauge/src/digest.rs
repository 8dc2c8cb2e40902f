//! Digest of a request, to recognize the same request when it is sent again.
//!
//! Each attempt of a caller has a request id of its own, so the id cannot be used. The digest
//! covers what the upstream works on: the path, the body and the caller.

use xxhash_rust::xxh3::Xxh3;

/// Hash of a request's content.
pub type Digest = u64;

/// Returns the digest of a request: of its path with the query, its caller and its body.
///
/// # Example
///
/// ```
/// use ashgauge::digest::request_digest;
///
/// let note = request_digest("/notes/7", "payroll", b"a note");
/// assert_eq!(note, request_digest("/notes/7", "payroll", b"a note"));
/// assert_ne!(note, request_digest("/notes/7", "payroll", b"another"));
/// ```
pub fn request_digest(path: &str, caller: &str, body: &[u8]) -> Digest {
    let mut hasher = Xxh3::new();
    for part in [path.as_bytes(), caller.as_bytes(), body] {
        // The lengths make different splits of the same bytes differ.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Returns the digest of a part of a prompt for the engines of a service.
///
/// # Example
///
/// ```
/// use ashgauge::digest::part_digest;
///
/// assert_eq!(part_digest("model", "5c1e07a2"), part_digest("model", "5c1e07a2"));
/// assert_ne!(part_digest("model", "5c1e07a2"), part_digest("other", "5c1e07a2"));
/// ```
pub fn part_digest(service: &str, part: &str) -> Digest {
    request_digest(part, service, b"")
}

/// Formats a digest for operators.
///
/// # Example
///
/// ```
/// assert_eq!(ashgauge::digest::format_digest(255), "00000000000000ff");
/// ```
pub fn format_digest(digest: Digest) -> String {
    format!("{digest:016x}")
}

//! Tells whether a request is the same as one before.
//!
//! Each try of a caller has an id of its own, so the id does not tell. What an
//! upstream is given to work on does: the path, the body, and whose it is.

use xxhash_rust::xxh3::Xxh3;

/// Number that stands for a request's content.
pub type Digest = u64;

/// The digest of a request: of its path with the query, its caller, and its body.
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
        // With the lengths, no two splits of the same bytes look alike.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Writes a digest as operators see it.
///
/// # Example
///
/// ```
/// assert_eq!(ashgauge::digest::format_digest(255), "00000000000000ff");
/// ```
pub fn format_digest(digest: Digest) -> String {
    format!("{digest:016x}")
}

//! Names and numbers of boxes, upstreams and layers.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Name of a box.
pub type BoxId = Arc<str>;

/// Name of an upstream.
pub type UpstreamId = Arc<str>;

/// Number that stands for an upstream's id in a word.
pub type UpstreamKey = u32;

/// A layer's number, from 0.
pub type Layer = u32;

/// The number that stands for an upstream.
pub fn upstream_key(id: &str) -> UpstreamKey {
    xxh3_64(id.as_bytes()) as UpstreamKey
}

//! Identifiers of boxes, upstreams and layers.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Name of a box.
pub type BoxId = Arc<str>;

/// Name of an upstream.
pub type UpstreamId = Arc<str>;

/// Short hash of an upstream's id, used in messages between boxes.
pub type UpstreamKey = u32;

/// Index of a layer, from 0.
pub type Layer = u32;

/// Returns the short hash of an upstream's id.
pub fn upstream_key(id: &str) -> UpstreamKey {
    xxh3_64(id.as_bytes()) as UpstreamKey
}

//! Encodes the messages between boxes, and compresses the updates in them.

use std::io::{Read, Write};

use ashgauge::mirror::Update;
use eyre::{Result, WrapErr, bail};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde_json::json;
use spdlog::Level;

use super::log;

/// Maximum size of a compressed update, in bytes.
pub const MAX_COMPRESSED_BYTES: usize = 4 << 20;

/// Maximum size of a decompressed update, in bytes: some times the size of any fleet's data.
const MAX_DECOMPRESSED_BYTES: u64 = 8 << 20;

/// Encodes and compresses an update. Without compression, the entries of thousands of
/// engines are more than a box with a slow link can send to thirty others within a
/// second.
///
/// # Errors
///
/// Fails if the update cannot be encoded, which does not happen in practice.
pub fn compress(update: &Update) -> Result<Vec<u8>> {
    let encoded = postcard::to_allocvec(update)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&encoded)?;
    Ok(encoder.finish()?)
}

/// Decodes a compressed update.
///
/// # Errors
///
/// Fails if the bytes are not a valid update, or are larger than [`MAX_DECOMPRESSED_BYTES`]
/// when decompressed.
pub fn decompress(bytes: &[u8]) -> Result<Update> {
    let mut decompressed = Vec::new();
    let result = DeflateDecoder::new(bytes)
        .take(MAX_DECOMPRESSED_BYTES + 1)
        .read_to_end(&mut decompressed);
    result.wrap_err("the update cannot be unpacked")?;
    if decompressed.len() as u64 > MAX_DECOMPRESSED_BYTES {
        bail!("the update is larger than {MAX_DECOMPRESSED_BYTES} bytes unpacked");
    }
    Ok(postcard::from_bytes(&decompressed)?)
}

/// Encodes a datagram; logs and returns `None` if that fails.
pub fn encode(datagram: &impl Serialize) -> Option<Vec<u8>> {
    match postcard::to_allocvec(datagram) {
        Ok(bytes) => Some(bytes),
        Err(e) => {
            let fields = json!({"cause": e.to_string()});
            log::event(Level::Warn, "fleet", "not told", fields);
            None
        }
    }
}

//! What boxes send each other, as bytes.

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

/// Most bytes that an update may take unpacked: many times what any fleet announces.
const MAX_UNPACKED_BYTES: u64 = 32 << 20;

/// Packs an update: what thousands of engines announce, as it is, is more than a box
/// with a slow link can hand to thirty others within a second.
///
/// # Errors
///
/// Fails if the update cannot be written; every update can.
pub fn pack(update: &Update) -> Result<Vec<u8>> {
    let plain = postcard::to_allocvec(update)?;
    let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
    packer.write_all(&plain)?;
    Ok(packer.finish()?)
}

/// Reads a packed update.
///
/// # Errors
///
/// Fails if it is none, or larger than any update can be.
pub fn unpack(bytes: &[u8]) -> Result<Update> {
    let mut plain = Vec::new();
    let unpacked = DeflateDecoder::new(bytes)
        .take(MAX_UNPACKED_BYTES + 1)
        .read_to_end(&mut plain);
    unpacked.wrap_err("the update cannot be unpacked")?;
    if plain.len() as u64 > MAX_UNPACKED_BYTES {
        bail!("the update is larger than {MAX_UNPACKED_BYTES} bytes unpacked");
    }
    Ok(postcard::from_bytes(&plain)?)
}

/// Writes a datagram; one that cannot be written is logged.
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

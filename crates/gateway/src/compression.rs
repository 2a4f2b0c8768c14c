//! Compression of state for peers.

use std::io::{self, Read, Write};

use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::{Compression, Crc};

/// The HTTP content coding.
pub(crate) const GZIP: &str = "gzip";

/// Returns the checksum of bytes.
pub(crate) fn checksum(bytes: &[u8]) -> u32 {
    let mut crc = Crc::new();
    crc.update(bytes);
    crc.sum()
}

/// Compresses bytes.
///
/// # Errors
///
/// Fails when the encoder does.
pub(crate) fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    // Hosts have a small part of a core, and higher levels take several times as long.
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses at most `max_bytes`.
///
/// # Errors
///
/// Fails when the bytes are corrupt or yield more than `max_bytes`.
pub(crate) fn decompress(bytes: &[u8], max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut decompressed = Vec::new();
    let mut decoder = GzDecoder::new(bytes).take(max_bytes as u64 + 1);
    decoder.read_to_end(&mut decompressed)?;
    if decompressed.len() > max_bytes {
        let message = format!("more than {max_bytes} bytes after decompression");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(decompressed)
}

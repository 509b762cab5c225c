//! Packing of bytes that go to many places or lie in the store.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Packs bytes, with little effort where they are compressed for one message only.
///
/// # Errors
/// When memory can't be had.
pub fn compress(bytes: &[u8], effort: Compression) -> std::io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), effort);
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Unpacks bytes, up to a limit on what comes out.
///
/// # Errors
/// When they were not compressed by [`compress`].
///
/// ```
/// use burdock_node::compression::{compress, decompress};
/// let compressed = compress(b"aaaa", flate2::Compression::fast()).unwrap();
/// assert_eq!(decompress(&compressed, 100).unwrap(), b"aaaa");
/// assert_eq!(decompress(&compressed, 2).unwrap(), b"aa");
/// ```
pub fn decompress(compressed: &[u8], limit: u64) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ZlibDecoder::new(compressed).take(limit).read_to_end(&mut bytes)?;
    Ok(bytes)
}

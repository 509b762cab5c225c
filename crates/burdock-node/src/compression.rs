//! Zlib compression of bytes that go to many instances or into the store.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Compresses bytes. A low effort suits bytes that are compressed for one message only.
///
/// # Errors
/// When the compressor can't write its output.
pub fn compress(bytes: &[u8], effort: Compression) -> std::io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), effort);
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses bytes and returns at most `limit` of the result.
///
/// # Errors
/// When the bytes were not compressed by [`compress`].
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

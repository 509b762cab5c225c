//! Client blocks, split into compressed chunks that fit the store.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use burdock_model::blocks::BlockTable;
use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::hash::stable_hash;
use flate2::Compression;

use crate::compression;

/// Average number of blocks in a chunk.
const BLOCKS_PER_CHUNK: usize = 20_000;

/// Maximum size of a decompressed chunk in bytes.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;

/// Splits the lines of a block file into compressed chunks. Lines of one network go into one chunk, so that a
/// change of a few lines changes few chunks.
///
/// # Errors
/// [`ErrorKind::InvalidTree`] or [`ErrorKind::TooLarge`] when the lines don't make a valid block table.
pub fn split_into_chunks(text: &str) -> Result<Vec<String>> {
    let table = BlockTable::parse([text])?;
    let chunk_count = table.len().div_ceil(BLOCKS_PER_CHUNK).next_power_of_two() as u64;
    let mut chunks_by_hash: BTreeMap<u64, Vec<&str>> = BTreeMap::new();
    for line in text.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#')) {
        chunks_by_hash.entry(stable_hash(network(line).as_bytes(), 12) % chunk_count).or_default().push(line);
    }
    chunks_by_hash.into_values().map(|lines| compress_chunk(&lines)).collect()
}

/// Builds the block table from its compressed chunks.
///
/// # Errors
/// [`ErrorKind::InvalidTree`] when a chunk is malformed.
pub fn parse_chunks<'a>(chunks: impl Iterator<Item = &'a str>) -> Result<BlockTable> {
    let texts = chunks.map(decompress_chunk).collect::<Result<Vec<String>>>()?;
    BlockTable::parse(texts.iter().map(String::as_str))
}

fn compress_chunk(lines: &[&str]) -> Result<String> {
    let failed = |e: std::io::Error| Error::new(ErrorKind::Internal, e.to_string());
    let mut sorted = lines.to_vec();
    sorted.sort_unstable();
    let text: String = sorted.into_iter().flat_map(|line| [line, "\n"]).collect();
    Ok(STANDARD.encode(compression::compress(text.as_bytes(), Compression::default()).map_err(failed)?))
}

fn decompress_chunk(chunk: &str) -> Result<String> {
    let malformed = |detail: String| {
        Error::new(ErrorKind::InvalidTree, format!("malformed chunk of client blocks: {detail}"))
    };
    let compressed = STANDARD.decode(chunk).map_err(|e| malformed(e.to_string()))?;
    let text =
        compression::decompress(&compressed, MAX_DECOMPRESSED_BYTES).map_err(|e| malformed(e.to_string()))?;
    String::from_utf8(text).map_err(|e| malformed(e.to_string()))
}

// The first two parts of an address. Addresses of one network tend to change together.
fn network(line: &str) -> &str {
    let separator = if line.contains(':') { ':' } else { '.' };
    let end = line.match_indices(separator).nth(1).map_or(line.len(), |(at, _)| at);
    &line[..end]
}

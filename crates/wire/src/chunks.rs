//! Values larger than the key-value store accepts, split into chunks. Sizes are counted in
//! JSON, as the store counts them.
//!
//! A record names the set of its chunks, and each chunk carries the set's id: a reader that
//! finds a different id knows that a newer set is being written and reads the record again.
//! Chunks are written before the record that names them, so a reader sees either the old or
//! the new value as a whole, at whatever point the writer stopped.

use crate::WireError;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io;

/// The set of chunks of a value, with the keys `<key>/<slot>/<index>` from index 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkSet {
    /// Sets of one key alternate between two slots, so that the current set stays complete
    /// while the next one is written. A submission never changes, so its slot is the hash of
    /// its content.
    pub slot: u64,
    /// Id that every chunk of this set carries.
    #[serde(rename = "set")]
    pub set_id: u64,
    /// Number of chunks.
    pub count: u32,
}

/// A stored chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Id of its set.
    #[serde(rename = "set")]
    pub set_id: u64,
    /// The chunk's part of the value's JSON text.
    pub text: String,
}

/// Bytes of a stored chunk in addition to its text.
const CHUNK_OVERHEAD_BYTES: usize = 48;

/// Minimum text of a chunk in bytes, whatever the store accepts, so that splitting terminates.
const CHUNK_TEXT_BYTES_MIN: usize = 16;

/// Bytes of an escaped control character in JSON (`\u001f`).
const ESCAPED_CONTROL_BYTES: usize = 6;

/// Counts the bytes written to it.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the bytes of a value as the key-value store counts them; `usize::MAX` for a value
/// that JSON can't represent, so that it exceeds every limit.
pub fn json_size<T: Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}

/// Splits a value's JSON into texts, each of which makes a chunk of at most `max_bytes`.
pub fn split_into_chunks<T: Serialize>(value: &T, max_bytes: usize) -> Vec<String> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let max_text_bytes = max_bytes
        .saturating_sub(CHUNK_OVERHEAD_BYTES)
        .max(CHUNK_TEXT_BYTES_MIN);
    let mut chunks = Vec::new();
    let mut chunk = String::new();
    let mut chunk_bytes = 0;
    for c in text.chars() {
        let bytes = escaped_bytes(c);
        if chunk_bytes + bytes > max_text_bytes {
            chunks.push(std::mem::take(&mut chunk));
            chunk_bytes = 0;
        }
        chunk.push(c);
        chunk_bytes += bytes;
    }
    chunks.push(chunk);
    chunks
}

/// Returns the bytes of a character in a JSON string.
fn escaped_bytes(c: char) -> usize {
    match c {
        '"' | '\\' => 2,
        c if c.is_control() => ESCAPED_CONTROL_BYTES,
        c => c.len_utf8(),
    }
}

/// Decodes the value from the texts of its chunks, given in order.
///
/// # Errors
///
/// [`WireError::Malformed`] if the texts are not the whole value, or not a value of this type.
pub fn join_chunks<T: DeserializeOwned>(texts: &[String]) -> Result<T, WireError> {
    serde_json::from_str(&texts.concat()).map_err(|e| WireError::Malformed(e.to_string()))
}

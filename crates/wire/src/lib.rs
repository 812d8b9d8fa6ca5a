//! Wire formats of cherrywood: the messages that a controller exchanges with users, workers,
//! the cloud, the key-value store and other controllers, and the records that it stores.
//!
//! The protocol's own field names occur only in this package, as serde renames; all other code
//! uses standard terms. This package is independent of connections, time and policy.

#![deny(missing_docs)]

pub mod admission;
pub mod agent;
pub mod chunks;
pub mod cloud;
pub mod peer;
pub mod records;
pub mod store;
pub mod user;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Why a body could not be decoded.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum WireError {
    /// The body is not a single map.
    #[error("the body is not a MessagePack map")]
    NotAMap,
    /// The body can't be decoded as the expected type.
    #[error("malformed body: {0}")]
    Malformed(String),
    /// A field has a value that is not allowed; the field is given by its protocol name.
    #[error("invalid field {0}")]
    Invalid(&'static str),
}

/// The body of an error response: why the request was not served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The reason, as human-readable text.
    pub error: String,
}

/// Encodes a value as MessagePack maps with text keys.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes a body, which must be a single map; unknown fields are ignored.
///
/// # Errors
///
/// [`WireError::NotAMap`] or [`WireError::Malformed`].
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, WireError> {
    // serde would also decode a struct from a list, which the protocol forbids.
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        _ => return Err(WireError::NotAMap),
    }
    let mut cursor = std::io::Cursor::new(body);
    let value = T::deserialize(&mut rmp_serde::Deserializer::new(&mut cursor))
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    if cursor.position() as usize != body.len() {
        return Err(WireError::Malformed("bytes after the map".into()));
    }
    Ok(value)
}

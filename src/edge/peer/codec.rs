//! bincode, and the protocol version that goes with it.

use bincode::config::{Configuration, Limit};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the protocol between nodes. Both sides have to speak the same.
pub const VERSION: &str = "4";

/// The largest message, in bytes: bounds what garbage can make a node allocate.
pub(super) const MESSAGE_LIMIT: usize = 8 << 20;

/// A message that does not encode or decode.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// It does not encode.
    #[error("can't encode: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// It does not decode.
    #[error("can't decode: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bytes are left after the message.
    #[error("{0} bytes are left over")]
    Trailing(usize),
}

fn config()
-> Configuration<bincode::config::LittleEndian, bincode::config::Varint, Limit<MESSAGE_LIMIT>> {
    bincode::config::standard().with_limit::<MESSAGE_LIMIT>()
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(message, config())?)
}

/// Decodes a message that takes up all the bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (message, read) = bincode::serde::decode_from_slice(bytes, config())?;
    match bytes.len() - read {
        0 => Ok(message),
        left => Err(CodecError::Trailing(left)),
    }
}

//! The encoding of messages between nodes, in bincode, and the version of that protocol.
//!
//! On the wire, the first byte says whether the message follows as it is, or its length and the
//! message compressed with LZ4.

use bincode::config::{Configuration, Limit};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the protocol between nodes. Both sides must use the same.
pub const PROTOCOL_VERSION: &str = "11";

/// The largest message. It bounds the memory that invalid input can make a node allocate.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// The largest value that a message carries packed for itself, before compression: the list of
/// twice the replicas that are planned for.
const MAX_PACKED_BYTES: usize = 32 << 20;

/// The size from which a message is compressed. A smaller one fits into the first window of a
/// connection.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;
/// The first byte before an uncompressed message.
const PLAIN_TAG: u8 = 0;
/// The first byte before a compressed message. The uncompressed length follows as four bytes,
/// little-endian.
const LZ4_TAG: u8 = 1;
/// The size of the tag and the length before a compressed message.
const LZ4_HEADER_BYTES: usize = 5;

/// Why a message does not encode or decode.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message does not encode.
    #[error("can't encode: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes do not decode.
    #[error("can't decode: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Bytes remain after the message.
    #[error("{0} bytes remain after the message")]
    Trailing(usize),
    /// The message does not decompress, or its first bytes are invalid.
    #[error("can't decompress: {0}")]
    Decompress(String),
}

/// The bincode configuration for values up to a size in bytes.
type SizedConfig<const MAX: usize> =
    Configuration<bincode::config::LittleEndian, bincode::config::Varint, Limit<MAX>>;

fn sized_config<const MAX: usize>() -> SizedConfig<MAX> {
    bincode::config::standard().with_limit::<MAX>()
}

/// The bincode configuration of messages.
fn config() -> SizedConfig<MAX_MESSAGE_BYTES> {
    sized_config()
}

/// Encodes a value without compression.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(message, config())?)
}

/// Decodes a value that takes up all the bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    decode_within::<T, MAX_MESSAGE_BYTES>(bytes)
}

fn decode_within<T: DeserializeOwned, const MAX: usize>(bytes: &[u8]) -> Result<T, CodecError> {
    let (message, read) = bincode::serde::decode_from_slice(bytes, sized_config::<MAX>())?;
    match bytes.len() - read {
        0 => Ok(message),
        left => Err(CodecError::Trailing(left)),
    }
}

/// Encodes a message for another node, and compresses it if it is large.
///
/// Load pattern: a dozen nodes request the same configuration from one node at the same moment,
/// over the narrowest link of the fleet. The text of routes compresses to a ninth in a millisecond,
/// and takes a tenth of a second to send uncompressed.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(compress(encode(message)?))
}

/// Encodes and compresses a value that messages carry as bytes. It may be larger than a message
/// before it is compressed.
pub fn pack_value<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let config = sized_config::<MAX_PACKED_BYTES>();
    Ok(compress(bincode::serde::encode_to_vec(value, config)?))
}

/// Adds the tag to encoded bytes, and compresses them if they are large.
fn compress(plain: Vec<u8>) -> Vec<u8> {
    if plain.len() >= MIN_COMPRESSED_BYTES {
        let packed = lz4_flex::block::compress(&plain);
        if LZ4_HEADER_BYTES + packed.len() < plain.len() {
            let mut bytes = Vec::with_capacity(LZ4_HEADER_BYTES + packed.len());
            bytes.push(LZ4_TAG);
            bytes.extend_from_slice(&(plain.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&packed);
            return bytes;
        }
    }
    let mut bytes = Vec::with_capacity(1 + plain.len());
    bytes.push(PLAIN_TAG);
    bytes.extend_from_slice(&plain);
    bytes
}

/// Decodes a message from another node.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    unpack_within::<T, MAX_MESSAGE_BYTES>(bytes)
}

/// Decodes a value that [`pack_value`] has encoded.
pub fn unpack_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    unpack_within::<T, MAX_PACKED_BYTES>(bytes)
}

fn unpack_within<T: DeserializeOwned, const MAX: usize>(bytes: &[u8]) -> Result<T, CodecError> {
    let invalid = |reason: &str| CodecError::Decompress(reason.to_owned());
    match bytes {
        [PLAIN_TAG, plain @ ..] => decode_within::<T, MAX>(plain),
        [LZ4_TAG, a, b, c, d, packed @ ..] => {
            let length = u32::from_le_bytes([*a, *b, *c, *d]) as usize;
            if length > MAX {
                return Err(invalid("the declared length is over the limit"));
            }
            let plain = lz4_flex::block::decompress(packed, length)
                .map_err(|e| CodecError::Decompress(e.to_string()))?;
            if plain.len() != length {
                return Err(invalid("the message is shorter than its declared length"));
            }
            decode_within::<T, MAX>(&plain)
        }
        _ => Err(invalid("the first bytes are unknown")),
    }
}

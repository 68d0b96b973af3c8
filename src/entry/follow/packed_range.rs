//! A snapshot of a prefix, encoded and compressed for other nodes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::edge::peer::{CodecError, pack_value, unpack_value};
use crate::edge::store::RangeResult;

/// A [`RangeResult`] in the form in which nodes send it to each other. Clones share the bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRange(Bytes);

impl PackedRange {
    /// Encodes and compresses a snapshot.
    pub fn new(page: &RangeResult) -> Result<Self, CodecError> {
        Ok(Self(pack_value(page)?.into()))
    }

    /// Decodes the snapshot.
    pub fn unpack(&self) -> Result<RangeResult, CodecError> {
        unpack_value(&self.0)
    }

    /// Returns its size in bytes, as it is sent.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it holds nothing, not even an encoded snapshot.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

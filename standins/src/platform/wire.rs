//! Requests in the JSON form of the etcd v3 API, as far as the stand-in serves them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

use super::store::KeyVersion;

/// Decodes base64 text.
fn base64_bytes<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(d)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}

/// Decodes an integer that may be written as a string.
fn integer<'de, D: Deserializer<'de>>(d: D) -> Result<i64, D::Error> {
    match Value::deserialize(d)? {
        Value::Number(n) => n.as_i64().ok_or_else(|| serde::de::Error::custom("not an integer")),
        Value::String(s) => s.parse().map_err(serde::de::Error::custom),
        _ => Err(serde::de::Error::custom("not a number")),
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct RangeRequest {
    #[serde(deserialize_with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, deserialize_with = "base64_bytes")]
    pub(super) range_end: Vec<u8>,
}

#[derive(Debug, Deserialize)]
pub(super) struct PutRequest {
    #[serde(deserialize_with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, deserialize_with = "base64_bytes")]
    pub(super) value: Vec<u8>,
    #[serde(default, deserialize_with = "integer")]
    pub(super) lease: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Compare {
    #[serde(deserialize_with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, deserialize_with = "integer")]
    pub(super) mod_revision: i64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(clippy::enum_variant_names)] // the names of the published protocol
pub(super) enum Op {
    RequestPut(PutRequest),
    RequestRange(RangeRequest),
    RequestDeleteRange(RangeRequest),
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnRequest {
    #[serde(default)]
    pub(super) compare: Vec<Compare>,
    #[serde(default)]
    pub(super) success: Vec<Op>,
    #[serde(default)]
    pub(super) failure: Vec<Op>,
}

#[derive(Debug, Deserialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL", deserialize_with = "integer")]
    pub(super) ttl: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct KeepAliveRequest {
    #[serde(rename = "ID", deserialize_with = "integer")]
    pub(super) id: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreateRequest,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchCreateRequest {
    #[serde(flatten)]
    pub(super) range: RangeRequest,
    #[serde(default, deserialize_with = "integer")]
    pub(super) start_revision: i64,
}

/// The header of a response.
pub(super) fn header(revision: u64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string() })
}

/// A key with its value and revision.
pub(super) fn key_value(key: &[u8], entry: &KeyVersion) -> Value {
    let value = entry.value.as_deref().unwrap_or_default();
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(value),
        "mod_revision": entry.revision.to_string(),
    })
}

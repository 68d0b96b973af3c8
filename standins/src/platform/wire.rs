//! Requests in the JSON form of the etcd v3 API, as much as is served.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

use super::store::Entry;

fn bytes<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(d)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}

fn number<'de, D: Deserializer<'de>>(d: D) -> Result<i64, D::Error> {
    match Value::deserialize(d)? {
        Value::Number(n) => n.as_i64().ok_or_else(|| serde::de::Error::custom("not an integer")),
        Value::String(s) => s.parse().map_err(serde::de::Error::custom),
        _ => Err(serde::de::Error::custom("not a number")),
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct Range {
    #[serde(deserialize_with = "bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, deserialize_with = "bytes")]
    pub(super) range_end: Vec<u8>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Put {
    #[serde(deserialize_with = "bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, deserialize_with = "bytes")]
    pub(super) value: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    pub(super) lease: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Compare {
    #[serde(deserialize_with = "bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    pub(super) mod_revision: i64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(clippy::enum_variant_names)] // the names of the published protocol
pub(super) enum Op {
    RequestPut(Put),
    RequestRange(Range),
    RequestDeleteRange(Range),
}

#[derive(Debug, Deserialize)]
pub(super) struct Txn {
    #[serde(default)]
    pub(super) compare: Vec<Compare>,
    #[serde(default)]
    pub(super) success: Vec<Op>,
    #[serde(default)]
    pub(super) failure: Vec<Op>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Grant {
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub(super) ttl: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Lease {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub(super) id: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Watch {
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchCreate {
    #[serde(flatten)]
    pub(super) range: Range,
    #[serde(default, deserialize_with = "number")]
    pub(super) start_revision: i64,
}

pub(super) fn header(revision: u64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string() })
}

pub(super) fn key_value(key: &[u8], entry: &Entry) -> Value {
    let value = entry.value.as_deref().unwrap_or_default();
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(value),
        "mod_revision": entry.revision.to_string(),
    })
}

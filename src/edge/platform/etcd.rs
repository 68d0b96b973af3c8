//! The messages of the etcd v3 API in JSON. Bytes are base64 and 64-bit numbers are strings.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DisplayFromStr, serde_as};

use super::VersionedValue;

/// Reads the keys from `key` up to but not including `range_end`, or only `key` if that is empty.
#[serde_as]
#[derive(Debug, Default, Serialize)]
pub(super) struct RangeRequest {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) range_end: Vec<u8>,
}

/// A key with its value and the revision of its last write.
#[serde_as]
#[derive(Debug, Deserialize)]
pub(super) struct KeyValue {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub(super) value: Vec<u8>,
    #[serde_as(as = "DisplayFromStr")]
    pub(super) mod_revision: u64,
}

impl From<KeyValue> for VersionedValue {
    fn from(kv: KeyValue) -> Self {
        let key = String::from_utf8_lossy(&kv.key).into_owned();
        Self { key, value: kv.value, revision: kv.mod_revision }
    }
}

/// The part that all replies have: the revision of the store.
#[serde_as]
#[derive(Debug, Deserialize)]
pub(super) struct Header {
    #[serde_as(as = "DisplayFromStr")]
    pub(super) revision: u64,
}

/// The reply to a range read.
#[derive(Debug, Deserialize)]
pub(super) struct RangeReply {
    pub(super) header: Header,
    #[serde(default)]
    pub(super) kvs: Vec<KeyValue>,
}

/// A condition of a transaction on the revision of a key.
#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct Compare {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    pub(super) target: &'static str,
    pub(super) result: &'static str,
    #[serde_as(as = "DisplayFromStr")]
    pub(super) mod_revision: u64,
}

/// Writes a key, attached to a lease if one is given.
#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct Put {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub(super) value: Vec<u8>,
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) lease: Option<i64>,
}

/// One operation of a transaction.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Op {
    RequestPut(Put),
    RequestRange(RangeRequest),
}

/// Executes `success` if all conditions in `compare` hold, otherwise `failure`.
#[derive(Debug, Serialize)]
pub(super) struct Txn {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Op>,
    pub(super) failure: Vec<Op>,
}

/// The reply to one operation of a transaction.
#[derive(Debug, Deserialize)]
pub(super) struct OpReply {
    #[serde(default)]
    pub(super) response_range: Option<RangeReply>,
}

/// The reply to a transaction.
#[derive(Debug, Deserialize)]
pub(super) struct TxnReply {
    pub(super) header: Header,
    #[serde(default)]
    pub(super) succeeded: bool,
    #[serde(default)]
    pub(super) responses: Vec<OpReply>,
}

/// Requests a lease that expires after `ttl` seconds.
#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct Grant {
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) ttl: u64,
}

/// Renews a lease.
#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct KeepAlive {
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) id: i64,
}

/// A lease and the seconds until it expires, 0 if it has expired.
#[serde_as]
#[derive(Debug, Deserialize)]
pub(super) struct LeaseReply {
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) id: i64,
    #[serde(rename = "TTL", default)]
    #[serde_as(as = "DisplayFromStr")]
    pub(super) ttl: i64,
}

/// The reply to a lease keep-alive, which is one message of a stream.
#[derive(Debug, Deserialize)]
pub(super) struct KeepAliveReply {
    pub(super) result: LeaseReply,
}

/// Watches the keys from `key` up to but not including `range_end`, from a revision on.
#[serde_as]
#[derive(Debug, Serialize)]
pub(super) struct WatchCreate {
    #[serde_as(as = "Base64")]
    pub(super) key: Vec<u8>,
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) range_end: Vec<u8>,
    #[serde_as(as = "DisplayFromStr")]
    pub(super) start_revision: u64,
}

/// The request that opens a watch.
#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

/// One message of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WatchMessage {
    pub(super) result: WatchResult,
}

/// The content of a message of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WatchResult {
    #[serde(default)]
    pub(super) events: Vec<WatchEvent>,
}

/// One change of a key.
#[derive(Debug, Deserialize)]
pub(super) struct WatchEvent {
    /// `DELETE` for a deletion, absent for a put.
    #[serde(rename = "type", default)]
    pub(super) kind: Option<String>,
    pub(super) kv: KeyValue,
}

/// The exclusive end of the range of all keys with a prefix.
pub(super) fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

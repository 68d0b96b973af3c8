//! The encoding of messages between nodes: round trips, compression, and the refusal of invalid
//! bytes.

use std::sync::Arc;

use mulberrycourse::decide::job::{
    Event, ItemResult, ItemState, SampleText, SavedProgress, TextLimit,
};
use mulberrycourse::edge::peer::{CodecError, pack, unpack};
use mulberrycourse::edge::store::{KeyValue, RangeResult};
use proptest::prelude::*;

/// Texts of these tests are as long as they get.
const NO_LIMIT: TextLimit = TextLimit { events: None, bytes: usize::MAX };

/// Returns a message that holds this value, a range result with one item.
fn message_with(value: Vec<u8>) -> RangeResult {
    let item = KeyValue { key: "routes".into(), value: value.into(), revision: 7 };
    RangeResult { items: vec![item], revision: 9 }
}

/// The text of a large configuration packs to less than a quarter of its size. It is sent to every
/// node at the same moment, over narrow links.
#[test]
fn route_text_is_compressed() {
    let route = |n: u32| {
        let (name, path) = (n.wrapping_mul(2_654_435_761), n.wrapping_mul(40_503));
        format!(
            r#"{{"name":"r-{name:08x}","path_prefix":"/{path:08x}/","route_type":"idempotent","timeout_ms":800}},"#
        )
    };
    let message = message_with((0..4_200).flat_map(|n| route(n).into_bytes()).collect());
    let bytes = pack(&message).unwrap();
    assert!(bytes.len() * 4 < message.items[0].value.len(), "{}", bytes.len());
    assert_eq!(unpack::<RangeResult>(&bytes).unwrap(), message);
}

/// Guards against a false declared length that makes a node allocate more memory than it has.
#[test]
fn declared_length_over_the_limit_is_refused() {
    let mut bytes = pack(&message_with(vec![0; 100_000])).unwrap();
    bytes[1..5].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(unpack::<RangeResult>(&bytes), Err(CodecError::Decompress(_))));
}

/// A message that is shorter than its declared length, an empty one and one with an unknown first
/// byte are refused.
#[test]
fn short_and_unknown_messages_are_refused() {
    let mut bytes = pack(&message_with(vec![0; 100_000])).unwrap();
    bytes[1..5].copy_from_slice(&200_000_u32.to_le_bytes());
    assert!(matches!(unpack::<RangeResult>(&bytes), Err(CodecError::Decompress(_))));
    assert!(matches!(unpack::<RangeResult>(&[]), Err(CodecError::Decompress(_))));
    assert!(matches!(unpack::<RangeResult>(&[9, 1, 2]), Err(CodecError::Decompress(_))));
}

proptest! {
    /// A packed message unpacks to an equal one, whether it is compressed or not.
    #[test]
    fn packed_messages_unpack(value in prop::collection::vec(any::<u8>(), 0..9_000)) {
        let message = message_with(value);
        let bytes = pack(&message).unwrap();
        prop_assert_eq!(unpack::<RangeResult>(&bytes).unwrap(), message);
    }

    /// A truncated or altered message unpacks to an error or to another message, without a panic.
    #[test]
    fn damaged_messages_do_not_panic(
        length in 0_usize..2_000,
        changes in prop::collection::vec((0_usize..2_000, any::<u8>()), 0..4),
    ) {
        let value = (0..9_000).map(|n| (n % 7) as u8).collect();
        let mut bytes = pack(&message_with(value)).unwrap();
        for (index, value) in changes {
            if let Some(byte) = bytes.get_mut(index) {
                *byte = value;
            }
        }
        bytes.truncate(length.max(1));
        let _ = unpack::<RangeResult>(&bytes);
    }
}

proptest! {
    /// Guards against a result or a part of a text that can't be encoded for the store: it could
    /// never be written.
    #[test]
    fn every_result_and_text_can_be_stored(
        id in ".*",
        output in ".*",
        versions in proptest::collection::vec(any::<u64>(), 0..4),
        score in proptest::option::of(".*"),
    ) {
        let config = bincode::config::standard();
        let score = score.map(Into::into);
        let state = ItemState::Completed { output: output.clone(), versions, score };
        let dead = ItemResult { id: id.as_str().into(), state: ItemState::Dead };
        let batch = vec![Arc::new(ItemResult { id: id.as_str().into(), state }), Arc::new(dead)];
        let bytes = bincode::serde::encode_to_vec(&batch, config);
        prop_assert!(bytes.is_ok());
        let decoded = bincode::serde::decode_from_slice::<Vec<Arc<ItemResult>>, _>(&bytes.unwrap(), config);
        prop_assert_eq!(decoded.unwrap().0, batch);
        let mut text = SampleText::default();
        let event = Event { id: 1, data: output, version: Some(1), raw: Default::default() };
        text.push(&event, NO_LIMIT, |_| true).unwrap();
        let (delta, _) = text.delta_since(SavedProgress::default()).unwrap();
        prop_assert!(bincode::serde::encode_to_vec(vec![(id, delta)], config).is_ok());
    }
}

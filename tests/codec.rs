//! Messages on their way between nodes.

use mulberrycourse::edge::peer::{CodecError, pack, unpack};
use mulberrycourse::edge::store::{KeyValue, RangeResult};
use proptest::prelude::*;

fn page(value: Vec<u8>) -> RangeResult {
    let item = KeyValue { key: "routes".into(), value: value.into(), revision: 7 };
    RangeResult { items: vec![item], revision: 9 }
}

/// A configuration goes to every node at the same moment, over narrow links.
#[test]
fn the_text_of_routes_is_sent_in_a_fraction_of_its_size() {
    let route = |n: u32| {
        let (name, path) = (n.wrapping_mul(2_654_435_761), n.wrapping_mul(40_503));
        format!(
            r#"{{"name":"r-{name:08x}","path_prefix":"/{path:08x}/","route_type":"idempotent","timeout_ms":800}},"#
        )
    };
    let page = page((0..4_200).flat_map(|n| route(n).into_bytes()).collect());
    let bytes = pack(&page).unwrap();
    assert!(bytes.len() * 4 < page.items[0].value.len(), "{}", bytes.len());
    assert_eq!(unpack::<RangeResult>(&bytes).unwrap(), page);
}

/// A length that nothing lies behind would make a node allocate what it does not have.
#[test]
fn a_message_that_says_to_be_huge_is_refused() {
    let mut bytes = pack(&page(vec![0; 100_000])).unwrap();
    bytes[1..5].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(unpack::<RangeResult>(&bytes), Err(CodecError::Decompress(_))));
}

#[test]
fn a_message_that_is_shorter_than_it_says_is_refused() {
    let mut bytes = pack(&page(vec![0; 100_000])).unwrap();
    bytes[1..5].copy_from_slice(&200_000_u32.to_le_bytes());
    assert!(matches!(unpack::<RangeResult>(&bytes), Err(CodecError::Decompress(_))));
    assert!(matches!(unpack::<RangeResult>(&[]), Err(CodecError::Decompress(_))));
    assert!(matches!(unpack::<RangeResult>(&[9, 1, 2]), Err(CodecError::Decompress(_))));
}

proptest! {
    #[test]
    fn what_is_packed_unpacks(value in prop::collection::vec(any::<u8>(), 0..9_000)) {
        let page = page(value);
        let bytes = pack(&page).unwrap();
        prop_assert_eq!(unpack::<RangeResult>(&bytes).unwrap(), page);
    }

    /// Torn or foreign bytes are an error, whatever they are.
    #[test]
    fn torn_messages_end_in_an_error_or_a_message(
        cut in 0_usize..2_000,
        flips in prop::collection::vec((0_usize..2_000, any::<u8>()), 0..4),
    ) {
        let mut bytes = pack(&page((0..9_000).map(|n| (n % 7) as u8).collect())).unwrap();
        for (at, to) in flips {
            if let Some(byte) = bytes.get_mut(at) {
                *byte = to;
            }
        }
        bytes.truncate(cut.max(1));
        let _ = unpack::<RangeResult>(&bytes);
    }
}

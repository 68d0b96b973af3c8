//! Compares the labels of samples, which have spans of versions, with a naive list that has one
//! entry per token.

use mulberrycourse::decide::{Label, Span};
use proptest::prelude::*;

/// The naive label: the version of every token, or none.
#[derive(Default)]
struct Naive(Vec<Option<u64>>);

impl Naive {
    fn push(&mut self, version: Option<u64>, count: u32) {
        self.0.extend((0..count).map(|_| version));
    }
}

/// Returns one entry per token of the spans.
fn expand(spans: &[Span]) -> Vec<Option<u64>> {
    spans.iter().flat_map(|s| (s.from..s.to).map(|_| Some(s.version))).collect()
}

proptest! {
    /// For chunks of any size, with and without versions, the label equals the list, its spans are
    /// adjacent and not empty, and a token without a version makes it fail.
    #[test]
    fn label_equals_the_list(
        chunks in prop::collection::vec((prop::option::weighted(0.97, 1_u64..4), 0_u32..5), 0..40),
    ) {
        let (mut label, mut naive) = (Label::default(), Naive::default());
        for (version, count) in chunks {
            label.push(version, count);
            naive.push(version, count);
        }
        prop_assert_eq!(label.tokens() as usize, naive.0.len());
        match label.finish() {
            Err(unlabelled) => {
                prop_assert_eq!(naive.0.iter().position(Option::is_none), Some(unlabelled.at as usize));
            }
            Ok(spans) => {
                prop_assert!(naive.0.iter().all(Option::is_some));
                prop_assert_eq!(expand(&spans), naive.0);
                prop_assert!(spans.iter().all(|s| s.from < s.to));
                let adjacent = spans.windows(2).all(|w| w[0].to == w[1].from);
                prop_assert!(adjacent);
                prop_assert!(spans.windows(2).all(|w| w[0].version != w[1].version));
            }
        }
    }
}

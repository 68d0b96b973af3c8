//! Tests of which bundle a node adopts, without a network.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};

use mulberrycourse::bundle::{AdoptedBundle, Adoption, OfferOrder};
use proptest::prelude::*;
use standins::fleet::{Signers, bundle_text};

/// Verified bundles by number and version, created once: signing is slow without optimisation.
static BUNDLES: LazyLock<BTreeMap<(u64, u64), AdoptedBundle>> = LazyLock::new(|| {
    let signers = Signers::default();
    let one = |(number, version)| {
        let envelope = signers.signed(number, &bundle_text(number, version));
        let bundle = Arc::new(envelope.verify(&signers.operators()).unwrap());
        ((number, version), AdoptedBundle { bundle, envelope: Arc::new(envelope) })
    };
    (1..8).flat_map(|n| (1..3).map(move |v| (n, v))).map(one).collect()
});

fn adopted(number: u64, version: u64) -> AdoptedBundle {
    BUNDLES[&(number, version)].clone()
}

/// A node restarts, and the platform returns an older bundle than its peers have. No bundle is
/// active until the peers have been asked; then the newest offered bundle is.
#[test]
fn the_platforms_older_answer_waits_for_the_peers() {
    let mut adoption = Adoption::default();
    assert!(adoption.offer(adopted(6, 1)).is_none());
    assert!(adoption.offer(adopted(7, 1)).is_none());
    assert!(adoption.current().is_none());
    assert_eq!(adoption.peers_asked().unwrap().bundle.number, 7);
    assert!(adoption.offer(adopted(6, 1)).is_none());
    assert_eq!(adoption.compare(&adopted(6, 1).envelope), OfferOrder::Earlier);
    assert_eq!(adoption.compare(&adopted(7, 1).envelope), OfferOrder::Same);
}

proptest! {
    /// Bundles arrive from the platform and the peers in any order, repeated and late, some with
    /// the same number and different texts. The peers are asked at some point. Before that no
    /// bundle is active, afterwards the greatest of all offers is. The active bundle never changes
    /// to a smaller one.
    #[test]
    fn adoption_equals_the_greatest_offer(
        offers in proptest::collection::vec((1..6_u64, 1..3_u64), 0..16),
        asked in 0..16_usize,
    ) {
        let mut adoption = Adoption::default();
        let mut all = Vec::new();
        let mut last = None;
        for (index, (number, version)) in offers.into_iter().enumerate() {
            let mut activated = Vec::new();
            if index == asked {
                activated.extend(adoption.peers_asked());
            }
            let offer = adopted(number, version);
            all.push(offer.envelope.order());
            activated.extend(adoption.offer(offer));
            for active in activated {
                prop_assert!(last < Some(active.envelope.order()));
                last = Some(active.envelope.order());
            }
            let greatest = if index >= asked { all.iter().max().copied() } else { None };
            prop_assert_eq!(adoption.current().map(|a| a.envelope.order()), greatest);
        }
    }
}

//! Which weight version produced each token of a sample, by the engines' own records.

use std::collections::BTreeMap;

use mulberrycourse::decide::{Sample, Span};

use crate::engine::{Engine, ProducedToken};

/// The version of each token of the sample in `slot`, over all engines that took part. `slot` has
/// the form `trainer/step/group/index`.
///
/// A request id consists of the slot, the attempt and, if the attempt used several engines, the
/// part. A later part starts after the last token that was received, so the last part that
/// produced a token produced the one that was delivered.
pub fn produced_versions(engines: &[Engine], slot: &str) -> Vec<u64> {
    let mut parts: BTreeMap<(u32, u32), Vec<ProducedToken>> = BTreeMap::new();
    for engine in engines {
        for (id, tokens) in engine.ledger() {
            let Some(rest) = id.strip_prefix(slot).and_then(|r| r.strip_prefix('/')) else {
                continue;
            };
            let mut numbers = rest.split('/').map(|n| n.parse().unwrap_or(0));
            let key = (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0));
            parts.entry(key).or_default().extend(tokens);
        }
    }
    let Some(attempt) = parts.keys().map(|(attempt, _)| *attempt).max() else {
        return Vec::new();
    };
    let last = parts.into_iter().filter(|((a, _), _)| *a == attempt);
    let mut tokens = BTreeMap::new();
    for (_, produced) in last {
        tokens.extend(produced.iter().map(|p| (p.index, p.version)));
    }
    tokens.into_values().collect()
}

/// The version of each token by a label.
pub fn label_versions(label: &[Span]) -> Vec<u64> {
    label.iter().flat_map(|s| (s.from..s.to).map(|_| s.version)).collect()
}

/// How many tokens a sample of the stand-in engine has.
pub fn sample_token_count(sample: &Sample) -> usize {
    sample.text.split_whitespace().count()
}

//! Which version truly produced each token of a sample, from the engines' own ledgers.

use std::collections::BTreeMap;

use mulberrycourse::decide::{Sample, Span};

use crate::engine::{Engine, Produced};

/// The version of each token of the sample in `slot`, which is named
/// `trainer/step/group/index`, over all engines that took part.
///
/// Request ids go on with the attempt and, where an attempt went over several
/// engines, its part. A later part starts where the tokens that arrived end, so
/// the last part that produced a token produced the one that counts.
pub fn truth(engines: &[Engine], slot: &str) -> Vec<u64> {
    let mut parts: BTreeMap<(u32, u32), Vec<Produced>> = BTreeMap::new();
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

/// A label, token by token.
pub fn flat(label: &[Span]) -> Vec<u64> {
    label.iter().flat_map(|s| (s.from..s.to).map(|_| s.version)).collect()
}

/// How many tokens a sample of the stand-in engine has.
pub fn tokens(sample: &Sample) -> usize {
    sample.text.split_whitespace().count()
}

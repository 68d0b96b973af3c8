//! Which upstream gets an attempt.

use rand::Rng;

/// An upstream that could take the attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<K> {
    /// Which one.
    pub key: K,
    /// Attempts of this node in flight there, plus the faded report of others.
    pub load: f64,
}

/// The less loaded of two random candidates.
pub fn pick<K: Copy, R: Rng>(candidates: &[Candidate<K>], rng: &mut R) -> Option<K> {
    match candidates {
        [] => None,
        [one] => Some(one.key),
        _ => {
            let first = rng.random_range(0..candidates.len());
            let step = rng.random_range(1..candidates.len());
            let second = (first + step) % candidates.len();
            let (a, b) = (&candidates[first], &candidates[second]);
            Some(if b.load < a.load { b.key } else { a.key })
        }
    }
}

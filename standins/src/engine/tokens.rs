//! The tokens that the stand-in generates. They depend on prompt, seed and index alone, so that
//! an output can be checked token by token even if several engines produced it.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The text of one token.
pub fn token_text(prompt: &str, seed: u64, index: u32) -> String {
    format!("{:03x} ", digest(prompt, seed, index) & 0xfff)
}

/// How many tokens an output has: between a quarter of `max_tokens`, rounded up, and `max_tokens`.
pub fn token_count(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    let min_tokens = max_tokens.div_ceil(4).max(1);
    let span = max_tokens.saturating_sub(min_tokens) + 1;
    min_tokens + (digest(prompt, seed, u32::MAX) % u64::from(span)) as u32
}

fn digest(prompt: &str, seed: u64, index: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prompt, seed, index).hash(&mut hasher);
    hasher.finish()
}

//! What the stand-in generates: a function of prompt, seed and index alone, so
//! that an answer can be checked token by token wherever it was continued.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The text of one token.
pub fn token(prompt: &str, seed: u64, index: u32) -> String {
    format!("{:03x} ", digest(prompt, seed, index) & 0xfff)
}

/// How many tokens an answer has: a quarter of the most, up to the most.
pub fn length(prompt: &str, seed: u64, most: u32) -> u32 {
    let least = most.div_ceil(4).max(1);
    let span = most.saturating_sub(least) + 1;
    least + (digest(prompt, seed, u32::MAX) % u64::from(span)) as u32
}

fn digest(prompt: &str, seed: u64, index: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prompt, seed, index).hash(&mut hasher);
    hasher.finish()
}

//! What a caller checks: that an answer is the whole answer to its own request.

use mulberrycourse::edge::upstream::Completion;

use crate::engine::{length, token};

/// A completion request for the fleet's model.
pub fn completion(prompt: &str, seed: u64, max_tokens: u32) -> Completion {
    Completion {
        model: "patter".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
        priority: 0,
        seed,
        request_id: String::new(),
        prior: None,
    }
}

/// The whole answer to a completion request, token by token.
pub fn expected(request: &Completion) -> String {
    let total = length(&request.prompt, request.seed, request.max_tokens);
    (0..total).map(|index| token(&request.prompt, request.seed, index)).collect()
}

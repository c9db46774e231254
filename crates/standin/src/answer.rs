//! Computes the answers of stand-in engines. The text depends on the prompt, so that a caller can
//! recognise an answer to another prompt.

use std::fmt::Write;

use oriolepass_schema::caller::PromptBody;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the seed of the answer to a prompt: a hash of the prompt.
pub(crate) fn answer_seed(prompt: &PromptBody) -> u64 {
    match prompt {
        PromptBody::Text(text) => xxh3_64(text.as_bytes()),
        PromptBody::Tokens(tokens) => {
            let bytes: Vec<u8> = tokens.iter().flat_map(|token| token.to_le_bytes()).collect();
            xxh3_64(&bytes)
        }
    }
}

/// Returns the token at `index` of the answer with the given seed.
pub fn answer_token(seed: u64, index: u64) -> String {
    let mixed = (seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15)).rotate_left(17);
    format!("{:03x} ", mixed & 0xfff)
}

/// Returns the complete answer to a prompt.
pub fn answer_text(prompt: &PromptBody, tokens: u64) -> String {
    let seed = answer_seed(prompt);
    (0..tokens).fold(String::new(), |mut text, index| {
        let _ = write!(text, "{}", answer_token(seed, index));
        text
    })
}

//! Hashes that stand for the beginnings of prompts.

use oriolepass_schema::caller::{BYTES_PER_TOKEN, PromptBody};
use oriolepass_units::PrefixHash;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens between two hashes.
pub const PREFIX_BLOCK_TOKENS: usize = 1_024;

/// The most hashes of one prompt, so that an ask stays small.
const MAX_HASHES: usize = 32;

/// Hashes a prompt's beginnings, each block chained to the one before.
pub fn prefix_hashes(prompt: &PromptBody) -> Vec<PrefixHash> {
    match prompt {
        PromptBody::Text(text) => chain(
            text.as_bytes()
                .chunks_exact(PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN)
                .map(|block| move |seed| xxh3_64_with_seed(block, seed)),
        ),
        PromptBody::Tokens(tokens) => {
            chain(tokens.chunks_exact(PREFIX_BLOCK_TOKENS).map(|block| {
                move |seed| {
                    let bytes: Vec<u8> = block.iter().flat_map(|t| t.to_le_bytes()).collect();
                    xxh3_64_with_seed(&bytes, seed)
                }
            }))
        }
    }
}

fn chain<F: FnOnce(u64) -> u64>(blocks: impl Iterator<Item = F>) -> Vec<PrefixHash> {
    blocks
        .take(MAX_HASHES)
        .scan(0, |seed, hash| {
            *seed = hash(*seed);
            Some(PrefixHash(*seed))
        })
        .collect()
}

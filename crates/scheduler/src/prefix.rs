//! Computes chained hashes of prompt prefixes, which identify cached prefixes.

use oriolepass_schema::caller::{BYTES_PER_TOKEN, PromptBody};
use oriolepass_units::PrefixHash;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in each hashed block.
pub const PREFIX_BLOCK_TOKENS: usize = 1_024;

/// Maximum number of hashes for one prompt, which bounds the size of a grant request.
const MAX_PREFIX_HASHES: usize = 32;

/// Computes the hashes of a prompt's prefixes. The hash of each block is seeded with the hash of
/// the previous block.
pub fn prefix_hashes(prompt: &PromptBody) -> Vec<PrefixHash> {
    match prompt {
        PromptBody::Text(text) => chain_hashes(
            text.as_bytes()
                .chunks_exact(PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN)
                .map(|block| move |seed| xxh3_64_with_seed(block, seed)),
        ),
        PromptBody::Tokens(tokens) => {
            chain_hashes(tokens.chunks_exact(PREFIX_BLOCK_TOKENS).map(|block| {
                move |seed| {
                    let bytes: Vec<u8> = block.iter().flat_map(|t| t.to_le_bytes()).collect();
                    xxh3_64_with_seed(&bytes, seed)
                }
            }))
        }
    }
}

fn chain_hashes<F: FnOnce(u64) -> u64>(blocks: impl Iterator<Item = F>) -> Vec<PrefixHash> {
    blocks
        .take(MAX_PREFIX_HASHES)
        .scan(0, |seed, hash| {
            *seed = hash(*seed);
            Some(PrefixHash(*seed))
        })
        .collect()
}

//! A prefix cache of limited capacity.

use std::collections::{HashMap, VecDeque};

use oriolepass_schema::endpoint::CacheChange;
use oriolepass_units::PrefixHash;

/// The prefix blocks of processed prompts. The least recently used blocks are evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    blocks: HashMap<PrefixHash, u64>,
    /// All uses, the oldest first. Uses of a block before its last are skipped at eviction.
    order: VecDeque<(PrefixHash, u64)>,
    uses: u64,
    capacity: usize,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns the number of leading blocks that are cached.
    pub(crate) fn hits(&self, prefix: &[PrefixHash]) -> usize {
        prefix.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Stores a prompt's blocks and evicts down to the capacity. Returns the changes in order.
    pub(crate) fn store(&mut self, prefix: &[PrefixHash]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for hash in prefix {
            self.uses += 1;
            if self.blocks.insert(*hash, self.uses).is_none() {
                changes.push(CacheChange::Stored(*hash));
            }
            self.order.push_back((*hash, self.uses));
        }
        while self.blocks.len() > self.capacity {
            let (hash, used) =
                self.order.pop_front().expect("each cached block has an entry in the order of use");
            if self.blocks.get(&hash) == Some(&used) {
                self.blocks.remove(&hash);
                changes.push(CacheChange::Evicted(hash));
            }
        }
        changes
    }
}

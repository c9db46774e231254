//! A prefix cache in limited memory.

use std::collections::{HashMap, VecDeque};

use oriolepass_schema::endpoint::CacheChange;
use oriolepass_units::PrefixHash;

/// Blocks of prompts that were processed before; the oldest go first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    blocks: HashMap<PrefixHash, u64>,
    order: VecDeque<(PrefixHash, u64)>,
    uses: u64,
    capacity: usize,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns how many of the first blocks are cached.
    pub(crate) fn hits(&self, prefix: &[PrefixHash]) -> usize {
        prefix.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Keeps a prompt's blocks; returns what changed.
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
            let (hash, used) = self.order.pop_front().expect("each block was used once");
            if self.blocks.get(&hash) == Some(&used) {
                self.blocks.remove(&hash);
                changes.push(CacheChange::Evicted(hash));
            }
        }
        changes
    }
}

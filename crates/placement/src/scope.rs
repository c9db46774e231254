//! Which engines a choice is made among.
//!
//! One home that sees all prompts chooses among all engines. Where several choose at the same time
//! and none sees what the others do, the best engine is the same for all of them, and all send to
//! it. So each chooses among engines of its own: a cell, which no other home places on, or where
//! not even that much is agreed, a few drawn by chance.

use std::hash::{Hash, Hasher};

use oriolepass_units::EndpointStart;
use serde::{Deserialize, Serialize};

/// The engines among which a prompt alone is placed, as a part of all: few enough for entries that
/// know nothing of each other to meet seldom, and enough for one of them to be free.
const SHORT_DRAW_SHARE: f64 = 0.125;

/// The same for a long prompt, which needs several engines that have little to read.
const LONG_DRAW_SHARE: f64 = 0.35;

/// The fewest engines that are drawn for a short prompt: the best of four is free when three are busy.
const SHORT_DRAW_LEAST: usize = 4;

/// The fewest that are drawn for a long prompt: the most that may read one.
const LONG_DRAW_LEAST: usize = 16;

/// One of several parts that all engines are divided into.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCell {
    /// Which part, from 0.
    pub index: u32,
    /// How many parts there are, at least 1.
    pub count: u32,
}

impl EngineCell {
    /// Returns whether an engine is in this part.
    pub fn holds(self, endpoint: &EndpointStart) -> bool {
        hash(u64::from(self.count), endpoint) % u64::from(self.count.max(1))
            == u64::from(self.index)
    }
}

/// The engines among which a prompt is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineScope {
    /// All of them.
    All,
    /// Those of one part.
    Cell(EngineCell),
    /// Some, drawn with this random number.
    Drawn(u64),
}

impl EngineScope {
    /// Returns whether this scope may use an engine with a limit on prompts per second. Each placer
    /// counts only its own prompts, so the engine must be one that no other places on concurrently.
    pub(crate) fn allows_limited(self, endpoint: &EndpointStart) -> bool {
        match self {
            Self::All => true,
            Self::Cell(cell) => cell.holds(endpoint),
            Self::Drawn(_) => false,
        }
    }

    /// Returns the engines to choose among, the first of equally good ones in front. Where a part
    /// has none, all are.
    pub(crate) fn narrow(
        self,
        mut engines: Vec<EndpointStart>,
        is_short: bool,
    ) -> Vec<EndpointStart> {
        match self {
            Self::All => engines,
            Self::Cell(cell) => {
                let inside: Vec<EndpointStart> =
                    engines.iter().filter(|engine| cell.holds(engine)).cloned().collect();
                if inside.is_empty() { engines } else { inside }
            }
            Self::Drawn(seed) => {
                let (share, least) = if is_short {
                    (SHORT_DRAW_SHARE, SHORT_DRAW_LEAST)
                } else {
                    (LONG_DRAW_SHARE, LONG_DRAW_LEAST)
                };
                let count = ((engines.len() as f64 * share) as usize).max(least);
                engines.sort_by_cached_key(|engine| hash(seed, engine));
                engines.truncate(count);
                engines
            }
        }
    }
}

fn hash(seed: u64, endpoint: &EndpointStart) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    seed.hash(&mut hasher);
    endpoint.hash(&mut hasher);
    hasher.finish()
}

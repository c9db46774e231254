//! Limits the engines among which a prompt is placed.
//!
//! A home that sees all prompts chooses among all engines. If several instances choose at the same
//! time without knowledge of each other's placements, the best engine is the same for all of them,
//! and all of them send to it. Each of them therefore chooses among its own engines: a cell, on
//! which no other instance places prompts, or, where no cells are agreed on, a few engines drawn at
//! random.

use std::hash::{Hash, Hasher};

use oriolepass_limits::IssuerRole;
use oriolepass_units::EndpointStart;
use serde::{Deserialize, Serialize};

/// Share of engines that are drawn for a short prompt that an entry places by itself. It is low
/// enough for entries without knowledge of each other to collide rarely, and high enough for one
/// engine to be free.
const SHORT_DRAW_SHARE: f64 = 0.125;

/// Share of engines that are drawn for a long prompt, which needs several engines with little to
/// read.
const LONG_DRAW_SHARE: f64 = 0.35;

/// Minimum number of engines that are drawn for a short prompt: if three of four engines are busy,
/// the best of four is free.
const MIN_SHORT_DRAW: usize = 4;

/// Minimum number of engines that are drawn for a long prompt, equal to the maximum group size.
const MIN_LONG_DRAW: usize = 16;

/// One of several disjoint cells that together contain all engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCell {
    /// Index of the cell, from 0.
    pub index: u32,
    /// Number of cells, at least 1.
    pub count: u32,
}

impl EngineCell {
    /// Returns whether an engine is in this cell.
    pub fn holds(self, endpoint: &EndpointStart) -> bool {
        hash(u64::from(self.count), endpoint) % u64::from(self.count.max(1))
            == u64::from(self.index)
    }
}

/// The engines among which a prompt is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineScope {
    /// All engines.
    All,
    /// The engines of one cell.
    Cell(EngineCell),
    /// A random sample of engines, drawn with this seed.
    Drawn(u64),
}

impl EngineScope {
    /// Returns the role in which permits of engines that name limits are issued in this scope.
    pub(crate) fn issuer_role(self) -> IssuerRole {
        match self {
            Self::All => IssuerRole::Home,
            Self::Cell(_) | Self::Drawn(_) => IssuerRole::Deputy,
        }
    }

    /// Returns whether this scope may use an engine with a limit on prompts per second. Each placer
    /// counts only its own prompts, so no other placer may use the engine at the same time.
    pub(crate) fn allows_limited(self, endpoint: &EndpointStart) -> bool {
        match self {
            Self::All => true,
            Self::Cell(cell) => cell.holds(endpoint),
            Self::Drawn(_) => false,
        }
    }

    /// Returns the engines of this scope; of equally good engines, the first is chosen. Returns all
    /// engines if the cell contains none of them.
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
                    (SHORT_DRAW_SHARE, MIN_SHORT_DRAW)
                } else {
                    (LONG_DRAW_SHARE, MIN_LONG_DRAW)
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

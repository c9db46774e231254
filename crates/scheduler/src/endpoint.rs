//! State of one endpoint at its home.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use oriolepass_schema::endpoint::{CacheChange, EndpointAnnouncement, EndpointKind};
use oriolepass_schema::operator::{EndpointState, PoolRole};
use oriolepass_units::{
    AttemptId, DataCentreId, Incarnation, ModelId, MonotonicTime, PrefixHash, ServiceName,
    TokenCount,
};

use crate::config::LengthClass;
use crate::grant::WorkTarget;
use crate::prefix::PREFIX_BLOCK_TOKENS;

/// Maximum number of cached prefixes recorded for one endpoint.
const MAX_CACHED_PREFIXES: usize = 4_096;

/// Memory held by one attempt on an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct MemoryHold {
    pub(crate) reserved: TokenCount,
    pub(crate) state: HoldState,
}

/// Reason why memory is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HoldState {
    /// Held by a grant of this home.
    Granted,
    /// Found on the endpoint by a new home; cancelled unless the entry renews it before this time.
    Adopted(MonotonicTime),
    /// Cancelled at this time; held until the endpoint no longer lists it.
    Cancelling(MonotonicTime),
}

/// An endpoint with its part of the ledger, the record of the memory granted on it.
#[derive(Debug)]
pub(crate) struct EndpointEntry {
    pub(crate) data_centre: DataCentreId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) models: Vec<ModelId>,
    pub(crate) service: Option<ServiceName>,
    /// Total memory; for a plain service, the number of concurrent calls.
    pub(crate) memory: TokenCount,
    pub(crate) prefill_rate: u64,
    pub(crate) role: PoolRole,
    pub(crate) state: EndpointState,
    pub(crate) last_heartbeat: MonotonicTime,
    /// Time of the next inspection.
    pub(crate) inspect_due: MonotonicTime,
    /// Time before which another home may still grant the endpoint's memory.
    pub(crate) usable_from: MonotonicTime,
    pub(crate) inspected: bool,
    pub(crate) holds: BTreeMap<AttemptId, MemoryHold>,
    pub(crate) held: TokenCount,
    /// Granted prompt tokens that are not yet processed, by priority.
    pub(crate) backlog: [u64; 4],
    /// Number of running prompts above the short class.
    pub(crate) long_running: u32,
    /// Streams that the endpoint lists without a grant of this home, with their memory and the time
    /// of the first listing.
    pub(crate) unexplained: BTreeMap<AttemptId, (TokenCount, MonotonicTime)>,
    cached: HashSet<PrefixHash>,
    next_cache_sequence: Option<u64>,
    pub(crate) cache_gaps: u64,
}

impl EndpointEntry {
    pub(crate) fn new(
        announcement: &EndpointAnnouncement,
        role: PoolRole,
        now: MonotonicTime,
        usable_from: MonotonicTime,
    ) -> Self {
        let (models, service, memory, prefill_rate) = match &announcement.kind {
            EndpointKind::Engine { models, memory, prefill_rate } => {
                (models.clone(), None, *memory, prefill_rate.0.max(1))
            }
            EndpointKind::Service { service, concurrency } => {
                (Vec::new(), Some(service.clone()), TokenCount(u64::from(*concurrency)), u64::MAX)
            }
        };
        Self {
            data_centre: announcement.data_centre.clone(),
            address: announcement.address,
            incarnation: announcement.incarnation,
            models,
            service,
            memory,
            prefill_rate,
            role,
            state: EndpointState::Joining,
            last_heartbeat: now,
            inspect_due: usable_from,
            usable_from,
            inspected: false,
            holds: BTreeMap::new(),
            held: TokenCount::ZERO,
            backlog: [0; 4],
            long_running: 0,
            unexplained: BTreeMap::new(),
            cached: HashSet::new(),
            next_cache_sequence: None,
            cache_gaps: 0,
        }
    }

    /// Makes a joining endpoint live once its held memory is known and no other home can grant
    /// memory on it.
    pub(crate) fn finish_joining(&mut self, now: MonotonicTime) {
        if self.state == EndpointState::Joining && self.inspected && now >= self.usable_from {
            self.state = EndpointState::Live;
        }
    }

    pub(crate) fn serves(&self, target: &WorkTarget) -> bool {
        match target {
            WorkTarget::Model(model) => self.models.contains(model),
            WorkTarget::Service(service) => self.service.as_ref() == Some(service),
        }
    }

    pub(crate) fn free(&self) -> TokenCount {
        TokenCount(self.memory.0.saturating_sub(self.held.0))
    }

    /// Returns the memory that a prompt of the class may take at present.
    pub(crate) fn room(&self, class: LengthClass, guard_percent: u64) -> TokenCount {
        if class == LengthClass::Short || self.service.is_some() {
            return self.free();
        }
        if self.role == PoolRole::Short {
            return TokenCount::ZERO;
        }
        let guarded = self.memory.0 * guard_percent / 100;
        TokenCount(self.free().0.saturating_sub(guarded))
    }

    /// Returns the maximum memory that one prompt of the class can ever take on this endpoint.
    pub(crate) fn capacity(&self, class: LengthClass, guard_percent: u64) -> TokenCount {
        if class == LengthClass::Short || self.service.is_some() {
            return self.memory;
        }
        if self.role == PoolRole::Short {
            return TokenCount::ZERO;
        }
        TokenCount(self.memory.0 - self.memory.0 * guard_percent / 100)
    }

    /// Returns the number of tokens of a prompt's prefix that are probably cached on this endpoint.
    pub(crate) fn cached_tokens(&self, prefix: &[PrefixHash]) -> u64 {
        if self.cached.is_empty() {
            return 0;
        }
        let blocks = prefix.iter().take_while(|hash| self.cached.contains(hash)).count();
        (blocks * PREFIX_BLOCK_TOKENS) as u64
    }

    /// Returns whether no prompt above the short class runs on this endpoint.
    pub(crate) fn is_clear(&self) -> bool {
        self.long_running == 0
    }

    /// Returns whether a prompt above the short class is in prefill on this endpoint, in which
    /// case every step has the maximum length.
    pub(crate) fn processes_long(&self) -> bool {
        let short = usize::from(LengthClass::Short.priority());
        self.backlog[..short].iter().any(|tokens| *tokens > 0)
    }

    /// Applies cache events. A gap in the sequence clears the recorded prefixes, because the
    /// missing events may have evicted any of them.
    pub(crate) fn cache_events(&mut self, first_sequence: u64, changes: &[CacheChange]) {
        if self.next_cache_sequence.is_some_and(|expected| expected != first_sequence) {
            self.cache_gaps += 1;
            self.cached.clear();
        }
        self.next_cache_sequence = Some(first_sequence + changes.len() as u64);
        for change in changes {
            match change {
                CacheChange::Stored(hash) if self.cached.len() < MAX_CACHED_PREFIXES => {
                    self.cached.insert(*hash);
                }
                CacheChange::Stored(_) => {}
                CacheChange::Evicted(hash) => {
                    self.cached.remove(hash);
                }
            }
        }
    }
}

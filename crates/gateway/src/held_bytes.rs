//! Counts the bytes that this process holds for callers and endpoints, and decides whether it may
//! hold more.
//!
//! Request bodies have a part of the memory of their own, beyond which requests are refused. Answers
//! and streams share another part and a reserve of the same size. Once the part is full, each holder
//! may have a small share of what is left of the reserve, so that large answers do not displace
//! small ones: a holder above that share is ended when it asks for more.

use std::cell::Cell;
use std::rc::Rc;

use crate::gateway::Gateway;

/// Request bodies may take up the memory limit divided by this number.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Answers and streams may take up the memory limit divided by this number, and with their reserve
/// twice that.
const ANSWER_MEMORY_DIVISOR: usize = 16;

/// The share of the reserve that is left that one answer or stream may have.
const RESERVE_SHARE_DIVISOR: usize = 64;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeldKind {
    /// The body of a caller's request, until the request ends.
    RequestBody,
    /// The body of an endpoint's answer, until the caller has read it.
    Answer,
    /// Events that are not complete, or that the caller has not read.
    Stream,
    /// The buffers of another instance's tunnel.
    Tunnel,
}

impl HeldKind {
    pub(crate) const ALL: [Self; 4] = [Self::RequestBody, Self::Answer, Self::Stream, Self::Tunnel];

    /// Returns the name used in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RequestBody => "request-body",
            Self::Answer => "answer",
            Self::Stream => "stream",
            Self::Tunnel => "tunnel",
        }
    }
}

/// The bytes held, by kind.
#[derive(Debug, Default)]
pub(crate) struct HeldLedger {
    bytes: [usize; HeldKind::ALL.len()],
}

impl HeldLedger {
    pub(crate) fn bytes(&self, kind: HeldKind) -> usize {
        self.bytes[kind as usize]
    }

    /// Changes what one holder holds, in bytes. Returns false and changes nothing if a process with
    /// `memory` bytes may not hold that much.
    pub(crate) fn resize(&mut self, kind: HeldKind, from: usize, to: usize, memory: usize) -> bool {
        if to > from && !self.may_grow(kind, from, to, memory) {
            return false;
        }
        let of_kind = &mut self.bytes[kind as usize];
        *of_kind = *of_kind - from + to;
        true
    }

    /// Returns whether one holder that holds `from` bytes may hold `to`, in a process with `memory`
    /// bytes.
    pub(crate) fn may_grow(&self, kind: HeldKind, from: usize, to: usize, memory: usize) -> bool {
        let added = to.saturating_sub(from);
        match kind {
            HeldKind::RequestBody => self.bytes(kind) + added <= memory / BODY_MEMORY_DIVISOR,
            HeldKind::Answer | HeldKind::Stream => {
                let limit = memory / ANSWER_MEMORY_DIVISOR;
                let held = self.bytes(HeldKind::Answer) + self.bytes(HeldKind::Stream);
                let reserve = (2 * limit).saturating_sub(held);
                held + added <= limit || to <= reserve / RESERVE_SHARE_DIVISOR
            }
            // The number of tunnels is limited.
            HeldKind::Tunnel => true,
        }
    }
}

/// Bytes that one holder holds. Dropping it releases them.
pub(crate) struct ByteHold {
    gateway: Rc<Gateway>,
    kind: HeldKind,
    bytes: Cell<usize>,
}

impl ByteHold {
    pub(crate) fn new(gateway: &Rc<Gateway>, kind: HeldKind) -> Self {
        Self { gateway: Rc::clone(gateway), kind, bytes: Cell::new(0) }
    }

    pub(crate) fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// Returns the memory of the process, in bytes.
    fn memory(&self) -> usize {
        let memory = usize::try_from(self.gateway.settings().memory_mb).unwrap_or(usize::MAX);
        memory.saturating_mul(1 << 20)
    }

    /// Returns whether there is memory for `to` bytes now.
    pub(crate) fn has_room(&self, to: usize) -> bool {
        self.gateway.held.borrow().may_grow(self.kind, self.bytes.get(), to, self.memory())
    }

    /// Holds `to` bytes from now on. Returns false and changes nothing if there is no memory for them.
    pub(crate) fn resize(&self, to: usize) -> bool {
        if to == self.bytes.get() {
            return true;
        }
        let memory = self.memory();
        let mut ledger = self.gateway.held.borrow_mut();
        let is_held = ledger.resize(self.kind, self.bytes.get(), to, memory);
        if is_held {
            self.bytes.set(to);
        }
        is_held
    }
}

impl Drop for ByteHold {
    fn drop(&mut self) {
        // Shrinking cannot fail.
        self.resize(0);
    }
}

impl std::fmt::Debug for ByteHold {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} bytes for {}", self.bytes.get(), self.kind.name())
    }
}

#[cfg(test)]
mod tests {
    use super::{HeldKind, HeldLedger};

    const MEMORY: usize = 160 << 20;

    /// Guards against ordinary callers that lose their answers because one endpoint sends answers
    /// without end.
    #[test]
    fn small_answers_are_held_while_endless_ones_fill_the_memory() {
        let mut ledger = HeldLedger::default();
        let mut endless = 0;
        while ledger.resize(HeldKind::Answer, endless, endless + 65_536, MEMORY) {
            endless += 65_536;
        }
        assert_eq!(endless, 10 << 20);
        let is_held = |_| ledger.resize(HeldKind::Answer, 0, 20_000, MEMORY);
        assert!((0..400).all(is_held));
        assert!(!ledger.resize(HeldKind::Answer, endless, endless + 1, MEMORY));
        assert!(!ledger.resize(HeldKind::Stream, 0, 1 << 20, MEMORY));
        assert!(ledger.resize(HeldKind::Answer, endless, 0, MEMORY));
        assert!(ledger.resize(HeldKind::Stream, 0, 1 << 20, MEMORY));
    }

    /// Guards against a process that ends because all endpoints send answers without end to many
    /// callers at once.
    #[test]
    fn endless_answers_take_up_at_most_twice_their_part_of_the_memory() {
        let mut ledger = HeldLedger::default();
        let mut holders = vec![0; 400];
        for step in [100, 3_000, 40_000, 1 << 20] {
            for held in &mut holders {
                if ledger.resize(HeldKind::Answer, *held, *held + step, MEMORY) {
                    *held += step;
                }
            }
        }
        let total: usize = holders.iter().sum();
        assert_eq!(total, ledger.bytes(HeldKind::Answer));
        assert!((10 << 20..=20 << 20).contains(&total), "{total} bytes");
        for held in holders {
            assert!(ledger.resize(HeldKind::Answer, held, 0, MEMORY));
        }
        assert!(ledger.resize(HeldKind::Answer, 0, 10 << 20, MEMORY), "nothing is held");
    }

    #[test]
    fn request_bodies_beyond_their_part_of_the_memory_are_not_held() {
        let mut ledger = HeldLedger::default();
        assert!(ledger.resize(HeldKind::RequestBody, 0, 40 << 20, MEMORY));
        assert!(!ledger.resize(HeldKind::RequestBody, 0, 1, MEMORY));
        assert!(ledger.resize(HeldKind::Answer, 0, 1 << 20, MEMORY));
    }
}

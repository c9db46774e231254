//! Where a prompt goes.

use std::cmp::Reverse;

use oriolepass_schema::operator::EndpointState;
use oriolepass_units::{AttemptId, EndpointId, TokenCount};

use crate::ask::GrantRequest;
use crate::config::LengthClass;
use crate::endpoint::EndpointEntry;
use crate::home::HomeScheduler;

/// The chosen endpoints with the memory to set aside on each; the first one leads.
pub(crate) type Placement = Vec<(EndpointId, TokenCount)>;

/// What a place would cost; the lowest wins, ties go to the lowest endpoint id.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceCost {
    /// Expected microseconds to the first token.
    first_token: u64,
    /// Memory in use, so that equals are spread.
    held: TokenCount,
}

/// Engines reserved for a prompt that has waited long enough.
#[derive(Debug, Clone)]
pub(crate) struct EngineReservation {
    pub(crate) attempt: AttemptId,
    pub(crate) members: Placement,
}

impl HomeScheduler {
    /// Returns the endpoints that may serve an ask, now or in a moment.
    fn eligible<'a>(
        &'a self,
        ask: &'a GrantRequest,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EndpointEntry)> {
        self.endpoints.iter().filter(move |(id, entry)| {
            entry.state != EndpointState::Leaving
                && entry.serves(&ask.target)
                && !ask.exclude.contains(id)
        })
    }

    /// Returns the endpoints that can serve an ask now.
    fn candidates<'a>(
        &'a self,
        ask: &'a GrantRequest,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EndpointEntry)> {
        // A home that was frozen for a while has not aged its endpoints yet when it wakes, so
        // the heartbeat's age is checked here as well.
        self.eligible(ask).filter(|(_, entry)| {
            entry.state == EndpointState::Live
                && self.now.since(entry.last_heartbeat) < self.config.endpoint_suspect
        })
    }

    /// Returns the room that an endpoint has for a prompt, less what is reserved for another.
    fn room_for(
        &self,
        ask: &GrantRequest,
        class: LengthClass,
        id: &EndpointId,
        entry: &EndpointEntry,
    ) -> TokenCount {
        let guard = self.config.short_guard_percent;
        let room = entry.room(class, guard);
        let kept = self
            .reservation
            .iter()
            .filter(|reservation| reservation.attempt != ask.attempt)
            .flat_map(|reservation| &reservation.members)
            .find(|(member, _)| member == id)
            .map_or(TokenCount::ZERO, |(_, kept)| *kept);
        if kept == TokenCount::ZERO {
            return room;
        }
        // Short prompts go on within their guarded part; nothing else may take what becomes
        // free, or a stream of small prompts would starve the large one for ever.
        let guarded = TokenCount(entry.memory.0 * guard / 100);
        let left = entry.free().0.saturating_sub(kept.0);
        let used_of_guard = entry.memory.0 - entry.memory.0 * guard / 100;
        match class {
            LengthClass::Short => {
                let within_guard =
                    guarded.0.saturating_sub(entry.held.0.saturating_sub(used_of_guard));
                room.min(TokenCount(left.max(within_guard)))
            }
            _ => room.min(TokenCount(left.saturating_sub(guarded.0))),
        }
    }

    /// Chooses endpoints for a prompt, if there is room now.
    pub(crate) fn place(&self, ask: &GrantRequest) -> Option<Placement> {
        let class = LengthClass::of(ask.prompt);
        self.place_alone(ask, class).or_else(|| self.place_group(ask, class))
    }

    fn place_alone(&self, ask: &GrantRequest, class: LengthClass) -> Option<Placement> {
        let need = ask.need();
        let kept_clear = self.kept_clear(ask, class);
        let (id, _) = self
            .candidates(ask)
            .filter(|(id, entry)| self.room_for(ask, class, id, entry) >= need)
            .min_by_key(|(id, entry)| (kept_clear.contains(id), place_cost(ask, class, entry)))?;
        Some(vec![(id.clone(), need)])
    }

    /// Returns the engines that a prompt should leave to short ones.
    ///
    /// As many are kept clear as the present short prompts need, so the number moves with the
    /// mix and is none when there are no short prompts. They are always the same ones, the first
    /// by name: left to chance, each engine would get its long prompt in turn and none would
    /// ever be clear. Work that piles up on the others spills over: an idle engine helps nobody.
    fn kept_clear<'a>(&'a self, ask: &'a GrantRequest, class: LengthClass) -> Vec<&'a EndpointId> {
        if class == LengthClass::Short || self.short_rate.tokens_per_second() == 0 {
            return Vec::new();
        }
        let rate = self.candidates(ask).map(|(_, entry)| entry.prefill_rate).max().unwrap_or(1);
        let for_each = (rate * self.config.clear_load_percent / 100).max(1);
        let wanted = self.short_rate.tokens_per_second().div_ceil(for_each);
        let wanted = usize::try_from(wanted).unwrap_or(usize::MAX);
        let mut candidates = self.candidates(ask);
        let kept: Vec<&EndpointId> = candidates.by_ref().take(wanted).map(|(id, _)| id).collect();
        let backlog = |entry: &EndpointEntry| backlog_micros(entry, LengthClass::Huge);
        let least = candidates.map(|(_, entry)| backlog(entry)).min();
        let spill = u64::try_from(self.config.spill_after.as_micros()).unwrap_or(u64::MAX);
        if least.is_some_and(|least| least < spill) { kept } else { Vec::new() }
    }

    /// Chooses the fewest endpoints that together have room, if there are any now.
    fn place_group(&self, ask: &GrantRequest, class: LengthClass) -> Option<Placement> {
        if !self.needs_group(ask, class) {
            return None;
        }
        let limit = self.group_limit(ask);
        let kept_clear = self.kept_clear(ask, class);
        let mut rooms: Vec<(bool, Reverse<TokenCount>, &EndpointId)> = self
            .candidates(ask)
            .map(|(id, entry)| {
                let room = self.room_for(ask, class, id, entry);
                (kept_clear.contains(&id), Reverse(room), id)
            })
            .collect();
        rooms.sort();
        split(ask.need(), rooms.into_iter().take(limit).map(|(_, room, id)| (room.0, id)))
    }

    /// Returns whether no single endpoint can ever take the prompt.
    fn needs_group(&self, ask: &GrantRequest, class: LengthClass) -> bool {
        let guard = self.config.short_guard_percent;
        !self.eligible(ask).any(|(_, entry)| entry.capacity(class, guard) >= ask.need())
    }

    /// Returns the most endpoints of a group: one must stay free of it, so that short prompts
    /// of the model always have somewhere to go.
    fn group_limit(&self, ask: &GrantRequest) -> usize {
        match self.eligible(ask).count() {
            0 | 1 => 1,
            count => count - 1,
        }
    }

    /// Returns the most memory that a prompt of the class could ever get.
    pub(crate) fn capacity_for(&self, ask: &GrantRequest) -> Option<TokenCount> {
        let class = LengthClass::of(ask.prompt);
        let guard = self.config.short_guard_percent;
        let mut capacities: Vec<TokenCount> =
            self.eligible(ask).map(|(_, entry)| entry.capacity(class, guard)).collect();
        if capacities.is_empty() {
            return None;
        }
        capacities.sort_unstable_by(|left, right| right.cmp(left));
        Some(capacities.into_iter().take(self.group_limit(ask)).sum())
    }

    /// Chooses the endpoints to keep for a prompt that does not fit now: those that will have
    /// room soonest, which are those with the least memory held.
    pub(crate) fn choose_reservation(&self, ask: &GrantRequest) -> Option<Placement> {
        let class = LengthClass::of(ask.prompt);
        let guard = self.config.short_guard_percent;
        let mut options: Vec<(TokenCount, &EndpointId, TokenCount)> = self
            .candidates(ask)
            .map(|(id, entry)| (entry.held, id, entry.capacity(class, guard)))
            .collect();
        options.sort();
        let alone = options.iter().find(|(_, _, capacity)| *capacity >= ask.need());
        if let Some((_, id, _)) = alone {
            return Some(vec![((*id).clone(), ask.need())]);
        }
        let limit = self.group_limit(ask);
        split(ask.need(), options.into_iter().map(|(_, id, capacity)| (capacity, id)).take(limit))
    }
}

/// Splits a need over endpoints in order; none where they do not suffice.
fn split<'a>(
    need: TokenCount,
    rooms: impl Iterator<Item = (TokenCount, &'a EndpointId)>,
) -> Option<Placement> {
    let mut left = need;
    let mut placement = Vec::new();
    for (room, id) in rooms {
        if left == TokenCount::ZERO || room == TokenCount::ZERO {
            break;
        }
        let part = room.min(left);
        placement.push((id.clone(), part));
        left -= part;
    }
    (left == TokenCount::ZERO).then_some(placement)
}

/// Returns the time to process everything that goes before a prompt of the class.
pub(crate) fn backlog_micros(entry: &EndpointEntry, class: LengthClass) -> u64 {
    let ahead: u64 = entry.backlog[usize::from(class.priority())..].iter().sum();
    micros(ahead, entry.prefill_rate)
}

fn micros(tokens: u64, rate: u64) -> u64 {
    tokens.saturating_mul(1_000_000) / rate.max(1)
}

/// Microseconds that a short prompt loses on average where a longer one is being processed: half
/// of a full step is still to go.
const LONG_STEP_MICROS: u64 = 30_000;

/// Microseconds that a short prompt loses where a longer one only yields tokens.
const LONG_STREAM_MICROS: u64 = 4_000;

/// Returns the microseconds until a short prompt's own processing starts.
pub(crate) fn short_wait_micros(entry: &EndpointEntry) -> u64 {
    let neighbours = if entry.processes_long() {
        LONG_STEP_MICROS
    } else if entry.is_clear() {
        0
    } else {
        LONG_STREAM_MICROS
    };
    backlog_micros(entry, LengthClass::Short).saturating_add(neighbours)
}

fn place_cost(ask: &GrantRequest, class: LengthClass, entry: &EndpointEntry) -> PlaceCost {
    let cached = entry.cached_tokens(&ask.prefix).min(ask.prompt.0.saturating_sub(1));
    let own = micros(ask.prompt.0 - cached, entry.prefill_rate);
    let wait = match class {
        LengthClass::Short => short_wait_micros(entry),
        _ => backlog_micros(entry, class),
    };
    PlaceCost { first_token: wait.saturating_add(own), held: entry.held }
}

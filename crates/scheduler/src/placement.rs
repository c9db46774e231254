//! Chooses the endpoints for a prompt.

use std::cmp::Reverse;

use oriolepass_schema::operator::EndpointState;
use oriolepass_units::{AttemptId, EndpointId, TokenCount};

use crate::config::LengthClass;
use crate::endpoint::EndpointEntry;
use crate::grant::GrantRequest;
use crate::home::HomeScheduler;

/// The chosen endpoints with the memory to reserve on each. The first endpoint leads the group.
pub(crate) type Placement = Vec<(EndpointId, TokenCount)>;

/// Cost of placing a prompt on an endpoint. The lowest cost wins; a tie goes to the lowest
/// endpoint id.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementCost {
    /// Expected time to the first token, in microseconds.
    first_token: u64,
    /// Memory held, which spreads prompts over endpoints with the same expected time.
    held: TokenCount,
}

/// Engines reserved for a prompt that has waited for the reservation delay.
#[derive(Debug, Clone)]
pub(crate) struct EngineReservation {
    pub(crate) attempt: AttemptId,
    pub(crate) members: Placement,
}

impl HomeScheduler {
    /// Returns the endpoints that may serve a grant request, including those that cannot accept
    /// work at present.
    fn eligible<'a>(
        &'a self,
        request: &'a GrantRequest,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EndpointEntry)> {
        self.endpoints.iter().filter(move |(id, entry)| {
            entry.state != EndpointState::Leaving
                && entry.serves(&request.target)
                && !request.exclude.contains(id)
        })
    }

    /// Returns the endpoints that can serve a grant request at present.
    fn candidates<'a>(
        &'a self,
        request: &'a GrantRequest,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EndpointEntry)> {
        // A home whose process was suspended has not yet marked its endpoints as suspect when it
        // resumes. The age of the last heartbeat is therefore checked here as well.
        self.eligible(request).filter(|(_, entry)| {
            entry.state == EndpointState::Live
                && self.now.since(entry.last_heartbeat) < self.config.endpoint_suspect
        })
    }

    /// Returns the memory that a prompt may take on an endpoint, excluding the memory reserved for
    /// another prompt.
    fn room_for(
        &self,
        request: &GrantRequest,
        class: LengthClass,
        id: &EndpointId,
        entry: &EndpointEntry,
    ) -> TokenCount {
        let guard = self.config.short_guard_percent;
        let room = entry.room(class, guard);
        let kept = self
            .reservation
            .iter()
            .filter(|reservation| reservation.attempt != request.attempt)
            .flat_map(|reservation| &reservation.members)
            .find(|(member, _)| member == id)
            .map_or(TokenCount::ZERO, |(_, kept)| *kept);
        if kept == TokenCount::ZERO {
            return room;
        }
        // Short prompts may still use the part of the memory that is kept for them. No other
        // prompt may take memory that becomes free: a stream of small prompts would otherwise
        // starve the large prompt indefinitely.
        let guarded = TokenCount(entry.memory.0 * guard / 100);
        let left = entry.free().0.saturating_sub(kept.0);
        let unguarded = entry.memory.0 - entry.memory.0 * guard / 100;
        match class {
            LengthClass::Short => {
                let within_guard = guarded.0.saturating_sub(entry.held.0.saturating_sub(unguarded));
                room.min(TokenCount(left.max(within_guard)))
            }
            _ => room.min(TokenCount(left.saturating_sub(guarded.0))),
        }
    }

    /// Chooses endpoints for a prompt; returns `None` if the prompt does not fit at present.
    pub(crate) fn place(&self, request: &GrantRequest) -> Option<Placement> {
        let class = LengthClass::of(request.prompt);
        self.place_alone(request, class).or_else(|| self.place_group(request, class))
    }

    fn place_alone(&self, request: &GrantRequest, class: LengthClass) -> Option<Placement> {
        let need = request.need();
        let kept_clear = self.kept_clear(request, class);
        let (id, _) = self
            .candidates(request)
            .filter(|(id, entry)| self.room_for(request, class, id, entry) >= need)
            .min_by_key(|(id, entry)| {
                (kept_clear.contains(id), placement_cost(request, class, entry))
            })?;
        Some(vec![(id.clone(), need)])
    }

    /// Returns the engines that a longer prompt should leave to short prompts.
    ///
    /// The number of engines kept clear follows the arrival rate of short prompts and is zero
    /// without short prompts. The first engines by id are always the ones kept clear: with a
    /// varying choice, each engine would get a long prompt in turn and no engine would ever be
    /// clear. Once the backlog of every other engine reaches `spill_after`, no engine is kept
    /// clear, so that engines do not idle while longer prompts wait.
    fn kept_clear<'a>(
        &'a self,
        request: &'a GrantRequest,
        class: LengthClass,
    ) -> Vec<&'a EndpointId> {
        if class == LengthClass::Short || self.short_rate.tokens_per_second() == 0 {
            return Vec::new();
        }
        let rate = self.candidates(request).map(|(_, entry)| entry.prefill_rate).max().unwrap_or(1);
        let per_engine = (rate * self.config.clear_load_percent / 100).max(1);
        let clear_count = self.short_rate.tokens_per_second().div_ceil(per_engine);
        let clear_count = usize::try_from(clear_count).unwrap_or(usize::MAX);
        let mut candidates = self.candidates(request);
        let kept: Vec<&EndpointId> =
            candidates.by_ref().take(clear_count).map(|(id, _)| id).collect();
        let backlog = |entry: &EndpointEntry| backlog_micros(entry, LengthClass::Huge);
        let least = candidates.map(|(_, entry)| backlog(entry)).min();
        let spill = u64::try_from(self.config.spill_after.as_micros()).unwrap_or(u64::MAX);
        if least.is_some_and(|least| least < spill) { kept } else { Vec::new() }
    }

    /// Chooses the fewest endpoints that together have room for the prompt; returns `None` if their
    /// room does not suffice at present. Engines that are kept clear come last.
    fn place_group(&self, request: &GrantRequest, class: LengthClass) -> Option<Placement> {
        if !self.needs_group(request, class) {
            return None;
        }
        let limit = self.group_limit(request);
        let kept_clear = self.kept_clear(request, class);
        let mut rooms: Vec<(bool, Reverse<TokenCount>, &EndpointId)> = self
            .candidates(request)
            .map(|(id, entry)| {
                let room = self.room_for(request, class, id, entry);
                (kept_clear.contains(&id), Reverse(room), id)
            })
            .collect();
        rooms.sort();
        split_need(request.need(), rooms.into_iter().take(limit).map(|(_, room, id)| (room.0, id)))
    }

    /// Returns whether no single endpoint can ever hold the prompt.
    fn needs_group(&self, request: &GrantRequest, class: LengthClass) -> bool {
        let guard = self.config.short_guard_percent;
        !self.eligible(request).any(|(_, entry)| entry.capacity(class, guard) >= request.need())
    }

    /// Returns the maximum number of endpoints in a group. One endpoint stays outside the group, so
    /// that it can always serve short prompts of the model.
    fn group_limit(&self, request: &GrantRequest) -> usize {
        match self.eligible(request).count() {
            0 | 1 => 1,
            count => count - 1,
        }
    }

    /// Returns the maximum memory that a prompt of this length could ever get; `None` if no
    /// endpoint may serve it.
    pub(crate) fn capacity_for(&self, request: &GrantRequest) -> Option<TokenCount> {
        let class = LengthClass::of(request.prompt);
        let guard = self.config.short_guard_percent;
        let mut capacities: Vec<TokenCount> =
            self.eligible(request).map(|(_, entry)| entry.capacity(class, guard)).collect();
        if capacities.is_empty() {
            return None;
        }
        capacities.sort_unstable_by(|left, right| right.cmp(left));
        Some(capacities.into_iter().take(self.group_limit(request)).sum())
    }

    /// Chooses the endpoints to reserve for a prompt that does not fit at present. The endpoints
    /// with the least memory held come first, because they will have room soonest.
    pub(crate) fn choose_reservation(&self, request: &GrantRequest) -> Option<Placement> {
        let class = LengthClass::of(request.prompt);
        let guard = self.config.short_guard_percent;
        let mut options: Vec<(TokenCount, &EndpointId, TokenCount)> = self
            .candidates(request)
            .map(|(id, entry)| (entry.held, id, entry.capacity(class, guard)))
            .collect();
        options.sort();
        let alone = options.iter().find(|(_, _, capacity)| *capacity >= request.need());
        if let Some((_, id, _)) = alone {
            return Some(vec![((*id).clone(), request.need())]);
        }
        let limit = self.group_limit(request);
        split_need(
            request.need(),
            options.into_iter().map(|(_, id, capacity)| (capacity, id)).take(limit),
        )
    }
}

/// Splits the needed memory over endpoints in order; returns `None` if their room does not
/// suffice.
fn split_need<'a>(
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

/// Returns the time, in microseconds, to process the backlog of the same and higher priorities
/// than a prompt of the class.
pub(crate) fn backlog_micros(entry: &EndpointEntry, class: LengthClass) -> u64 {
    let ahead: u64 = entry.backlog[usize::from(class.priority())..].iter().sum();
    micros(ahead, entry.prefill_rate)
}

fn micros(tokens: u64, rate: u64) -> u64 {
    tokens.saturating_mul(1_000_000) / rate.max(1)
}

/// Average delay of a short prompt on an engine where a longer prompt is in prefill, in
/// microseconds: half of a full step remains on average.
const LONG_PREFILL_DELAY_MICROS: u64 = 30_000;

/// Delay of a short prompt on an engine where a longer prompt only generates tokens, in
/// microseconds.
const LONG_DECODE_DELAY_MICROS: u64 = 4_000;

/// Returns the time until the processing of a short prompt starts, in microseconds.
pub(crate) fn short_wait_micros(entry: &EndpointEntry) -> u64 {
    let interference = if entry.processes_long() {
        LONG_PREFILL_DELAY_MICROS
    } else if entry.is_clear() {
        0
    } else {
        LONG_DECODE_DELAY_MICROS
    };
    backlog_micros(entry, LengthClass::Short).saturating_add(interference)
}

fn placement_cost(
    request: &GrantRequest,
    class: LengthClass,
    entry: &EndpointEntry,
) -> PlacementCost {
    let cached = entry.cached_tokens(&request.prefix).min(request.prompt.0.saturating_sub(1));
    let own = micros(request.prompt.0 - cached, entry.prefill_rate);
    let wait = match class {
        LengthClass::Short => short_wait_micros(entry),
        _ => backlog_micros(entry, class),
    };
    PlacementCost { first_token: wait.saturating_add(own), held: entry.held }
}

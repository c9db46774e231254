//! The registry of endpoints that have announced themselves to this daemon or to another.
//!
//! The state is soft: none of it is stored on disk. Each endpoint identifies its start by an id and
//! a time and numbers its heartbeats, so that every daemon can tell a late heartbeat from a new
//! one, whichever daemon received it first.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use oriolepass_units::{
    DataCentreId, EndpointId, EndpointStart, MonotonicTime, ServiceName, StartTime,
};
use serde::{Deserialize, Serialize};

/// The maximum number of departed starts that are remembered, so that a late heartbeat does not add
/// a departed endpoint again.
const MAX_REMEMBERED_DEPARTURES: usize = 4_096;

/// How late a heartbeat arrives at most. It may arrive seconds late, also after its sender has ended and
/// another start has taken the address.
pub(crate) const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(4);

/// How long after its last heartbeat an endpoint keeps its address against another endpoint that it
/// has replaced or whose start time is earlier. After this time the order of the starts may be wrong,
/// because their clocks differ or one was not known, and the endpoint that sends heartbeats gets the
/// address.
const ADDRESS_HOLD_TIME: Duration = MAX_HEARTBEAT_DELAY;

/// The heartbeat number recorded for a start that has stated in an answer that it leaves. It is above
/// that of any heartbeat, so no heartbeat undoes the statement, also on daemons of earlier versions.
const LEAVING_SEQUENCE: u64 = u64::MAX;

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    /// The endpoint takes new work.
    Serving,
    /// The endpoint takes no new work and is about to leave.
    Draining,
}

/// An endpoint's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointBeat {
    /// The start of the endpoint.
    pub endpoint: EndpointStart,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address at which the endpoint takes requests.
    pub address: SocketAddr,
    /// The endpoint's data centre.
    pub data_centre: DataCentreId,
    /// The maximum number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint takes new work.
    pub phase: EndpointPhase,
    /// The number of the heartbeat.
    pub sequence: u64,
    /// How long the endpoint stays cold, counted from the heartbeat.
    pub cold_remaining: Duration,
}

/// A daemon's report of an endpoint to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// The last heartbeat that the daemon knows.
    pub beat: EndpointBeat,
    /// The age of the heartbeat.
    pub age: Duration,
}

/// The effect of a heartbeat or a notice on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatChange {
    /// The endpoint was not known and has been added.
    Met,
    /// The endpoint's phase, address, service or cold state changed.
    Changed,
    /// Only the time of the last heartbeat changed.
    Refreshed,
    /// Nothing changed: the heartbeat was older than the known state.
    Stale,
}

/// What became of a start of an endpoint, as far as the registry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFate {
    /// The start is known. Holds the time of its last heartbeat.
    Heard(MonotonicTime),
    /// A later start of the endpoint is known, or another endpoint or process at its address.
    Replaced,
    /// The start has left.
    Left,
    /// The start is not known any more, because it was silent for too long.
    Expired,
}

/// How a start ended that is not known any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// It has left, or a later start of the same endpoint was known. No heartbeat adds it again.
    Left,
    /// Another endpoint held its address. Holds the number of its last heartbeat; a later one adds
    /// it again once the other endpoint is silent.
    Displaced(u64),
    /// Another process answered at its address. Holds the number of its last heartbeat; a later one
    /// adds it again.
    Replaced(u64),
}

/// A start that is not known any more.
#[derive(Debug, Clone, Copy)]
struct DepartedStart {
    departure: Departure,
    /// The time of its last heartbeat, if the start was known.
    last_heard: Option<MonotonicTime>,
}

#[derive(Debug, Clone)]
struct EndpointEntry {
    beat: EndpointBeat,
    /// When a heartbeat was received last, as far as this daemon knows or has inferred.
    last_heard: MonotonicTime,
    /// When the last heartbeat was received that this daemon has been told of.
    beat_received: MonotonicTime,
    /// When the state that other daemons must learn last changed here.
    changed: MonotonicTime,
}

impl EndpointEntry {
    /// Returns whether the start has stated in an answer that it leaves.
    fn is_leaving(&self) -> bool {
        self.beat.sequence == LEAVING_SEQUENCE
    }

    fn record_beat(&mut self, received: MonotonicTime) {
        self.beat_received = self.beat_received.max(received);
        self.last_heard = self.last_heard.max(received);
    }

    fn notice(&self, now: MonotonicTime) -> EndpointNotice {
        EndpointNotice { beat: self.beat.clone(), age: now.since(self.last_heard) }
    }
}

/// The endpoints that this daemon knows.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    entries: BTreeMap<EndpointStart, EndpointEntry>,
    left: BTreeMap<EndpointStart, DepartedStart>,
    left_order: VecDeque<(MonotonicTime, EndpointStart)>,
    /// Data centres whose endpoints get no new requests.
    drained: BTreeSet<DataCentreId>,
    /// When each data centre was last restored after a drain.
    restored_at: BTreeMap<DataCentreId, MonotonicTime>,
    generation: u64,
    /// The generation and view hash computed last.
    cached_view_hash: Cell<(u64, u64)>,
    /// The time of the last heartbeat applied, used as the time of changes.
    last_heartbeat_at: MonotonicTime,
}

impl EndpointRegistry {
    /// Applies a heartbeat that was received `age` ago.
    pub fn apply_heartbeat(
        &mut self,
        now: MonotonicTime,
        beat: EndpointBeat,
        age: Duration,
    ) -> BeatChange {
        self.last_heartbeat_at = self.last_heartbeat_at.max(now);
        let last_heard = now - age;
        let Some(entry) = self.entries.get_mut(&beat.endpoint) else {
            return self.add_start(last_heard, beat);
        };
        if entry.is_leaving() {
            // Streams may still run there, and its heartbeats show that it is alive.
            entry.record_beat(last_heard);
            return BeatChange::Refreshed;
        }
        if entry.beat.sequence >= beat.sequence {
            return BeatChange::Stale;
        }
        let changed = entry.beat.phase != beat.phase
            || entry.beat.address != beat.address
            || entry.beat.service != beat.service
            || entry.beat.cold_remaining.is_zero() != beat.cold_remaining.is_zero();
        entry.record_beat(last_heard);
        entry.beat = beat;
        if changed {
            entry.changed = now;
            self.generation += 1;
            return BeatChange::Changed;
        }
        BeatChange::Refreshed
    }

    /// Records that a start has stated in an answer that it leaves. Returns the notice for the other
    /// daemons, or `None` if that was known or the start is unknown.
    pub fn record_leaving(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointStart,
    ) -> Option<EndpointNotice> {
        let entry = self.entries.get_mut(endpoint).filter(|entry| !entry.is_leaving())?;
        entry.beat.phase = EndpointPhase::Draining;
        entry.beat.sequence = LEAVING_SEQUENCE;
        entry.changed = now;
        self.generation += 1;
        Some(entry.notice(now))
    }

    /// Applies the first heartbeat of a start. Only unknown starts can have ended, so only this
    /// function checks for that.
    fn add_start(&mut self, last_heard: MonotonicTime, beat: EndpointBeat) -> BeatChange {
        if self.has_ended(last_heard, &beat) {
            return BeatChange::Stale;
        }
        if self.is_address_held(last_heard, &beat) {
            self.record_departure(&beat.endpoint, Departure::Displaced(beat.sequence));
            return BeatChange::Stale;
        }
        self.forget_departure(&beat.endpoint);
        if let Some(earlier) = self.current(beat.endpoint.id()).cloned() {
            self.leave(&earlier);
        }
        self.remove_older_at_address(last_heard, &beat);
        self.entries.insert(
            beat.endpoint.clone(),
            EndpointEntry {
                beat,
                last_heard,
                beat_received: last_heard,
                changed: self.last_heartbeat_at,
            },
        );
        self.generation += 1;
        BeatChange::Met
    }

    /// Returns whether the start of a heartbeat has left, another endpoint holds its address, or a
    /// later start of the same endpoint is known.
    fn has_ended(&self, last_heard: MonotonicTime, beat: &EndpointBeat) -> bool {
        let start = &beat.endpoint;
        let later = |other: &EndpointStart| other.id() == start.id() && other.time() > start.time();
        let has_departed = match self.departure(start) {
            Some(Departure::Left) => true,
            Some(Departure::Displaced(sequence) | Departure::Replaced(sequence)) => {
                beat.sequence <= sequence || self.holds_address(last_heard, beat, |_| true)
            }
            None => false,
        };
        let next_left = self.left.range((Bound::Excluded(start), Bound::Unbounded)).next();
        has_departed
            || next_left.is_some_and(|(other, _)| later(other))
            || self.current(start.id()).is_some_and(later)
    }

    /// Returns the known start of an endpoint. There is at most one, because a later start replaces
    /// an earlier one.
    fn current(&self, endpoint: &EndpointId) -> Option<&EndpointStart> {
        let first = EndpointStart::new(endpoint.clone(), StartTime::ZERO);
        let (next, _) = self.entries.range(first..).next()?;
        (next.id() == endpoint).then_some(next)
    }

    /// Returns whether a later start of another endpoint holds the address.
    fn is_address_held(&self, last_heard: MonotonicTime, beat: &EndpointBeat) -> bool {
        let time = beat.endpoint.time();
        time > StartTime::ZERO && self.holds_address(last_heard, beat, |other| other.time() > time)
    }

    /// Returns whether a start for which `may_hold` is true holds the address of a heartbeat.
    fn holds_address(
        &self,
        last_heard: MonotonicTime,
        beat: &EndpointBeat,
        may_hold: impl Fn(&EndpointStart) -> bool,
    ) -> bool {
        self.entries.values().any(|entry| {
            entry.beat.address == beat.address
                && may_hold(&entry.beat.endpoint)
                && last_heard.since(entry.last_heard) < ADDRESS_HOLD_TIME
        })
    }

    /// Removes the endpoint that held the address before: both cannot run there.
    fn remove_older_at_address(&mut self, last_heard: MonotonicTime, beat: &EndpointBeat) {
        let older = |entry: &&EndpointEntry| {
            entry.beat.address == beat.address && entry.last_heard < last_heard
        };
        let displaced = self.entries.values().find(older).map(|entry| &entry.beat);
        if let Some(EndpointBeat { endpoint, sequence, .. }) = displaced.cloned() {
            self.record_departure(&endpoint, Departure::Displaced(sequence));
        }
    }

    /// Records that a start has left for good. Returns the start, or `None` if that was already
    /// recorded. A start without a time stands for the known start of that endpoint.
    pub fn leave(&mut self, endpoint: &EndpointStart) -> Option<EndpointStart> {
        let is_without_time = endpoint.time() == StartTime::ZERO;
        let known = is_without_time.then(|| self.current(endpoint.id()).cloned()).flatten();
        let departed_start = known.unwrap_or_else(|| endpoint.clone());
        if self.departure(&departed_start) == Some(Departure::Left) {
            return None;
        }
        self.record_departure(&departed_start, Departure::Left);
        Some(departed_start)
    }

    /// Records that another process answers at the address of a start. Returns whether the start was
    /// known.
    pub fn record_replaced(&mut self, start: &EndpointStart) -> bool {
        let Some(entry) = self.entries.get(start) else { return false };
        let sequence = entry.beat.sequence;
        self.record_departure(start, Departure::Replaced(sequence));
        true
    }

    fn departure(&self, start: &EndpointStart) -> Option<Departure> {
        self.left.get(start).map(|start| start.departure)
    }

    fn forget_departure(&mut self, start: &EndpointStart) {
        if self.left.remove(start).is_some() {
            self.left_order.retain(|(_, other)| other != start);
        }
    }

    fn record_departure(&mut self, start: &EndpointStart, departure: Departure) {
        let known = self.entries.remove(start).map(|entry| entry.last_heard);
        let last_heard = known.or_else(|| self.left.get(start).and_then(|start| start.last_heard));
        self.forget_departure(start);
        self.left.insert(start.clone(), DepartedStart { departure, last_heard });
        self.left_order.push_back((self.last_heartbeat_at, start.clone()));
        if self.left_order.len() > MAX_REMEMBERED_DEPARTURES
            && let Some((_, oldest)) = self.left_order.pop_front()
        {
            self.left.remove(&oldest);
        }
        self.generation += 1;
    }

    /// Removes the endpoints that have been silent for longer than `silence`, and returns them.
    pub fn expire(&mut self, now: MonotonicTime, silence: Duration) -> Vec<EndpointStart> {
        let silent = |entry: &EndpointEntry| now.since(entry.last_heard) > silence;
        let (leaving, expired): (Vec<&EndpointEntry>, Vec<&EndpointEntry>) =
            self.entries.values().filter(|entry| silent(entry)).partition(|e| e.is_leaving());
        let name = |entries: Vec<&EndpointEntry>| -> Vec<EndpointStart> {
            entries.into_iter().map(|entry| entry.beat.endpoint.clone()).collect()
        };
        let (leaving, mut expired) = (name(leaving), name(expired));
        for endpoint in &expired {
            self.entries.remove(endpoint);
            self.generation += 1;
        }
        // A late heartbeat must not add an endpoint again that has left.
        expired.extend(leaving.iter().filter_map(|endpoint| self.leave(endpoint)));
        expired
    }

    /// Returns the endpoints of a service that take new work.
    pub fn serving<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a EndpointBeat> {
        self.all().filter(move |beat| beat.service == *service && self.is_eligible(beat))
    }

    /// Returns all endpoints.
    pub fn all(&self) -> impl Iterator<Item = &EndpointBeat> {
        self.entries.values().map(|entry| &entry.beat)
    }

    /// Returns the last heartbeat of an endpoint if it takes new work.
    pub fn takes_work(&self, endpoint: &EndpointStart) -> Option<&EndpointBeat> {
        let entry = self.entries.get(endpoint)?;
        self.is_eligible(&entry.beat).then_some(&entry.beat)
    }

    fn is_eligible(&self, beat: &EndpointBeat) -> bool {
        beat.phase == EndpointPhase::Serving && !self.drained.contains(&beat.data_centre)
    }

    /// Returns the address of an endpoint.
    pub fn address(&self, endpoint: &EndpointStart) -> Option<SocketAddr> {
        self.entries.get(endpoint).map(|entry| entry.beat.address)
    }

    /// Returns the data centre of an endpoint.
    pub fn data_centre(&self, endpoint: &EndpointStart) -> Option<DataCentreId> {
        self.entries.get(endpoint).map(|entry| entry.beat.data_centre.clone())
    }

    /// Returns whether an endpoint is known, in any phase.
    pub fn is_known(&self, endpoint: &EndpointStart) -> bool {
        self.entries.contains_key(endpoint)
    }

    /// Returns whether an endpoint is known and serving, even if its data centre is drained.
    pub fn is_serving(&self, endpoint: &EndpointStart) -> bool {
        let entry = self.entries.get(endpoint);
        entry.is_some_and(|entry| entry.beat.phase == EndpointPhase::Serving)
    }

    /// Returns whether an endpoint is cold.
    ///
    /// An endpoint may become cold while its data centre is drained. After the data centre is
    /// restored, the endpoint therefore counts as cold until its next heartbeat, but for no longer
    /// than `span`.
    pub fn is_cold(&self, now: MonotonicTime, endpoint: &EndpointStart, span: Duration) -> bool {
        let Some(EndpointEntry { beat, last_heard, .. }) = self.entries.get(endpoint) else {
            return false;
        };
        let restored_at = self.restored_at.get(&beat.data_centre);
        let is_unconfirmed =
            restored_at.is_some_and(|at| *last_heard <= *at && now.since(*at) < span);
        is_unconfirmed || now.since(*last_heard) < beat.cold_remaining
    }

    /// Replaces the set of data centres whose endpoints get no new requests.
    pub fn set_drained(&mut self, now: MonotonicTime, drained: BTreeSet<DataCentreId>) {
        let restored = self.drained.difference(&drained).cloned();
        self.restored_at.extend(restored.map(|data_centre| (data_centre, now)));
        self.drained = drained;
        self.generation += 1;
    }

    /// Returns the endpoint at an address; if several are known, the one heard from last.
    pub fn at(&self, address: SocketAddr) -> Option<EndpointStart> {
        let here = self.entries.values().filter(|entry| entry.beat.address == address);
        here.max_by_key(|entry| entry.last_heard).map(|entry| entry.beat.endpoint.clone())
    }

    /// Returns what became of a start whose address was `address`.
    pub fn fate(&self, endpoint: &EndpointStart, address: SocketAddr) -> EndpointFate {
        if let Some(entry) = self.entries.get(endpoint) {
            return EndpointFate::Heard(entry.last_heard);
        }
        let is_later = |other: &EndpointStart| other.time() > endpoint.time();
        if self.at(address).is_some() || self.current(endpoint.id()).is_some_and(is_later) {
            return EndpointFate::Replaced;
        }
        match self.departure(endpoint) {
            Some(Departure::Left) => EndpointFate::Left,
            Some(Departure::Replaced(_)) => EndpointFate::Replaced,
            Some(Departure::Displaced(_)) | None => EndpointFate::Expired,
        }
    }

    /// Returns when a start was last heard from, also if it has been replaced or has left since.
    pub fn last_heard(&self, endpoint: &EndpointStart) -> Option<MonotonicTime> {
        let known = self.entries.get(endpoint).map(|entry| entry.last_heard);
        known.or_else(|| self.left.get(endpoint)?.last_heard)
    }

    /// Returns how long an endpoint has been silent.
    pub fn silence(&self, now: MonotonicTime, endpoint: &EndpointStart) -> Option<Duration> {
        self.entries.get(endpoint).map(|entry| now.since(entry.last_heard))
    }

    /// Returns the addresses of up to `count` serving endpoints other than `endpoint`, those heard from
    /// last first.
    pub fn last_heard_serving(&self, endpoint: &EndpointStart, count: usize) -> Vec<SocketAddr> {
        let is_other = |entry: &&EndpointEntry| {
            entry.beat.endpoint != *endpoint && entry.beat.phase == EndpointPhase::Serving
        };
        let mut others: Vec<&EndpointEntry> = self.entries.values().filter(is_other).collect();
        others.sort_unstable_by_key(|entry| std::cmp::Reverse(entry.last_heard));
        others.into_iter().take(count).map(|entry| entry.beat.address).collect()
    }

    /// Returns whether an endpoint has been silent for longer than `overdue`, and another endpoint of
    /// its data centre has not; of any data centre if there is no other one in its own.
    pub fn is_lone_silence(
        &self,
        now: MonotonicTime,
        endpoint: &EndpointStart,
        overdue: Duration,
    ) -> bool {
        let Some(entry) = self.entries.get(endpoint) else { return false };
        let is_silent = |entry: &EndpointEntry| now.since(entry.last_heard) > overdue;
        let centre = &entry.beat.data_centre;
        let others = || self.entries.values().filter(|other| other.beat.endpoint != *endpoint);
        let in_centre = |other: &&EndpointEntry| other.beat.data_centre == *centre;
        let is_alone = !others().any(|other| in_centre(&other));
        let mut neighbours = others().filter(|other| is_alone || in_centre(other));
        is_silent(entry) && neighbours.any(|other| !is_silent(other))
    }

    /// Returns a number that grows with each change to which endpoints take work, and at which
    /// addresses.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Replaces all entries with those of a hub's registry.
    pub fn replace(&mut self, now: MonotonicTime, notices: Vec<EndpointNotice>) {
        let known: BTreeSet<EndpointStart> =
            notices.iter().map(|notice| notice.beat.endpoint.clone()).collect();
        let before = self.entries.len();
        self.entries.retain(|endpoint, _| known.contains(endpoint));
        self.generation += u64::from(self.entries.len() != before);
        for EndpointNotice { beat, age } in notices {
            self.apply_heartbeat(now, beat, age);
        }
    }

    /// Updates, from a hub's report, when each endpoint was last heard from.
    ///
    /// Endpoints that `silent` does not list count as heard from one heartbeat ago.
    pub fn update_last_heard(
        &mut self,
        now: MonotonicTime,
        silent: &[(EndpointStart, Duration)],
        heartbeat: Duration,
    ) {
        let silent: BTreeMap<&EndpointStart, Duration> =
            silent.iter().map(|(endpoint, silence)| (endpoint, *silence)).collect();
        for (endpoint, entry) in &mut self.entries {
            entry.last_heard = match silent.get(endpoint) {
                // What was inferred from earlier reports does not hold against this statement.
                Some(silence) => entry.beat_received.max(now - *silence),
                None => entry.last_heard.max(now - heartbeat),
            };
        }
    }

    /// Lists up to `count` endpoints that have been silent for longer than `span`.
    pub fn silent(
        &self,
        now: MonotonicTime,
        span: Duration,
        count: usize,
    ) -> Vec<(EndpointStart, Duration)> {
        let silence = |(endpoint, entry): (&EndpointStart, &EndpointEntry)| {
            (endpoint.clone(), now.since(entry.last_heard))
        };
        self.entries.iter().map(silence).filter(|(_, s)| *s > span).take(count).collect()
    }

    /// Returns a hash that is equal on daemons that know the same endpoints in the same state.
    pub fn view_hash(&self) -> u64 {
        let (generation, hash) = self.cached_view_hash.get();
        if generation == self.generation {
            return hash;
        }
        let hash = self.compute_view_hash();
        self.cached_view_hash.set((self.generation, hash));
        hash
    }

    fn compute_view_hash(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for EndpointEntry { beat, .. } in self.entries.values() {
            beat.endpoint.hash(&mut hasher);
            beat.address.hash(&mut hasher);
            (beat.phase == EndpointPhase::Serving).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Lists all endpoints as notices.
    pub fn all_notices(&self, now: MonotonicTime) -> Vec<EndpointNotice> {
        self.entries.values().map(|entry| entry.notice(now)).collect()
    }

    /// Lists the given endpoints as notices, without those that are unknown.
    pub fn notices_of<'a>(
        &self,
        now: MonotonicTime,
        endpoints: impl IntoIterator<Item = &'a EndpointStart>,
    ) -> Vec<EndpointNotice> {
        let known = endpoints.into_iter().filter_map(|endpoint| self.entries.get(endpoint));
        known.map(|entry| entry.notice(now)).collect()
    }

    /// Lists as notices the endpoints that were heard from after `since`.
    pub fn notices(&self, now: MonotonicTime, since: MonotonicTime) -> Vec<EndpointNotice> {
        let recent = self.entries.values().filter(|entry| entry.last_heard > since);
        recent.map(|entry| entry.notice(now)).collect()
    }

    /// Lists as notices the endpoints that were added or have changed since `since`.
    pub fn changed_notices(&self, now: MonotonicTime, since: MonotonicTime) -> Vec<EndpointNotice> {
        let changed = self.entries.values().filter(|entry| entry.changed >= since);
        changed.map(|entry| entry.notice(now)).collect()
    }

    /// Lists up to `count` starts that have left since `since`, newest first.
    pub fn departed(&self, count: usize, since: MonotonicTime) -> Vec<EndpointStart> {
        let newest = self.left_order.iter().rev().take_while(|(at, _)| *at >= since);
        let has_left = |start: &&EndpointStart| self.departure(start) == Some(Departure::Left);
        newest.map(|(_, start)| start).filter(has_left).take(count).cloned().collect()
    }
}

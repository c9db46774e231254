//! The order in which requests take the permits of a service's endpoints.
//!
//! A request that finds no permit may wait for one. It asks again at the time that it was told, and
//! keeps its place in the queue meanwhile. Urgent requests go first, then those of client accounts
//! that have taken the fewest permits lately. A request whose turn would come too late is refused
//! at once, with the time at which a permit is expected for it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriolepass_units::{AccountId, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::bucket::PermitForecast;

/// How long a request keeps its place after the time at which it was told to ask again.
const ASK_GRACE: Duration = Duration::from_millis(100);

/// The maximum time after which a waiting request asks again. Its place may have changed.
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(100);

/// The span over which permits count for the share of a client account.
const FAIRNESS_SPAN: Duration = Duration::from_secs(4);

/// The minimum and the maximum time after which a refused request is told to come back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// The place of a request among others that wait for the same permits.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRank {
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The client account; requests without one count as one account.
    pub account: Option<AccountId>,
}

/// Identifies a request that asks for a permit, by the instance that received it and a number that
/// this instance assigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WaiterId {
    /// A random number that the instance draws at its start.
    pub entry: u64,
    /// The number of the request at its instance.
    pub number: u64,
}

/// A request that asks for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitWaiter {
    /// Identifies the request.
    pub id: WaiterId,
    /// Its place among others.
    pub rank: RequestRank,
    /// How long it can wait.
    pub patience: Duration,
}

/// The answer to a request that asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueVerdict {
    /// The request takes a permit now.
    Take,
    /// The request asks again after this time.
    Wait(Duration),
    /// The request's turn comes too late. Holds the time after which the caller should retry.
    Refuse(Duration),
}

#[derive(Debug, Clone)]
struct WaitingRequest {
    rank: RequestRank,
    since: MonotonicTime,
    /// When the request loses its place unless it asks again.
    expires: MonotonicTime,
}

/// The requests that wait for permits of one service's endpoints.
#[derive(Debug, Default)]
pub struct PermitQueue {
    waiting: BTreeMap<WaiterId, WaitingRequest>,
    /// Recent permits in order of time, and their number by account.
    taken: VecDeque<(MonotonicTime, Option<AccountId>)>,
    taken_by: BTreeMap<Option<AccountId>, u32>,
    /// The latest time at which a refused request was told to come back.
    invited_until: MonotonicTime,
}

impl PermitQueue {
    /// Decides about a request that can be served by the endpoints of `forecast` only.
    pub fn ask(
        &mut self,
        now: MonotonicTime,
        waiter: &PermitWaiter,
        forecast: &PermitForecast,
    ) -> QueueVerdict {
        self.expire(now);
        let before = self.waiting.remove(&waiter.id);
        let since = before.map_or(now, |request| request.since);
        let ahead = self.ahead_of(&waiter.rank, since, waiter.id);
        if ahead < forecast.available() {
            self.record_taken(now, waiter.rank.account.clone());
            return QueueVerdict::Take;
        }
        let Some(turn) = forecast.time_until(ahead + 1, waiter.patience) else {
            return QueueVerdict::Refuse(self.invite(now, forecast));
        };
        let wait = turn.min(MAX_ASK_INTERVAL);
        let expires = now + wait + ASK_GRACE;
        let request = WaitingRequest { rank: waiter.rank.clone(), since, expires };
        self.waiting.insert(waiter.id, request);
        QueueVerdict::Wait(wait)
    }

    /// Decides about a request that can also be served elsewhere. It gets a permit only if all
    /// waiting requests get one too, and is told when the next permit is expected otherwise.
    pub fn ask_with_alternative(
        &mut self,
        now: MonotonicTime,
        waiter: &PermitWaiter,
        forecast: &PermitForecast,
    ) -> QueueVerdict {
        self.expire(now);
        if self.waiting.len() < forecast.available() {
            self.record_taken(now, waiter.rank.account.clone());
            return QueueVerdict::Take;
        }
        let next = forecast.time_until(self.waiting.len() + 1, MAX_RETRY_DELAY);
        QueueVerdict::Refuse(next.unwrap_or(MAX_RETRY_DELAY))
    }

    /// Returns how many waiting requests go before one with this rank that waits since `since`.
    fn ahead_of(&self, rank: &RequestRank, since: MonotonicTime, id: WaiterId) -> usize {
        let place = |rank: &RequestRank, since, id| {
            let taken = self.taken_by.get(&rank.account).copied().unwrap_or_default();
            (rank.priority, taken, since, id)
        };
        let own = place(rank, since, id);
        let other = |(id, request): &(&WaiterId, &WaitingRequest)| {
            place(&request.rank, request.since, **id) < own
        };
        self.waiting.iter().filter(other).count()
    }

    fn record_taken(&mut self, now: MonotonicTime, account: Option<AccountId>) {
        *self.taken_by.entry(account.clone()).or_default() += 1;
        self.taken.push_back((now, account));
    }

    /// Returns when a refused request should come back: each one at the time of another permit, so
    /// that they do not all come back for the same one.
    fn invite(&mut self, now: MonotonicTime, forecast: &PermitForecast) -> Duration {
        let interval =
            Duration::try_from_secs_f64(1.0 / forecast.rate()).unwrap_or(MAX_RETRY_DELAY);
        let turn = forecast.time_until(self.waiting.len() + 1, MAX_RETRY_DELAY);
        let next = now + turn.unwrap_or(MAX_RETRY_DELAY);
        let latest = now + MAX_RETRY_DELAY;
        let at = next.max(self.invited_until + interval.min(MAX_RETRY_DELAY)).min(latest);
        self.invited_until = at;
        at.since(now).max(MIN_RETRY_DELAY)
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.waiting.retain(|_, request| now <= request.expires);
        while let Some((at, account)) = self.taken.front()
            && now.since(*at) > FAIRNESS_SPAN
        {
            if let Some(count) = self.taken_by.get_mut(account) {
                *count -= 1;
            }
            self.taken.pop_front();
        }
        self.taken_by.retain(|_, count| *count > 0);
    }
}

//! The order in which requests return to endpoints that all rested at once.
//!
//! While all endpoints of a service rest, a request waits if the first rest ends early enough to serve
//! it in time. Any other request is refused at once, with a time to come back. Without an order, all
//! of them would meet the first endpoint whose rest ends, in one moment, and it would ask for rest
//! again.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime, RequestRate};

use crate::bucket::{PermitBucket, PermitForecast};
use crate::queue::{PermitQueue, PermitWaiter, QueueVerdict, RequestRank};

/// The rate at which an endpoint gets the waiting requests of one instance after its rest, in
/// requests per second.
const RETURN_RATE_PER_S: f64 = 50.0;

/// The time after the first end of a rest in which requests are ordered. Afterwards those that waited
/// have been sent.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// The time within which the first refused request of each rank comes back, for the most urgent
/// rank. Each lower rank has as much time again, up to [`MAX_FIRST_RETURN_SPREAD`].
const FIRST_RETURN_SPREAD: Duration = Duration::from_millis(100);

/// The maximum of the time that [`FIRST_RETURN_SPREAD`] gives.
const MAX_FIRST_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// The maximum interval between refused requests of one rank that come back.
const MAX_RETURN_INTERVAL: Duration = Duration::from_secs(1);

/// The refused requests of one rank.
#[derive(Debug, Clone, Copy)]
struct RankReturns {
    refused: u32,
    /// When the last of them was told to come back.
    last: MonotonicTime,
}

/// The requests of one service, while all of its endpoints rest and shortly afterwards.
#[derive(Debug, Default)]
pub struct ReturnQueue {
    /// When all endpoints rested at first, and when the first rest ends.
    span: Option<(MonotonicTime, MonotonicTime)>,
    queue: PermitQueue,
    buckets: BTreeMap<EndpointStart, PermitBucket>,
    returns: BTreeMap<RequestRank, RankReturns>,
}

impl ReturnQueue {
    /// Decides about a request that wants one of the endpoints in `rests`: all endpoints of its
    /// service, each with the end of its rest if it rests. `draw` is a random number from 0 to 1.
    pub fn ask(
        &mut self,
        now: MonotonicTime,
        waiter: &PermitWaiter,
        rests: &[(EndpointStart, Option<MonotonicTime>)],
        draw: f64,
    ) -> QueueVerdict {
        let ends = rests.iter().map(|(_, until)| *until);
        let first_end = ends.collect::<Option<Vec<_>>>().and_then(|ends| ends.into_iter().min());
        match (first_end, self.span) {
            (Some(end), Some((began, _))) => self.span = Some((began, end)),
            (Some(end), None) => self.span = Some((now, end)),
            (None, Some((_, end))) if now < end + RETURN_TIME => {}
            (None, _) => {
                *self = Self::default();
                return QueueVerdict::Take;
            }
        }
        self.update_buckets(now, rests);
        let forecast = PermitForecast::of(now, self.buckets.values());
        match self.queue.ask(now, waiter, &forecast) {
            QueueVerdict::Take => {
                self.charge(now);
                QueueVerdict::Take
            }
            QueueVerdict::Wait(after) => QueueVerdict::Wait(after),
            QueueVerdict::Refuse(_) => QueueVerdict::Refuse(self.invite(now, &waiter.rank, draw)),
        }
    }

    /// Returns whether requests are ordered at present.
    pub fn is_ordering(&self) -> bool {
        self.span.is_some()
    }

    /// Keeps a bucket for each endpoint, whose permits begin at the end of the rest.
    fn update_buckets(
        &mut self,
        now: MonotonicTime,
        rests: &[(EndpointStart, Option<MonotonicTime>)],
    ) {
        let rate = RequestRate::try_from(RETURN_RATE_PER_S).unwrap_or_default();
        self.buckets.retain(|endpoint, _| rests.iter().any(|(known, _)| known == endpoint));
        for (endpoint, until) in rests {
            match until {
                Some(until) => {
                    self.buckets.insert(endpoint.clone(), PermitBucket::empty(*until, rate));
                }
                None => {
                    let empty = || PermitBucket::empty(now, rate);
                    self.buckets.entry(endpoint.clone()).or_insert_with(empty);
                }
            }
        }
    }

    /// Takes a permit of the endpoint that has the most.
    fn charge(&mut self, now: MonotonicTime) {
        let permits = |bucket: &PermitBucket| bucket.permits(now);
        let fullest = self.buckets.values_mut().max_by(|a, b| permits(a).total_cmp(&permits(b)));
        if let Some(bucket) = fullest {
            bucket.charge(now);
        }
    }

    /// Returns the time after which a refused request should come back.
    ///
    /// The requests of each rank come back one after the other, at the rate at which they came since
    /// all endpoints rest. So a client account with many requests delays only its own.
    fn invite(&mut self, now: MonotonicTime, rank: &RequestRank, draw: f64) -> Duration {
        let (began, end) = self.span.unwrap_or((now, now));
        let earliest = end.max(now);
        let at = match self.returns.get(rank) {
            None => {
                let spread = FIRST_RETURN_SPREAD * (u32::from(rank.priority) + 1);
                earliest + spread.min(MAX_FIRST_RETURN_SPREAD).mul_f64(draw.clamp(0.0, 1.0))
            }
            Some(RankReturns { refused, last }) => {
                let interval = now.since(began) / (*refused).max(1);
                earliest.max(*last + interval.min(MAX_RETURN_INTERVAL))
            }
        };
        let before = self.returns.get(rank).map_or(0, |returns| returns.refused);
        self.returns.insert(rank.clone(), RankReturns { refused: before + 1, last: at });
        at.since(now)
    }
}

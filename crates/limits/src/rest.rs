//! The rests that endpoints ask one instance for.
//!
//! An endpoint that turns a request away may ask the instance that sent it for rest: for some time it
//! wants no requests from that instance. Other instances are not concerned.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

/// The maximum length of a rest. A longer one that was asked for by mistake would last until the
/// endpoint starts anew.
pub const MAX_REST: Duration = Duration::from_secs(3_600);

/// The maximum number of calls to the interface of an endpoint in one rest. Memory that is reserved
/// there for running requests still has to be renewed and released.
const MAX_CALLS_IN_REST: u32 = 2;

/// The effect of a wish on the rest of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestChange {
    /// The endpoint rests from now on.
    Began,
    /// The endpoint rests longer than it asked for before.
    Extended,
    /// The endpoint asked for a longer rest before, or for none at all.
    Unchanged,
}

#[derive(Debug, Clone, Copy)]
struct EndpointRest {
    until: MonotonicTime,
    /// The calls to the endpoint's interface since the rest began.
    calls: u32,
}

/// The rests that endpoints asked this instance for.
///
/// A rest concerns one start of an endpoint. The longest wish holds: a shorter one that comes later
/// does not end it.
#[derive(Debug, Default)]
pub struct RestTable {
    rests: BTreeMap<EndpointStart, EndpointRest>,
}

impl RestTable {
    /// Records that an endpoint asked for rest from now on.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        endpoint: &EndpointStart,
        span: Duration,
    ) -> RestChange {
        let until = now + span.min(MAX_REST);
        let before = self.rests.get_mut(endpoint).filter(|rest| now < rest.until);
        match before {
            Some(rest) if rest.until < until => {
                rest.until = until;
                RestChange::Extended
            }
            None if now < until => {
                self.rests.insert(endpoint.clone(), EndpointRest { until, calls: 0 });
                RestChange::Began
            }
            Some(_) | None => RestChange::Unchanged,
        }
    }

    /// Returns the end of an endpoint's rest, or `None` if the endpoint does not rest.
    pub fn until(&self, now: MonotonicTime, endpoint: &EndpointStart) -> Option<MonotonicTime> {
        self.rests.get(endpoint).map(|rest| rest.until).filter(|until| now < *until)
    }

    /// Returns whether an endpoint rests.
    pub fn is_resting(&self, now: MonotonicTime, endpoint: &EndpointStart) -> bool {
        self.until(now, endpoint).is_some()
    }

    /// Returns whether the interface of an endpoint may be called, and counts the call if the
    /// endpoint rests.
    pub fn try_begin_call(&mut self, now: MonotonicTime, endpoint: &EndpointStart) -> bool {
        match self.rests.get_mut(endpoint).filter(|rest| now < rest.until) {
            Some(rest) => {
                rest.calls += 1;
                rest.calls <= MAX_CALLS_IN_REST
            }
            None => true,
        }
    }

    /// Returns the endpoints that rest.
    pub fn resting(&self, now: MonotonicTime) -> impl Iterator<Item = &EndpointStart> {
        self.rests.iter().filter(move |(_, rest)| now < rest.until).map(|(endpoint, _)| endpoint)
    }

    /// Removes the rests that have ended.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.rests.retain(|_, rest| now < rest.until);
    }
}

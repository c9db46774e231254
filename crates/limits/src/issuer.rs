//! Issues the permits of endpoints that name limits.

use std::collections::BTreeMap;

use oriolepass_units::{EndpointStart, MonotonicTime, RequestRate, ServiceName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::bucket::{PermitBucket, PermitForecast, ROUNDING_ERROR};
use crate::queue::{PermitQueue, PermitWaiter, QueueVerdict};

/// The share of a limit that the deputies issue together while the home does not answer them. The
/// home may be alive and issue permits to others meanwhile.
const DEPUTY_SHARE: f64 = 0.4;

/// The share of a limit that the instances which reach neither the home nor a deputy use together.
const ALONE_SHARE: f64 = 0.1;

/// The rate at which an endpoint gets requests even if it names a lower one: one in 30 seconds.
/// Only an answer can change a limit.
const MIN_RATE: f64 = 1.0 / 30.0;

/// The role in which an instance issues permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IssuerRole {
    /// The home issues the permits of all instances.
    Home,
    /// A deputy issues permits while the home does not answer.
    Deputy,
    /// An instance that reaches neither issues permits to itself. Holds the number of instances.
    Alone(usize),
}

impl IssuerRole {
    /// Returns the rate at which permits are issued in this role for an endpoint that names `limit`.
    ///
    /// The rates of the home, the deputies and all instances that are alone add up to one and a
    /// half times the limit at most, if all of them issue permits at the same time.
    pub fn rate(self, limit: RequestRate) -> RequestRate {
        match self {
            Self::Home => limit.at_least(MIN_RATE),
            Self::Deputy => limit.part(DEPUTY_SHARE),
            Self::Alone(instances) => limit.part(ALONE_SHARE / instances.max(1) as f64),
        }
    }
}

/// A request for a permit to send a request to one of several endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The request that is to be sent.
    pub waiter: PermitWaiter,
    /// The service of the endpoints.
    pub service: ServiceName,
    /// The endpoints in order of preference.
    pub endpoints: Vec<EndpointStart>,
    /// Whether the request can be sent to an endpoint that names no limit instead. It then gets a
    /// permit only if nobody waits for it.
    pub has_alternative: bool,
}

/// The answer to a [`PermitAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// The request may be sent to this endpoint.
    Granted(EndpointStart),
    /// The request asks again after this time.
    Wait(Duration),
    /// There is no permit in time. Holds the time after which the caller should retry.
    Refused(Duration),
}

/// The permits that an instance issues.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<EndpointStart, PermitBucket>,
    queues: BTreeMap<ServiceName, PermitQueue>,
}

impl PermitIssuer {
    /// Decides about a request. `rate` returns the rate at which permits of an endpoint are issued,
    /// or `None` if the endpoint names no limit.
    pub fn ask(
        &mut self,
        now: MonotonicTime,
        ask: &PermitAsk,
        rate: impl Fn(&EndpointStart) -> Option<RequestRate>,
    ) -> PermitVerdict {
        for endpoint in &ask.endpoints {
            let Some(rate) = rate(endpoint) else {
                return PermitVerdict::Granted(endpoint.clone());
            };
            let bucket = self.buckets.entry(endpoint.clone());
            bucket.or_insert_with(|| PermitBucket::empty(now, rate)).set_rate(now, rate);
        }
        let buckets = ask.endpoints.iter().filter_map(|endpoint| self.buckets.get(endpoint));
        let forecast = PermitForecast::of(now, buckets);
        let queue = self.queues.entry(ask.service.clone()).or_default();
        let verdict = if ask.has_alternative {
            queue.ask_with_alternative(now, &ask.waiter, &forecast)
        } else {
            queue.ask(now, &ask.waiter, &forecast)
        };
        match verdict {
            QueueVerdict::Take => self.take(now, &ask.endpoints),
            QueueVerdict::Wait(wait) => PermitVerdict::Wait(wait),
            QueueVerdict::Refuse(after) => PermitVerdict::Refused(after),
        }
    }

    /// Takes a permit of the first endpoint that has one.
    fn take(&mut self, now: MonotonicTime, endpoints: &[EndpointStart]) -> PermitVerdict {
        let has_permit = |endpoint: &&EndpointStart| {
            let permits = self.buckets.get(*endpoint).map(|bucket| bucket.permits(now));
            permits.is_some_and(|permits| permits + ROUNDING_ERROR >= 1.0)
        };
        let Some(endpoint) = endpoints.iter().find(has_permit) else {
            return PermitVerdict::Refused(Duration::ZERO);
        };
        self.charge(now, endpoint);
        PermitVerdict::Granted(endpoint.clone())
    }

    /// Charges a request that another issuer has permitted.
    pub fn charge(&mut self, now: MonotonicTime, endpoint: &EndpointStart) {
        if let Some(bucket) = self.buckets.get_mut(endpoint) {
            bucket.charge(now);
        }
    }

    /// Removes the endpoints for which `is_limited` returns false.
    pub fn retain(&mut self, is_limited: impl Fn(&EndpointStart) -> bool) {
        self.buckets.retain(|endpoint, _| is_limited(endpoint));
    }

    /// Removes all permits and waiting requests.
    pub fn clear(&mut self) {
        self.buckets.clear();
        self.queues.clear();
    }
}

//! Selects an endpoint for requests to services without engines.
//!
//! Every daemon decides locally. It selects the endpoint with the fewest outstanding requests of
//! this daemon, and recent failures of an endpoint count as additional outstanding requests.
//! Daemons report endpoint failures to each other, so each balancer takes the failures seen by all
//! daemons into account.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{DataCentreId, EndpointStart, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::endpoints::EndpointBeat;

/// The half-life of a failure's weight. It keeps a failing endpoint out for most of a fault that
/// lasts 5 s and readmits the endpoint soon afterwards.
const FAULT_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// The cost of a failure of weight 1, in outstanding requests.
const FAULT_COST: f64 = 3.0;

/// The weight from which an endpoint counts as having failed recently. A rejection for lack of
/// capacity counts for a half-life.
const RECENT_FAULT_WEIGHT: f64 = 0.2;

/// The cost of an endpoint in another data centre, in outstanding requests. It is less than one, so
/// that avoiding a queue takes precedence over the price of traffic between data centres.
const REMOTE_DATA_CENTRE_COST: f64 = 0.4;

/// The way in which an endpoint failed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or the answer was truncated or invalid.
    Broken,
    /// No answer arrived in time.
    Silent,
    /// The endpoint answered that it has no capacity.
    Full,
    /// The endpoint answered with a server error.
    Failure,
}

impl FaultKind {
    /// Returns the weight of the failure in the endpoint's cost.
    ///
    /// A server error may be caused by the request, and a full endpoint recovers by itself, so both
    /// count less than a broken connection.
    fn weight(self) -> f64 {
        match self {
            Self::Unreachable => 1.5,
            Self::Broken | Self::Silent => 1.0,
            Self::Full => 0.4,
            Self::Failure => 0.25,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Full => "full",
            Self::Failure => "failure",
        }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct EndpointLoad {
    outstanding: u32,
    faults: f64,
    updated_at: MonotonicTime,
}

impl EndpointLoad {
    fn faults_at(&self, now: MonotonicTime) -> f64 {
        let halvings = now.since(self.updated_at).as_secs_f64() / FAULT_HALF_LIFE.as_secs_f64();
        self.faults * 0.5_f64.powf(halvings)
    }
}

/// Tracks outstanding requests and recent failures by endpoint.
#[derive(Debug, Default)]
pub struct EndpointBalancer {
    loads: BTreeMap<EndpointStart, EndpointLoad>,
}

impl EndpointBalancer {
    /// Selects the candidate with the least cost. `draw` is a random number that breaks ties.
    pub fn choose<'a>(
        &self,
        now: MonotonicTime,
        own: &DataCentreId,
        candidates: &[&'a EndpointBeat],
        draw: u64,
    ) -> Option<&'a EndpointBeat> {
        let cost = |beat: &EndpointBeat| {
            let load = self.loads.get(&beat.endpoint).copied().unwrap_or_default();
            let distance_cost =
                if beat.data_centre == *own { 0.0 } else { REMOTE_DATA_CENTRE_COST };
            f64::from(load.outstanding) + load.faults_at(now) * FAULT_COST + distance_cost
        };
        let costs: Vec<f64> = candidates.iter().map(|beat| cost(beat)).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let best: Vec<&&EndpointBeat> = candidates
            .iter()
            .zip(&costs)
            .filter(|(_, cost)| **cost <= least + 0.05)
            .map(|(beat, _)| beat)
            .collect();
        let index = usize::try_from(draw % best.len().max(1) as u64).unwrap_or(0);
        best.get(index).map(|beat| **beat)
    }

    /// Returns whether an endpoint failed a request recently, or turned one away because it was
    /// full.
    pub fn has_recent_fault(&self, now: MonotonicTime, endpoint: &EndpointStart) -> bool {
        self.loads.get(endpoint).is_some_and(|load| load.faults_at(now) >= RECENT_FAULT_WEIGHT)
    }

    /// Records that a request is sent to an endpoint.
    pub fn begin(&mut self, endpoint: &EndpointStart) {
        self.loads.entry(endpoint.clone()).or_default().outstanding += 1;
    }

    /// Records that a request at an endpoint has ended.
    pub fn end(&mut self, endpoint: &EndpointStart) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.outstanding = load.outstanding.saturating_sub(1);
        }
    }

    /// Records that an endpoint failed a request of this daemon or of another daemon.
    pub fn fault(&mut self, now: MonotonicTime, endpoint: &EndpointStart, fault: FaultKind) {
        let load = self.loads.entry(endpoint.clone()).or_default();
        load.faults = load.faults_at(now) + fault.weight();
        load.updated_at = now;
    }

    /// Removes endpoints that are no longer known and have no outstanding requests.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointStart) -> bool) {
        self.loads.retain(|endpoint, load| load.outstanding > 0 || is_known(endpoint));
    }
}

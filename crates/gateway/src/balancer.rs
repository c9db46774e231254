//! Chooses among the endpoints of a plain service.
//!
//! Every daemon decides for itself: the one with the least outstanding here, with those that
//! failed lately counted as busier. Daemons tell each other of failures, so that each learns
//! from the requests of all.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{DataCentreId, EndpointStart, MonotonicTime};
use serde::{Deserialize, Serialize};

use crate::endpoints::EndpointBeat;

/// The time after which a failure counts half: a few seconds keep a bad endpoint out for most of
/// a trouble that lasts five, and let it back soon after.
const HALF_LIFE: Duration = Duration::from_millis(2_500);

/// How many requests outstanding one full failure counts as.
const FAILURE_WEIGHT: f64 = 3.0;

/// How many requests outstanding another data centre counts as: less than one, so that waiting
/// goes before the price of the bytes between data centres.
const FAR_WEIGHT: f64 = 0.4;

/// How an endpoint failed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or the answer was cut short or was not an answer.
    Broken,
    /// No answer came in time.
    Silent,
    /// It answered that it had no room.
    Full,
    /// It answered with a failure of its own.
    Failure,
}

impl FaultKind {
    /// Returns how much it counts against the endpoint.
    ///
    /// A failure that the endpoint's own program answers may lie with the request, and a full
    /// endpoint recovers by itself, so both count less than a broken connection.
    fn weight(self) -> f64 {
        match self {
            Self::Unreachable => 1.5,
            Self::Broken | Self::Silent => 1.0,
            Self::Full => 0.4,
            Self::Failure => 0.25,
        }
    }

    /// Returns the name for logs.
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
    counted: MonotonicTime,
}

impl EndpointLoad {
    fn faults_at(&self, now: MonotonicTime) -> f64 {
        let halvings = now.since(self.counted).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.faults * 0.5_f64.powf(halvings)
    }
}

/// What is outstanding and what failed, by endpoint.
#[derive(Debug, Default)]
pub struct EndpointBalancer {
    loads: BTreeMap<EndpointStart, EndpointLoad>,
}

impl EndpointBalancer {
    /// Chooses one of the candidates; `draw` breaks ties.
    pub fn choose<'a>(
        &self,
        now: MonotonicTime,
        own: &DataCentreId,
        candidates: &[&'a EndpointBeat],
        draw: u64,
    ) -> Option<&'a EndpointBeat> {
        let cost = |beat: &EndpointBeat| {
            let load = self.loads.get(&beat.endpoint).copied().unwrap_or_default();
            let far = if beat.data_centre == *own { 0.0 } else { FAR_WEIGHT };
            f64::from(load.outstanding) + load.faults_at(now) * FAILURE_WEIGHT + far
        };
        let costs: Vec<f64> = candidates.iter().map(|beat| cost(beat)).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let best: Vec<&&EndpointBeat> = candidates
            .iter()
            .zip(&costs)
            .filter(|(_, cost)| **cost <= least + 0.05)
            .map(|(beat, _)| beat)
            .collect();
        let at = usize::try_from(draw % best.len().max(1) as u64).unwrap_or(0);
        best.get(at).map(|beat| **beat)
    }

    /// Notes that a request goes to an endpoint.
    pub fn begin(&mut self, endpoint: &EndpointStart) {
        self.loads.entry(endpoint.clone()).or_default().outstanding += 1;
    }

    /// Notes that a request at an endpoint has ended.
    pub fn end(&mut self, endpoint: &EndpointStart) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.outstanding = load.outstanding.saturating_sub(1);
        }
    }

    /// Notes that an endpoint failed a request, here or at another daemon.
    pub fn fault(&mut self, now: MonotonicTime, endpoint: &EndpointStart, fault: FaultKind) {
        let load = self.loads.entry(endpoint.clone()).or_default();
        load.faults = load.faults_at(now) + fault.weight();
        load.counted = now;
    }

    /// Forgets endpoints that are not known any more and have nothing outstanding.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointStart) -> bool) {
        self.loads.retain(|endpoint, load| load.outstanding > 0 || is_known(endpoint));
    }
}

//! Determines when the leader reports voters that are not live, and places that nobody can fill.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_consensus::VoterState;
use oriolepass_units::{InstanceId, MonotonicTime};

use crate::founding::VOTER_REPLACEMENT_TIMEOUT;

/// The interval between two reports of the same instance or of missing voters.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A state of the voters that operators should know of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum VoterReport {
    /// An instance that should be a voter is none, or is silent, for the given time.
    Absent(InstanceId, VoterState, Duration),
    /// There are too few instances with a disk for as many voters as the settings require.
    Lacking(usize, Duration),
}

/// Since when a state has lasted, and when it was last reported.
#[derive(Debug, Clone, Copy)]
struct LastingState {
    since: MonotonicTime,
    reported: Option<MonotonicTime>,
}

impl LastingState {
    fn new(now: MonotonicTime) -> Self {
        Self { since: now, reported: None }
    }

    /// Returns how long the state has lasted if a report is due.
    fn due(&mut self, now: MonotonicTime) -> Option<Duration> {
        let is_due = match self.reported {
            Some(at) => now.since(at) >= REPORT_INTERVAL,
            None => now.since(self.since) >= VOTER_REPLACEMENT_TIMEOUT,
        };
        is_due.then(|| {
            self.reported = Some(now);
            now.since(self.since)
        })
    }
}

/// The states that last, as this daemon has seen them as the leader.
#[derive(Debug, Default)]
pub(crate) struct VoterWatch {
    absent: BTreeMap<InstanceId, LastingState>,
    lacking: Option<LastingState>,
}

impl VoterWatch {
    /// Records the states of all instances that should be voters, and how many voters are lacking
    /// besides. Returns the reports that are due.
    pub(crate) fn record(
        &mut self,
        now: MonotonicTime,
        states: &BTreeMap<InstanceId, VoterState>,
        lacking: usize,
    ) -> Vec<VoterReport> {
        let is_absent = |instance: &InstanceId| {
            states.get(instance).is_some_and(|state| *state != VoterState::Live)
        };
        self.absent.retain(|instance, _| is_absent(instance));
        let mut reports = Vec::new();
        for (instance, state) in states.iter().filter(|(_, state)| **state != VoterState::Live) {
            let lasting =
                self.absent.entry(instance.clone()).or_insert_with(|| LastingState::new(now));
            let time = lasting.due(now);
            reports.extend(time.map(|time| VoterReport::Absent(instance.clone(), *state, time)));
        }
        if lacking == 0 {
            self.lacking = None;
        } else {
            let time = self.lacking.get_or_insert_with(|| LastingState::new(now)).due(now);
            reports.extend(time.map(|time| VoterReport::Lacking(lacking, time)));
        }
        reports
    }
}

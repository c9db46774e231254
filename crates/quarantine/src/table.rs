//! Holds the cases of all requests under which endpoints ended, as known to one instance.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::attribution::{Attribution, CauseLogOdds, attribute_ends, is_settled};
use crate::case::{
    CaseUpdate, EndChange, EndUpdate, InterruptedRun, MIN_QUARANTINE_ENDS, RequestCase,
};
use crate::digest::{AccountTag, RequestDigest};

/// Maximum number of cases: about twenty ends of endpoints with sixteen requests each.
const MAX_CASES: usize = 512;

/// Maximum number of cases of one client account, so that no account can evict the cases of all others.
const MAX_CASES_PER_ACCOUNT: usize = 128;

/// Delay between the last end of a quarantined request and its first trial. A failed trial costs some
/// seconds for the endpoint's start, and the streams that ran on the endpoint. One trial in ten minutes
/// costs 0.1 % of one endpoint.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_secs(10 * 60);

/// Maximum time between trials. The interval starts at [`MIN_TRIAL_INTERVAL`] and doubles with each failed
/// trial, which gives nine trials in a day.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(4 * 3_600);

/// Number of ends of a request when it is quarantined. Each further end counts as a failed trial.
const ENDS_BEFORE_TRIALS: usize = 3;

/// The standing of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// There is no evidence against the request.
    Clear,
    /// Endpoints have ended under the request, possibly by chance. It is to be placed where the fewest other
    /// requests run.
    Suspect,
    /// The request terminates its endpoints and is not to be sent.
    Quarantined {
        /// The time until the next trial; zero if a trial is due.
        trial_in: Duration,
    },
}

/// A summary of a suspected or quarantined request, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CaseSummary {
    /// The request.
    pub digest: RequestDigest,
    /// The standing of the request.
    pub standing: Standing,
    /// The endpoints that ended under the request, without cleared ones.
    pub ends: Vec<EndpointStart>,
    /// The time since the last of these ends.
    pub last_end: Duration,
}

/// The cases of all requests under which endpoints ended. The result of merging tables does not depend on
/// the order.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    cases: BTreeMap<RequestDigest, RequestCase>,
    /// Computed on first use after a change, since updates arrive in batches.
    attribution: OnceCell<Attribution>,
}

impl QuarantineTable {
    /// Returns whether the table holds no cases, which is the usual state.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Records that an endpoint ended under a request just now. Returns the update for the other instances
    /// if the end was not known.
    pub fn record_end(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        endpoint: &EndpointStart,
    ) -> Option<CaseUpdate> {
        let run = InterruptedRun { endpoint: endpoint.clone(), seen: now, duration: None };
        self.record_interrupted_run(now, digest, &run)
    }

    /// Records a run of a request that was interrupted by the end of its endpoint. Returns the update for the
    /// other instances if the end was not known.
    pub fn record_interrupted_run(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        run: &InterruptedRun,
    ) -> Option<CaseUpdate> {
        let case = self.cases.entry(digest).or_default();
        if case.record_end(run) != EndChange::New {
            return None;
        }
        let update = case.update(now, digest);
        self.attribution.take();
        self.evict_if_full(digest);
        Some(update)
    }

    /// Clears a request of all its ends, on an operator's behalf. Returns the update for the other instances
    /// if the case changed.
    pub fn clear_request(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
    ) -> Option<CaseUpdate> {
        self.clear(now, digest, None)
    }

    /// Clears a request of all its ends, after a complete run of the given duration. Returns the update for
    /// the other instances if the case changed.
    pub fn record_complete_run(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        duration: Duration,
    ) -> Option<CaseUpdate> {
        self.clear(now, digest, Some(duration))
    }

    fn clear(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        run: Option<Duration>,
    ) -> Option<CaseUpdate> {
        let case = self.cases.get_mut(&digest)?;
        if !case.clear_all(run) {
            return None;
        }
        case.last_trial = None;
        let update = case.update(now, digest);
        self.attribution.take();
        Some(update)
    }

    /// Merges an update from another instance. Returns whether the update held an end or a clearance
    /// that was not known.
    pub fn merge(&mut self, now: MonotonicTime, update: &CaseUpdate) -> bool {
        let known = self.cases.get(&update.digest);
        let mut case = known.cloned().unwrap_or_default();
        let interrupted = |end: &EndUpdate| InterruptedRun {
            endpoint: end.endpoint.clone(),
            seen: now - end.age,
            duration: end.run,
        };
        let ends = update.ends.iter().map(|end| case.record_end(&interrupted(end)));
        let mut changes: Vec<EndChange> = ends.collect();
        let cleared = update.cleared.iter();
        changes.extend(cleared.map(|clear| case.clear_end(&clear.endpoint, clear.run)));
        if known.is_none() && case.is_expired(now) {
            return false;
        }
        let has_new_facts = changes.contains(&EndChange::New);
        if has_new_facts || changes.contains(&EndChange::Refined) {
            self.cases.insert(update.digest, case);
            self.attribution.take();
            self.evict_if_full(update.digest);
        }
        has_new_facts && self.cases.contains_key(&update.digest)
    }

    /// Returns the standing of a request.
    pub fn standing(&self, now: MonotonicTime, digest: RequestDigest) -> Standing {
        let Some(case) = self.cases.get(&digest) else { return Standing::Clear };
        let odds = self.attribution().odds.get(&digest).filter(|odds| odds.is_sufficient());
        if odds.is_some_and(|odds| odds.is_conclusive() || is_settled(case, now)) {
            return Standing::Quarantined { trial_in: trial_in(now, case) };
        }
        if self.has_unexplained_end(case) { Standing::Suspect } else { Standing::Clear }
    }

    /// Returns the odds that a request is fatal, if it has enough open ends for a quarantine.
    pub fn cause_log_odds(&self, digest: RequestDigest) -> Option<CauseLogOdds> {
        self.attribution().odds.get(&digest).copied()
    }

    fn attribution(&self) -> &Attribution {
        self.attribution.get_or_init(|| attribute_ends(&self.cases))
    }

    /// Returns whether a case has an open end that no quarantined request explains.
    fn has_unexplained_end(&self, case: &RequestCase) -> bool {
        case.open_ends().any(|(endpoint, _)| !self.attribution().explained.contains(endpoint))
    }

    /// Records that a quarantined request is sent for a trial. This restarts the interval to the next trial,
    /// as an end does.
    pub fn begin_trial(&mut self, now: MonotonicTime, digest: RequestDigest) {
        if let Some(case) = self.cases.get_mut(&digest) {
            case.last_trial = Some(now);
        }
    }

    /// Returns the time of a request's last open end.
    pub fn last_end(&self, digest: RequestDigest) -> Option<MonotonicTime> {
        self.cases.get(&digest)?.last_open_end()
    }

    /// Returns updates with the full state of all cases, for an instance that may know none of them.
    pub fn updates(&self, now: MonotonicTime) -> Vec<CaseUpdate> {
        self.cases.iter().map(|(digest, case)| case.update(now, *digest)).collect()
    }

    /// Returns updates with the cases that are to be stored durably: requests that lost several endpoints,
    /// and cleared requests. Nearly all other requests, which lost one endpoint, are innocent.
    pub fn durable_updates(&self, now: MonotonicTime) -> Vec<CaseUpdate> {
        let cases = self.cases.iter().filter(|(_, case)| case.is_durable());
        cases.map(|(digest, case)| case.update(now, *digest)).collect()
    }

    /// Lists the suspected and quarantined requests.
    pub fn list(&self, now: MonotonicTime) -> Vec<CaseSummary> {
        let summary = |(digest, case): (&RequestDigest, &RequestCase)| {
            let standing = self.standing(now, *digest);
            (standing != Standing::Clear).then(|| CaseSummary {
                digest: *digest,
                standing,
                ends: case.open_ends().map(|(endpoint, _)| endpoint.clone()).collect(),
                last_end: case.last_open_end().map_or(Duration::ZERO, |at| now.since(at)),
            })
        };
        self.cases.iter().filter_map(summary).collect()
    }

    /// Returns the number of suspected requests.
    pub fn suspect_count(&self, now: MonotonicTime) -> usize {
        let standings = self.cases.keys().map(|digest| self.standing(now, *digest));
        standings.filter(|standing| *standing == Standing::Suspect).count()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self, now: MonotonicTime) -> usize {
        let digests = self.attribution().odds.keys();
        let is_quarantined = |digest: &&RequestDigest| {
            matches!(self.standing(now, **digest), Standing::Quarantined { .. })
        };
        digests.filter(is_quarantined).count()
    }

    /// Removes the cases whose retention has passed.
    pub fn expire(&mut self, now: MonotonicTime) {
        let before = self.cases.len();
        self.cases.retain(|_, case| !case.is_expired(now));
        if self.cases.len() != before {
            self.attribution.take();
        }
    }

    /// Evicts a case if adding `digest` exceeded the limit of its account or of the table. The evicted case
    /// may be that of `digest`, so that tables with the same updates keep the same cases in any order of
    /// arrival.
    fn evict_if_full(&mut self, digest: RequestDigest) {
        let account = digest.account();
        let of_account = self.cases.keys().filter(|other| other.account() == account).count();
        let evicted = if of_account > MAX_CASES_PER_ACCOUNT {
            self.eviction_candidate(Some(account))
        } else if self.cases.len() > MAX_CASES {
            self.eviction_candidate(None)
        } else {
            None
        };
        if let Some(evicted) = evicted {
            self.cases.remove(&evicted);
            self.attribution.take();
        }
    }

    /// Returns the case to evict: the oldest one that is not quarantined, or the oldest one of all if all are
    /// quarantined. A cleared request is evidence of the rate of ends by chance, so it is kept longer than
    /// the suspects whose standing depends on this rate.
    fn eviction_candidate(&self, account: Option<AccountTag>) -> Option<RequestDigest> {
        let of_account = |digest: &RequestDigest| account.is_none_or(|a| digest.account() == a);
        let mut cases: Vec<(Option<MonotonicTime>, RequestDigest)> = self
            .cases
            .iter()
            .filter(|(digest, _)| of_account(digest))
            .map(|(digest, case)| (case.relevant_until(), *digest))
            .collect();
        cases.sort_unstable();
        // The attribution is costly and is rarely needed here, since most cases have too few ends.
        let is_quarantined = |digest: &RequestDigest| {
            self.cases[digest].open_ends().count() >= MIN_QUARANTINE_ENDS
                && self.cause_log_odds(*digest).is_some_and(CauseLogOdds::is_sufficient)
        };
        let candidate = cases.iter().find(|(_, digest)| !is_quarantined(digest));
        candidate.or(cases.first()).map(|(_, digest)| *digest)
    }
}

/// Returns the time until the next trial of a quarantined request.
fn trial_in(now: MonotonicTime, case: &RequestCase) -> Duration {
    let failed_trials = case.open_ends().count().saturating_sub(ENDS_BEFORE_TRIALS);
    let doublings = u32::try_from(failed_trials).unwrap_or(u32::MAX).min(16);
    let interval = (MIN_TRIAL_INTERVAL * 2_u32.pow(doublings)).min(MAX_TRIAL_INTERVAL);
    let since = case.last_open_end().into_iter().chain(case.last_trial).max().unwrap_or(now);
    (since + interval).since(now)
}

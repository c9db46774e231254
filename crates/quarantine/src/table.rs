//! Holds the cases of all requests under which endpoints ended, as known to one instance.

use std::cell::{Cell, OnceCell};
use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::attribution::{Attribution, CauseLogOdds, attribute_ends, is_settled};
use crate::case::{
    CaseUpdate, EndChange, EndUpdate, InterruptedRun, MIN_QUARANTINE_ENDS, RequestCase,
};
use crate::digest::{AccountTag, PartDigest, RequestDigest, SuspectId};
use crate::evidence::PartGroup;
use crate::recent::{CompleteRun, RecentRuns};

/// Maximum numbers of cases of requests and of parts: about twenty ends of endpoints with sixteen
/// requests each.
const MAX_CASES: usize = 512;

/// Maximum number of cases of requests of one client account, so that no account can evict the
/// cases of all others.
const MAX_CASES_PER_ACCOUNT: usize = 128;

/// Maximum number of cases of parts of one client account. A request has one case and several
/// parts.
const MAX_PART_CASES_PER_ACCOUNT: usize = 256;

/// Delay between the last end of a quarantined request and its first trial. A failed trial costs some
/// seconds for the endpoint's start, and the streams that ran on the endpoint. One trial in ten minutes
/// costs 0.1 % of one endpoint.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_secs(10 * 60);

/// Maximum time between trials. The interval starts at [`MIN_TRIAL_INTERVAL`] and doubles with each failed
/// trial, which gives nine trials in a day.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(4 * 3_600);

/// Number of ends of a request when it is quarantined. Each further end counts as a failed trial.
const ENDS_BEFORE_TRIALS: usize = 3;

/// Number of trials of a quarantined part. Each prompt with a fatal part costs an endpoint's start,
/// and prompts with it come from many callers. After the trials, an operator releases it.
const MAX_PART_TRIALS: usize = 1;

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

/// A summary of a suspected or quarantined request or part, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CaseSummary {
    /// The request or the part.
    pub id: SuspectId,
    /// The standing of the request or the part.
    pub standing: Standing,
    /// The endpoints that ended under the request or the part, without cleared ones.
    pub ends: Vec<EndpointStart>,
    /// The time since the last of these ends.
    pub last_end: Duration,
}

/// The cases of all requests and parts under which endpoints ended. The result of merging tables
/// does not depend on the order.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    cases: BTreeMap<SuspectId, RequestCase>,
    recent_runs: RecentRuns,
    /// Computed on first use after it was dropped, since updates arrive in batches.
    attribution: OnceCell<Attribution>,
    /// Whether facts that quarantine no request by themselves wait for [`QuarantineTable::judge`].
    is_deferred: bool,
    /// Whether the attribution lacks such facts.
    is_outdated: bool,
    /// The number of changes of the facts.
    revision: u64,
    /// The number of times that the ends were attributed.
    judgements: Cell<u64>,
}

impl QuarantineTable {
    /// Creates a table whose owner decides when new facts are judged, with [`Self::judge`].
    ///
    /// A judgement looks at all facts. If each fact led to one, an end of many endpoints would cost the
    /// square of the number of their requests, at every instance. A change that may begin or end the
    /// quarantine of a request is an exception: the next question about any case judges all facts.
    pub fn with_deferred_judgement() -> Self {
        Self { is_deferred: true, ..Self::default() }
    }

    /// Has the next question judge all facts that are known by then.
    pub fn judge(&mut self) {
        if std::mem::take(&mut self.is_outdated) {
            self.attribution.take();
        }
    }

    /// Returns the number of times that the ends were attributed to their causes.
    pub fn judgements(&self) -> u64 {
        self.judgements.get()
    }

    /// Returns a number that grows with each change of the facts.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that the attribution lacks a change of a case. It is dropped at once if the change may
    /// begin or end a quarantine.
    fn outdate(&mut self, changed: SuspectId) {
        let may_be_fatal = |case: &RequestCase| case.open_ends().count() >= MIN_QUARANTINE_ENDS;
        // Many prompts share a part, so a part with enough ends is no exception while many endpoints end.
        let may_begin = matches!(changed, SuspectId::Request(_))
            && self.cases.get(&changed).is_some_and(may_be_fatal);
        let judged = self.attribution.get().and_then(|judged| judged.odds.get(&changed));
        let may_end = judged.is_some_and(|odds| odds.is_sufficient());
        self.is_outdated = true;
        self.revision += 1;
        if may_begin || may_end || !self.is_deferred {
            self.judge();
        }
    }

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

    /// Records a run of a request, or of a prompt with a part, that was interrupted by the end of
    /// its endpoint. Returns the update for the other instances if the end was not known.
    pub fn record_interrupted_run<D: Into<SuspectId> + Copy>(
        &mut self,
        now: MonotonicTime,
        digest: D,
        run: &InterruptedRun,
    ) -> Option<CaseUpdate<D>> {
        let case = self.cases.entry(digest.into()).or_default();
        if case.record_end(run) != EndChange::New {
            return None;
        }
        case.last_report = Some(now);
        let update = case.update(now, digest);
        self.outdate(digest.into());
        self.evict_if_full(digest.into());
        Some(update)
    }

    /// Returns whether an end under a request counts against the parts of its prompt. Once the request has
    /// enough ends to be quarantined itself, none does: its quarantine affects no other prompts, and other
    /// prompts with the same parts may be sound.
    pub fn accuses_parts(&self, digest: RequestDigest) -> bool {
        let case = self.cases.get(&SuspectId::Request(digest));
        case.is_none_or(|case| case.open_ends().count() < MIN_QUARANTINE_ENDS)
    }

    /// Clears a request or a part of all its ends, on an operator's behalf. Returns the update for
    /// the other instances if the case changed.
    pub fn release<D: Into<SuspectId> + Copy>(
        &mut self,
        now: MonotonicTime,
        digest: D,
    ) -> Option<CaseUpdate<D>> {
        self.clear(now, digest, None)
    }

    /// Clears a request or a part of all its ends, after a complete run of the given duration.
    /// Returns the update for the other instances if the case changed.
    pub fn record_complete_run<D: Into<SuspectId> + Copy>(
        &mut self,
        now: MonotonicTime,
        digest: D,
        duration: Duration,
    ) -> Option<CaseUpdate<D>> {
        self.clear(now, digest, Some(duration))
    }

    /// Records a complete run of a prompt with a part, which clears the part of all earlier ends, also
    /// of those that become known later. Returns the update for the other instances if the case changed.
    pub fn record_complete_part(
        &mut self,
        now: MonotonicTime,
        part: PartDigest,
        duration: Duration,
    ) -> Option<CaseUpdate<PartDigest>> {
        self.recent_runs.record(part, CompleteRun { ended: now, duration });
        self.clear(now, part, Some(duration))
    }

    /// Clears a part of the ends before its last complete run. Returns the update for the other
    /// instances if the case changed.
    pub fn clear_by_recent_run(
        &mut self,
        now: MonotonicTime,
        part: PartDigest,
    ) -> Option<CaseUpdate<PartDigest>> {
        let run = self.recent_runs.last(&part)?;
        self.change_case(now, part, |case| case.clear_before(run.ended, run.duration))
    }

    /// Clears a request or a part of the end of one endpoint, which was alive afterwards. Returns the
    /// update for the other instances if the case changed.
    pub fn refute_end<D: Into<SuspectId> + Copy>(
        &mut self,
        now: MonotonicTime,
        digest: D,
        endpoint: &EndpointStart,
    ) -> Option<CaseUpdate<D>> {
        self.change_case(now, digest, |case| {
            case.has_end(endpoint) && case.clear_end(endpoint, None) == EndChange::New
        })
    }

    fn clear<D: Into<SuspectId> + Copy>(
        &mut self,
        now: MonotonicTime,
        digest: D,
        run: Option<Duration>,
    ) -> Option<CaseUpdate<D>> {
        self.change_case(now, digest, |case| {
            let is_changed = case.clear_all(run);
            if is_changed {
                case.last_trial = None;
            }
            is_changed
        })
    }

    /// Changes a case that exists. Returns the update for the other instances if `change` returns that
    /// the case changed.
    fn change_case<D: Into<SuspectId> + Copy>(
        &mut self,
        now: MonotonicTime,
        digest: D,
        change: impl FnOnce(&mut RequestCase) -> bool,
    ) -> Option<CaseUpdate<D>> {
        let case = self.cases.get_mut(&digest.into())?;
        if !change(case) {
            return None;
        }
        let update = case.update(now, digest);
        self.outdate(digest.into());
        Some(update)
    }

    /// Merges an update from another instance. Returns whether the update held an end or a clearance
    /// that was not known.
    pub fn merge<D: Into<SuspectId> + Copy>(
        &mut self,
        now: MonotonicTime,
        update: &CaseUpdate<D>,
    ) -> bool {
        let id: SuspectId = update.digest.into();
        let known = self.cases.get(&id);
        let mut case = known.cloned().unwrap_or_default();
        let interrupted = |end: &EndUpdate| InterruptedRun {
            endpoint: end.endpoint.clone(),
            seen: now - end.age,
            duration: end.run,
        };
        let ends = update.ends.iter().map(|end| case.record_end(&interrupted(end)));
        let mut changes: Vec<EndChange> = ends.collect();
        if changes.contains(&EndChange::New) {
            case.last_report = Some(now);
        }
        let cleared = update.cleared.iter();
        changes.extend(cleared.map(|clear| case.clear_end(&clear.endpoint, clear.run)));
        if known.is_none() && case.is_expired(now) {
            return false;
        }
        let has_new_facts = changes.contains(&EndChange::New);
        if has_new_facts || changes.contains(&EndChange::Refined) {
            self.cases.insert(id, case);
            self.outdate(id);
            self.evict_if_full(id);
        }
        has_new_facts && self.cases.contains_key(&id)
    }

    /// Returns the standing of a request.
    pub fn standing(&self, now: MonotonicTime, digest: RequestDigest) -> Standing {
        let id = SuspectId::Request(digest);
        let Some(case) = self.cases.get(&id) else { return Standing::Clear };
        if self.is_quarantined(now, &id, case) {
            return Standing::Quarantined { trial_in: trial_in(now, case) };
        }
        if self.has_unexplained_end(case) { Standing::Suspect } else { Standing::Clear }
    }

    /// Returns the standing of a prompt by its parts, and the part that determines it.
    ///
    /// Parts of which nothing tells which one is fatal count only if the prompt has all of them.
    pub fn prompt_standing(
        &self,
        now: MonotonicTime,
        parts: &[PartDigest],
    ) -> (Standing, Option<PartDigest>) {
        // Parts are last in the order of cases.
        let has_parts = matches!(self.cases.last_key_value(), Some((SuspectId::Part(_), _)));
        if parts.is_empty() || !has_parts {
            return (Standing::Clear, None);
        }
        let mut suspect = None;
        let is_in_prompt = |group: &&PartGroup| group.iter().all(|part| parts.contains(part));
        for group in self.attribution().groups.iter().filter(is_in_prompt) {
            // All parts of a group have the same ends.
            let Some(part) = group.first() else { continue };
            let id = SuspectId::Part(*part);
            let Some(case) = self.cases.get(&id) else { continue };
            if self.is_quarantined(now, &id, case) {
                let trial_in = part_trial_in(now, case);
                return (Standing::Quarantined { trial_in }, Some(*part));
            }
            let odds = self.attribution().odds.get(&id);
            suspect = odds.filter(|odds| odds.is_likely()).map(|_| *part).or(suspect);
        }
        (if suspect.is_some() { Standing::Suspect } else { Standing::Clear }, suspect)
    }

    fn is_quarantined(&self, now: MonotonicTime, id: &SuspectId, case: &RequestCase) -> bool {
        let odds = self.attribution().odds.get(id).filter(|odds| odds.is_sufficient());
        odds.is_some_and(|odds| odds.is_conclusive() || is_settled(case, now))
    }

    /// Returns the odds that a request or a part is fatal, if it has enough open ends for a
    /// quarantine.
    pub fn cause_log_odds(&self, digest: impl Into<SuspectId>) -> Option<CauseLogOdds> {
        self.attribution().odds.get(&digest.into()).copied()
    }

    fn attribution(&self) -> &Attribution {
        self.attribution.get_or_init(|| {
            self.judgements.set(self.judgements.get() + 1);
            attribute_ends(&self.cases)
        })
    }

    /// Returns whether a case has an open end that no quarantined request explains.
    fn has_unexplained_end(&self, case: &RequestCase) -> bool {
        case.open_ends().any(|(endpoint, _)| !self.attribution().explained.contains(endpoint))
    }

    /// Records that a quarantined request, or a prompt with a quarantined part, is sent for a
    /// trial. This restarts the interval to the next trial, as an end does.
    pub fn begin_trial(&mut self, now: MonotonicTime, digest: impl Into<SuspectId>) {
        if let Some(case) = self.cases.get_mut(&digest.into()) {
            case.last_trial = Some(now);
        }
    }

    /// Returns when the end of an endpoint was first observed, under any request or part that it still
    /// counts against.
    pub fn first_observation(&self, endpoint: &EndpointStart) -> Option<MonotonicTime> {
        let seen = self.cases.values().filter_map(|case| case.open_end(endpoint));
        seen.min()
    }

    /// Returns the number of ends that count against a request or a part.
    pub fn open_end_count(&self, digest: impl Into<SuspectId>) -> usize {
        self.cases.get(&digest.into()).map_or(0, |case| case.open_ends().count())
    }

    /// Returns when this instance learnt of the last end of a request or a part that it learnt of.
    ///
    /// Other requests and parts that ran on the endpoint may belong to other instances, whose reports
    /// arrive later. Until then too few suspects share the end.
    pub fn last_report(&self, digest: impl Into<SuspectId>) -> Option<MonotonicTime> {
        self.cases.get(&digest.into())?.last_report
    }

    fn requests(&self) -> impl Iterator<Item = (RequestDigest, &RequestCase)> {
        self.cases.iter().filter_map(|(id, case)| match id {
            SuspectId::Request(digest) => Some((*digest, case)),
            SuspectId::Part(_) => None,
        })
    }

    fn parts(&self) -> impl Iterator<Item = (PartDigest, &RequestCase)> {
        self.cases.iter().filter_map(|(id, case)| match id {
            SuspectId::Request(_) => None,
            SuspectId::Part(digest) => Some((*digest, case)),
        })
    }

    /// Returns updates with the full state of all cases of requests, for an instance that may know
    /// none of them.
    pub fn updates(&self, now: MonotonicTime) -> Vec<CaseUpdate> {
        self.requests().map(|(digest, case)| case.update(now, digest)).collect()
    }

    /// Returns updates with the full state of all cases of parts, for an instance that may know
    /// none of them.
    pub fn part_updates(&self, now: MonotonicTime) -> Vec<CaseUpdate<PartDigest>> {
        self.parts().map(|(digest, case)| case.update(now, digest)).collect()
    }

    /// Returns an update with the full state of one case, if the table holds it.
    pub fn update_of<D: Into<SuspectId> + Copy>(
        &self,
        now: MonotonicTime,
        digest: D,
    ) -> Option<CaseUpdate<D>> {
        self.cases.get(&digest.into()).map(|case| case.update(now, digest))
    }

    /// Returns updates with the cases of parts that are to be stored durably.
    pub fn durable_part_updates(&self, now: MonotonicTime) -> Vec<CaseUpdate<PartDigest>> {
        let cases = self.parts().filter(|(_, case)| case.is_durable());
        cases.map(|(digest, case)| case.update(now, digest)).collect()
    }

    /// Returns updates with the cases of requests that are to be stored durably: those that lost
    /// several endpoints, and cleared requests. Nearly all other requests, which lost one endpoint,
    /// are innocent.
    pub fn durable_updates(&self, now: MonotonicTime) -> Vec<CaseUpdate> {
        let cases = self.requests().filter(|(_, case)| case.is_durable());
        cases.map(|(digest, case)| case.update(now, digest)).collect()
    }

    fn standing_of(&self, now: MonotonicTime, id: &SuspectId) -> Standing {
        let group_of = |part| self.attribution().groups.iter().find(|group| group.contains(part));
        match id {
            SuspectId::Request(digest) => self.standing(now, *digest),
            SuspectId::Part(part) => group_of(part).map_or(Standing::Clear, |group| {
                let parts: Vec<PartDigest> = group.iter().copied().collect();
                self.prompt_standing(now, &parts).0
            }),
        }
    }

    /// Lists the suspected and quarantined requests and parts.
    pub fn list(&self, now: MonotonicTime) -> Vec<CaseSummary> {
        let summary = |(id, case): (&SuspectId, &RequestCase)| {
            let standing = self.standing_of(now, id);
            (standing != Standing::Clear).then(|| CaseSummary {
                id: *id,
                standing,
                ends: case.open_ends().map(|(endpoint, _)| endpoint.clone()).collect(),
                last_end: case.last_open_end().map_or(Duration::ZERO, |at| now.since(at)),
            })
        };
        self.cases.iter().filter_map(summary).collect()
    }

    /// Returns the number of suspected requests.
    pub fn suspect_count(&self, now: MonotonicTime) -> usize {
        let standings = self.requests().map(|(digest, _)| self.standing(now, digest));
        standings.filter(|standing| *standing == Standing::Suspect).count()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self, now: MonotonicTime) -> usize {
        let is_request = |id: &SuspectId| matches!(id, SuspectId::Request(_));
        self.quarantined(now).filter(is_request).count()
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_part_count(&self, now: MonotonicTime) -> usize {
        let is_part = |id: &SuspectId| matches!(id, SuspectId::Part(_));
        self.quarantined(now).filter(is_part).count()
    }

    fn quarantined(&self, now: MonotonicTime) -> impl Iterator<Item = SuspectId> {
        let is_quarantined =
            move |id: &SuspectId| matches!(self.standing_of(now, id), Standing::Quarantined { .. });
        self.attribution().odds.keys().copied().filter(is_quarantined)
    }

    /// Removes the cases whose retention has passed.
    pub fn expire(&mut self, now: MonotonicTime) {
        let before = self.cases.len();
        self.cases.retain(|_, case| !case.is_expired(now));
        if self.cases.len() != before {
            self.is_outdated = true;
            self.revision += 1;
            self.judge();
        }
    }

    /// Evicts a case if adding `added` exceeded the limit of its kind for its account or for the
    /// table. The evicted case may be `added`, so that tables with the same updates keep the same
    /// cases in any order of arrival.
    fn evict_if_full(&mut self, added: SuspectId) {
        let account = added.account();
        let of_kind = || self.cases.keys().filter(|other| other.is_same_kind(&added));
        let max_per_account = match added {
            SuspectId::Request(_) => MAX_CASES_PER_ACCOUNT,
            SuspectId::Part(_) => MAX_PART_CASES_PER_ACCOUNT,
        };
        let of_account = of_kind().filter(|other| other.account() == account).count();
        let evicted = if of_account > max_per_account {
            self.eviction_candidate(&added, Some(account))
        } else if of_kind().count() > MAX_CASES {
            self.eviction_candidate(&added, None)
        } else {
            None
        };
        if let Some(evicted) = evicted {
            self.cases.remove(&evicted);
            self.outdate(evicted);
        }
    }

    /// Returns the case to evict: the oldest one that is not quarantined, or the oldest one of all if all are
    /// quarantined. A cleared request is evidence of the rate of ends by chance, so it is kept longer than
    /// the suspects whose standing depends on this rate.
    fn eviction_candidate(
        &self,
        added: &SuspectId,
        account: Option<AccountTag>,
    ) -> Option<SuspectId> {
        let is_eligible = |id: &SuspectId| {
            id.is_same_kind(added) && account.is_none_or(|account| id.account() == account)
        };
        let mut cases: Vec<(Option<MonotonicTime>, SuspectId)> = self
            .cases
            .iter()
            .filter(|(id, _)| is_eligible(id))
            .map(|(id, case)| (case.relevant_until(), *id))
            .collect();
        cases.sort_unstable();
        // The attribution is costly and is rarely needed here, since most cases have too few ends.
        let is_quarantined = |id: &SuspectId| {
            self.cases[id].open_ends().count() >= MIN_QUARANTINE_ENDS
                && self.cause_log_odds(*id).is_some_and(CauseLogOdds::is_sufficient)
        };
        let candidate = cases.iter().find(|(_, id)| !is_quarantined(id));
        candidate.or(cases.first()).map(|(_, id)| *id)
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

/// Returns the time until the next trial of a quarantined part. After its trials it is the time for
/// which the part stays quarantined unless an operator releases it.
fn part_trial_in(now: MonotonicTime, case: &RequestCase) -> Duration {
    let failed_trials = case.late_ends(MIN_TRIAL_INTERVAL / 2);
    if failed_trials >= MAX_PART_TRIALS || case.is_full() {
        return MAX_TRIAL_INTERVAL;
    }
    let since = case.last_open_end().into_iter().chain(case.last_trial).max().unwrap_or(now);
    (since + MIN_TRIAL_INTERVAL).since(now)
}

//! Replication of the quarantine table, which holds the requests under which endpoints ended.
//!
//! Each daemon keeps the whole table and judges requests by it, so that every daemon recognises a
//! request that is sent again, whichever daemon leads and whichever daemons are away. New facts are
//! sent to all daemons at once. A daemon that missed a fact, because a link was lost or the daemon
//! had not started yet, receives it on the next link. As a second safeguard, each daemon whose
//! table is not empty exchanges the hash of its table with one random other daemon each second, or
//! less often while the table changes.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use oriolepass_quarantine::{
    CaseSummary, CaseUpdate, CauseLogOdds, InterruptedRun, PartDigest, QuarantineTable,
    RequestDigest, Standing, SuspectId,
};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use crate::events::{EventKind, EventLine};
use crate::fact_queue::FactSource;
use crate::gateway::Gateway;
use crate::gossip::{is_sponsor, rank};
use crate::hubs::Tier;
use crate::peers::PeerMessage;
use crate::quarantine_disk::{QuarantineDisk, StoredCases};

/// The interval at which the table is compared with another daemon's and old cases are removed.
/// With 360 daemons, a fact that one daemon knows reaches all of them within about ten intervals.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The maximum number of intervals in a row without a comparison.
const MAX_SKIPPED_COMPARISONS: u32 = 5;

/// The pause after a review of the table, as a multiple of the time that the review took. Reviews take a
/// tenth of the event loop's time, unless they are so long that the longest pause applies.
const REVIEW_PAUSE_RATIO: u32 = 9;

/// The bounds of the pause after a review. A part of prompts that ends its endpoints is found by a
/// review only, so the pause is short against the time between two prompts of a caller.
const MIN_REVIEW_PAUSE: Duration = Duration::from_millis(20);
const MAX_REVIEW_PAUSE: Duration = Duration::from_millis(300);

/// The delay after the report of an endpoint's end before what ran there is refused. Other requests
/// that ran at the endpoint may belong to other daemons, whose reports arrive within a few hops.
const END_REPORT_GRACE: Duration = Duration::from_millis(40);

/// The offset of the table's times from the times of the process, which begin near zero. The offset
/// is longer than any case is kept, so that ends before the start of this process keep their ages.
pub(crate) const TABLE_TIME_OFFSET: Duration = Duration::from_secs(7 * 24 * 3_600);

/// The maximum number of requests in one message, which limits the length of a frame.
pub(crate) const MAX_CASES_PER_MESSAGE: usize = 64;

/// What is suspect if an endpoint ends under a request: the request, and the parts of its prompt
/// that other prompts may share.
#[derive(Debug, Clone)]
pub(crate) struct RequestSuspects {
    pub(crate) request: RequestDigest,
    pub(crate) parts: Rc<[PartDigest]>,
}

/// Decides when the table is compared with that of another daemon.
///
/// While facts are on their way, no two tables are equal, so that a comparison would send both tables
/// whole.
#[derive(Debug, Default)]
pub(crate) struct CompareSchedule {
    /// The revision of the table at the last interval.
    revision: u64,
    /// The number of intervals since the last comparison.
    skipped: u32,
}

impl CompareSchedule {
    /// Returns whether the table is to be compared at the end of an interval: if it did not change in
    /// it, or if it changed in many in a row.
    pub(crate) fn is_due(&mut self, revision: u64) -> bool {
        let is_quiet = std::mem::replace(&mut self.revision, revision) == revision;
        let is_due = is_quiet || self.skipped >= MAX_SKIPPED_COMPARISONS;
        self.skipped = if is_due { 0 } else { self.skipped + 1 };
        is_due
    }
}

/// Cases to send to other daemons, each with its source.
pub(crate) type QueuedCases<D> = Vec<(FactSource, CaseUpdate<D>)>;

/// The quarantine table of this daemon, and what has been logged and stored of it.
pub(crate) struct QuarantineState {
    pub(crate) table: QuarantineTable,
    comparisons: CompareSchedule,
    /// The daemon that sent the last new facts, unless they were this daemon's own.
    told_by: Option<InstanceId>,
    /// The requests and parts whose quarantine has been logged.
    logged: BTreeSet<SuspectId>,
    /// What was last passed to the disk thread: each request and part with its number of ends and
    /// its number of cleared ends.
    persisted: Vec<(SuspectId, usize, usize)>,
    /// Stores the cases that must survive the end of all processes. Only daemons with a disk have
    /// it.
    disk: Option<QuarantineDisk>,
}

impl QuarantineState {
    pub(crate) fn new() -> Self {
        Self {
            table: QuarantineTable::with_deferred_judgement(),
            comparisons: CompareSchedule::default(),
            told_by: None,
            logged: BTreeSet::new(),
            persisted: Vec::new(),
            disk: None,
        }
    }
}

impl Gateway {
    /// Records that an endpoint ended at `seen` under a request of one of this daemon's callers,
    /// `duration` after the request was sent.
    pub(crate) fn record_endpoint_end(
        &self,
        digest: RequestDigest,
        endpoint: &EndpointStart,
        seen: MonotonicTime,
        duration: Duration,
    ) {
        let (now, seen) = (self.case_time(), seen + TABLE_TIME_OFFSET);
        let duration = Some(duration);
        let run = InterruptedRun { endpoint: endpoint.clone(), seen, duration };
        let update = self.quarantine.borrow_mut().table.record_interrupted_run(now, digest, &run);
        self.on_quarantine_change(update);
    }

    /// Returns when any daemon first observed the end of an endpoint, as far as the table tells.
    pub(crate) fn first_observed_end(&self, endpoint: &EndpointStart) -> Option<MonotonicTime> {
        let seen = self.quarantine.borrow().table.first_observation(endpoint)?;
        Some(MonotonicTime::ZERO + seen.since(MonotonicTime::ZERO + TABLE_TIME_OFFSET))
    }

    /// Records that an endpoint whose end was presumed was alive, so that the end counts neither
    /// against the request nor against the parts of its prompt.
    pub(crate) fn refute_end(&self, suspects: &RequestSuspects, endpoint: &EndpointStart) {
        let now = self.case_time();
        let (request, parts) = {
            let table = &mut self.quarantine.borrow_mut().table;
            let parts = suspects.parts.iter();
            let parts: Vec<_> =
                parts.filter_map(|part| table.refute_end(now, *part, endpoint)).collect();
            (table.refute_end(now, suspects.request, endpoint), parts)
        };
        self.on_quarantine_change(request);
        self.broadcast_part_cases(&parts);
    }

    /// Records that a request was answered completely, `duration` after it was sent, so that
    /// neither it nor the parts of its prompt caused the earlier ends of endpoints.
    pub(crate) fn record_complete_answer(
        &self,
        parts: &[PartDigest],
        request: impl FnOnce() -> RequestDigest,
        duration: Duration,
    ) {
        self.record_parts_answered(parts, duration);
        if self.quarantine.borrow().table.is_empty() {
            return;
        }
        let (now, request) = (self.case_time(), request());
        let update = self.quarantine.borrow_mut().table.record_complete_run(now, request, duration);
        self.on_quarantine_change(update);
    }

    /// Lists the suspect and the quarantined requests and parts.
    pub(crate) fn suspects(&self) -> Vec<CaseSummary> {
        self.quarantine.borrow().table.list(self.case_time())
    }

    /// Releases a request on an operator's behalf: the ends of endpoints under it no longer count
    /// against it. Returns whether any did.
    pub(crate) fn release_request(&self, digest: RequestDigest) -> bool {
        let update = self.quarantine.borrow_mut().table.release(self.case_time(), digest);
        let is_released = update.is_some();
        self.on_quarantine_change(update);
        is_released
    }

    /// Returns the current time on the table's time scale.
    pub(crate) fn case_time(&self) -> MonotonicTime {
        self.now() + TABLE_TIME_OFFSET
    }

    /// Returns the odds that a request is fatal, if several endpoints ended under it.
    pub(crate) fn cause_log_odds(&self, digest: RequestDigest) -> Option<CauseLogOdds> {
        self.quarantine.borrow().table.cause_log_odds(digest)
    }

    /// Judges all facts that have arrived.
    pub(crate) fn judge_facts(&self) {
        self.quarantine.borrow_mut().table.judge();
    }

    /// Waits until the daemons have had the time to report the last end that this daemon learnt of under
    /// a request or a part. Returns whether it waited.
    pub(crate) async fn wait_for_reports(&self, digest: impl Into<SuspectId>) -> bool {
        let last_report = self.quarantine.borrow().table.last_report(digest);
        let age = last_report.map_or(Duration::MAX, |at| self.case_time().since(at));
        let wait = END_REPORT_GRACE.saturating_sub(age);
        sleep(wait).await;
        !wait.is_zero()
    }

    /// Returns whether a request is clear, suspect or quarantined.
    pub(crate) fn standing(&self, digest: impl FnOnce() -> RequestDigest) -> Standing {
        let state = self.quarantine.borrow();
        if state.table.is_empty() {
            return Standing::Clear;
        }
        state.table.standing(self.case_time(), digest())
    }

    /// Begins the due trial of a quarantined request or part if this daemon is the one to run it;
    /// returns whether it is. Only one of the daemons in reach runs the trial, so that the request
    /// reaches one endpoint and not one endpoint per daemon.
    pub(crate) fn try_begin_trial<D: Into<SuspectId> + Hash + Copy>(&self, digest: D) -> bool {
        let now = self.now();
        let own_rank = rank(&self.own, &digest);
        // Leaves do not know each other, so with tiers only hubs run trials.
        let tier = self.tier();
        let is_first = tier != Tier::Leaf && {
            let roster = self.roster.borrow();
            let mut others = roster.alive(now).filter(|note| tier == Tier::Mesh || note.has_disk);
            others.all(|note| rank(&note.instance, &digest) >= own_rank)
        };
        if is_first {
            self.quarantine.borrow_mut().table.begin_trial(self.case_time(), digest);
        }
        is_first
    }

    /// Merges case updates from another daemon, and forwards the new ones.
    pub(crate) fn on_case_updates(&self, from: &InstanceId, updates: &[CaseUpdate]) {
        self.resolve_broken_runs(updates);
        let now = self.case_time();
        let fresh: Vec<RequestDigest> = {
            let table = &mut self.quarantine.borrow_mut().table;
            let fresh = updates.iter().filter(|case| table.merge(now, case));
            fresh.map(|case| case.digest).collect()
        };
        if fresh.is_empty() {
            return;
        }
        if let Some(source) = self.forwarded_source(from) {
            self.queue_cases(&source, fresh.into_iter());
        }
        self.review_soon(Some(from));
    }

    /// Handles the hash of another daemon's table. If the tables differ, sends all cases of this
    /// daemon and, unless the message is itself an answer, its hash, so that the other daemon sends
    /// its cases.
    pub(crate) fn on_case_hash(&self, from: &InstanceId, hash: u64, is_answer: bool) {
        if hash == self.case_hash() {
            return;
        }
        for message in self.all_cases() {
            self.mesh.send(from, &message);
        }
        if !is_answer {
            let hash = self.case_hash();
            self.mesh.send(from, &PeerMessage::CaseHash { hash, is_answer: true });
        }
    }

    /// Returns the cases to send on a new link to a daemon; `is_reconnected` means that an earlier
    /// link to it was lost.
    pub(crate) fn cases_for(&self, to: &InstanceId, is_reconnected: bool) -> Vec<PeerMessage> {
        let is_sender = is_reconnected || self.settings().data_folder.is_some() || {
            let roster = self.roster.borrow();
            is_sponsor(&self.own, to, roster.alive(self.now()).map(|note| &note.instance))
        };
        if !is_sender {
            return Vec::new();
        }
        let mut messages = self.all_cases();
        messages.extend(self.all_part_cases(to));
        messages
    }

    /// Periodically removes old cases and compares the table with that of another daemon.
    pub(crate) async fn maintain_quarantine(self: Rc<Self>) {
        loop {
            sleep(COMPARE_INTERVAL).await;
            if self.quarantine.borrow().table.is_empty() {
                continue;
            }
            self.quarantine.borrow_mut().table.expire(self.case_time());
            self.review_soon(None);
            let is_due = {
                let mut state = self.quarantine.borrow_mut();
                let revision = state.table.revision();
                state.comparisons.is_due(revision)
            };
            if !is_due {
                continue;
            }
            let other = {
                let roster = self.roster.borrow();
                let alive = roster.alive(self.now()).map(|note| note.instance.clone());
                alive.choose(&mut rand::rng())
            };
            if let Some(other) = other {
                let hash = self.case_hash();
                self.mesh.send(&other, &PeerMessage::CaseHash { hash, is_answer: false });
                self.send_part_case_hash(&other, false);
            }
        }
    }

    /// Loads the cases stored on this daemon's disk, and stores changes from then on.
    pub(crate) async fn persist_quarantine(self: Rc<Self>, folder: std::path::PathBuf) {
        let (disk, loaded) = match QuarantineDisk::start(folder) {
            Ok(started) => started,
            Err(error) => {
                let line = self.line(EventKind::Ignored).text("reason", error);
                line.text("outcome", "quarantined requests do not survive a loss of all processes");
                return;
            }
        };
        self.quarantine.borrow_mut().disk = Some(disk);
        // The thread sends nothing if its disk hangs for good.
        if let Ok(StoredCases { requests, parts }) = loaded.await {
            let own = self.own.clone();
            self.on_case_updates(&own, &requests);
            self.queue_cases(&FactSource::Own, requests.iter().map(|case| case.digest));
            self.on_part_updates(&own, &parts);
            self.broadcast_part_cases(&parts);
        }
    }

    fn on_quarantine_change(&self, update: Option<CaseUpdate>) {
        if let Some(update) = update {
            self.queue_cases(&FactSource::Own, std::iter::once(update.digest));
            self.review_soon(None);
        }
    }

    /// Has the table reviewed, after new facts from a daemon or this one.
    pub(crate) fn review_soon(&self, from: Option<&InstanceId>) {
        self.quarantine.borrow_mut().told_by = from.cloned();
        self.quarantine_changed.notify_one();
    }

    /// Reviews the table after changes. The facts that arrive during a pause share one review, so that
    /// many ends at once do not occupy the event loop.
    pub(crate) async fn review_quarantine(self: Rc<Self>) {
        loop {
            self.quarantine_changed.notified().await;
            let began = self.now();
            self.quarantine.borrow_mut().table.judge();
            self.persist_lasting_cases();
            self.log_quarantine();
            let took = self.now().since(began);
            self.metrics.quarantine_reviews.observe(took.as_secs_f64());
            sleep((took * REVIEW_PAUSE_RATIO).clamp(MIN_REVIEW_PAUSE, MAX_REVIEW_PAUSE)).await;
        }
    }

    /// Logs the requests and parts that entered or left quarantine.
    fn log_quarantine(&self) {
        let now = self.case_time();
        let mut state = self.quarantine.borrow_mut();
        let state = &mut *state;
        let from = state.told_by.as_ref();
        let cases = state.table.list(now);
        let count = |is_counted: &dyn Fn(&CaseSummary) -> bool| {
            i64::try_from(cases.iter().filter(|case| is_counted(case)).count()).unwrap_or(i64::MAX)
        };
        let is_suspect = |case: &CaseSummary| case.standing == Standing::Suspect;
        self.metrics.suspects.set(count(&|case| is_request(case) && is_suspect(case)));
        self.metrics.quarantined.set(count(&|case| is_request(case) && !is_suspect(case)));
        self.metrics.quarantined_parts.set(count(&|case| !is_request(case) && !is_suspect(case)));
        let is_quarantined = |standing| matches!(standing, Standing::Quarantined { .. });
        let present: BTreeSet<SuspectId> =
            cases.iter().filter(|c| is_quarantined(c.standing)).map(|c| c.id).collect();
        if present == state.logged {
            return;
        }
        for case in cases.iter().filter(|case| is_quarantined(case.standing)) {
            if !state.logged.contains(&case.id) {
                let ends: Vec<String> = case.ends.iter().map(ToString::to_string).collect();
                self.quarantine_line(&case.id)
                    .number("ends", ends.len())
                    .maybe("log_odds", state.table.cause_log_odds(case.id))
                    .text("endpoints", ends.join(","))
                    .millis("last_end_age_ms", case.last_end)
                    .maybe("told_by", from)
                    .text("outcome", "quarantined");
            }
        }
        for id in state.logged.difference(&present) {
            self.quarantine_line(id)
                .number("ends", state.table.open_end_count(*id))
                .maybe("log_odds", state.table.cause_log_odds(*id))
                .maybe("told_by", from)
                .text("outcome", "released");
        }
        state.logged = present;
    }

    /// Begins a log line about a request or a part.
    pub(crate) fn quarantine_line(&self, id: &SuspectId) -> EventLine<'_> {
        let line = self.line(EventKind::Quarantine);
        match id {
            SuspectId::Request(digest) => line.text("digest", digest),
            SuspectId::Part(digest) => line.text("part", digest),
        }
    }

    /// Stores the cases that must survive the end of all processes, if they have changed.
    fn persist_lasting_cases(&self) {
        let mut state = self.quarantine.borrow_mut();
        let state = &mut *state;
        let Some(disk) = &state.disk else { return };
        let now = self.case_time();
        let requests = state.table.durable_updates(now);
        let parts = state.table.durable_part_updates(now);
        let lasting: Vec<_> = sizes(&requests).chain(sizes(&parts)).collect();
        if lasting != state.persisted {
            state.persisted = lasting;
            disk.store(StoredCases { requests, parts });
        }
    }

    fn queue_cases(&self, source: &FactSource, digests: impl Iterator<Item = RequestDigest>) {
        self.queue_facts(|queue| digests.for_each(|digest| queue.add_case(source, digest)));
    }

    /// Returns the cases of queued requests and parts with all their facts. Cases that have been
    /// evicted since are left out, as every daemon evicts them.
    pub(crate) fn queued_cases(
        &self,
        requests: BTreeMap<RequestDigest, FactSource>,
        parts: BTreeMap<PartDigest, FactSource>,
    ) -> (QueuedCases<RequestDigest>, QueuedCases<PartDigest>) {
        let now = self.case_time();
        let table = &self.quarantine.borrow().table;
        (table_updates(table, now, requests), table_updates(table, now, parts))
    }

    pub(crate) fn all_cases(&self) -> Vec<PeerMessage> {
        case_messages(&self.quarantine.borrow().table.updates(self.case_time()))
    }

    /// Returns a hash of the facts in the table that does not depend on when they were learnt.
    fn case_hash(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for case in self.quarantine.borrow().table.updates(MonotonicTime::ZERO) {
            case.digest.hash(&mut hasher);
            case.ends.iter().for_each(|end| (&end.endpoint, end.run).hash(&mut hasher));
            case.cleared.hash(&mut hasher);
        }
        hasher.finish()
    }
}

fn is_request(case: &CaseSummary) -> bool {
    matches!(case.id, SuspectId::Request(_))
}

/// Returns each request or part with its number of ends and its number of cleared ends.
fn sizes<D: Into<SuspectId> + Copy>(
    cases: &[CaseUpdate<D>],
) -> impl Iterator<Item = (SuspectId, usize, usize)> {
    cases.iter().map(|case| (case.digest.into(), case.ends.len(), case.cleared.len()))
}

fn table_updates<D: Into<SuspectId> + Copy>(
    table: &QuarantineTable,
    now: MonotonicTime,
    cases: BTreeMap<D, FactSource>,
) -> QueuedCases<D> {
    let update = |(digest, source)| Some((source, table.update_of(now, digest)?));
    cases.into_iter().filter_map(update).collect()
}

pub(crate) fn case_messages(updates: &[CaseUpdate]) -> Vec<PeerMessage> {
    updates.chunks(MAX_CASES_PER_MESSAGE).map(|cases| PeerMessage::Cases(cases.to_vec())).collect()
}

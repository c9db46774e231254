//! Quarantine of parts of prompts that end their endpoints.
//!
//! A part is recorded with the requests whose prompts share it, in the same table. Its cases have
//! messages of their own, which are sent only to daemons that understand them.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use oriolepass_quarantine::{CaseUpdate, InterruptedRun, PartDigest, Standing};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};

use crate::events::EventKind;
use crate::fact_queue::FactSource;
use crate::gateway::Gateway;
use crate::peers::{PeerMessage, ProtocolLevel};
use crate::quarantine::{MAX_CASES_PER_MESSAGE, RequestSuspects, TABLE_TIME_OFFSET};

/// The maximum number of times that a prompt waits for reports before it is refused. Endpoints may go on
/// ending under a fatal part.
const MAX_REPORT_WAITS: u32 = 4;

impl Gateway {
    /// Records that an endpoint ended at `seen` under a prompt whose parts had an effect for
    /// `duration`. The end of the request is recorded before.
    pub(crate) fn record_end_under_parts(
        &self,
        suspects: &RequestSuspects,
        endpoint: &EndpointStart,
        seen: MonotonicTime,
        duration: Duration,
    ) {
        let (now, seen) = (self.case_time(), seen + TABLE_TIME_OFFSET);
        let run = InterruptedRun { endpoint: endpoint.clone(), seen, duration: Some(duration) };
        let updates: Vec<CaseUpdate<PartDigest>> = {
            let table = &mut self.quarantine.borrow_mut().table;
            if !table.accuses_parts(suspects.request) {
                return;
            }
            let record = |part: &PartDigest| {
                let update = table.record_interrupted_run(now, *part, &run)?;
                Some(table.clear_by_recent_run(now, *part).unwrap_or(update))
            };
            suspects.parts.iter().filter_map(record).collect()
        };
        self.broadcast_part_cases(&updates);
    }

    /// Records that a prompt with these parts was answered completely.
    pub(crate) fn record_parts_answered(&self, parts: &[PartDigest], duration: Duration) {
        let now = self.case_time();
        let updates: Vec<CaseUpdate<PartDigest>> = {
            let table = &mut self.quarantine.borrow_mut().table;
            let clear = |part: &PartDigest| table.record_complete_part(now, *part, duration);
            parts.iter().filter_map(clear).collect()
        };
        self.broadcast_part_cases(&updates);
    }

    /// Releases a part on an operator's behalf. Returns whether any ends counted against it.
    pub(crate) fn release_part(&self, part: PartDigest) -> bool {
        let update = self.quarantine.borrow_mut().table.release(self.case_time(), part);
        let is_released = update.is_some();
        self.broadcast_part_cases(update.as_slice());
        is_released
    }

    /// Returns the standing of a prompt by its parts, and the part that determines it.
    pub(crate) fn prompt_standing(
        &self,
        parts: impl FnOnce() -> Rc<[PartDigest]>,
    ) -> (Standing, Option<PartDigest>) {
        let state = self.quarantine.borrow();
        if state.table.is_empty() {
            return (Standing::Clear, None);
        }
        state.table.prompt_standing(self.case_time(), &parts())
    }

    /// Returns the standing of a prompt by its parts, and the part that determines it, like
    /// [`Self::prompt_standing`]. If the prompt is to be refused for a part whose last end became known just
    /// now, the daemons first get the time to report what else ran on the endpoint.
    pub(crate) async fn reported_prompt_standing(
        &self,
        parts: impl Fn() -> Rc<[PartDigest]>,
    ) -> (Standing, Option<PartDigest>) {
        let mut judged = self.prompt_standing(&parts);
        for _ in 0..MAX_REPORT_WAITS {
            let (Standing::Quarantined { .. }, Some(part)) = judged else { break };
            if !self.wait_for_reports(part).await {
                break;
            }
            self.judge_facts();
            judged = self.prompt_standing(&parts);
        }
        judged
    }

    /// Logs that a prompt is refused because of one of its parts.
    pub(crate) fn log_refused_part(&self, request: &str, part: PartDigest) {
        self.line(EventKind::Quarantine)
            .text("request", request)
            .text("part", part)
            .maybe("log_odds", self.quarantine.borrow().table.cause_log_odds(part))
            .text("outcome", "prompt refused");
    }

    /// Merges case updates of parts from another daemon, and forwards the new ones.
    pub(crate) fn on_part_updates(&self, from: &InstanceId, updates: &[CaseUpdate<PartDigest>]) {
        let now = self.case_time();
        let (fresh, cleared) = {
            let table = &mut self.quarantine.borrow_mut().table;
            let fresh = updates.iter().filter(|case| table.merge(now, case));
            let fresh: Vec<PartDigest> = fresh.map(|case| case.digest).collect();
            let clear = |part: &PartDigest| table.clear_by_recent_run(now, *part);
            let cleared: Vec<CaseUpdate<PartDigest>> = fresh.iter().filter_map(clear).collect();
            (fresh, cleared)
        };
        self.broadcast_part_cases(&cleared);
        if fresh.is_empty() {
            return;
        }
        if let Some(source) = self.forwarded_source(from) {
            self.queue_part_cases(&source, fresh.into_iter());
        }
        self.review_soon(Some(from));
    }

    /// Handles the hash of another daemon's cases of parts, like that of its cases of requests.
    pub(crate) fn on_part_case_hash(&self, from: &InstanceId, hash: u64, is_answer: bool) {
        if hash == self.part_case_hash() {
            return;
        }
        for message in self.all_part_cases(from) {
            self.mesh.send(from, &message);
        }
        if !is_answer {
            self.send_part_case_hash(from, true);
        }
    }

    /// Sends the hash of the cases of parts to a daemon that understands it.
    pub(crate) fn send_part_case_hash(&self, to: &InstanceId, is_answer: bool) {
        if self.roster.borrow().understands(to, ProtocolLevel::PARTS) {
            let hash = self.part_case_hash();
            self.mesh.send(to, &PeerMessage::PartCaseHash { hash, is_answer });
        }
    }

    /// Returns all cases of parts for a daemon, or none if it does not understand them.
    pub(crate) fn all_part_cases(&self, to: &InstanceId) -> Vec<PeerMessage> {
        if !self.roster.borrow().understands(to, ProtocolLevel::PARTS) {
            return Vec::new();
        }
        let cases = self.quarantine.borrow().table.part_updates(self.case_time());
        part_messages(&cases).collect()
    }

    /// Sends cases of parts to all daemons.
    pub(crate) fn broadcast_part_cases(&self, updates: &[CaseUpdate<PartDigest>]) {
        if !updates.is_empty() {
            self.queue_part_cases(&FactSource::Own, updates.iter().map(|case| case.digest));
            self.review_soon(None);
        }
    }

    fn queue_part_cases(&self, source: &FactSource, digests: impl Iterator<Item = PartDigest>) {
        self.queue_facts(|queue| digests.for_each(|digest| queue.add_part(source, digest)));
    }

    fn part_case_hash(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for case in self.quarantine.borrow().table.part_updates(MonotonicTime::ZERO) {
            case.digest.hash(&mut hasher);
            case.ends.iter().for_each(|end| (&end.endpoint, end.run).hash(&mut hasher));
            case.cleared.hash(&mut hasher);
        }
        hasher.finish()
    }
}

pub(crate) fn part_messages(cases: &[CaseUpdate<PartDigest>]) -> impl Iterator<Item = PeerMessage> {
    cases.chunks(MAX_CASES_PER_MESSAGE).map(|cases| PeerMessage::PartCases(cases.to_vec()))
}

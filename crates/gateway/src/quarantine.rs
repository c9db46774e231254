//! Requests that end their endpoints: what this daemon saw of them, what the others did, and who is told.
//!
//! Each daemon keeps a whole table and judges by it, so a request that comes again is known at any of
//! them, whoever leads and whoever is away. What is new is told to all at once. Whoever missed it, as a
//! link was lost or it had not started, is told on the next link, and in any case finds out by the
//! tables' hash, which daemons that know of such requests exchange with one other each second.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use oriolepass_quarantine::{CaseSummary, CaseUpdate, QuarantineTable, RequestDigest, Standing};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::gossip::{is_sponsor, rank};
use crate::hubs::Tier;
use crate::peers::PeerMessage;
use crate::quarantine_disk::QuarantineDisk;

/// Between two comparisons with another daemon, and between two looks for what is too old. With 360
/// daemons a fact that one of them knows is known to all within some ten of them.
const COMPARE_EVERY: Duration = Duration::from_millis(1_000);

/// What the table's times are ahead of the process's, which begin near zero: longer than any case is kept,
/// so that the times of ends from before the start of this process keep their distances.
const BEFORE_START: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Requests in one message at most, so that no frame is long.
const CASES_A_MESSAGE: usize = 64;

/// What this daemon knows of requests that end their endpoints.
#[derive(Default)]
pub(crate) struct QuarantineState {
    pub(crate) table: QuarantineTable,
    /// Those whose quarantine has a line in the log.
    logged: BTreeSet<RequestDigest>,
    /// What the disk was last told to keep: requests, and how many ends of each, open and cleared.
    kept: Vec<(RequestDigest, usize, usize)>,
    /// Where quarantined requests survive the end of all processes; on daemons with a disk.
    disk: Option<QuarantineDisk>,
}

impl Gateway {
    /// Notes that an endpoint ended under a request of a caller here.
    pub(crate) fn ended_under(&self, digest: RequestDigest, endpoint: &EndpointStart) {
        let news =
            self.quarantine.borrow_mut().table.record_end(self.case_time(), digest, endpoint);
        self.quarantine_changed(news);
    }

    /// Notes that a request was answered whole: what ended under it before was not its doing.
    pub(crate) fn answered_whole(&self, digest: impl FnOnce() -> RequestDigest) {
        if self.quarantine.borrow().table.is_empty() {
            return;
        }
        let news = self.quarantine.borrow_mut().table.clear_request(self.case_time(), digest());
        self.quarantine_changed(news);
    }

    /// Lists the requests that something speaks against.
    pub(crate) fn suspect_requests(&self) -> Vec<CaseSummary> {
        self.quarantine.borrow().table.list(self.case_time())
    }

    /// Takes an operator's word that what ended under a request was not its doing; returns whether
    /// anything spoke against it.
    pub(crate) fn release_request(&self, digest: RequestDigest) -> bool {
        let news = self.quarantine.borrow_mut().table.clear_request(self.case_time(), digest);
        let is_news = news.is_some();
        self.quarantine_changed(news);
        is_news
    }

    /// Returns the present time of the table.
    fn case_time(&self) -> MonotonicTime {
        self.now() + BEFORE_START
    }

    /// Returns how long ago the last endpoint ended under a request.
    pub(crate) fn since_last_end(&self, digest: RequestDigest) -> Option<Duration> {
        let last_end = self.quarantine.borrow().table.last_end(digest)?;
        Some(self.case_time().since(last_end))
    }

    /// Returns how a request stands.
    pub(crate) fn standing(&self, digest: impl FnOnce() -> RequestDigest) -> Standing {
        let state = self.quarantine.borrow();
        if state.table.is_empty() {
            return Standing::Clear;
        }
        state.table.standing(self.case_time(), digest())
    }

    /// Returns whether a quarantined request whose trial is due is tried here, and notes that it is. One
    /// daemon of those in reach tries it, so that it reaches one endpoint and not one for each of them.
    pub(crate) fn begins_trial(&self, digest: RequestDigest) -> bool {
        let now = self.now();
        let own_rank = rank(&self.own, &digest);
        // Leaves do not know each other, so only hubs run trials in tiers.
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

    /// Takes in what another daemon knows.
    pub(crate) fn on_case_news(&self, from: &InstanceId, news: &[CaseUpdate]) {
        let now = self.case_time();
        let fresh: Vec<CaseUpdate> = {
            let table = &mut self.quarantine.borrow_mut().table;
            news.iter().filter(|case| table.merge(now, case)).cloned().collect()
        };
        let to = self.forward_targets(from);
        for message in in_messages(&fresh) {
            self.mesh.send_all(&to, &message);
        }
        if !fresh.is_empty() {
            self.quarantine_judged(Some(from));
        }
    }

    /// Answers a daemon whose table is another one with what is known here, so that it can say what it
    /// knows beyond that.
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

    /// Returns what to tell a daemon that has just come into reach, or back into it.
    pub(crate) fn cases_for(&self, to: &InstanceId, is_back: bool) -> Vec<PeerMessage> {
        let tells = is_back || self.settings().data_folder.is_some() || {
            let roster = self.roster.borrow();
            is_sponsor(&self.own, to, roster.alive(self.now()).map(|note| &note.instance))
        };
        if tells { self.all_cases() } else { Vec::new() }
    }

    /// Compares the table with another daemon's again and again, and forgets what is too old.
    pub(crate) async fn keep_quarantine(self: Rc<Self>) {
        loop {
            sleep(COMPARE_EVERY).await;
            if self.quarantine.borrow().table.is_empty() {
                continue;
            }
            self.quarantine.borrow_mut().table.expire(self.case_time());
            self.quarantine_judged(None);
            let other = {
                let roster = self.roster.borrow();
                let alive = roster.alive(self.now()).map(|note| note.instance.clone());
                alive.choose(&mut rand::rng())
            };
            if let Some(other) = other {
                let hash = self.case_hash();
                self.mesh.send(&other, &PeerMessage::CaseHash { hash, is_answer: false });
            }
        }
    }

    /// Takes over what survived on this daemon's disk, and keeps it there from now on.
    pub(crate) async fn keep_quarantine_on_disk(self: Rc<Self>, folder: std::path::PathBuf) {
        let (disk, loaded) = match QuarantineDisk::start(folder) {
            Ok(started) => started,
            Err(error) => {
                let line = self.line(EventKind::Ignored).text("reason", error);
                line.text("outcome", "quarantined requests do not survive a loss of all processes");
                return;
            }
        };
        self.quarantine.borrow_mut().disk = Some(disk);
        // The thread ends without a word where its disk hangs for good.
        if let Ok(cases) = loaded.await {
            let own = self.own.clone();
            self.on_case_news(&own, &cases);
            self.tell_cases(&cases);
        }
    }

    fn quarantine_changed(&self, news: Option<CaseUpdate>) {
        if let Some(news) = news {
            self.tell_cases(&[news]);
            self.quarantine_judged(None);
        }
    }

    /// Writes down who has come into quarantine or out of it, here and on the disk.
    fn quarantine_judged(&self, from: Option<&InstanceId>) {
        self.keep_lasting_cases();
        self.log_quarantine(from);
    }

    fn log_quarantine(&self, from: Option<&InstanceId>) {
        let now = self.case_time();
        let mut state = self.quarantine.borrow_mut();
        let state = &mut *state;
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.suspects.set(count(state.table.suspect_count(now)));
        self.metrics.quarantined.set(count(state.table.quarantined_count(now)));
        let cases = state.table.list(now);
        let is_quarantined = |standing| matches!(standing, Standing::Quarantined { .. });
        let present: BTreeSet<RequestDigest> =
            cases.iter().filter(|c| is_quarantined(c.standing)).map(|c| c.digest).collect();
        if present == state.logged {
            return;
        }
        for case in cases.iter().filter(|case| is_quarantined(case.standing)) {
            if !state.logged.contains(&case.digest) {
                let ends: Vec<String> = case.ends.iter().map(ToString::to_string).collect();
                self.line(EventKind::Quarantine)
                    .text("digest", case.digest)
                    .number("ends", ends.len())
                    .text("endpoints", ends.join(","))
                    .millis("last_end_age_ms", case.last_end)
                    .maybe("told_by", from)
                    .text("outcome", "quarantined");
            }
        }
        for digest in state.logged.difference(&present) {
            let line = self.line(EventKind::Quarantine).text("digest", digest);
            line.maybe("told_by", from).text("outcome", "released");
        }
        state.logged = present;
    }

    /// Keeps on the disk what must survive the end of all processes, where it has changed.
    fn keep_lasting_cases(&self) {
        let mut state = self.quarantine.borrow_mut();
        let state = &mut *state;
        let Some(disk) = &state.disk else { return };
        let news = state.table.durable_updates(self.case_time());
        let kept: Vec<_> =
            news.iter().map(|case| (case.digest, case.ends.len(), case.cleared.len())).collect();
        if kept != state.kept {
            state.kept = kept;
            disk.keep(news);
        }
    }

    fn tell_cases(&self, news: &[CaseUpdate]) {
        let to = self.news_targets();
        for message in in_messages(news) {
            self.mesh.send_all(&to, &message);
        }
    }

    pub(crate) fn all_cases(&self) -> Vec<PeerMessage> {
        in_messages(&self.quarantine.borrow().table.updates(self.case_time()))
    }

    /// Returns a number that is the same for the same facts, whenever they were learnt.
    fn case_hash(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for case in self.quarantine.borrow().table.updates(MonotonicTime::ZERO) {
            case.digest.hash(&mut hasher);
            case.ends.iter().for_each(|end| end.endpoint.hash(&mut hasher));
            case.cleared.hash(&mut hasher);
        }
        hasher.finish()
    }
}

fn in_messages(news: &[CaseUpdate]) -> Vec<PeerMessage> {
    news.chunks(CASES_A_MESSAGE).map(|cases| PeerMessage::Cases(cases.to_vec())).collect()
}

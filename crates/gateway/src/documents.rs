//! Replicates routing documents: proposes them to the log, puts them in force, and proves them
//! current.
//!
//! A routing document is the configuration that determines the route of each request. Its revision
//! orders documents. A proof is the leader's confirmation that the document in force on a daemon
//! was the newest one at a point in time.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oriolepass_routing::{
    DocumentProblem, RegisterOutcome, RoutingRevision, RoutingTable, RoutingText,
};
use oriolepass_units::{InstanceId, MonotonicTime};
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout};

use crate::events::EventKind;
use crate::gateway::{Gateway, PeerReply};
use crate::gossip::{DocumentDissemination, RelayGroup, relay_groups};
use crate::home::HOME_ANSWER_TIMEOUT;
use crate::hubs::Tier;
use crate::peers::{DocumentVerdict, DrainVerdict, FreshVerdict, PeerMessage};
use crate::proof_ledger::ProofLedger;
use crate::replica::{CommandOutcome, LogCommand, ProposalEnd, Proposer};

/// The interval between queries for a proof that the document is current. Several queries fit into
/// the time that a key may keep working after its removal.
pub(crate) const PROOF_INTERVAL: Duration = Duration::from_millis(400);

/// The delay after a query that gave no proof.
const PROOF_RETRY_DELAY: Duration = Duration::from_millis(70);

/// The delay after a query of a leaf that gave no proof. It is longer because many leaves query the
/// same hub.
const LEAF_PROOF_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The time-out of one freshness query to the leader, after which the next query is sent.
const FRESHNESS_QUERY_TIMEOUT: Duration = Duration::from_millis(700);

/// The part of the key revocation time for which a proof is valid. The rest covers the time in
/// which a request reaches its endpoint and in which the acknowledgement is in transit.
const PROOF_LIFETIME_RATIO: f64 = 0.8;

/// A daemon without a proof for this long is no longer listed to callers, though it still serves
/// requests that arrive. This is longer than an election, and short enough for most callers to
/// switch to another daemon before the proof expires.
const RECENT_PROOF_TTL: Duration = Duration::from_millis(2_000);

/// The part of the acknowledgement time that proposals may use. After it the operator is told to
/// send the request again.
pub(crate) const ACKNOWLEDGE_TIMEOUT_RATIO: f64 = 0.75;

/// The leader acknowledges a committed document after this time even if some daemons have not
/// confirmed it, unless these may decide by an older document for too long.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(350);

/// The number of daemons that the log line of an acknowledgement names.
const MAX_LOGGED_UNCONFIRMED: usize = 4;

/// The leader does not wait for confirmation by a daemon that has been silent for this long.
const CONFIRMATION_MAX_SILENCE: Duration = Duration::from_millis(1_300);

/// The delay before a proposal is retried.
pub(crate) const PROPOSAL_RETRY_DELAY: Duration = Duration::from_millis(80);

/// The time-out of one attempt at a proposal, without the time that the leader waits for daemons that
/// may decide by an older document.
pub(crate) const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time-out of a read of the document, after which the reader is told to ask again.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// The maximum number of documents of which a daemon tracks since when they are in force. It covers
/// several seconds of changes in quick succession.
const MAX_TRACKED_ADOPTIONS: usize = 32;

/// The reason that a document was not acknowledged.
#[derive(Debug, Error)]
pub enum PutError {
    /// The document is invalid.
    #[error(transparent)]
    Invalid(#[from] DocumentProblem),
    /// No majority of the voters could be reached in time.
    #[error("the document may or may not be taken over: no majority answered; send it again")]
    Unavailable,
}

/// The reason that the document could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// It is uncertain which document is the newest.
    #[error("it is not certain which document is the newest; ask again, or ask another daemon")]
    Uncertain,
}

/// A document in force.
#[derive(Debug)]
pub(crate) struct ActiveDocument {
    pub(crate) text: RoutingText,
    pub(crate) table: RoutingTable,
}

/// The document in force and what is known about its replication.
#[derive(Debug, Default)]
pub(crate) struct DocumentState {
    active: Option<Rc<ActiveDocument>>,
    /// The latest time at which the document in force is known to have been the newest.
    proved_at: Option<MonotonicTime>,
    /// The newest document, if this daemon lacks it: the time of the query, and its revision.
    awaited: Option<(MonotonicTime, RoutingRevision)>,
    was_fresh: bool,
    /// The last documents in force and since when each was, oldest first.
    adopted: VecDeque<(RoutingRevision, MonotonicTime)>,
    /// The daemon that the document in force was last reported to, and the reported revision.
    reported: Option<(InstanceId, RoutingRevision)>,
    /// The proofs that this daemon granted as the leader or as a hub.
    pub(crate) proofs: ProofLedger,
    /// The copies that this daemon has sent as the leader.
    dissemination: DocumentDissemination,
}

impl DocumentState {
    /// Creates the state of a process that starts at `now`.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self { proofs: ProofLedger::new(now), ..Self::default() }
    }

    fn revision(&self) -> Option<RoutingRevision> {
        self.active.as_ref().map(|active| active.text.revision)
    }

    fn record_adoption(&mut self, now: MonotonicTime, revision: RoutingRevision) {
        self.adopted.push_back((revision, now));
        if self.adopted.len() > MAX_TRACKED_ADOPTIONS {
            self.adopted.pop_front();
        }
    }

    /// Returns since when a revision or a newer one has been in force here.
    fn in_force_since(&self, revision: RoutingRevision) -> Option<MonotonicTime> {
        self.adopted.iter().find(|(adopted, _)| *adopted >= revision).map(|(_, since)| *since)
    }

    /// Records a proof by a query that was sent at `requested_at`.
    pub(crate) fn prove(&mut self, requested_at: MonotonicTime) {
        self.proved_at = self.proved_at.max(Some(requested_at));
    }

    /// Returns the age of the proof that the document in force is the newest.
    pub(crate) fn proof_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }
}

impl Gateway {
    /// Returns the document in force.
    pub(crate) fn active_document(&self) -> Option<Rc<ActiveDocument>> {
        self.documents.borrow().active.clone()
    }

    /// Returns whether the proof is recent enough for this daemon to be listed to callers.
    pub(crate) fn has_recent_proof(&self) -> bool {
        self.proof_age().is_some_and(|age| age < RECENT_PROOF_TTL)
    }

    /// Returns the age of the proof that the document in force is the newest.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.documents.borrow().proof_age(self.now())
    }

    /// Returns whether the proof is still valid, so that no key works for longer after its removal
    /// than the settings allow.
    pub(crate) fn is_fresh(&self) -> bool {
        self.proof_age().is_some_and(|age| age < self.proof_lifetime())
    }

    /// Returns whether the document in force includes every document that has to be in force by
    /// now. A document that was acknowledged after the proof may still be on its way here.
    pub(crate) fn knows_due_documents(&self) -> bool {
        self.is_fresh() && self.proof_age().is_some_and(|age| age < self.settings().bounds.in_force)
    }

    /// Puts a document in force if it is newer than the current one.
    pub(crate) fn adopt_document(&self, text: RoutingText) {
        let held = self.documents.borrow().revision();
        if held.is_some_and(|held| held >= text.revision) {
            return;
        }
        let document = text
            .unpack()
            .map_err(|error| error.to_string())
            .and_then(|text| (self.dialect.decode_document)(&text).map_err(|e| e.to_string()));
        let table = match document {
            Ok(document) => RoutingTable::new(document),
            // Not expected: the same code checked the document before it was proposed.
            Err(reason) => {
                let line = self.line(EventKind::InForce).number("revision", text.revision);
                line.text("outcome", "refused").text("reason", reason);
                return;
            }
        };
        self.line(EventKind::InForce)
            .number("revision", text.revision)
            .maybe("before", held)
            .maybe("proof_age_ms", self.proof_age().map(|age| age.as_millis()))
            .number("routes", table.route_count())
            .text("outcome", "taken over");
        self.metrics.revision.set(i64::try_from(text.revision.0).unwrap_or(i64::MAX));
        {
            let revision = text.revision;
            let mut documents = self.documents.borrow_mut();
            documents.active = Some(Rc::new(ActiveDocument { text, table }));
            documents.record_adoption(self.now(), revision);
            let awaited = documents.awaited.take_if(|(_, awaited)| *awaited <= revision);
            if let Some((requested_at, _)) = awaited {
                documents.prove(requested_at);
            }
        }
        self.document_changed.notify_waiters();
        if self.tier() == Tier::Hub {
            let text = self.active_document().map(|active| active.text.clone());
            let copy = text.map(|text| PeerMessage::Document { text, pass_on: Vec::new() });
            copy.iter().for_each(|copy| self.mesh.send_all(&self.own_leaves(), copy));
        }
        self.report_in_force();
        self.refresh_readiness();
    }

    /// Sends a new document from the leader to all reachable daemons.
    ///
    /// The leader sends the document only to relays, because its network link also carries answers
    /// to prompts: 200 copies of 40 kB saturate 100 Mbit/s for 0.6 s, and no prompt is placed in
    /// time meanwhile.
    pub(crate) fn disseminate_document(&self, text: &RoutingText) {
        let now = self.now();
        self.documents.borrow_mut().dissemination.begin(now, text.revision);
        if self.tier() == Tier::Hub {
            // Each hub forwards the document to its leaves.
            let copy = PeerMessage::Document { text: text.clone(), pass_on: Vec::new() };
            self.mesh.send_all(&self.other_hubs(), &copy);
            return;
        }
        let groups = relay_groups(self.alive_with_centres(), text.revision);
        for RelayGroup { relay, pass_on } in groups {
            self.mesh.send(&relay, &PeerMessage::Document { text: text.clone(), pass_on });
        }
    }

    /// Forwards a document received from another daemon to `pass_on`, and adopts it.
    pub(crate) fn on_document(&self, text: RoutingText, pass_on: &[InstanceId]) {
        if !pass_on.is_empty() {
            let copy = PeerMessage::Document { text: text.clone(), pass_on: Vec::new() };
            self.mesh.send_all(pass_on, &copy);
        }
        self.adopt_document(text);
    }

    /// Records the revision that another daemon has in force.
    pub(crate) fn record_in_force(&self, from: &InstanceId, revision: RoutingRevision) {
        if self.documents.borrow_mut().proofs.record_in_force(from, revision) {
            self.document_changed.notify_waiters();
        }
    }

    /// Reports the document in force to the leader, or from a leaf to its primary hub, unless that
    /// was the last report.
    pub(crate) fn report_in_force(&self) {
        let receiver = match self.tier() {
            Tier::Leaf => self.attached_hubs().into_iter().next(),
            Tier::Mesh | Tier::Hub => self.leader_instance(),
        };
        let Some(receiver) = receiver.filter(|receiver| *receiver != self.own) else { return };
        let Some(revision) = self.reported_revision() else { return };
        let report = Some((receiver.clone(), revision));
        if std::mem::replace(&mut self.documents.borrow_mut().reported, report.clone()) != report {
            self.mesh.send(&receiver, &PeerMessage::InForce(revision));
        }
    }

    /// Reports the document in force like [`Gateway::report_in_force`], even if that was the last
    /// report, which may have been lost.
    fn repeat_report(&self) {
        self.documents.borrow_mut().reported = None;
        self.report_in_force();
    }

    /// Returns the revision to report as in force here. A daemon with a disk may be a hub, and reports
    /// the newest one that none of its leaves lacks.
    fn reported_revision(&self) -> Option<RoutingRevision> {
        if self.settings().data_folder.is_none() {
            return self.held_revision();
        }
        let now = self.now();
        let is_outdated = |(revision, since)| self.outdated_until(revision, since) > Some(now);
        let adopted: Vec<_> = self.documents.borrow().adopted.iter().rev().copied().collect();
        adopted.into_iter().find(|entry| !is_outdated(*entry)).map(|(revision, _)| revision)
    }

    /// Removes the proof of a daemon that has shut down. The leaves of a hub may still have theirs.
    pub(crate) fn remove_proof(&self, daemon: &InstanceId) {
        if !self.roster.borrow().is_hub(daemon) {
            self.documents.borrow_mut().proofs.remove(daemon);
            self.document_changed.notify_waiters();
        }
    }

    /// Records the confirmation of another daemon. A hub reports to the leader once it was the last.
    pub(crate) fn on_in_force(&self, from: &InstanceId, revision: RoutingRevision) {
        self.record_in_force(from, revision);
        if self.settings().data_folder.is_some() {
            self.report_in_force();
        }
    }

    /// Returns until when a document must not be acknowledged, because a daemon may decide by an
    /// older one for longer than `in_force` after it; `None` if there is no such daemon.
    fn outdated_until(
        &self,
        revision: RoutingRevision,
        known_since: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let documents = self.documents.borrow();
        let proof = documents.proofs.latest_outdated_proof(revision, known_since);
        proof.map(|at| at + self.proof_overhang())
    }

    /// Returns by how much the validity of a proof exceeds the time in which a document has to be in
    /// force after its acknowledgement. It is zero unless instances without a proof refuse requests,
    /// since otherwise an older document never expires.
    fn proof_overhang(&self) -> Duration {
        let bounds = &self.settings().bounds;
        if !bounds.fail_closed {
            return Duration::ZERO;
        }
        self.proof_lifetime().saturating_sub(bounds.in_force)
    }

    /// Returns the time for which a proof is valid.
    fn proof_lifetime(&self) -> Duration {
        self.settings().bounds.key_revoke.mul_f64(PROOF_LIFETIME_RATIO)
    }

    /// Queries the leader at an interval whether the document in force is the newest.
    pub(crate) async fn refresh_proof_periodically(self: Rc<Self>) {
        loop {
            self.record_tier();
            let is_answered = self.request_proof().await;
            self.record_freshness();
            self.refresh_readiness();
            // A new leader is queried at once, and after a short delay until it holds its lease.
            let pause = match (is_answered, self.tier()) {
                (true, _) => PROOF_INTERVAL,
                (false, Tier::Leaf) => LEAF_PROOF_RETRY_DELAY,
                (false, _) => PROOF_RETRY_DELAY,
            };
            let _ = timeout(pause, self.leader_changed.notified()).await;
        }
    }

    /// Sends one freshness query; returns whether it gave a definite answer.
    async fn request_proof(&self) -> bool {
        if self.tier() == Tier::Leaf {
            return self.prove_by_hub().await;
        }
        let requested_at = self.now();
        let Some(FreshVerdict::Newest(newest, drains)) = self.query_newest().await else {
            return false;
        };
        self.adopt_drains(&drains);
        self.prove_newest(requested_at, newest);
        if self.settings().data_folder.is_some() {
            self.repeat_report();
        }
        true
    }

    /// Records `newest` as the newest revision at `at`.
    pub(crate) fn prove_newest(&self, at: MonotonicTime, newest: Option<RoutingRevision>) {
        self.budget.borrow_mut().record_majority(at);
        let mut documents = self.documents.borrow_mut();
        match newest {
            Some(newest) if documents.revision() < Some(newest) => {
                documents.awaited = Some((at, newest));
            }
            Some(_) => documents.prove(at),
            // No document has ever been accepted, so there is none to prove.
            None => {}
        }
    }

    /// Returns the revision of the document in force.
    pub(crate) fn held_revision(&self) -> Option<RoutingRevision> {
        self.documents.borrow().revision()
    }

    /// Queries the leader for the newest document's revision and the drained data centres.
    pub(crate) async fn query_newest(&self) -> Option<FreshVerdict> {
        let leader = self.leader_instance()?;
        if leader == self.own {
            return Some(self.fresh_verdict());
        }
        let held = self.documents.borrow().revision();
        let query = |token| PeerMessage::FreshAsk { token, held };
        let mut call = std::pin::pin!(self.call(&leader, FRESHNESS_QUERY_TIMEOUT, query));
        // The leader is also the home of the engines, the daemon that places prompts on them. The
        // query detects a slow home before a prompt has to wait for it.
        let reply = match timeout(HOME_ANSWER_TIMEOUT, &mut call).await {
            Ok(reply) => {
                self.on_home_answer();
                reply
            }
            Err(_) => {
                self.on_home_timeout();
                call.await
            }
        };
        match reply {
            Some(PeerReply::Fresh(verdict)) => Some(verdict),
            _ => None,
        }
    }

    /// Returns the leader's answer to a freshness query.
    pub(crate) fn fresh_verdict(&self) -> FreshVerdict {
        let replica = self.replica.borrow();
        match replica.as_ref().and_then(|replica| replica.state_as_leader(self.now())) {
            Some(state) => {
                let newest = state.newest_document().map(|text| text.revision);
                if newest.is_none() {
                    self.documents.borrow_mut().proofs.record_first_document();
                }
                FreshVerdict::Newest(newest, state.drains().clone())
            }
            None => FreshVerdict::NotLeader,
        }
    }

    /// Answers another daemon's freshness query, and sends the newest document if the daemon lacks
    /// it.
    pub(crate) fn on_fresh_ask(
        &self,
        from: &InstanceId,
        token: u64,
        held: Option<RoutingRevision>,
    ) {
        let verdict = self.fresh_verdict();
        if let FreshVerdict::Newest(newest, _) = verdict {
            self.record_query(from, newest, held);
            self.send_missing_document(from, newest, held);
        }
        self.mesh.send(from, &PeerMessage::FreshAnswer { token, verdict });
    }

    /// Records a proof of `newest`, granted to a daemon that holds `held`.
    fn record_query(
        &self,
        from: &InstanceId,
        newest: Option<RoutingRevision>,
        held: Option<RoutingRevision>,
    ) {
        if newest.is_some() {
            self.documents.borrow_mut().proofs.record_grant(from, self.now());
        }
        // A daemon with a disk holds a document before its leaves do, and reports it in `InForce`.
        if let Some(held) = held.filter(|_| !self.roster.borrow().is_hub(from)) {
            self.record_in_force(from, held);
        }
    }

    /// Sends the document in force to a daemon that holds an older revision than `newest`.
    pub(crate) fn send_missing_document(
        &self,
        to: &InstanceId,
        newest: Option<RoutingRevision>,
        held: Option<RoutingRevision>,
    ) {
        let active = self.active_document().filter(|_| newest > held);
        if let Some(active) = active
            && self.documents.borrow_mut().dissemination.needs_copy(self.now(), to, held)
        {
            let text = active.text.clone();
            self.mesh.send(to, &PeerMessage::Document { text, pass_on: Vec::new() });
        }
    }

    fn record_freshness(&self) {
        let is_fresh = self.is_fresh();
        let age = self.documents.borrow().proof_age(self.now());
        let age_ms = age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.metrics.proof_age.set(age_ms);
        let mut documents = self.documents.borrow_mut();
        if std::mem::replace(&mut documents.was_fresh, is_fresh) != is_fresh {
            self.document_changed.notify_waiters();
            self.line(EventKind::Freshness)
                .number("proof_age_ms", age_ms)
                .maybe("revision", documents.revision())
                .maybe("leader", self.leader_instance())
                .text("outcome", if is_fresh { "regained" } else { "lost" });
        }
    }

    /// Proposes an operator's document for the log and waits for the acknowledgement.
    ///
    /// A document whose revision is not higher than the newest document's is acknowledged and
    /// changes nothing, so that an operator can resend a document after a lost acknowledgement.
    ///
    /// # Errors
    ///
    /// Returns an error when the document is invalid, or when it is unknown whether it was
    /// accepted.
    pub async fn put_document(self: &Rc<Self>, body: Bytes) -> Result<RegisterOutcome, PutError> {
        let document = (self.dialect.decode_document)(&body);
        let checked = document.and_then(|document| document.check().map(|()| document.revision));
        let revision = match checked {
            Ok(revision) => revision,
            Err(problem) => {
                let line = self.line(EventKind::Document).text("outcome", "refused");
                line.text("reason", &problem).number("bytes", body.len());
                return Err(PutError::Invalid(problem));
            }
        };
        let text = RoutingText::pack(revision, &body);
        let time_limit = self.settings().bounds.acknowledge.mul_f64(ACKNOWLEDGE_TIMEOUT_RATIO);
        let begun = Instant::now();
        let deadline = begun + time_limit;
        let mut tries = 0;
        while Instant::now() < deadline {
            tries += 1;
            let left = self.settings().bounds.acknowledge.saturating_sub(begun.elapsed());
            let time_limit = left.min(PROPOSAL_TIMEOUT + self.proof_overhang());
            if let Some(outcome) = self.propose_once(&text, time_limit).await {
                self.line(EventKind::Document)
                    .number("revision", revision)
                    .number("bytes", body.len())
                    .number("tries", tries)
                    .maybe("leader", self.leader_instance())
                    .text("outcome", outcome_name(outcome));
                return Ok(outcome);
            }
            sleep(PROPOSAL_RETRY_DELAY).await;
        }
        self.line(EventKind::Document)
            .number("revision", revision)
            .number("tries", tries)
            .maybe("leader", self.leader_instance())
            .text("outcome", "not acknowledged");
        Err(PutError::Unavailable)
    }

    async fn propose_once(
        self: &Rc<Self>,
        text: &RoutingText,
        time_limit: Duration,
    ) -> Option<RegisterOutcome> {
        let leader = self.leader_instance()?;
        let text = text.clone();
        let reply = if leader == self.own {
            self.call(&self.own.clone(), time_limit, |token| {
                let proposer = Proposer { instance: self.own.clone(), token };
                self.propose_here(&text, &proposer);
                // The mesh drops messages to the daemon itself, so this is a placeholder.
                PeerMessage::Farewell
            })
            .await
        } else {
            let propose = |token| PeerMessage::Propose { token, text };
            tokio::select! {
                reply = self.call(&leader, time_limit, propose) => reply,
                () = self.wait_for_other_leader(&leader) => None,
            }
        };
        match reply {
            Some(PeerReply::Proposed(DocumentVerdict::Done(outcome))) => Some(outcome),
            _ => None,
        }
    }

    /// Waits until another daemon than `leader` leads the log.
    async fn wait_for_other_leader(&self, leader: &InstanceId) {
        loop {
            let changed = self.leader_changed.notified();
            if self.leader_instance().is_some_and(|other| other != *leader) {
                return;
            }
            changed.await;
        }
    }

    /// Proposes a document to the local replica, which is expected to lead.
    pub(crate) fn propose_here(self: &Rc<Self>, text: &RoutingText, proposer: &Proposer) {
        let now = self.now();
        let held = {
            let replica = self.replica.borrow();
            let state = replica.as_ref().and_then(|replica| replica.state_as_leader(now));
            state.and_then(|state| state.newest_document()).map(|newest| newest.revision)
        };
        if let Some(held) = held.filter(|held| *held >= text.revision) {
            self.acknowledge(proposer.clone(), RegisterOutcome::Superseded { held }, held);
            return;
        }
        let refused = match self.replica.borrow_mut().as_mut() {
            Some(replica) => {
                let command = LogCommand::Document(text.clone());
                replica.propose(&command, proposer.clone(), self.min_voters()).err()
            }
            None => Some(None),
        };
        match refused {
            Some(leader) => {
                self.answer_proposer(proposer, DocumentVerdict::NotLeader(leader));
            }
            None => self.step_replica(),
        }
    }

    fn answer_proposer(&self, proposer: &Proposer, verdict: DocumentVerdict) {
        if proposer.instance == self.own {
            self.answer_call(proposer.token, PeerReply::Proposed(verdict));
        } else {
            let token = proposer.token;
            self.mesh.send(&proposer.instance, &PeerMessage::ProposeAnswer { token, verdict });
        }
    }

    /// Reports the outcome of a command to its proposer.
    pub(crate) fn end_proposal(self: &Rc<Self>, proposer: Proposer, end: &ProposalEnd) {
        match *end {
            ProposalEnd::Lost => self.answer_proposer(&proposer, DocumentVerdict::Lost),
            ProposalEnd::Done(CommandOutcome::Drain(outcome)) => {
                self.answer_drain(&proposer, DrainVerdict::Done(outcome));
            }
            ProposalEnd::Done(CommandOutcome::Document(outcome, revision)) => {
                let newest = match outcome {
                    RegisterOutcome::Accepted => revision,
                    RegisterOutcome::Superseded { held } => held,
                };
                self.acknowledge(proposer, outcome, newest);
            }
        }
    }

    /// Acknowledges a proposal after which `revision` is committed.
    ///
    /// An accepted document is acknowledged once the reachable daemons have it in force or
    /// `CONFIRMATION_TIMEOUT` has passed. Every document, also one that was sent again, is
    /// acknowledged only once no daemon can decide by an older one when `revision` has to be in
    /// force. This does not cover requests that need no proof, as on public routes.
    fn acknowledge(
        self: &Rc<Self>,
        proposer: Proposer,
        outcome: RegisterOutcome,
        revision: RoutingRevision,
    ) {
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let begun = gateway.now();
            let mut waited_for = String::new();
            let known_since = gateway.documents.borrow().in_force_since(revision).unwrap_or(begun);
            if outcome == RegisterOutcome::Accepted {
                let everywhere = gateway.wait_until_in_force(revision);
                let _ = timeout(CONFIRMATION_TIMEOUT, everywhere).await;
            }
            if gateway.outdated_until(revision, known_since).is_some_and(|at| at > gateway.now()) {
                waited_for = gateway.unconfirmed_names(revision);
            }
            gateway.wait_for_outdated_proofs(revision, known_since).await;
            gateway
                .line(EventKind::Document)
                .number("revision", revision)
                .millis("waited_ms", gateway.now().since(begun))
                .text("waited_for", waited_for)
                .number("unconfirmed", gateway.unconfirmed_count(revision))
                .text("outcome", "acknowledged");
            gateway.answer_proposer(&proposer, DocumentVerdict::Done(outcome));
        });
    }

    /// Returns the names of some daemons that hold a proof and have not confirmed a revision, for the log.
    fn unconfirmed_names(&self, revision: RoutingRevision) -> String {
        let documents = self.documents.borrow();
        let names = documents.proofs.unconfirmed(revision).map(InstanceId::as_str);
        names.take(MAX_LOGGED_UNCONFIRMED).collect::<Vec<_>>().join(",")
    }

    /// Waits until each daemon has the revision in force, or loses its proof of an older one within
    /// `in_force` from now.
    async fn wait_for_outdated_proofs(
        &self,
        revision: RoutingRevision,
        known_since: MonotonicTime,
    ) {
        loop {
            let changed = self.document_changed.notified();
            let now = self.now();
            let until = self.outdated_until(revision, known_since).filter(|until| *until > now);
            let Some(until) = until else { return };
            let _ = timeout(until.since(now), changed).await;
        }
    }

    /// Waits until all daemons that were heard from recently have the revision in force.
    async fn wait_until_in_force(&self, revision: RoutingRevision) {
        loop {
            let changed = self.document_changed.notified();
            if self.unconfirmed_count(revision) == 0 {
                return;
            }
            changed.await;
        }
    }

    /// Returns the number of daemons that were heard from recently and have not confirmed that they
    /// have the revision in force.
    fn unconfirmed_count(&self, revision: RoutingRevision) -> usize {
        let is_hub = self.tier() == Tier::Hub;
        let documents = self.documents.borrow();
        let lacks = |instance: &InstanceId| !documents.proofs.is_in_force(instance, revision);
        let roster = self.roster.borrow();
        let near = roster.alive_within(self.now(), CONFIRMATION_MAX_SILENCE);
        let confirming = near.filter(|note| !is_hub || note.has_disk);
        confirming.filter(|note| lacks(&note.instance)).count()
    }

    /// Returns the newest document exactly as the operator sent it.
    ///
    /// # Errors
    ///
    /// Returns an error when it is uncertain which document is the newest.
    pub async fn read_document(&self) -> Result<Vec<u8>, ReadError> {
        let read = timeout(READ_TIMEOUT, self.read_newest()).await;
        let text = read.ok().flatten().ok_or(ReadError::Uncertain)?;
        text.unpack().map_err(|error| {
            self.line(EventKind::Document).text("outcome", "unreadable").text("reason", error);
            ReadError::Uncertain
        })
    }

    async fn read_newest(&self) -> Option<RoutingText> {
        let newest = loop {
            match self.query_newest().await {
                Some(FreshVerdict::Newest(newest, _)) => break newest?,
                _ => sleep(PROPOSAL_RETRY_DELAY).await,
            }
        };
        loop {
            let changed = self.document_changed.notified();
            let active = self.active_document().filter(|active| active.text.revision >= newest);
            if let Some(active) = active {
                return Some(active.text.clone());
            }
            changed.await;
        }
    }
}

fn outcome_name(outcome: RegisterOutcome) -> &'static str {
    match outcome {
        RegisterOutcome::Accepted => "accepted",
        RegisterOutcome::Superseded { .. } => "superseded",
    }
}

//! Routing documents: taking them into the log, having them in force, proving them current.

use std::collections::BTreeMap;
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
use crate::gossip::{DocumentSpread, RelayGroup, relay_groups};
use crate::home::HOME_PATIENCE;
use crate::hubs::Tier;
use crate::peers::{DocumentVerdict, DrainVerdict, FreshVerdict, PeerMessage};
use crate::replica::{CommandOutcome, LogCommand, ProposalEnd, Proposer};

/// Between two questions whether the document is current: several fit into the time that a key
/// may outlive its removal.
pub(crate) const PROVE_EVERY: Duration = Duration::from_millis(400);

/// The pause after a question that brought no proof.
const PROVE_AGAIN: Duration = Duration::from_millis(70);

/// The same for a leaf; longer, as many leaves ask the same hub.
const PROVE_AGAIN_AS_LEAF: Duration = Duration::from_millis(150);

/// How long the leader has to answer a question; then the next one is asked.
const ANSWER_PATIENCE: Duration = Duration::from_millis(700);

/// The part of the time that a key may outlive its removal in which a proof counts. The rest is
/// for the request to reach its endpoint and for the acknowledgement to have been under way.
const PROOF_SHARE: f64 = 0.8;

/// A daemon that has had no proof for this long is not named to callers any more, though it still
/// serves those that come: longer than an election, and early enough for most callers to go
/// elsewhere before the proof runs out.
const WELL_PROVED: Duration = Duration::from_millis(2_000);

/// The part of the time for an acknowledgement that is used before the operator is told to try
/// again.
pub(crate) const ACKNOWLEDGE_SHARE: f64 = 0.75;

/// The leader acknowledges a document at the latest this long after the log holds it, whoever
/// has not confirmed it; far below the time in which it has to be in force everywhere.
const CONFIRM_PATIENCE: Duration = Duration::from_millis(350);

/// A daemon that has not been heard for this long is not waited for.
const CONFIRMED_BY: Duration = Duration::from_millis(1_300);

/// The pause before a proposal is tried again.
pub(crate) const PROPOSE_AGAIN: Duration = Duration::from_millis(80);

/// How long one try of a proposal may take.
pub(crate) const PROPOSE_PATIENCE: Duration = Duration::from_millis(1_500);

/// How long a reader of the document is kept waiting before it is told to try again.
const READ_PATIENCE: Duration = Duration::from_millis(900);

/// The reason that a document was not acknowledged.
#[derive(Debug, Error)]
pub enum PutError {
    /// It is not valid.
    #[error(transparent)]
    Invalid(#[from] DocumentProblem),
    /// No majority of the voters could be reached in time.
    #[error("the document may or may not be taken over: no majority answered; send it again")]
    Unavailable,
}

/// The document could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// It is not certain which one is the newest.
    #[error("it is not certain which document is the newest; ask again, or ask another daemon")]
    Uncertain,
}

/// A document in force.
#[derive(Debug)]
pub(crate) struct ActiveDocument {
    pub(crate) text: RoutingText,
    pub(crate) table: RoutingTable,
}

/// What this daemon knows of documents.
#[derive(Debug, Default)]
pub(crate) struct DocumentState {
    active: Option<Rc<ActiveDocument>>,
    /// The latest moment at which the document in force is known to have been the newest.
    proved_at: Option<MonotonicTime>,
    /// A newer one exists: when that was asked, and its revision.
    awaited: Option<(MonotonicTime, RoutingRevision)>,
    was_fresh: bool,
    /// What the other daemons have in force, as they told the leader.
    in_force: BTreeMap<InstanceId, RoutingRevision>,
    /// What this daemon has sent of them as the leader.
    spread: DocumentSpread,
}

impl DocumentState {
    fn revision(&self) -> Option<RoutingRevision> {
        self.active.as_ref().map(|active| active.text.revision)
    }

    pub(crate) fn prove(&mut self, asked: MonotonicTime) {
        self.proved_at = self.proved_at.max(Some(asked));
    }

    /// Returns how old the proof is that the document in force is the newest.
    pub(crate) fn proof_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }
}

impl Gateway {
    /// Returns the document in force.
    pub(crate) fn active_document(&self) -> Option<Rc<ActiveDocument>> {
        self.documents.borrow().active.clone()
    }

    /// Returns whether the document was proved current so lately that callers may be sent here.
    pub(crate) fn has_recent_proof(&self) -> bool {
        self.proof_age().is_some_and(|age| age < WELL_PROVED)
    }

    /// Returns how old the proof is that the document in force is the newest.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.documents.borrow().proof_age(self.now())
    }

    /// Returns whether the document in force surely is no older than a removed key may work.
    pub(crate) fn is_fresh(&self) -> bool {
        let lifetime = self.settings().bounds.key_revoke.mul_f64(PROOF_SHARE);
        self.proof_age().is_some_and(|age| age < lifetime)
    }

    /// Takes a document over if it is newer than the one in force.
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
            // It was checked before it was proposed, by the same code.
            Err(reason) => {
                let line = self.line(EventKind::InForce).number("revision", text.revision);
                line.text("outcome", "refused").text("reason", reason);
                return;
            }
        };
        self.line(EventKind::InForce)
            .number("revision", text.revision)
            .maybe("before", held)
            .number("routes", table.route_count())
            .text("outcome", "taken over");
        self.metrics.revision.set(i64::try_from(text.revision.0).unwrap_or(i64::MAX));
        let revision = text.revision;
        {
            let mut documents = self.documents.borrow_mut();
            documents.active = Some(Rc::new(ActiveDocument { text, table }));
            let awaited = documents.awaited.take_if(|(_, awaited)| *awaited <= revision);
            if let Some((asked, _)) = awaited {
                documents.prove(asked);
            }
        }
        self.document_changed.notify_waiters();
        let tier = self.tier();
        if tier == Tier::Hub {
            let text = self.active_document().map(|active| active.text.clone());
            let copy = text.map(|text| PeerMessage::Document { text, pass_on: Vec::new() });
            copy.iter().for_each(|copy| self.mesh.send_all(&self.own_leaves(), copy));
        }
        let leader = self.leader_instance().filter(|leader| *leader != self.own);
        if let Some(leader) = leader.filter(|_| tier != Tier::Leaf) {
            self.mesh.send(&leader, &PeerMessage::InForce(revision));
        }
        self.refresh_readiness();
    }

    /// Sends a new document to all daemons in reach, as the leader.
    ///
    /// Its link carries answers to prompts as well, so it sends only to relays: 200 copies of 40 kB
    /// fill 100 Mbit/s for 0.6 s, in which no prompt is placed in time.
    pub(crate) fn spread_document(&self, text: &RoutingText) {
        let now = self.now();
        self.documents.borrow_mut().spread.begin(now, text.revision);
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

    /// Takes a document over that another daemon sent, and passes it on.
    pub(crate) fn on_document(&self, text: RoutingText, pass_on: &[InstanceId]) {
        if !pass_on.is_empty() {
            let copy = PeerMessage::Document { text: text.clone(), pass_on: Vec::new() };
            self.mesh.send_all(pass_on, &copy);
        }
        self.adopt_document(text);
    }

    /// Notes what another daemon has in force.
    pub(crate) fn note_in_force(&self, from: &InstanceId, revision: RoutingRevision) {
        let mut documents = self.documents.borrow_mut();
        let held = documents.in_force.entry(from.clone()).or_default();
        *held = revision.max(*held);
        drop(documents);
        self.document_changed.notify_waiters();
    }

    /// Asks the leader again and again whether the document in force is the newest.
    pub(crate) async fn refresh_proof_periodically(self: Rc<Self>) {
        loop {
            let is_answered = self.prove_once().await;
            self.note_freshness();
            self.refresh_readiness();
            // A new leader is asked at once, and again soon while it is not sure to lead yet.
            let pause = match (is_answered, self.tier()) {
                (true, _) => PROVE_EVERY,
                (false, Tier::Leaf) => PROVE_AGAIN_AS_LEAF,
                (false, _) => PROVE_AGAIN,
            };
            let _ = timeout(pause, self.leader_changed.notified()).await;
        }
    }

    /// Asks once; returns whether the leader was sure.
    async fn prove_once(&self) -> bool {
        if self.tier() == Tier::Leaf {
            return self.prove_by_hub().await;
        }
        let asked = self.now();
        let Some(FreshVerdict::Newest(newest, drains)) = self.ask_newest().await else {
            return false;
        };
        self.adopt_drains(&drains);
        self.prove_newest(asked, newest);
        true
    }

    /// Records `newest` as the newest revision at `at`.
    pub(crate) fn prove_newest(&self, at: MonotonicTime, newest: Option<RoutingRevision>) {
        let mut documents = self.documents.borrow_mut();
        match newest {
            Some(newest) if documents.revision() < Some(newest) => {
                documents.awaited = Some((at, newest));
            }
            Some(_) => documents.prove(at),
            // No document has ever been accepted, so there is nothing to be current.
            None => {}
        }
    }

    /// Returns the revision of the document in force.
    pub(crate) fn held_revision(&self) -> Option<RoutingRevision> {
        self.documents.borrow().revision()
    }

    /// Asks the leader which document is the newest.
    pub(crate) async fn ask_newest(&self) -> Option<FreshVerdict> {
        let leader = self.leader_instance()?;
        if leader == self.own {
            return Some(self.fresh_verdict());
        }
        let held = self.documents.borrow().revision();
        let question = |token| PeerMessage::FreshAsk { token, held };
        let mut call = std::pin::pin!(self.call(&leader, ANSWER_PATIENCE, question));
        // The leader is the home of the engines as well: this shows whether it answers in time
        // before a prompt has to wait for it.
        let reply = match timeout(HOME_PATIENCE, &mut call).await {
            Ok(reply) => {
                self.home_answered();
                reply
            }
            Err(_) => {
                self.home_missed();
                call.await
            }
        };
        match reply {
            Some(PeerReply::Fresh(verdict)) => Some(verdict),
            _ => None,
        }
    }

    /// Answers, as the leader, which document is the newest.
    pub(crate) fn fresh_verdict(&self) -> FreshVerdict {
        let replica = self.replica.borrow();
        match replica.as_ref().and_then(|replica| replica.state_as_leader(self.now())) {
            Some(state) => {
                let newest = state.newest_document().map(|text| text.revision);
                FreshVerdict::Newest(newest, state.drains().clone())
            }
            None => FreshVerdict::NotLeader,
        }
    }

    /// Answers another daemon's question, and sends it the newest document if it lacks that.
    pub(crate) fn on_fresh_ask(
        &self,
        from: &InstanceId,
        token: u64,
        held: Option<RoutingRevision>,
    ) {
        let verdict = self.fresh_verdict();
        if let FreshVerdict::Newest(newest, _) = verdict {
            if let Some(held) = held {
                self.note_in_force(from, held);
            }
            self.send_missing_document(from, newest, held);
        }
        self.mesh.send(from, &PeerMessage::FreshAnswer { token, verdict });
    }

    /// Sends the document in force to a daemon that holds an older revision than the newest one.
    pub(crate) fn send_missing_document(
        &self,
        to: &InstanceId,
        newest: Option<RoutingRevision>,
        held: Option<RoutingRevision>,
    ) {
        let active = self.active_document().filter(|_| newest > held);
        if let Some(active) = active
            && self.documents.borrow_mut().spread.needs_copy(self.now(), to, held)
        {
            let text = active.text.clone();
            self.mesh.send(to, &PeerMessage::Document { text, pass_on: Vec::new() });
        }
    }

    fn note_freshness(&self) {
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

    /// Takes an operator's document into the log.
    ///
    /// A document whose revision is not higher than the newest one's is acknowledged and changes
    /// nothing, so that one whose acknowledgement was lost can be sent again.
    ///
    /// # Errors
    ///
    /// Returns an error when the document is invalid, or when it may or may not have been taken
    /// over.
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
        let patience = self.settings().bounds.acknowledge.mul_f64(ACKNOWLEDGE_SHARE);
        let deadline = Instant::now() + patience;
        let mut tries = 0;
        while Instant::now() < deadline {
            tries += 1;
            if let Some(outcome) = self.propose_once(&text).await {
                self.line(EventKind::Document)
                    .number("revision", revision)
                    .number("bytes", body.len())
                    .number("tries", tries)
                    .maybe("leader", self.leader_instance())
                    .text("outcome", outcome_name(outcome));
                return Ok(outcome);
            }
            sleep(PROPOSE_AGAIN).await;
        }
        self.line(EventKind::Document)
            .number("revision", revision)
            .number("tries", tries)
            .maybe("leader", self.leader_instance())
            .text("outcome", "not acknowledged");
        Err(PutError::Unavailable)
    }

    async fn propose_once(self: &Rc<Self>, text: &RoutingText) -> Option<RegisterOutcome> {
        let leader = self.leader_instance()?;
        let text = text.clone();
        let reply = if leader == self.own {
            self.call(&self.own.clone(), PROPOSE_PATIENCE, |token| {
                let proposer = Proposer { instance: self.own.clone(), token };
                self.propose_here(&text, &proposer);
                // Nothing is sent to oneself.
                PeerMessage::Farewell
            })
            .await
        } else {
            self.call(&leader, PROPOSE_PATIENCE, |token| PeerMessage::Propose { token, text }).await
        };
        match reply {
            Some(PeerReply::Proposed(DocumentVerdict::Done(outcome))) => Some(outcome),
            _ => None,
        }
    }

    /// Proposes a document to the replica here, which should lead.
    pub(crate) fn propose_here(self: &Rc<Self>, text: &RoutingText, proposer: &Proposer) {
        let now = self.now();
        let held = {
            let replica = self.replica.borrow();
            let state = replica.as_ref().and_then(|replica| replica.state_as_leader(now));
            state.and_then(|state| state.newest_document()).map(|newest| newest.revision)
        };
        if let Some(held) = held.filter(|held| *held >= text.revision) {
            let verdict = DocumentVerdict::Done(RegisterOutcome::Superseded { held });
            self.answer_proposer(proposer, verdict);
            return;
        }
        let refused = match self.replica.borrow_mut().as_mut() {
            Some(replica) => {
                replica.propose(&LogCommand::Document(text.clone()), proposer.clone()).err()
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

    /// Reports the outcome of a command to its proposer; for an accepted document, once the
    /// reachable daemons have it in force or `CONFIRM_PATIENCE` has passed.
    pub(crate) fn end_proposal(self: &Rc<Self>, proposer: Proposer, end: &ProposalEnd) {
        match *end {
            ProposalEnd::Lost => self.answer_proposer(&proposer, DocumentVerdict::Lost),
            ProposalEnd::Done(CommandOutcome::Drain(outcome)) => {
                self.answer_drain(&proposer, DrainVerdict::Done(outcome));
            }
            ProposalEnd::Done(CommandOutcome::Document(outcome, revision)) => {
                let gateway = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    if outcome == RegisterOutcome::Accepted {
                        let everywhere = gateway.until_in_force(revision);
                        // Those that have not confirmed in time are refused callers with keys
                        // before the document has to be in force.
                        let _ = timeout(CONFIRM_PATIENCE, everywhere).await;
                    }
                    gateway.answer_proposer(&proposer, DocumentVerdict::Done(outcome));
                });
            }
        }
    }

    async fn until_in_force(&self, revision: RoutingRevision) {
        loop {
            let changed = self.document_changed.notified();
            let is_hub = self.tier() == Tier::Hub;
            let all = {
                let documents = self.documents.borrow();
                let has = |instance: &InstanceId| {
                    documents.in_force.get(instance).is_some_and(|held| *held >= revision)
                };
                let roster = self.roster.borrow();
                let near = roster.heard_within(self.now(), CONFIRMED_BY);
                let mut confirming = near.filter(|note| !is_hub || note.has_disk);
                confirming.all(|note| has(&note.instance))
            };
            if all {
                return;
            }
            changed.await;
        }
    }

    /// Reads the newest document, as its operator sent it.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not certain which one is the newest.
    pub async fn read_document(&self) -> Result<Vec<u8>, ReadError> {
        let read = timeout(READ_PATIENCE, self.read_newest()).await;
        let text = read.ok().flatten().ok_or(ReadError::Uncertain)?;
        text.unpack().map_err(|error| {
            self.line(EventKind::Document).text("outcome", "unreadable").text("reason", error);
            ReadError::Uncertain
        })
    }

    async fn read_newest(&self) -> Option<RoutingText> {
        let newest = loop {
            match self.ask_newest().await {
                Some(FreshVerdict::Newest(newest, _)) => break newest?,
                _ => sleep(PROPOSE_AGAIN).await,
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

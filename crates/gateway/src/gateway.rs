//! The gateway: everything that the event loop's tasks share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_routing::DrainRegister;
use oriolepass_settings::GatewaySettings;
use oriolepass_units::{InstanceId, LeaderTerm, MonotonicTime};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::timeout;

use crate::announce::SkippedReport;
use crate::balancer::EndpointBalancer;
use crate::budget::{BudgetRule, RetryBudget};
use crate::clock::ProcessClock;
use crate::dialect::WireDialect;
use crate::documents::DocumentState;
use crate::endpoints::EndpointRegistry;
use crate::events::{EventKind, EventLine, EventLog};
use crate::founding::FoundingSurvey;
use crate::home::HomeState;
use crate::hubs::TierState;
use crate::lifecycle::Lifecycle;
use crate::metrics::GatewayMetrics;
use crate::peer_changes::PeerChanges;
use crate::peers::{
    DocumentVerdict, DrainVerdict, FreshVerdict, HubStatus, PeerMesh, PeerMessage, PlaceVerdict,
};
use crate::quarantine::QuarantineState;
use crate::replica::ReplicaDriver;
use crate::roster::{DaemonNote, DaemonRoster};

/// An answer from another daemon.
pub(crate) enum PeerReply {
    Fresh(FreshVerdict),
    Proposed(DocumentVerdict),
    Drained(DrainVerdict),
    Placed(PlaceVerdict),
    SilenceExpected(bool),
    Hub(HubStatus),
    Repeat(bool),
}

/// What the event loop's tasks share. Each part is borrowed for the length of a call only, never
/// across an await.
pub struct Gateway {
    pub(crate) settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) dialect: WireDialect,
    pub(crate) clock: ProcessClock,
    pub(crate) log: EventLog,
    pub(crate) metrics: GatewayMetrics,
    /// This daemon's name among the others: the address at which they reach it.
    pub(crate) own: InstanceId,
    /// Drawn at the start of the process.
    pub(crate) boot: u64,
    pub(crate) mesh: Rc<PeerMesh>,
    pub(crate) roster: RefCell<DaemonRoster>,
    /// Since when what was sent to daemons whose links are down may be lost.
    pub(crate) links_lost: RefCell<HashMap<InstanceId, MonotonicTime>>,
    /// Changes of links and daemons that no line has told yet.
    pub(crate) peer_changes: RefCell<PeerChanges>,
    /// What this daemon said of itself last.
    pub(crate) last_note: RefCell<Option<DaemonNote>>,
    /// The edition of what it greeted the others with last.
    pub(crate) greeted_edition: Cell<u32>,
    pub(crate) replica: RefCell<Option<ReplicaDriver>>,
    pub(crate) tier: RefCell<TierState>,
    pub(crate) survey: RefCell<FoundingSurvey>,
    pub(crate) leader: RefCell<Option<(LeaderTerm, InstanceId)>>,
    pub(crate) documents: RefCell<DocumentState>,
    pub(crate) drains: RefCell<DrainRegister>,
    pub(crate) document_changed: Notify,
    pub(crate) leader_changed: Notify,
    /// Notified when a hub queues endpoint changes for its leaves.
    pub(crate) leaf_changes_queued: Notify,
    pub(crate) endpoints: RefCell<EndpointRegistry>,
    pub(crate) skipped: Cell<SkippedReport>,
    pub(crate) balancer: RefCell<EndpointBalancer>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) home: RefCell<HomeState>,
    pub(crate) quarantine: RefCell<QuarantineState>,
    pub(crate) lifecycle: watch::Sender<Lifecycle>,
    /// When this daemon was asked to end.
    pub(crate) draining_since: Cell<Option<MonotonicTime>>,
    pub(crate) was_ready: Cell<bool>,
    /// The time in suspension that is noticed.
    pub(crate) suspended: Cell<Duration>,
    pub(crate) active_requests: Cell<u64>,
    pub(crate) buffered_bytes: Cell<usize>,
    calls: RefCell<HashMap<u64, oneshot::Sender<PeerReply>>>,
    /// How many links to each daemon there have been.
    links_made: RefCell<HashMap<InstanceId, u64>>,
    link_up: Notify,
    next_number: Cell<u64>,
}

impl Gateway {
    /// Creates a gateway that does nothing yet.
    pub(crate) fn new(settings: GatewaySettings, dialect: WireDialect, log: EventLog) -> Rc<Self> {
        Self::with_clock(settings, dialect, log, ProcessClock::start())
    }

    /// Creates a gateway that goes by a clock.
    pub(crate) fn with_clock(
        settings: GatewaySettings,
        dialect: WireDialect,
        log: EventLog,
        clock: ProcessClock,
    ) -> Rc<Self> {
        let peers = settings.listen.peers;
        let own: InstanceId =
            peers.to_string().parse().expect("an address is made of an id's characters");
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            clock,
            log,
            metrics: GatewayMetrics::new(),
            boot: rand::random::<u64>() >> 12,
            mesh: PeerMesh::new(own.clone(), peers.ip()),
            own,
            roster: RefCell::default(),
            links_lost: RefCell::default(),
            peer_changes: RefCell::default(),
            last_note: RefCell::default(),
            greeted_edition: Cell::new(0),
            replica: RefCell::new(None),
            tier: RefCell::default(),
            survey: RefCell::new(FoundingSurvey::new(clock.now())),
            leader: RefCell::new(None),
            documents: RefCell::default(),
            drains: RefCell::default(),
            document_changed: Notify::new(),
            leader_changed: Notify::new(),
            leaf_changes_queued: Notify::new(),
            endpoints: RefCell::default(),
            skipped: Cell::default(),
            balancer: RefCell::default(),
            budget: RefCell::default(),
            home: RefCell::default(),
            quarantine: RefCell::default(),
            lifecycle: watch::Sender::new(Lifecycle::Serving),
            draining_since: Cell::new(None),
            was_ready: Cell::new(false),
            suspended: Cell::new(Duration::ZERO),
            active_requests: Cell::new(0),
            buffered_bytes: Cell::new(0),
            calls: RefCell::default(),
            links_made: RefCell::default(),
            link_up: Notify::new(),
            next_number: Cell::new(1),
        })
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the log of this process.
    pub fn log(&self) -> &EventLog {
        &self.log
    }

    pub(crate) fn line(&self, kind: EventKind) -> EventLine<'_> {
        self.log.line(kind)
    }

    /// Returns a number that this process has not used yet.
    pub(crate) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    pub(crate) fn budget_rule(&self) -> BudgetRule {
        let bounds = &self.settings().bounds;
        BudgetRule {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        }
    }

    /// Asks another daemon and waits for its answer.
    pub(crate) async fn call(
        &self,
        to: &InstanceId,
        patience: Duration,
        question: impl FnOnce(u64) -> PeerMessage,
    ) -> Option<PeerReply> {
        let token = self.next_number();
        let (reply, answer) = oneshot::channel();
        self.calls.borrow_mut().insert(token, reply);
        let question = question(token);
        let answer = timeout(patience, self.ask_again_on_new_link(to, &question, answer)).await;
        self.calls.borrow_mut().remove(&token);
        answer.ok()?
    }

    /// Asks, and asks once more on each new link: the question, or its answer, may have been lost
    /// with the one before.
    async fn ask_again_on_new_link(
        &self,
        to: &InstanceId,
        question: &PeerMessage,
        mut answer: oneshot::Receiver<PeerReply>,
    ) -> Option<PeerReply> {
        let mut links = self.links_made(to);
        self.mesh.send(to, question);
        loop {
            let link_up = self.link_up.notified();
            tokio::select! {
                answer = &mut answer => return answer.ok(),
                () = link_up => {}
            }
            let made = self.links_made(to);
            // The first link of all carries what waited for it.
            if links > 0 && made > links {
                self.mesh.send(to, question);
            }
            links = made;
        }
    }

    fn links_made(&self, to: &InstanceId) -> u64 {
        self.links_made.borrow().get(to).copied().unwrap_or(0)
    }

    /// Forgets what is known of the links to a daemon.
    pub(crate) fn forget_links(&self, to: &InstanceId) {
        self.mesh.forget(to);
        self.links_lost.borrow_mut().remove(to);
        self.links_made.borrow_mut().remove(to);
    }

    /// Notes that a new link to a daemon is up.
    pub(crate) fn record_link_up(&self, to: &InstanceId) {
        *self.links_made.borrow_mut().entry(to.clone()).or_default() += 1;
        self.link_up.notify_waiters();
    }

    /// Hands an answer to whoever waits for it, if somebody still does.
    pub(crate) fn answer_call(&self, token: u64, reply: PeerReply) {
        if let Some(waiter) = self.calls.borrow_mut().remove(&token) {
            let _ = waiter.send(reply);
        }
    }

    /// Returns whether this daemon leads the log, as far as it knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.leader.borrow().as_ref().is_some_and(|(_, leader)| *leader == self.own)
    }

    pub(crate) fn leader_instance(&self) -> Option<InstanceId> {
        self.leader.borrow().as_ref().map(|(_, leader)| leader.clone())
    }
}

//! The state that the tasks of the event loop share, and calls to other daemons.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_limits::PermitVerdict;
use oriolepass_routing::DrainRegister;
use oriolepass_settings::GatewaySettings;
use oriolepass_units::{InstanceId, LeaderTerm, MonotonicTime};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::timeout;

use crate::announce::SkippedReport;
use crate::balancer::EndpointBalancer;
use crate::broken_runs::BrokenRuns;
use crate::budget::{BudgetRule, ProcessStart, RetryBudget};
use crate::clock::ProcessClock;
use crate::dialect::WireDialect;
use crate::documents::DocumentState;
use crate::endpoints::EndpointRegistry;
use crate::events::{EventKind, EventLine, EventLog};
use crate::fact_queue::FactQueue;
use crate::front::ends::PendingEnds;
use crate::front::helpers::HelperChecks;
use crate::held_bytes::HeldLedger;
use crate::home::HomeState;
use crate::hubs::TierState;
use crate::lifecycle::Lifecycle;
use crate::limits::LimitState;
use crate::loop_delay::RecentDelays;
use crate::metrics::GatewayMetrics;
use crate::paths::EndpointPaths;
use crate::peer_changes::PeerChanges;
use crate::peers::{
    DocumentVerdict, DrainVerdict, FreshVerdict, HubStatus, PeerMesh, PeerMessage, PlaceVerdict,
};
use crate::quarantine::QuarantineState;
use crate::replica::{LeaderWatch, ReplicaDriver};
use crate::rests::RestState;
use crate::roster::{DaemonNote, DaemonRoster};
use crate::second_sends::SecondSendState;
use crate::voter_watch::VoterWatch;

/// Another daemon's answer to a call.
pub(crate) enum PeerReply {
    Fresh(FreshVerdict),
    Proposed(DocumentVerdict),
    Drained(DrainVerdict),
    Placed(PlaceVerdict),
    SilenceExpected(bool),
    Hub(HubStatus),
    Repeat(bool),
    Permit(PermitVerdict),
    SecondSend(bool),
}

/// The number of bits after the boot number in a call's token. A process with more calls goes on into
/// the tokens of the next boot number, which hardly any other process has.
const BOOT_SHIFT: u32 = 12;

/// The state that the tasks of the event loop share. Each part is borrowed only for the duration of
/// a function call, never across an await.
pub struct Gateway {
    pub(crate) settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) dialect: WireDialect,
    pub(crate) clock: ProcessClock,
    pub(crate) log: EventLog,
    pub(crate) metrics: GatewayMetrics,
    /// This daemon's id in the cluster: the address at which other daemons reach it.
    pub(crate) own: InstanceId,
    /// A random number that identifies this start of the process.
    pub(crate) boot: u64,
    pub(crate) mesh: Rc<PeerMesh>,
    pub(crate) roster: RefCell<DaemonRoster>,
    /// For each daemon whose link is down, the time since which messages to it may have been lost.
    pub(crate) links_lost: RefCell<HashMap<InstanceId, MonotonicTime>>,
    /// Changes of links and daemons that have not been logged yet.
    pub(crate) peer_changes: RefCell<PeerChanges>,
    /// The note that this daemon last sent about itself.
    pub(crate) last_note: RefCell<Option<DaemonNote>>,
    /// The edition of the note in the last greeting to other daemons.
    pub(crate) greeted_edition: Cell<u32>,
    pub(crate) replica: RefCell<Option<ReplicaDriver>>,
    pub(crate) tier: RefCell<TierState>,
    /// When it is due to log that the replica waits for its start.
    pub(crate) start_watch: RefCell<LeaderWatch>,
    pub(crate) voter_watch: RefCell<VoterWatch>,
    pub(crate) leader: RefCell<Option<(LeaderTerm, InstanceId)>>,
    /// The time since which `leader` has its value.
    pub(crate) leader_since: Cell<MonotonicTime>,
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
    /// Whether it is known if this process takes part in the first start of the whole system.
    pub(crate) is_start_judged: Cell<bool>,
    pub(crate) limits: RefCell<LimitState>,
    pub(crate) second_sends: RefCell<SecondSendState>,
    pub(crate) rests: RefCell<RestState>,
    /// The paths from this daemon to endpoints.
    pub(crate) paths: RefCell<EndpointPaths>,
    /// When each daemon last failed to open a tunnel for this one.
    pub(crate) tunnel_failures: RefCell<HashMap<InstanceId, MonotonicTime>>,
    /// The number of tunnels of other daemons through this one.
    pub(crate) open_tunnels: Cell<u32>,
    pub(crate) home: RefCell<HomeState>,
    pub(crate) quarantine: RefCell<QuarantineState>,
    /// Notified when the quarantine table has new facts, or is due to be reviewed.
    pub(crate) quarantine_changed: Notify,
    /// The facts for other daemons that have not been sent yet.
    pub(crate) fact_queue: RefCell<FactQueue>,
    pub(crate) facts_queued: Notify,
    pub(crate) pending_ends: RefCell<PendingEnds>,
    pub(crate) helper_checks: RefCell<HelperChecks>,
    pub(crate) broken_runs: RefCell<BrokenRuns>,
    pub(crate) lifecycle: watch::Sender<Lifecycle>,
    /// When this daemon was asked to shut down.
    pub(crate) draining_since: Cell<Option<MonotonicTime>>,
    pub(crate) was_ready: Cell<bool>,
    /// Whether this process has been ready since its start.
    pub(crate) has_been_ready: Cell<bool>,
    /// The total time of suspension that has been recorded.
    pub(crate) suspended: Cell<Duration>,
    pub(crate) loop_delays: RecentDelays,
    pub(crate) active_requests: Cell<u64>,
    /// The number of callers' connections to which an answer is not written completely.
    pub(crate) unwritten_answers: Cell<u64>,
    pub(crate) held: RefCell<HeldLedger>,
    pub(crate) pending_calls: RefCell<HashMap<u64, oneshot::Sender<PeerReply>>>,
    /// The number of links to each daemon that have come up so far.
    link_counts: RefCell<HashMap<InstanceId, u64>>,
    link_up: Notify,
    next_number: Cell<u64>,
    next_call_token: Cell<u64>,
}

/// Removes a call from the pending ones when it ends or its caller no longer waits for it.
struct PendingCall<'a> {
    gateway: &'a Gateway,
    token: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.gateway.pending_calls.borrow_mut().remove(&self.token);
    }
}

impl Gateway {
    /// Creates a gateway without starting its tasks.
    pub(crate) fn new(settings: GatewaySettings, dialect: WireDialect, log: EventLog) -> Rc<Self> {
        Self::with_clock(settings, dialect, log, ProcessClock::start())
    }

    /// Creates a gateway that uses the given clock.
    pub(crate) fn with_clock(
        settings: GatewaySettings,
        dialect: WireDialect,
        log: EventLog,
        clock: ProcessClock,
    ) -> Rc<Self> {
        let peers = settings.listen.peers;
        let own: InstanceId = peers
            .to_string()
            .parse()
            .expect("an address consists of characters that an id may have");
        let is_start_judged = Cell::new(!settings.seeds.may_found);
        // The start counts as a later one until there is evidence of the contrary.
        let budget = RetryBudget::new(clock.now(), ProcessStart::Later);
        let boot = rand::random::<u64>() >> BOOT_SHIFT;
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            clock,
            log,
            metrics: GatewayMetrics::new(),
            boot,
            mesh: PeerMesh::new(own.clone(), peers.ip()),
            own,
            roster: RefCell::default(),
            links_lost: RefCell::default(),
            peer_changes: RefCell::default(),
            last_note: RefCell::default(),
            greeted_edition: Cell::new(0),
            replica: RefCell::new(None),
            tier: RefCell::default(),
            start_watch: RefCell::default(),
            voter_watch: RefCell::default(),
            leader: RefCell::new(None),
            leader_since: Cell::new(clock.now()),
            documents: RefCell::new(DocumentState::new(clock.now())),
            drains: RefCell::default(),
            document_changed: Notify::new(),
            leader_changed: Notify::new(),
            leaf_changes_queued: Notify::new(),
            endpoints: RefCell::default(),
            skipped: Cell::default(),
            balancer: RefCell::default(),
            budget: RefCell::new(budget),
            is_start_judged,
            limits: RefCell::default(),
            second_sends: RefCell::default(),
            rests: RefCell::default(),
            paths: RefCell::default(),
            tunnel_failures: RefCell::default(),
            open_tunnels: Cell::new(0),
            home: RefCell::default(),
            quarantine: RefCell::new(QuarantineState::new()),
            quarantine_changed: Notify::new(),
            fact_queue: RefCell::default(),
            facts_queued: Notify::new(),
            pending_ends: RefCell::default(),
            helper_checks: RefCell::default(),
            broken_runs: RefCell::default(),
            lifecycle: watch::Sender::new(Lifecycle::Serving),
            draining_since: Cell::new(None),
            was_ready: Cell::new(false),
            has_been_ready: Cell::new(false),
            suspended: Cell::new(Duration::ZERO),
            loop_delays: RecentDelays::default(),
            active_requests: Cell::new(0),
            unwritten_answers: Cell::new(0),
            held: RefCell::default(),
            pending_calls: RefCell::default(),
            link_counts: RefCell::default(),
            link_up: Notify::new(),
            next_number: Cell::new(1),
            next_call_token: Cell::new(boot << BOOT_SHIFT),
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

    /// Returns the next number of a sequence that is unique within this process.
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

    /// Returns the token of a new call. The answer may arrive at the next process of this daemon, so
    /// the tokens of a process begin with its boot number.
    fn next_call_token(&self) -> u64 {
        let token = self.next_call_token.get();
        self.next_call_token.set(token.wrapping_add(1));
        token
    }

    /// Sends a request to another daemon and waits for its answer, for at most `max_wait`.
    ///
    /// `request` builds the message from the token that the answer repeats.
    pub(crate) async fn call(
        &self,
        to: &InstanceId,
        max_wait: Duration,
        request: impl FnOnce(u64) -> PeerMessage,
    ) -> Option<PeerReply> {
        let token = self.next_call_token();
        let (reply, answer) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(token, reply);
        let _pending = PendingCall { gateway: self, token };
        let request = request(token);
        timeout(max_wait, self.send_on_each_link(to, &request, answer)).await.ok()?
    }

    /// Sends a request, and sends it again on each new link until the answer arrives: the request
    /// or its answer may have been lost with the previous link.
    async fn send_on_each_link(
        &self,
        to: &InstanceId,
        request: &PeerMessage,
        mut answer: oneshot::Receiver<PeerReply>,
    ) -> Option<PeerReply> {
        let mut previous_count = self.link_count(to);
        self.mesh.send(to, request);
        loop {
            let link_up = self.link_up.notified();
            tokio::select! {
                answer = &mut answer => return answer.ok(),
                () = link_up => {}
            }
            let count = self.link_count(to);
            // The mesh queues messages until the first link is up and sends them on it.
            if previous_count > 0 && count > previous_count {
                self.mesh.send(to, request);
            }
            previous_count = count;
        }
    }

    fn link_count(&self, to: &InstanceId) -> u64 {
        self.link_counts.borrow().get(to).copied().unwrap_or(0)
    }

    /// Removes the state of the links to a daemon.
    pub(crate) fn remove_links(&self, to: &InstanceId) {
        self.mesh.close_link(to);
        self.links_lost.borrow_mut().remove(to);
        self.link_counts.borrow_mut().remove(to);
    }

    /// Records that a new link to a daemon is up.
    pub(crate) fn record_link_up(&self, to: &InstanceId) {
        *self.link_counts.borrow_mut().entry(to.clone()).or_default() += 1;
        self.link_up.notify_waiters();
    }

    /// Passes an answer to the call that waits for it, if that has not timed out.
    pub(crate) fn answer_call(&self, token: u64, reply: PeerReply) {
        if let Some(waiter) = self.pending_calls.borrow_mut().remove(&token) {
            let _ = waiter.send(reply);
        }
    }

    /// Returns whether this daemon is the leader of the log, as far as it knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.leader.borrow().as_ref().is_some_and(|(_, leader)| *leader == self.own)
    }

    pub(crate) fn leader_instance(&self) -> Option<InstanceId> {
        self.leader.borrow().as_ref().map(|(_, leader)| leader.clone())
    }
}

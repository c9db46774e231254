//! Endpoint announcements: heartbeats, departures and faults, and their distribution to the other
//! daemons.

use std::rc::Rc;
use std::time::Duration;

use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};
use tokio::time::sleep;

use crate::balancer::FaultKind;
use crate::endpoints::{BeatChange, EndpointBeat, EndpointNotice, EndpointPhase};
use crate::events::EventKind;
use crate::fact_queue::FactSource;
use crate::gateway::Gateway;
use crate::gossip::{HeartbeatRoute, heartbeat_route};
use crate::hubs::Tier;
use crate::paths::PathChange;
use crate::peers::PeerMessage;

/// The interval at which heartbeats are forwarded in one batch. Changes are forwarded at once.
pub(crate) const HEARTBEAT_FORWARD_INTERVAL: Duration = Duration::from_millis(500);

/// The number of heartbeat intervals without a heartbeat after which an endpoint is removed.
const EXPIRY_HEARTBEATS: u32 = 12;

/// The state that limits the log lines about skipped entries.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SkippedReport {
    /// When the last line was written.
    last_logged: Option<MonotonicTime>,
    /// The number of entries skipped since the last line.
    unreported: u64,
}

/// The minimum interval between two log lines about skipped entries.
const SKIPPED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of endpoints listed in one log line.
const MAX_LISTED_ENDPOINTS: usize = 8;

/// The maximum length in characters of a logged reason; a reason may quote text from an external
/// source.
const MAX_REASON_CHARS: usize = 160;

impl Gateway {
    /// Records an endpoint's heartbeat, and sends a change to the other daemons at once.
    pub fn endpoint_beat(&self, beat: EndpointBeat) {
        let now = self.now();
        let endpoint = beat.endpoint.clone();
        let age = self.max_beat_age(&endpoint, Duration::ZERO);
        let change = self.endpoints.borrow_mut().apply_heartbeat(now, beat.clone(), age);
        match change {
            BeatChange::Met | BeatChange::Changed => {
                self.log_endpoint(&beat, change, None);
                let notice = EndpointNotice { beat, age };
                self.publish_endpoint_changes(vec![notice], Vec::new());
                self.endpoints_changed();
            }
            BeatChange::Refreshed => {
                self.home.borrow_mut().direct_beats.insert(endpoint);
            }
            BeatChange::Stale => {}
        }
    }

    /// Returns the greatest age of a heartbeat that is read now and was `stated` old when it was sent on.
    ///
    /// The first heartbeat of a start is no sign of life after a crash, so it has the stated age.
    fn max_beat_age(&self, endpoint: &EndpointStart, stated: Duration) -> Duration {
        let is_known = self.endpoints.borrow().is_known(endpoint);
        if is_known { stated + self.max_reading_delay() } else { stated }
    }

    /// Removes an endpoint that announced its departure.
    ///
    /// Without a start time in `endpoint`, the known start is removed.
    pub fn remove_endpoint(&self, endpoint: &EndpointStart) {
        let departed = self.endpoints.borrow_mut().leave(endpoint);
        if let Some(departed) = departed {
            self.line(EventKind::Endpoint).text("endpoint", &departed).text("outcome", "left");
            self.publish_endpoint_changes(Vec::new(), vec![departed]);
            self.endpoints_changed();
        }
    }

    /// Records that an endpoint has stated in an answer that it leaves, and reports it to the other
    /// daemons.
    pub(crate) fn endpoint_leaving(&self, endpoint: &EndpointStart) {
        let notice = self.endpoints.borrow_mut().record_leaving(self.now(), endpoint);
        let Some(notice) = notice else { return };
        self.line(EventKind::Endpoint).text("endpoint", endpoint).text("outcome", "leaving");
        self.publish_endpoint_changes(vec![notice], Vec::new());
        self.endpoints_changed();
    }

    pub(crate) fn on_endpoint_notices(&self, from: &InstanceId, notices: Vec<EndpointNotice>) {
        let now = self.now();
        let tier = self.tier();
        let is_from_leaf = tier == Tier::Hub && !self.roster.borrow().is_hub(from);
        let mut changed = Vec::new();
        for mut notice in notices {
            notice.age = self.max_beat_age(&notice.beat.endpoint, notice.age);
            let change =
                self.endpoints.borrow_mut().apply_heartbeat(now, notice.beat.clone(), notice.age);
            if matches!(change, BeatChange::Met | BeatChange::Changed) {
                if tier != Tier::Leaf {
                    self.log_endpoint(&notice.beat, change, Some(from));
                }
                changed.push(notice);
            } else if is_from_leaf && change == BeatChange::Refreshed {
                self.home.borrow_mut().direct_beats.insert(notice.beat.endpoint);
            }
        }
        if changed.is_empty() {
            return;
        }
        if tier == Tier::Leaf {
            self.log_endpoint_changes(
                from,
                changed.iter().map(|notice| &notice.beat.endpoint),
                "changed",
            );
        }
        self.forward_endpoint_changes(from, changed, Vec::new());
        self.endpoints_changed();
    }

    pub(crate) fn on_endpoints_left(&self, from: &InstanceId, endpoints: &[EndpointStart]) {
        let departed: Vec<EndpointStart> = {
            let mut registry = self.endpoints.borrow_mut();
            endpoints.iter().filter_map(|endpoint| registry.leave(endpoint)).collect()
        };
        if departed.is_empty() {
            return;
        }
        if self.tier() == Tier::Leaf {
            self.log_endpoint_changes(from, departed.iter(), "left");
        } else {
            for endpoint in &departed {
                let line = self.line(EventKind::Endpoint).text("endpoint", endpoint);
                line.text("told_by", from).text("outcome", "left");
            }
        }
        self.forward_endpoint_changes(from, Vec::new(), departed);
        self.endpoints_changed();
    }

    /// Logs a batch of endpoint changes in one line, which limits the log volume of a leaf.
    fn log_endpoint_changes<'a>(
        &self,
        from: &InstanceId,
        endpoints: impl Iterator<Item = &'a EndpointStart>,
        outcome: &str,
    ) {
        let names: Vec<String> = endpoints.map(ToString::to_string).collect();
        self.line(EventKind::Endpoints)
            .text("told_by", from)
            .number("count", names.len())
            .text("first", names[..names.len().min(MAX_LISTED_ENDPOINTS)].join(","))
            .text("outcome", outcome);
    }

    /// Logs and counts an entry that cannot be read. Such an entry names no usable endpoint; the
    /// other entries remain valid.
    pub fn entry_skipped(&self, endpoint: &str, reason: &str) {
        self.metrics.skipped_entries.inc();
        let now = self.now();
        let SkippedReport { last_logged, unreported } = self.skipped.get();
        if last_logged.is_some_and(|at| now.since(at) < SKIPPED_LOG_INTERVAL) {
            self.skipped.set(SkippedReport { last_logged, unreported: unreported + 1 });
            return;
        }
        self.skipped.set(SkippedReport { last_logged: Some(now), unreported: 0 });
        self.line(EventKind::Endpoint)
            .text("endpoint", endpoint)
            .text("reason", reason.chars().take(MAX_REASON_CHARS).collect::<String>())
            .number("not_reported", unreported)
            .text("outcome", "skipped");
    }

    /// Removes an endpoint at whose address another process answers, until a later heartbeat.
    ///
    /// The other daemons are not told: it is no departure that the endpoint has announced, and they
    /// find out by themselves.
    pub(crate) fn endpoint_replaced(&self, endpoint: &EndpointStart) {
        if self.endpoints.borrow_mut().record_replaced(endpoint) {
            let line = self.line(EventKind::Endpoint).text("endpoint", endpoint);
            line.text("outcome", "replaced");
            self.endpoints_changed();
        }
    }

    fn log_endpoint(&self, beat: &EndpointBeat, change: BeatChange, from: Option<&InstanceId>) {
        let phase = match beat.phase {
            EndpointPhase::Serving => "serving",
            EndpointPhase::Draining => "draining",
        };
        self.line(EventKind::Endpoint)
            .text("endpoint", &beat.endpoint)
            .text("service", &beat.service)
            .text("address", beat.address)
            .number("sequence", beat.sequence)
            .text("phase", phase)
            .maybe("told_by", from)
            .text("outcome", if change == BeatChange::Met { "met" } else { "changed" });
    }

    /// Sends changes that endpoints announced to this daemon; a hub queues them for its leaves.
    fn publish_endpoint_changes(&self, notices: Vec<EndpointNotice>, left: Vec<EndpointStart>) {
        let to = match self.tier() {
            Tier::Mesh | Tier::Leaf => self.broadcast_targets(),
            Tier::Hub => self.other_hubs(),
        };
        self.send_endpoint_changes(&to, &notices, &left);
        self.queue_leaf_changes(notices, left);
    }

    /// Forwards endpoint changes received from another daemon; a hub queues them for its leaves.
    fn forward_endpoint_changes(
        &self,
        from: &InstanceId,
        notices: Vec<EndpointNotice>,
        left: Vec<EndpointStart>,
    ) {
        let to = match self.tier() {
            Tier::Mesh | Tier::Leaf => self.forward_targets(from),
            Tier::Hub if self.roster.borrow().is_hub(from) => Vec::new(),
            Tier::Hub => self.other_hubs(),
        };
        self.send_endpoint_changes(&to, &notices, &left);
        self.queue_leaf_changes(notices, left);
    }

    /// Sends endpoint changes to the given daemons at once.
    pub(crate) fn send_endpoint_changes(
        &self,
        to: &[InstanceId],
        notices: &[EndpointNotice],
        left: &[EndpointStart],
    ) {
        if !notices.is_empty() {
            self.mesh.send_all(to, &PeerMessage::Endpoints(notices.to_vec()));
        }
        if !left.is_empty() {
            self.mesh.send_all(to, &PeerMessage::EndpointsLeft(left.to_vec()));
        }
    }

    /// Forwards heartbeats, and removes endpoints that have been silent for too long.
    pub(crate) async fn forward_heartbeats_periodically(self: Rc<Self>) {
        let mut round = 0_u64;
        loop {
            sleep(HEARTBEAT_FORWARD_INTERVAL).await;
            let now = self.now();
            let direct = std::mem::take(&mut self.home.borrow_mut().direct_beats);
            let notices = self.endpoints.borrow().notices_of(now, &direct);
            if !notices.is_empty() {
                self.forward_heartbeats(notices, round);
            }
            round += 1;
            self.expire_endpoints(now);
            self.report_delayed_limits();
            self.expire_rests();
        }
    }

    /// Forwards heartbeats to other daemons.
    ///
    /// In a large mesh, one daemon of each other data centre receives and relays them. Without
    /// relays, heartbeats are the largest part of the traffic between 200 daemons: 60 of 216 MB in
    /// a minute under load.
    fn forward_heartbeats(&self, notices: Vec<EndpointNotice>, round: u64) {
        match self.tier() {
            Tier::Mesh => {}
            Tier::Leaf => {
                let primary: Vec<InstanceId> = self.attached_hubs().into_iter().take(1).collect();
                self.mesh.send_all(&primary, &PeerMessage::Endpoints(notices));
                return;
            }
            Tier::Hub => {
                self.mesh.send_all(&self.other_hubs(), &PeerMessage::Endpoints(notices));
                return;
            }
        }
        let HeartbeatRoute { direct, relays } =
            heartbeat_route(self.alive_with_centres(), &self.settings().data_centre, round);
        self.mesh.send_all(&direct, &PeerMessage::Endpoints(notices.clone()));
        self.mesh.send_all(&relays, &PeerMessage::EndpointsRelayed(notices));
    }

    /// Records notices from a daemon of another data centre, and forwards them in this one.
    pub(crate) fn on_relayed_notices(&self, from: &InstanceId, notices: Vec<EndpointNotice>) {
        let own_centre = &self.settings().data_centre;
        let alive = self.alive_with_centres().into_iter();
        let local: Vec<InstanceId> = alive
            .filter(|(_, centre)| centre == own_centre)
            .map(|(instance, _)| instance)
            .collect();
        self.mesh.send_all(&local, &PeerMessage::Endpoints(notices.clone()));
        self.on_endpoint_notices(from, notices);
    }

    fn expire_endpoints(&self, now: MonotonicTime) {
        let silence = self.settings().bounds.endpoint_heartbeat * EXPIRY_HEARTBEATS;
        let expired = self.endpoints.borrow_mut().expire(now, silence);
        for endpoint in &expired {
            self.line(EventKind::Endpoint)
                .text("endpoint", endpoint)
                .millis("silent_ms", silence)
                .text("outcome", "forgotten");
        }
        if !expired.is_empty() {
            self.endpoints_changed();
        }
    }

    pub(crate) fn endpoints_changed(&self) {
        let registry = self.endpoints.borrow();
        let serving = registry.all().filter(|b| b.phase == EndpointPhase::Serving).count();
        self.metrics.endpoints.set(i64::try_from(serving).unwrap_or(i64::MAX));
        self.balancer.borrow_mut().retain(|endpoint| registry.takes_work(endpoint).is_some());
        self.limits.borrow_mut().retain(|endpoint| registry.is_known(endpoint));
        self.count_limits();
        let change = self.paths.borrow_mut().retain(|endpoint| registry.is_known(endpoint));
        if change == PathChange::Reconnected {
            self.metrics.is_cut_off.set(0);
        }
    }

    /// Records that an endpoint failed a request, and reports the fault to the other daemons.
    pub(crate) fn endpoint_fault(&self, request: &str, endpoint: &EndpointStart, fault: FaultKind) {
        self.line(EventKind::EndpointFault)
            .text("request", request)
            .text("endpoint", endpoint)
            .text("fault", fault.name());
        self.balancer.borrow_mut().fault(self.now(), endpoint, fault);
        self.queue_facts(|queue| queue.add_fault(FactSource::Own, endpoint.clone(), fault));
    }

    pub(crate) fn on_faults(&self, from: &InstanceId, faults: &[(EndpointStart, FaultKind)]) {
        if self.tier() == Tier::Hub
            && let Some(source) = self.forwarded_source(from)
        {
            self.queue_facts(|queue| {
                for (endpoint, fault) in faults {
                    queue.add_fault(source.clone(), endpoint.clone(), *fault);
                }
            });
        }
        let now = self.now();
        let mut balancer = self.balancer.borrow_mut();
        for (endpoint, fault) in faults {
            balancer.fault(now, endpoint, *fault);
        }
    }
}

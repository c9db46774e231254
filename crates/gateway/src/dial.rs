//! Connects to endpoints, directly or through another instance.
//!
//! A connection that is not established delivers nothing, so it may be tried on both ways at once.
//! The first that is established is used.

use std::rc::Rc;
use std::time::Duration;

use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};
use tokio::time::{sleep, timeout};

use crate::endpoint_stream::EndpointStream;
use crate::events::EventKind;
use crate::gateway::Gateway;
use crate::net;
use crate::paths::{EndpointWay, PathChange};
use crate::tunnel::{OpenedTunnel, TunnelFailure, open_tunnel};
use crate::upstream::EndpointTarget;

/// The time-out of a connection attempt. The operating system retransmits a lost first packet only
/// after a second, so a second attempt is made earlier instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum number of connection attempts.
const MAX_CONNECT_ATTEMPTS: u32 = 2;

/// How long a direct connection may take before a tunnel is tried as well: many round trips between
/// data centres.
const TUNNEL_DELAY: Duration = Duration::from_millis(80);

/// How long an endpoint that is reached only through instances that it asked for rest gets no requests of
/// this one.
const RELAYS_REST: Duration = Duration::from_millis(500);

/// The interval at which lost paths are checked.
const CHECK_PAUSE: Duration = Duration::from_millis(250);

/// How long a connection that checks a path has to stay open.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// The life of tunnels for calls to an endpoint's own interface and for probes.
pub(crate) const SHORT_LIFE: Duration = Duration::from_secs(2);

/// A connection to an endpoint.
pub(crate) struct EndpointConnection {
    pub(crate) stream: EndpointStream,
    pub(crate) way: EndpointWay,
    /// The instance that passes the bytes on, if the connection is a tunnel.
    pub(crate) relay: Option<InstanceId>,
    /// When the connection was opened.
    pub(crate) opened: MonotonicTime,
}

impl EndpointConnection {
    fn tunnel(tunnel: OpenedTunnel, opened: MonotonicTime) -> Self {
        let OpenedTunnel { stream, relay } = tunnel;
        Self { stream, way: EndpointWay::Tunnel, relay: Some(relay), opened }
    }
}

/// The way in which a connection attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// The connection was refused: the machine answers, but no process listens on the port.
    Refused,
    /// No connection was made in time.
    Unreachable,
    /// The endpoint is reached only through instances that it asked for rest.
    Resting,
}

/// The reason that no connection was made.
#[derive(Debug)]
pub(crate) struct ConnectFailure {
    pub(crate) kind: FailureKind,
    pub(crate) reason: String,
}

impl ConnectFailure {
    /// Returns whether no process listens on the port.
    pub(crate) fn is_refusal(&self) -> bool {
        self.kind == FailureKind::Refused
    }
}

/// How a connection is made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DialPlan {
    /// The way that is tried first.
    pub(crate) first: EndpointWay,
    /// How long a tunnel is needed at most.
    pub(crate) life: Duration,
}

/// Connects to an endpoint.
///
/// # Errors
///
/// Returns the reason if the endpoint is reached neither directly nor through another instance.
pub(crate) async fn dial(
    gateway: &Rc<Gateway>,
    target: &EndpointTarget,
    plan: DialPlan,
) -> Result<EndpointConnection, ConnectFailure> {
    if plan.first == EndpointWay::Direct {
        return dial_directly_first(gateway, target, plan.life).await;
    }
    let opened = gateway.now();
    match open_tunnel(gateway, target, plan.life).await {
        Ok(tunnel) => Ok(EndpointConnection::tunnel(tunnel, opened)),
        Err(TunnelFailure::Refused) => Err(refused()),
        Err(TunnelFailure::Resting) => Err(resting(gateway, target)),
        Err(TunnelFailure::Unreachable | TunnelFailure::NoPeer) => {
            connect_directly(gateway, target).await
        }
    }
}

async fn dial_directly_first(
    gateway: &Rc<Gateway>,
    target: &EndpointTarget,
    life: Duration,
) -> Result<EndpointConnection, ConnectFailure> {
    let began = gateway.now();
    let mut direct = std::pin::pin!(connect_directly(gateway, target));
    let mut direct_failure = None;
    tokio::select! {
        biased;
        result = &mut direct => match result {
            Ok(connection) => return Ok(connection),
            Err(failure) => direct_failure = Some(failure),
        },
        () = sleep(TUNNEL_DELAY) => {}
    }
    let mut tunnel = std::pin::pin!(open_tunnel(gateway, target, life));
    let tunnel = loop {
        tokio::select! {
            result = &mut direct, if direct_failure.is_none() => match result {
                Ok(connection) => return Ok(connection),
                Err(failure) => direct_failure = Some(failure),
            },
            result = &mut tunnel => break result,
        }
    };
    match (tunnel, direct_failure) {
        (Ok(tunnel), _) => {
            gateway.record_lost_path(began, &target.endpoint);
            Ok(EndpointConnection::tunnel(tunnel, began))
        }
        (Err(TunnelFailure::Refused), _) => Err(refused()),
        (Err(TunnelFailure::Resting), Some(_)) => Err(resting(gateway, target)),
        (Err(TunnelFailure::NoPeer), Some(failure)) => Err(failure),
        // The instances that were asked may be cut off, so nobody can tell whether a process listens.
        (Err(TunnelFailure::Unreachable), Some(failure)) => {
            let is_refusal =
                failure.is_refusal() && gateway.reaches_another_endpoint(&target.endpoint).await;
            let kind = if is_refusal { FailureKind::Refused } else { FailureKind::Unreachable };
            Err(ConnectFailure { kind, ..failure })
        }
        (Err(_), None) => direct.await,
    }
}

fn refused() -> ConnectFailure {
    let reason = "refused by way of another instance".to_owned();
    ConnectFailure { kind: FailureKind::Refused, reason }
}

/// Records that an endpoint is reached only through instances that it asked for rest, so that requests go
/// elsewhere for a while.
fn resting(gateway: &Gateway, target: &EndpointTarget) -> ConnectFailure {
    gateway.record_relayed_rest(&target.endpoint, RELAYS_REST);
    let reason = "the instances that reach the endpoint were asked for rest".to_owned();
    ConnectFailure { kind: FailureKind::Resting, reason }
}

async fn connect_directly(
    gateway: &Gateway,
    target: &EndpointTarget,
) -> Result<EndpointConnection, ConnectFailure> {
    let from = gateway.settings().listen.endpoints_from;
    let mut reason = String::new();
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let opened = gateway.now();
        match timeout(CONNECT_TIMEOUT, net::connect(target.address, from)).await {
            Ok(Ok(stream)) => {
                let (stream, way) = (EndpointStream::direct(stream), EndpointWay::Direct);
                return Ok(EndpointConnection { stream, way, relay: None, opened });
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                let reason = error.to_string();
                return Err(ConnectFailure { kind: FailureKind::Refused, reason });
            }
            Ok(Err(error)) => reason = error.to_string(),
            Err(_) => "no connection in time".clone_into(&mut reason),
        }
    }
    Err(ConnectFailure { kind: FailureKind::Unreachable, reason })
}

impl Gateway {
    /// Returns how to connect to an endpoint for a request with this much time left.
    ///
    /// With `may_fail`, the request may be sent again if it is not answered. It may then be sent directly
    /// although the paths are suspect, or as a trial.
    pub(crate) fn dial_plan(
        &self,
        endpoint: &EndpointStart,
        life: Duration,
        may_fail: bool,
    ) -> DialPlan {
        let now = self.now();
        let mut paths = self.paths.borrow_mut();
        let first = match paths.way(endpoint) {
            EndpointWay::Tunnel if may_fail && paths.begin_trial(now) => EndpointWay::Direct,
            EndpointWay::Direct if !may_fail && paths.is_suspect(now) => EndpointWay::Tunnel,
            way => way,
        };
        DialPlan { first, life }
    }

    /// Records an answer of an endpoint.
    pub(crate) fn record_path_answer(
        &self,
        endpoint: &EndpointStart,
        way: EndpointWay,
        opened: MonotonicTime,
    ) {
        let now = self.now();
        let change = {
            let mut paths = self.paths.borrow_mut();
            match way {
                EndpointWay::Direct => paths.record_answer(opened, endpoint),
                EndpointWay::Tunnel => paths.record_tunnel_answer(now),
            }
        };
        self.log_path_change(endpoint, change);
    }

    /// Records that an endpoint has been silent on a connection since `since`, or that the connection
    /// broke without an answer.
    pub(crate) fn record_no_answer(
        &self,
        endpoint: &EndpointStart,
        way: EndpointWay,
        since: MonotonicTime,
    ) {
        if way == EndpointWay::Direct {
            self.paths.borrow_mut().record_unanswered(since, endpoint);
        }
    }

    fn record_lost_path(&self, began: MonotonicTime, endpoint: &EndpointStart) {
        let change = self.paths.borrow_mut().record_lost(began, endpoint);
        self.log_path_change(endpoint, change);
    }

    pub(crate) fn log_path_change(&self, endpoint: &EndpointStart, change: PathChange) {
        let outcome = match change {
            PathChange::None => return,
            PathChange::Lost => "lost",
            PathChange::CutOff => "cut off",
            PathChange::Regained => "regained",
            PathChange::Reconnected => "reconnected",
        };
        self.line(EventKind::EndpointPath).text("endpoint", endpoint).text("outcome", outcome);
        let is_cut_off = self.paths.borrow().is_cut_off();
        self.metrics.is_cut_off.set(i64::from(is_cut_off));
        if matches!(change, PathChange::CutOff | PathChange::Reconnected) {
            self.greet_now();
        }
    }

    /// Checks the lost paths in turn until they are back.
    pub(crate) async fn check_lost_paths(self: Rc<Self>) {
        loop {
            sleep(CHECK_PAUSE).await;
            let next = {
                let registry = self.endpoints.borrow();
                let serving = registry.all().map(|beat| &beat.endpoint);
                let serving = serving.filter(|endpoint| registry.is_serving(endpoint));
                self.paths.borrow_mut().next_check(self.now(), serving)
            };
            if let Some(endpoint) = next {
                self.check_path(&endpoint).await;
            }
        }
    }

    /// Connects to an endpoint directly, and records the connection if it is not closed at once: what
    /// accepted it may be something on the way.
    async fn check_path(&self, endpoint: &EndpointStart) {
        let Some(address) = self.endpoints.borrow().address(endpoint) else { return };
        let target = EndpointTarget { endpoint: endpoint.clone(), address };
        let Ok(connection) = connect_directly(self, &target).await else { return };
        let stays_open = timeout(CLOSE_TIMEOUT, connection.stream.wait_until_closed()).await;
        if stays_open.is_err() {
            let change = self.paths.borrow_mut().record_connected(connection.opened, endpoint);
            self.log_path_change(endpoint, change);
        }
    }
}

//! Tunnels to endpoints through other instances.
//!
//! An instance that does not reach an endpoint asks another instance for a tunnel: a connection to
//! that instance, which connects to the endpoint and passes bytes on in both directions. Requests
//! and answers stay with the instance that received them from their callers: their deadlines,
//! repetitions, at-most-once guarantees and streams are handled as on a direct connection. A tunnel
//! leads to an endpoint directly and never to another instance, so tunnels form no chains or
//! circles.
//!
//! A tunnel begins like a link between daemons, at the same address, with a length of 0 where a
//! link carries the length of the sender's id. A daemon of an earlier version closes the
//! connection, which the asking instance takes for a refusal. `endpoint_stream` describes the bytes
//! that follow the answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_units::{EndpointStart, InstanceId};
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::endpoint_stream::{EndpointStream, pass_pieces};
use crate::gateway::Gateway;
use crate::held_bytes::{ByteHold, HeldKind};
use crate::hubs::Tier;
use crate::net;
use crate::paths::EndpointWay;
use crate::peers::{ProtocolLevel, TrailingField, encode_frame};
use crate::roster::DaemonPhase;
use crate::upstream::EndpointTarget;

/// The maximum number of instances that are asked for one tunnel.
const MAX_TUNNEL_PEERS: usize = 4;

/// How long an instance has to answer before the next one is asked as well.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(60);

/// The time-out of one instance, including its connection to the endpoint.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// The time-out of an instance's connection to an endpoint.
const ENDPOINT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum number of other endpoints that are tried to check this instance's own links.
const MAX_REACH_CHECKS: usize = 2;

/// How long an instance that gave no tunnel is asked after all others.
const PEER_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The maximum number of tunnels through one instance. Each has two connections.
const MAX_TUNNELS: u32 = 256;

/// The length of a tunnel's two buffers.
const TUNNEL_BUFFER_BYTES: usize = 2 * 8 * 1024;

/// The time added to the life of a tunnel that the asking instance states. Its own time-outs end the
/// tunnel earlier, unless it is lost.
const LIFE_MARGIN: Duration = Duration::from_secs(1);

/// The maximum life of a tunnel.
const MAX_LIFE: Duration = Duration::from_secs(3_600);

/// A request for a tunnel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TunnelOpen {
    endpoint: EndpointStart,
    address: SocketAddr,
    /// How long the tunnel is needed at most.
    life: Duration,
    /// How long the endpoint rests, according to its answer to a request that the receiver passed on. No
    /// tunnel is needed then.
    rest: TrailingField<Option<Duration>>,
    /// Whether the asking instance reads the end that the receiver states.
    reads_stated_end: TrailingField<bool>,
}

impl TunnelOpen {
    fn new(target: &EndpointTarget, life: Duration) -> Self {
        let EndpointTarget { endpoint, address } = target.clone();
        let (rest, reads_stated_end) = (TrailingField(None), TrailingField(true));
        Self { endpoint, address, life, rest, reads_stated_end }
    }
}

/// The answer to a request for a tunnel: one byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TunnelAnswer {
    /// The endpoint accepted the connection. From here on its bare bytes are passed on.
    Open,
    /// The endpoint accepted the connection. From here on its bytes are passed on in pieces, and their
    /// end is stated.
    OpenWithStatedEnd,
    /// No process listens at the endpoint's address.
    Refused,
    /// The instance does not reach the endpoint or does not know it.
    Unreachable,
    /// The instance has too many tunnels or is about to exit.
    Busy,
    /// The endpoint asked the instance for rest. Instances of earlier versions read it as
    /// `Unreachable`.
    Resting,
}

impl TunnelAnswer {
    fn to_byte(self) -> u8 {
        match self {
            Self::Open => 1,
            Self::Refused => 2,
            Self::Unreachable => 3,
            Self::Busy => 4,
            Self::Resting => 5,
            Self::OpenWithStatedEnd => 6,
        }
    }

    fn from_byte(byte: u8) -> Self {
        match byte {
            1 => Self::Open,
            2 => Self::Refused,
            4 => Self::Busy,
            5 => Self::Resting,
            6 => Self::OpenWithStatedEnd,
            _ => Self::Unreachable,
        }
    }
}

/// A tunnel to an endpoint.
pub(crate) struct OpenedTunnel {
    pub(crate) stream: EndpointStream,
    /// The instance that passes the bytes on.
    pub(crate) relay: InstanceId,
}

/// The reason that no tunnel was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TunnelFailure {
    /// No process listens at the endpoint's address, according to an instance that reaches others.
    Refused,
    /// None of the instances that were asked reaches the endpoint.
    Unreachable,
    /// The endpoint asked the instances that reach it for rest.
    Resting,
    /// There is no other instance to ask.
    NoPeer,
}

impl TunnelFailure {
    /// Returns the name used in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Resting => "resting",
            Self::NoPeer => "no peer",
        }
    }
}

/// Opens a tunnel to an endpoint that lives as long as needed, at most `life`.
///
/// # Errors
///
/// Returns the reason if no instance opens a tunnel in time.
pub(crate) async fn open_tunnel(
    gateway: &Rc<Gateway>,
    target: &EndpointTarget,
    life: Duration,
) -> Result<OpenedTunnel, TunnelFailure> {
    let result = ask_peers(gateway, target, life).await;
    let outcome = result.as_ref().map_or_else(|failure| failure.name(), |_| "open");
    gateway.metrics.tunnels.with_label_values(&[outcome]).inc();
    result
}

async fn ask_peers(
    gateway: &Rc<Gateway>,
    target: &EndpointTarget,
    life: Duration,
) -> Result<OpenedTunnel, TunnelFailure> {
    let mut peers = gateway.tunnel_peers(target).into_iter();
    let open = TunnelOpen::new(target, life);
    let mut asked = JoinSet::new();
    let mut failure = TunnelFailure::NoPeer;
    loop {
        if let Some(peer) = peers.next() {
            if failure == TunnelFailure::NoPeer {
                failure = TunnelFailure::Unreachable;
            }
            let (gateway, open) = (Rc::clone(gateway), open.clone());
            asked.spawn_local(async move {
                let answer = timeout(PEER_TIMEOUT, ask_peer(&gateway, &peer, &open)).await;
                (peer, answer.ok().flatten())
            });
        } else if asked.is_empty() {
            return Err(failure);
        }
        let next = tokio::select! {
            next = asked.join_next() => next,
            () = sleep(NEXT_PEER_DELAY), if peers.len() > 0 => continue,
        };
        match next {
            Some(Ok((relay, Some((TunnelAnswer::OpenWithStatedEnd, stream))))) => {
                return Ok(OpenedTunnel { stream: EndpointStream::stated(stream), relay });
            }
            Some(Ok((relay, Some((TunnelAnswer::Open, stream))))) => {
                return Ok(OpenedTunnel { stream: EndpointStream::unstated(stream), relay });
            }
            Some(Ok((_, Some((TunnelAnswer::Refused, _))))) => return Err(TunnelFailure::Refused),
            Some(Ok((_, Some((TunnelAnswer::Resting, _))))) => failure = TunnelFailure::Resting,
            Some(Ok((peer, _))) => gateway.record_tunnel_failure(&peer),
            Some(Err(_)) | None => {}
        }
    }
}

/// Tells an instance that the endpoint of a request that it passed on asked for rest.
pub(crate) async fn report_rest_to_relay(
    gateway: &Gateway,
    relay: &InstanceId,
    target: &EndpointTarget,
    rest: Duration,
) {
    let open =
        TunnelOpen { rest: TrailingField(Some(rest)), ..TunnelOpen::new(target, Duration::ZERO) };
    // Without the report, the endpoint asks the instance itself with its next request.
    let _ = timeout(PEER_TIMEOUT, ask_peer(gateway, relay, &open)).await;
}

/// Asks one instance for a tunnel. Returns `None` if it does not answer.
async fn ask_peer(
    gateway: &Gateway,
    peer: &InstanceId,
    open: &TunnelOpen,
) -> Option<(TunnelAnswer, TcpStream)> {
    let address: SocketAddr = peer.as_str().parse().ok()?;
    let from = gateway.settings().listen.peers.ip();
    let mut stream = net::connect(address, Some(from)).await.ok()?;
    let mut message = vec![0];
    message.extend_from_slice(&encode_frame(open));
    stream.write_all(&message).await.ok()?;
    let answer = TunnelAnswer::from_byte(stream.read_u8().await.ok()?);
    Some((answer, stream))
}

/// Serves a request for a tunnel.
pub(crate) async fn serve_tunnel(gateway: Rc<Gateway>, open: TunnelOpen, mut caller: TcpStream) {
    net::set_stream_options(&caller);
    let states_end = open.reads_stated_end.0;
    let (answer, endpoint) = match connect_for(&gateway, &open).await {
        Ok(endpoint) if states_end => (TunnelAnswer::OpenWithStatedEnd, Some(endpoint)),
        Ok(endpoint) => (TunnelAnswer::Open, Some(endpoint)),
        Err(answer) => (answer, None),
    };
    if caller.write_all(&[answer.to_byte()]).await.is_err() {
        return;
    }
    let Some(endpoint) = endpoint else { return };
    let _count = TunnelCount::begin(&gateway);
    let life = open.life.min(MAX_LIFE) + LIFE_MARGIN;
    let is_complete = tokio::select! {
        is_complete = pass_on(&mut caller, endpoint, states_end) => is_complete,
        () = sleep(life) => false,
    };
    // A connection that the endpoint breaks is broken towards the caller too, so that an incomplete
    // answer does not look complete.
    if !is_complete {
        // The caller may have closed the connection.
        let _ = SockRef::from(&caller).set_linger(Some(Duration::ZERO));
    }
}

/// Connects to the endpoint of a tunnel.
async fn connect_for(gateway: &Gateway, open: &TunnelOpen) -> Result<TcpStream, TunnelAnswer> {
    if gateway.open_tunnels.get() >= MAX_TUNNELS || gateway.is_draining() {
        return Err(TunnelAnswer::Busy);
    }
    let is_known = gateway.endpoints.borrow().address(&open.endpoint) == Some(open.address);
    if let Some(rest) = open.rest.0.filter(|_| is_known) {
        gateway.record_relayed_rest(&open.endpoint, rest);
    }
    if gateway.is_resting(&open.endpoint) {
        return Err(TunnelAnswer::Resting);
    }
    if !is_known || gateway.paths.borrow().way(&open.endpoint) == EndpointWay::Tunnel {
        return Err(TunnelAnswer::Unreachable);
    }
    let from = gateway.settings().listen.endpoints_from;
    match timeout(ENDPOINT_CONNECT_TIMEOUT, net::connect(open.address, from)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            // An instance whose own links are cut may be refused as well.
            let reaches_others = gateway.reaches_another_endpoint(&open.endpoint).await;
            Err(if reaches_others { TunnelAnswer::Refused } else { TunnelAnswer::Unreachable })
        }
        Ok(Err(_)) | Err(_) => Err(TunnelAnswer::Unreachable),
    }
}

/// Passes bytes on until the asking instance closes its connection or the endpoint breaks its own. Returns
/// whether the connections were closed properly.
async fn pass_on(caller: &mut TcpStream, mut endpoint: TcpStream, states_end: bool) -> bool {
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_endpoint, mut to_endpoint) = endpoint.split();
    let mut sending = std::pin::pin!(copy(&mut from_caller, &mut to_endpoint));
    let receiving = async {
        if states_end {
            return pass_pieces(&mut from_endpoint, &mut to_caller).await;
        }
        copy(&mut from_endpoint, &mut to_caller).await?;
        to_caller.shutdown().await
    };
    let received = tokio::select! {
        // The caller closes its connection once it needs no answer any more.
        sent = &mut sending => return sent.is_ok(),
        received = receiving => received,
    };
    if received.is_err() {
        return false;
    }
    // The end of the answer is passed on at once. The endpoint may still reset the connection because of
    // bytes that it has not read, which shows that it had not taken the request.
    let was_reset = async {
        while !net::is_reset(from_endpoint.as_ref()) {
            sleep(net::RESET_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        sent = &mut sending => sent.is_ok(),
        () = was_reset => false,
    }
}

/// Counts a tunnel while it is open.
struct TunnelCount {
    gateway: Rc<Gateway>,
    _buffers: ByteHold,
}

impl TunnelCount {
    fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway.open_tunnels.set(gateway.open_tunnels.get() + 1);
        gateway.metrics.open_tunnels.inc();
        let buffers = ByteHold::new(gateway, HeldKind::Tunnel);
        buffers.resize(TUNNEL_BUFFER_BYTES);
        Self { gateway: Rc::clone(gateway), _buffers: buffers }
    }
}

impl Drop for TunnelCount {
    fn drop(&mut self) {
        self.gateway.open_tunnels.set(self.gateway.open_tunnels.get() - 1);
        self.gateway.metrics.open_tunnels.dec();
    }
}

impl Gateway {
    /// Returns the instances to ask for a tunnel to an endpoint, in random order: those of the
    /// endpoint's data centre first, since the bytes then cross data centres once. One of them is of
    /// another data centre, since all instances of one may be cut off.
    fn tunnel_peers(&self, target: &EndpointTarget) -> Vec<InstanceId> {
        let now = self.now();
        let centre = self.endpoints.borrow().data_centre(&target.endpoint);
        let mut peers: Vec<(bool, bool, InstanceId)> = {
            let failures = self.tunnel_failures.borrow();
            let has_failed = |peer: &InstanceId| {
                failures.get(peer).is_some_and(|at| now.since(*at) < PEER_RETRY_DELAY)
            };
            let known = self.reachable_peers().into_iter();
            known.map(|(peer, of)| (has_failed(&peer), Some(of) != centre, peer)).collect()
        };
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|(has_failed, is_remote, _)| (*has_failed, *is_remote));
        let rest = peers.split_off(peers.len().min(MAX_TUNNEL_PEERS - 1));
        let remote: Vec<&(bool, bool, InstanceId)> =
            rest.iter().filter(|(has_failed, is_remote, _)| *is_remote && !has_failed).collect();
        let other = remote.choose(&mut rand::rng()).copied().or(rest.first()).cloned();
        peers.into_iter().chain(other).map(|(_, _, peer)| peer).collect()
    }

    /// Returns the other instances that can be asked for tunnels, each with its data centre.
    fn reachable_peers(&self) -> Vec<(InstanceId, oriolepass_units::DataCentreId)> {
        let roster = self.roster.borrow();
        let of_roster = roster
            .alive(self.now())
            .filter(|note| note.phase == DaemonPhase::Ready && !note.is_cut_off.0)
            .filter(|note| note.protocol.0 >= ProtocolLevel::TUNNELS)
            .map(|note| (note.instance.clone(), note.data_centre.clone()));
        let mut peers: Vec<_> = of_roster.collect();
        if self.tier() == Tier::Leaf {
            // A leaf hears from a few hubs only. It knows the callers' addresses of others.
            let port = self.settings().listen.peers.port();
            let others = self.ready_addresses().into_iter().flat_map(|(centre, addresses)| {
                addresses.into_iter().map(move |callers| (centre.clone(), callers.ip()))
            });
            peers.extend(others.filter_map(|(centre, ip)| {
                let peer: InstanceId = SocketAddr::new(ip, port).to_string().parse().ok()?;
                Some((peer, centre))
            }));
            peers.sort();
            peers.dedup_by(|left, right| left.0 == right.0);
        }
        peers.retain(|(peer, _)| *peer != self.own);
        peers
    }

    fn record_tunnel_failure(&self, peer: &InstanceId) {
        let now = self.now();
        let mut failures = self.tunnel_failures.borrow_mut();
        failures.retain(|_, at| now.since(*at) < PEER_RETRY_DELAY);
        failures.insert(peer.clone(), now);
    }

    /// Returns whether this instance connects to an endpoint other than `endpoint`. Those heard from
    /// last are tried, since others may have ended too.
    pub(crate) async fn reaches_another_endpoint(&self, endpoint: &EndpointStart) -> bool {
        let others = self.endpoints.borrow().last_heard_serving(endpoint, MAX_REACH_CHECKS);
        if others.is_empty() {
            return true;
        }
        let from = self.settings().listen.endpoints_from;
        for other in others {
            let connected = timeout(ENDPOINT_CONNECT_TIMEOUT, net::connect(other, from)).await;
            if connected.is_ok_and(|result| result.is_ok()) {
                return true;
            }
        }
        false
    }
}

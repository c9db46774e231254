//! Runs the client side of the connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use oriolepass_schema::wire_capnp::{gate, session};
use rand::RngCore;
use tokio::net::TcpStream;
use tokio::sync::{OnceCell, mpsc, watch};
use tokio::task::spawn_local;

use super::auth::{ClusterKey, NONCE_BYTES, ProofSide};
use super::link::rpc_network;
use super::{PeerCommand, PeerError, PeerFaults, PeerQuestion};

/// The timeout for establishing a connection, including authentication.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum number of consensus messages in flight to one peer. Further messages are dropped.
const MAX_CONSENSUS_IN_FLIGHT: u32 = 512;

/// The interval between pings of a connection.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// The timeout of a ping, after which the connection is treated as dead.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection, established or in progress.
///
/// TCP alone does not report that the peer's host is gone: each query would hang until its own
/// timeout, and so would the next. Pings detect a dead connection, and all pending operations on it
/// then fail at once.
struct PeerLink {
    session: OnceCell<session::Client>,
    consensus_in_flight: Cell<u32>,
    has_ping_task: Cell<bool>,
    dead: watch::Sender<bool>,
}

impl Default for PeerLink {
    fn default() -> Self {
        Self {
            session: OnceCell::new(),
            consensus_in_flight: Cell::new(0),
            has_ping_task: Cell::new(false),
            dead: watch::Sender::new(false),
        }
    }
}

impl PeerLink {
    /// Waits for an answer; fails when the connection is found dead.
    async fn or_link_failure<T>(
        &self,
        answer: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, PeerError> {
        let mut dead = self.dead.subscribe();
        tokio::select! {
            answer = answer => answer.map_err(|_| PeerError::Broken),
            _ = dead.wait_for(|dead| *dead) => Err(PeerError::Broken),
        }
    }
}

/// Pings a connection until it is dead or no longer in use.
async fn ping_link(link: Weak<PeerLink>, session: session::Client) {
    let ping = PeerQuestion::Ping.encode();
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let mut request = session.ask_request();
        request.get().set_question(&ping);
        let answered = tokio::time::timeout(PING_TIMEOUT, request.send().promise).await;
        let Some(link) = link.upgrade() else { return };
        if !matches!(answered, Ok(Ok(_))) {
            link.dead.send_replace(true);
            return;
        }
    }
}

struct PeerClients {
    key: ClusterKey,
    instance: String,
    faults: PeerFaults,
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
}

/// Processes commands from the ring until its other end is closed. Runs on the `peers` thread.
pub(crate) async fn run_clients(
    mut commands: mpsc::Receiver<PeerCommand>,
    key: ClusterKey,
    instance: String,
    faults: PeerFaults,
) {
    let clients = Rc::new(PeerClients { key, instance, faults, links: RefCell::default() });
    while let Some(command) = commands.recv().await {
        if clients.faults.is_isolated() {
            // The sender receives neither an answer nor an error and runs into its timeout, as in
            // a real network partition.
            spawn_local(hold_without_answer(command));
            continue;
        }
        let clients = Rc::clone(&clients);
        match command {
            PeerCommand::Ask { address, question, reply } => {
                spawn_local(async move {
                    let answer = clients.ask(address, &question).await;
                    let _ = reply.send(answer);
                });
            }
            PeerCommand::Consensus { address, message } => {
                let link = clients.link(address);
                let in_flight = &link.consensus_in_flight;
                if in_flight.get() < MAX_CONSENSUS_IN_FLIGHT {
                    in_flight.set(in_flight.get() + 1);
                    spawn_local(async move {
                        clients.send_consensus(address, &link, &message).await;
                        link.consensus_in_flight.set(link.consensus_in_flight.get() - 1);
                    });
                }
            }
        }
    }
}

/// Holds a command without an answer before it drops it.
async fn hold_without_answer(command: PeerCommand) {
    tokio::time::sleep(Duration::from_secs(30)).await;
    drop(command);
}

impl PeerClients {
    fn link(&self, address: SocketAddr) -> Rc<PeerLink> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_default();
        if *link.dead.borrow() {
            *link = Rc::default();
        }
        Rc::clone(link)
    }

    /// Removes a broken connection, unless it has already been replaced.
    fn remove_link(&self, address: SocketAddr, link: &Rc<PeerLink>) {
        let mut links = self.links.borrow_mut();
        if links.get(&address).is_some_and(|present| Rc::ptr_eq(present, link)) {
            links.remove(&address);
        }
    }

    async fn session(
        &self,
        address: SocketAddr,
        link: &Rc<PeerLink>,
    ) -> Result<session::Client, PeerError> {
        let connected = link.session.get_or_try_init(|| async {
            let attempt = connect(address, &self.key, &self.instance);
            tokio::time::timeout(CONNECT_TIMEOUT, attempt).await.unwrap_or(Err(PeerError::Timeout))
        });
        let is_new = link.session.get().is_none();
        let result = connected.await.cloned();
        match &result {
            Err(_) => self.remove_link(address, link),
            Ok(session) if is_new && !link.has_ping_task.replace(true) => {
                spawn_local(ping_link(Rc::downgrade(link), session.clone()));
            }
            Ok(_) => {}
        }
        result
    }

    async fn ask(&self, address: SocketAddr, question: &[u8]) -> Result<Vec<u8>, PeerError> {
        let link = self.link(address);
        let session = self.session(address, &link).await?;
        let mut request = session.ask_request();
        request.get().set_question(question);
        let answer = async {
            let response = request.send().promise.await?;
            Ok::<_, capnp::Error>(response.get()?.get_answer()?.to_vec())
        };
        let answer = link.or_link_failure(answer).await;
        if answer.is_err() {
            self.remove_link(address, &link);
        }
        answer
    }

    async fn send_consensus(&self, address: SocketAddr, link: &Rc<PeerLink>, message: &[u8]) {
        let Ok(session) = self.session(address, link).await else { return };
        let mut request = session.consensus_request();
        request.get().set_message(message);
        if link.or_link_failure(request.send().promise).await.is_err() {
            self.remove_link(address, link);
        }
    }
}

/// Connects to a peer and performs the mutual authentication.
async fn connect(
    address: SocketAddr,
    key: &ClusterKey,
    instance: &str,
) -> Result<session::Client, PeerError> {
    let stream = TcpStream::connect(address).await.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => PeerError::Refused,
        _ => PeerError::Broken,
    })?;
    let mut system = RpcSystem::new(rpc_network(stream, Side::Client), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    spawn_local(async move {
        let _ = system.await;
    });
    prove(&gate, key, instance).await.map_err(|_| PeerError::Broken)
}

async fn prove(
    gate: &gate::Client,
    key: &ClusterKey,
    instance: &str,
) -> Result<session::Client, capnp::Error> {
    let challenge = gate.challenge_request().send().promise.await?;
    let nonce = challenge.get()?.get_nonce()?.to_vec();
    let mut own_nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut own_nonce);
    let mut request = gate.prove_request();
    request.get().set_instance(instance);
    // The answer consists of the proof and this side's own challenge.
    let mut answer = key.prove(ProofSide::Client, &nonce, instance);
    answer.extend_from_slice(&own_nonce);
    request.get().set_answer(&answer);
    let response = request.send().promise.await?;
    let proof = response.get()?.get_counter_proof()?;
    if !key.verify(ProofSide::Server, &own_nonce, instance, proof) {
        return Err(capnp::Error::failed("the peer does not know the cluster key".into()));
    }
    response.get()?.get_session()
}

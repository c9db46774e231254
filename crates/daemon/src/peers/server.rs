//! Runs the server side of the connections.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use oriolepass_schema::wire_capnp::{gate, session};
use oriolepass_units::LeaderTerm;
use rand::RngCore;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::auth::{ClusterKey, NONCE_BYTES, ProofSide};
use super::link::rpc_network;
use super::message::{FOLLOW_LONG_POLL_TIMEOUT, PeerAnswer, PeerQuestion};
use super::{LeaderAnswer, LogFailure, PeerFaults};
use crate::log::LogHandle;
use crate::shared::DaemonShared;

/// Accepts connections until the future is dropped. Runs on the `peers` thread.
pub(crate) async fn run_server(
    listener: TcpListener,
    shared: Arc<DaemonShared>,
    key: ClusterKey,
    faults: PeerFaults,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        serve(stream, &shared, &key, &faults);
    }
}

fn serve(stream: TcpStream, shared: &Arc<DaemonShared>, key: &ClusterKey, faults: &PeerFaults) {
    let gate = PeerGate {
        shared: Arc::clone(shared),
        key: key.clone(),
        faults: faults.clone(),
        nonce: RefCell::default(),
    };
    let gate: gate::Client = capnp_rpc::new_client(gate);
    let system = RpcSystem::new(rpc_network(stream, Side::Server), Some(gate.client));
    spawn_local(async move {
        let _ = system.await;
    });
}

/// The RPC interface of a connection before the peer is authenticated.
struct PeerGate {
    shared: Arc<DaemonShared>,
    key: ClusterKey,
    faults: PeerFaults,
    nonce: RefCell<Option<[u8; NONCE_BYTES]>>,
}

impl gate::Server for PeerGate {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let mut nonce = [0; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        *self.nonce.borrow_mut() = Some(nonce);
        results.get().set_nonce(&nonce);
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        params: gate::ProveParams,
        mut results: gate::ProveResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let instance = params.get_instance()?.to_string()?;
        let answer = params.get_answer()?;
        // Each challenge is valid for one attempt only.
        let nonce = self.nonce.borrow_mut().take();
        let split = answer.len().checked_sub(NONCE_BYTES).map(|at| answer.split_at(at));
        let proved = nonce.zip(split).filter(|(nonce, (proof, _))| {
            self.key.verify(ProofSide::Client, nonce, &instance, proof)
        });
        let Some((_, (_, peer_nonce))) = proved else {
            return Err(capnp::Error::failed("wrong cluster key".into()));
        };
        let counter_proof = self.key.prove(ProofSide::Server, peer_nonce, &instance);
        results.get().set_counter_proof(&counter_proof);
        let session = PeerSession { shared: Arc::clone(&self.shared), faults: self.faults.clone() };
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

/// The RPC interface for an authenticated peer.
struct PeerSession {
    shared: Arc<DaemonShared>,
    faults: PeerFaults,
}

impl session::Server for PeerSession {
    async fn consensus(
        self: Rc<Self>,
        params: session::ConsensusParams,
        _: session::ConsensusResults,
    ) -> Result<(), capnp::Error> {
        let message = params.get()?.get_message()?;
        if self.faults.is_isolated() {
            return Ok(());
        }
        let (Some(log), Ok(envelope)) = (&self.shared.log, postcard::from_bytes(message)) else {
            return Ok(());
        };
        log.deliver(envelope);
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: session::AskParams,
        mut results: session::AskResults,
    ) -> Result<(), capnp::Error> {
        let question: PeerQuestion = postcard::from_bytes(params.get()?.get_question()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        drop(params);
        if self.faults.is_isolated() {
            std::future::pending::<()>().await;
        }
        let answer = answer(&self.shared, question).await;
        if self.faults.is_isolated() {
            std::future::pending::<()>().await;
        }
        let bytes = postcard::to_stdvec(&answer).expect("an answer always serialises");
        results.get().set_answer(&bytes);
        Ok(())
    }
}

/// Sends a query to the local replica of the log, which only voters have.
async fn ask_log<'a, T, Fut>(
    shared: &'a DaemonShared,
    ask: impl FnOnce(&'a LogHandle) -> Fut,
) -> LeaderAnswer<T>
where
    Fut: Future<Output = LeaderAnswer<T>>,
{
    match &shared.log {
        Some(log) => ask(log).await,
        None => Err(LogFailure::NotLeader { leader: None, term: LeaderTerm::ZERO }),
    }
}

/// Passes a query to the duty of this daemon that answers it.
pub(crate) async fn answer(shared: &DaemonShared, question: PeerQuestion) -> PeerAnswer {
    match question {
        PeerQuestion::Propose(command) => {
            PeerAnswer::Proposed(ask_log(shared, |log| log.propose(command)).await)
        }
        PeerQuestion::Beat(heartbeat) => {
            PeerAnswer::Lease(ask_log(shared, |log| log.heartbeat(heartbeat)).await)
        }
        PeerQuestion::Audit { after, limit } => {
            PeerAnswer::Audit(ask_log(shared, |log| log.audit(after, limit)).await)
        }
        PeerQuestion::LeaderReport => {
            PeerAnswer::LeaderReport(ask_log(shared, LogHandle::leader_report).await)
        }
        PeerQuestion::WantVoters(wanted) => {
            PeerAnswer::VotersWanted(ask_log(shared, |log| log.want_voters(wanted)).await)
        }
        PeerQuestion::Follow { have } => {
            let mut watch = shared.view.watch();
            let newer = watch.wait_for(|mark| mark.index > have);
            let _ = tokio::time::timeout(FOLLOW_LONG_POLL_TIMEOUT, newer).await;
            PeerAnswer::View(shared.view.update_after(have))
        }
        PeerQuestion::Grant(ask) => PeerAnswer::Granted(shared.home.ask(ask).await),
        PeerQuestion::Started(attempt) => acknowledgement(shared.home.started(attempt)),
        PeerQuestion::Renew { entry, attempts } => match shared.home.renew(entry, attempts).await {
            Some(unknown) => PeerAnswer::Unknown(unknown),
            None => PeerAnswer::RingFull,
        },
        PeerQuestion::Release { attempt, reason } => {
            acknowledgement(shared.home.release(attempt, reason))
        }
        PeerQuestion::Ping => PeerAnswer::Noted,
        PeerQuestion::Digest(digest) => {
            shared.digests.put(shared.now(), digest);
            PeerAnswer::Noted
        }
    }
}

fn acknowledgement(accepted: bool) -> PeerAnswer {
    if accepted { PeerAnswer::Noted } else { PeerAnswer::RingFull }
}

//! The answering side of the connections.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter};
use oriolepass_schema::wire_capnp::{gate, session};
use oriolepass_units::MonotonicTime;
use rand::RngCore;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::auth::{ClusterKey, NONCE_BYTES, ProofSide};
use super::message::{FOLLOW_WAIT, PeerAnswer, PeerQuestion};
use super::{LogFailure, PeerFaults};
use crate::shared::DaemonShared;

/// Words of one message read at most, so that a peer cannot make this daemon allocate at will.
const MAX_MESSAGE_WORDS: usize = 16 * 1024 * 1024;

pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

/// Accepts connections for ever. Runs on the peers' thread.
pub(crate) async fn run_server(
    listener: TcpListener,
    shared: Arc<DaemonShared>,
    key: ClusterKey,
    faults: PeerFaults,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        serve(stream, &shared, &key, &faults);
    }
}

fn serve(stream: TcpStream, shared: &Arc<DaemonShared>, key: &ClusterKey, faults: &PeerFaults) {
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        Side::Server,
        reader_options(),
    );
    let gate = PeerGate {
        shared: Arc::clone(shared),
        key: key.clone(),
        faults: faults.clone(),
        nonce: RefCell::default(),
    };
    let gate: gate::Client = capnp_rpc::new_client(gate);
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    spawn_local(async move {
        let _ = system.await;
    });
}

/// What a connection offers before the peer has proved itself.
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
        // Each challenge is good for one try.
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

/// What a proved peer may do.
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

/// Passes a question to the duty that answers it.
async fn answer(shared: &Arc<DaemonShared>, question: PeerQuestion) -> PeerAnswer {
    let no_log =
        || LogFailure::NotLeader { leader: None, term: oriolepass_units::LeaderTerm::ZERO };
    match question {
        PeerQuestion::Propose(command) => match &shared.log {
            Some(log) => PeerAnswer::Proposed(log.propose(command).await),
            None => PeerAnswer::Proposed(Err(no_log())),
        },
        PeerQuestion::Beat(beat) => match &shared.log {
            Some(log) => PeerAnswer::Lease(log.beat(beat).await),
            None => PeerAnswer::Lease(Err(no_log())),
        },
        PeerQuestion::Audit { after, limit } => match &shared.log {
            Some(log) => PeerAnswer::Audit(log.audit(after, limit).await),
            None => PeerAnswer::Audit(Err(no_log())),
        },
        PeerQuestion::LeaderReport => match &shared.log {
            Some(log) => PeerAnswer::LeaderReport(log.leader_report().await),
            None => PeerAnswer::LeaderReport(Err(no_log())),
        },
        PeerQuestion::WantVoters(wanted) => match &shared.log {
            Some(log) => PeerAnswer::VotersWanted(log.want_voters(wanted).await),
            None => PeerAnswer::VotersWanted(Err(no_log())),
        },
        PeerQuestion::Follow { have } => {
            let mut watch = shared.view.watch();
            let newer = watch.wait_for(|mark| mark.index > have);
            let _ = tokio::time::timeout(FOLLOW_WAIT, newer).await;
            PeerAnswer::View(shared.view.update_after(have))
        }
        PeerQuestion::Grant(ask) => PeerAnswer::Granted(shared.home.ask(ask).await),
        PeerQuestion::Started(attempt) => noted(shared.home.started(attempt)),
        PeerQuestion::Renew { entry, attempts } => match shared.home.renew(entry, attempts).await {
            Some(unknown) => PeerAnswer::Unknown(unknown),
            None => PeerAnswer::RingFull,
        },
        PeerQuestion::Release { attempt, reason } => noted(shared.home.release(attempt, reason)),
        PeerQuestion::Ping => PeerAnswer::Noted,
        PeerQuestion::Digest(digest) => {
            let now: MonotonicTime = shared.now();
            shared.digests.put(now, digest);
            PeerAnswer::Noted
        }
    }
}

fn noted(taken: bool) -> PeerAnswer {
    if taken { PeerAnswer::Noted } else { PeerAnswer::RingFull }
}

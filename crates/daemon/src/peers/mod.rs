//! Runs the connections between daemons.
//!
//! One thread runs all connections over `capnp-rpc`. Each side proves that it knows the cluster
//! key before any message is read ([`auth`]). Payloads are postcard encodings of the types in
//! [`message`].

mod auth;
mod client;
mod link;
mod message;
mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use oriolepass_consensus::Envelope;
use oriolepass_units::InstanceId;
use tokio::sync::{mpsc, oneshot};

use crate::address_book::AddressBook;

pub(crate) use auth::ClusterKey;
pub(crate) use client::run_clients;
pub(crate) use message::{
    LeaderAnswer, LeaderReport, LogFailure, MemberHeartbeat, MemberLease, PeerAnswer, PeerQuestion,
};
pub(crate) use server::{answer, run_server};

/// The capacity of the ring of the `peers` thread.
const RING_CAPACITY: usize = 8_192;

/// A test hook that isolates this daemon from its peers.
#[derive(Debug, Clone, Default)]
pub struct PeerFaults {
    isolated: Arc<AtomicBool>,
}

impl PeerFaults {
    /// Sets whether all messages from and to other daemons are dropped. Neither side receives an
    /// error, as in a silent network partition.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::SeqCst);
    }

    pub(crate) fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::SeqCst)
    }
}

/// The reason why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PeerError {
    /// The ring of the `peers` thread is full.
    #[error("too many messages to other daemons wait; try again")]
    RingFull,
    /// No answer arrived within the timeout.
    #[error("the other daemon did not answer in time; check that it runs")]
    Timeout,
    /// The host refused the connection, so the daemon is not running.
    #[error("the other daemon is not running; start it")]
    Refused,
    /// The connection could not be established or was lost.
    #[error("the connection to the other daemon broke; check the network")]
    Broken,
}

/// A command for the `peers` thread.
pub(crate) enum PeerCommand {
    Ask { address: SocketAddr, question: Bytes, reply: oneshot::Sender<Result<Vec<u8>, PeerError>> },
    Consensus { address: SocketAddr, message: Vec<u8> },
}

/// Sends queries and messages to other daemons.
#[derive(Clone)]
pub(crate) struct PeerHandle {
    ring: mpsc::Sender<PeerCommand>,
    book: AddressBook,
}

impl PeerHandle {
    /// Creates the handle and the receiving end of its ring.
    pub(crate) fn new(book: AddressBook) -> (Self, mpsc::Receiver<PeerCommand>) {
        let (ring, commands) = mpsc::channel(RING_CAPACITY);
        (Self { ring, book }, commands)
    }

    /// Sends a query to another daemon and returns its answer.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        question: &PeerQuestion,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        self.ask_encoded(address, question.encode(), timeout).await
    }

    /// Sends an encoded query, so that a query to many daemons is encoded only once.
    pub(crate) async fn ask_encoded(
        &self,
        address: SocketAddr,
        question: Bytes,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let (reply, answer) = oneshot::channel();
        self.ring
            .try_send(PeerCommand::Ask { address, question, reply })
            .map_err(|_| PeerError::RingFull)?;
        let answer = tokio::time::timeout(timeout, answer)
            .await
            .map_err(|_| PeerError::Timeout)?
            .map_err(|_| PeerError::Broken)??;
        postcard::from_bytes(&answer).map_err(|_| PeerError::Broken)
    }

    /// Sends a query to the daemon of an instance.
    pub(crate) async fn ask_instance(
        &self,
        instance: &InstanceId,
        question: &PeerQuestion,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let address = self.book.get(instance).ok_or(PeerError::Broken)?;
        self.ask(address, question, timeout).await
    }

    /// Sends consensus messages. A message is dropped if the ring is full, because the protocol
    /// resends it.
    pub(crate) fn send_consensus(&self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let Some(address) = self.book.get(&envelope.to) else { continue };
            let message = postcard::to_stdvec(&envelope).expect("a message always serialises");
            let _ = self.ring.try_send(PeerCommand::Consensus { address, message });
        }
    }
}

//! Runs the replica of the replicated log.
//!
//! The `log` thread drives the consensus node, the `storage` thread writes and syncs its batches,
//! and the other duties use the replica through [`LogHandle`].

mod driver;
mod leases;
mod storage_duty;

use crossbeam_channel::{Receiver, Sender, bounded};
use oriolepass_config::{ApplyOutcome, ReplicatedCommand};
use oriolepass_consensus::Envelope;
use oriolepass_schema::operator::AuditTrailView;
use oriolepass_units::InstanceId;
use tokio::sync::oneshot;

use crate::peers::{LeaderAnswer, LeaderReport, LogFailure, MemberHeartbeat, MemberLease};

pub(crate) use driver::{LogParts, start_log};

/// The capacity of the ring of the `log` thread.
const RING_CAPACITY: usize = 8_192;

type Reply<T> = oneshot::Sender<LeaderAnswer<T>>;

/// An input of the `log` thread.
pub(crate) enum LogInput {
    Tick,
    Message(Envelope),
    Propose(ReplicatedCommand, Reply<ApplyOutcome>),
    Heartbeat(MemberHeartbeat, Reply<MemberLease>),
    Audit(u64, u32, Reply<AuditTrailView>),
    LeaderReport(Reply<LeaderReport>),
    WantVoters(Vec<InstanceId>, Reply<()>),
    HandOver(oneshot::Sender<bool>),
    Stop,
}

/// Sends inputs to the `log` thread.
#[derive(Clone)]
pub(crate) struct LogHandle {
    ring: Sender<LogInput>,
}

impl LogHandle {
    /// Creates the handle and the receiving end of its ring.
    pub(crate) fn new() -> (Self, Receiver<LogInput>) {
        let (ring, inputs) = bounded(RING_CAPACITY);
        (Self { ring }, inputs)
    }

    /// Returns the number of inputs queued in the ring.
    pub(crate) fn depth(&self) -> usize {
        self.ring.len()
    }

    /// Delivers a consensus message. If the ring is full, the message is dropped, as a network may
    /// drop it.
    pub(crate) fn deliver(&self, envelope: Envelope) {
        let _ = self.ring.try_send(LogInput::Message(envelope));
    }

    /// Notifies the thread that time has passed.
    pub(crate) fn tick(&self) {
        let _ = self.ring.try_send(LogInput::Tick);
    }

    /// Stops the thread.
    pub(crate) fn stop(&self) {
        let _ = self.ring.send(LogInput::Stop);
    }

    async fn ask<T>(&self, input: impl FnOnce(Reply<T>) -> LogInput) -> LeaderAnswer<T> {
        let (reply, answer) = oneshot::channel();
        self.ring.try_send(input(reply)).map_err(|_| LogFailure::Busy)?;
        answer.await.unwrap_or(Err(LogFailure::Lost))
    }

    pub(crate) async fn propose(&self, command: ReplicatedCommand) -> LeaderAnswer<ApplyOutcome> {
        self.ask(|reply| LogInput::Propose(command, reply)).await
    }

    pub(crate) async fn heartbeat(&self, heartbeat: MemberHeartbeat) -> LeaderAnswer<MemberLease> {
        self.ask(|reply| LogInput::Heartbeat(heartbeat, reply)).await
    }

    pub(crate) async fn audit(&self, after: u64, limit: u32) -> LeaderAnswer<AuditTrailView> {
        self.ask(|reply| LogInput::Audit(after, limit, reply)).await
    }

    pub(crate) async fn leader_report(&self) -> LeaderAnswer<LeaderReport> {
        self.ask(LogInput::LeaderReport).await
    }

    pub(crate) async fn want_voters(&self, wanted: Vec<InstanceId>) -> LeaderAnswer<()> {
        self.ask(|reply| LogInput::WantVoters(wanted, reply)).await
    }

    /// Transfers leadership to another voter if this daemon is the leader.
    pub(crate) async fn hand_over(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        if self.ring.try_send(LogInput::HandOver(reply)).is_err() {
            return false;
        }
        answer.await.unwrap_or(false)
    }
}

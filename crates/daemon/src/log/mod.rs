//! The replica of the log: its thread, the storage thread behind it, and the handle in front.

mod driver;
mod leases;
mod storage_duty;

use crossbeam_channel::{Receiver, Sender, bounded};
use oriolepass_config::{ApplyOutcome, ReplicatedCommand};
use oriolepass_consensus::Envelope;
use oriolepass_schema::operator::AuditTrailView;
use oriolepass_units::InstanceId;
use tokio::sync::oneshot;

use crate::peers::{LeaderAnswer, LeaderReport, LogFailure, MemberBeat, MemberLease};

pub(crate) use driver::{LogParts, start_log};

/// Messages and questions that wait for the log's thread.
const RING_CAPACITY: usize = 8_192;

type Reply<T> = oneshot::Sender<LeaderAnswer<T>>;

/// What the log's thread takes in.
pub(crate) enum LogInput {
    Tick,
    Message(Envelope),
    Propose(ReplicatedCommand, Reply<ApplyOutcome>),
    Beat(MemberBeat, Reply<MemberLease>),
    Audit(u64, u32, Reply<AuditTrailView>),
    LeaderReport(Reply<LeaderReport>),
    WantVoters(Vec<InstanceId>, Reply<()>),
    HandOver(oneshot::Sender<bool>),
    Stop,
}

/// Asks the log's thread.
#[derive(Clone)]
pub(crate) struct LogHandle {
    ring: Sender<LogInput>,
}

impl LogHandle {
    /// Creates the handle and the ring's other end.
    pub(crate) fn new() -> (Self, Receiver<LogInput>) {
        let (ring, inputs) = bounded(RING_CAPACITY);
        (Self { ring }, inputs)
    }

    pub(crate) fn depth(&self) -> usize {
        self.ring.len()
    }

    /// Delivers a consensus message; one that does not fit is dropped, as by the network.
    pub(crate) fn deliver(&self, envelope: Envelope) {
        let _ = self.ring.try_send(LogInput::Message(envelope));
    }

    /// Lets the thread see that time has passed.
    pub(crate) fn tick(&self) {
        let _ = self.ring.try_send(LogInput::Tick);
    }

    /// Ends the thread.
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

    pub(crate) async fn beat(&self, beat: MemberBeat) -> LeaderAnswer<MemberLease> {
        self.ask(|reply| LogInput::Beat(beat, reply)).await
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

    /// Gives up leadership in favour of another voter, if this daemon leads.
    pub(crate) async fn hand_over(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        if self.ring.try_send(LogInput::HandOver(reply)).is_err() {
            return false;
        }
        answer.await.unwrap_or(false)
    }
}

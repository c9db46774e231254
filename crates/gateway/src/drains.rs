//! Drains and restores data centres: replicates operators' commands and applies the result.
//!
//! The endpoint registry excludes the endpoints of drained data centres from selection, so they
//! get no new requests. Requests that already run there are not interrupted.
//!
//! The leader sends the drained data centres to all daemons when they change. They are also part of
//! each proof that the routing document is current, so a daemon that missed the message learns of
//! the change with its next proof.

use std::collections::BTreeSet;
use std::rc::Rc;

use oriolepass_routing::{DrainCommand, DrainOutcome, DrainRegister, DrainRevision};
use oriolepass_units::{DataCentreId, InstanceId};
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout_at};

use crate::documents::{ACKNOWLEDGE_TIMEOUT_RATIO, PROPOSAL_RETRY_DELAY, PROPOSAL_TIMEOUT};
use crate::events::EventKind;
use crate::gateway::{Gateway, PeerReply};
use crate::peers::{DrainVerdict, FreshVerdict, PeerMessage};
use crate::replica::{LogCommand, Proposer};

/// The reason that a command was not acknowledged.
#[derive(Debug, Error)]
pub enum DrainError {
    /// No majority of the voters could be reached in time.
    #[error("the order may or may not be carried out: no majority answered; send it again")]
    Unavailable,
    /// A later command for the data centre was applied first.
    #[error(
        "the data centre was drained or restored meanwhile; send the order again if it still holds"
    )]
    Superseded,
}

impl Gateway {
    /// Returns the data centres whose drain is in force on this daemon.
    pub fn drained_data_centres(&self) -> Vec<DataCentreId> {
        self.drains.borrow().drained().cloned().collect()
    }

    /// Drains or restores a data centre; succeeds also if it is in the requested state already.
    ///
    /// # Errors
    ///
    /// Returns an error when it is unknown whether the command will be applied, or when a later
    /// command was applied first.
    pub async fn set_data_centre_drained(
        self: &Rc<Self>,
        data_centre: &DataCentreId,
        is_drained: bool,
    ) -> Result<(), DrainError> {
        let time_limit = self.settings().bounds.acknowledge.mul_f64(ACKNOWLEDGE_TIMEOUT_RATIO);
        let deadline = Instant::now() + time_limit;
        let proposed = timeout_at(deadline, self.propose_drain(data_centre, is_drained)).await;
        let (result, outcome) = match proposed {
            Ok(DrainOutcome::Changed) => (Ok(()), "changed"),
            Ok(DrainOutcome::Unchanged) => (Ok(()), "unchanged"),
            Ok(DrainOutcome::Superseded) => (Err(DrainError::Superseded), "superseded"),
            Err(_) => (Err(DrainError::Unavailable), "not acknowledged"),
        };
        self.line(EventKind::DataCentreDrain)
            .text("data_centre", data_centre)
            .text("order", if is_drained { "drain" } else { "restore" })
            .maybe("leader", self.leader_instance())
            .text("outcome", outcome);
        result
    }

    async fn propose_drain(
        self: &Rc<Self>,
        data_centre: &DataCentreId,
        is_drained: bool,
    ) -> DrainOutcome {
        // Read once, so that a retry cannot undo a change made after the first attempt.
        let base_revision = self.newest_drain_revision().await;
        let command = DrainCommand { data_centre: data_centre.clone(), is_drained, base_revision };
        loop {
            if let Some(outcome) = self.propose_drain_once(&command).await {
                return outcome;
            }
            sleep(PROPOSAL_RETRY_DELAY).await;
        }
    }

    async fn newest_drain_revision(&self) -> DrainRevision {
        loop {
            if let Some(FreshVerdict::Newest(_, drains)) = self.query_newest().await {
                return drains.revision();
            }
            sleep(PROPOSAL_RETRY_DELAY).await;
        }
    }

    async fn propose_drain_once(self: &Rc<Self>, command: &DrainCommand) -> Option<DrainOutcome> {
        let leader = self.leader_instance()?;
        let command = command.clone();
        let reply = if leader == self.own {
            self.call(&self.own.clone(), PROPOSAL_TIMEOUT, |token| {
                let proposer = Proposer { instance: self.own.clone(), token };
                self.propose_drain_here(command, &proposer);
                // The mesh drops messages to the daemon itself, so this is a placeholder.
                PeerMessage::Farewell
            })
            .await
        } else {
            self.call(&leader, PROPOSAL_TIMEOUT, |token| PeerMessage::ProposeDrain {
                token,
                command,
            })
            .await
        };
        match reply {
            Some(PeerReply::Drained(DrainVerdict::Done(outcome))) => Some(outcome),
            _ => None,
        }
    }

    /// Proposes a command to the local replica, which is expected to lead.
    pub(crate) fn propose_drain_here(self: &Rc<Self>, command: DrainCommand, proposer: &Proposer) {
        let is_proposed = match self.replica.borrow_mut().as_mut() {
            Some(replica) => {
                let command = LogCommand::Drain(command);
                replica.propose(&command, proposer.clone(), self.min_voters()).is_ok()
            }
            None => false,
        };
        if is_proposed {
            self.step_replica();
        } else {
            self.answer_drain(proposer, DrainVerdict::Unknown);
        }
    }

    /// Reports the outcome of a command to its proposer.
    pub(crate) fn answer_drain(&self, proposer: &Proposer, verdict: DrainVerdict) {
        if proposer.instance == self.own {
            self.answer_call(proposer.token, PeerReply::Drained(verdict));
        } else {
            let token = proposer.token;
            let answer = PeerMessage::ProposeDrainAnswer { token, verdict };
            self.mesh.send(&proposer.instance, &answer);
        }
    }

    /// Sends the drained data centres, as the leader, to all daemons that are alive.
    pub(crate) fn broadcast_drains(&self, drains: &DrainRegister) {
        let to: Vec<InstanceId> = {
            let roster = self.roster.borrow();
            roster.alive(self.now()).map(|note| note.instance.clone()).collect()
        };
        self.mesh.send_all(&to, &PeerMessage::Drains(drains.clone()));
    }

    /// Puts the drained data centres in force if their revision is newer than the current one.
    pub(crate) fn adopt_drains(&self, drains: &DrainRegister) {
        if self.drains.borrow().revision() >= drains.revision() {
            return;
        }
        let drained: BTreeSet<DataCentreId> = drains.drained().cloned().collect();
        let names: Vec<&str> = drained.iter().map(DataCentreId::as_str).collect();
        self.line(EventKind::DataCentreDrain)
            .number("revision", drains.revision())
            .text("drained", names.join(","))
            .text("outcome", "in force");
        self.endpoints.borrow_mut().set_drained(self.now(), drained);
        self.drains.replace(drains.clone());
    }
}

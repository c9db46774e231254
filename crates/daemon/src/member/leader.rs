//! Finds the leader of the log and asks it.

use std::time::Duration;

use oriolepass_units::InstanceId;

use crate::peers::{self, LogFailure, MemberBeat, PeerAnswer, PeerError, PeerQuestion};
use crate::shared::DaemonShared;

/// The pause between two rounds of looking for a leader.
const ROUND_PAUSE: Duration = Duration::from_millis(40);

/// How long one voter may take to answer.
const VOTER_PATIENCE: Duration = Duration::from_millis(1_000);

/// The leader could not be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LeaderError {
    /// No voter that could be reached leads or knows who does.
    #[error("no leader is known; check that a majority of the voters runs")]
    NoLeader,
    /// Leadership changed while the question was under way, so its effect is not known.
    #[error("the leader changed; ask again")]
    Lost,
}

/// Asks the leader, remembering who it was.
#[derive(Debug, Default)]
pub(crate) struct LeaderClient {
    hint: Option<InstanceId>,
}

/// What one voter's answer says.
enum VoterSays {
    Answer(PeerAnswer),
    Elsewhere(InstanceId),
    NoLeader,
    Lost,
}

impl LeaderClient {
    /// Returns the leader that answered last.
    pub(crate) fn last_leader(&self) -> Option<&InstanceId> {
        self.hint.as_ref()
    }

    /// Asks until the leader has answered or `patience` is over. Safe for idempotent questions
    /// only: after a change of leader the question is asked again.
    pub(crate) async fn ask(
        &mut self,
        shared: &DaemonShared,
        question: &PeerQuestion,
        patience: Duration,
    ) -> Result<PeerAnswer, LeaderError> {
        let until = shared.now() + patience;
        loop {
            let left = until.since(shared.now());
            if left.is_zero() {
                return Err(LeaderError::NoLeader);
            }
            match self.ask_once(shared, question, left).await {
                Ok(answer) => return Ok(answer),
                Err(_) => tokio::time::sleep(ROUND_PAUSE.min(left)).await,
            }
        }
    }

    /// Asks the last known leader, then every voter, once.
    pub(crate) async fn ask_once(
        &mut self,
        shared: &DaemonShared,
        question: &PeerQuestion,
        patience: Duration,
    ) -> Result<PeerAnswer, LeaderError> {
        let mut candidates: Vec<InstanceId> = self.hint.take().into_iter().collect();
        if shared.log.is_some() {
            candidates.push(shared.id().clone());
        }
        candidates.extend(shared.book.first_voters().into_iter().map(|(instance, _)| instance));
        let until = shared.now() + patience;
        let mut asked: Vec<InstanceId> = Vec::new();
        let mut next = 0;
        while next < candidates.len() {
            let instance = candidates[next].clone();
            next += 1;
            if asked.contains(&instance) {
                continue;
            }
            asked.push(instance.clone());
            let left = until.since(shared.now()).min(VOTER_PATIENCE);
            if left.is_zero() {
                break;
            }
            match ask_voter(shared, &instance, question, left).await {
                Ok(VoterSays::Answer(answer)) => {
                    self.hint = Some(instance);
                    return Ok(answer);
                }
                Ok(VoterSays::Elsewhere(leader)) => candidates.insert(next, leader),
                Ok(VoterSays::Lost) => return Err(LeaderError::Lost),
                Ok(VoterSays::NoLeader) | Err(_) => {}
            }
        }
        Err(LeaderError::NoLeader)
    }

    /// Returns whether a majority of the voters can be asked, or certainly does not run, and
    /// none of these knows a leader.
    ///
    /// A leader needs a majority that follows it. If every majority contains a voter that
    /// follows nobody, there is none.
    pub(crate) async fn majority_without_leader(&self, shared: &DaemonShared) -> bool {
        let voters = shared.book.first_voters();
        let beat = PeerQuestion::Beat(MemberBeat {
            record: shared.member_record(),
            applied: shared.view.mark().config_revision,
            join: false,
        });
        let answers =
            voters.iter().map(|(instance, _)| ask_voter(shared, instance, &beat, VOTER_PATIENCE));
        let answers = futures::future::join_all(answers).await;
        let without = answers
            .iter()
            .filter(|answer| matches!(answer, Ok(VoterSays::NoLeader) | Err(PeerError::Refused)));
        without.count() > voters.len() / 2
    }
}

async fn ask_voter(
    shared: &DaemonShared,
    instance: &InstanceId,
    question: &PeerQuestion,
    patience: Duration,
) -> Result<VoterSays, PeerError> {
    let answer = if instance == shared.id() {
        // This daemon's own replica is asked past the peers' thread.
        let answer = peers::answer(shared, question.clone());
        tokio::time::timeout(patience, answer).await.map_err(|_| PeerError::Timeout)?
    } else {
        shared.peers.ask_instance(instance, question, patience).await?
    };
    let failure = match &answer {
        PeerAnswer::Proposed(result) => result.as_ref().err(),
        PeerAnswer::Lease(result) => result.as_ref().err(),
        PeerAnswer::Audit(result) => result.as_ref().err(),
        PeerAnswer::LeaderReport(result) => result.as_ref().err(),
        PeerAnswer::VotersWanted(result) => result.as_ref().err(),
        _ => None,
    };
    Ok(match failure {
        None => VoterSays::Answer(answer),
        Some(LogFailure::NotLeader { leader: Some(leader), .. }) if leader != instance => {
            VoterSays::Elsewhere(leader.clone())
        }
        Some(LogFailure::NotLeader { .. }) => VoterSays::NoLeader,
        Some(LogFailure::Lost | LogFailure::Busy) => VoterSays::Lost,
    })
}

//! Finds the leader of the log and sends it queries.

use std::time::Duration;

use oriolepass_units::InstanceId;

use crate::peers::{self, LogFailure, MemberHeartbeat, PeerAnswer, PeerError, PeerQuestion};
use crate::shared::DaemonShared;

/// The delay between two rounds of the search for the leader.
const ROUND_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The timeout of a query to one voter.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The error of a query to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LeaderError {
    /// No reachable voter is the leader or knows the leader.
    #[error("no leader is known; check that a majority of the voters runs")]
    NoLeader,
    /// Leadership changed while the query was in flight, so its effect is unknown.
    #[error("the leader changed; ask again")]
    Lost,
}

/// Sends queries to the leader and caches which instance it is.
#[derive(Debug, Default)]
pub(crate) struct LeaderClient {
    hint: Option<InstanceId>,
}

/// The classified answer of one voter.
enum VoterResponse {
    Answer(PeerAnswer),
    Redirect(InstanceId),
    NoLeader,
    Lost,
}

impl LeaderClient {
    /// Returns the leader that answered the last query, if it succeeded.
    pub(crate) fn last_leader(&self) -> Option<&InstanceId> {
        self.hint.as_ref()
    }

    /// Repeats a query until the leader answers or `timeout` elapses.
    ///
    /// This is safe only for idempotent queries, because the query is repeated after a change of
    /// leader.
    pub(crate) async fn ask(
        &mut self,
        shared: &DaemonShared,
        question: &PeerQuestion,
        timeout: Duration,
    ) -> Result<PeerAnswer, LeaderError> {
        let deadline = shared.now() + timeout;
        loop {
            let remaining = deadline.since(shared.now());
            if remaining.is_zero() {
                return Err(LeaderError::NoLeader);
            }
            match self.ask_once(shared, question, remaining).await {
                Ok(answer) => return Ok(answer),
                Err(_) => tokio::time::sleep(ROUND_RETRY_DELAY.min(remaining)).await,
            }
        }
    }

    /// Queries the last known leader, then every voter, each at most once.
    pub(crate) async fn ask_once(
        &mut self,
        shared: &DaemonShared,
        question: &PeerQuestion,
        timeout: Duration,
    ) -> Result<PeerAnswer, LeaderError> {
        let mut candidates: Vec<InstanceId> = self.hint.take().into_iter().collect();
        if shared.log.is_some() {
            candidates.push(shared.id().clone());
        }
        candidates.extend(shared.book.first_voters().into_iter().map(|(instance, _)| instance));
        let deadline = shared.now() + timeout;
        let mut asked: Vec<InstanceId> = Vec::new();
        let mut next = 0;
        while next < candidates.len() {
            let instance = candidates[next].clone();
            next += 1;
            if asked.contains(&instance) {
                continue;
            }
            asked.push(instance.clone());
            let remaining = deadline.since(shared.now()).min(VOTER_TIMEOUT);
            if remaining.is_zero() {
                break;
            }
            match ask_voter(shared, &instance, question, remaining).await {
                Ok(VoterResponse::Answer(answer)) => {
                    self.hint = Some(instance);
                    return Ok(answer);
                }
                Ok(VoterResponse::Redirect(leader)) => candidates.insert(next, leader),
                Ok(VoterResponse::Lost) => return Err(LeaderError::Lost),
                Ok(VoterResponse::NoLeader) | Err(_) => {}
            }
        }
        Err(LeaderError::NoLeader)
    }

    /// Returns whether a majority of the voters either answers that it knows no leader or refuses
    /// the connection, which proves that the daemon is not running.
    ///
    /// A leader needs a majority that follows it. If every majority contains a voter without a
    /// leader, no leader exists.
    pub(crate) async fn majority_without_leader(&self, shared: &DaemonShared) -> bool {
        let voters = shared.book.first_voters();
        let heartbeat = PeerQuestion::Beat(MemberHeartbeat {
            record: shared.member_record(),
            applied: shared.view.mark().config_revision,
            join: false,
        });
        let answers = voters
            .iter()
            .map(|(instance, _)| ask_voter(shared, instance, &heartbeat, VOTER_TIMEOUT));
        let answers = futures::future::join_all(answers).await;
        let leaderless = answers.iter().filter(|answer| {
            matches!(answer, Ok(VoterResponse::NoLeader) | Err(PeerError::Refused))
        });
        leaderless.count() > voters.len() / 2
    }
}

/// Sends a query to one voter and classifies its answer.
async fn ask_voter(
    shared: &DaemonShared,
    instance: &InstanceId,
    question: &PeerQuestion,
    timeout: Duration,
) -> Result<VoterResponse, PeerError> {
    let answer = if instance == shared.id() {
        // The local replica is queried directly, without the peers' thread.
        let answer = peers::answer(shared, question.clone());
        tokio::time::timeout(timeout, answer).await.map_err(|_| PeerError::Timeout)?
    } else {
        shared.peers.ask_instance(instance, question, timeout).await?
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
        None => VoterResponse::Answer(answer),
        Some(LogFailure::NotLeader { leader: Some(leader), .. }) if leader != instance => {
            VoterResponse::Redirect(leader.clone())
        }
        Some(LogFailure::NotLeader { .. }) => VoterResponse::NoLeader,
        Some(LogFailure::Lost | LogFailure::Busy) => VoterResponse::Lost,
    })
}

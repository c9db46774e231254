//! Asks homes for the use of an endpoint.

use std::time::Duration;

use oriolepass_request::AttemptRefusal;
use oriolepass_scheduler::{GrantRefusal, GrantRequest, PromptGrant, rank_homes};
use oriolepass_units::{AttemptId, InstanceId};

use crate::peers::{PeerAnswer, PeerQuestion};
use crate::shared::DaemonShared;

/// Homes asked one after the other before their refusals are passed on.
const MAX_HOMES_ASKED: usize = 3;

/// Asks the homes that serve the target, the best first.
pub(super) async fn ask_homes(
    shared: &DaemonShared,
    ask: GrantRequest,
) -> Result<(InstanceId, PromptGrant), (AttemptId, AttemptRefusal)> {
    let digests = shared.digests.fresh(shared.now());
    let homes = rank_homes(&ask, shared.data_centre(), digests.iter().map(AsRef::as_ref));
    let mut refusal = match digests.is_empty() {
        // No home has been heard of yet, so this daemon cannot tell.
        true => AttemptRefusal::HomeUnreachable,
        false => AttemptRefusal::NoHome,
    };
    for home in homes.into_iter().take(MAX_HOMES_ASKED) {
        match ask_home(shared, &home, &ask).await {
            Ok(grant) => return Ok((home, grant)),
            Err(refused) => refusal = more_helpful(refusal, refused),
        }
    }
    Err((ask.attempt, refusal))
}

async fn ask_home(
    shared: &DaemonShared,
    home: &InstanceId,
    ask: &GrantRequest,
) -> Result<PromptGrant, AttemptRefusal> {
    if home == shared.id() {
        return shared.home.ask(ask.clone()).await.map_err(AttemptRefusal::Home);
    }
    let question = PeerQuestion::Grant(ask.clone());
    match shared.peers.ask_instance(home, &question, ask.patience).await {
        Ok(PeerAnswer::Granted(answer)) => answer.map_err(AttemptRefusal::Home),
        _ => Err(AttemptRefusal::HomeUnreachable),
    }
}

/// Chooses which of two refusals tells the caller more.
fn more_helpful(left: AttemptRefusal, right: AttemptRefusal) -> AttemptRefusal {
    let rank = |refusal: &AttemptRefusal| match refusal {
        AttemptRefusal::NoHome => 0,
        AttemptRefusal::Home(GrantRefusal::NotServed) => 1,
        AttemptRefusal::Home(GrantRefusal::TooBig { .. }) => 2,
        AttemptRefusal::Home(GrantRefusal::AllExcluded) => 3,
        AttemptRefusal::HomeUnreachable => 4,
        AttemptRefusal::Home(GrantRefusal::NotHome) => 5,
        AttemptRefusal::Home(GrantRefusal::AccountBusy { .. }) => 6,
        AttemptRefusal::Home(GrantRefusal::Busy { .. }) => 7,
    };
    if rank(&right) >= rank(&left) { right } else { left }
}

/// Spreads retries, so that those of one failure do not all come back at once.
pub(super) fn jittered(span: Duration) -> Duration {
    span.mul_f64(rand::random_range(0.5..1.5))
}

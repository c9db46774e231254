//! Requests grants from homes. A home is the daemon that schedules an endpoint and keeps the
//! ledger of its memory.

use std::time::Duration;

use oriolepass_request::AttemptRefusal;
use oriolepass_scheduler::{GrantRefusal, GrantRequest, PromptGrant, rank_homes};
use oriolepass_units::{AttemptId, InstanceId};

use crate::peers::{PeerAnswer, PeerQuestion};
use crate::shared::DaemonShared;

/// Maximum number of homes asked in sequence before the request is refused.
const MAX_HOMES_ASKED: usize = 3;

/// Asks the homes that serve the target for a grant, in order of rank. If all refuse, returns
/// the most informative refusal.
pub(super) async fn ask_homes(
    shared: &DaemonShared,
    ask: GrantRequest,
) -> Result<(InstanceId, PromptGrant), (AttemptId, AttemptRefusal)> {
    let digests = shared.digests.fresh(shared.now());
    let homes = rank_homes(&ask, shared.data_centre(), digests.iter().map(AsRef::as_ref));
    let mut refusal = match digests.is_empty() {
        // Without any digest, this daemon does not know which homes exist.
        true => AttemptRefusal::HomeUnreachable,
        false => AttemptRefusal::NoHome,
    };
    for home in homes.into_iter().take(MAX_HOMES_ASKED) {
        match ask_home(shared, &home, &ask).await {
            Ok(grant) => return Ok((home, grant)),
            Err(refused) => refusal = more_informative(refusal, refused),
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

/// Returns whichever of two refusals gives the caller more information.
fn more_informative(left: AttemptRefusal, right: AttemptRefusal) -> AttemptRefusal {
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

/// Returns the delay multiplied by a random factor, so that retries after a common failure do
/// not arrive at the same time.
pub(super) fn jittered(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.5..1.5))
}

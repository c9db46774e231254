//! Claims requests in the replicated log and sends prompts to engines.

use std::sync::Arc;
use std::time::Duration;

use oriolepass_config::{ApplyOutcome, ClaimAnswer, ClaimCommand, ReplicatedCommand};
use oriolepass_request::SendFailure;
use oriolepass_scheduler::{PromptGrant, WorkTarget};
use oriolepass_schema::caller::PromptBody;
use oriolepass_schema::endpoint::{AttemptCall, PartCall};
use oriolepass_units::{AttemptId, MonotonicTime};

use super::driver::EntryRequest;
use super::lines::LineStream;
use crate::member::LeaderClient;
use crate::peers::{PeerAnswer, PeerQuestion};
use crate::shared::DaemonShared;

/// Delay before a claim is retried with a renewed lease.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Claims a request; `None` if no answer arrived before `claim_deadline`.
pub(super) async fn claim_request(
    shared: &DaemonShared,
    request: &EntryRequest,
    nonce: &AttemptId,
    claim_deadline: MonotonicTime,
) -> Option<ClaimAnswer> {
    let claim = request.claim.as_ref().expect("only non-repeatable requests claim");
    let allowed = request.deadline.since(shared.now());
    loop {
        let command = ClaimCommand {
            account: request.account.clone(),
            key: claim.key.clone(),
            body_digest: claim.body_digest.clone(),
            nonce: nonce.clone(),
            entry: shared.id().clone(),
            epoch: shared.lease_epoch(),
            allowed_ms: u64::try_from(allowed.as_millis()).unwrap_or(u64::MAX),
        };
        let question = PeerQuestion::Propose(ReplicatedCommand::Claim(command));
        let left = claim_deadline.since(shared.now());
        let answer = LeaderClient::default().ask(shared, &question, left).await;
        match answer {
            // The lease epoch in the claim is out of date. This daemon is renewing its lease and
            // will soon know the new epoch.
            Ok(PeerAnswer::Proposed(Ok(ApplyOutcome::Claimed(ClaimAnswer::StaleEntry))))
                if shared.now() + CLAIM_RETRY_DELAY < claim_deadline =>
            {
                tokio::time::sleep(CLAIM_RETRY_DELAY).await;
            }
            Ok(PeerAnswer::Proposed(Ok(ApplyOutcome::Claimed(answer)))) => return Some(answer),
            _ => return None,
        }
    }
}

/// Sends a prompt to its engines. The parts are reserved first, so that the memory on the other
/// engines is held before the leading engine starts.
pub(super) async fn send_prompt(
    shared: &DaemonShared,
    request: &EntryRequest,
    prompt: Arc<PromptBody>,
    grant: &PromptGrant,
    resume_from: u64,
    resume_text: String,
) -> Result<LineStream, SendFailure> {
    let WorkTarget::Model(model) = &request.target else { return Err(SendFailure::RefusedNotRun) };
    let (lead, parts) = grant.members.split_first().expect("a grant has a member");
    let holds = parts.iter().map(|part| {
        let call = PartCall { attempt: grant.attempt.clone(), reserved: part.reserved };
        async move { shared.endpoints.hold_part(part.address, &call).await }
    });
    for held in futures::future::join_all(holds).await {
        held.map_err(|_| SendFailure::PartRefused)?;
    }
    let call = AttemptCall {
        attempt: grant.attempt.clone(),
        model: model.clone(),
        prompt,
        max_tokens: request.answer_tokens.0,
        reserved: lead.reserved,
        priority: grant.priority,
        resume_from,
        resume_text,
        helpers: parts.iter().map(|part| part.address).collect(),
    };
    shared.endpoints.start_attempt(lead.address, &call, request.claim.is_none()).await
}

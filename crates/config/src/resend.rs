//! Retains the answers to changes, so that a resent change gets its first answer again.

use std::collections::{BTreeMap, VecDeque};

use oriolepass_schema::error::{ApiError, ErrorCode};
use oriolepass_schema::operator::{ChangeAnswer, ChangeCall};
use oriolepass_units::{ChangeId, TeamId};
use serde::{Deserialize, Serialize};

/// Maximum number of retained answers. At 16,000 changes a day they cover three days.
pub const MAX_RETAINED_REPLIES: usize = 50_000;

type ResendKey = (TeamId, ChangeId);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct KeptReply {
    content: [u8; 16],
    reply: Result<ChangeAnswer, ApiError>,
}

/// The answers to the latest changes of each team, by change id.
///
/// Refusals are retained too. Otherwise a resend of a refused change could be accepted later,
/// after the operator received the refusal and acted on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ResendTable {
    replies: BTreeMap<ResendKey, KeptReply>,
    order: VecDeque<ResendKey>,
}

impl ResendTable {
    /// Returns the first answer to a change, or a refusal if the team used its change id for
    /// another change.
    pub(crate) fn lookup(
        &self,
        team: &TeamId,
        call: &ChangeCall,
    ) -> Option<Result<ChangeAnswer, ApiError>> {
        let kept = self.replies.get(&(team.clone(), call.change_id.clone()))?;
        if kept.content == fingerprint(call) {
            return Some(kept.reply.clone());
        }
        let detail = format!("change id {} named another change", call.change_id);
        Some(Err(ApiError::not_run(ErrorCode::ChangeIdReused, detail)))
    }

    /// Records an answer and evicts the oldest one above [`MAX_RETAINED_REPLIES`].
    pub(crate) fn record(
        &mut self,
        team: &TeamId,
        call: &ChangeCall,
        reply: Result<ChangeAnswer, ApiError>,
    ) {
        let key = (team.clone(), call.change_id.clone());
        self.replies.insert(key.clone(), KeptReply { content: fingerprint(call), reply });
        self.order.push_back(key);
        if self.order.len() > MAX_RETAINED_REPLIES {
            let oldest = self.order.pop_front().expect("the queue is not empty");
            self.replies.remove(&oldest);
        }
    }

    /// Returns the number of retained answers.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}

/// Computes a digest of the call, which detects a change id that is reused for another change.
fn fingerprint(call: &ChangeCall) -> [u8; 16] {
    use sha2::{Digest, Sha256};

    let bytes = postcard::to_stdvec(call).expect("a change always serialises");
    let digest = Sha256::digest(bytes);
    digest[..16].try_into().expect("16 of 32 bytes")
}

//! Remembers the answers to changes, so that a resend gets the first one back.

use std::collections::{BTreeMap, VecDeque};

use oriolepass_schema::error::{ApiError, ErrorCode};
use oriolepass_schema::operator::{ChangeAnswer, ChangeCall};
use oriolepass_units::{ChangeId, TeamId};
use serde::{Deserialize, Serialize};

/// Answers kept; at 16,000 changes a day this is three days.
pub const RESENDS_RETAINED: usize = 50_000;

type ResendKey = (TeamId, ChangeId);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct KeptReply {
    content: [u8; 16],
    reply: Result<ChangeAnswer, ApiError>,
}

/// The answers to the latest changes of each team, by change id.
///
/// Refusals are kept too. Without them, a resend of a refused change could be accepted later,
/// after the operator was told that it had failed and had acted on that.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ResendTable {
    replies: BTreeMap<ResendKey, KeptReply>,
    order: VecDeque<ResendKey>,
}

impl ResendTable {
    /// Returns the first answer to a change, or a refusal if its id named another change.
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

    /// Keeps an answer, and forgets the oldest one when there are too many.
    pub(crate) fn keep(
        &mut self,
        team: &TeamId,
        call: &ChangeCall,
        reply: Result<ChangeAnswer, ApiError>,
    ) {
        let key = (team.clone(), call.change_id.clone());
        self.replies.insert(key.clone(), KeptReply { content: fingerprint(call), reply });
        self.order.push_back(key);
        if self.order.len() > RESENDS_RETAINED {
            let oldest = self.order.pop_front().expect("more than none");
            self.replies.remove(&oldest);
        }
    }

    /// Returns the number of answers kept.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}

fn fingerprint(call: &ChangeCall) -> [u8; 16] {
    use sha2::{Digest, Sha256};

    let bytes = postcard::to_stdvec(call).expect("a change always serialises");
    let digest = Sha256::digest(bytes);
    digest[..16].try_into().expect("16 of 32 bytes")
}

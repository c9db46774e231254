//! The audit trail: who changed what, chained by hashes.

use std::collections::VecDeque;

use oriolepass_schema::operator::{AuditRecord, AuditTrailView};
use oriolepass_units::ObjectRevision;
use serde::{Deserialize, Serialize};

/// Records kept; at 16,000 changes a day this is more than a day, so they are to be exported
/// (`oriolepass audit`) at least daily where they must be kept for longer.
pub const AUDIT_RETAINED: usize = 20_000;

/// What an audit record says, before it has its place in the chain.
pub(crate) struct AuditDraft {
    pub(crate) actor: String,
    pub(crate) action: String,
    pub(crate) before: String,
    pub(crate) after: String,
    pub(crate) verdict: String,
    pub(crate) reason: String,
}

/// The latest records, with the hash that comes before the first of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditTrail {
    anchor: String,
    last_sequence: u64,
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    pub(crate) fn append(
        &mut self,
        unix_ms: u64,
        config_revision: ObjectRevision,
        draft: AuditDraft,
    ) {
        self.last_sequence += 1;
        let mut record = AuditRecord {
            sequence: self.last_sequence,
            unix_ms,
            actor: draft.actor,
            action: draft.action,
            before: draft.before,
            after: draft.after,
            config_revision,
            verdict: draft.verdict,
            reason: draft.reason,
            hash: String::new(),
        };
        record.hash = record.expected_hash(self.last_hash());
        self.records.push_back(record);
        if self.records.len() > AUDIT_RETAINED {
            let oldest = self.records.pop_front().expect("more than none");
            self.anchor = oldest.hash;
        }
    }

    /// Returns the records after a sequence number, at most `limit` of them.
    pub(crate) fn view(&self, after: u64, limit: usize) -> AuditTrailView {
        let skipped = self.records.iter().take_while(|r| r.sequence <= after).count();
        let anchor = match skipped.checked_sub(1) {
            Some(last) => self.records[last].hash.clone(),
            None => self.anchor.clone(),
        };
        let records = self.records.iter().skip(skipped).take(limit).cloned().collect();
        AuditTrailView { anchor, records }
    }

    fn last_hash(&self) -> &str {
        self.records.back().map_or(&self.anchor, |record| &record.hash)
    }
}

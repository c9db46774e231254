//! Implements the audit trail: a hash chain of records that name the actor and the change.

use std::collections::VecDeque;

use oriolepass_schema::operator::{AuditRecord, AuditTrailView};
use oriolepass_units::ObjectRevision;
use serde::{Deserialize, Serialize};

/// Maximum number of retained records. At 16,000 changes a day they cover more than one day.
/// Where records must be kept for longer, operators export them (`oriolepass audit`) at least
/// daily.
pub const MAX_AUDIT_RECORDS: usize = 20_000;

/// Content of an audit record before it gets its sequence number and hash.
pub(crate) struct AuditDraft {
    pub(crate) actor: String,
    pub(crate) action: String,
    pub(crate) before: String,
    pub(crate) after: String,
    pub(crate) verdict: String,
    pub(crate) reason: String,
}

/// The latest records and the anchor: the hash of the record before the first retained one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditTrail {
    anchor: String,
    last_sequence: u64,
    records: VecDeque<AuditRecord>,
}

impl AuditTrail {
    /// Appends a record to the chain and evicts the oldest one above [`MAX_AUDIT_RECORDS`].
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
        if self.records.len() > MAX_AUDIT_RECORDS {
            let oldest = self.records.pop_front().expect("the trail is not empty");
            self.anchor = oldest.hash;
        }
    }

    /// Returns up to `limit` records that follow the sequence number `after`.
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

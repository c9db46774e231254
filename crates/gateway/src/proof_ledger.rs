//! Tracks which daemons may still decide by an older routing document than the newest.
//!
//! A daemon decides by its document until its last proof of that document expires. The leader grants
//! proofs to the daemons that query it, and a hub to its leaves. Each of them keeps a ledger of the
//! proofs that it granted and of the documents that the daemons have confirmed to be in force.
//!
//! A daemon without links confirms nothing, and the date of its last proof shows for how long it may
//! still decide by the document before.

use std::collections::BTreeMap;

use oriolepass_routing::RoutingRevision;
use oriolepass_units::{InstanceId, LeaderTerm, MonotonicTime};

/// The proofs that a leader or a hub granted, and the documents that are in force on the receivers.
#[derive(Debug, Default)]
pub(crate) struct ProofLedger {
    /// The date of the last proof that was granted to each daemon, of whichever document.
    granted: BTreeMap<InstanceId, MonotonicTime>,
    in_force: BTreeMap<InstanceId, RoutingRevision>,
    /// Proofs that are dated before this time may be missing here: a leader does not know the grants
    /// of the leader before it, and a process not those of its previous start.
    incomplete_until: Option<MonotonicTime>,
    term: LeaderTerm,
}

impl ProofLedger {
    /// Creates the ledger of a process that starts at `now`.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self { incomplete_until: Some(now), ..Self::default() }
    }

    /// Records that this daemon leads in a term, in which it takes over from another leader.
    pub(crate) fn begin_term(&mut self, now: MonotonicTime, term: LeaderTerm) {
        if self.term != term {
            self.term = term;
            self.incomplete_until = Some(now);
        }
    }

    /// Records that no proof has ever been granted by others, since no document has been accepted.
    pub(crate) fn record_first_document(&mut self) {
        self.incomplete_until = None;
    }

    /// Records that a daemon was granted a proof that it dates to `at` at the latest.
    pub(crate) fn record_grant(&mut self, daemon: &InstanceId, at: MonotonicTime) {
        let granted = self.granted.entry(daemon.clone()).or_insert(at);
        *granted = at.max(*granted);
    }

    /// Removes the proof of a daemon that has shut down.
    pub(crate) fn remove(&mut self, daemon: &InstanceId) {
        self.granted.remove(daemon);
    }

    /// Records that a daemon has a revision in force; returns whether it was known to have an older
    /// one at most.
    pub(crate) fn record_in_force(
        &mut self,
        daemon: &InstanceId,
        revision: RoutingRevision,
    ) -> bool {
        let held = self.in_force.entry(daemon.clone()).or_default();
        let is_newer = revision > *held;
        *held = revision.max(*held);
        is_newer
    }

    /// Returns whether a daemon has confirmed a revision or a newer one.
    pub(crate) fn is_in_force(&self, daemon: &InstanceId, revision: RoutingRevision) -> bool {
        self.in_force.get(daemon).is_some_and(|held| *held >= revision)
    }

    /// Returns the daemons that were granted a proof and have not confirmed `revision` or a newer one.
    pub(crate) fn unconfirmed(
        &self,
        revision: RoutingRevision,
    ) -> impl Iterator<Item = &InstanceId> {
        self.granted.keys().filter(move |daemon| !self.is_in_force(daemon, revision))
    }

    /// Returns the latest date of a proof by which a daemon may still decide by an older document
    /// than `revision`, or `None` if there is no such daemon.
    ///
    /// No older document is proved once `revision` is known here, at `known_since`.
    pub(crate) fn latest_outdated_proof(
        &self,
        revision: RoutingRevision,
        known_since: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let lacks = |daemon: &InstanceId| !self.is_in_force(daemon, revision);
        let outdated = self.granted.iter().filter(|(daemon, _)| lacks(daemon)).map(|(_, at)| *at);
        outdated.chain(self.incomplete_until).max().map(|at| at.min(known_since))
    }
}

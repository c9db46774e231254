//! Tests of the record of proofs by which daemons may decide by an older document.

use std::time::Duration;

use oriolepass_routing::RoutingRevision;
use oriolepass_units::{InstanceId, LeaderTerm, MonotonicTime};

use crate::proof_ledger::ProofLedger;

const START: MonotonicTime = MonotonicTime(1_000_000);

const OLDER: RoutingRevision = RoutingRevision(4);

const NEWER: RoutingRevision = RoutingRevision(5);

fn at(ms: u64) -> MonotonicTime {
    START + Duration::from_millis(ms)
}

fn daemon(number: u8) -> InstanceId {
    format!("10.0.0.{number}:7340").parse().expect("an instance")
}

/// Returns the ledger of a leader that granted a proof to two daemons.
fn ledger() -> ProofLedger {
    let mut ledger = ProofLedger::new(START);
    ledger.record_first_document();
    for (number, ms) in [(1, 5_000), (2, 5_300)] {
        ledger.record_in_force(&daemon(number), OLDER);
        ledger.record_grant(&daemon(number), at(ms));
    }
    ledger
}

/// Guards against an acknowledgement that does not wait for a daemon without links.
#[test]
fn the_last_proof_of_a_daemon_that_does_not_confirm_counts() {
    let mut ledger = ledger();
    assert_eq!(ledger.latest_outdated_proof(NEWER, at(6_000)), Some(at(5_300)));
    ledger.record_in_force(&daemon(2), NEWER);
    assert_eq!(ledger.latest_outdated_proof(NEWER, at(6_000)), Some(at(5_000)));
    ledger.record_in_force(&daemon(1), NEWER);
    assert_eq!(ledger.latest_outdated_proof(NEWER, at(6_000)), None);
}

/// Guards against a slow acknowledgement after planned shutdowns.
#[test]
fn a_daemon_that_has_shut_down_decides_by_no_document() {
    let mut ledger = ledger();
    ledger.remove(&daemon(2));
    assert_eq!(ledger.latest_outdated_proof(NEWER, at(6_000)), Some(at(5_000)));
}

/// Guards against a wait without end for a daemon that queries and does not get the document.
#[test]
fn grants_after_the_commit_prove_no_older_document() {
    let mut ledger = ledger();
    ledger.record_in_force(&daemon(2), NEWER);
    ledger.record_grant(&daemon(1), at(9_000));
    assert_eq!(ledger.latest_outdated_proof(NEWER, at(6_000)), Some(at(6_000)));
}

/// Guards against a new leader that overlooks the proofs that the leader before it granted.
#[test]
fn proofs_of_an_earlier_leader_may_exist_until_the_election() {
    let mut ledger = ledger();
    for number in [1, 2] {
        ledger.record_in_force(&daemon(number), NEWER);
    }
    ledger.begin_term(at(7_000), LeaderTerm(3));
    assert_eq!(ledger.latest_outdated_proof(NEWER, at(8_000)), Some(at(7_000)));
    ledger.begin_term(at(9_000), LeaderTerm(3));
    assert_eq!(ledger.latest_outdated_proof(NEWER, at(8_000)), Some(at(7_000)), "the same term");
}

/// Guards against a hub that overlooks the proofs that its previous process granted.
#[test]
fn proofs_of_an_earlier_process_may_exist_until_the_start() {
    let ledger = ProofLedger::new(START);
    assert_eq!(ledger.latest_outdated_proof(NEWER, at(500)), Some(START));
}

/// Guards against a slow acknowledgement of the first document, which no daemon can lack a proof of.
#[test]
fn no_proof_is_outdated_by_the_first_document() {
    let mut ledger = ProofLedger::new(START);
    ledger.begin_term(at(400), LeaderTerm(1));
    ledger.record_first_document();
    assert_eq!(ledger.latest_outdated_proof(OLDER, at(500)), None);
}

/// Guards against a confirmation that arrives late and hides a newer one.
#[test]
fn an_older_confirmation_changes_nothing() {
    let mut ledger = ledger();
    ledger.record_in_force(&daemon(1), NEWER);
    assert!(!ledger.record_in_force(&daemon(1), OLDER));
    assert!(ledger.is_in_force(&daemon(1), NEWER));
}

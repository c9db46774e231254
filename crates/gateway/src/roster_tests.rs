//! Tests of the roster: which greetings keep a daemon alive.

use std::time::Duration;

use oriolepass_units::{InstanceId, MonotonicTime};

use crate::peers::TrailingField;
use crate::roster::{DaemonNote, DaemonPhase, DaemonRoster, RosterChange, SILENCE_TIMEOUT};

fn instance() -> InstanceId {
    "10.1.0.2:7000".parse().unwrap()
}

fn note(phase: DaemonPhase, edition: u32) -> DaemonNote {
    DaemonNote {
        instance: instance(),
        name: "front-1".parse().unwrap(),
        boot: 7,
        data_centre: "recife-a".parse().unwrap(),
        callers: "10.1.0.2:8000".parse().unwrap(),
        phase,
        has_disk: false,
        may_found: false,
        replica: None,
        known: 3,
        is_tiered: false,
        edition,
        protocol: TrailingField::default(),
        is_cut_off: TrailingField::default(),
        is_founding: TrailingField::default(),
    }
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

#[test]
fn a_daemon_that_only_reports_its_presence_stays_alive() {
    let mut roster = DaemonRoster::default();
    assert_eq!(roster.update(at(0), note(DaemonPhase::Ready, 1)), RosterChange::Met);
    roster.record_presence(at(2_000), &instance(), 7, 1);
    assert_eq!(roster.alive(at(2_000) + SILENCE_TIMEOUT).count(), 1);
    assert_eq!(roster.alive(at(2_001) + SILENCE_TIMEOUT).count(), 0, "silent since");
}

// Guards against a lost note that stays undetected, such as one that reports that a daemon leaves.
#[test]
fn a_presence_report_with_an_unknown_edition_does_not_keep_a_daemon_alive() {
    let mut roster = DaemonRoster::default();
    roster.update(at(0), note(DaemonPhase::Ready, 1));
    // The note with edition 2 was lost; the daemon may be leaving.
    roster.record_presence(at(2_000), &instance(), 7, 2);
    assert_eq!(roster.alive(at(1) + SILENCE_TIMEOUT).count(), 0);
    // A presence report of another start of the daemon does not keep this start alive either.
    roster.record_presence(at(2_100), &instance(), 8, 1);
    assert_eq!(roster.alive(at(1) + SILENCE_TIMEOUT).count(), 0);
    assert_eq!(roster.update(at(2_200), note(DaemonPhase::Leaving, 2)), RosterChange::Changed);
    roster.record_presence(at(2_300), &"10.1.0.3:7000".parse().unwrap(), 7, 1);
    assert_eq!(roster.known_count(), 1, "a presence report without a known note adds no daemon");
}

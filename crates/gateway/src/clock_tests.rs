//! Tests of the process clock across suspensions of the machine.
//!
//! The steady clock does not count suspended time. With it, a resumed instance would consider the
//! proof of its document, its lease and its callers' deadlines as recent as before the suspension.
//! The tests advance both clocks by hand.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use oriolepass_routing::DocumentProblem;
use oriolepass_settings::GatewaySettings;

use crate::clock::{ClockReading, ProcessClock};
use crate::dialect::{
    AnswerFacts, EndpointCall, RequestFacts, ReservationAnswer, SendFacts, StartQuestion,
    WireDialect,
};
use crate::events::EventLog;
use crate::gateway::Gateway;

thread_local! {
    static READING: Cell<ClockReading> = const {
        Cell::new(ClockReading { steady: Duration::ZERO, with_suspensions: Duration::ZERO })
    };
}

pub(crate) fn run_for(span: Duration) {
    let ClockReading { steady, with_suspensions } = READING.get();
    READING.set(ClockReading { steady: steady + span, with_suspensions: with_suspensions + span });
}

fn suspend_for(span: Duration) {
    let ClockReading { steady, with_suspensions } = READING.get();
    READING.set(ClockReading { steady, with_suspensions: with_suspensions + span });
}

#[test]
fn the_clock_includes_suspended_time() {
    let clock = ProcessClock::start_with(|| READING.get());
    let start = clock.now();
    run_for(Duration::from_millis(500));
    suspend_for(Duration::from_secs(8));
    run_for(Duration::from_millis(500));
    assert_eq!(
        clock.now().since(start),
        Duration::from_secs(9),
        "the age of a proof includes the suspension"
    );
    assert_eq!(clock.uptime(), Duration::from_secs(9));
    assert_eq!(clock.suspended(), Duration::from_secs(8));
    assert_eq!(clock.newly_suspended(Duration::from_secs(1)), Some(Duration::from_secs(7)));
    assert_eq!(clock.newly_suspended(Duration::from_secs(8)), None, "already recorded");
}

#[test]
fn a_short_difference_between_the_clocks_is_no_suspension() {
    let clock = ProcessClock::start_with(|| READING.get());
    suspend_for(Duration::from_millis(3));
    run_for(Duration::from_secs(60));
    assert_eq!(clock.newly_suspended(Duration::ZERO), None);
}

#[test]
fn the_system_clocks_agree_without_a_suspension() {
    let clock = ProcessClock::start();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(30));
    let passed = clock.now().since(before);
    assert!((Duration::from_millis(30)..Duration::from_secs(5)).contains(&passed), "{passed:?}");
    assert_eq!(clock.newly_suspended(Duration::ZERO), None);
}

fn no_call() -> EndpointCall {
    EndpointCall { method: Method::GET, path: "/".into(), body: Bytes::new() }
}

fn no_question() -> StartQuestion {
    StartQuestion { call: no_call(), headers: HeaderMap::new(), is_refused_by_others: false }
}

/// Returns a dialect without content, for tests that read no request.
pub(crate) fn no_dialect() -> WireDialect {
    WireDialect {
        decode_document: |_| {
            Err(DocumentProblem::Unreadable("no document is read in this test".to_owned()))
        },
        read_request: |_| RequestFacts::default(),
        strip_request: |_: &mut HeaderMap, _| {},
        write_send: |_: &SendFacts, _| {},
        read_answer: |_| AnswerFacts::default(),
        is_essential: |_| false,
        reserve: |_, _, _| no_call(),
        release: |_| no_call(),
        ask_engine_start: |_| no_question(),
        ask_endpoint_start: |_, _| no_question(),
        read_reservation: |_| ReservationAnswer::Refused,
    }
}

pub(crate) fn gateway() -> Rc<Gateway> {
    let text = "[instance]\nname = g\ndata_centre = z\n[listen]\ncallers = 127.0.0.1:1\n\
                readiness = 127.0.0.1:2\ncontrol = 127.0.0.1:3\ndirectory = 127.0.0.1:4\n\
                peers = 127.0.0.1:5\nmetrics = 127.0.0.1:6\n[cluster]\nseeds = 127.0.0.1:3\n";
    let settings = GatewaySettings::parse("test", text).expect("good settings");
    let log = EventLog::start("g", |_| Ok(())).expect("a thread");
    let clock = ProcessClock::start_with(|| READING.get());
    Gateway::with_clock(settings, no_dialect(), log, clock)
}

#[test]
fn a_resumed_instance_needs_a_new_proof_before_it_serves_keys() {
    let gateway = gateway();
    run_for(Duration::from_secs(1));
    gateway.documents.borrow_mut().prove(gateway.now());
    run_for(Duration::from_millis(100));
    assert!(gateway.is_fresh() && gateway.has_recent_proof());
    suspend_for(Duration::from_secs(8));
    assert!(!gateway.is_fresh(), "a key may have been revoked meanwhile");
    assert!(!gateway.has_recent_proof(), "the instance is not offered to callers");
    gateway.documents.borrow_mut().prove(gateway.now());
    assert!(gateway.is_fresh(), "a new proof makes the instance fresh again");
}

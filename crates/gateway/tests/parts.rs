//! Tests of the event splitter, the endpoint registry, the retry budget, the balancer and the event
//! log.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use oriolepass_gateway::{
    BeatChange, BudgetRule, EndpointBalancer, EndpointBeat, EndpointFate, EndpointPhase,
    EndpointRegistry, EventKind, EventLog, EventSplitter, FaultKind, ProcessStart, RetryBudget,
};
use oriolepass_units::{MonotonicTime, ServiceName};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

fn beat(endpoint: &str, port: u16, sequence: u64, phase: EndpointPhase) -> EndpointBeat {
    EndpointBeat {
        endpoint: endpoint.parse().unwrap(),
        service: "portal".parse().unwrap(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        data_centre: "recife-a".parse().unwrap(),
        slots: 4,
        phase,
        sequence,
        cold_remaining: Duration::ZERO,
    }
}

// Guards against events that a caller gets twice or in part when a stream is resumed.
#[test]
fn the_splitter_forwards_each_complete_event_once() {
    let mut splitter = EventSplitter::new(Some(1));
    assert!(
        splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").is_empty(),
        "the caller has received event 1"
    );
    assert!(splitter.has_partial());
    assert_eq!(&splitter.push(b"ta: b\n\n")[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
    assert_eq!(&splitter.push(b"id: 3\r\ndata: c\r\n\r\n")[..], b"id: 3\r\ndata: c\r\n\r\n");
    assert!(splitter.push(b"id: 3\ndata: c\n\n").is_empty(), "a repeated event");
    assert!(!splitter.has_partial());
}

#[test]
fn the_splitter_gives_the_same_events_wherever_the_input_is_cut() {
    let text = b"id: 1\ndata: a\n\nweights: 2\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for cut in 0..text.len() {
        let mut splitter = EventSplitter::new(None);
        let mut whole = splitter.push(&text[..cut]).to_vec();
        whole.extend_from_slice(&splitter.push(&text[cut..]));
        assert_eq!(whole, text, "cut at {cut}");
    }
}

// Guards against an endpoint that holds its callers with comments, events without ids, or repeated
// events without end.
#[test]
fn only_events_beyond_the_last_one_count_as_progress() {
    for filler in [": alive\n\n", "data: x\n\n", "id: 1\ndata: a\n\n", "\n", "id: 9\ndata: x\n"] {
        let mut splitter = EventSplitter::new(None);
        assert!(!splitter.push(b"id: 1\ndata: a\n\n").is_empty());
        let mut sent = 0;
        while splitter.excess().is_none() {
            assert!(splitter.push(filler.repeat(1_000).as_bytes()).is_empty(), "{filler:?}");
            sent += filler.len() * 1_000;
            assert!(sent < 2 << 20, "{filler:?} is taken for an answer");
        }
        assert!(splitter.held_bytes() <= sent);
    }
}

// Guards against a resumed stream that is cut because its endpoint begins with what the caller has.
#[test]
fn repeated_events_in_order_are_no_excess() {
    let event = |id: u64| format!("id: {id}\ndata: {}\n\n", "x".repeat(1_000));
    let mut splitter = EventSplitter::new(Some(1_000));
    for id in 1..=1_000 {
        assert!(splitter.push(event(id).as_bytes()).is_empty());
        assert_eq!(splitter.excess(), None);
    }
    assert_eq!(splitter.push(event(1_001).as_bytes()), event(1_001));
}

// Guards against honest streams that are cut: one large event, and comments that keep it alive.
#[test]
fn a_large_event_after_comments_is_no_excess() {
    let mut splitter = EventSplitter::new(None);
    for _ in 0..3_600 {
        assert!(splitter.push(b": alive since the last event\n\n").is_empty());
    }
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat((1 << 20) - 16));
    let (begin, end) = event.as_bytes().split_at(500_000);
    assert!(splitter.push(begin).is_empty());
    assert_eq!(splitter.excess(), None);
    assert_eq!(splitter.push(end).len(), 3_600 * 30 + event.len());
    assert_eq!((splitter.excess(), splitter.held_bytes()), (None, 0));
}

// Guards against a stream that loses what follows its last event.
#[test]
fn what_follows_the_last_event_is_returned_at_the_end() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(&splitter.push(b"id: 1\n\n: bye\n\ndata: done\n\n")[..], b"id: 1\n\n");
    assert!(!splitter.has_partial());
    assert_eq!(&splitter.take_unnumbered()[..], b": bye\n\ndata: done\n\n");
    assert!(splitter.take_unnumbered().is_empty());
}

// Guards against a late heartbeat that reverts a newer one or adds an endpoint that has left.
#[test]
fn late_heartbeats_are_ignored() {
    let mut registry = EndpointRegistry::default();
    let serving = |sequence| beat("i-1", 1, sequence, EndpointPhase::Serving);
    assert_eq!(registry.apply_heartbeat(at(10), serving(5), Duration::ZERO), BeatChange::Met);
    let draining = beat("i-1", 1, 6, EndpointPhase::Draining);
    assert_eq!(registry.apply_heartbeat(at(11), draining, Duration::ZERO), BeatChange::Changed);
    assert_eq!(registry.apply_heartbeat(at(12), serving(4), Duration::ZERO), BeatChange::Stale);
    assert!(
        registry.takes_work(&"i-1".parse().unwrap()).is_none(),
        "a draining endpoint takes no work"
    );
    assert_eq!(registry.leave(&"i-1".parse().unwrap()), "i-1".parse().ok());
    assert_eq!(registry.apply_heartbeat(at(13), serving(9), Duration::ZERO), BeatChange::Stale);
    assert_eq!(registry.all().count(), 0, "an endpoint that has left is not added again");
}

// Guards against heartbeats that undo what an endpoint stated in an answer: one that leaves may go on
// sending that it is ready, and its heartbeats may come late, also after it was silent.
#[test]
fn an_endpoint_that_said_that_it_leaves_takes_no_work_again() {
    let mut registry = EndpointRegistry::default();
    let serving = |sequence| beat("i-1@5", 1, sequence, EndpointPhase::Serving);
    let start = "i-1@5".parse().unwrap();
    assert_eq!(registry.record_leaving(at(9), &start), None, "an unknown endpoint");
    registry.apply_heartbeat(at(10), serving(1), Duration::ZERO);
    let notice = registry.record_leaving(at(11), &start).expect("a change");
    assert_eq!(registry.record_leaving(at(12), &start), None, "known already");
    for sequence in 2..9 {
        let now = at(1_000 * sequence);
        registry.apply_heartbeat(now, serving(sequence), Duration::ZERO);
        assert!(registry.takes_work(&start).is_none());
        assert_eq!(registry.silence(now, &start), Some(Duration::ZERO), "it is alive");
    }
    assert_eq!(registry.expire(at(60_000), Duration::from_secs(10)), std::slice::from_ref(&start));
    registry.apply_heartbeat(at(61_000), serving(9), Duration::ZERO);
    assert!(registry.takes_work(&start).is_none(), "a late heartbeat after it was forgotten");

    // Another daemon, also of an earlier version, learns of it by the notice alone.
    let mut other = EndpointRegistry::default();
    other.apply_heartbeat(at(10), serving(3), Duration::ZERO);
    assert_eq!(other.apply_heartbeat(at(13), notice.beat, notice.age), BeatChange::Changed);
    other.apply_heartbeat(at(14), serving(4), Duration::ZERO);
    assert!(other.takes_work(&start).is_none());

    let next = beat("i-1@6", 2, 1, EndpointPhase::Serving);
    assert_eq!(other.apply_heartbeat(at(15), next, Duration::ZERO), BeatChange::Met);
    assert!(other.takes_work(&"i-1@6".parse().unwrap()).is_some(), "the next start takes work");
}

// Guards against the loss of an endpoint for good because another process answered at its address once, and
// against its ends that are taken for departures.
#[test]
fn a_replaced_start_has_ended_unless_a_later_heartbeat_arrives() {
    let mut registry = EndpointRegistry::default();
    let serving = |sequence| beat("i-1", 1, sequence, EndpointPhase::Serving);
    let start = "i-1".parse().unwrap();
    assert!(!registry.record_replaced(&start), "an unknown endpoint");
    registry.apply_heartbeat(at(10), serving(5), Duration::ZERO);
    assert!(registry.record_replaced(&start));
    assert!(registry.takes_work(&start).is_none());
    assert_eq!(registry.fate(&start, serving(5).address), EndpointFate::Replaced);
    assert_eq!(registry.last_heard(&start), Some(at(10)));
    assert_eq!(registry.apply_heartbeat(at(20), serving(5), Duration::ZERO), BeatChange::Stale);
    assert_eq!(registry.apply_heartbeat(at(300), serving(6), Duration::ZERO), BeatChange::Met);
    assert!(registry.takes_work(&start).is_some());

    // A start that announced that it leaves does not return.
    registry.record_leaving(at(400), &start);
    assert!(registry.record_replaced(&start));
    assert_eq!(registry.apply_heartbeat(at(500), serving(7), Duration::ZERO), BeatChange::Stale);
}

// Guards against a leaf that takes an endpoint for alive after its end, since an earlier report of a hub did
// not list it as silent yet.
#[test]
fn a_reported_silence_replaces_what_was_inferred_from_earlier_reports() {
    let mut registry = EndpointRegistry::default();
    let (start, heartbeat) = ("i-1".parse().unwrap(), Duration::from_secs(1));
    registry.apply_heartbeat(at(10), beat("i-1", 1, 1, EndpointPhase::Serving), Duration::ZERO);
    registry.update_last_heard(at(1_900), &[], heartbeat);
    assert_eq!(registry.last_heard(&start), Some(at(900)));
    let silence = Duration::from_millis(2_300);
    registry.update_last_heard(at(2_400), &[(start.clone(), silence)], heartbeat);
    assert_eq!(registry.last_heard(&start), Some(at(100)));
    // A heartbeat that this daemon has been told of is newer than the report.
    registry.apply_heartbeat(at(2_500), beat("i-1", 1, 2, EndpointPhase::Serving), Duration::ZERO);
    registry.update_last_heard(at(2_600), &[(start.clone(), silence)], heartbeat);
    assert_eq!(registry.last_heard(&start), Some(at(2_500)));
}

#[test]
fn a_new_endpoint_replaces_the_one_that_had_its_address() {
    let mut registry = EndpointRegistry::default();
    registry.apply_heartbeat(at(10), beat("i-old", 1, 1, EndpointPhase::Serving), Duration::ZERO);
    registry.apply_heartbeat(at(900), beat("i-new", 1, 1, EndpointPhase::Serving), Duration::ZERO);
    let known: Vec<String> = registry.all().map(|beat| beat.endpoint.to_string()).collect();
    assert_eq!(known, ["i-new"]);
    assert_eq!(registry.at(SocketAddr::from(([10, 0, 0, 1], 1))), "i-new".parse().ok());
    assert_eq!(registry.expire(at(20_000), Duration::from_secs(10)).len(), 1);
}

// Guards against two known starts of one endpoint: daemons receive heartbeats of both in any order.
#[test]
fn a_later_start_of_an_endpoint_replaces_an_earlier_one_in_any_order() {
    let start = |time: u64, port, sequence| {
        beat(&format!("i-1@{time}"), port, sequence, EndpointPhase::Serving)
    };
    let known = |registry: &EndpointRegistry| -> Vec<String> {
        registry.all().map(|beat| beat.endpoint.to_string()).collect()
    };
    let mut registry = EndpointRegistry::default();
    registry.apply_heartbeat(at(10), start(1_000, 1, 7), Duration::ZERO);
    assert_eq!(
        registry.apply_heartbeat(at(20), start(2_000, 2, 1), Duration::ZERO),
        BeatChange::Met
    );
    assert_eq!(known(&registry), ["i-1@2000"]);
    assert_eq!(
        registry.apply_heartbeat(at(30), start(1_000, 1, 9), Duration::ZERO),
        BeatChange::Stale
    );
    assert_eq!(
        registry.leave(&"i-1@1000".parse().unwrap()),
        None,
        "an earlier start has already been replaced"
    );
    assert_eq!(
        registry.apply_heartbeat(at(40), start(2_000, 2, 2), Duration::ZERO),
        BeatChange::Refreshed
    );
    // In the other order, the heartbeat of the later start arrives first.
    let mut registry = EndpointRegistry::default();
    registry.apply_heartbeat(at(10), start(2_000, 2, 1), Duration::ZERO);
    assert_eq!(
        registry.apply_heartbeat(at(20), start(1_000, 1, 7), Duration::ZERO),
        BeatChange::Stale
    );
    assert_eq!(known(&registry), ["i-1@2000"]);
    // After an endpoint has left, only a later start is added. Leaving without a start time means
    // the latest start.
    assert_eq!(registry.leave(&"i-1".parse().unwrap()), "i-1@2000".parse().ok());
    assert_eq!(
        registry.apply_heartbeat(at(30), start(2_000, 2, 9), Duration::ZERO),
        BeatChange::Stale
    );
    assert_eq!(
        registry.apply_heartbeat(at(40), start(3_000, 3, 1), Duration::ZERO),
        BeatChange::Met
    );
    assert_eq!(
        registry.apply_heartbeat(at(50), start(2_500, 3, 1), Duration::ZERO),
        BeatChange::Stale
    );
    assert_eq!(known(&registry), ["i-1@3000"]);
}

// A heartbeat may arrive seconds late, after another endpoint has taken the address.
#[test]
fn a_late_heartbeat_does_not_reclaim_an_address() {
    let mut registry = EndpointRegistry::default();
    registry.apply_heartbeat(
        at(10),
        beat("i-new@2000", 1, 1, EndpointPhase::Serving),
        Duration::ZERO,
    );
    let late = beat("i-old@1000", 1, 40, EndpointPhase::Serving);
    assert_eq!(registry.apply_heartbeat(at(900), late, Duration::ZERO), BeatChange::Stale);
    assert_eq!(registry.at(SocketAddr::from(([10, 0, 0, 1], 1))), "i-new@2000".parse().ok());
}

/// Sends heartbeats of an endpoint each 1.2 s from `from_ms` to `to_ms`, numbered from `first` on.
fn send_heartbeats(
    registry: &mut EndpointRegistry,
    endpoint: &str,
    first: u64,
    from_ms: u64,
    to_ms: u64,
) {
    for (sequence, now) in (first..).zip((from_ms..to_ms).step_by(1_200)) {
        let beat = beat(endpoint, 1, sequence, EndpointPhase::Serving);
        registry.apply_heartbeat(at(now), beat, Duration::ZERO);
    }
}

// Guards against a late heartbeat of an ended start that removes for good the start which now runs at its
// address. No start times are known here, so the late heartbeat looks like that of a newer start.
#[test]
fn an_endpoint_whose_address_a_late_heartbeat_took_returns() {
    let address = SocketAddr::from(([10, 0, 0, 1], 1));
    let mut registry = EndpointRegistry::default();
    send_heartbeats(&mut registry, "i-new", 1, 10, 2_000);
    let late = |sequence| beat("i-old", 1, sequence, EndpointPhase::Serving);
    registry.apply_heartbeat(at(2_000), late(40), Duration::ZERO);
    send_heartbeats(&mut registry, "i-new", 3, 2_410, 8_000);
    assert_eq!(registry.at(address), "i-new".parse().ok(), "the one that is heard from");
    assert_eq!(registry.apply_heartbeat(at(8_100), late(41), Duration::ZERO), BeatChange::Stale);
    assert_eq!(registry.at(address), "i-new".parse().ok());
}

// Guards against a start that is kept out for good because the clock by which it names its time was set back.
#[test]
fn a_start_with_an_earlier_time_gets_its_address_once_the_other_is_silent() {
    let mut registry = EndpointRegistry::default();
    send_heartbeats(&mut registry, "i-old@2000", 1, 10, 1_000);
    send_heartbeats(&mut registry, "i-new@1000", 1, 900, 8_000);
    let known: Vec<String> = registry.all().map(|beat| beat.endpoint.to_string()).collect();
    assert_eq!(known, ["i-new@1000"]);
}

// Guards against late heartbeats of an ended start that take the address from the next one.
#[test]
fn late_heartbeats_of_a_replaced_start_do_not_take_the_address_back() {
    let address = SocketAddr::from(([10, 0, 0, 1], 1));
    let mut registry = EndpointRegistry::default();
    send_heartbeats(&mut registry, "i-old", 1, 10, 1_000);
    send_heartbeats(&mut registry, "i-new", 1, 1_100, 2_000);
    send_heartbeats(&mut registry, "i-old", 2, 1_900, 5_000);
    assert_eq!(registry.at(address), "i-new".parse().ok());
}

#[test]
fn repeated_sends_stay_within_this_daemons_share_of_the_budget() {
    let mut budget = RetryBudget::new(at(0), ProcessStart::First);
    let rule = BudgetRule { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
    let service: ServiceName = "portal".parse().unwrap();
    (0..100).for_each(|n| budget.count_request(at(20_000 + n), &rule, &service));
    let granted = (0..200).filter(|n| budget.take(at(20_200 + n), &rule, 10, &service)).count();
    assert_eq!(granted, 21, "0.7 of a fifth of 100 requests and a tenth of the slack");
    assert!(!budget.take(at(25_000), &rule, 10, &service));
    let later = (0..20).filter(|n| budget.take(at(50_000 + n), &rule, 10, &service)).count();
    assert_eq!(later, 7, "requests and repeated sends outside the window do not count");
}

#[test]
fn an_endpoint_with_a_recent_fault_is_avoided_and_used_again_later() {
    let mut balancer = EndpointBalancer::default();
    let (bad, good) =
        (beat("i-bad", 1, 1, EndpointPhase::Serving), beat("i-good", 2, 1, EndpointPhase::Serving));
    let own = "recife-a".parse().unwrap();
    let candidates = [&bad, &good];
    balancer.fault(at(0), &bad.endpoint, FaultKind::Broken);
    balancer.begin(&good.endpoint);
    let chosen =
        |now, draw| balancer.choose(at(now), &own, &candidates, draw).unwrap().endpoint.clone();
    assert!(
        (0..10).all(|draw| chosen(10, draw) == good.endpoint),
        "a busy endpoint is preferred to a broken one"
    );
    assert_eq!(chosen(30_000, 0), bad.endpoint, "an old fault does not count");
}

// Guards against a log reader that blocks requests, or that loses lines without a count.
#[test]
fn a_log_with_a_blocked_reader_drops_and_counts_lines() {
    let (release, wait) = mpsc::channel::<()>();
    let (written, seen) = mpsc::channel();
    let log = EventLog::start("i-1", move |bytes| {
        let _ = wait.recv();
        let _ = written.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(())
    })
    .unwrap();
    for number in 0..20_000 {
        log.line(EventKind::End).text("request", format!("r-{number}")).number("sends", 1);
    }
    assert!(log.dropped() > 0, "the buffer is bounded");
    let mut text = String::new();
    while !text.contains("lines-dropped") {
        release.send(()).unwrap();
        text += &seen.recv_timeout(Duration::from_secs(10)).expect("lines");
    }
    let first: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert_eq!(first["event"], "end");
    assert_eq!(first["request"], "r-0");
}

#[test]
fn the_operators_page_lists_every_event_kind() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    for (name, meaning) in EventKind::ALL {
        let row = format!("| `{name}` |{meaning} |");
        assert!(page.contains(&row), "docs/OPERATIONS.md lacks the row {row}");
    }
}

#[test]
fn changed_notices_list_only_endpoints_that_changed_since() {
    let mut registry = EndpointRegistry::default();
    let serving =
        |endpoint: &str, port, sequence| beat(endpoint, port, sequence, EndpointPhase::Serving);
    registry.apply_heartbeat(at(1_000), serving("i-1", 1, 1), Duration::ZERO);
    registry.apply_heartbeat(at(1_000), serving("i-2", 2, 1), Duration::ZERO);
    registry.apply_heartbeat(at(1_000), serving("i-3", 3, 1), Duration::ZERO);
    registry.apply_heartbeat(at(5_000), serving("i-1", 1, 2), Duration::ZERO);
    registry.apply_heartbeat(at(5_100), beat("i-2", 2, 2, EndpointPhase::Draining), Duration::ZERO);
    registry.leave(&"i-3".parse().unwrap());
    registry.apply_heartbeat(at(5_200), serving("i-4", 4, 1), Duration::ZERO);
    let changed = registry.changed_notices(at(6_000), at(3_000));
    let names: Vec<String> =
        changed.iter().map(|notice| notice.beat.endpoint.to_string()).collect();
    assert_eq!(names, ["i-2", "i-4"], "a heartbeat that changes nothing is not listed");
    assert_eq!(registry.departed(9, at(3_000)), ["i-3".parse().unwrap()]);
    assert!(registry.departed(9, at(5_500)).is_empty());
    assert_eq!(registry.changed_notices(at(6_000), MonotonicTime::ZERO).len(), 3, "all endpoints");
}

#[test]
fn an_endpoint_is_cold_for_the_time_given_in_its_heartbeat() {
    let span = Duration::from_secs(3);
    let mut registry = EndpointRegistry::default();
    let cold = |sequence, ms| EndpointBeat {
        cold_remaining: Duration::from_millis(ms),
        ..beat("a", 1, sequence, EndpointPhase::Serving)
    };
    let endpoint = cold(1, 0).endpoint;
    registry.apply_heartbeat(at(10_000), cold(1, 0), Duration::ZERO);
    assert!(!registry.is_cold(at(10_000), &endpoint, span));
    // Another instance relays the heartbeat 200 ms later.
    assert_eq!(
        registry.apply_heartbeat(at(11_000), cold(2, 2_500), Duration::from_millis(200)),
        BeatChange::Changed
    );
    assert!(registry.is_cold(at(13_200), &endpoint, span));
    assert!(!registry.is_cold(at(13_300), &endpoint, span));
}

// An endpoint may become cold while its data centre is drained.
#[test]
fn an_endpoint_of_a_restored_data_centre_counts_as_cold_until_its_next_heartbeat() {
    let span = Duration::from_secs(3);
    let mut registry = EndpointRegistry::default();
    let warm = |sequence| beat("a", 1, sequence, EndpointPhase::Serving);
    let (endpoint, data_centre) = (warm(1).endpoint, warm(1).data_centre);
    registry.apply_heartbeat(at(10_000), warm(1), Duration::ZERO);
    registry.set_drained(at(10_100), [data_centre].into());
    assert!(registry.takes_work(&endpoint).is_none(), "a drained data centre gets no work");
    assert!(registry.is_serving(&endpoint));
    registry.set_drained(at(12_000), BTreeSet::new());
    assert!(registry.takes_work(&endpoint).is_some());
    assert!(registry.is_cold(at(12_500), &endpoint, span));
    assert!(
        !registry.is_cold(at(15_000), &endpoint, span),
        "an endpoint stays cold for `span` at most"
    );
    registry.apply_heartbeat(at(12_600), warm(2), Duration::ZERO);
    assert!(!registry.is_cold(at(12_700), &endpoint, span));
}

#[test]
fn all_hubs_together_grant_no_more_repeated_sends_than_a_window_allows() {
    let rule = BudgetRule { ratio: 0.2, slack: 1_040.0, window: Duration::from_secs(10) };
    let service: ServiceName = "portal".parse().unwrap();
    let mut hubs: Vec<RetryBudget> =
        (0..10).map(|_| RetryBudget::new(at(0), ProcessStart::First)).collect();
    let mut grant_all = |ms: u64| -> usize {
        let grants = hubs
            .iter_mut()
            .map(|hub| (0..500).filter(|_| hub.grant(at(ms), &rule, 10, &service)).count());
        grants.sum()
    };
    let granted = grant_all(1_000);
    assert!((520..=1_040).contains(&granted), "{granted} grants of 1,040");
    assert_eq!(grant_all(9_000), 0, "within the same window");
    assert_eq!(grant_all(12_000), granted, "in the next window");
}

#[test]
fn a_share_of_the_slack_below_one_send_allows_no_repeated_send() {
    let rule = BudgetRule { ratio: 0.2, slack: 1_040.0, window: Duration::from_secs(10) };
    let service: ServiceName = "portal".parse().unwrap();
    let mut budget = RetryBudget::new(at(0), ProcessStart::First);
    budget.count_request(at(20_000), &rule, &service);
    assert!(!budget.take(at(20_010), &rule, 994, &service), "a share of the slack below one send");
    assert!(!budget.take_from_ratio(at(20_010), &rule, &service));
}

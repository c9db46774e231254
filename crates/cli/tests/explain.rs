//! A request's story from kept logs of a real day.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs");
    let mut command = Command::new(env!("CARGO_BIN_EXE_oriolepass"));
    command.current_dir(folder).args(arguments).output().expect("the program runs")
}

fn good(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_story_is_told_in_order_with_what_others_saw_of_its_endpoints() {
    let logs = ["explain", "e7a4469b8e8b2941", "other-instance.log", "broken-stream.log"];
    let story = good(&logs);
    let events: Vec<&str> =
        story.lines().filter_map(|line| line.split_whitespace().nth(2)).collect();
    let expected = ["send", "endpoint-fault", "endpoint-fault", "resume", "send", "end"];
    assert_eq!(events, expected, "{story}");
    assert!(story.contains("front-atl-hall-2"), "another instance met the fault 6 ms before");
    assert!(!story.contains("leader"), "no line that does not concern it");
    assert!(story.contains("after_event=69"));
}

#[test]
fn the_story_can_be_had_as_json() {
    let text = good(&["--json", "explain", "e7a4469b8e8b2941", "broken-stream.log"]);
    assert_eq!(text.lines().count(), 5);
    let last: serde_json::Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(last["event"], "end");
}

#[test]
fn a_timeline_shows_beliefs_only() {
    let text = good(&["timeline", "other-instance.log", "broken-stream.log"]);
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("10.2.0.7:7000"));
}

#[test]
fn an_unknown_request_is_refused_with_a_remedy() {
    let output = run(&["explain", "nobody", "broken-stream.log"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("logs of all gateways"));
}

#[test]
fn losses_are_told_by_route_with_their_cause() {
    let text = good(&["losses", "losses.log"]);
    let rows: Vec<String> =
        text.lines().map(|row| row.split_whitespace().collect::<Vec<_>>().join(" ")).collect();
    assert_eq!(
        rows,
        [
            "dossiers",
            "1 late first event later than predicted",
            "1 refused engines too busy for a prompt of this size",
            "notes",
            "1 on time",
            "1 late first event the gateway had just started",
            "1 late by a pause a long prompt was read beside it",
        ]
    );
}

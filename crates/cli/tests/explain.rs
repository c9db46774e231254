//! Tests `explain`, `timeline` and `losses` on recorded logs of gateways.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs");
    let mut command = Command::new(env!("CARGO_BIN_EXE_oriolepass"));
    command.current_dir(folder).args(arguments).output().expect("the binary runs")
}

fn expect_success(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn explain_lists_events_in_order_with_endpoint_faults_from_other_instances() {
    let logs = ["explain", "e7a4469b8e8b2941", "other-instance.log", "broken-stream.log"];
    let report = expect_success(&logs);
    let events: Vec<&str> =
        report.lines().filter_map(|line| line.split_whitespace().nth(2)).collect();
    let expected = ["send", "endpoint-fault", "endpoint-fault", "resume", "send", "end"];
    assert_eq!(events, expected, "{report}");
    assert!(
        report.contains("front-atl-hall-2"),
        "another instance logged the endpoint fault 6 ms earlier"
    );
    assert!(!report.contains("leader"), "events unrelated to the request must not be listed");
    assert!(report.contains("after_event=69"));
}

#[test]
fn explain_prints_events_as_json() {
    let text = expect_success(&["--json", "explain", "e7a4469b8e8b2941", "broken-stream.log"]);
    assert_eq!(text.lines().count(), 5);
    let last: serde_json::Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(last["event"], "end");
}

#[test]
fn timeline_shows_only_state_changes() {
    let text = expect_success(&["timeline", "other-instance.log", "broken-stream.log"]);
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("10.2.0.7:7000"));
}

#[test]
fn explain_of_an_unknown_request_fails_with_a_remedy() {
    let output = run(&["explain", "nobody", "broken-stream.log"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("logs of all gateways"));
}

#[test]
fn losses_are_counted_by_route_and_cause() {
    let text = expect_success(&["losses", "losses.log"]);
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

/// Guards against a part whose digest leads to none of the prompts that share it.
#[test]
fn explain_of_a_part_lists_its_ends_and_the_refused_prompts() {
    let report = expect_success(&["explain", "22cc", "fatal-part.log"]);
    assert_eq!(report.lines().count(), 3, "{report}");
    assert!(report.contains("prompt refused") && !report.contains("whole"), "{report}");
}

/// Guards against a refusal that cannot be explained because the rests that caused it began long before.
#[test]
fn explain_of_a_refused_request_lists_the_rests_in_force_at_its_instance() {
    let report = expect_success(&["explain", "refused-1", "rests.log"]);
    let events: Vec<&str> =
        report.lines().filter_map(|line| line.split_whitespace().nth(2)).collect();
    assert_eq!(events, ["rest", "rest", "no-place", "end"], "{report}");
    assert!(report.contains("endpoint=i-a") && report.contains("endpoint=i-b"), "{report}");
}

/// Guards against a late answer that cannot be explained because its engine had turned slow long before.
#[test]
fn explain_lists_the_slow_engines_in_force_for_a_request() {
    let report = expect_success(&["explain", "late-1", "slow-engines.log"]);
    let lines: Vec<&str> = report.lines().filter(|line| line.contains("engine-speed")).collect();
    assert_eq!(lines.len(), 1, "{report}");
    assert!(lines[0].contains("endpoint=i-a") && lines[0].contains("slowdown=4.2"), "{report}");
}

/// Guards against a refusal whose story ends with the first attempt: a prompt that returned to
/// another instance.
#[test]
fn explain_links_the_attempts_of_a_prompt() {
    for name in ["a1", "a2", "00c0ffee00c0ffee"] {
        let report = expect_success(&["explain", name, "returned.log"]);
        let events: Vec<&str> =
            report.lines().filter_map(|line| line.split_whitespace().nth(2)).collect();
        assert_eq!(events, ["no-place", "end", "send", "end"], "{report}");
    }
}

//! Tests that a request never runs on more endpoints than its route allows, whatever the outcome of
//! its sends.

use oriolepass_gateway::AttemptCount;
use proptest::prelude::*;

/// The outcome of a send in progress.
#[derive(Debug, Clone, Copy)]
enum SendOutcome {
    /// The endpoint runs the request, and its answer is used or lost.
    Runs,
    /// The send is abandoned, but its endpoint reads and runs the request.
    RunsAfterAbandon,
    /// The send is abandoned before its endpoint reads it. The gateway cannot observe this.
    NeverRead,
    /// The endpoint answers that it does not run the request.
    Rejected,
}

fn outcome() -> impl Strategy<Value = SendOutcome> {
    prop_oneof![
        Just(SendOutcome::Runs),
        Just(SendOutcome::RunsAfterAbandon),
        Just(SendOutcome::NeverRead),
        Just(SendOutcome::Rejected),
    ]
}

/// A step of a request: another send, or the end of the oldest or newest send in progress.
#[derive(Debug, Clone, Copy)]
enum RequestStep {
    Send(SendOutcome),
    EndOldest,
    EndNewest,
}

fn step() -> impl Strategy<Value = RequestStep> {
    prop_oneof![
        outcome().prop_map(RequestStep::Send),
        Just(RequestStep::EndOldest),
        Just(RequestStep::EndNewest),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_request_runs_on_no_more_endpoints_than_its_route_allows(
        max_attempts in 1_u32..4,
        steps in prop::collection::vec(step(), 1..24),
    ) {
        let mut attempts = AttemptCount::default();
        let mut in_progress: Vec<SendOutcome> = Vec::new();
        let mut ran = 0;
        for step in steps {
            let ended = match step {
                RequestStep::Send(outcome) if attempts.runs() < max_attempts => {
                    attempts.record_send();
                    in_progress.push(outcome);
                    None
                }
                RequestStep::Send(_) => None,
                RequestStep::EndOldest if in_progress.is_empty() => None,
                RequestStep::EndOldest => Some(in_progress.remove(0)),
                RequestStep::EndNewest => in_progress.pop(),
            };
            match ended {
                Some(SendOutcome::Runs | SendOutcome::RunsAfterAbandon) => ran += 1,
                Some(SendOutcome::Rejected) => attempts.record_not_run(),
                Some(SendOutcome::NeverRead) | None => {}
            }
            prop_assert!(ran <= max_attempts, "{ran} runs of {max_attempts}");
            prop_assert!(ran <= attempts.runs(), "{ran} runs, {attempts:?}");
        }
    }
}

#[test]
fn an_abandoned_send_counts_as_a_run_and_a_rejected_send_does_not() {
    let mut attempts = AttemptCount::default();
    attempts.record_send();
    attempts.record_send();
    assert_eq!((attempts.sends(), attempts.runs()), (2, 2), "an abandoned send still counts");
    attempts.record_not_run();
    assert_eq!((attempts.sends(), attempts.runs()), (2, 1));
}

#[test]
fn a_rejected_send_counts_as_delivered_and_an_undelivered_send_does_not() {
    let mut attempts = AttemptCount::default();
    attempts.record_send();
    attempts.record_not_delivered();
    assert_eq!(
        (attempts.deliveries(), attempts.runs()),
        (0, 0),
        "no send was delivered, so the next send is no repeat"
    );
    attempts.record_send();
    attempts.record_not_run();
    assert_eq!(
        (attempts.deliveries(), attempts.runs()),
        (1, 0),
        "a send was delivered, so the next send is a repeat"
    );
    attempts.record_send();
    assert_eq!((attempts.sends(), attempts.deliveries(), attempts.runs()), (3, 2, 1));
}

//! What an instance takes for a fault of its own links.

use oriolepass_units::{EndpointStart, MonotonicTime};

use crate::paths::{EndpointPaths, EndpointWay, PathChange};

fn endpoint(number: u32) -> EndpointStart {
    format!("i-{number}@1").parse().expect("a start")
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms * 1_000)
}

fn cut_off() -> EndpointPaths {
    let mut paths = EndpointPaths::default();
    paths.record_answer(at(0), &endpoint(0));
    assert_eq!(paths.record_lost(at(100), &endpoint(1)), PathChange::Lost);
    assert_eq!(paths.record_lost(at(120), &endpoint(2)), PathChange::CutOff);
    paths
}

#[test]
fn one_lost_path_is_no_cut() {
    let mut paths = EndpointPaths::default();
    assert_eq!(paths.record_lost(at(100), &endpoint(1)), PathChange::Lost);
    assert_eq!(paths.way(&endpoint(1)), EndpointWay::Tunnel);
    assert_eq!(paths.way(&endpoint(2)), EndpointWay::Direct);
    assert_eq!(paths.record_answer(at(200), &endpoint(1)), PathChange::Regained);
    assert_eq!(paths.way(&endpoint(1)), EndpointWay::Direct);
}

#[test]
fn an_instance_that_lost_two_paths_uses_others_for_all_endpoints() {
    let paths = cut_off();
    assert_eq!(paths.way(&endpoint(7)), EndpointWay::Tunnel);
}

#[test]
fn an_answer_between_two_lost_paths_shows_that_there_is_no_cut() {
    let mut paths = EndpointPaths::default();
    paths.record_lost(at(100), &endpoint(1));
    paths.record_answer(at(110), &endpoint(3));
    assert_eq!(paths.record_lost(at(120), &endpoint(2)), PathChange::Lost);
    assert!(!paths.is_cut_off());
    // A third path that is lost since then is the second one since the answer.
    assert_eq!(paths.record_lost(at(130), &endpoint(4)), PathChange::CutOff);
}

/// Guards against a cut that seems to be over because connections from before it live on.
#[test]
fn an_answer_on_an_earlier_connection_does_not_end_a_cut() {
    let mut paths = cut_off();
    assert_eq!(paths.record_answer(at(90), &endpoint(1)), PathChange::None);
    assert!(paths.is_cut_off());
    assert_eq!(paths.record_answer(at(600), &endpoint(1)), PathChange::Reconnected);
    assert_eq!(paths.way(&endpoint(2)), EndpointWay::Direct);
}

/// Guards against an endpoint that is slow and looks unreachable.
#[test]
fn silence_alone_is_a_suspicion_and_an_answer_clears_it() {
    let mut paths = EndpointPaths::default();
    paths.record_unanswered(at(100), &endpoint(1));
    assert!(paths.is_suspect(at(200)));
    assert_eq!(paths.way(&endpoint(1)), EndpointWay::Direct);
    paths.record_answer(at(150), &endpoint(2));
    assert!(!paths.is_suspect(at(200)));
    assert_eq!(paths.record_tunnel_answer(at(300)), PathChange::None);
    assert!(!paths.is_suspect(at(200)));
}

#[test]
fn silence_while_another_instance_gets_answers_is_a_lost_path() {
    let mut paths = EndpointPaths::default();
    paths.record_unanswered(at(100), &endpoint(1));
    assert_eq!(paths.record_tunnel_answer(at(400)), PathChange::Lost);
    assert_eq!(paths.way(&endpoint(1)), EndpointWay::Tunnel);
    paths.record_unanswered(at(500), &endpoint(2));
    assert_eq!(paths.record_tunnel_answer(at(800)), PathChange::CutOff);
}

/// Guards against a second send that is lost like the first: once one path is known to be lost, the
/// paths to other endpoints are no less in doubt than before.
#[test]
fn a_lost_path_is_a_suspicion_until_an_endpoint_answers() {
    let mut paths = EndpointPaths::default();
    paths.record_unanswered(at(100), &endpoint(1));
    assert_eq!(paths.record_tunnel_answer(at(110)), PathChange::Lost);
    assert_eq!(paths.way(&endpoint(2)), EndpointWay::Direct);
    assert!(paths.is_suspect(at(200)));
    assert!(!paths.is_suspect(at(6_000)), "a suspicion expires");
    paths.record_answer(at(90), &endpoint(2));
    assert!(paths.is_suspect(at(200)), "the answered connection was opened before the loss");
    paths.record_answer(at(150), &endpoint(2));
    assert!(!paths.is_suspect(at(200)));
    assert_eq!(paths.way(&endpoint(1)), EndpointWay::Tunnel);
}

/// Guards against a request whose first send is a trial of a lost path, and whose second send is lost
/// on the path to another endpoint.
#[test]
fn a_trial_that_fails_is_a_suspicion() {
    let mut paths = EndpointPaths::default();
    paths.record_unanswered(at(100), &endpoint(1));
    paths.record_tunnel_answer(at(110));
    assert!(paths.begin_trial(at(6_000)));
    paths.record_unanswered(at(6_050), &endpoint(1));
    assert!(paths.is_suspect(at(6_100)));
    assert_eq!(paths.record_tunnel_answer(at(6_200)), PathChange::None);
    assert!(!paths.begin_trial(at(7_900)), "trials become rarer");
    assert_eq!(paths.record_answer(at(6_040), &endpoint(1)), PathChange::None);
    assert_eq!(paths.record_answer(at(8_000), &endpoint(1)), PathChange::Regained);
    assert!(!paths.is_suspect(at(8_000)));
}

/// Guards against a cut that is taken for over because something on the way accepts connections.
#[test]
fn a_connection_ends_a_loss_only_where_none_could_be_made() {
    let mut unconnected = cut_off();
    assert_eq!(unconnected.record_connected(at(90), &endpoint(1)), PathChange::None);
    assert_eq!(unconnected.record_connected(at(600), &endpoint(1)), PathChange::Reconnected);
    let mut unanswered = EndpointPaths::default();
    unanswered.record_unanswered(at(100), &endpoint(1));
    unanswered.record_tunnel_answer(at(400));
    assert_eq!(unanswered.next_check(at(1_000), std::iter::empty()), None);
    assert_eq!(unanswered.record_connected(at(600), &endpoint(1)), PathChange::None);
    assert_eq!(unanswered.record_answer(at(700), &endpoint(1)), PathChange::Regained);
}

#[test]
fn trials_become_rarer_until_one_is_answered() {
    let mut paths = EndpointPaths::default();
    assert!(!paths.begin_trial(at(5_000)), "nothing is lost");
    paths.record_unanswered(at(100), &endpoint(1));
    paths.record_tunnel_answer(at(400));
    let trials: Vec<u64> =
        (0..300).map(|tick| tick * 100).filter(|ms| paths.begin_trial(at(*ms))).collect();
    assert_eq!(trials, [1_400, 3_400, 7_400, 15_400, 23_400]);
    paths.record_answer(at(23_400), &endpoint(1));
    assert!(!paths.begin_trial(at(40_000)));
}

#[test]
fn a_suspicion_expires() {
    let mut paths = EndpointPaths::default();
    paths.record_unanswered(at(100), &endpoint(1));
    assert!(!paths.is_suspect(at(6_000)));
    assert_eq!(paths.record_tunnel_answer(at(6_000)), PathChange::None);
    assert_eq!(paths.way(&endpoint(1)), EndpointWay::Direct);
}

#[test]
fn a_lost_path_is_checked_at_intervals() {
    let mut paths = EndpointPaths::default();
    paths.record_lost(at(100), &endpoint(1));
    let known = [endpoint(1), endpoint(2)];
    let checks = [200, 450, 710].map(|ms| paths.next_check(at(ms), known.iter()));
    assert_eq!(checks, [Some(endpoint(1)), None, Some(endpoint(1))]);
}

/// Guards against a cut that never ends because the endpoints that showed it have ended.
#[test]
fn a_cut_off_instance_checks_the_paths_to_all_endpoints() {
    let mut paths = cut_off();
    let known = [endpoint(1), endpoint(2), endpoint(3)];
    let mut checked: Vec<Option<EndpointStart>> =
        [200, 450, 700].map(|ms| paths.next_check(at(ms), known.iter())).to_vec();
    checked.sort();
    assert_eq!(checked, known.clone().map(Some));
}

#[test]
fn a_cut_ends_with_the_endpoints_that_showed_it() {
    let mut paths = cut_off();
    assert_eq!(paths.retain(|known| *known == endpoint(2)), PathChange::None);
    assert_eq!(paths.retain(|_| false), PathChange::Reconnected);
    assert_eq!(paths.next_check(at(2_000), std::iter::empty()), None);
}

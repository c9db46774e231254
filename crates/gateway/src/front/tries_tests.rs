//! Tests how long a request waits at its entry after it found no endpoint.

use std::time::Duration;

use super::placement::NoPlacement;
use super::tries::search_delay;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against prompts that wait for engines in vain before they are refused, and against entries
/// that ask the home each 25 ms for a turn that is known: a surge of giants.
#[test]
fn a_turn_is_waited_for_once_or_passed_on_at_once() {
    let busy = |after| NoPlacement::Busy("engines too busy", millis(after));
    assert_eq!(search_delay(busy(600), millis(880)), Some(millis(600)));
    assert_eq!(search_delay(busy(900), millis(880)), None);
    assert_eq!(search_delay(busy(50), Duration::ZERO), None);
}

/// Guards against a change for prompts whose home keeps no turns: they ask again while they may wait.
#[test]
fn without_turns_a_request_asks_again_while_it_may_wait() {
    let refused = NoPlacement::NoEndpoint("engines too busy", millis(4_000));
    assert_eq!(search_delay(refused, millis(880)), Some(millis(25)));
    assert_eq!(search_delay(refused, Duration::ZERO), None);
    assert_eq!(search_delay(NoPlacement::Resting(millis(900)), millis(10)), Some(millis(900)));
}

/// Guards against a request that is refused with a turn that comes within its patience: the delay was rounded up
/// before it was compared, and the caller was told to come back after 0.00 s.
#[test]
fn a_turn_in_the_last_milliseconds_of_the_patience_is_waited_for() {
    let at_limit = |after| NoPlacement::AtLimit("at the limit", millis(after));
    assert_eq!(search_delay(at_limit(2), millis(3)), Some(millis(5)));
    assert_eq!(search_delay(at_limit(4), millis(3)), None);
}

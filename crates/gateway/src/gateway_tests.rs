//! Tests of calls to other daemons.

use std::cell::Cell;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::clock_tests::gateway;
use crate::gateway::{Gateway, PeerReply};
use crate::peers::PeerMessage;

/// The number of calls of a process.
const CALLS: usize = 200;

/// Makes a call that nobody answers, and lets `act` do something with its token meanwhile. Returns whether it was
/// answered.
async fn call_and(gateway: &Gateway, act: impl FnOnce(u64)) -> bool {
    let to = "127.0.0.1:9".parse().expect("an instance");
    let token = Cell::new(0);
    let call = gateway.call(&to, Duration::from_secs(60), |number| {
        token.set(number);
        PeerMessage::Farewell
    });
    let mut call = std::pin::pin!(call);
    let links = LocalSet::new();
    let begun = links.run_until(timeout(Duration::from_millis(1), &mut call)).await;
    assert!(begun.is_err(), "an answer before there was one");
    act(token.get());
    links.run_until(timeout(Duration::from_millis(1), call)).await.is_ok()
}

/// Guards against an answer that the process before asked for and that this process takes for the answer to a
/// question of its own: a document that is acknowledged and was not accepted, or a proof for the wrong document.
#[tokio::test]
async fn an_answer_to_the_process_before_answers_no_call_of_this_one() {
    let (before, next) = (gateway(), gateway());
    let mut tokens = Vec::new();
    for _ in 0..CALLS {
        call_and(&before, |token| tokens.push(token)).await;
    }
    for _ in 0..CALLS {
        let is_answered = call_and(&next, |_| {
            tokens.iter().for_each(|token| next.answer_call(*token, PeerReply::Repeat(true)));
        });
        assert!(!is_answered.await, "answered by what the process before asked for");
    }
    assert!(call_and(&next, |token| next.answer_call(token, PeerReply::Repeat(true))).await);
}

/// Guards against memory that grows with each call whose caller does not wait for its end.
#[tokio::test]
async fn a_call_that_is_dropped_is_forgotten() {
    let gateway = gateway();
    let to = "127.0.0.1:9".parse().expect("an instance");
    let links = LocalSet::new();
    let call = gateway.call(&to, Duration::from_secs(60), |_| PeerMessage::Farewell);
    let dropped = links.run_until(timeout(Duration::from_millis(20), call)).await;
    assert!(dropped.is_err(), "an answer");
    assert!(gateway.pending_calls.borrow().is_empty());
}

//! Tests of calls to other daemons.

use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::clock_tests::gateway;
use crate::peers::PeerMessage;

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

//! Tests of what the probe of an endpoint takes for a process that does not serve.

use std::net::TcpListener;
use std::time::Duration;

use oriolepass_units::EndpointStart;
use tokio::task::LocalSet;

use super::end_probes::is_mute;
use crate::clock_tests::gateway;
use crate::upstream::EndpointTarget;

// Guards against an engine that rests, is asked too often for it, and is taken for one that answers no call.
#[tokio::test]
async fn an_engine_that_rests_is_not_asked_and_not_taken_for_mute() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let endpoint: EndpointStart = "e".parse().expect("an endpoint");
    let target = EndpointTarget { endpoint: endpoint.clone(), address };
    let gateway = gateway();
    let tasks = LocalSet::new();
    assert!(tasks.run_until(is_mute(&gateway, &target)).await, "nothing answers");
    gateway.record_relayed_rest(&endpoint, Duration::from_secs(5));
    assert!(!tasks.run_until(is_mute(&gateway, &target)).await);
    let has_call_left = gateway.try_begin_endpoint_call(&endpoint);
    assert!(has_call_left, "the probe used up the calls that an engine at rest takes");
}

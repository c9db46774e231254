//! Tests of facts that are sent to the other daemons together.

use std::rc::Rc;
use std::time::Duration;

use oriolepass_quarantine::{RequestDigest, RequestIdentity};
use oriolepass_units::{EndpointStart, InstanceId};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::sleep;

use crate::balancer::FaultKind;
use crate::clock_tests::gateway;
use crate::fact_queue::{FactRecipient, FactSource, by_recipients};
use crate::gateway::Gateway;

const OTHER_DAEMONS: usize = 5;

fn instance(number: usize) -> InstanceId {
    format!("127.0.0.1:{}", number + 11).parse().expect("an id")
}

fn endpoint(number: usize) -> EndpointStart {
    format!("e{number}").parse().expect("an endpoint")
}

fn digest(number: usize) -> RequestDigest {
    let path = format!("/{number}");
    RequestIdentity { account: None, method: "GET", host: "h", path: &path, body: b"" }.digest()
}

fn gateway_with_others() -> Rc<Gateway> {
    let gateway = gateway();
    for number in 0..OTHER_DAEMONS {
        gateway.roster.borrow_mut().add(gateway.now(), &instance(number));
    }
    gateway
}

/// Records `count` ends of endpoints, each under a request of its own.
fn end_endpoints(gateway: &Gateway, count: usize) {
    for number in 0..count {
        let (digest, endpoint) = (digest(number), endpoint(number));
        gateway.endpoint_fault("r", &endpoint, FaultKind::Broken);
        gateway.record_broken_run(digest, &endpoint, gateway.now());
        gateway.record_endpoint_end(digest, &endpoint, gateway.now(), Duration::from_millis(90));
    }
}

// Guards against an event loop that is occupied by a message for each fact when many endpoints end at once.
#[tokio::test]
async fn facts_that_arise_together_leave_together() {
    let tasks = LocalSet::new();
    let sent = tasks.run_until(async {
        let gateway = gateway_with_others();
        spawn_local(Rc::clone(&gateway).send_queued_facts());
        end_endpoints(&gateway, 100);
        sleep(Duration::from_millis(30)).await;
        gateway.mesh.take_traffic()
    });
    let sent = sent.await;
    let messages = |kind: &str| sent.get(kind).map_or(0, |count| count.messages);
    assert_eq!(messages("faults"), 5, "{sent:?}");
    assert_eq!(messages("breaks"), 5, "{sent:?}");
    assert_eq!(messages("cases"), 10, "64 cases at most in a message: {sent:?}");
}

// Guards against a fatal request that is sent on because the fact about its last end was kept back.
#[tokio::test]
async fn a_fact_leaves_at_once_if_none_left_shortly_before() {
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let gateway = gateway_with_others();
            spawn_local(Rc::clone(&gateway).send_queued_facts());
            end_endpoints(&gateway, 1);
            yield_now().await;
            assert!(gateway.mesh.take_traffic().contains_key("cases"));
        })
        .await;
}

// Guards against facts that go around: to the daemon that told them, or to hubs from another hub.
#[test]
fn each_daemon_gets_the_facts_that_it_may_lack() {
    let recipient = |number, is_hub| FactRecipient { instance: instance(number), is_hub };
    let (hub, leaf, teller) = (recipient(0, true), recipient(1, false), recipient(2, false));
    let facts = [
        (FactSource::Own, "own"),
        (FactSource::Daemon(teller.instance.clone()), "leaf's"),
        (FactSource::Hub, "hub's"),
    ];
    let to = [hub.clone(), leaf.clone(), recipient(3, false), teller.clone()];
    let expected = [
        (vec!["own", "leaf's"], vec![hub.instance]),
        (vec!["own", "leaf's", "hub's"], vec![leaf.instance, instance(3)]),
        (vec!["own", "hub's"], vec![teller.instance.clone()]),
    ];
    assert_eq!(by_recipients(&facts, &to), expected);
    assert_eq!(by_recipients(&facts[1..2], &[teller]), []);
}

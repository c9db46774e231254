//! Tests of which starts may use their whole share of the retry budget at once.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_routing::{DrainCommand, DrainRevision};
use oriolepass_settings::GatewaySettings;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use crate::clock_tests::no_dialect;
use crate::events::EventLog;
use crate::gateway::Gateway;
use crate::replica::{Proposer, ReplicaDriver};

const MAX_ELECTION_TIME: Duration = Duration::from_secs(20);

/// Creates a gateway that is the only seed, and runs nothing.
pub(crate) fn create_gateway() -> Rc<Gateway> {
    let text = "[instance]\nname = g\ndata_centre = z\n[listen]\ncallers = 127.0.0.1:1\n\
                readiness = 127.0.0.1:2\ncontrol = 127.0.0.1:3\ndirectory = 127.0.0.1:4\n\
                peers = 127.0.0.1:5\nmetrics = 127.0.0.1:6\n[cluster]\nseeds = 127.0.0.1:3\n\
                may_found = true\nlost_instances = 0\nlost_data_centres = 0\n";
    let settings = GatewaySettings::parse("test", text).expect("good settings");
    let log = EventLog::start("g", |_| Ok(())).expect("a thread");
    Gateway::new(settings, no_dialect(), log)
}

/// Creates a gateway that is the only seed, and runs nothing but its replica: it neither greets nor is
/// greeted.
fn start_replica_alone(folder: &Path) -> Rc<Gateway> {
    let gateway = create_gateway();
    let (reports, to_loop) = tokio::sync::mpsc::unbounded_channel();
    let replica = ReplicaDriver::new(gateway.own.clone(), folder, reports);
    *gateway.replica.borrow_mut() = Some(replica);
    tokio::task::spawn_local(Rc::clone(&gateway).run_replica(to_loop));
    gateway
}

async fn wait_until_leader(gateway: &Gateway) {
    let is_elected = async {
        while !gateway.is_leader() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(MAX_ELECTION_TIME, is_elected).await.expect("an election");
}

/// Proposes a command and judges the start as the next greeting does.
fn propose_and_judge(gateway: &Rc<Gateway>) {
    let command = DrainCommand {
        data_centre: "z".parse().expect("a data centre"),
        is_drained: true,
        base_revision: DrainRevision::default(),
    };
    let proposer = Proposer { instance: gateway.own.clone(), token: 1 };
    gateway.propose_drain_here(command, &proposer);
    let holds_command = gateway.with_node(oriolepass_consensus::ConsensusNode::holds_command);
    assert_eq!(holds_command, Some(true), "the leader takes the command");
    gateway.judge_start();
}

fn may_repeat(gateway: &Gateway) -> bool {
    let service = "portal".parse().expect("a name");
    gateway.budget.borrow_mut().take(gateway.now(), &gateway.budget_rule(), 1, &service)
}

/// Guards against requests of a new system that are not repeated for the first window, because the leader takes the
/// first document between two greetings and its start is judged only with the second.
#[tokio::test]
async fn a_first_start_is_judged_before_the_leader_takes_a_command() {
    let folder = tempfile::tempdir().expect("a folder");
    LocalSet::new()
        .run_until(async {
            let gateway = start_replica_alone(&folder.path().join("log"));
            wait_until_leader(&gateway).await;
            propose_and_judge(&gateway);
            assert!(may_repeat(&gateway), "the whole share of a first start");
        })
        .await;
}

/// Guards against repeats beyond the budget by a process that leads again after its end, and whose settings still
/// say that the system starts for the first time.
#[tokio::test]
async fn a_leader_whose_log_holds_commands_is_no_first_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("log");
    LocalSet::new()
        .run_until(async {
            let gateway = start_replica_alone(&log);
            wait_until_leader(&gateway).await;
            propose_and_judge(&gateway);
            let is_applied = async {
                while gateway.drains.borrow().revision() == DrainRevision::default() {
                    sleep(Duration::from_millis(2)).await;
                }
            };
            timeout(MAX_ELECTION_TIME, is_applied).await.expect("a command that is applied");
        })
        .await;
    LocalSet::new()
        .run_until(async {
            let gateway = start_replica_alone(&log);
            wait_until_leader(&gateway).await;
            gateway.judge_start();
            assert!(!may_repeat(&gateway), "an earlier process may have used its share");
        })
        .await;
}

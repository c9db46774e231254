//! Tests that a learner receives the log but does not count in a quorum.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_consensus::{ConsensusConfig, ConsensusNode, DiskId, Envelope, NodeRole};
use oriolepass_storage::RecoveredLog;
use oriolepass_units::{InstanceId, MonotonicTime};

const STEP: Duration = Duration::from_millis(5);

fn name(number: usize) -> InstanceId {
    format!("v{number}").parse().expect("a valid name")
}

/// Nodes whose messages arrive immediately, unless the sender or the receiver is unreachable.
struct SmallCluster {
    nodes: BTreeMap<InstanceId, ConsensusNode>,
    unreachable: Vec<InstanceId>,
    now: MonotonicTime,
}

impl SmallCluster {
    fn new(voters: usize, all: usize) -> Self {
        let first: Vec<InstanceId> = (0..voters).map(name).collect();
        let now = MonotonicTime(1);
        let node = |number: usize| {
            let config = ConsensusConfig {
                election_timeout: Duration::from_millis(200),
                heartbeat_interval: Duration::from_millis(30),
                drift_percent: 10,
                message_bytes: 4_096,
                first_voters: first.clone(),
                trailing_entries: 1_024,
                seed: number as u64,
            };
            let disk = DiskId(number as u64 + 1);
            ConsensusNode::new(config, name(number), disk, RecoveredLog::default(), now)
        };
        let nodes = (0..all).map(|number| (name(number), node(number))).collect();
        Self { nodes, unreachable: Vec::new(), now }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + STEP;
            let mut sent: Vec<Envelope> = Vec::new();
            for node in self.nodes.values_mut() {
                node.tick(self.now);
                let output = node.take_output();
                sent.extend(output.send);
                if let Some(batch) = output.persist {
                    node.persisted(batch.sequence);
                    sent.extend(batch.send_after);
                }
            }
            for envelope in sent {
                let lost = self.unreachable.contains(&envelope.from.instance)
                    || self.unreachable.contains(&envelope.to);
                if !lost {
                    let to = self.nodes.get_mut(&envelope.to).expect("a known node");
                    to.receive(self.now, envelope);
                }
            }
        }
    }

    fn leader(&self) -> InstanceId {
        let leads = |node: &&ConsensusNode| node.role() == NodeRole::Leader;
        self.nodes.values().find(leads).expect("a leader").id().instance.clone()
    }
}

/// Guards against a leader that commits an entry with acknowledgements of learners.
#[test]
fn a_learner_counts_in_no_quorum() {
    let mut cluster = SmallCluster::new(3, 4);
    cluster.run(400);
    let leader = cluster.leader();
    let spare = name(3);
    // The fourth instance becomes a learner; then the two other voters become unreachable.
    let all: Vec<InstanceId> = (0..4).map(name).collect();
    let node = cluster.nodes.get_mut(&leader).expect("the leader");
    node.set_wanted_voters(all).expect("it leads");
    let learns = |cluster: &SmallCluster| {
        let voters = cluster.nodes[&leader].voters();
        voters.learners.iter().any(|learner| learner.instance == spare)
    };
    for _ in 0..4_000 {
        cluster.run(1);
        if learns(&cluster) {
            break;
        }
    }
    assert!(learns(&cluster), "the spare never became a learner");
    cluster.unreachable = (0..3).map(name).filter(|voter| *voter != leader).collect();
    let before = cluster.nodes[&leader].commit();
    let node = cluster.nodes.get_mut(&leader).expect("the leader");
    let (index, _) = node.propose(Arc::from([1_u8])).expect("it leads");
    cluster.run(20);
    assert!(
        cluster.nodes[&spare].last_index() >= index,
        "the learner did not receive entry {index}"
    );
    let commit = cluster.nodes[&leader].commit();
    assert!(commit < index, "entry {index} was committed with one voter of three");
    assert!(commit >= before);
}

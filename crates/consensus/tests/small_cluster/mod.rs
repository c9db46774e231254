//! Runs nodes without disks whose messages arrive immediately.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_consensus::{
    ConsensusConfig, ConsensusNode, DiskId, Envelope, FoundingRule, NodeRole,
};
use oriolepass_storage::RecoveredLog;
use oriolepass_units::{InstanceId, MonotonicTime};

const STEP: Duration = Duration::from_millis(5);

/// Returns the id of an instance.
pub fn name(number: usize) -> InstanceId {
    format!("v{number}").parse().expect("a valid name")
}

/// Nodes whose messages arrive immediately, unless the sender or the receiver is unreachable.
pub struct SmallCluster {
    pub nodes: BTreeMap<InstanceId, ConsensusNode>,
    pub unreachable: Vec<InstanceId>,
    pub now: MonotonicTime,
}

impl SmallCluster {
    /// Creates the nodes; the first `voters` of them are the first voters.
    pub fn new(voters: usize, all: usize) -> Self {
        let first: Vec<InstanceId> = (0..voters).map(name).collect();
        let now = MonotonicTime(1);
        let node = |number: usize| {
            let config = ConsensusConfig {
                election_timeout: Duration::from_millis(200),
                heartbeat_interval: Duration::from_millis(30),
                drift_percent: 10,
                message_bytes: 4_096,
                first_voters: first.clone(),
                founding: FoundingRule::AllMeet,
                trailing_entries: 1_024,
                seed: number as u64,
            };
            let disk = DiskId(number as u64 + 1);
            ConsensusNode::new(config, name(number), disk, RecoveredLog::default(), now)
        };
        let nodes = (0..all).map(|number| (name(number), node(number))).collect();
        Self { nodes, unreachable: Vec::new(), now }
    }

    pub fn run(&mut self, steps: usize) {
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

    /// # Panics
    ///
    /// Panics if no node leads.
    pub fn leader(&self) -> InstanceId {
        let leads = |node: &&ConsensusNode| node.role() == NodeRole::Leader;
        self.nodes.values().find(leads).expect("a leader").id().instance.clone()
    }
}

//! Checks the invariants across nodes.

use std::collections::{BTreeMap, BTreeSet};

use oriolepass_consensus::{LogEntry, NodeRole};
use oriolepass_units::{InstanceId, LeaderTerm, LogIndex};

use super::Coverage;
use super::node::TestNode;

/// The entries, acknowledgements and leaders of all nodes so far.
#[derive(Default)]
pub struct GlobalChecks {
    applied: BTreeMap<LogIndex, LogEntry>,
    acknowledged: BTreeSet<u64>,
    leaders: BTreeMap<LeaderTerm, InstanceId>,
    last_voter_count: usize,
}

impl GlobalChecks {
    /// Records an entry that a node applied, and checks that all nodes apply the same entry at its
    /// index.
    pub fn record_applied(&mut self, entry: &LogEntry) {
        let first = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "two nodes applied different entries at one index");
    }

    /// Records that a command was acknowledged to the client.
    pub fn acknowledge(&mut self, command: u64) {
        assert!(self.acknowledged.insert(command), "command {command} was accepted twice");
    }

    /// Returns the number of acknowledged commands.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Returns an acknowledged command that a node has not applied.
    pub fn first_missing(&self, node: &TestNode) -> Option<u64> {
        let held: BTreeSet<u64> =
            node.state().map(|state| state.commands.iter().copied().collect()).unwrap_or_default();
        self.acknowledged.difference(&held).next().copied()
    }

    /// Checks that every term has at most one leader.
    pub fn check_leaders(&mut self, nodes: &[TestNode], coverage: &mut Coverage) {
        for node in nodes.iter().filter(|node| node.role() == Some(NodeRole::Leader)) {
            let leader_of_term = self.leaders.entry(node.term()).or_insert_with(|| {
                coverage.leaders += 1;
                node.name.clone()
            });
            assert_eq!(*leader_of_term, node.name, "two leaders in term {}", node.term());
            let (voters, learners) = node.voter_count();
            if learners == 0 && voters > self.last_voter_count && self.last_voter_count > 0 {
                coverage.replaced_disks += 1;
            }
            self.last_voter_count = voters;
        }
    }

    /// Checks that every node has applied every acknowledged command exactly once.
    pub fn check_complete(&self, nodes: &[TestNode]) {
        for node in nodes {
            let state = node.state().expect("all nodes are up");
            let held: BTreeSet<u64> = state.commands.iter().copied().collect();
            assert_eq!(held.len(), state.commands.len(), "{} applied a command twice", node.name);
            let lost: Vec<&u64> = self.acknowledged.difference(&held).collect();
            assert!(lost.is_empty(), "{} lost acknowledged commands {lost:?}", node.name);
        }
    }
}

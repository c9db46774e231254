//! The invariants that hold between nodes.

use std::collections::{BTreeMap, BTreeSet};

use oriolepass_consensus::{LogEntry, NodeRole};
use oriolepass_units::{InstanceId, LeaderTerm, LogIndex};

use super::Coverage;
use super::node::TestNode;

/// What all nodes together have decided so far.
#[derive(Default)]
pub struct GlobalChecks {
    chosen: BTreeMap<LogIndex, LogEntry>,
    acknowledged: BTreeSet<u64>,
    leaders: BTreeMap<LeaderTerm, InstanceId>,
    voters_seen: usize,
}

impl GlobalChecks {
    /// Notes an entry that a node applied; every other must apply the same there.
    pub fn chosen(&mut self, entry: &LogEntry) {
        let first = self.chosen.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "two nodes applied different entries at one place");
    }

    /// Notes that a client was told that its command is accepted.
    pub fn acknowledge(&mut self, command: u64) {
        assert!(self.acknowledged.insert(command), "command {command} was accepted twice");
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    pub fn check_leaders(&mut self, nodes: &[TestNode], coverage: &mut Coverage) {
        for node in nodes.iter().filter(|node| node.role() == Some(NodeRole::Leader)) {
            let known = self.leaders.entry(node.term()).or_insert_with(|| {
                coverage.leaders += 1;
                node.name.clone()
            });
            assert_eq!(*known, node.name, "two leaders in term {}", node.term());
            let (voters, learners) = node.voter_count();
            if learners == 0 && voters > self.voters_seen && self.voters_seen > 0 {
                coverage.replaced_disks += 1;
            }
            self.voters_seen = voters;
        }
    }

    /// Checks that every node holds every acknowledged command, once.
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

//! Exactly one system forms, also from lists of first voters that differ.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolepass_consensus::{
    ConsensusConfig, ConsensusNode, DiskId, Envelope, NodeRole, PersistBatch,
};
use oriolepass_storage::{DiskFolder, FakeDisk, LogStore};
use oriolepass_units::{InstanceId, MonotonicTime};

const STEP: Duration = Duration::from_millis(5);
const SEGMENT_BYTES: u64 = 4_096;

fn name(number: usize) -> InstanceId {
    format!("v{number}").parse().expect("a valid name")
}

fn names(numbers: &[usize]) -> Vec<InstanceId> {
    numbers.iter().map(|number| name(*number)).collect()
}

/// Nodes on disks in memory, whose messages arrive at once.
struct Founders {
    nodes: BTreeMap<InstanceId, (ConsensusNode, LogStore, FakeDisk)>,
    now: MonotonicTime,
}

impl Founders {
    fn new() -> Self {
        Self { nodes: BTreeMap::new(), now: MonotonicTime(1) }
    }

    fn start(&mut self, number: usize, first_voters: &[usize], disk: FakeDisk) {
        let folder = DiskFolder::fake(disk.clone());
        let (store, recovered) = LogStore::open(folder, SEGMENT_BYTES).expect("a store");
        let config = ConsensusConfig {
            election_timeout: Duration::from_millis(200),
            heartbeat_interval: Duration::from_millis(30),
            drift_percent: 10,
            message_bytes: 4_096,
            first_voters: names(first_voters),
            trailing_entries: 16,
            seed: number as u64,
        };
        let id = DiskId(number as u64 + 1);
        let node = ConsensusNode::new(config, name(number), id, recovered, self.now);
        self.nodes.insert(name(number), (node, store, disk));
    }

    fn restart(&mut self, number: usize, first_voters: &[usize]) {
        let (_, _, disk) = self.nodes.remove(&name(number)).expect("a node");
        self.start(number, first_voters, disk);
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + STEP;
            let mut sent: Vec<Envelope> = Vec::new();
            for (node, store, _) in self.nodes.values_mut() {
                node.tick(self.now);
                let output = node.take_output();
                sent.extend(output.send);
                if let Some(batch) = output.persist {
                    PersistBatch::write_group(store, std::slice::from_ref(&batch)).expect("room");
                    node.persisted(batch.sequence);
                    sent.extend(batch.send_after);
                }
            }
            for envelope in sent {
                if let Some((node, _, _)) = self.nodes.get_mut(&envelope.to) {
                    node.receive(self.now, envelope);
                }
            }
        }
    }

    fn has_formed(&self, number: usize) -> bool {
        !self.voters(number).is_empty()
    }

    /// Returns the voters of the system that a node belongs to.
    fn voters(&self, number: usize) -> BTreeSet<InstanceId> {
        let (node, _, _) = &self.nodes[&name(number)];
        node.voters().voters.iter().map(|voter| voter.instance.clone()).collect()
    }

    fn leaders(&self) -> usize {
        let leads = |node: &ConsensusNode| node.role() == NodeRole::Leader;
        self.nodes.values().filter(|(node, _, _)| leads(node)).count()
    }
}

#[test]
fn one_list_forms_one_system() {
    let mut founders = Founders::new();
    (0..3).for_each(|number| founders.start(number, &[0, 1, 2], FakeDisk::default()));
    founders.run(200);
    assert_eq!(founders.leaders(), 1);
}

#[test]
fn lists_that_overlap_never_form_two_systems() {
    let mut founders = Founders::new();
    founders.start(0, &[0, 1, 2], FakeDisk::default());
    founders.start(1, &[0, 1, 2], FakeDisk::default());
    founders.start(2, &[2, 3, 4], FakeDisk::default());
    founders.start(3, &[2, 3, 4], FakeDisk::default());
    founders.start(4, &[2, 3, 4], FakeDisk::default());
    founders.run(400);
    assert_eq!(founders.leaders(), 1);
    // The first two lack the third, which tells them of the system that it is in.
    let formed: BTreeSet<InstanceId> = names(&[2, 3, 4]).into_iter().collect();
    (0..5).for_each(|number| assert_eq!(founders.voters(number), formed, "{number}"));
}

#[test]
fn a_choice_that_was_named_stands_after_a_restart() {
    let mut founders = Founders::new();
    founders.start(0, &[0, 1, 2], FakeDisk::default());
    founders.start(2, &[0, 1, 2], FakeDisk::default());
    // It names its choice to the others, and forgets everything that is not on its disk.
    founders.run(20);
    founders.restart(2, &[2, 3, 4]);
    founders.start(3, &[2, 3, 4], FakeDisk::default());
    founders.start(4, &[2, 3, 4], FakeDisk::default());
    founders.run(200);
    assert!(!founders.has_formed(3) && !founders.has_formed(4), "a second system would form");
    founders.start(1, &[0, 1, 2], FakeDisk::default());
    founders.run(200);
    assert!(founders.has_formed(0) && founders.has_formed(2));
}

#[test]
fn a_replica_without_first_voters_founds_nothing() {
    let mut founders = Founders::new();
    founders.start(0, &[], FakeDisk::default());
    founders.run(400);
    assert!(!founders.has_formed(0));
}

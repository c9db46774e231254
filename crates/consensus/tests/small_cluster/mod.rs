//! Runs nodes whose messages arrive immediately, and whose disks take a given time to sync.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_consensus::{
    ConsensusConfig, ConsensusNode, DiskId, Envelope, FoundingRule, NodeRole, PersistBatch,
};
use oriolepass_storage::RecoveredLog;
use oriolepass_units::{InstanceId, MonotonicTime};

const STEP: Duration = Duration::from_millis(5);

/// The time for which a leader of these nodes may be behind the others.
const MAX_COMMIT_LAG: Duration = Duration::from_millis(250);

/// The election timeout of the nodes.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// The interval between a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(30);

/// Returns the id of an instance.
pub fn name(number: usize) -> InstanceId {
    format!("v{number}").parse().expect("a valid name")
}

/// The batches of a node that are not synced yet. One sync writes all batches that have arrived
/// before it begins.
#[derive(Default)]
struct SlowDisk {
    waiting: Vec<PersistBatch>,
    syncing: Vec<PersistBatch>,
    done_at: MonotonicTime,
}

impl SlowDisk {
    /// Adds a batch, and returns the batches whose sync has completed.
    fn advance(
        &mut self,
        now: MonotonicTime,
        sync_time: Duration,
        batch: Option<PersistBatch>,
    ) -> Vec<PersistBatch> {
        self.waiting.extend(batch);
        let mut synced = Vec::new();
        if now >= self.done_at {
            synced.append(&mut self.syncing);
        }
        if self.syncing.is_empty() && !self.waiting.is_empty() {
            self.syncing.append(&mut self.waiting);
            let writes =
                |batch: &PersistBatch| batch.snapshot.is_some() || !batch.records.is_empty();
            let has_writes = self.syncing.iter().any(writes);
            self.done_at = if has_writes { now + sync_time } else { now };
            if self.done_at == now {
                synced.append(&mut self.syncing);
            }
        }
        synced
    }
}

/// Nodes whose messages arrive immediately, unless the sender or the receiver is unreachable.
pub struct SmallCluster {
    pub nodes: BTreeMap<InstanceId, ConsensusNode>,
    pub unreachable: Vec<InstanceId>,
    pub now: MonotonicTime,
    /// How long each sync of a node takes. Those of other nodes take no time.
    pub sync_times: BTreeMap<InstanceId, Duration>,
    /// Nodes whose event loops are late, with the time at which they go on. Until then they do
    /// nothing, and their messages wait.
    pub late_until: BTreeMap<InstanceId, MonotonicTime>,
    disks: BTreeMap<InstanceId, SlowDisk>,
    /// Messages that have arrived at nodes whose event loops are late.
    unread: BTreeMap<InstanceId, Vec<Envelope>>,
}

impl SmallCluster {
    /// Creates the nodes; the first `voters` of them are the first voters. The seed determines the
    /// election timeouts.
    pub fn new(voters: usize, all: usize, seed: u64) -> Self {
        let first: Vec<InstanceId> = (0..voters).map(name).collect();
        let now = MonotonicTime(1);
        let node = |number: usize| {
            let config = ConsensusConfig {
                election_timeout: ELECTION_TIMEOUT,
                heartbeat_interval: HEARTBEAT_INTERVAL,
                max_commit_lag: MAX_COMMIT_LAG,
                drift_percent: 10,
                message_bytes: 4_096,
                first_voters: first.clone(),
                founding: FoundingRule::AllMeet,
                trailing_entries: 1_024,
                seed: seed * 1_000 + number as u64,
            };
            let disk = DiskId(number as u64 + 1);
            ConsensusNode::new(config, name(number), disk, RecoveredLog::default(), now)
        };
        let nodes = (0..all).map(|number| (name(number), node(number))).collect();
        let disks = (0..all).map(|number| (name(number), SlowDisk::default())).collect();
        Self {
            nodes,
            unreachable: Vec::new(),
            now,
            sync_times: BTreeMap::new(),
            late_until: BTreeMap::new(),
            disks,
            unread: BTreeMap::new(),
        }
    }

    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + STEP;
            let mut sent: Vec<Envelope> = Vec::new();
            self.late_until.retain(|_, until| *until > self.now);
            for (instance, node) in &mut self.nodes {
                if self.late_until.contains_key(instance) {
                    continue;
                }
                node.tick(self.now);
                // A loop that was late may advance the time before it reads what has arrived.
                for envelope in self.unread.remove(instance).unwrap_or_default() {
                    node.receive(self.now, envelope);
                }
                let output = node.take_output();
                sent.extend(output.send);
                let disk = self.disks.get_mut(instance).expect("a known node");
                let sync_time = self.sync_times.get(instance).copied().unwrap_or_default();
                for batch in disk.advance(self.now, sync_time, output.persist) {
                    node.persisted(self.now, batch.sequence);
                    sent.extend(batch.send_after);
                }
            }
            for envelope in sent {
                let lost = self.unreachable.contains(&envelope.from.instance)
                    || self.unreachable.contains(&envelope.to);
                if lost {
                    continue;
                }
                if self.late_until.contains_key(&envelope.to) {
                    self.unread.entry(envelope.to.clone()).or_default().push(envelope);
                } else {
                    let to = self.nodes.get_mut(&envelope.to).expect("a known node");
                    to.receive(self.now, envelope);
                }
            }
        }
    }

    /// Returns the reachable leader with the highest term.
    pub fn leader(&self) -> Option<InstanceId> {
        let nodes = self.nodes.iter().filter(|(name, _)| !self.unreachable.contains(name));
        let leaders = nodes.filter(|(_, node)| node.role() == NodeRole::Leader);
        leaders.max_by_key(|(_, node)| node.term()).map(|(name, _)| name.clone())
    }
}

//! One node of the run: the real node and the real store on a fake disk, and a state machine.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use oriolepass_consensus::{
    ConsensusConfig, ConsensusNode, DiskId, EntryPayload, Envelope, LogEntry, NodeRole,
    PersistBatch, VoterSet,
};
use oriolepass_storage::{DiskFolder, FakeDisk, LogStore, StorageError};
use oriolepass_units::{InstanceId, LeaderTerm, LogIndex, MonotonicTime};
use rand::Rng;
use rand::rngs::StdRng;

use super::Coverage;
use super::checks::GlobalChecks;

const SEGMENT_BYTES: u64 = 2_048;
const DRIFT_PERCENT: u32 = 10;

/// The state machine: the commands applied, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TestState {
    pub applied: u64,
    pub commands: Vec<u64>,
}

impl TestState {
    fn encode(&self) -> Vec<u8> {
        let numbers = std::iter::once(&self.applied).chain(&self.commands);
        numbers.flat_map(|number| number.to_le_bytes()).collect()
    }

    fn decode(bytes: &[u8]) -> Self {
        let mut numbers =
            bytes.chunks_exact(8).map(|chunk| u64::from_le_bytes(chunk.try_into().expect("8")));
        let applied = numbers.next().expect("the index");
        Self { applied, commands: numbers.collect() }
    }
}

struct RunningNode {
    node: ConsensusNode,
    store: LogStore,
    batches: VecDeque<PersistBatch>,
    /// Proposals that wait, by index, with the term they were made in.
    waiting: BTreeMap<LogIndex, (LeaderTerm, u64)>,
    /// Reads that wait, with what must be seen at least.
    reads: BTreeMap<u64, usize>,
    next_read: u64,
    state: TestState,
}

pub struct TestNode {
    pub name: InstanceId,
    first_voters: Vec<InstanceId>,
    disk: FakeDisk,
    /// Parts per thousand by which the local clock is fast or slow.
    rate: u32,
    /// For how long the local clock has stood still.
    stood_still: Duration,
    running: Option<RunningNode>,
    /// The most that this node ever showed, with its disk.
    shown: u64,
    seed: u64,
}

impl TestNode {
    pub fn new(name: InstanceId, first_voters: &[InstanceId], random: &mut StdRng) -> Self {
        Self {
            name,
            first_voters: first_voters.to_vec(),
            disk: FakeDisk::default(),
            // Any two clocks differ by less than DRIFT_PERCENT.
            rate: random.random_range(955..1045),
            stood_still: Duration::ZERO,
            running: None,
            shown: 0,
            seed: random.random(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.running.is_some()
    }

    pub fn local_time(&self, true_time: Duration) -> MonotonicTime {
        MonotonicTime::ZERO + true_time.saturating_sub(self.stood_still) * self.rate / 1_000
    }

    /// Lets the local clock stand still for a span, as the steady clock does in a suspension.
    pub fn stand_still(&mut self, span: Duration) {
        self.stood_still += span;
    }

    /// Returns whether something is not synced yet.
    pub fn is_writing(&self) -> bool {
        self.running.as_ref().is_some_and(|running| !running.batches.is_empty())
    }

    /// Starts the node; returns whether a torn frame was cut.
    pub fn start(&mut self, true_time: Duration, fresh: u64) -> bool {
        let folder = DiskFolder::fake(self.disk.clone());
        let (store, recovered) = LogStore::open(folder, SEGMENT_BYTES).expect("a whole store");
        let torn = recovered.cut_bytes > 0;
        self.seed = self.seed.wrapping_add(1);
        let config = ConsensusConfig {
            election_timeout: Duration::from_millis(200),
            heartbeat_interval: Duration::from_millis(30),
            drift_percent: DRIFT_PERCENT,
            message_bytes: 600,
            first_voters: self.first_voters.clone(),
            trailing_entries: 1_024,
            seed: self.seed,
        };
        let now = self.local_time(true_time);
        let node = ConsensusNode::new(config, self.name.clone(), DiskId(fresh), recovered, now);
        self.running = Some(RunningNode {
            node,
            store,
            batches: VecDeque::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            state: TestState::default(),
        });
        torn
    }

    /// Crashes the node, often in the middle of what it was writing, with a loss of power.
    pub fn crash(&mut self, random: &mut StdRng) {
        self.end_while_writing(random);
        self.disk.crash(random);
    }

    /// Ends the process in the same way, but keeps the power.
    pub fn kill(&mut self, random: &mut StdRng) {
        self.end_while_writing(random);
        self.disk.kill_process();
    }

    fn end_while_writing(&mut self, random: &mut StdRng) {
        self.disk.fail_after(random.random_range(0..5));
        if let Some(running) = &mut self.running {
            while running.try_sync().is_ok_and(|sent| sent.is_some()) {}
        }
        self.running = None;
    }

    pub fn lose_disk(&mut self) {
        self.disk.wipe();
        self.shown = 0;
    }

    pub fn role(&self) -> Option<NodeRole> {
        self.running.as_ref().map(|running| running.node.role())
    }

    pub fn term(&self) -> LeaderTerm {
        self.running.as_ref().map_or(LeaderTerm::ZERO, |running| running.node.term())
    }

    pub fn state(&self) -> Option<&TestState> {
        self.running.as_ref().map(|running| &running.state)
    }

    pub fn applied(&self) -> u64 {
        self.state().map_or(0, |state| state.applied)
    }

    pub fn knows_voters(&self) -> bool {
        self.running.as_ref().is_some_and(|r| !r.node.voters().voters.is_empty())
    }

    /// Returns the voters and the learners that this node knows of.
    pub fn voter_count(&self) -> (usize, usize) {
        let count = |set: &VoterSet| (set.voters.len(), set.learners.len());
        self.running.as_ref().map_or((0, 0), |running| count(running.node.voters()))
    }

    pub fn holds_lease(&self, now: MonotonicTime) -> bool {
        self.running.as_ref().is_some_and(|running| running.node.holds_lease(now))
    }

    pub fn transfer_leadership(&mut self, now: MonotonicTime) -> bool {
        self.running.as_mut().is_some_and(|running| running.node.transfer_leadership(now))
    }

    /// Proposes a command; returns how many earlier proposals it replaces.
    pub fn propose(&mut self, command: u64) -> u64 {
        let Some(running) = &mut self.running else { return 0 };
        match running.node.propose(Arc::from(command.to_le_bytes())) {
            Ok((index, term)) => {
                u64::from(running.waiting.insert(index, (term, command)).is_some())
            }
            Err(_) => 0,
        }
    }

    pub fn read(&mut self, now: MonotonicTime, floor: usize) {
        let Some(running) = &mut self.running else { return };
        let token = running.next_read;
        running.next_read += 1;
        running.reads.insert(token, floor);
        if running.node.read(now, token).is_err() {
            running.reads.remove(&token);
        }
    }

    /// Takes a snapshot where enough was applied; returns whether it did.
    pub fn snapshot(&mut self) -> bool {
        let Some(running) = &mut self.running else { return false };
        let applied = LogIndex(running.state.applied);
        if applied.0 < running.node.base_index().0 + 10 {
            return false;
        }
        running.node.take_snapshot(applied, running.state.encode());
        true
    }

    pub fn receive(&mut self, now: MonotonicTime, envelope: Envelope) {
        if let Some(running) = &mut self.running {
            running.node.receive(now, envelope);
        }
    }

    /// Lets time pass; returns what is to be sent.
    pub fn advance(
        &mut self,
        now: MonotonicTime,
        sync: bool,
        checks: &mut GlobalChecks,
        coverage: &mut Coverage,
    ) -> Vec<Envelope> {
        let Some(running) = &mut self.running else { return Vec::new() };
        running.node.tick(now);
        let mut sent = Vec::new();
        if sync {
            sent.extend(running.sync());
        }
        let output = running.node.take_output();
        sent.extend(output.send);
        if let Some(held) = output.restore {
            running.state = TestState::decode(&held.data);
            coverage.snapshots_installed += 1;
        }
        for entry in output.committed {
            running.apply(&self.name, &entry, checks, coverage);
        }
        running.batches.extend(output.persist);
        for (token, index) in output.reads {
            running.finish_read(token, index, coverage);
        }
        output.failed_reads.iter().for_each(|token| {
            running.reads.remove(token);
        });
        let applied = running.state.applied;
        self.shown = self.shown.max(applied);
        sent
    }

    pub fn describe(&self) -> String {
        let Some(running) = &self.running else { return format!("{} down", self.name) };
        let node = &running.node;
        format!(
            "{} {:?} term {} commit {} last {} applied {} voters {:?}",
            self.name,
            node.role(),
            node.term(),
            node.commit(),
            node.last_index(),
            running.state.applied,
            node.voters(),
        )
    }
}

impl RunningNode {
    /// Syncs the oldest batch and returns what may be sent now.
    fn sync(&mut self) -> Vec<Envelope> {
        self.try_sync().expect("the disk works").unwrap_or_default()
    }

    fn try_sync(&mut self) -> Result<Option<Vec<Envelope>>, StorageError> {
        let Some(batch) = self.batches.pop_front() else { return Ok(None) };
        if let Some((meta, held)) = &batch.snapshot {
            self.store.save_snapshot(meta, &held.data)?;
        }
        self.store.append(&batch.records)?;
        if let Some((index, keep_after)) = batch.compact {
            self.store.compact(index, keep_after)?;
        }
        self.node.persisted(batch.sequence);
        Ok(Some(batch.send_after))
    }

    fn apply(
        &mut self,
        name: &InstanceId,
        entry: &LogEntry,
        checks: &mut GlobalChecks,
        coverage: &mut Coverage,
    ) {
        assert_eq!(entry.index.0, self.state.applied + 1, "{name} applies in order");
        self.state.applied = entry.index.0;
        if let EntryPayload::Command(bytes) = &entry.payload {
            let command = u64::from_le_bytes(bytes.as_ref().try_into().expect("8 bytes"));
            self.state.commands.push(command);
        }
        checks.chosen(entry);
        if let Some((term, command)) = self.waiting.remove(&entry.index) {
            if term == entry.term {
                checks.acknowledge(command);
                coverage.accepted += 1;
            } else {
                coverage.lost_proposals += 1;
            }
        }
    }

    fn finish_read(&mut self, token: u64, index: LogIndex, coverage: &mut Coverage) {
        let Some(floor) = self.reads.remove(&token) else { return };
        // The state machine may lag behind the index; a real read waits for it. All that was
        // acknowledged before the question must be within the index.
        if self.state.applied >= index.0 {
            let seen = self.state.commands.len();
            assert!(seen >= floor, "a read saw {seen} commands, but {floor} were acknowledged");
            coverage.lease_reads += 1;
        }
    }
}

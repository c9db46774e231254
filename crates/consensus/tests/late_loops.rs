//! Tests that replicas whose own event loops were late do not take their pauses for the silence of
//! others, and that a leader that is lost is still replaced.

mod small_cluster;

use std::time::Duration;

use oriolepass_consensus::{ConsensusNode, NodeRole};
use oriolepass_units::{InstanceId, LeaderTerm, LogIndex, MonotonicTime};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use small_cluster::{ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, SmallCluster, name};

const VOTERS: usize = 5;
const STEPS_PER_SECOND: usize = 200;
const SEEDS: u64 = 40;

/// The longest time for which a loop is late once.
const MAX_LATE: Duration = ELECTION_TIMEOUT.saturating_mul(3);

/// The longest turn of a loop that is always late.
const MAX_TURN: Duration = Duration::from_millis(300);

/// Which event loops are late.
#[derive(Debug, Clone, Copy)]
enum LateLoops {
    /// That of one voter.
    One,
    /// Those of the leader and two others.
    Majority,
    /// Those of all voters, for the same time.
    AllAtOnce,
    /// Those of all voters, each for a time of its own.
    Each,
}

struct LateCluster {
    cluster: SmallCluster,
    random: StdRng,
    proposed: Option<(InstanceId, LogIndex, LeaderTerm)>,
    last_commit: MonotonicTime,
    longest: Duration,
}

impl LateCluster {
    fn new(seed: u64) -> Self {
        let mut cluster = SmallCluster::new(VOTERS, VOTERS, seed);
        cluster.run(STEPS_PER_SECOND * 2);
        assert!(cluster.leader().is_some(), "seed {seed}: a leader");
        let last_commit = cluster.now;
        let random = StdRng::seed_from_u64(seed);
        Self { cluster, random, proposed: None, last_commit, longest: Duration::ZERO }
    }

    fn term(&self) -> u64 {
        self.cluster.nodes.values().map(ConsensusNode::term).max().expect("nodes").0
    }

    /// Draws 0.75 to 3 election timeouts.
    fn late_time(&mut self) -> Duration {
        ELECTION_TIMEOUT * self.random.random_range(75..300) / 100
    }

    fn make_late(&mut self, voter: &InstanceId, time: Duration) {
        self.cluster.late_until.insert(voter.clone(), self.cluster.now + time);
    }

    /// Makes loops late, and returns whether that may cost an election: a majority of the voters
    /// runs again an election timeout before the leader, or the leader before it can have heard
    /// from a majority.
    fn make_loops_late(&mut self, loops: LateLoops) -> bool {
        let leader = self.cluster.leader().expect("a leader");
        let mut others: Vec<InstanceId> = (0..VOTERS).map(name).filter(|v| *v != leader).collect();
        others.shuffle(&mut self.random);
        let time = self.late_time();
        let mut times = vec![Duration::ZERO; VOTERS];
        match loops {
            LateLoops::One => times[1] = time,
            LateLoops::Majority => times[..3].fill(time),
            LateLoops::AllAtOnce => times.fill(time),
            LateLoops::Each => times.fill_with(|| self.late_time()),
        }
        let voters = std::iter::once(leader).chain(others);
        voters.zip(&times).for_each(|(voter, time)| self.make_late(&voter, *time));
        let leader_time = times[0];
        times[1..].sort();
        // The voter that completes a majority without the leader, and the one that completes the
        // leader's. A tick that was late counts as part of the timeout.
        let (without_leader, with_leader) = (times[3], times[2]);
        let timeout = ELECTION_TIMEOUT * 3 / 4 - HEARTBEAT_INTERVAL;
        leader_time > without_leader + timeout || with_leader > leader_time + timeout
    }

    /// Runs one step and keeps one command proposed.
    fn step(&mut self) {
        self.cluster.run(1);
        let Some(leader) = self.cluster.leader() else { return };
        if self.cluster.late_until.contains_key(&leader) {
            return;
        }
        let now = self.cluster.now;
        let node = self.cluster.nodes.get_mut(&leader).expect("a known node");
        match &self.proposed {
            Some((at, index, term)) if *at == leader && *term == node.term() => {
                if node.commit() < *index {
                    return;
                }
                self.longest = self.longest.max(now.since(self.last_commit));
                self.last_commit = now;
            }
            _ => {}
        }
        let (index, term) = node.propose(vec![1].into()).expect("it leads");
        self.proposed = Some((leader, index, term));
    }

    fn run(&mut self, time: Duration) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.step();
        }
    }

    /// Runs while each turn of each loop takes 0.75 to 1.5 election timeouts.
    fn run_with_late_loops(&mut self, time: Duration) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.step();
            for voter in (0..VOTERS).map(name) {
                if !self.cluster.late_until.contains_key(&voter) {
                    let turn = MAX_TURN * self.random.random_range(50..100) / 100;
                    self.make_late(&voter, turn);
                }
            }
        }
    }
}

/// Checks that loops that are late cost no election that they need not, nor a commit after they run
/// again.
fn check_late_loops(loops: LateLoops) {
    for seed in 0..SEEDS {
        let mut late = LateCluster::new(seed);
        for _ in 0..20 {
            let before = late.term();
            let may_elect = late.make_loops_late(loops);
            let pause = ELECTION_TIMEOUT * late.random.random_range(6..10);
            late.run(pause);
            assert!(
                may_elect || late.term() == before,
                "seed {seed}: {} terms without a reason",
                late.term() - before
            );
            if !may_elect {
                let longest = late.longest;
                assert!(longest <= MAX_LATE + ELECTION_TIMEOUT, "seed {seed}: {longest:?}");
            }
            late.longest = Duration::ZERO;
        }
    }
}

/// Guards against a voter that stands for election before it has read the heartbeats that wait.
#[test]
fn a_voter_that_was_late_deposes_no_leader() {
    check_late_loops(LateLoops::One);
}

/// Guards against voters that were late and help others to depose a leader that was late as well.
#[test]
fn a_leader_stays_if_a_majority_was_late_with_it() {
    check_late_loops(LateLoops::Majority);
}

/// Guards against a leader that steps down because nobody answered heartbeats that it did not send.
#[test]
fn a_leader_stays_if_all_loops_were_late_at_once() {
    check_late_loops(LateLoops::AllAtOnce);
}

/// Guards against an election after each time in which the loops are late.
#[test]
fn a_leader_stays_if_loops_were_late_for_similar_times() {
    check_late_loops(LateLoops::Each);
}

/// Guards against a cluster that commits nothing while each turn of each loop takes longer than the
/// election timeout.
#[test]
fn commands_are_committed_while_all_loops_are_always_late() {
    for seed in 0..SEEDS {
        let mut late = LateCluster::new(seed);
        let before = late.term();
        late.run_with_late_loops(MAX_TURN * 60);
        // A command takes a turn of the followers, a turn of the leader and the wait for either.
        assert!(late.longest <= MAX_TURN * 4, "seed {seed}: {:?}", late.longest);
        assert_eq!(late.term(), before, "seed {seed}");
    }
}

/// Guards against a lost leader that is not replaced because all loops are always late.
#[test]
fn a_lost_leader_is_replaced_while_all_loops_are_always_late() {
    for seed in 0..SEEDS {
        let mut late = LateCluster::new(seed);
        late.cluster.unreachable = vec![late.cluster.leader().expect("a leader")];
        late.run_with_late_loops(MAX_TURN * 60);
        // Eight turns until a voter stands, two until it is elected, and as much for a split vote.
        assert!(late.longest <= MAX_TURN * 24, "seed {seed}: {:?}", late.longest);
    }
}

/// Guards against a slower replacement of a lost leader while no loop is late.
#[test]
fn a_lost_leader_is_replaced_within_two_election_timeouts_in_calm() {
    for seed in 0..SEEDS {
        let mut late = LateCluster::new(seed);
        late.run(ELECTION_TIMEOUT);
        let lost = late.cluster.leader().expect("a leader");
        late.cluster.unreachable = vec![lost.clone()];
        late.run(ELECTION_TIMEOUT * 3 / 2);
        assert_ne!(late.cluster.nodes[&lost].role(), NodeRole::Leader, "seed {seed}");
        late.run(ELECTION_TIMEOUT * 10);
        assert!(late.longest <= ELECTION_TIMEOUT * 2, "seed {seed}: {:?}", late.longest);
    }
}

/// Guards against a leader that is cut off and stays in the role because its loop is always late.
#[test]
fn a_leader_that_is_cut_off_steps_down_although_its_loop_is_always_late() {
    for seed in 0..SEEDS {
        let mut cluster = LateCluster::new(seed).cluster;
        let leader = cluster.leader().expect("a leader");
        let node = cluster.nodes.get_mut(&leader).expect("a known node");
        let mut now = cluster.now;
        for _ in 0..5 {
            now = now + MAX_LATE;
            node.tick(now);
        }
        assert_ne!(node.role(), NodeRole::Leader, "seed {seed}");
    }
}

/// Guards against a leader that serves a read under its old lease after its process was stopped.
#[test]
fn a_leader_that_was_stopped_for_long_serves_no_read() {
    for seed in 0..SEEDS {
        let mut cluster = LateCluster::new(seed).cluster;
        let leader = cluster.leader().expect("a leader");
        let stopped = cluster.now + ELECTION_TIMEOUT * 10;
        cluster.late_until.insert(leader.clone(), stopped);
        while cluster.now + ELECTION_TIMEOUT / 10 < stopped {
            cluster.run(1);
        }
        let now = stopped;
        let node = cluster.nodes.get_mut(&leader).expect("a known node");
        assert!(!node.holds_lease(now), "seed {seed}");
        node.read(now, 1).expect("it has not noticed");
        node.tick(now);
        assert!(node.take_output().reads.is_empty(), "seed {seed}");
        assert!(!node.holds_lease(now), "seed {seed}");
        cluster.run(STEPS_PER_SECOND);
        let leads = |node: &&ConsensusNode| node.role() == NodeRole::Leader;
        assert_eq!(cluster.nodes.values().filter(leads).count(), 1, "seed {seed}");
        assert_ne!(cluster.leader(), Some(leader), "seed {seed}");
    }
}

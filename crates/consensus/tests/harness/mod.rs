//! Simulates a cluster for the randomised tests: nodes, disks, a network and invariant checks.

mod checks;
mod membership;
mod node;

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_consensus::{Envelope, NodeRole};
use oriolepass_units::InstanceId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use checks::GlobalChecks;
pub use membership::{FirstStarts, run_membership_seed};
use node::TestNode;

const STEP: Duration = Duration::from_millis(5);
const FAULT_STEPS: u64 = 1_600;
const MAX_CONVERGE_STEPS: u64 = 3_000;

/// The faults and the load of a seed's run.
pub struct RunPlan {
    voters: usize,
    loss_rate: f64,
    lose_disks: bool,
    power_cut: bool,
    /// Whether proposals are rare, so that a node that was partitioned has as many entries as
    /// others.
    rare_proposals: bool,
    /// Whether processes are killed with and without a power loss, and whether at the end all nodes
    /// lose power and one may lose its disk.
    kills: bool,
    suspensions: Option<SuspendedClock>,
}

/// The behaviour of a node's clock while its machine is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspendedClock {
    /// The clock continues, as `CLOCK_BOOTTIME` does.
    Counts,
    /// The clock stops, as `CLOCK_MONOTONIC` does.
    Stops,
}

impl RunPlan {
    pub fn for_seed(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
        let voters = [1, 3, 3, 5, 5, 5][random.random_range(0..6)];
        Self {
            voters,
            loss_rate: [0.0, 0.02, 0.2][random.random_range(0..3)],
            lose_disks: voters == 5 && random.random_bool(0.5),
            power_cut: random.random_bool(0.3),
            rare_proposals: random.random_bool(0.3),
            kills: false,
            suspensions: None,
        }
    }

    /// Returns the plan of a seed in which machines are suspended, possibly several at once.
    pub fn with_suspensions(seed: u64, clock: SuspendedClock) -> Self {
        Self { suspensions: Some(clock), ..Self::for_seed(seed) }
    }

    /// Returns the plan of a seed with kills without power loss, and a final power loss that may
    /// include the loss of a disk.
    pub fn with_kills(seed: u64) -> Self {
        Self { kills: true, ..Self::for_seed(seed) }
    }
}

/// Counts of faults that [`Coverage`] does not include.
#[derive(Debug, Default)]
pub struct FaultCounts {
    pub kills: u64,
    pub final_power_losses: u64,
    pub suspensions: u64,
}

oriolepass_seeds::coverage!(
    seeds,
    leaders,
    accepted,
    lost_proposals,
    lease_reads,
    crashes,
    power_cuts,
    partitions,
    one_way_cuts,
    pair_cuts,
    disks_lost,
    replaced_disks,
    snapshots_taken,
    snapshots_installed,
    dropped,
    duplicated,
    hand_overs,
    torn_frames,
    crashes_writing
);

/// A message on the network, with the step at which it arrives.
struct Delivery {
    due: u64,
    envelope: Envelope,
}

/// The state of one run.
struct World {
    random: StdRng,
    plan: RunPlan,
    step: u64,
    nodes: Vec<TestNode>,
    network: Vec<Delivery>,
    /// Pairs (from, to) whose messages are dropped until the step.
    cuts: BTreeMap<(usize, usize), u64>,
    /// Nodes whose machines are suspended, with the step at which they resume.
    suspended: BTreeMap<usize, u64>,
    checks: GlobalChecks,
    next_command: u64,
    trace: bool,
    disks_lost: usize,
    fault_counts: FaultCounts,
}

/// Runs one seed.
///
/// # Panics
///
/// Panics if an invariant is violated.
pub fn run_seed(seed: u64, plan: &RunPlan, trace: bool, coverage: &mut Coverage) -> FaultCounts {
    let plan = RunPlan { ..*plan };
    let mut world = World::new(seed, plan, trace);
    while world.step < FAULT_STEPS {
        world.inject_fault(coverage);
        world.advance(coverage);
    }
    world.cuts.clear();
    world.suspended.clear();
    world.plan.loss_rate = 0.0;
    world.converge(seed, coverage);
    if world.plan.kills {
        world.final_power_loss(coverage);
        world.converge(seed, coverage);
    }
    coverage.seeds += 1;
    world.fault_counts
}

impl World {
    fn new(seed: u64, plan: RunPlan, trace: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let names: Vec<InstanceId> =
            (0..plan.voters).map(|n| format!("v{n}").parse().expect("a name")).collect();
        let nodes =
            names.iter().map(|name| TestNode::new(name.clone(), &names, &mut random)).collect();
        let mut world = Self {
            random,
            plan,
            step: 0,
            nodes,
            network: Vec::new(),
            cuts: BTreeMap::new(),
            suspended: BTreeMap::new(),
            checks: GlobalChecks::default(),
            next_command: 1,
            trace,
            disks_lost: 0,
            fault_counts: FaultCounts::default(),
        };
        let mut discarded = Coverage::default();
        (0..world.nodes.len()).for_each(|node| world.start(node, &mut discarded));
        world
    }

    fn print_trace(&self, text: impl FnOnce() -> String) {
        if self.trace {
            println!("{:>6} {}", self.step, text());
        }
    }

    fn start(&mut self, index: usize, coverage: &mut Coverage) {
        let now = STEP * u32::try_from(self.step).expect("a short run");
        let fresh_disk = self.random.random();
        if !self.nodes[index].is_up() {
            coverage.torn_frames += u64::from(self.nodes[index].start(now, fresh_disk));
            self.print_trace(|| format!("start {}", self.nodes[index].name));
        }
    }

    /// Starts all nodes and runs until they agree, then checks that every acknowledged command is
    /// present.
    fn converge(&mut self, seed: u64, coverage: &mut Coverage) {
        (0..self.nodes.len()).for_each(|node| self.start(node, coverage));
        let deadline = self.step + MAX_CONVERGE_STEPS;
        while self.step < deadline && !self.has_converged() {
            if self.step.is_multiple_of(40) {
                self.propose(coverage);
            }
            self.advance(coverage);
        }
        assert!(self.has_converged(), "seed {seed}: did not converge: {}", self.describe());
        self.checks.check_complete(&self.nodes);
    }

    /// Cuts the power of all nodes while commands are accepted. If there is more than one node, one
    /// node may lose its disk too.
    fn final_power_loss(&mut self, coverage: &mut Coverage) {
        for _ in 0..self.random.random_range(0..30) {
            self.propose(coverage);
            self.advance(coverage);
        }
        self.print_trace(|| "final power loss".to_owned());
        let lost_disk = self.random.random_range(0..self.nodes.len());
        for index in 0..self.nodes.len() {
            self.nodes[index].crash(&mut self.random);
        }
        if self.nodes.len() > 1 && self.random.random_bool(0.7) {
            self.nodes[lost_disk].lose_disk();
        }
        self.fault_counts.final_power_losses += 1;
    }

    fn crash(&mut self, index: usize, coverage: &mut Coverage) {
        self.suspended.remove(&index);
        if self.nodes[index].is_up() && self.plan.kills && self.random.random_bool(0.6) {
            self.print_trace(|| format!("kill {}", self.nodes[index].name));
            self.nodes[index].kill(&mut self.random);
            self.fault_counts.kills += 1;
            return;
        }
        if self.nodes[index].is_up() {
            self.print_trace(|| format!("crash {}", self.nodes[index].name));
            self.nodes[index].crash(&mut self.random);
            coverage.crashes += 1;
        }
    }

    /// Injects a random fault, performs a random operation or does nothing.
    fn inject_fault(&mut self, coverage: &mut Coverage) {
        let count = self.nodes.len();
        let victim = self.random.random_range(0..count);
        match self.random.random_range(0..1000) {
            0..=5 => self.crash(victim, coverage),
            6..=30 => self.start(victim, coverage),
            31..=36 if count > 1 => self.cut(victim, coverage),
            37..=38 if self.plan.lose_disks => self.lose_disk(victim, coverage),
            // Crashes a node that is writing. It must not have promised the state that it loses,
            // because that state was not synced.
            226..=229 => {
                let writing = (0..count).find(|node| self.nodes[*node].is_writing());
                if let Some(node) = writing {
                    self.crash(node, coverage);
                    coverage.crashes_writing += 1;
                }
            }
            39 if self.plan.power_cut => {
                (0..count).for_each(|node| self.crash(node, coverage));
                coverage.power_cuts += 1;
            }
            40..=41 => {
                let now = self.now(victim);
                if !self.is_suspended(victim) && self.nodes[victim].transfer_leadership(now) {
                    coverage.hand_overs += 1;
                }
            }
            44..=200 if self.plan.rare_proposals => {}
            42..=200 => self.propose(coverage),
            201..=215 => self.read(),
            230..=236 if self.plan.suspensions.is_some() => self.suspend(victim),
            216..=225 if self.is_suspended(victim) => {}
            216..=225 => coverage.snapshots_taken += u64::from(self.nodes[victim].snapshot()),
            _ => {}
        }
    }

    fn is_suspended(&self, index: usize) -> bool {
        self.suspended.contains_key(&index)
    }

    /// Suspends a node's machine. The node does nothing, and messages to it wait until it resumes.
    fn suspend(&mut self, victim: usize) {
        if !self.nodes[victim].is_up() || self.is_suspended(victim) {
            return;
        }
        let steps = self.random.random_range(20..600);
        self.print_trace(|| format!("suspend {} for {steps} steps", self.nodes[victim].name));
        self.suspended.insert(victim, self.step + steps);
        if self.plan.suspensions == Some(SuspendedClock::Stops) {
            let span = STEP * u32::try_from(steps).expect("a short span");
            self.nodes[victim].stop_clock(span);
        }
        self.fault_counts.suspensions += 1;
    }

    /// Cuts the network between a pair of nodes, or between a node and all others.
    fn cut(&mut self, victim: usize, coverage: &mut Coverage) {
        let until = self.step + self.random.random_range(10..400);
        if self.random.random_bool(0.3) {
            // The two nodes do not reach each other, and both reach all others.
            let other = (victim + self.random.random_range(1..self.nodes.len())) % self.nodes.len();
            self.cuts.insert((victim, other), until);
            self.cuts.insert((other, victim), until);
            coverage.pair_cuts += 1;
            return;
        }
        let one_way = self.random.random_bool(0.5);
        let cut_inbound = self.random.random_bool(0.5);
        self.print_trace(|| {
            format!("cut {} one_way {one_way} until {until}", self.nodes[victim].name)
        });
        for other in (0..self.nodes.len()).filter(|other| *other != victim) {
            // A one-way cut drops either all messages from the node or all messages to it.
            if !one_way || !cut_inbound {
                self.cuts.insert((victim, other), until);
            }
            if !one_way || cut_inbound {
                self.cuts.insert((other, victim), until);
            }
        }
        coverage.partitions += 1;
        coverage.one_way_cuts += u64::from(one_way);
    }

    /// Replaces a disk by an empty one, at most twice in a run. The second loss may occur while the
    /// first is still being repaired, because five voters must tolerate two lost disks.
    fn lose_disk(&mut self, victim: usize, coverage: &mut Coverage) {
        let all_know_voters = self.nodes.iter().all(TestNode::knows_voters);
        if self.disks_lost >= 2 || !all_know_voters {
            return;
        }
        self.crash(victim, coverage);
        self.print_trace(|| format!("disk of {} lost", self.nodes[victim].name));
        self.nodes[victim].lose_disk();
        self.disks_lost += 1;
        coverage.disks_lost += 1;
    }

    fn now(&self, index: usize) -> oriolepass_units::MonotonicTime {
        self.nodes[index].local_time(STEP * u32::try_from(self.step).expect("a short run"))
    }

    fn leader(&self) -> Option<usize> {
        let leads = |node: &TestNode| node.role() == Some(NodeRole::Leader);
        self.nodes.iter().rposition(leads)
    }

    /// Proposes a command to one of the nodes in the leader role.
    fn propose(&mut self, coverage: &mut Coverage) {
        // The target may be a deposed leader that does not know of its successor yet.
        let leaders: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].role() == Some(NodeRole::Leader))
            .filter(|index| !self.is_suspended(*index))
            .collect();
        let Some(leader) = leaders.get(self.next_command as usize % leaders.len().max(1)) else {
            return;
        };
        let command = self.next_command;
        self.next_command += 1;
        let lost = self.nodes[*leader].propose(command);
        coverage.lost_proposals += lost;
    }

    /// Starts a read that must see all commands acknowledged so far.
    fn read(&mut self) {
        let Some(leader) = self.leader().filter(|leader| !self.is_suspended(*leader)) else {
            return;
        };
        let now = self.now(leader);
        let min_commands = self.checks.acknowledged();
        self.nodes[leader].read(now, min_commands);
    }

    /// Advances all nodes and the network by one step.
    fn advance(&mut self, coverage: &mut Coverage) {
        self.step += 1;
        let step = self.step;
        self.cuts.retain(|_, until| *until > step);
        self.suspended.retain(|_, until| *until > step);
        let due: Vec<Delivery> = self.network.extract_if(.., |d| d.due <= step).collect();
        for mut delivery in due {
            let to = self.nodes.iter().position(|node| node.name == delivery.envelope.to);
            let to = to.expect("every instance has a node");
            if let Some(resumes_at) = self.suspended.get(&to) {
                delivery.due = *resumes_at;
                self.network.push(delivery);
                continue;
            }
            let now = self.now(to);
            self.nodes[to].receive(now, delivery.envelope);
        }
        for index in 0..self.nodes.len() {
            if self.is_suspended(index) {
                continue;
            }
            let now = self.now(index);
            let sync = self.random.random_bool(0.7);
            let sent = self.nodes[index].advance(now, sync, &mut self.checks, coverage);
            for envelope in sent {
                self.send(index, &envelope, coverage);
            }
        }
        let lease_holders: Vec<usize> = (0..self.nodes.len())
            // A suspended node sends no answers until it resumes, and is checked from then on.
            .filter(|index| !self.is_suspended(*index))
            .filter(|index| self.nodes[*index].holds_lease(self.now(*index)))
            .collect();
        assert!(lease_holders.len() <= 1, "two leaders hold a lease at once: {}", self.describe());
        self.checks.check_leaders(&self.nodes, coverage);
    }

    /// Queues a message, unless the network loses it, and duplicates or delays it at random.
    fn send(&mut self, from: usize, envelope: &Envelope, coverage: &mut Coverage) {
        let to = self.nodes.iter().position(|node| node.name == envelope.to).expect("a node");
        let lost = self.random.random_bool(self.plan.loss_rate);
        if self.cuts.contains_key(&(from, to)) || lost {
            coverage.dropped += 1;
            return;
        }
        let copies = if self.random.random_bool(self.plan.loss_rate / 4.0) { 2 } else { 1 };
        coverage.duplicated += copies - 1;
        for _ in 0..copies {
            let slow = self.plan.loss_rate > 0.0 && self.random.random_bool(0.02);
            let delay = if slow { self.random.random_range(5..120) } else { 1 };
            self.network.push(Delivery { due: self.step + delay, envelope: envelope.clone() });
        }
    }

    /// Returns whether all nodes have applied the same entries and are voters, under a leader with
    /// a lease.
    fn has_converged(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let applied = self.nodes[leader].applied();
        let full = |node: &TestNode| node.voter_count() == (self.nodes.len(), 0);
        self.nodes.iter().all(|node| node.is_up() && node.applied() == applied && full(node))
            && self.nodes[leader].holds_lease(self.now(leader))
    }

    fn describe(&self) -> String {
        let lines: Vec<String> = self.nodes.iter().map(TestNode::describe).collect();
        lines.join("; ")
    }
}

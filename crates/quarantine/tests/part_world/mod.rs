//! Simulates prompts with shared parts in logical time around the real quarantine tables.
//!
//! Some parts are fatal: an engine crashes shortly after it begins to write an answer on them, and
//! cuts all other prompts that it runs. Updates between instances are delayed and lost, and
//! instances are killed, also all of them at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use oriolepass_quarantine::{
    CaseUpdate, InterruptedRun, PartDigest, PartIdentity, QuarantineTable, RequestDigest,
    RequestIdentity, Standing,
};
use oriolepass_units::{EndpointId, EndpointStart, MonotonicTime, ServiceName, StartTime};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// The number of ends after which a fatal part has to be known, and the time until then.
const KNOWN_ENDS: u64 = 5;
const KNOWN_DELAY_MS: u64 = 3_000;

/// The number of ends after which a fatal request has to be known.
const KNOWN_REQUEST_ENDS: u64 = 3;

/// The time from the fifth end until sound prompts have to be served as before.
const RECOVERY_DELAY_MS: u64 = 6_000;

/// The number of parts that sound prompts and fatal ones share.
const TOPICS: usize = 60;

/// The topic of the fatal request, one of the rarest, and the interval at which it is sent.
const FATAL_REQUEST_TOPIC: usize = 2;
const FATAL_REQUEST_INTERVAL_MS: u64 = 200;

/// The number of prompts that an engine runs concurrently.
const SLOTS: usize = 12;

/// How fatal parts are recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JudgementRule {
    /// By the tables of the instances.
    Tables,
    /// A part is fatal after this many ends without a complete answer in between. All instances
    /// know all ends at once.
    Count(usize),
}

/// The parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct PartShape {
    pub instances: usize,
    pub engines: usize,
    pub fatal_parts: usize,
    /// Whether each fatal part always comes with another part of its own.
    pub has_companion: bool,
    pub fatal_per_s: u64,
    /// Whether a request crashes its engines as well, and is sent again and again. Its prompt has a
    /// topic that sound prompts share.
    pub has_fatal_request: bool,
    pub sound_per_s: u64,
    /// Interval between ends of engines by chance.
    pub chance_interval_ms: u64,
    /// Interval between kills of an instance, and the time at which all are killed.
    pub kill_interval_ms: u64,
    pub kill_all_at_ms: Option<u64>,
    pub duration_ms: u64,
    pub rule: JudgementRule,
}

/// The results of a simulation.
#[derive(Debug, Default)]
pub struct PartReport {
    /// For each fatal part, the number of engines that it crashed.
    pub ends: Vec<u64>,
    /// For each fatal part, the number of sends later than three seconds after its fifth end, by
    /// instances that were up meanwhile.
    pub late_sends: Vec<u64>,
    /// The number of sends of the fatal request later than three seconds after its third end, by
    /// instances that were up meanwhile.
    pub request_late_sends: u64,
    /// Sound prompts that arrived from six seconds after the first fifth end on, and those of them
    /// that were refused.
    pub sound: u64,
    pub sound_refused: u64,
    /// Sound prompts that were refused at any time.
    pub sound_refused_in_all: u64,
    pub cut: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ArriveSound,
    ArriveFatal,
    ArriveFatalRequest,
    Begin { prompt: usize, run: u32 },
    Crash { engine: usize, generation: u64, by: FatalCause },
    Finish { prompt: usize, run: u32 },
    EngineStarts(usize),
    ChanceEnd,
    Kill,
    KillAll,
    InstanceStarts(usize),
    Deliver { to: usize, message: usize },
    Compare(usize),
}

/// What crashes the engines that run a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FatalCause {
    Part(usize),
    Request,
}

struct Prompt {
    digest: RequestDigest,
    parts: Vec<PartDigest>,
    cause: Option<FatalCause>,
    instance: usize,
    boot: u64,
    engine: usize,
    run: u32,
    sends: u32,
    sent_at: u64,
    /// When the engine began to write the answer.
    began_at: Option<u64>,
}

#[derive(Default)]
struct Engine {
    generation: u64,
    is_up: bool,
    running: BTreeSet<usize>,
}

#[derive(Default)]
struct Instance {
    table: QuarantineTable,
    boot: u64,
    is_up: bool,
    up_since: u64,
    disk: Option<Updates>,
}

#[derive(Clone, Default)]
struct Updates {
    requests: Vec<CaseUpdate>,
    parts: Vec<CaseUpdate<PartDigest>>,
}

pub struct PartWorld {
    shape: PartShape,
    rng: StdRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    messages: Vec<Updates>,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    prompts: Vec<Prompt>,
    /// For the rule that counts: the ends of each part since its last complete answer.
    counts: BTreeMap<PartDigest, usize>,
    fifth_end: Vec<Option<u64>>,
    /// The number of ends under the fatal request, and the time of the third.
    request_ends: u64,
    third_request_end: Option<u64>,
    report: PartReport,
}

fn part(name: &str) -> PartDigest {
    let service: ServiceName = "writers".parse().expect("a service");
    let part = name.parse().expect("a part");
    PartIdentity { account: None, service: &service, part: &part }.digest()
}

impl PartWorld {
    pub fn new(seed: u64, shape: PartShape) -> Self {
        let instance = |number: usize| Instance {
            is_up: true,
            disk: (number < 3).then(Updates::default),
            ..Instance::default()
        };
        let mut world = Self {
            shape,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            messages: Vec::new(),
            instances: (0..shape.instances).map(instance).collect(),
            engines: (0..shape.engines)
                .map(|_| Engine { is_up: true, ..Engine::default() })
                .collect(),
            prompts: Vec::new(),
            counts: BTreeMap::new(),
            fifth_end: vec![None; shape.fatal_parts],
            request_ends: 0,
            third_request_end: None,
            report: PartReport {
                ends: vec![0; shape.fatal_parts],
                late_sends: vec![0; shape.fatal_parts],
                ..PartReport::default()
            },
        };
        world.schedule(0, Event::ArriveSound);
        world.schedule(2_000, Event::ArriveFatal);
        if shape.has_fatal_request {
            world.schedule(2_000, Event::ArriveFatalRequest);
        }
        world.schedule(shape.chance_interval_ms, Event::ChanceEnd);
        world.schedule(shape.kill_interval_ms, Event::Kill);
        if let Some(at) = shape.kill_all_at_ms {
            world.schedule(at, Event::KillAll);
        }
        for instance in 0..shape.instances {
            let first = world.rng.random_range(0..1_000);
            world.schedule(first, Event::Compare(instance));
        }
        world
    }

    pub fn run(mut self) -> PartReport {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.shape.duration_ms {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.report
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn time(&self) -> MonotonicTime {
        MonotonicTime(1_000_000_000_000 + self.now * 1_000)
    }

    /// Schedules the next event of a series with a mean rate per second.
    fn schedule_next(&mut self, per_s: u64, event: Event) {
        let after = self.rng.random_range(1..=2_000 / per_s.max(1));
        self.schedule(after, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::ArriveSound => {
                self.schedule_next(self.shape.sound_per_s, Event::ArriveSound);
                self.arrive(None);
            }
            Event::ArriveFatal => {
                if self.shape.fatal_parts > 0 {
                    self.schedule_next(self.shape.fatal_per_s, Event::ArriveFatal);
                    let fatal = self.rng.random_range(0..self.shape.fatal_parts);
                    self.arrive(Some(FatalCause::Part(fatal)));
                }
            }
            Event::ArriveFatalRequest => {
                self.schedule(FATAL_REQUEST_INTERVAL_MS, Event::ArriveFatalRequest);
                self.arrive(Some(FatalCause::Request));
            }
            Event::Begin { prompt, run } => self.begin(prompt, run),
            Event::Crash { engine, generation, by } => self.crash(engine, generation, Some(by)),
            Event::Finish { prompt, run } => self.finish(prompt, run),
            Event::EngineStarts(engine) => {
                self.engines[engine].generation += 1;
                self.engines[engine].is_up = true;
            }
            Event::ChanceEnd => {
                self.schedule(self.shape.chance_interval_ms, Event::ChanceEnd);
                let engine = self.rng.random_range(0..self.engines.len());
                self.crash(engine, self.engines[engine].generation, None);
            }
            Event::Kill => {
                self.schedule(self.shape.kill_interval_ms, Event::Kill);
                let instance = self.rng.random_range(0..self.instances.len());
                self.kill(instance);
            }
            Event::KillAll => (0..self.instances.len()).for_each(|instance| self.kill(instance)),
            Event::InstanceStarts(instance) => self.start(instance),
            Event::Deliver { to, message } => self.deliver(to, message),
            Event::Compare(instance) => {
                self.schedule(1_000, Event::Compare(instance));
                let other = self.rng.random_range(0..self.instances.len());
                self.send_all_cases(other, instance);
                self.send_all_cases(instance, other);
            }
        }
    }

    fn arrive(&mut self, cause: Option<FatalCause>) {
        let number = self.prompts.len();
        // The square root makes some topics far more frequent than others.
        let topic = match cause {
            Some(FatalCause::Request) => FATAL_REQUEST_TOPIC,
            _ => self.rng.random_range(0..TOPICS * TOPICS).isqrt(),
        };
        let mut parts = vec![part("first"), part(&format!("topic-{topic}"))];
        if let Some(FatalCause::Part(fatal)) = cause {
            parts.push(part(&format!("fatal-{fatal}")));
            if self.shape.has_companion {
                parts.push(part(&format!("companion-{fatal}")));
            }
        }
        let is_repeated = cause == Some(FatalCause::Request);
        let path = if is_repeated { "/repeated".to_owned() } else { format!("/{number}") };
        let identity =
            RequestIdentity { account: None, method: "POST", host: "h", path: &path, body: b"" };
        let up: Vec<usize> =
            (0..self.instances.len()).filter(|i| self.instances[*i].is_up).collect();
        let Some(instance) = up.choose(&mut self.rng).copied() else { return };
        let first_fifth = self.fifth_end.iter().flatten().min();
        let is_counted =
            cause.is_none() && first_fifth.is_some_and(|at| self.now > at + RECOVERY_DELAY_MS);
        self.report.sound += u64::from(is_counted);
        self.prompts.push(Prompt {
            digest: identity.digest(),
            parts,
            cause,
            instance,
            boot: self.instances[instance].boot,
            engine: usize::MAX,
            run: 0,
            sends: 0,
            sent_at: 0,
            began_at: None,
        });
        let is_refused = !self.send(number);
        self.report.sound_refused += u64::from(is_counted && is_refused);
        self.report.sound_refused_in_all += u64::from(cause.is_none() && is_refused);
    }

    /// Returns whether a prompt is quarantined, and whether it is suspect.
    fn judge(&self, number: usize) -> (bool, bool) {
        let prompt = &self.prompts[number];
        if let JudgementRule::Count(count) = self.shape.rule {
            let is_fatal = |part: &PartDigest| self.counts.get(part).is_some_and(|c| *c >= count);
            return (prompt.parts.iter().any(is_fatal), false);
        }
        let table = &self.instances[prompt.instance].table;
        let (of_parts, _) = table.prompt_standing(self.time(), &prompt.parts);
        let of_request = table.standing(self.time(), prompt.digest);
        let is_quarantined = |standing| matches!(standing, Standing::Quarantined { .. });
        let is_suspect = of_parts == Standing::Suspect || of_request == Standing::Suspect;
        (is_quarantined(of_parts) || is_quarantined(of_request), is_suspect)
    }

    /// Sends a prompt to an engine. Returns false if it is refused as quarantined.
    fn send(&mut self, number: usize) -> bool {
        let (is_quarantined, is_suspect) = self.judge(number);
        if is_quarantined {
            return false;
        }
        let open: Vec<usize> = (0..self.engines.len())
            .filter(|e| self.engines[*e].is_up && self.engines[*e].running.len() < SLOTS)
            .collect();
        let load = |engine: &usize| self.engines[*engine].running.len();
        // Short answers gather on few engines.
        let engine = if is_suspect {
            open.iter().min_by_key(|engine| load(engine)).copied()
        } else {
            open.iter().max_by_key(|engine| load(engine)).copied()
        };
        let Some(engine) = engine else { return true };
        let prompt = &mut self.prompts[number];
        prompt.engine = engine;
        prompt.run += 1;
        prompt.sends += 1;
        prompt.sent_at = self.now;
        prompt.began_at = None;
        let (run, cause, instance) = (prompt.run, prompt.cause, prompt.instance);
        let was_up = self.now >= self.instances[instance].up_since + KNOWN_DELAY_MS;
        let is_late = |known_end: Option<u64>| {
            u64::from(was_up && known_end.is_some_and(|at| self.now > at + KNOWN_DELAY_MS))
        };
        match cause {
            Some(FatalCause::Part(fatal)) => {
                self.report.late_sends[fatal] += is_late(self.fifth_end[fatal]);
            }
            Some(FatalCause::Request) => {
                self.report.request_late_sends += is_late(self.third_request_end);
            }
            None => {}
        }
        self.engines[engine].running.insert(number);
        let after = self.rng.random_range(30..400);
        self.schedule(after, Event::Begin { prompt: number, run });
        true
    }

    fn begin(&mut self, number: usize, run: u32) {
        if self.prompts[number].run != run {
            return;
        }
        self.prompts[number].began_at = Some(self.now);
        let (engine, cause) = (self.prompts[number].engine, self.prompts[number].cause);
        if let Some(by) = cause {
            let generation = self.engines[engine].generation;
            let after = self.rng.random_range(60..240);
            self.schedule(after, Event::Crash { engine, generation, by });
        } else {
            let after = self.rng.random_range(100..2_000);
            self.schedule(after, Event::Finish { prompt: number, run });
        }
    }

    fn crash(&mut self, engine: usize, generation: u64, by: Option<FatalCause>) {
        let state = &mut self.engines[engine];
        if !state.is_up || state.generation != generation {
            return;
        }
        state.is_up = false;
        let running = std::mem::take(&mut state.running);
        match by {
            Some(FatalCause::Part(part)) => {
                self.report.ends[part] += 1;
                if self.report.ends[part] == KNOWN_ENDS {
                    self.fifth_end[part] = Some(self.now);
                }
            }
            Some(FatalCause::Request) => {
                self.request_ends += 1;
                if self.request_ends == KNOWN_REQUEST_ENDS {
                    self.third_request_end = Some(self.now);
                }
            }
            None => {}
        }
        for number in running {
            self.prompts[number].run += 1;
            self.report.cut += u64::from(self.prompts[number].cause.is_none());
            self.record_end(number, engine, generation);
            if self.prompts[number].sends < 2 && self.rng.random_bool(0.5) {
                self.send(number);
            }
        }
        let after = self.rng.random_range(1_100..2_900);
        self.schedule(after, Event::EngineStarts(engine));
    }

    fn record_end(&mut self, number: usize, engine: usize, generation: u64) {
        let prompt = &self.prompts[number];
        let (instance, digest, parts) = (prompt.instance, prompt.digest, prompt.parts.clone());
        if !self.instances[instance].is_up || self.instances[instance].boot != prompt.boot {
            return;
        }
        let id: EndpointId = format!("e{engine}").parse().expect("an id");
        let endpoint = EndpointStart::new(id, StartTime(generation + 1));
        let (now, since) = (self.time(), |at| Some(Duration::from_millis(self.now - at)));
        let run = |duration| InterruptedRun { endpoint: endpoint.clone(), seen: now, duration };
        let (of_request, began_at) = (run(since(prompt.sent_at)), prompt.began_at);
        let of_parts = began_at.map(|at| run(since(at)));
        let table = &mut self.instances[instance].table;
        let mut updates = Updates::default();
        updates.requests.extend(table.record_interrupted_run(now, digest, &of_request));
        if let Some(run) = of_parts.filter(|_| table.accuses_parts(digest)) {
            for part in parts {
                updates.parts.extend(table.record_interrupted_run(now, part, &run));
                *self.counts.entry(part).or_default() += 1;
            }
        }
        self.broadcast(instance, updates);
    }

    fn finish(&mut self, number: usize, run: u32) {
        let prompt = &self.prompts[number];
        if prompt.run != run {
            return;
        }
        let (instance, digest, parts) = (prompt.instance, prompt.digest, prompt.parts.clone());
        let is_known =
            self.instances[instance].is_up && self.instances[instance].boot == prompt.boot;
        let duration = Duration::from_millis(self.now - prompt.sent_at);
        self.engines[prompt.engine].running.remove(&number);
        self.prompts[number].run += 1;
        if !is_known {
            return;
        }
        let now = self.time();
        let table = &mut self.instances[instance].table;
        let mut updates = Updates::default();
        updates.requests.extend(table.record_complete_run(now, digest, duration));
        for part in parts {
            updates.parts.extend(table.record_complete_run(now, part, duration));
            self.counts.remove(&part);
        }
        self.broadcast(instance, updates);
    }

    fn broadcast(&mut self, from: usize, updates: Updates) {
        if updates.requests.is_empty() && updates.parts.is_empty() {
            return;
        }
        self.persist(from);
        self.messages.push(updates);
        let message = self.messages.len() - 1;
        for to in 0..self.instances.len() {
            // A lost message is replaced by the next comparison of tables.
            if to != from && !self.rng.random_ratio(1, 50) {
                let delay = self.rng.random_range(1..15);
                self.schedule(delay, Event::Deliver { to, message });
            }
        }
    }

    fn deliver(&mut self, to: usize, message: usize) {
        if !self.instances[to].is_up {
            return;
        }
        let now = self.time();
        let updates = &self.messages[message];
        let table = &mut self.instances[to].table;
        for case in &updates.requests {
            table.merge(now, case);
        }
        for case in &updates.parts {
            table.merge(now, case);
        }
        self.persist(to);
    }

    fn persist(&mut self, instance: usize) {
        let now = self.time();
        let Instance { table, disk, .. } = &mut self.instances[instance];
        if let Some(disk) = disk {
            let (requests, parts) = (table.durable_updates(now), table.durable_part_updates(now));
            *disk = Updates { requests, parts };
        }
    }

    fn send_all_cases(&mut self, from: usize, to: usize) {
        if from == to || !self.instances[from].is_up || !self.instances[to].is_up {
            return;
        }
        let table = &self.instances[from].table;
        let (requests, parts) = (table.updates(self.time()), table.part_updates(self.time()));
        if requests.is_empty() && parts.is_empty() {
            return;
        }
        self.messages.push(Updates { requests, parts });
        let message = self.messages.len() - 1;
        let delay = self.rng.random_range(1..15);
        self.schedule(delay, Event::Deliver { to, message });
    }

    fn kill(&mut self, instance: usize) {
        let entry = &mut self.instances[instance];
        if !entry.is_up {
            return;
        }
        entry.is_up = false;
        entry.boot += 1;
        entry.table = QuarantineTable::default();
        let after = self.rng.random_range(400..1_500);
        self.schedule(after, Event::InstanceStarts(instance));
    }

    /// Starts an instance, which reads its disk and gets the cases of others.
    fn start(&mut self, instance: usize) {
        let now = self.time();
        let entry = &mut self.instances[instance];
        entry.is_up = true;
        entry.up_since = self.now;
        let stored = entry.disk.clone().unwrap_or_default();
        for case in &stored.requests {
            entry.table.merge(now, case);
        }
        for case in &stored.parts {
            entry.table.merge(now, case);
        }
        let others = self.instances.len().min(4);
        for other in 0..others {
            self.send_all_cases(other, instance);
            self.send_all_cases(instance, other);
        }
    }
}

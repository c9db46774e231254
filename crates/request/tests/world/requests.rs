//! Simulated requests, and the driver that executes their commands as the daemon does.

use std::sync::Arc;
use std::time::Duration;

use oriolepass_config::{
    ApplyOutcome, ClaimCommand, MemberAddresses, MemberCommand, MemberRecord, ReplicatedCommand,
    SettleCommand, StampedCommand,
};
use oriolepass_request::{RequestCommand, RequestLifecycle, RequestOutcome, RequestPlan};
use oriolepass_scheduler::{GrantRequest, GrantedEndpoint, PromptGrant, WorkTarget};
use oriolepass_schema::caller::{PromptBody, RequestPriority};
use oriolepass_schema::endpoint::{AttemptCall, PartCall};
use oriolepass_units::{
    AccountId, AttemptId, CallerKey, InstanceId, LeaseEpoch, MonotonicTime, TokenCount,
};
use rand::Rng;

use super::endpoints::{MODEL, SERVICE};
use super::{Coverage, ENTRIES, Event, World};

pub struct TestRequest {
    pub lifecycle: RequestLifecycle,
    pub entry: usize,
    pub epoch: u64,
    pub prompt: Option<PromptBody>,
    pub body: String,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    pub key: Option<CallerKey>,
    pub nonce: AttemptId,
    pub deadline: MonotonicTime,
    pub home: Option<usize>,
    pub grant: Option<PromptGrant>,
    pub delivered: String,
    pub outcome: Option<RequestOutcome>,
    pub caller_left: bool,
    /// Whether the request was lost because its entry crashed.
    pub entry_crashed: bool,
    /// Attempts that were sent.
    pub sent: Vec<AttemptId>,
}

fn account() -> AccountId {
    "acc".parse().expect("valid name")
}

pub fn entry_name(entry: usize) -> InstanceId {
    format!("entry-{entry}").parse().expect("valid name")
}

impl World {
    fn stamp(&self, command: ReplicatedCommand) -> StampedCommand {
        StampedCommand { unix_ms: self.now.0 / 1_000, command }
    }

    pub fn commit(&mut self, command: ReplicatedCommand) -> ApplyOutcome {
        let stamped = self.stamp(command);
        let index = self.state.applied().next();
        self.state.apply(index, &stamped)
    }

    pub fn join_entry(&mut self, entry: usize) {
        let address = "127.0.0.1:7".parse().expect("valid address");
        let record = MemberRecord {
            instance: entry_name(entry),
            data_centre: "dc".parse().expect("valid name"),
            boot: self.now.0 + 1,
            epoch: LeaseEpoch::ZERO,
            draining: false,
            addresses: MemberAddresses {
                callers: address,
                operators: address,
                endpoints: address,
                peers: address,
            },
        };
        let joined = self.commit(ReplicatedCommand::Member(MemberCommand::Join(record)));
        let ApplyOutcome::Member(epoch) = joined else { panic!("{joined:?}") };
        self.entry_epochs[entry] = epoch.0;
    }

    /// Admits a request of a random kind.
    pub fn admit(&mut self, coverage: &mut Coverage) {
        let entry = self.random.random_range(0..ENTRIES);
        if self.entry_epochs[entry] == 0 {
            return;
        }
        let number = self.requests.len();
        let repeatable = self.random.random_bool(0.5);
        let key = (!repeatable).then(|| format!("k-{number}").parse().expect("valid caller key"));
        let is_service = self.random.random_bool(0.3);
        let tokens =
            if is_service { 1 } else { [50, 500, 5_000, 30_000][self.random.random_range(0..4)] };
        let prompt = (!is_service).then(|| {
            let numbers = (0..tokens).map(|n| n ^ (number as u32) << 8);
            PromptBody::Tokens(numbers.collect())
        });
        let long = self.random.random_bool(0.05);
        let answer_tokens = match (is_service, long) {
            (true, _) => 0,
            (false, true) => self.random.random_range(500..1_500),
            (false, false) => self.random.random_range(1..60),
        };
        self.start(coverage, entry, prompt, format!("body-{number}"), answer_tokens, key);
    }

    /// Resends a random non-repeatable request through a random entry.
    pub fn resend(&mut self, coverage: &mut Coverage) {
        let keyed: Vec<usize> =
            (0..self.requests.len()).filter(|n| self.requests[*n].key.is_some()).collect();
        let entry = self.random.random_range(0..ENTRIES);
        if keyed.is_empty() || self.entry_epochs[entry] == 0 {
            return;
        }
        let old = &self.requests[keyed[self.random.random_range(0..keyed.len())]];
        let (prompt, body) = (old.prompt.clone(), old.body.clone());
        let (answer_tokens, key) = (old.answer_tokens, old.key.clone());
        coverage.resends += 1;
        self.start(coverage, entry, prompt, body, answer_tokens, key);
    }

    fn start(
        &mut self,
        coverage: &mut Coverage,
        entry: usize,
        prompt: Option<PromptBody>,
        body: String,
        answer_tokens: u64,
        key: Option<CallerKey>,
    ) {
        let timeout = Duration::from_millis(self.random.random_range(200..12_000));
        let deadline = self.now + timeout;
        let plan = RequestPlan { repeatable: key.is_none(), deadline };
        let first = self.fresh_attempt();
        let request = TestRequest {
            lifecycle: RequestLifecycle::new(plan, first),
            entry,
            epoch: self.entry_epochs[entry],
            prompt_tokens: prompt.as_ref().map_or(1, |prompt| prompt.tokens().0),
            prompt,
            body,
            answer_tokens,
            key,
            nonce: self.fresh_attempt(),
            deadline,
            home: None,
            grant: None,
            delivered: String::new(),
            outcome: None,
            caller_left: false,
            entry_crashed: false,
            sent: Vec::new(),
        };
        coverage.admitted += 1;
        self.budget.earn();
        let number = self.requests.len();
        self.log(|| format!("request {number} admitted at entry {entry}"));
        self.requests.push(request);
        self.schedule(timeout, Event::Deadline { request: number });
        self.execute_commands(number, coverage);
    }

    /// Executes the commands of a request's state machine, as the daemon's driver does.
    pub fn execute_commands(&mut self, number: usize, coverage: &mut Coverage) {
        for command in self.requests[number].lifecycle.take_commands() {
            self.log(|| format!("request {number}: {command:?}").chars().take(200).collect());
            self.execute_command(number, command, coverage);
        }
    }

    fn execute_command(&mut self, number: usize, command: RequestCommand, coverage: &mut Coverage) {
        match command {
            RequestCommand::Claim => self.claim(number, coverage),
            RequestCommand::AskGrant { exclude, .. } => {
                let request = &self.requests[number];
                let target = match request.prompt {
                    Some(_) => WorkTarget::Model(MODEL.parse().expect("valid name")),
                    None => WorkTarget::Service(SERVICE.parse().expect("valid name")),
                };
                let ask = GrantRequest {
                    attempt: request
                        .lifecycle
                        .attempt()
                        .expect("the request waits for a grant")
                        .clone(),
                    entry: entry_name(request.entry),
                    account: account(),
                    target,
                    prompt: TokenCount(request.prompt_tokens),
                    answer: TokenCount(request.answer_tokens),
                    priority: RequestPriority::Normal,
                    patience: request.deadline.since(self.now),
                    prefix: Vec::new(),
                    exclude,
                };
                let home = self.home;
                self.requests[number].home = Some(home);
                self.post(Event::Ask { home, request: number, ask: Box::new(ask) }, coverage);
            }
            RequestCommand::Send { grant, resume_from, resume_text } => {
                coverage.retried += u64::from(self.requests[number].lifecycle.attempts() > 1);
                coverage.resumed += u64::from(resume_from > 0);
                self.send(number, &grant, resume_from, resume_text, coverage);
            }
            RequestCommand::Deliver(text) => self.requests[number].delivered.push_str(&text),
            RequestCommand::ReportStarted(attempt) => {
                let home = self.requests[number].home.unwrap_or(self.home);
                self.post(Event::Started { home, attempt }, coverage);
            }
            RequestCommand::Release(attempt, reason) => {
                self.requests[number].grant = None;
                let requested_home = self.requests[number].home.take().unwrap_or(self.home);
                let present = self.home;
                self.post(
                    Event::Release { home: present, attempt: attempt.clone(), reason },
                    coverage,
                );
                if requested_home != present {
                    self.post(Event::Release { home: requested_home, attempt, reason }, coverage);
                }
            }
            RequestCommand::Cancel(attempt, members) => {
                for member in members {
                    let engine = engine_of(&member);
                    self.post(Event::Cancel { engine, attempt: attempt.clone() }, coverage);
                }
            }
            RequestCommand::Settle(verdict) => {
                let request = &self.requests[number];
                let command = SettleCommand {
                    account: account(),
                    key: request.key.clone().expect("a claimed request has a caller key"),
                    nonce: request.nonce.clone(),
                    verdict,
                };
                // The daemon's driver retries until the command is committed. This driver commits
                // the command at once.
                self.commit(ReplicatedCommand::Settle(command));
            }
            RequestCommand::Finish(outcome) => self.requests[number].outcome = Some(outcome),
        }
    }

    fn claim(&mut self, number: usize, coverage: &mut Coverage) {
        let request = &self.requests[number];
        let command = ClaimCommand {
            account: account(),
            key: request.key.clone().expect("a claimed request has a caller key"),
            body_digest: request.body.clone(),
            nonce: request.nonce.clone(),
            entry: entry_name(request.entry),
            epoch: LeaseEpoch(request.epoch),
            allowed_ms: 20_000,
        };
        if !self.quorum {
            coverage.claims_refused += 1;
            self.post(Event::Claimed { request: number, answer: None }, coverage);
            return;
        }
        let outcome = self.commit(ReplicatedCommand::Claim(command));
        let ApplyOutcome::Claimed(answer) = outcome else { panic!("{outcome:?}") };
        // The claim may be committed although its answer is lost.
        let lost = !self.recovering && self.random.random_bool(0.05);
        let answer = (!lost).then_some(answer);
        self.post(Event::Claimed { request: number, answer }, coverage);
    }

    fn send(
        &mut self,
        number: usize,
        grant: &PromptGrant,
        resume_from: u64,
        resume_text: String,
        coverage: &mut Coverage,
    ) {
        let request = &mut self.requests[number];
        request.sent.push(grant.attempt.clone());
        request.grant = Some(grant.clone());
        let attempt = grant.attempt.clone();
        let Some(prompt) = request.prompt.clone() else {
            let body = request.body.clone();
            self.post(Event::ServiceCall { request: number, attempt, body }, coverage);
            return;
        };
        let max_tokens = request.answer_tokens;
        coverage.groups += u64::from(grant.members.len() > 1);
        let (lead, parts) = grant.members.split_first().expect("a grant has at least one member");
        for part in parts {
            let call = PartCall { attempt: attempt.clone(), reserved: part.reserved };
            self.post(Event::Part { engine: engine_of(part), call }, coverage);
        }
        let call = AttemptCall {
            attempt,
            model: MODEL.parse().expect("valid name"),
            prompt: Arc::new(prompt),
            max_tokens,
            reserved: lead.reserved,
            priority: grant.priority,
            resume_from,
            resume_text,
            helpers: parts.iter().map(|part| part.address).collect(),
        };
        let engine = engine_of(lead);
        let call = Box::new(call);
        self.post(Event::Send { request: number, engine, call }, coverage);
    }

    pub fn caller_gone(&mut self, coverage: &mut Coverage) {
        let open: Vec<usize> = (0..self.requests.len())
            .filter(|n| {
                let request = &self.requests[*n];
                request.outcome.is_none() && !request.entry_crashed && request.key.is_none()
            })
            .collect();
        if open.is_empty() {
            return;
        }
        let number = open[self.random.random_range(0..open.len())];
        coverage.callers_gone += 1;
        self.requests[number].caller_left = true;
        self.requests[number].lifecycle.caller_gone();
        self.execute_commands(number, coverage);
    }

    /// Crashes an entry with all its requests. Its removal is committed to the log, and the entry
    /// joins again with a new epoch.
    pub fn crash_entry(&mut self, coverage: &mut Coverage) {
        let entry = self.random.random_range(0..ENTRIES);
        coverage.entry_crashes += 1;
        self.log(|| format!("entry {entry} crashes"));
        let epoch = LeaseEpoch(self.entry_epochs[entry]);
        for number in 0..self.requests.len() {
            let request = &mut self.requests[number];
            if request.entry == entry && request.outcome.is_none() && !request.entry_crashed {
                request.entry_crashed = true;
                coverage.ended_with_entry += 1;
                // The entry's connections break, and engines cancel attempts that have no reader.
                if let Some(grant) = request.grant.clone() {
                    let engine = engine_of(&grant.members[0]);
                    if self.requests[number].prompt.is_some() {
                        let attempt = grant.attempt;
                        self.post(Event::Cancel { engine, attempt }, coverage);
                    }
                }
            }
        }
        let instance = entry_name(entry);
        self.commit(ReplicatedCommand::Member(MemberCommand::Remove { instance, epoch }));
        self.join_entry(entry);
    }
}

pub fn engine_of(member: &GrantedEndpoint) -> usize {
    usize::from(member.address.port()) - 1
}

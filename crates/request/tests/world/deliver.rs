//! Delivery of events, periodic work, and crashes of engines and homes.

use std::time::Duration;

use oriolepass_config::KeptAnswer;
use oriolepass_request::{AttemptRefusal, RequestLifecycle, SendFailure};
use oriolepass_scheduler::{GrantRefusal, HomeCommand, ReleaseReason};
use oriolepass_schema::endpoint::{AttemptCall, StreamLine};
use oriolepass_schema::operator::PoolRole;
use oriolepass_standin::StepEvent;
use oriolepass_units::AttemptId;
use rand::Rng;

use super::endpoints::TestService;
use super::requests::entry_name;
use super::{Coverage, ENGINES, ENTRIES, Event, World};

impl World {
    /// Schedules the event by which the sender or receiver notices the loss of a message.
    pub fn drop_message(&mut self, event: Event) {
        match event {
            // The entry's grant request to an unreachable home times out.
            Event::Ask { request, ask, .. } => {
                let attempt = ask.attempt;
                self.schedule(Duration::from_secs(1), Event::HomeUnreachable { request, attempt });
            }
            Event::Answer { request, answer, .. } => {
                let attempt = match answer {
                    Ok(grant) => grant.attempt,
                    Err((attempt, _)) => attempt,
                };
                self.schedule(Duration::from_secs(1), Event::HomeUnreachable { request, attempt });
            }
            Event::Claimed { request, .. } => {
                self.schedule(Duration::from_secs(2), Event::Claimed { request, answer: None });
            }
            // The loss of a piece breaks its connection.
            Event::Line { request, line } => {
                let attempt = line.attempt().clone();
                self.break_stream(request, attempt);
            }
            Event::Send { request, call, .. } => self.break_stream(request, call.attempt),
            Event::ServiceCall { request, attempt, .. }
            | Event::ServiceAnswer { request, attempt, .. } => {
                self.break_stream(request, attempt);
            }
            // The driver resends a release until the lease expires.
            Event::Release { home, attempt, reason } => {
                self.schedule(Duration::from_millis(50), Event::Release { home, attempt, reason });
            }
            _ => {}
        }
    }

    /// Breaks a connection. An engine cancels an attempt that has no reader.
    fn break_stream(&mut self, request: usize, attempt: AttemptId) {
        let failure = SendFailure::Broken;
        for engine in 0..ENGINES {
            let cancel = Event::Cancel { engine, attempt: attempt.clone() };
            self.schedule(Duration::from_millis(2), cancel);
        }
        self.schedule(Duration::from_millis(2), Event::SendFailed { request, attempt, failure });
    }

    pub fn deliver(&mut self, event: Event, coverage: &mut Coverage) {
        match event {
            Event::Ask { home, request, ask } => {
                if home == self.home {
                    self.homes[home].request_grant(self.now, *ask);
                    self.home_commands(home, coverage);
                } else {
                    let answer = Err((ask.attempt, GrantRefusal::NotHome));
                    self.post(Event::Answer { request, home, answer }, coverage);
                }
            }
            Event::Answer { request, home, answer } => {
                self.answer(request, home, answer, coverage);
            }
            Event::HomeUnreachable { request, attempt } => {
                let next = self.fresh_attempt();
                let refusal = AttemptRefusal::HomeUnreachable;
                self.with_lifecycle(request, coverage, |r| r.refused(&attempt, &refusal, || next));
            }
            Event::Claimed { request, answer } => {
                let next = self.fresh_attempt();
                coverage.still_running +=
                    u64::from(answer == Some(oriolepass_config::ClaimAnswer::StillRunning));
                self.with_lifecycle(request, coverage, |r| match answer {
                    Some(answer) => r.claim_answered(answer, || next),
                    None => r.claim_failed(),
                });
            }
            Event::Started { home, attempt } => self.homes[home].started(self.now, &attempt),
            Event::Release { home, attempt, reason } => {
                self.homes[home].release(self.now, &attempt, reason);
                self.home_commands(home, coverage);
            }
            Event::Part { engine, call } => {
                if self.engines[engine].alive {
                    let _ = self.engines[engine].model.hold_part(&call);
                }
            }
            Event::Send { request, engine, call } => {
                self.submit_to_engine(request, engine, &call, coverage);
            }
            Event::Line { request, line } => self.line(request, line, coverage),
            Event::SendFailed { request, attempt, failure } => {
                self.send_failed(request, &attempt, failure, coverage);
            }
            Event::ServiceCall { request, attempt, body } => {
                self.service.run(&attempt, &body);
                coverage.services_run += 1;
                let text = format!("done {body}");
                let kept = KeptAnswer::new(200, "text/plain".to_owned(), text.as_bytes());
                let answer = Event::ServiceAnswer { request, attempt, kept, body: text };
                self.post(answer, coverage);
            }
            Event::ServiceAnswer { request, attempt, kept, body } => {
                self.with_lifecycle(request, coverage, |r| {
                    r.service_answered(&attempt, &kept, &body);
                });
            }
            // The plain service holds no memory, so there is nothing to cancel.
            Event::Cancel { engine, .. } if engine >= ENGINES => {}
            Event::Cancel { engine, attempt } => {
                self.engines[engine].readers.remove(&attempt);
                self.engines[engine].model.cancel(&attempt);
            }
            Event::Held { home, engine, requested_at, streams } => {
                let endpoint = self.engines[engine].announcement(self.now).endpoint;
                let before = self.homes[home].counters().cancelled_unexplained;
                self.homes[home].held_streams(self.now, requested_at, &endpoint, &streams);
                let after = self.homes[home].counters().cancelled_unexplained;
                coverage.orphans_cancelled += after - before;
                self.home_commands(home, coverage);
            }
            Event::Step { engine, incarnation } => self.step(engine, incarnation, coverage),
            Event::Deadline { request } => {
                let open = self.requests[request].outcome.is_none();
                coverage.deadlines += u64::from(open && !self.requests[request].entry_crashed);
                self.with_lifecycle(request, coverage, RequestLifecycle::deadline_passed);
            }
        }
    }

    /// Applies an event to a request's state machine, unless its entry has crashed.
    fn with_lifecycle(
        &mut self,
        number: usize,
        coverage: &mut Coverage,
        apply: impl FnOnce(&mut RequestLifecycle),
    ) {
        if self.requests[number].entry_crashed {
            return;
        }
        apply(&mut self.requests[number].lifecycle);
        self.execute_commands(number, coverage);
    }

    fn answer(
        &mut self,
        request: usize,
        home: usize,
        answer: Result<oriolepass_scheduler::PromptGrant, (AttemptId, GrantRefusal)>,
        coverage: &mut Coverage,
    ) {
        let now = self.now;
        match answer {
            Ok(grant) => {
                if !self.requests[request].entry_crashed && self.requests[request].outcome.is_none()
                {
                    self.requests[request].home = Some(home);
                }
                self.with_lifecycle(request, coverage, |r| r.granted(now, grant));
            }
            Err((attempt, refusal)) => {
                let next = self.fresh_attempt();
                let refusal = AttemptRefusal::Home(refusal);
                self.with_lifecycle(request, coverage, |r| r.refused(&attempt, &refusal, || next));
            }
        }
    }

    fn submit_to_engine(
        &mut self,
        request: usize,
        engine: usize,
        call: &AttemptCall,
        coverage: &mut Coverage,
    ) {
        let target = &mut self.engines[engine];
        if !target.alive {
            let failure = SendFailure::NotConnected;
            let attempt = call.attempt.clone();
            self.post(Event::SendFailed { request, attempt, failure }, coverage);
            return;
        }
        match target.model.submit(call) {
            Ok(()) => {
                target.readers.insert(call.attempt.clone(), request);
                *target.began.entry(call.attempt.clone()).or_default() += 1;
                self.start_stepping(engine);
            }
            Err(message) => {
                let attempt = call.attempt.clone();
                let line = StreamLine::Failed { attempt, ran: false, message };
                self.post(Event::Line { request, line }, coverage);
            }
        }
    }

    fn start_stepping(&mut self, engine: usize) {
        let target = &mut self.engines[engine];
        if !target.stepping {
            target.stepping = true;
            let incarnation = target.incarnation;
            self.schedule(Duration::from_millis(1), Event::Step { engine, incarnation });
        }
    }

    fn step(&mut self, engine: usize, incarnation: u64, coverage: &mut Coverage) {
        let target = &mut self.engines[engine];
        if !target.alive || target.incarnation != incarnation {
            return;
        }
        let step = target.model.step();
        if target.model.is_idle() {
            target.stepping = false;
        } else {
            self.schedule(step.duration, Event::Step { engine, incarnation });
        }
        for event in step.events {
            let line = match event {
                StepEvent::Token { attempt, index, text } => {
                    StreamLine::Token { attempt, index, text }
                }
                StepEvent::Ended { attempt, tokens, digest } => {
                    StreamLine::End { attempt, tokens, digest, finish_reason: "stop".into() }
                }
            };
            let Some(reader) = self.engines[engine].readers.get(line.attempt()).copied() else {
                continue;
            };
            // A connection preserves the order of its lines, so they all take the same time. Some
            // lines are duplicated, and some reach a request that they do not belong to.
            let duplicated = !self.recovering && self.random.random_bool(0.005);
            let misrouted = !self.recovering && self.random.random_bool(0.005);
            if duplicated {
                let copy = Event::Line { request: reader, line: line.clone() };
                self.schedule(Duration::from_millis(40), copy);
                coverage.late_lines += 1;
            }
            if misrouted {
                let other = self.random.random_range(0..self.requests.len());
                self.schedule(
                    Duration::from_millis(3),
                    Event::Line { request: other, line: line.clone() },
                );
            }
            let lost = !self.recovering && self.random.random_bool(0.001);
            if lost {
                coverage.broken_streams += 1;
                self.drop_message(Event::Line { request: reader, line });
            } else {
                self.schedule(Duration::from_millis(1), Event::Line { request: reader, line });
            }
        }
    }

    fn line(&mut self, request: usize, line: StreamLine, coverage: &mut Coverage) {
        let next = self.fresh_attempt();
        let allowed = self.budget.spend();
        let before = self.requests[request].lifecycle.strays();
        self.with_lifecycle(request, coverage, |r| r.line(line, || allowed, || next));
        coverage.strays += self.requests[request].lifecycle.strays() - before;
    }

    fn send_failed(
        &mut self,
        request: usize,
        attempt: &AttemptId,
        failure: SendFailure,
        coverage: &mut Coverage,
    ) {
        if self.requests[request].lifecycle.attempt() != Some(attempt) {
            return;
        }
        let next = self.fresh_attempt();
        let allowed = self.budget.spend();
        self.with_lifecycle(request, coverage, |r| r.send_failed(failure, || allowed, || next));
    }

    /// Executes the commands emitted by a home.
    pub fn home_commands(&mut self, home: usize, coverage: &mut Coverage) {
        loop {
            let commands = self.homes[home].take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.home_command(home, command, coverage);
            }
        }
    }

    fn home_command(&mut self, home: usize, command: HomeCommand, coverage: &mut Coverage) {
        match command {
            HomeCommand::Grant(grant) => {
                let requester = self.request_of(&grant.attempt);
                match requester {
                    Some(request) => {
                        self.post(Event::Answer { request, home, answer: Ok(grant) }, coverage);
                    }
                    None => {
                        let reason = ReleaseReason::NeverSent;
                        self.homes[home].release(self.now, &grant.attempt, reason);
                    }
                }
            }
            HomeCommand::Refuse { attempt, refusal } => {
                if let Some(request) = self.request_of(&attempt) {
                    let answer = Err((attempt, refusal));
                    self.post(Event::Answer { request, home, answer }, coverage);
                }
            }
            HomeCommand::Cancel { address, attempt, .. } => {
                let engine = usize::from(address.port()) - 1;
                if engine < ENGINES {
                    self.post(Event::Cancel { engine, attempt }, coverage);
                }
            }
            HomeCommand::Inspect { address, endpoint } => {
                let engine = usize::from(address.port()) - 1;
                if engine < ENGINES {
                    if self.engines[engine].alive {
                        let (requested_at, streams) = (self.now, self.engines[engine].model.held());
                        self.post(Event::Held { home, engine, requested_at, streams }, coverage);
                    }
                } else {
                    // The plain service holds no memory between calls.
                    self.homes[home].held_streams(self.now, self.now, &endpoint, &[]);
                }
            }
        }
    }

    fn request_of(&self, attempt: &AttemptId) -> Option<usize> {
        self.requests
            .iter()
            .position(|r| r.lifecycle.attempt() == Some(attempt) && !r.entry_crashed)
    }

    /// Runs the periodic work: heartbeats, lease renewals and the homes' own ticks.
    pub fn tick(&mut self, coverage: &mut Coverage) {
        let (now, home) = (self.now, self.home);
        for engine in 0..ENGINES {
            self.engine_heartbeat(engine);
        }
        self.homes[home].announce(now, &TestService::announcement(), PoolRole::General);
        for entry in 0..ENTRIES {
            let attempts: Vec<AttemptId> = self
                .requests
                .iter()
                .filter(|r| r.entry == entry && !r.entry_crashed && r.outcome.is_none())
                .filter_map(|r| r.grant.as_ref().map(|grant| grant.attempt.clone()))
                .collect();
            let lost = !self.recovering && self.random.random_bool(0.05);
            if !lost {
                self.homes[home].renew(now, &entry_name(entry), &attempts);
            }
        }
        for home in 0..2 {
            let before = self.homes[home].counters();
            self.homes[home].tick(now);
            let after = self.homes[home].counters();
            coverage.expired_grants += after.expired_grants - before.expired_grants;
            self.home_commands(home, coverage);
        }
    }

    fn engine_heartbeat(&mut self, engine: usize) {
        let (now, home) = (self.now, self.home);
        let target = &mut self.engines[engine];
        if !target.alive {
            return;
        }
        let known = target.home == Some(home)
            && self.homes[home].heartbeat(now, &target.heartbeat()).is_ok();
        if known {
            target.last_heartbeat = Some(now);
            return;
        }
        // The old home may have crashed or stalled without releasing the engine.
        let announcement = target.announcement(now);
        self.homes[home].announce(now, &announcement, PoolRole::General);
        target.home = Some(home);
        target.last_heartbeat = Some(now);
    }

    pub fn crash_engine(&mut self, coverage: &mut Coverage) {
        let victim = self.random.random_range(0..ENGINES);
        if !self.engines[victim].alive {
            return;
        }
        coverage.engine_crashes += 1;
        self.log(|| format!("engine {victim} crashes"));
        let readers: Vec<_> = self.engines[victim].readers.clone().into_iter().collect();
        self.engines[victim].crash();
        for (attempt, request) in readers {
            let failure = SendFailure::Broken;
            self.post(Event::SendFailed { request, attempt, failure }, coverage);
        }
    }

    /// Crashes the home or cuts it off. The other home takes over with an empty ledger.
    pub fn crash_home(&mut self, coverage: &mut Coverage) {
        coverage.home_crashes += 1;
        let old = self.home;
        self.home = 1 - old;
        self.log(|| format!("home {old} crashes"));
        self.homes[self.home] = super::new_home();
        let survives = self.random.random_bool(0.5);
        if !survives {
            self.homes[old] = super::new_home();
        }
        // Requests that wait for a grant from the old home notice that it is unreachable.
        for number in 0..self.requests.len() {
            let waits = self.requests[number].grant.is_none();
            let attempt = self.requests[number].lifecycle.attempt().cloned();
            if let Some(attempt) = attempt.filter(|_| waits) {
                let event = Event::HomeUnreachable { request: number, attempt };
                self.schedule(Duration::from_millis(800), event);
            }
        }
    }
}

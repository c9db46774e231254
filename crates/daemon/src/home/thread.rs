//! The home's thread: owns the scheduler, feeds it inputs and executes its commands.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::thread::JoinHandle;

use crossbeam_channel::Receiver;
use oriolepass_scheduler::{
    GrantRefusal, HomeCommand, HomeScheduler, PromptGrant, ReleaseReason, SchedulerConfig,
};
use oriolepass_schema::operator::{EndpointState, EndpointView};
use oriolepass_units::{AccountId, AttemptId, LogIndex, MonotonicTime};
use tokio::sync::mpsc;

use super::{GrantReply, HomeInput, HomeTask};
use crate::shared::DaemonShared;

/// Ticks between two digests and between two updates of the metrics.
const DIGEST_INTERVAL_TICKS: u64 = 4;

/// Starts the home's thread.
///
/// # Errors
///
/// Returns the operating system's error when the thread cannot be started.
pub(crate) fn start_home(
    shared: &Arc<DaemonShared>,
    inputs: Receiver<HomeInput>,
    tasks: mpsc::Sender<HomeTask>,
) -> std::io::Result<JoinHandle<()>> {
    let timing = &shared.settings.timing;
    let config = SchedulerConfig {
        grant_lease: timing.grant_lease,
        endpoint_suspect: timing.endpoint_suspect,
        endpoint_gone: timing.endpoint_gone,
        ..SchedulerConfig::default()
    };
    let thread = HomeThread {
        scheduler: HomeScheduler::new(config),
        replies: HashMap::new(),
        tasks,
        applied_view: LogIndex::ZERO,
        ticks: 0,
        was_serving: false,
        shared: Arc::downgrade(shared),
    };
    std::thread::Builder::new().name("home".into()).spawn(move || thread.run(&inputs))
}

struct HomeThread {
    scheduler: HomeScheduler,
    replies: HashMap<AttemptId, GrantReply>,
    tasks: mpsc::Sender<HomeTask>,
    applied_view: LogIndex,
    ticks: u64,
    /// Whether the last digest named a model or a service.
    was_serving: bool,
    shared: Weak<DaemonShared>,
}

impl HomeThread {
    fn run(mut self, inputs: &Receiver<HomeInput>) {
        while let Ok(input) = inputs.recv() {
            let Some(shared) = self.shared.upgrade() else { return };
            if matches!(input, HomeInput::Stop) {
                return;
            }
            self.handle(&shared, input);
            self.carry_out(&shared);
        }
    }

    fn handle(&mut self, shared: &DaemonShared, input: HomeInput) {
        let now = shared.now();
        match input {
            HomeInput::Tick => self.tick(shared, now),
            HomeInput::Ask(ask, reply) => {
                self.replies.insert(ask.attempt.clone(), reply);
                self.scheduler.request_grant(now, *ask);
            }
            HomeInput::Started(attempt) => self.scheduler.started(now, &attempt),
            HomeInput::Renew(entry, attempts, reply) => {
                let _ = reply.send(self.scheduler.renew(now, &entry, &attempts));
            }
            HomeInput::Release(attempt, reason) => {
                self.replies.remove(&attempt);
                self.scheduler.release(now, &attempt, reason);
            }
            HomeInput::Announce(announcement, role) => {
                self.scheduler.announce(now, &announcement, role);
            }
            HomeInput::Heartbeat(heartbeat, reply) => {
                let known = self.scheduler.heartbeat(now, &heartbeat).is_ok();
                let _ = reply.send(known);
            }
            HomeInput::CacheEvents(events) => {
                let _ = self.scheduler.cache_events(&events);
            }
            HomeInput::Leave(leave, reply) => {
                let known = self.scheduler.leave(&leave.endpoint, leave.incarnation).is_ok();
                let _ = reply.send(known);
            }
            HomeInput::ReleaseEndpoint(endpoint, reply) => {
                let _ = reply.send(self.scheduler.remove_endpoint(&endpoint));
            }
            HomeInput::Held { queried_at, endpoint, streams } => {
                self.scheduler.held_streams(now, queried_at, &endpoint, &streams);
            }
            HomeInput::Views(reply) => {
                let _ = reply.send(self.scheduler.endpoint_views());
            }
            HomeInput::Stop => {}
        }
    }

    fn tick(&mut self, shared: &DaemonShared, now: MonotonicTime) {
        let mark = shared.view.mark();
        if mark.index != self.applied_view {
            self.applied_view = mark.index;
            self.apply_view(shared);
        }
        self.scheduler.tick(now);
        self.ticks += 1;
        if self.ticks.is_multiple_of(DIGEST_INTERVAL_TICKS) {
            self.publish_digest(shared);
            self.update_metrics(shared);
        }
    }

    /// Publishes the digest of what this home serves. A home that serves nothing publishes one
    /// empty digest and then stops, because only some daemons are homes in a cluster of any size.
    fn publish_digest(&mut self, shared: &DaemonShared) {
        let digest = self.scheduler.digest(shared.id(), shared.data_centre());
        let serves = !digest.models.is_empty() || !digest.services.is_empty();
        let was_serving = std::mem::replace(&mut self.was_serving, serves);
        if serves || was_serving {
            let _ = self.tasks.try_send(HomeTask::Publish(digest));
        }
    }

    /// Applies the accounts' shares to the scheduler and drops endpoints whose home is another
    /// daemon.
    fn apply_view(&mut self, shared: &DaemonShared) {
        for (name, spec) in shared.view.read().accounts() {
            if let Ok(account) = name.parse::<AccountId>() {
                self.scheduler.set_share(&account, spec.share, spec.max_held);
            }
        }
        let own = shared.id();
        self.scheduler.retain_endpoints(|endpoint, data_centre| {
            shared.home_of(data_centre, endpoint).is_none_or(|home| home.instance == *own)
        });
    }

    fn update_metrics(&self, shared: &DaemonShared) {
        let metrics = &shared.metrics;
        let views = self.scheduler.endpoint_views();
        let sum = |size: fn(&EndpointView) -> u64| {
            i64::try_from(views.iter().map(size).sum::<u64>()).unwrap_or(i64::MAX)
        };
        metrics.engine_held.set(sum(|view| view.held.0));
        metrics.engine_unexplained.set(sum(|view| view.unexplained.0));
        metrics.waiting.set(i64::try_from(self.scheduler.waiting_count()).unwrap_or(i64::MAX));
        let states = [
            ("joining", EndpointState::Joining),
            ("live", EndpointState::Live),
            ("suspect", EndpointState::Suspect),
            ("leaving", EndpointState::Leaving),
        ];
        for (name, state) in states {
            let count = views.iter().filter(|view| view.state == state).count();
            let gauge = metrics.endpoints.with_label_values(&[name]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let depth = i64::try_from(shared.home.depth()).unwrap_or(i64::MAX);
        metrics.ring_depth.with_label_values(&["home"]).set(depth);
    }

    /// Executes the scheduler's commands until none are left. Executing a command may produce
    /// more: the release of a grant whose requester is gone may make room for another grant.
    fn carry_out(&mut self, shared: &DaemonShared) {
        loop {
            let commands = self.scheduler.take_commands();
            if commands.is_empty() {
                return;
            }
            commands.into_iter().for_each(|command| self.carry_out_one(shared, command));
        }
    }

    fn carry_out_one(&mut self, shared: &DaemonShared, command: HomeCommand) {
        match command {
            HomeCommand::Grant(grant) => self.grant(shared, grant),
            HomeCommand::Refuse { attempt, refusal } => self.refuse(&attempt, refusal),
            HomeCommand::Cancel { address, attempt, .. } => {
                self.submit_task(shared, HomeTask::Cancel { address, attempt });
            }
            HomeCommand::Inspect { endpoint, address } => {
                self.submit_task(shared, HomeTask::Inspect { endpoint, address });
            }
        }
    }

    /// Submits a background task. A task that finds the ring full is dropped, because the scheduler
    /// repeats commands that are not confirmed.
    fn submit_task(&self, shared: &DaemonShared, task: HomeTask) {
        if self.tasks.try_send(task).is_err() {
            shared.metrics.ring_refused("chores");
        }
    }

    fn grant(&mut self, shared: &DaemonShared, grant: PromptGrant) {
        let attempt = grant.attempt.clone();
        let taken =
            self.replies.remove(&attempt).is_some_and(|reply| reply.send(Ok(grant)).is_ok());
        if !taken {
            // The requester is gone, so nothing was or will be sent under this grant.
            self.scheduler.release(shared.now(), &attempt, ReleaseReason::NeverSent);
        }
    }

    fn refuse(&mut self, attempt: &AttemptId, refusal: GrantRefusal) {
        if let Some(reply) = self.replies.remove(attempt) {
            let _ = reply.send(Err(refusal));
        }
    }
}

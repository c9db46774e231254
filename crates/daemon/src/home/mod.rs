//! The home's duty: feeds the scheduler and carries out its commands.

mod chores;
mod duty;

use crossbeam_channel::{Receiver, Sender, bounded};
use oriolepass_scheduler::{GrantAsk, GrantRefusal, PromptGrant, ReleaseReason};
use oriolepass_schema::endpoint::{
    CacheEvents, EndpointAnnouncement, EndpointHeartbeat, EndpointLeave, HeldStream,
};
use oriolepass_schema::operator::{EndpointView, PoolRole};
use oriolepass_units::{AttemptId, EndpointId, InstanceId, MonotonicTime};
use tokio::sync::oneshot;

pub(crate) use chores::{HomeTask, run_home_tasks};
pub(crate) use duty::start_home;

/// Asks and reports that wait for the home's thread.
const RING_CAPACITY: usize = 16_384;

/// Places in the ring that asks leave free for releases and reports: what frees memory must
/// get through when what asks for it does not.
const KEPT_FOR_RELEASES: usize = 4_096;

pub(crate) type GrantReply = oneshot::Sender<Result<PromptGrant, GrantRefusal>>;

/// What the home's thread takes in.
pub(crate) enum HomeInput {
    Tick,
    Ask(Box<GrantAsk>, GrantReply),
    Started(AttemptId),
    Renew(InstanceId, Vec<AttemptId>, oneshot::Sender<Vec<AttemptId>>),
    Release(AttemptId, ReleaseReason),
    Announce(Box<EndpointAnnouncement>, PoolRole),
    Heartbeat(EndpointHeartbeat, oneshot::Sender<bool>),
    CacheEvents(CacheEvents),
    Leave(EndpointLeave, oneshot::Sender<bool>),
    LetGo(EndpointId, oneshot::Sender<bool>),
    Held { asked: MonotonicTime, endpoint: EndpointId, streams: Vec<HeldStream> },
    Views(oneshot::Sender<Vec<EndpointView>>),
    Stop,
}

/// Asks the home's thread.
#[derive(Clone)]
pub(crate) struct HomeHandle {
    ring: Sender<HomeInput>,
}

impl HomeHandle {
    /// Creates the handle and the ring's other end.
    pub(crate) fn new() -> (Self, Receiver<HomeInput>) {
        let (ring, inputs) = bounded(RING_CAPACITY);
        (Self { ring }, inputs)
    }

    pub(crate) fn depth(&self) -> usize {
        self.ring.len()
    }

    fn try_put(&self, input: HomeInput) -> bool {
        self.ring.try_send(input).is_ok()
    }

    /// Asks for the use of an endpoint and waits for the grant or the refusal.
    pub(crate) async fn ask(&self, ask: GrantAsk) -> Result<PromptGrant, GrantRefusal> {
        let busy = GrantRefusal::Busy { retry_after: std::time::Duration::from_secs(1) };
        if self.ring.len() + KEPT_FOR_RELEASES > RING_CAPACITY {
            return Err(busy);
        }
        let (reply, answer) = oneshot::channel();
        if !self.try_put(HomeInput::Ask(Box::new(ask), reply)) {
            return Err(busy);
        }
        answer.await.unwrap_or(Err(GrantRefusal::NotHome))
    }

    pub(crate) fn started(&self, attempt: AttemptId) -> bool {
        self.try_put(HomeInput::Started(attempt))
    }

    pub(crate) fn release(&self, attempt: AttemptId, reason: ReleaseReason) -> bool {
        self.try_put(HomeInput::Release(attempt, reason))
    }

    /// Renews grants; returns those that are not known, or none when the ring is full.
    pub(crate) async fn renew(
        &self,
        entry: InstanceId,
        attempts: Vec<AttemptId>,
    ) -> Option<Vec<AttemptId>> {
        self.answered(|reply| HomeInput::Renew(entry, attempts, reply)).await
    }

    pub(crate) fn announce(&self, announcement: EndpointAnnouncement, role: PoolRole) -> bool {
        self.try_put(HomeInput::Announce(Box::new(announcement), role))
    }

    pub(crate) fn cache_events(&self, events: CacheEvents) {
        self.try_put(HomeInput::CacheEvents(events));
    }

    pub(crate) fn held(
        &self,
        asked: MonotonicTime,
        endpoint: EndpointId,
        streams: Vec<HeldStream>,
    ) {
        self.try_put(HomeInput::Held { asked, endpoint, streams });
    }

    /// Returns the answer to an input; none when the ring is full or the thread has ended.
    async fn answered<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> HomeInput) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        if !self.try_put(input(reply)) {
            return None;
        }
        answer.await.ok()
    }

    /// Returns whether the endpoint is known.
    pub(crate) async fn heartbeat(&self, heartbeat: EndpointHeartbeat) -> bool {
        self.answered(|reply| HomeInput::Heartbeat(heartbeat, reply)).await.unwrap_or(false)
    }

    /// Returns whether the endpoint is known.
    pub(crate) async fn leave(&self, leave: EndpointLeave) -> bool {
        self.answered(|reply| HomeInput::Leave(leave, reply)).await.unwrap_or(false)
    }

    /// Lets an endpoint go that has another home; returns whether it was known.
    pub(crate) async fn let_go(&self, endpoint: EndpointId) -> bool {
        self.answered(|reply| HomeInput::LetGo(endpoint, reply)).await.unwrap_or(false)
    }

    /// Lists the endpoints.
    pub(crate) async fn views(&self) -> Vec<EndpointView> {
        self.answered(HomeInput::Views).await.unwrap_or_default()
    }

    pub(crate) fn tick(&self) {
        self.try_put(HomeInput::Tick);
    }

    pub(crate) fn stop(&self) {
        let _ = self.ring.send(HomeInput::Stop);
    }
}

//! The home role of a daemon. A home schedules the endpoints of a shard: it grants their use to
//! entries and keeps the ledger of their memory. The thread of this module feeds the scheduler
//! and executes its commands.

mod tasks;
mod thread;

use crossbeam_channel::{Receiver, Sender, bounded};
use oriolepass_scheduler::{GrantRefusal, GrantRequest, PromptGrant, ReleaseReason};
use oriolepass_schema::endpoint::{
    CacheEvents, EndpointAnnouncement, EndpointHeartbeat, EndpointLeave, HeldStream,
};
use oriolepass_schema::operator::{EndpointView, PoolRole};
use oriolepass_units::{AttemptId, EndpointId, InstanceId, MonotonicTime};
use tokio::sync::oneshot;

pub(crate) use tasks::{HomeTask, run_home_tasks};
pub(crate) use thread::start_home;

/// Capacity of the ring of inputs that wait for the home's thread.
const RING_CAPACITY: usize = 16_384;

/// Capacity of the ring that is reserved for releases and reports. Requests for grants leave it
/// free, so that inputs that free memory still fit when requests for memory no longer do.
const RESERVED_CAPACITY: usize = 4_096;

pub(crate) type GrantReply = oneshot::Sender<Result<PromptGrant, GrantRefusal>>;

/// An input of the home's thread.
pub(crate) enum HomeInput {
    Tick,
    Ask(Box<GrantRequest>, GrantReply),
    Started(AttemptId),
    Renew(InstanceId, Vec<AttemptId>, oneshot::Sender<Vec<AttemptId>>),
    Release(AttemptId, ReleaseReason),
    Announce(Box<EndpointAnnouncement>, PoolRole),
    Heartbeat(EndpointHeartbeat, oneshot::Sender<bool>),
    CacheEvents(CacheEvents),
    Leave(EndpointLeave, oneshot::Sender<bool>),
    ReleaseEndpoint(EndpointId, oneshot::Sender<bool>),
    Held { queried_at: MonotonicTime, endpoint: EndpointId, streams: Vec<HeldStream> },
    Views(oneshot::Sender<Vec<EndpointView>>),
    Stop,
}

/// Sends inputs to the home's thread.
#[derive(Clone)]
pub(crate) struct HomeHandle {
    ring: Sender<HomeInput>,
}

impl HomeHandle {
    /// Creates the handle and the receiving end of its ring.
    pub(crate) fn new() -> (Self, Receiver<HomeInput>) {
        let (ring, inputs) = bounded(RING_CAPACITY);
        (Self { ring }, inputs)
    }

    pub(crate) fn depth(&self) -> usize {
        self.ring.len()
    }

    fn try_send_input(&self, input: HomeInput) -> bool {
        self.ring.try_send(input).is_ok()
    }

    /// Requests the use of an endpoint and waits for the grant or the refusal.
    pub(crate) async fn ask(&self, ask: GrantRequest) -> Result<PromptGrant, GrantRefusal> {
        let busy = GrantRefusal::Busy { retry_after: std::time::Duration::from_secs(1) };
        if self.ring.len() + RESERVED_CAPACITY > RING_CAPACITY {
            return Err(busy);
        }
        let (reply, answer) = oneshot::channel();
        if !self.try_send_input(HomeInput::Ask(Box::new(ask), reply)) {
            return Err(busy);
        }
        answer.await.unwrap_or(Err(GrantRefusal::NotHome))
    }

    pub(crate) fn started(&self, attempt: AttemptId) -> bool {
        self.try_send_input(HomeInput::Started(attempt))
    }

    pub(crate) fn release(&self, attempt: AttemptId, reason: ReleaseReason) -> bool {
        self.try_send_input(HomeInput::Release(attempt, reason))
    }

    /// Renews grants. Returns the attempts that are not known, or `None` when the ring is full or
    /// the thread has ended.
    pub(crate) async fn renew(
        &self,
        entry: InstanceId,
        attempts: Vec<AttemptId>,
    ) -> Option<Vec<AttemptId>> {
        self.request(|reply| HomeInput::Renew(entry, attempts, reply)).await
    }

    pub(crate) fn announce(&self, announcement: EndpointAnnouncement, role: PoolRole) -> bool {
        self.try_send_input(HomeInput::Announce(Box::new(announcement), role))
    }

    pub(crate) fn cache_events(&self, events: CacheEvents) {
        self.try_send_input(HomeInput::CacheEvents(events));
    }

    pub(crate) fn held(
        &self,
        queried_at: MonotonicTime,
        endpoint: EndpointId,
        streams: Vec<HeldStream>,
    ) {
        self.try_send_input(HomeInput::Held { queried_at, endpoint, streams });
    }

    /// Sends an input and returns its reply; `None` when the ring is full or the thread has ended.
    async fn request<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> HomeInput) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        if !self.try_send_input(input(reply)) {
            return None;
        }
        answer.await.ok()
    }

    /// Returns whether the endpoint is known.
    pub(crate) async fn heartbeat(&self, heartbeat: EndpointHeartbeat) -> bool {
        self.request(|reply| HomeInput::Heartbeat(heartbeat, reply)).await.unwrap_or(false)
    }

    /// Returns whether the endpoint is known.
    pub(crate) async fn leave(&self, leave: EndpointLeave) -> bool {
        self.request(|reply| HomeInput::Leave(leave, reply)).await.unwrap_or(false)
    }

    /// Releases an endpoint that has moved to another home. Returns whether it was known.
    pub(crate) async fn release_endpoint(&self, endpoint: EndpointId) -> bool {
        self.request(|reply| HomeInput::ReleaseEndpoint(endpoint, reply)).await.unwrap_or(false)
    }

    /// Lists the endpoints.
    pub(crate) async fn views(&self) -> Vec<EndpointView> {
        self.request(HomeInput::Views).await.unwrap_or_default()
    }

    pub(crate) fn tick(&self) {
        self.try_send_input(HomeInput::Tick);
    }

    pub(crate) fn stop(&self) {
        let _ = self.ring.send(HomeInput::Stop);
    }
}

//! Announces a stand-in endpoint to its home, the daemon that schedules the endpoint, and sends
//! heartbeats and cache events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use oriolepass_schema::endpoint::{
    AnnouncementAnswer, CacheChange, CacheEvents, EndpointAnnouncement, EndpointHeartbeat,
    EndpointLeave, HeartbeatAnswer,
};

use crate::faults::FaultPlan;
use crate::http::{HttpClient, client, send};

/// Where and how an endpoint announces itself.
#[derive(Debug, Clone)]
pub struct AnnouncePlan {
    /// Endpoint-facing addresses of daemons. Each daemon can name the endpoint's home.
    pub daemons: Vec<SocketAddr>,
    /// The pool's key.
    pub key: String,
    /// Delay before cache events are sent.
    pub cache_lag: Duration,
}

/// The load that a heartbeat reports, and the cache changes since the last report.
pub(crate) struct LoadReport {
    pub(crate) used: oriolepass_units::TokenCount,
    pub(crate) backlog: oriolepass_units::TokenCount,
    pub(crate) streams: u32,
    pub(crate) cache: Vec<CacheChange>,
}

/// Announces an endpoint and reports its load until the task is aborted.
pub(crate) async fn run(
    plan: AnnouncePlan,
    announcement: impl Fn() -> EndpointAnnouncement + Send + 'static,
    report: impl Fn() -> LoadReport + Send + 'static,
    faults: Arc<FaultPlan>,
) {
    let mut announcer = Announcer {
        client: client(),
        plan,
        home: None,
        next_daemon: 0,
        cache_sequence: 0,
        last_heartbeat: None,
        heartbeat_interval: Duration::from_millis(100),
    };
    loop {
        if !faults.stop_reports.load(Ordering::SeqCst) {
            announcer.report_once(&announcement(), &report(), &faults).await;
        }
        tokio::time::sleep(announcer.heartbeat_interval).await;
    }
}

/// Sends the home a message that an endpoint is leaving.
pub(crate) async fn leave(plan: &AnnouncePlan, announcement: &EndpointAnnouncement) {
    let body = EndpointLeave {
        endpoint: announcement.endpoint.clone(),
        incarnation: announcement.incarnation,
    };
    let body = serde_json::to_string(&body).expect("the message serializes to JSON");
    // A daemon that is not the home forwards the message or names the home. Sending the message to
    // all daemons reaches the home without following redirects.
    for daemon in &plan.daemons {
        let path = "/v1/endpoints/leave";
        let _ = send(&client(), *daemon, "POST", path, Some(&plan.key), &[], body.clone()).await;
    }
}

struct Announcer {
    client: HttpClient,
    plan: AnnouncePlan,
    home: Option<SocketAddr>,
    next_daemon: usize,
    cache_sequence: u64,
    /// When the last accepted heartbeat was sent; none after a home has released the endpoint.
    last_heartbeat: Option<Instant>,
    heartbeat_interval: Duration,
}

impl Announcer {
    async fn report_once(
        &mut self,
        announcement: &EndpointAnnouncement,
        report: &LoadReport,
        faults: &FaultPlan,
    ) {
        let Some(home) = self.home else {
            self.announce(announcement).await;
            return;
        };
        let heartbeat = EndpointHeartbeat {
            endpoint: announcement.endpoint.clone(),
            incarnation: announcement.incarnation,
            used: report.used,
            prefill_backlog: report.backlog,
            streams: report.streams,
        };
        let body = serde_json::to_string(&heartbeat).expect("the message serializes to JSON");
        let sent = Instant::now();
        match self.post(home, "/v1/endpoints/heartbeat", body).await {
            Some(answer) if answer.accepted => self.last_heartbeat = Some(sent),
            answer => {
                if answer.is_some_and(|answer| answer.released) {
                    self.last_heartbeat = None;
                }
                self.home = None;
                self.announce(announcement).await;
                return;
            }
        }
        self.send_cache_events(home, announcement, report, faults).await;
    }

    async fn send_cache_events(
        &mut self,
        home: SocketAddr,
        announcement: &EndpointAnnouncement,
        report: &LoadReport,
        faults: &FaultPlan,
    ) {
        if report.cache.is_empty() {
            return;
        }
        let first_sequence = self.cache_sequence;
        self.cache_sequence += report.cache.len() as u64;
        if FaultPlan::consume(&faults.lose_cache_events) {
            return;
        }
        let events = CacheEvents {
            endpoint: announcement.endpoint.clone(),
            incarnation: announcement.incarnation,
            first_sequence,
            changes: report.cache.clone(),
        };
        tokio::time::sleep(self.plan.cache_lag).await;
        let body = serde_json::to_string(&events).expect("the message serializes to JSON");
        self.post(home, "/v1/endpoints/cache-events", body).await;
    }

    async fn announce(&mut self, announcement: &EndpointAnnouncement) {
        let mut announcement = announcement.clone();
        announcement.other_home_ms = self
            .last_heartbeat
            .map(|sent| u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX));
        let body = serde_json::to_string(&announcement).expect("the message serializes to JSON");
        let mut target = self.plan.daemons[self.next_daemon % self.plan.daemons.len()];
        self.next_daemon += 1;
        // The first daemon names the home; the second call goes to the home.
        for _ in 0..2 {
            let path = "/v1/endpoints/announce";
            let key = Some(self.plan.key.as_str());
            let sent = send(&self.client, target, "POST", path, key, &[], body.clone());
            let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_secs(1), sent).await else {
                return;
            };
            let Ok(answer) = serde_json::from_str::<AnnouncementAnswer>(&answer.body) else {
                return;
            };
            self.heartbeat_interval = Duration::from_millis(answer.heartbeat_ms.clamp(10, 10_000));
            match answer.home {
                Some(home) if answer.accepted => {
                    self.home = Some(home);
                    return;
                }
                Some(home) => target = home,
                None => return,
            }
        }
    }

    async fn post(&self, home: SocketAddr, path: &str, body: String) -> Option<HeartbeatAnswer> {
        let sent = send(&self.client, home, "POST", path, Some(&self.plan.key), &[], body);
        let answer = tokio::time::timeout(Duration::from_secs(1), sent).await.ok()?.ok()?;
        serde_json::from_str(&answer.body).ok()
    }
}

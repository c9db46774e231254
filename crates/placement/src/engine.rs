//! The state of one engine, as one home knows it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use oriolepass_limits::{IssuerRole, PermitBucket, PermitForecast};
use oriolepass_routing::EngineProfile;
use oriolepass_units::{EndpointStart, MonotonicTime, RequestRate, ServiceName};

use crate::plan::PromptKey;
use crate::speed::EngineSpeed;

/// The state of an engine according to its own announcements.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFacts {
    /// The engine.
    pub endpoint: EndpointStart,
    /// The service to which the engine belongs.
    pub service: ServiceName,
    /// Whether the engine accepts new work.
    pub takes_work: bool,
    /// Maximum number of prompts placed on the engine within a second, if limited.
    pub max_prompts_per_s: Option<u32>,
    /// The request rate that the engine takes from all instances together, if it names one.
    pub limit: Option<RequestRate>,
    /// The published behaviour of the engine.
    pub profile: Arc<EngineProfile>,
}

#[derive(Debug)]
pub(crate) struct EngineEntry {
    pub(crate) facts: EngineFacts,
    /// End of the backoff after a failure; no new work is placed before.
    pub(crate) backoff_until: MonotonicTime,
    pub(crate) failures: u32,
    /// Time of the last failure.
    pub(crate) failed_at: MonotonicTime,
    /// Time of the last silence that no reading explains.
    pub(crate) silent_at: Option<MonotonicTime>,
    /// Until when other engines are preferred, because a prompt was slow here.
    pub(crate) slow_until: MonotonicTime,
    /// The prompts whose main engine this is.
    pub(crate) mains: Vec<PromptKey>,
    /// Times of recent placements. Times that no longer count are removed with the next placement.
    recent_placements: VecDeque<MonotonicTime>,
    /// The permits of an engine that names a limit.
    pub(crate) permits: Option<PermitBucket>,
    pub(crate) speed: EngineSpeed,
}

impl EngineEntry {
    /// Creates the entry of an engine without prompts.
    pub(crate) fn new(facts: EngineFacts) -> Self {
        Self {
            facts,
            backoff_until: MonotonicTime::ZERO,
            failures: 0,
            failed_at: MonotonicTime::ZERO,
            silent_at: None,
            slow_until: MonotonicTime::ZERO,
            mains: Vec::new(),
            recent_placements: VecDeque::new(),
            permits: None,
            speed: EngineSpeed::default(),
        }
    }

    /// Sets the rate at which permits are issued from now on.
    pub(crate) fn update_permits(&mut self, now: MonotonicTime, role: IssuerRole) {
        let Some(limit) = self.facts.limit else {
            self.permits = None;
            return;
        };
        let rate = role.rate(limit);
        let bucket = self.permits.get_or_insert_with(|| PermitBucket::empty(now, rate));
        bucket.set_rate(now, rate);
    }

    /// Returns whether the engine names no limit, or has a permit for a request.
    pub(crate) fn has_permit(&self, now: MonotonicTime) -> bool {
        self.permits.is_none_or(|bucket| PermitForecast::of(now, [&bucket]).available() > 0)
    }

    /// Charges a request to the permits of an engine that names a limit.
    pub(crate) fn charge_permit(&mut self, now: MonotonicTime) {
        if let Some(bucket) = &mut self.permits {
            bucket.charge(now);
        }
    }

    /// Records a placement and removes those that no longer count towards the limit.
    pub(crate) fn record_placement(&mut self, now: MonotonicTime) {
        self.recent_placements.push_back(now);
        while self.recent_placements.front().is_some_and(|at| now.since(*at) >= ONE_SECOND) {
            self.recent_placements.pop_front();
        }
    }

    /// Returns whether fewer than `max_per_s` prompts were placed within the last second.
    pub(crate) fn is_below_limit(&self, now: MonotonicTime, max_per_s: u32) -> bool {
        let recent =
            self.recent_placements.iter().filter(|at| now.since(**at) < ONE_SECOND).count();
        recent < max_per_s as usize
    }
}

const ONE_SECOND: Duration = Duration::from_secs(1);

//! Which endpoints this instance reaches by itself, and which only through other instances.
//!
//! A connection that fails proves no fault of the instance: the endpoint may be gone or overloaded.
//! The path to an endpoint is *lost* if another instance reaches the endpoint meanwhile. If the
//! paths to several endpoints are lost and no endpoint has answered since, the instance is *cut
//! off* from all endpoints, and it does not try each of them first.
//!
//! Only answers on connections that were opened later prove that a path is back. Connections that
//! were open before a cut may live on while new ones fail. Where no connection could be made, a
//! connection that is made again is proof enough. Where connections were made and stayed silent, a
//! request that may be repeated is sent directly from time to time as a trial.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolepass_units::{EndpointStart, MonotonicTime};

/// The number of lost paths from which the instance counts as cut off. One endpoint may have lost
/// its link to this instance only.
const MIN_LOST_IF_CUT_OFF: usize = 2;

/// How long a connection without an answer counts as a reason for suspicion.
const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// The interval between checks of one path.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The time until the first trial. It doubles with each further one.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of doublings of [`MIN_TRIAL_INTERVAL`].
const MAX_TRIAL_DOUBLINGS: u32 = 3;

/// The way to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointWay {
    /// A connection from this instance.
    Direct,
    /// A tunnel through another instance.
    Tunnel,
}

/// A change of what this instance reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathChange {
    None,
    /// The path to one endpoint was lost.
    Lost,
    /// The instance was cut off from all endpoints.
    CutOff,
    /// The path to one endpoint is back.
    Regained,
    /// The instance reaches endpoints again.
    Reconnected,
}

/// How a path was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LossKind {
    /// No connection could be made.
    Unconnected,
    /// Connections were made, and stayed silent or broke.
    Unanswered,
}

#[derive(Debug, Clone, Copy)]
struct PathLoss {
    kind: LossKind,
    /// When the first connection attempt failed, or the last silence began.
    since: MonotonicTime,
}

/// The paths from this instance to endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointPaths {
    /// Endpoints that other instances reach and this one does not.
    lost: BTreeMap<EndpointStart, PathLoss>,
    /// The loss that began first and the kind that is hardest to refute, while the instance is cut off.
    cut_off: Option<PathLoss>,
    /// When each path was last checked.
    checked: BTreeMap<EndpointStart, MonotonicTime>,
    /// The time of the last trial, or of the loss that the first trial is about, and the number of
    /// trials.
    trials: (MonotonicTime, u32),
    /// Endpoints that are silent on a direct connection, for unknown reasons, each with the time at
    /// which the silence began.
    unanswered: BTreeMap<EndpointStart, MonotonicTime>,
    /// The latest time at which a direct connection was opened that was answered.
    answered_opening: MonotonicTime,
}

impl EndpointPaths {
    /// Returns the way to an endpoint.
    pub(crate) fn way(&self, endpoint: &EndpointStart) -> EndpointWay {
        if self.is_cut_off() || self.lost.contains_key(endpoint) {
            EndpointWay::Tunnel
        } else {
            EndpointWay::Direct
        }
    }

    /// Returns whether the instance reaches no endpoint by itself.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off.is_some()
    }

    /// Returns whether endpoints left direct connections unanswered, or were lost, and none has
    /// answered since.
    pub(crate) fn is_suspect(&self, now: MonotonicTime) -> bool {
        let lost = self.lost.values().map(|loss| loss.since);
        let lost = lost.filter(|since| *since > self.answered_opening);
        let unanswered = self.unanswered.values().copied();
        unanswered.chain(lost).any(|since| now.since(since) < SUSPICION_TTL)
    }

    /// Returns whether an endpoint answered on a direct connection that was opened after `since`.
    pub(crate) fn has_answer_since(&self, since: MonotonicTime) -> bool {
        self.answered_opening > since
    }

    /// Records an answer on a direct connection that was opened at `opened`.
    pub(crate) fn record_answer(
        &mut self,
        opened: MonotonicTime,
        endpoint: &EndpointStart,
    ) -> PathChange {
        self.answered_opening = self.answered_opening.max(opened);
        self.unanswered.retain(|_, since| *since > opened);
        self.refute(opened, endpoint, LossKind::Unanswered)
    }

    /// Records that a direct connection was made at `opened`, and nothing was sent on it.
    pub(crate) fn record_connected(
        &mut self,
        opened: MonotonicTime,
        endpoint: &EndpointStart,
    ) -> PathChange {
        self.refute(opened, endpoint, LossKind::Unconnected)
    }

    /// Ends the losses that are of at most the given kind and began before `opened`.
    fn refute(
        &mut self,
        opened: MonotonicTime,
        endpoint: &EndpointStart,
        kind: LossKind,
    ) -> PathChange {
        let is_refuted = |loss: &PathLoss| loss.kind <= kind && loss.since <= opened;
        if self.cut_off.as_ref().is_some_and(is_refuted) {
            self.cut_off = None;
            self.lost.clear();
            return PathChange::Reconnected;
        }
        if self.lost.get(endpoint).is_some_and(is_refuted) {
            self.lost.remove(endpoint);
            return PathChange::Regained;
        }
        PathChange::None
    }

    /// Records that an endpoint has been silent on a direct connection since `since`, or that the
    /// connection broke without an answer.
    pub(crate) fn record_unanswered(&mut self, since: MonotonicTime, endpoint: &EndpointStart) {
        if since <= self.answered_opening {
            return;
        }
        if let Some(loss) = self.lost.get_mut(endpoint) {
            // A trial failed.
            loss.since = loss.since.max(since);
        } else if !self.is_cut_off() {
            self.unanswered.insert(endpoint.clone(), since);
        }
    }

    /// Records that an endpoint was reached through another instance, while a direct connection
    /// attempt that began at `began` failed.
    pub(crate) fn record_lost(
        &mut self,
        began: MonotonicTime,
        endpoint: &EndpointStart,
    ) -> PathChange {
        if self.lost.contains_key(endpoint) {
            return PathChange::None;
        }
        let loss = PathLoss { kind: LossKind::Unconnected, since: began };
        self.lost.insert(endpoint.clone(), loss);
        self.judge_cut()
    }

    /// Records an answer through another instance. The endpoints that left direct connections
    /// unanswered meanwhile are not reached by this one.
    pub(crate) fn record_tunnel_answer(&mut self, now: MonotonicTime) -> PathChange {
        let answered_opening = self.answered_opening;
        let is_recent = |(_, since): &(EndpointStart, MonotonicTime)| {
            now.since(*since) < SUSPICION_TTL && *since > answered_opening
        };
        let unanswered = std::mem::take(&mut self.unanswered).into_iter().filter(is_recent);
        let losses: Vec<(EndpointStart, PathLoss)> = unanswered
            .map(|(endpoint, since)| (endpoint, PathLoss { kind: LossKind::Unanswered, since }))
            .collect();
        if losses.is_empty() {
            return PathChange::None;
        }
        self.trials = (now, 0);
        self.lost.extend(losses);
        self.judge_cut()
    }

    fn judge_cut(&mut self) -> PathChange {
        let answered_opening = self.answered_opening;
        let since_answer = || self.lost.values().filter(|loss| loss.since > answered_opening);
        if self.is_cut_off() {
            return PathChange::None;
        }
        if since_answer().count() < MIN_LOST_IF_CUT_OFF {
            return PathChange::Lost;
        }
        let (since, kind) = (
            since_answer().map(|loss| loss.since).min(),
            since_answer().map(|loss| loss.kind).max(),
        );
        self.cut_off = since.zip(kind).map(|(since, kind)| PathLoss { kind, since });
        PathChange::CutOff
    }

    /// Returns whether a request that may be repeated is to be sent directly, although the paths are
    /// lost, to see whether it is answered. Counts as a trial if so.
    pub(crate) fn begin_trial(&mut self, now: MonotonicTime) -> bool {
        let losses = self.lost.values().chain(&self.cut_off);
        let needs_answer = losses.map(|loss| loss.kind).max() == Some(LossKind::Unanswered);
        let (last, count) = self.trials;
        let interval = MIN_TRIAL_INTERVAL * 2_u32.pow(count.min(MAX_TRIAL_DOUBLINGS));
        let is_due = needs_answer && now.since(last) >= interval;
        if is_due {
            self.trials = (now, count + 1);
        }
        is_due
    }

    /// Returns the path to check now by a connection, if one is due, and counts it as checked. While the
    /// instance is cut off, the paths to all `known` endpoints are checked in turn: those that were lost
    /// first may have ended meanwhile.
    pub(crate) fn next_check<'a>(
        &mut self,
        now: MonotonicTime,
        known: impl Iterator<Item = &'a EndpointStart>,
    ) -> Option<EndpointStart> {
        let last_check = |endpoint: &EndpointStart| self.checked.get(endpoint).copied();
        let is_unconnected = |loss: &PathLoss| loss.kind == LossKind::Unconnected;
        let checks_all = self.cut_off.as_ref().is_some_and(is_unconnected);
        let others = known.filter(|_| checks_all).cloned();
        let lost = self.lost.iter().filter(|(_, loss)| is_unconnected(loss));
        let all = lost.map(|(endpoint, _)| endpoint.clone()).chain(others);
        let next = all.min_by_key(last_check)?;
        if last_check(&next).is_some_and(|at| now.since(at) < CHECK_INTERVAL) {
            return None;
        }
        self.checked.insert(next.clone(), now);
        Some(next)
    }

    /// Removes the endpoints for which `is_known` returns false. Returns the change if none of the
    /// endpoints is left from which the instance was cut off.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&EndpointStart) -> bool) -> PathChange {
        self.lost.retain(|endpoint, _| is_known(endpoint));
        self.checked.retain(|endpoint, _| is_known(endpoint));
        self.unanswered.retain(|endpoint, _| is_known(endpoint));
        if self.lost.is_empty() && self.cut_off.take().is_some() {
            return PathChange::Reconnected;
        }
        PathChange::None
    }
}

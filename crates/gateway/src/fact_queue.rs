//! Collects facts for the other daemons, so that the ones that arise together leave together.
//!
//! Many endpoints that end at once make a fact of each of their requests, and a hub passes on the
//! facts of all its leaves. With a message for each fact, every daemon would spend most of its time
//! on messages. Facts are sent at once when none was sent shortly before.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use oriolepass_quarantine::{PartDigest, RequestDigest};
use oriolepass_units::{EndpointStart, InstanceId, MonotonicTime};
use tokio::time::sleep;

use crate::balancer::FaultKind;
use crate::broken_runs::BreakNotice;
use crate::gateway::Gateway;
use crate::hubs::Tier;
use crate::part_quarantine::part_messages;
use crate::peers::{PeerMessage, ProtocolLevel};
use crate::quarantine::case_messages;

/// The pause after facts were sent, during which further ones are collected. A fact pauses at three
/// daemons at most: a leaf, its hub and the hub of another leaf.
const COLLECT_TIME: Duration = Duration::from_millis(10);

/// The maximum number of faults or of broken connections in one message.
const MAX_FACTS_PER_MESSAGE: usize = 512;

/// Where a fact comes from, which determines who is to get it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FactSource {
    /// This daemon, or several others.
    Own,
    /// Another daemon, which knows the fact.
    Daemon(InstanceId),
    /// Another hub, which sends the fact to the other hubs itself.
    Hub,
}

impl FactSource {
    /// Returns whether the fact is to be sent to a daemon.
    fn is_for(&self, to: &InstanceId, is_hub: bool) -> bool {
        match self {
            Self::Own => true,
            Self::Daemon(from) => from != to,
            Self::Hub => !is_hub,
        }
    }
}

/// A daemon that gets facts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FactRecipient {
    pub(crate) instance: InstanceId,
    pub(crate) is_hub: bool,
}

/// The facts that have not been sent yet.
#[derive(Debug, Default)]
pub(crate) struct FactQueue {
    faults: Vec<(FactSource, (EndpointStart, FaultKind))>,
    breaks: Vec<(FactSource, (RequestDigest, EndpointStart, MonotonicTime))>,
    /// The requests and the parts whose cases have new facts.
    cases: BTreeMap<RequestDigest, FactSource>,
    parts: BTreeMap<PartDigest, FactSource>,
}

impl FactQueue {
    /// Adds a fault of an endpoint.
    pub(crate) fn add_fault(
        &mut self,
        source: FactSource,
        endpoint: EndpointStart,
        fault: FaultKind,
    ) {
        self.faults.push((source, (endpoint, fault)));
    }

    /// Adds a broken connection.
    pub(crate) fn add_break(
        &mut self,
        source: FactSource,
        digest: RequestDigest,
        endpoint: EndpointStart,
        broke_at: MonotonicTime,
    ) {
        self.breaks.push((source, (digest, endpoint, broke_at)));
    }

    /// Adds a request whose case has new facts.
    pub(crate) fn add_case(&mut self, source: &FactSource, digest: RequestDigest) {
        add_once(&mut self.cases, source, digest);
    }

    /// Adds a part whose case has new facts.
    pub(crate) fn add_part(&mut self, source: &FactSource, digest: PartDigest) {
        add_once(&mut self.parts, source, digest);
    }
}

/// Adds a case that leaves with all its facts, also if they came from several daemons.
fn add_once<D: Ord>(cases: &mut BTreeMap<D, FactSource>, source: &FactSource, digest: D) {
    let known = cases.entry(digest).or_insert_with(|| source.clone());
    if known != source {
        *known = FactSource::Own;
    }
}

/// Returns the facts with the daemons that get them. Daemons that get the same facts share them, so
/// that their message is encoded once.
pub(crate) fn by_recipients<F: Clone>(
    facts: &[(FactSource, F)],
    to: &[FactRecipient],
) -> Vec<(Vec<F>, Vec<InstanceId>)> {
    let mut groups: Vec<(Vec<bool>, Vec<InstanceId>)> = Vec::new();
    for FactRecipient { instance, is_hub } in to {
        let chosen: Vec<bool> =
            facts.iter().map(|(source, _)| source.is_for(instance, *is_hub)).collect();
        match groups.iter_mut().find(|(of_group, _)| *of_group == chosen) {
            Some((_, instances)) => instances.push(instance.clone()),
            None => groups.push((chosen, vec![instance.clone()])),
        }
    }
    let chosen_facts = |chosen: &[bool]| -> Vec<F> {
        let all = facts.iter().zip(chosen);
        all.filter(|(_, is_chosen)| **is_chosen).map(|((_, fact), _)| fact.clone()).collect()
    };
    groups
        .into_iter()
        .map(|(chosen, instances)| (chosen_facts(&chosen), instances))
        .filter(|(facts, _)| !facts.is_empty())
        .collect()
}

impl Gateway {
    /// Adds facts for other daemons, which are sent soon.
    pub(crate) fn queue_facts(&self, add: impl FnOnce(&mut FactQueue)) {
        add(&mut self.fact_queue.borrow_mut());
        self.facts_queued.notify_one();
    }

    /// Returns the source of facts from another daemon, if this daemon forwards them.
    pub(crate) fn forwarded_source(&self, from: &InstanceId) -> Option<FactSource> {
        match self.tier() {
            // The leader forwards facts to daemons that the sender cannot reach.
            Tier::Mesh if self.is_leader() => Some(FactSource::Daemon(from.clone())),
            Tier::Mesh | Tier::Leaf => None,
            Tier::Hub if self.roster.borrow().is_hub(from) => Some(FactSource::Hub),
            Tier::Hub => Some(FactSource::Daemon(from.clone())),
        }
    }

    /// Sends queued facts together.
    pub(crate) async fn send_queued_facts(self: Rc<Self>) {
        loop {
            self.facts_queued.notified().await;
            self.flush_facts();
            sleep(COLLECT_TIME).await;
        }
    }

    /// Sends the queued facts now.
    pub(crate) fn flush_facts(&self) {
        let FactQueue { faults, breaks, cases, parts } = self.fact_queue.take();
        let to = self.fact_recipients();
        // A connection whose endpoint is known to have ended is not taken for a broken one again,
        // so the cases follow.
        let now = self.now();
        let notice = |(source, (digest, endpoint, broke_at))| {
            (source, BreakNotice { digest, endpoint, age: now.since(broke_at) })
        };
        let notices: Vec<(FactSource, BreakNotice)> = breaks.into_iter().map(notice).collect();
        for (notices, instances) in by_recipients(&notices, &to) {
            for notices in notices.chunks(MAX_FACTS_PER_MESSAGE) {
                self.mesh.send_all(&instances, &PeerMessage::Breaks(notices.to_vec()));
            }
        }
        let (cases, parts) = self.queued_cases(cases, parts);
        for (cases, instances) in by_recipients(&cases, &to) {
            for message in case_messages(&cases) {
                self.mesh.send_all(&instances, &message);
            }
        }
        let understands_parts = |to: &FactRecipient| {
            self.roster.borrow().understands(&to.instance, ProtocolLevel::PARTS)
        };
        let to_parts: Vec<FactRecipient> =
            to.iter().filter(|to| understands_parts(to)).cloned().collect();
        for (parts, instances) in by_recipients(&parts, &to_parts) {
            for message in part_messages(&parts) {
                self.mesh.send_all(&instances, &message);
            }
        }
        for (faults, instances) in by_recipients(&faults, &to) {
            for faults in faults.chunks(MAX_FACTS_PER_MESSAGE) {
                self.mesh.send_all(&instances, &PeerMessage::Faults(faults.to_vec()));
            }
        }
    }

    /// Returns the daemons that get this daemon's facts.
    fn fact_recipients(&self) -> Vec<FactRecipient> {
        let instances = self.broadcast_targets();
        let roster = self.roster.borrow();
        let recipient = |instance: InstanceId| {
            let is_hub = roster.is_hub(&instance);
            FactRecipient { instance, is_hub }
        };
        instances.into_iter().map(recipient).collect()
    }
}

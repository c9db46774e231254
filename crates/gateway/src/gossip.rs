//! Who tells whom what: the rules that keep control traffic in proportion to the instances.
//!
//! Every daemon has a link to every other one, so anything that each says to each grows with the
//! square of their number. What most of them would only repeat is said by a few of them: whom one
//! knows, which endpoints there are, and the newest routing document. Each rule has a way to heal
//! what the few failed to say, and needs no agreement on who they are. In a minute with load, 200
//! daemons sent each other 452 MB without these rules and 216 MB with those for daemons, new links and
//! documents (counted by kind of message).

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use oriolepass_routing::RoutingRevision;
use oriolepass_units::{DataCentreId, InstanceId, MonotonicTime};

/// How many daemons tell a newcomer what they know; all of them would send the same. Any one of
/// four is enough, and all four are lost together only when much else is.
const SPONSORS: usize = 4;

/// Up to this many daemons the leader sends a document to each itself: relays would save little
/// and cost a hop.
const RELAYED_FROM: usize = 24;

/// How many daemons one relay passes a document on to. With 200 daemons the leader sends some 15
/// times instead of 200, and a relay on a link of 20 Mbit/s needs 0.2 s for a document of 40 kB.
const RELAY_FANOUT: usize = 14;

/// How long relays have to bring a document before the leader sends it itself.
const RELAY_PATIENCE: Duration = Duration::from_millis(300);

/// Between two copies of one document to the same daemon: it is on its way for some time where
/// links are narrow, and the question that shows that it lacks comes again meanwhile.
const COPY_AGAIN: Duration = Duration::from_millis(1_000);

/// Documents whose spreading is remembered: several seconds of changes in quick succession.
const REMEMBERED_SPREADS: usize = 128;

/// Returns whether to tell a daemon whom one knows, where `draw` is a random number from 0 to 1.
///
/// One that knows less than half of what is known here is new and is told at once. One that lacks
/// a few is told by a few of those it greets, and again after its next greeting.
pub(crate) fn should_send_member_list(own_known: usize, their_known: usize, draw: f64) -> bool {
    if their_known >= own_known {
        return false;
    }
    their_known * 2 < own_known || draw * (own_known as f64) < SPONSORS as f64
}

/// Returns whether to tell a daemon of the hubs, of which `hubs` are known here.
///
/// A daemon without a disk counts all daemons that it knows, perhaps no hub among them, so it is always told.
pub(crate) fn should_send_hub_list(hubs: usize, their_known: usize, has_disk: bool) -> bool {
    hubs > 0 && (!has_disk || their_known < hubs)
}

/// Returns whether `own` is one of the few that tell `newcomer` all about the endpoints.
///
/// Each daemon ranks all of them by a hash with the newcomer's name, so the sponsors are others
/// for each newcomer. Where views differ there are a few more or fewer of them.
pub(crate) fn is_sponsor<'a>(
    own: &InstanceId,
    newcomer: &InstanceId,
    others: impl Iterator<Item = &'a InstanceId>,
) -> bool {
    let own_rank = rank(own, newcomer);
    let ahead = others
        .filter(|other| *other != newcomer && *other != own)
        .filter(|other| rank(other, newcomer) < own_rank);
    ahead.take(SPONSORS).count() < SPONSORS
}

/// Returns a number that orders instances differently for each `key`, the same on every instance.
pub(crate) fn rank(instance: &InstanceId, key: &impl Hash) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    key.hash(&mut hasher);
    instance.as_str().hash(&mut hasher);
    hasher.finish()
}

/// A daemon that gets a document from its leader, and those that it passes the document on to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RelayGroup {
    pub(crate) relay: InstanceId,
    pub(crate) pass_on: Vec<InstanceId>,
}

/// Divides daemons into groups with a relay each, within data centres; which one is the relay
/// differs from one document to the next.
pub(crate) fn relay_groups(
    members: Vec<(InstanceId, DataCentreId)>,
    revision: RoutingRevision,
) -> Vec<RelayGroup> {
    if members.len() < RELAYED_FROM {
        let direct = |(relay, _)| RelayGroup { relay, pass_on: Vec::new() };
        return members.into_iter().map(direct).collect();
    }
    let mut by_centre: BTreeMap<DataCentreId, Vec<InstanceId>> = BTreeMap::new();
    for (instance, data_centre) in members {
        by_centre.entry(data_centre).or_default().push(instance);
    }
    let mut groups = Vec::new();
    for mut instances in by_centre.into_values() {
        instances.sort_by_key(|instance| rank(instance, &revision));
        for chunk in instances.chunks(RELAY_FANOUT + 1) {
            groups.push(RelayGroup { relay: chunk[0].clone(), pass_on: chunk[1..].to_vec() });
        }
    }
    groups
}

/// Who is told directly that endpoints are alive, and who passes that on.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct HeartbeatRoute {
    pub(crate) direct: Vec<InstanceId>,
    /// One daemon of each other data centre, which tells the others there.
    pub(crate) relays: Vec<InstanceId>,
}

/// Returns the way of heartbeats from a daemon in `own_centre` to `members`. The relays differ from one
/// `round` to the next, so that one that has just been lost costs a heartbeat and not a data centre's
/// view.
pub(crate) fn heartbeat_route(
    members: Vec<(InstanceId, DataCentreId)>,
    own_centre: &DataCentreId,
    round: u64,
) -> HeartbeatRoute {
    let mut route = HeartbeatRoute::default();
    if members.len() < RELAYED_FROM {
        route.direct = members.into_iter().map(|(instance, _)| instance).collect();
        return route;
    }
    let mut by_centre: BTreeMap<DataCentreId, Vec<InstanceId>> = BTreeMap::new();
    for (instance, data_centre) in members {
        by_centre.entry(data_centre).or_default().push(instance);
    }
    route.direct = by_centre.remove(own_centre).unwrap_or_default();
    let relay = |instances: Vec<InstanceId>| instances.into_iter().min_by_key(|i| rank(i, &round));
    route.relays = by_centre.into_values().filter_map(relay).collect();
    route
}

/// What the leader has sent of documents, so that it sends nothing that is on its way already.
#[derive(Debug, Default)]
pub(crate) struct DocumentDissemination {
    spread: VecDeque<(RoutingRevision, MonotonicTime)>,
    copies: BTreeMap<InstanceId, MonotonicTime>,
}

impl DocumentDissemination {
    /// Notes that a document was handed to the relays.
    pub(crate) fn begin(&mut self, now: MonotonicTime, revision: RoutingRevision) {
        self.spread.push_back((revision, now));
        if self.spread.len() > REMEMBERED_SPREADS {
            self.spread.pop_front();
        }
    }

    /// Returns whether a daemon that holds `held` needs a copy of the newest document from the
    /// leader itself, and notes that it gets one if so.
    ///
    /// It does once the relays had their time for the first document that it lacks, however many
    /// have followed.
    pub(crate) fn needs_copy(
        &mut self,
        now: MonotonicTime,
        to: &InstanceId,
        held: Option<RoutingRevision>,
    ) -> bool {
        let first_lacking = self.spread.iter().find(|(revision, _)| Some(*revision) > held);
        if first_lacking.is_some_and(|(_, at)| now.since(*at) < RELAY_PATIENCE) {
            return false;
        }
        if self.copies.get(to).is_some_and(|at| now.since(*at) < COPY_AGAIN) {
            return false;
        }
        self.copies.retain(|_, at| now.since(*at) < COPY_AGAIN);
        self.copies.insert(to.clone(), now);
        true
    }
}

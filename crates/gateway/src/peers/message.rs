//! What daemons say to each other.

use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_consensus::Envelope;
use oriolepass_placement::{EngineCell, PromptAsk, PromptKey, PromptPlan, SpareLack};
use oriolepass_quarantine::CaseUpdate;
use oriolepass_routing::{
    DrainCommand, DrainOutcome, DrainRegister, RegisterOutcome, RoutingRevision, RoutingText,
};
use oriolepass_units::{DataCentreId, EndpointStart, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::balancer::FaultKind;
use crate::endpoints::EndpointNotice;
use crate::roster::{DaemonNote, LeafNote};

/// The leader's answer to a question whether a routing document is current.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FreshVerdict {
    /// The revision of the newest accepted document and the drained data centres, at the time of
    /// the answer.
    Newest(Option<RoutingRevision>, DrainRegister),
    /// The one asked is not sure to lead.
    NotLeader,
}

/// The leader's answer to a proposed document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DocumentVerdict {
    /// The log holds it.
    Done(RegisterOutcome),
    /// The one asked does not lead; it may know who does.
    NotLeader(Option<InstanceId>),
    /// The one asked led when it proposed it, and does not know what became of it.
    Lost,
}

/// The leader's answer to a proposal to drain or restore a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DrainVerdict {
    /// The log holds it.
    Done(DrainOutcome),
    /// The one asked does not lead, or does not know the outcome.
    Unknown,
}

/// A home's answer to a prompt.
pub(crate) type PlaceVerdict = Result<PromptPlan, SpareLack>;

/// What became of a placed prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ProgressNote {
    /// Its first event has come.
    Begun(PromptKey),
    /// It has ended.
    Ended(PromptKey),
    /// An engine failed it.
    Failed(EndpointStart),
}

/// A prompt that another home placed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlacedPrompt {
    pub(crate) ask: PromptAsk,
    pub(crate) plan: PromptPlan,
    pub(crate) has_begun: bool,
}

/// The state that a leaf reports, from which its primary hub finds what is missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeafState {
    /// The revision of the document in force.
    pub(crate) document: Option<RoutingRevision>,
    /// The hash of its endpoint view.
    pub(crate) endpoints_hash: u64,
    /// The hash of the member lists that it received last.
    pub(crate) lists_hash: u64,
}

/// The hubs, deputies and caller addresses that a hub sends to a leaf.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct MemberLists {
    /// The hubs that are alive.
    pub(crate) hubs: Vec<(InstanceId, DataCentreId)>,
    /// Who places prompts while the home is away.
    pub(crate) deputies: Vec<InstanceId>,
    /// Addresses for callers, by data centre.
    pub(crate) addresses: Vec<(DataCentreId, Vec<SocketAddr>)>,
}

/// A hub's answer to a leaf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HubStatus {
    /// The newest revision and the age of its proof; absent without a proof.
    pub(crate) proof: Option<(Option<RoutingRevision>, Duration)>,
    pub(crate) drains: DrainRegister,
    /// Whether the home of the engines did not answer the hub in time.
    pub(crate) is_home_away: bool,
    /// The number of live daemons.
    pub(crate) daemons: u32,
    /// Endpoints with missed heartbeats, each with the duration of its silence.
    pub(crate) silent: Vec<(EndpointStart, Duration)>,
    /// Absent if the leaf's lists are current.
    pub(crate) lists: Option<MemberLists>,
}

/// A message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// What the sender says of itself.
    Greeting(DaemonNote),
    /// The sender is alive, and what it said last still holds.
    Present {
        /// The start of the sender's process.
        boot: u64,
        /// Of what it said last.
        edition: u32,
    },
    /// What did the receiver say last? The sender has missed it.
    GreetingAsk,
    /// Whom the sender knows.
    Known(Vec<InstanceId>),
    /// The sender's process ends.
    Farewell,
    /// For the replica of the log.
    Consensus(Envelope),
    /// Is the document that the sender holds the newest one?
    FreshAsk { token: u64, held: Option<RoutingRevision> },
    /// The answer.
    FreshAnswer { token: u64, verdict: FreshVerdict },
    /// A document that the log holds, and to whom the receiver passes it on.
    Document { text: RoutingText, pass_on: Vec<InstanceId> },
    /// The sender has this document in force.
    InForce(RoutingRevision),
    /// Take this document into the log.
    Propose { token: u64, text: RoutingText },
    /// What became of it.
    ProposeAnswer { token: u64, verdict: DocumentVerdict },
    /// What the sender has heard of endpoints.
    Endpoints(Vec<EndpointNotice>),
    /// The same, to be passed on to the daemons of the receiver's data centre.
    EndpointsRelayed(Vec<EndpointNotice>),
    /// Endpoints that have left for good.
    EndpointsLeft(Vec<EndpointStart>),
    /// Endpoints that failed a request of the sender's.
    Faults(Vec<(EndpointStart, FaultKind)>),
    /// Place this prompt: on all engines as their home, or on a part of them as a deputy.
    PlaceAsk { token: u64, ask: PromptAsk, cell: Option<EngineCell> },
    /// Where it goes.
    PlaceAnswer { token: u64, verdict: PlaceVerdict },
    /// Is an engine expected to be silent for so long?
    SilenceAsk { token: u64, endpoint: EndpointStart, silence: Duration },
    /// Whether it is.
    SilenceAnswer { token: u64, is_expected: bool },
    /// What became of prompts that the receiver placed.
    Progress(Vec<ProgressNote>),
    /// What the sender's callers still have under way, for a new home.
    Placed(Vec<PlacedPrompt>),
    /// Requests under which endpoints ended.
    Cases(Vec<CaseUpdate>),
    /// Does the receiver know the same of such requests? If not, it says what it knows.
    CaseHash { hash: u64, is_answer: bool },
    /// Asks the leader to append this command to the log.
    ProposeDrain { token: u64, command: DrainCommand },
    /// The outcome of `ProposeDrain`.
    ProposeDrainAnswer { token: u64, verdict: DrainVerdict },
    /// The data centres that are drained.
    Drains(DrainRegister),
    /// A leaf's question to its primary hub.
    LeafAsk { token: u64, state: LeafState },
    /// The answer to `LeafAsk`.
    LeafAnswer { token: u64, status: HubStatus },
    /// All endpoints known to the sending hub and those that left recently.
    EndpointView { notices: Vec<EndpointNotice>, left: Vec<EndpointStart> },
    /// The leaves attached to the sending hub: all of them, or the changes.
    AttachedLeaves { is_all: bool, leaves: Vec<LeafNote>, detached: Vec<InstanceId> },
    /// A leaf's request to its primary hub to grant one repeated send to a service.
    RepeatAsk { token: u64, service: ServiceName },
    /// The answer to `RepeatAsk`.
    RepeatAnswer { token: u64, is_granted: bool },
}

impl PeerMessage {
    /// Returns the label of this kind of message in metrics and logs.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Greeting(..) => "greeting",
            Self::Present { .. } => "present",
            Self::GreetingAsk => "greeting-ask",
            Self::Known(..) => "known",
            Self::Farewell => "farewell",
            Self::Consensus(..) => "consensus",
            Self::FreshAsk { .. } => "fresh-ask",
            Self::FreshAnswer { .. } => "fresh-answer",
            Self::Document { .. } => "document",
            Self::InForce(..) => "in-force",
            Self::Propose { .. } => "propose",
            Self::ProposeAnswer { .. } => "propose-answer",
            Self::Endpoints(..) => "endpoints",
            Self::EndpointsRelayed(..) => "endpoints-relayed",
            Self::EndpointsLeft(..) => "endpoints-left",
            Self::Faults(..) => "faults",
            Self::PlaceAsk { .. } => "place-ask",
            Self::PlaceAnswer { .. } => "place-answer",
            Self::SilenceAsk { .. } => "silence-ask",
            Self::SilenceAnswer { .. } => "silence-answer",
            Self::Progress(..) => "progress",
            Self::Placed(..) => "placed",
            Self::Cases(..) => "cases",
            Self::CaseHash { .. } => "case-hash",
            Self::ProposeDrain { .. } => "propose-drain",
            Self::ProposeDrainAnswer { .. } => "propose-drain-answer",
            Self::Drains(..) => "drains",
            Self::LeafAsk { .. } => "leaf-ask",
            Self::LeafAnswer { .. } => "leaf-answer",
            Self::RepeatAsk { .. } => "repeat-ask",
            Self::RepeatAnswer { .. } => "repeat-answer",
            Self::EndpointView { .. } => "endpoint-view",
            Self::AttachedLeaves { .. } => "attached-leaves",
        }
    }
}

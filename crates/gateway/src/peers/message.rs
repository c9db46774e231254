//! Defines the messages between daemons.
//!
//! Messages are encoded with postcard, so the order of fields and variants is part of the format. New
//! ones are added at the end; `trailing` describes how daemons of the version before read them.

use std::net::SocketAddr;
use std::time::Duration;

use oriolepass_consensus::Envelope;
use oriolepass_limits::{LimitNotice, PermitAsk, PermitVerdict, PermitWaiter, RequestRank};
use oriolepass_placement::{
    Appointment, AppointmentId, EngineCell, PaceNote, PlacementRefusal, PromptAsk, PromptKey,
    PromptPlan, ReturnTurn, SecondSend,
};
use oriolepass_quarantine::{CaseUpdate, PartDigest};
use oriolepass_routing::{
    DrainCommand, DrainOutcome, DrainRegister, RegisterOutcome, RoutingRevision, RoutingText,
};
use oriolepass_units::{DataCentreId, EndpointStart, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::balancer::FaultKind;
use crate::broken_runs::BreakNotice;
use crate::endpoints::EndpointNotice;
use crate::peers::TrailingField;
use crate::roster::{DaemonNote, LeafNote};

/// The leader's answer to a query whether a routing document is current.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FreshVerdict {
    /// The revision of the newest accepted document and the drained data centres, at the time of
    /// the answer.
    Newest(Option<RoutingRevision>, DrainRegister),
    /// The queried daemon does not hold the leader's lease.
    NotLeader,
}

/// The leader's answer to a proposed document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DocumentVerdict {
    /// The document is committed to the log, with this outcome.
    Done(RegisterOutcome),
    /// The queried daemon does not lead; it returns the leader if it knows it.
    NotLeader(Option<InstanceId>),
    /// The queried daemon lost leadership after it proposed the document, so the outcome is
    /// unknown.
    Lost,
}

/// The leader's answer to a proposal to drain or restore a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DrainVerdict {
    /// The command is committed to the log, with this outcome.
    Done(DrainOutcome),
    /// The queried daemon does not lead, or does not know the outcome.
    Unknown,
}

/// The answer to a request to place a prompt, from the home of the engines (the daemon that places
/// prompts on them) or from a deputy (a daemon that places them while the home is away).
pub(crate) type PlaceVerdict = Result<PromptPlan, PlacementRefusal>;

/// A change in the progress of a placed prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ProgressNote {
    /// The first event of its answer has arrived.
    Begun(PromptKey),
    /// The prompt has ended.
    Ended(PromptKey),
    /// This engine failed the prompt.
    Failed(EndpointStart),
}

/// A prompt in progress, reported to a home that did not place it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlacedPrompt {
    pub(crate) ask: PromptAsk,
    pub(crate) plan: PromptPlan,
    pub(crate) has_begun: bool,
}

/// The state that a leaf reports, from which its primary hub determines the missing updates.
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
    /// The daemons that place prompts while the home is away.
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

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// The sender's note about itself.
    Greeting(DaemonNote),
    /// The sender is alive, and its last note is still valid.
    Present {
        /// The start of the sender's process.
        boot: u64,
        /// The edition of the sender's last note.
        edition: u32,
    },
    /// Requests a full greeting, because the sender missed the receiver's last note.
    GreetingAsk,
    /// Daemons that the sender knows.
    Known(Vec<InstanceId>),
    /// The sender's process is about to end.
    Farewell,
    /// A message for the receiver's replica of the log.
    Consensus(Envelope),
    /// Queries whether the document that the sender holds is the newest.
    FreshAsk { token: u64, held: Option<RoutingRevision> },
    /// The answer to `FreshAsk`.
    FreshAnswer { token: u64, verdict: FreshVerdict },
    /// A committed document, and the daemons to which the receiver forwards it.
    Document { text: RoutingText, pass_on: Vec<InstanceId> },
    /// Reports the revision of the document that the sender has in force.
    InForce(RoutingRevision),
    /// Asks the leader to append this document to the log.
    Propose { token: u64, text: RoutingText },
    /// The answer to `Propose`.
    ProposeAnswer { token: u64, verdict: DocumentVerdict },
    /// State changes of endpoints that the sender has observed.
    Endpoints(Vec<EndpointNotice>),
    /// As `Endpoints`, but the receiver forwards them to the daemons of its data centre.
    EndpointsRelayed(Vec<EndpointNotice>),
    /// Endpoints that have left for good.
    EndpointsLeft(Vec<EndpointStart>),
    /// Endpoints that failed a request from the sender.
    Faults(Vec<(EndpointStart, FaultKind)>),
    /// Asks the receiver to place a prompt: on all engines as their home, or on one cell of the
    /// engines as a deputy.
    PlaceAsk {
        token: u64,
        ask: PromptAsk,
        cell: Option<EngineCell>,
        waiter: TrailingField<Option<PermitWaiter>>,
        /// Engines that asked the sender for rest, on which the prompt must not be placed.
        resting: TrailingField<Vec<EndpointStart>>,
        /// Identifies the prompt across its caller's attempts, if appointments are kept.
        appointment: TrailingField<Option<AppointmentId>>,
        /// The first send of the prompt, if this is a second one beside it.
        second: TrailingField<Option<Box<SecondSend>>>,
    },
    /// The answer to `PlaceAsk`.
    PlaceAnswer {
        token: u64,
        verdict: PlaceVerdict,
        /// What a refusal says about the prompt's return.
        turn: TrailingField<ReturnTurn>,
    },
    /// Queries whether an engine is expected to be silent for this long.
    SilenceAsk { token: u64, endpoint: EndpointStart, silence: Duration },
    /// The answer to `SilenceAsk`.
    SilenceAnswer { token: u64, is_expected: bool },
    /// Progress of prompts that the receiver placed, and the pace of answers that are written more
    /// slowly than predicted.
    Progress(Vec<ProgressNote>, TrailingField<Vec<PaceNote>>),
    /// Prompts in progress of the sender's callers that the receiving home did not place, and the
    /// ranks of these prompts.
    Placed(Vec<PlacedPrompt>, TrailingField<Vec<RequestRank>>),
    /// Quarantine cases: requests during which endpoints ended.
    Cases(Vec<CaseUpdate>),
    /// The hash of the sender's quarantine cases. A receiver with another hash sends its own cases.
    CaseHash { hash: u64, is_answer: bool },
    /// Connections that broke under requests of the sender's callers.
    Breaks(Vec<BreakNotice>),
    /// Asks the leader to append this command to the log.
    ProposeDrain { token: u64, command: DrainCommand },
    /// The outcome of `ProposeDrain`.
    ProposeDrainAnswer { token: u64, verdict: DrainVerdict },
    /// The data centres that are drained.
    Drains(DrainRegister),
    /// A leaf's status query to its primary hub.
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
    /// Limits that endpoints named or lifted.
    Limits(Vec<LimitNotice>),
    /// Asks the home, or a deputy, for a permit to send a request to an endpoint with a limit. Holds
    /// also the limits of these endpoints, as the sender knows them.
    PermitAsk { token: u64, ask: PermitAsk, limits: Vec<LimitNotice> },
    /// The answer to `PermitAsk`.
    PermitAnswer { token: u64, verdict: PermitVerdict },
    /// Reports to the home an endpoint that a deputy permitted a request to.
    PermitUsed(EndpointStart),
    /// Quarantine cases of parts of prompts.
    PartCases(Vec<CaseUpdate<PartDigest>>),
    /// The hash of the sender's quarantine cases of parts. A receiver with another hash sends its
    /// own cases.
    PartCaseHash { hash: u64, is_answer: bool },
    /// Appointments that another home gave to prompts of the sender's callers.
    Appointments(Vec<Appointment>),
    /// Asks the home to grant one second send of a slow request to a service without engines, and
    /// deposits what the sender's own requests allow of one.
    SecondSendAsk { token: u64, service: ServiceName, deposit: f64 },
    /// The answer to `SecondSendAsk`.
    SecondSendAnswer { token: u64, is_granted: bool },
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
            Self::PartCases(..) => "part-cases",
            Self::PartCaseHash { .. } => "part-case-hash",
            Self::Appointments(..) => "appointments",
            Self::Breaks(..) => "breaks",
            Self::ProposeDrain { .. } => "propose-drain",
            Self::ProposeDrainAnswer { .. } => "propose-drain-answer",
            Self::Drains(..) => "drains",
            Self::LeafAsk { .. } => "leaf-ask",
            Self::LeafAnswer { .. } => "leaf-answer",
            Self::RepeatAsk { .. } => "repeat-ask",
            Self::RepeatAnswer { .. } => "repeat-answer",
            Self::Limits(..) => "limits",
            Self::PermitAsk { .. } => "permit-ask",
            Self::PermitAnswer { .. } => "permit-answer",
            Self::PermitUsed(..) => "permit-used",
            Self::EndpointView { .. } => "endpoint-view",
            Self::AttachedLeaves { .. } => "attached-leaves",
            Self::SecondSendAsk { .. } => "second-send-ask",
            Self::SecondSendAnswer { .. } => "second-send-answer",
        }
    }
}

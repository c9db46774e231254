//! Judges whether an answer that ended with its connection is complete, from what was learned of its
//! endpoint afterwards.
//!
//! An answer with neither a length nor chunks ends with its connection, and so does one that a crash
//! cuts. It is complete if the start that wrote it was alive after the end.

use std::time::Duration;

use oriolepass_units::MonotonicTime;

use crate::endpoints::EndpointFate;
use crate::upstream::StartAnswer;

/// The evidence whether an answer that ended with its connection is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndEvidence {
    /// The start has answered a call since.
    Answered,
    /// A heartbeat of the start was sent since.
    Heard,
    /// A process that does not name itself has answered a call since, and the start has not left.
    Unnamed,
    /// Another start has answered at the address.
    OtherStart,
    /// No process listens at the address.
    Refused,
    /// Nothing was learned in time.
    None,
}

impl EndEvidence {
    /// Returns the name of the evidence in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Heard => "heard",
            Self::Unnamed => "unnamed",
            Self::OtherStart => "another start",
            Self::Refused => "refused",
            Self::None => "none",
        }
    }

    /// Returns whether the answer counts as complete.
    pub(super) fn proves_complete(self) -> bool {
        match self {
            Self::Answered | Self::Heard | Self::Unnamed => true,
            Self::OtherStart | Self::Refused | Self::None => false,
        }
    }
}

/// What to do after a piece of evidence was looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EvidenceStep {
    Found(EndEvidence),
    /// Neither is known. A later question or a heartbeat may tell.
    AwaitHeartbeat,
}

/// What is known of an ended answer before its endpoint is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EndCase {
    /// Whether the registry knows the start, so that it has not left.
    pub(super) is_known: bool,
    /// Whether the rest of the answer can be had from another endpoint without a loss.
    pub(super) may_go_on_elsewhere: bool,
}

impl EndCase {
    /// Judges what the process at the endpoint's address has answered.
    pub(super) fn judge_answer(self, answer: StartAnswer) -> EvidenceStep {
        match answer {
            StartAnswer::Same => EvidenceStep::Found(EndEvidence::Answered),
            StartAnswer::Other => EvidenceStep::Found(EndEvidence::OtherStart),
            StartAnswer::Refused => EvidenceStep::Found(EndEvidence::Refused),
            StartAnswer::Unnamed if self.is_known => EvidenceStep::Found(EndEvidence::Unnamed),
            StartAnswer::Unnamed | StartAnswer::Unclear if self.may_go_on_elsewhere => {
                EvidenceStep::Found(EndEvidence::None)
            }
            StartAnswer::Unnamed | StartAnswer::Unclear => EvidenceStep::AwaitHeartbeat,
        }
    }
}

/// Judges what the registry knows of the start. A heartbeat that arrives less than `margin` after
/// the end may have been sent before it.
pub(super) fn judge_fate(
    fate: EndpointFate,
    ended_at: MonotonicTime,
    margin: Duration,
) -> EvidenceStep {
    match fate {
        EndpointFate::Heard(at) if at >= ended_at + margin => {
            EvidenceStep::Found(EndEvidence::Heard)
        }
        EndpointFate::Heard(_) => EvidenceStep::AwaitHeartbeat,
        EndpointFate::Replaced | EndpointFate::Left | EndpointFate::Expired => {
            EvidenceStep::Found(EndEvidence::None)
        }
    }
}

/// What tells when a run ended whose connection ended or fell silent.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunTimes {
    pub(super) noticed_at: MonotonicTime,
    /// When the request was sent, or a part of its answer arrived last.
    pub(super) progress_at: MonotonicTime,
    /// When the endpoint was last heard from.
    pub(super) heard_at: Option<MonotonicTime>,
    /// Whether the endpoint had probably ended before its connection did: its heartbeats are overdue, or
    /// the next start is known.
    pub(super) is_over: bool,
    /// Whether the answer of an engine had stopped before.
    pub(super) is_stalled: bool,
}

impl RunTimes {
    /// Returns the time of the last sign of life if the endpoint had ended before that was noticed. A
    /// connection to a lost machine may break long afterwards.
    pub(super) fn ended_at(self) -> MonotonicTime {
        match self.heard_at {
            Some(heard_at) if self.is_over => self.progress_at.max(heard_at),
            _ if self.is_stalled => self.progress_at,
            _ => self.noticed_at,
        }
    }
}

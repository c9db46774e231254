//! Describes the elections that a replica takes part in, for logs.

use std::time::Duration;

use oriolepass_units::LeaderTerm;

/// Why a replica stopped leading or standing for election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// No majority of the voters was heard from within the election timeout.
    QuorumLost,
    /// Another replica is in a later term, or leads in this one.
    OtherTerm,
    /// It transferred leadership.
    Transferred,
    /// It is not a voter any more.
    Removed,
    /// No majority voted for it in time.
    NotElected,
}

impl StepDownReason {
    /// Returns the name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::QuorumLost => "no answer from a majority",
            Self::OtherTerm => "other leader or later term",
            Self::Transferred => "leadership transferred",
            Self::Removed => "not a voter any more",
            Self::NotElected => "not elected in time",
        }
    }
}

/// A step of this replica in an election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionEvent {
    /// It stands for election in a term.
    Candidate(LeaderTerm),
    /// It was elected in a term, this long after it stood.
    Elected(LeaderTerm, Duration),
    /// It stopped leading or standing in a term.
    SteppedDown(LeaderTerm, StepDownReason),
}

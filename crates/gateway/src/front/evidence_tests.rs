//! Tests every combination of how an answer ended, what became of its endpoint, and what a gateway
//! learns of that.

use std::time::Duration;

use oriolepass_units::MonotonicTime;

use super::evidence::{EndCase, EndEvidence, EvidenceStep, RunTimes, judge_fate};
use crate::endpoints::EndpointFate;
use crate::upstream::StartAnswer;

const ENDED_AT: MonotonicTime = MonotonicTime(10_000_000);

const MARGIN: Duration = Duration::from_millis(250);

/// Who is at the endpoint's address after the connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occupant {
    /// The start that wrote the answer, which was whole.
    SameStart,
    /// The next start, after the first one has crashed.
    NextStart,
    /// Nobody listens, after a crash or an exit.
    Nobody,
    /// A listener accepts connections and nobody answers, or no packet arrives.
    Silence,
}

/// What calls of the endpoint's own interface state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnCalls {
    /// They name the start, or turn calls for another start away.
    Named,
    /// They answer any call, against the protocol.
    Unnamed,
}

/// When the last heartbeat of the start arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastHeartbeat {
    BeforeTheEnd,
    /// After the end, and possibly sent before it.
    InTransit,
    AfterTheEnd,
}

/// What the registry says of the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    Serving,
    Draining,
    Left,
    Replaced,
    Expired,
}

#[derive(Debug, Clone, Copy)]
struct EndScenario {
    is_whole: bool,
    occupant: Occupant,
    calls: OwnCalls,
    heartbeat: LastHeartbeat,
    entry: Entry,
    is_resumable: bool,
}

impl EndScenario {
    /// Returns whether the scenario can occur.
    fn is_possible(&self) -> bool {
        let is_alive =
            self.is_whole && matches!(self.occupant, Occupant::SameStart | Occupant::Silence);
        let may_hold = match self.occupant {
            Occupant::SameStart => self.is_whole,
            Occupant::NextStart => !self.is_whole,
            Occupant::Nobody | Occupant::Silence => true,
        };
        may_hold && (is_alive || self.heartbeat != LastHeartbeat::AfterTheEnd)
    }

    /// Returns the answer to the question which start is at the address.
    fn answer(&self) -> StartAnswer {
        match (self.occupant, self.calls) {
            (Occupant::SameStart, OwnCalls::Named) => StartAnswer::Same,
            (Occupant::NextStart, OwnCalls::Named) => StartAnswer::Other,
            (Occupant::SameStart | Occupant::NextStart, OwnCalls::Unnamed) => StartAnswer::Unnamed,
            (Occupant::Nobody, _) => StartAnswer::Refused,
            (Occupant::Silence, _) => StartAnswer::Unclear,
        }
    }

    fn is_known(&self) -> bool {
        matches!(self.entry, Entry::Serving | Entry::Draining)
    }

    fn fate(&self) -> EndpointFate {
        match (self.entry, self.heartbeat) {
            (Entry::Left, _) => EndpointFate::Left,
            (Entry::Replaced, _) => EndpointFate::Replaced,
            (Entry::Expired, _) => EndpointFate::Expired,
            (_, LastHeartbeat::BeforeTheEnd) => EndpointFate::Heard(MonotonicTime(9_000_000)),
            (_, LastHeartbeat::InTransit) => EndpointFate::Heard(MonotonicTime(10_200_000)),
            (_, LastHeartbeat::AfterTheEnd) => EndpointFate::Heard(MonotonicTime(10_300_000)),
        }
    }

    /// Returns the evidence that a gateway finds before the request's time is over.
    fn evidence(&self) -> EndEvidence {
        let case = EndCase { is_known: self.is_known(), may_go_on_elsewhere: self.is_resumable };
        let step = match case.judge_answer(self.answer()) {
            EvidenceStep::AwaitHeartbeat => judge_fate(self.fate(), ENDED_AT, MARGIN),
            found @ EvidenceStep::Found(_) => found,
        };
        match step {
            EvidenceStep::Found(evidence) => evidence,
            EvidenceStep::AwaitHeartbeat => EndEvidence::None,
        }
    }
}

fn scenarios() -> Vec<EndScenario> {
    let mut all = Vec::new();
    for is_whole in [true, false] {
        for occupant in
            [Occupant::SameStart, Occupant::NextStart, Occupant::Nobody, Occupant::Silence]
        {
            for calls in [OwnCalls::Named, OwnCalls::Unnamed] {
                for heartbeat in [
                    LastHeartbeat::BeforeTheEnd,
                    LastHeartbeat::InTransit,
                    LastHeartbeat::AfterTheEnd,
                ] {
                    for entry in [
                        Entry::Serving,
                        Entry::Draining,
                        Entry::Left,
                        Entry::Replaced,
                        Entry::Expired,
                    ] {
                        for is_resumable in [true, false] {
                            let scenario = EndScenario {
                                is_whole,
                                occupant,
                                calls,
                                heartbeat,
                                entry,
                                is_resumable,
                            };
                            all.extend(Some(scenario).filter(EndScenario::is_possible));
                        }
                    }
                }
            }
        }
    }
    all
}

/// Guards against an answer that was cut and is passed on as complete, whatever was learned in which
/// order of its endpoint. Only endpoints whose calls name nobody are believed, as long as they are known.
#[test]
fn no_cut_answer_of_an_endpoint_that_names_itself_counts_as_complete() {
    let cut: Vec<EndScenario> = scenarios().into_iter().filter(|s| !s.is_whole).collect();
    assert!(cut.len() > 100, "only {} scenarios", cut.len());
    for scenario in cut {
        let is_believed = scenario.calls == OwnCalls::Unnamed
            && scenario.occupant == Occupant::NextStart
            && scenario.is_known();
        assert_eq!(scenario.evidence().proves_complete(), is_believed, "{scenario:?}");
    }
}

/// Guards against whole answers that fail although their endpoint says that it is alive, also while it
/// leaves and after it has left.
#[test]
fn a_whole_answer_of_an_endpoint_that_is_alive_and_names_itself_counts_as_complete() {
    let is_alive = |s: &EndScenario| {
        s.is_whole && s.occupant == Occupant::SameStart && s.calls == OwnCalls::Named
    };
    for scenario in scenarios().into_iter().filter(is_alive) {
        assert_eq!(scenario.evidence(), EndEvidence::Answered, "{scenario:?}");
    }
}

/// Guards against calls that fail although a later heartbeat shows that their endpoint was alive.
#[test]
fn a_later_heartbeat_completes_what_cannot_go_on_elsewhere() {
    let is_heard = |s: &EndScenario| {
        s.is_whole
            && s.occupant == Occupant::Silence
            && s.heartbeat == LastHeartbeat::AfterTheEnd
            && s.is_known()
    };
    for scenario in scenarios().into_iter().filter(is_heard) {
        let expected = if scenario.is_resumable { EndEvidence::None } else { EndEvidence::Heard };
        assert_eq!(scenario.evidence(), expected, "{scenario:?}");
    }
}

/// Guards against ends that are dated when the next start resets their connections: the runs seem to be as
/// long as the start takes, and ends at different times seem to be one.
#[test]
fn an_end_before_it_was_noticed_is_dated_by_the_last_sign_of_life() {
    let (sent_at, heard_at) = (MonotonicTime(1_000_000), MonotonicTime(1_300_000));
    let times = RunTimes {
        noticed_at: ENDED_AT,
        progress_at: sent_at,
        heard_at: Some(heard_at),
        is_over: true,
        is_stalled: false,
    };
    assert_eq!(times.ended_at(), heard_at);
    let progress_at = MonotonicTime(2_000_000);
    assert_eq!(RunTimes { progress_at, ..times }.ended_at(), progress_at);
    assert_eq!(RunTimes { is_over: false, ..times }.ended_at(), ENDED_AT);
    assert_eq!(RunTimes { heard_at: None, ..times }.ended_at(), ENDED_AT);
    let stalled = RunTimes { is_over: false, is_stalled: true, ..times };
    assert_eq!(stalled.ended_at(), sent_at);
}

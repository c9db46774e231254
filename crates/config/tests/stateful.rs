//! Compares configuration changes with a reference model in random sequences of calls.
//!
//! The sequences hold changes by several teams, concurrent changes with the same expected revision,
//! resends, change ids reused with other content, and restarts from a snapshot.

use std::collections::BTreeMap;

use oriolepass_config::{
    ApplyOutcome, ChangeCommand, ReplicatedCommand, ReplicatedState, StampedCommand,
};
use oriolepass_schema::error::ErrorCode;
use oriolepass_schema::operator::{
    ChangeAction, ChangeAnswer, ChangeCall, KeyHash, ModelSpec, ObjectKind, ObjectSpec, TeamSpec,
};
use oriolepass_units::{ObjectRevision, TokenCount};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const TEAMS: [&str; 3] = ["red", "blue", "root"];
const NAMES: [&str; 3] = ["a", "b", "c"];

/// One step of a sequence.
#[derive(Debug, Clone)]
enum Step {
    /// A team writes an object with an expected revision and a change id.
    Put { team: usize, name: usize, expected: u64, id: u8, version: u8 },
    /// A team removes an object.
    Delete { team: usize, name: usize, expected: u64, id: u8 },
    /// An earlier change is sent again unchanged.
    Resend { which: usize },
    /// The state is encoded as a snapshot and decoded again, as in a restart.
    Restart,
}

/// The parts of an answer that the test compares.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    Accepted { revision: u64, config_revision: u64 },
    Refused(ErrorCode),
}

/// The reference model that predicts the answer to each change.
#[derive(Debug, Clone, Default)]
struct Oracle {
    config_revision: u64,
    objects: BTreeMap<usize, (usize, u64, u8)>,
    answers: BTreeMap<(usize, u8), (ChangeCall, Verdict)>,
    sent: Vec<(usize, ChangeCall)>,
    verdicts: Vec<Verdict>,
}

fn spec(version: u8) -> ObjectSpec {
    ObjectSpec::Model(ModelSpec {
        version: version.to_string(),
        adapters: Vec::new(),
        replicas: BTreeMap::new(),
        max_prompt: TokenCount(10),
    })
}

fn call(step: &Step) -> Option<(usize, ChangeCall)> {
    let (team, name, expected, id, action) = match step {
        Step::Put { team, name, expected, id, version } => {
            (team, name, expected, id, ChangeAction::Put(spec(*version)))
        }
        Step::Delete { team, name, expected, id } => {
            (team, name, expected, id, ChangeAction::Delete(ObjectKind::Model))
        }
        Step::Resend { .. } | Step::Restart => return None,
    };
    let call = ChangeCall {
        change_id: format!("id-{id}").parse().expect("a valid id"),
        name: NAMES[*name].to_owned(),
        expected_revision: ObjectRevision(*expected),
        action,
        reason: String::new(),
    };
    Some((*team, call))
}

impl Oracle {
    fn decide(&mut self, team: usize, call: &ChangeCall) -> Verdict {
        let id: u8 = call.change_id.as_str()[3..].parse().expect("a number");
        if let Some((first, verdict)) = self.answers.get(&(team, id)) {
            return match first == call {
                true => verdict.clone(),
                false => Verdict::Refused(ErrorCode::ChangeIdReused),
            };
        }
        let verdict = self.decide_new(team, call);
        self.answers.insert((team, id), (call.clone(), verdict.clone()));
        verdict
    }

    fn decide_new(&mut self, team: usize, call: &ChangeCall) -> Verdict {
        let name = NAMES.iter().position(|name| *name == call.name).expect("a known name");
        let present = self.objects.get(&name).copied();
        if present.is_some_and(|(owner, _, _)| owner != team) {
            return Verdict::Refused(ErrorCode::Forbidden);
        }
        let revision = present.map_or(0, |(_, revision, _)| revision);
        if call.expected_revision.0 != revision {
            return Verdict::Refused(ErrorCode::Conflict);
        }
        match &call.action {
            ChangeAction::Put(ObjectSpec::Model(spec)) => {
                let version = spec.version.parse().expect("a number");
                self.objects.insert(name, (team, revision + 1, version));
            }
            _ if present.is_none() => return Verdict::Refused(ErrorCode::NotFound),
            _ => {
                self.objects.remove(&name);
            }
        }
        self.config_revision += 1;
        Verdict::Accepted { revision: revision + 1, config_revision: self.config_revision }
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        // Bootstrap and the two other teams account for the first three revisions.
        Just(Self { config_revision: 3, ..Self::default() }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let put = (0..3_usize, 0..3_usize, 0..4_u64, 0..40_u8, 0..5_u8).prop_map(
            |(team, name, expected, id, version)| Step::Put { team, name, expected, id, version },
        );
        let delete = (0..3_usize, 0..3_usize, 0..4_u64, 0..40_u8)
            .prop_map(|(team, name, expected, id)| Step::Delete { team, name, expected, id });
        prop_oneof![
            6 => put,
            2 => delete,
            3 => (0..64_usize).prop_map(|which| Step::Resend { which }),
            1 => Just(Step::Restart),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        let sent = match step {
            Step::Resend { which } if !state.sent.is_empty() => {
                Some(state.sent[which % state.sent.len()].clone())
            }
            step => call(step),
        };
        if let Some((team, call)) = sent {
            let verdict = state.decide(team, &call);
            state.sent.push((team, call));
            state.verdicts.push(verdict);
        }
        state
    }
}

/// The system under test.
struct RealState {
    state: ReplicatedState,
    observed_revision: ObjectRevision,
}

impl RealState {
    fn commit(&mut self, command: ReplicatedCommand) -> ApplyOutcome {
        let index = self.state.applied().next();
        self.state.apply(index, &StampedCommand { unix_ms: 1, command })
    }

    fn change(&mut self, team: usize, call: ChangeCall) -> ApplyOutcome {
        let team = TEAMS[team].parse().expect("a valid name");
        self.commit(ReplicatedCommand::Change(ChangeCommand { team, call }))
    }
}

impl StateMachineTest for RealState {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        let mut real =
            Self { state: ReplicatedState::default(), observed_revision: ObjectRevision::ZERO };
        real.commit(ReplicatedCommand::Bootstrap { root_key: KeyHash::of("root") });
        for team in &TEAMS[..2] {
            let spec = TeamSpec { keys: vec![KeyHash::of(team)], admin: false };
            let call = ChangeCall {
                change_id: format!("make-{team}").parse().expect("a valid id"),
                name: (*team).to_owned(),
                expected_revision: ObjectRevision::ZERO,
                action: ChangeAction::Put(ObjectSpec::Team(spec)),
                reason: String::new(),
            };
            assert!(matches!(real.change(2, call), ApplyOutcome::Changed(_)));
        }
        real
    }

    fn apply(mut real: Self, oracle: &Oracle, step: Step) -> Self {
        if matches!(step, Step::Restart) {
            let bytes = real.state.to_snapshot();
            real.state =
                ReplicatedState::from_snapshot(&bytes).expect("a snapshot of the same version");
            return real;
        }
        // The oracle has already applied the step. A resend is skipped if no change was sent yet.
        let resent = matches!(step, Step::Resend { .. });
        if resent && oracle.sent.is_empty() {
            return real;
        }
        let (team, call) = oracle.sent.last().expect("the step's change").clone();
        let outcome = match real.change(team, call) {
            ApplyOutcome::Changed(ChangeAnswer { revision, config_revision, .. }) => {
                Verdict::Accepted { revision: revision.0, config_revision: config_revision.0 }
            }
            ApplyOutcome::Refused(error) => Verdict::Refused(error.code),
            other => panic!("{other:?}"),
        };
        assert_eq!(Some(&outcome), oracle.verdicts.last());
        real
    }

    fn check_invariants(real: &Self, oracle: &Oracle) {
        let view = real.state.view();
        assert_eq!(view.config_revision().0, oracle.config_revision);
        assert!(
            view.config_revision() >= real.observed_revision,
            "the configuration revision decreased"
        );
        let list = view.list(Some(ObjectKind::Model)).objects;
        let stored: BTreeMap<usize, (usize, u64, u8)> = list
            .iter()
            .map(|object| {
                let name = NAMES.iter().position(|n| *n == object.name).expect("known");
                let team = TEAMS.iter().position(|t| *t == object.team.as_str()).expect("known");
                let ObjectSpec::Model(spec) = &object.spec else { panic!("a model") };
                (name, (team, object.revision.0, spec.version.parse().expect("a number")))
            })
            .collect();
        assert_eq!(stored, oracle.objects);
        assert_eq!(real.state.audit(0, usize::MAX).verify(), Ok(()));
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn changes_match_the_reference_model(sequential 1..60 => RealState);
}

#[test]
fn edited_and_removed_audit_records_fail_verification() {
    let mut real = RealState::init_test(&Oracle::default());
    let _ = real.commit(ReplicatedCommand::Noop);
    let mut trail = real.state.audit(0, usize::MAX);
    assert_eq!(trail.verify(), Ok(()));
    trail.records[1].actor = "somebody".to_owned();
    assert_eq!(trail.verify(), Err(2));
    let mut shortened = real.state.audit(0, usize::MAX);
    shortened.records.remove(1);
    assert_eq!(shortened.verify(), Err(3));
}

#[test]
fn a_team_cannot_change_other_teams_or_its_own_admin_right() {
    let mut real = RealState::init_test(&Oracle::default());
    let change = |id: &str, name: &str, action: ChangeAction| ChangeCall {
        change_id: id.parse().expect("a valid id"),
        name: name.to_owned(),
        expected_revision: ObjectRevision(1),
        action,
        reason: String::new(),
    };
    let promote = TeamSpec { keys: vec![KeyHash::of("red")], admin: true };
    let cases = [
        ("blue", ChangeAction::Delete(ObjectKind::Team)),
        ("red", ChangeAction::Put(ObjectSpec::Team(promote))),
        ("root", ChangeAction::Delete(ObjectKind::Team)),
    ];
    for (number, (name, action)) in cases.into_iter().enumerate() {
        let outcome = real.change(0, change(&format!("t-{number}"), name, action));
        let ApplyOutcome::Refused(error) = outcome else { panic!("{outcome:?}") };
        assert_eq!(error.code, ErrorCode::Forbidden, "{name}");
    }
}

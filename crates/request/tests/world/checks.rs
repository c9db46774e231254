//! Invariants that must hold at the end of a run.

use std::collections::BTreeMap;

use oriolepass_request::RequestOutcome;
use oriolepass_schema::error::RanState;
use oriolepass_standin::answer_text;
use oriolepass_units::AttemptId;

use super::{Coverage, World};

impl World {
    /// Returns whether no request is open and no engine memory is in use, held or unexplained.
    pub fn settled(&self) -> bool {
        let open = self.requests.iter().any(|r| r.outcome.is_none() && !r.entry_crashed);
        let held = self.engines.iter().any(|engine| engine.model.used().0 > 0);
        !open && !held && self.unexplained() == 0 && self.ledger_held() == 0
    }

    fn ledger_held(&self) -> u64 {
        self.homes[self.home].endpoint_views().iter().map(|view| view.held.0).sum()
    }

    fn unexplained(&self) -> u64 {
        self.homes[self.home].endpoint_views().iter().map(|view| view.unexplained.0).sum()
    }

    pub fn check(&self, coverage: &mut Coverage) {
        let seed = self.seed;
        for (number, request) in self.requests.iter().enumerate() {
            if request.entry_crashed {
                continue;
            }
            let outcome = request.outcome.as_ref();
            let outcome =
                outcome.unwrap_or_else(|| panic!("seed {seed}: request {number} never ended"));
            self.check_reported_outcome(number, &request.sent, outcome, coverage);
            if let Some(prompt) = &request.prompt {
                let expected = answer_text(prompt, request.answer_tokens);
                // Whatever the outcome, the delivered text is a prefix of the request's own answer.
                assert!(
                    expected.starts_with(&request.delivered),
                    "seed {seed}: request {number} got text of another answer"
                );
                if matches!(outcome, RequestOutcome::Done { .. }) {
                    assert_eq!(
                        request.delivered, expected,
                        "seed {seed}: request {number} is incomplete"
                    );
                }
            }
        }
        self.check_runs_at_most_once();
        assert_eq!(self.ledger_held(), 0, "seed {seed}: the ledger still holds memory");
        assert_eq!(self.unexplained(), 0, "seed {seed}: memory is still unexplained");
        let used: u64 = self.engines.iter().map(|engine| engine.model.used().0).sum();
        assert_eq!(used, 0, "seed {seed}: an engine leaked memory");
    }

    fn ran(&self, attempt: &AttemptId) -> bool {
        self.service.began.contains_key(attempt)
            || self.engines.iter().any(|engine| engine.began.contains_key(attempt))
    }

    fn check_reported_outcome(
        &self,
        number: usize,
        sent: &[AttemptId],
        outcome: &RequestOutcome,
        coverage: &mut Coverage,
    ) {
        let seed = self.seed;
        let ran = sent.iter().any(|attempt| self.ran(attempt));
        match outcome {
            RequestOutcome::Done { .. } => {
                coverage.done += 1;
                assert!(ran, "seed {seed}: request {number} is done but never ran");
            }
            RequestOutcome::Kept(_) => coverage.kept += 1,
            RequestOutcome::Failed(error) => match error.ran {
                RanState::No => {
                    coverage.failed_not_run += 1;
                    assert!(!ran, "seed {seed}: request {number} reported as not run, but it ran");
                }
                RanState::Yes => {
                    coverage.failed_ran += 1;
                    assert!(
                        ran,
                        "seed {seed}: request {number} reported as run, but it did not run"
                    );
                }
                RanState::Unknown => coverage.failed_unknown += 1,
            },
        }
    }

    /// Checks that each non-repeatable request ran at most once over all its resends.
    fn check_runs_at_most_once(&self) {
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for request in &self.requests {
            if let Some(key) = &request.key {
                let ran = request.sent.iter().filter(|attempt| self.ran(attempt)).count();
                *runs.entry(key.as_str()).or_default() += ran;
            }
        }
        for (key, count) in runs {
            assert!(count <= 1, "seed {}: {key} ran {count} times", self.seed);
        }
        for engine in &self.engines {
            for (attempt, begins) in &engine.began {
                assert_eq!(*begins, 1, "seed {}: attempt {attempt} began twice", self.seed);
            }
        }
    }
}

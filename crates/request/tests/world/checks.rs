//! What must hold in the end.

use std::collections::BTreeMap;

use oriolepass_request::RequestOutcome;
use oriolepass_schema::error::RanState;
use oriolepass_standin::answer_text;
use oriolepass_units::AttemptId;

use super::{Coverage, World};

impl World {
    /// Returns whether nothing is under way any more.
    pub fn settled(&self) -> bool {
        let open = self.requests.iter().any(|r| r.outcome.is_none() && !r.gone);
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
            if request.gone {
                continue;
            }
            let outcome = request.outcome.as_ref();
            let outcome = outcome.unwrap_or_else(|| panic!("seed {seed}: {number} never ended"));
            self.check_truth(number, &request.sent, outcome, coverage);
            if let Some(prompt) = &request.prompt {
                let expected = answer_text(prompt, request.answer);
                // However it ended, what it got is the beginning of its own answer.
                assert!(
                    expected.starts_with(&request.delivered),
                    "seed {seed}: {number} got text that is not its own"
                );
                if matches!(outcome, RequestOutcome::Done { .. }) {
                    assert_eq!(request.delivered, expected, "seed {seed}: {number} is not whole");
                }
            }
        }
        self.check_once();
        assert_eq!(self.ledger_held(), 0, "seed {seed}: memory stays in the ledger");
        assert_eq!(self.unexplained(), 0, "seed {seed}: memory stays unexplained");
        let used: u64 = self.engines.iter().map(|engine| engine.model.used().0).sum();
        assert_eq!(used, 0, "seed {seed}: an engine lost memory");
    }

    fn ran(&self, attempt: &AttemptId) -> bool {
        self.service.began.contains_key(attempt)
            || self.engines.iter().any(|engine| engine.began.contains_key(attempt))
    }

    fn check_truth(
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
                assert!(ran, "seed {seed}: {number} is done and never ran");
            }
            RequestOutcome::Kept(_) => coverage.kept += 1,
            RequestOutcome::Failed(error) => match error.ran {
                RanState::No => {
                    coverage.failed_not_run += 1;
                    assert!(!ran, "seed {seed}: {number} was said not to have run, but it did");
                }
                RanState::Yes => {
                    coverage.failed_ran += 1;
                    assert!(ran, "seed {seed}: {number} was said to have run, but it did not");
                }
                RanState::Unknown => coverage.failed_unknown += 1,
            },
        }
    }

    /// Each non-repeatable request ran at most once, over all its resends.
    fn check_once(&self) {
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

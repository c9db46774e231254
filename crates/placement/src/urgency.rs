//! Weighs prompts by their priority, relative to the priorities that compete for the same service.
//!
//! A priority says which prompts go first, not by how much, so only its order counts: each more
//! urgent priority that has asked for engines lately takes a part of a prompt's weight, the larger
//! the scarcer engines are. If all prompts of a service have the same priority, or engines are not
//! scarce, the weight of each is exactly 1.

use std::collections::BTreeMap;

/// Weight that a prompt keeps for each more urgent priority. A prompt goes before one that is a
/// level more urgent only if it brings more than twice as much.
pub(crate) const LEVEL_WEIGHT: f64 = 0.5;

/// Minimum weight of a prompt, reached two levels below the most urgent priority. With lower
/// weights, the longest prompts, which cost the most time for their value, would hardly be served.
const MIN_URGENCY_WEIGHT: f64 = 0.25;

/// Time over which the presence of a priority decays after its last prompt. It is longer than the
/// usual gaps between prompts of a rare kind.
const PRESENCE_SPAN_MS: f64 = 4_000.0;

/// Presence below which a priority no longer competes, some 16 s after its last prompt.
const MIN_PRESENCE: f64 = 0.02;

/// Records which priorities asked for the engines of one service lately.
#[derive(Debug, Default)]
pub(crate) struct UrgencyMeter {
    /// Time of the last prompt by priority.
    last_ask_ms: BTreeMap<u8, f64>,
}

impl UrgencyMeter {
    /// Records a prompt that asks for engines.
    pub(crate) fn record(&mut self, now_ms: f64, priority: u8) {
        self.last_ask_ms.insert(priority, now_ms);
        self.last_ask_ms.retain(|_, last_ms| presence(now_ms, *last_ms) >= MIN_PRESENCE);
    }

    /// Returns the present weights of all priorities while engines are as scarce as `scarcity`
    /// says, from 0 to 1.
    pub(crate) fn weights(&self, now_ms: f64, scarcity: f64) -> UrgencyWeights {
        let present = |(priority, last_ms): (&u8, &f64)| {
            let presence = presence(now_ms, *last_ms);
            (presence >= MIN_PRESENCE).then_some((*priority, presence))
        };
        let present = self.last_ask_ms.iter().filter_map(present).collect();
        UrgencyWeights { present, scarcity }
    }
}

/// Returns how much a priority competes, from 0 to 1.
fn presence(now_ms: f64, last_ask_ms: f64) -> f64 {
    (-(now_ms - last_ask_ms).max(0.0) / PRESENCE_SPAN_MS).exp()
}

/// The weights of priorities at one time.
#[derive(Debug, Default)]
pub(crate) struct UrgencyWeights {
    /// The priorities that compete and their presence, the most urgent first.
    present: Vec<(u8, f64)>,
    scarcity: f64,
}

impl UrgencyWeights {
    /// Returns the weight of a prompt, from `MIN_URGENCY_WEIGHT` to 1. The weight of a prompt whose
    /// priority is not known, which an instance of an earlier version has sent, is 1.
    pub(crate) fn weight(&self, priority: Option<u8>) -> f64 {
        let Some(priority) = priority else { return 1.0 };
        let more_urgent = self.present.iter().take_while(|(other, _)| *other < priority);
        let weight: f64 =
            more_urgent.map(|(_, presence)| 1.0 - (1.0 - LEVEL_WEIGHT) * presence).product();
        1.0 - (1.0 - weight.max(MIN_URGENCY_WEIGHT)) * self.scarcity
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn weights(asked: &[(u8, f64)], now_ms: f64) -> UrgencyWeights {
        let mut meter = UrgencyMeter::default();
        asked.iter().for_each(|(priority, at_ms)| meter.record(*at_ms, *priority));
        meter.weights(now_ms, 1.0)
    }

    /// Guards against a service that is served differently although all of its callers are equally
    /// urgent, whatever number the document gives them.
    #[test]
    fn one_priority_alone_has_the_full_weight() {
        let weights = weights(&[(7, 0.0), (7, 900.0)], 1_000.0);
        assert_eq!((weights.weight(Some(7)), weights.weight(None)), (1.0, 1.0));
    }

    /// Guards against giants of low urgency that count as much as urgent short prompts, and against
    /// gaps in the numbers of priorities that would count as levels.
    #[test]
    fn each_competing_level_takes_a_half_down_to_a_quarter() {
        let weights = weights(&[(9, 0.0), (0, 0.0), (3, 0.0), (5, 0.0)], 0.0);
        let all = [0, 3, 5, 9].map(|priority| weights.weight(Some(priority)));
        assert_eq!(all, [1.0, 0.5, 0.25, 0.25]);
    }

    /// Guards against long prompts that stay behind urgent ones that are no longer asked for.
    #[test]
    fn a_priority_that_asks_no_more_ceases_to_compete() {
        let asked = [(0, 0.0), (1, 0.0)];
        let at = |now_ms| weights(&asked, now_ms).weight(Some(1));
        assert_eq!(at(0.0), 0.5);
        assert!(at(4_000.0) > 0.8 && at(4_000.0) < 1.0, "{}", at(4_000.0));
        assert_eq!(at(20_000.0), 1.0);
    }
}

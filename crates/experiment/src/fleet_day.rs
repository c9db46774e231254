//! Draws the prompts of a deployment's day from a seed.

use oriolepass_routing::EngineProfile;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// A class of prompts with the same rate, lengths and objectives.
#[derive(Debug, Clone)]
pub struct PromptClass {
    /// The class's name.
    pub name: &'static str,
    /// Arrivals per second.
    pub per_second: f64,
    /// Mean, standard deviation of the logarithm, and maximum of the prompt's tokens.
    pub prompt_tokens: (f64, f64, f64),
    /// Mean, standard deviation of the logarithm, and maximum of the answer's events.
    pub answer_events: (f64, f64, f64),
    /// Objective for the time to the first event, in milliseconds.
    pub objective_ms: f64,
    /// Objective for the longest pause between events, in milliseconds.
    pub pause_ms: f64,
    /// Time after which the caller cancels the request, in milliseconds.
    pub deadline_ms: f64,
    /// The worth of an answer on time, and of a late answer.
    pub worth: (f64, f64),
}

/// A span of time in which the arrival rates of the classes change.
#[derive(Debug, Clone)]
pub struct Surge {
    /// Start and end of the span, in seconds.
    pub span_s: (f64, f64),
    /// The factor of each class's rate.
    pub factors: Vec<f64>,
}

/// A deployment's day.
#[derive(Debug, Clone)]
pub struct DayPlan {
    /// The deployment's name.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// The speed and limits of each engine.
    pub profile: EngineProfile,
    /// The classes of prompts.
    pub classes: Vec<PromptClass>,
    /// The surges; outside them all rates have the factor 1.
    pub surges: Vec<Surge>,
    /// Duration of the day, in seconds.
    pub seconds: f64,
    /// The factor of all rates.
    pub load: f64,
}

/// A prompt of the day.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DayPrompt {
    /// Arrival time, in milliseconds.
    pub at_ms: f64,
    /// Index of the class.
    pub class: usize,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of events in the answer.
    pub answer_events: u64,
    /// The caller's estimate of the number of answer tokens.
    pub expected_tokens: u64,
}

/// Standard deviation of the logarithm of the callers' estimates of the answer's length.
const ESTIMATE_SPREAD: f64 = 0.5;

/// Draws from the standard normal distribution (Box-Muller).
fn standard_normal(random: &mut StdRng) -> f64 {
    let (u, v): (f64, f64) = (random.random_range(1e-12..1.0), random.random());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}

/// Draws from a log-normal distribution with a given mean, clamped between 1 and a maximum.
fn draw_log_normal(random: &mut StdRng, (mean, spread, max): (f64, f64, f64)) -> f64 {
    let log_mean = mean.ln() - spread * spread / 2.0;
    (log_mean + spread * standard_normal(random)).exp().clamp(1.0, max)
}

impl DayPlan {
    /// Draws the day's prompts, in order of arrival.
    pub fn prompts(&self, seed: u64) -> Vec<DayPrompt> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut prompts = Vec::new();
        for (class, kind) in self.classes.iter().enumerate() {
            let peak_factor = self.surges.iter().map(|s| s.factors[class]).fold(1.0, f64::max);
            let rate = kind.per_second * self.load * peak_factor;
            let mut at = 0.0;
            // Draws at the peak rate and thins the arrivals to the rate of their time.
            loop {
                at -= random.random_range(1e-12..1.0_f64).ln() / rate;
                if at > self.seconds {
                    break;
                }
                if random.random::<f64>() * peak_factor > self.rate_factor(class, at) {
                    continue;
                }
                let events = draw_log_normal(&mut random, kind.answer_events).round().max(1.0);
                let tokens = events * f64::from(self.profile.steps_per_pass);
                let estimated_tokens =
                    tokens * (ESTIMATE_SPREAD * standard_normal(&mut random)).exp();
                prompts.push(DayPrompt {
                    at_ms: at * 1_000.0,
                    class,
                    prompt_tokens: draw_log_normal(&mut random, kind.prompt_tokens) as u64,
                    answer_events: events as u64,
                    expected_tokens: estimated_tokens.max(1.0) as u64,
                });
            }
        }
        prompts.sort_by(|left, right| left.at_ms.total_cmp(&right.at_ms));
        prompts
    }

    fn rate_factor(&self, class: usize, at: f64) -> f64 {
        let surge = self.surges.iter().find(|s| (s.span_s.0..s.span_s.1).contains(&at));
        surge.map_or(1.0, |surge| surge.factors[class])
    }

    /// Returns a day of the present deployment of Agência or Magnolia, with three surges.
    pub fn present(name: &'static str, engines: usize, load: f64) -> Self {
        let scale = engines as f64 / PRESENT_ENGINE_COUNT;
        let classes = vec![
            short_class(30.7 * scale, (1.3, 0.33)),
            medium_class(2.23 * scale, (3.1, 0.79)),
            long_class(0.924 * scale, 210_000.0, 3_000.0, (22.0, 5.4)),
        ];
        let profile = engine_profile(16, 450_000, 46);
        Self { name, engines, profile, classes, surges: surges(), seconds: 34.0, load }
    }

    /// Returns a day of a deployment whose long prompts are more frequent and shorter than in the
    /// others, on engines with half of the memory.
    pub fn further(name: &'static str, engines: usize, load: f64) -> Self {
        let scale = engines as f64 / FURTHER_ENGINE_COUNT;
        let short = PromptClass {
            answer_events: (31.6, 0.7, 79.1),
            pause_ms: 250.0,
            ..short_class(38.3 * scale, (1.3, 0.33))
        };
        let medium = PromptClass {
            answer_events: (19.0, 0.6, 47.5),
            pause_ms: 600.0,
            ..medium_class(2.09 * scale, (3.9, 0.98))
        };
        let long = PromptClass {
            prompt_tokens: (133_000.0, 0.55, 600_000.0),
            answer_events: (15.8, 0.5, 39.6),
            pause_ms: 1_000.0,
            ..long_class(1.76 * scale, 133_000.0, 2_500.0, (15.0, 3.7))
        };
        let profile = EngineProfile {
            slots: 16,
            memory_tokens: 232_000,
            step_ms: 1.02,
            step_ms_per_decoding_request: 0.002_26,
            step_ms_per_context_k: 0.004_31,
            prefill_tokens_per_s: 206_000.0,
            prefill_ms_per_million_pairs: 0.138,
            steps_per_pass: 43,
            group_step_ms: 0.075,
            ..engine_profile(16, 232_000, 43)
        };
        let classes = vec![short, medium, long];
        Self { name, engines, profile, classes, surges: surges(), seconds: 34.0, load }
    }

    /// Returns a day of the deployment of [`DayPlan::present`] after it has grown.
    pub fn grown(name: &'static str, engines: usize, load: f64) -> Self {
        let scale = engines as f64 / GROWN_ENGINE_COUNT;
        let classes = vec![
            short_class(76.7 * scale, (1.4, 0.34)),
            medium_class(7.03 * scale, (2.6, 0.66)),
            long_class(2.08 * scale, 300_000.0, 4_000.0, (30.0, 7.5)),
        ];
        let profile = engine_profile(12, 382_500, 52);
        Self { name, engines, profile, classes, surges: surges(), seconds: 34.0, load }
    }
}

/// Number of engines in the present deployment of Agência. The arrival rates of each deployment are
/// given for its number of engines and scale with the number of engines.
const PRESENT_ENGINE_COUNT: f64 = 14.0;
/// Number of engines in the grown deployment of Agência.
const GROWN_ENGINE_COUNT: f64 = 45.0;
/// Number of engines in the deployment of Agência with more long prompts.
const FURTHER_ENGINE_COUNT: f64 = 18.0;

fn engine_profile(slots: u32, memory_tokens: u64, steps_per_pass: u32) -> EngineProfile {
    EngineProfile {
        slots,
        memory_tokens,
        step_ms: 0.925,
        step_ms_per_decoding_request: 0.004_83,
        step_ms_per_context_k: 0.002_54,
        prefill_tokens_per_s: 256_000.0,
        prefill_ms_per_million_pairs: 0.0917,
        prefill_tokens_per_step: 2_048,
        steps_per_pass,
        report_lag_ms: 200.0,
        group_step_ms: 0.1,
    }
}

fn short_class(per_second: f64, worth: (f64, f64)) -> PromptClass {
    PromptClass {
        name: "short",
        per_second,
        prompt_tokens: (4_960.0, 0.9, 23_800.0),
        answer_events: (34.9, 0.7, 87.0),
        objective_ms: 300.0,
        pause_ms: 200.0,
        deadline_ms: 10_000.0,
        worth,
    }
}

fn medium_class(per_second: f64, worth: (f64, f64)) -> PromptClass {
    PromptClass {
        name: "medium",
        per_second,
        prompt_tokens: (45_000.0, 0.5, 110_000.0),
        answer_events: (20.9, 0.6, 52.0),
        objective_ms: 1_500.0,
        pause_ms: 500.0,
        deadline_ms: 10_000.0,
        worth,
    }
}

fn long_class(
    per_second: f64,
    mean_tokens: f64,
    objective_ms: f64,
    worth: (f64, f64),
) -> PromptClass {
    PromptClass {
        name: "long",
        per_second,
        prompt_tokens: (mean_tokens, 0.55, 1_000_000.0),
        answer_events: (17.4, 0.5, 44.0),
        objective_ms,
        pause_ms: 800.0,
        deadline_ms: 15_000.0,
        worth,
    }
}

fn surges() -> Vec<Surge> {
    vec![
        Surge { span_s: (1.8, 11.3), factors: vec![0.3, 1.3, 2.7] },
        Surge { span_s: (13.0, 22.5), factors: vec![2.5, 0.5, 0.05] },
        Surge { span_s: (23.0, 32.5), factors: vec![0.35, 1.3, 2.8] },
    ]
}

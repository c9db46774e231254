//! Reads mixes of prompts from files and draws arrivals from them.

use std::path::Path;

use eyre::{Result, WrapErr};
use oriolepass_units::MonotonicTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;

/// A class of prompts: a range of prompt lengths and of answer lengths, in tokens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixClass {
    part: f64,
    min: u64,
    max: u64,
    answer_min: u64,
    answer_max: u64,
}

/// An account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixAccount {
    /// The account's part of the arrivals, relative to the other weights.
    pub weight: u32,
    /// The account's configured share of the engines.
    pub share: u32,
}

/// The load of a deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMix {
    /// The deployment's name.
    pub name: String,
    /// Number of engines.
    pub engines: usize,
    /// Number of data centres, over which the engines are spread.
    pub data_centres: usize,
    /// One-way latency to callers, in milliseconds.
    pub client_ms: u64,
    /// The accounts.
    pub accounts: Vec<MixAccount>,
    /// The classes of prompts.
    classes: Vec<MixClass>,
}

/// An arriving request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time.
    pub at: MonotonicTime,
    /// Index of the account in the mix.
    pub account: usize,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer.
    pub answer: u64,
}

impl LoadMix {
    /// Reads a mix from a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or parsed as a mix.
    pub fn load(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("failed to read {}", file.display()))?;
        serde_json::from_str(&text)
            .wrap_err_with(|| format!("failed to parse {} as a mix", file.display()))
    }

    /// Returns the mean of a request's prompt and answer tokens together.
    pub fn mean_work(&self) -> f64 {
        let total: f64 = self.classes.iter().map(|class| class.part).sum();
        let mean = |class: &MixClass| {
            let bounds = class.min + class.max + class.answer_min + class.answer_max;
            class.part * bounds as f64 / 2.0
        };
        self.classes.iter().map(mean).sum::<f64>() / total
    }

    /// Draws Poisson arrivals at `rate` per second for `seconds`. With `bursts`, the rate is
    /// tripled for 2.5 s of every 10 s and divided by three for the rest, which keeps the mean.
    pub fn draw(&self, seed: u64, rate: f64, seconds: f64, bursts: bool) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        while at < seconds {
            let in_burst = bursts && ((at / 2.5) as u64).is_multiple_of(4);
            let factor = match (bursts, in_burst) {
                (false, _) => 1.0,
                (true, true) => 3.0,
                (true, false) => 1.0 / 3.0,
            };
            let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
            at += -uniform.ln() / (rate * factor);
            arrivals.push(self.draw_arrival(&mut random, at));
        }
        arrivals
    }

    fn draw_arrival(&self, random: &mut StdRng, at: f64) -> Arrival {
        let total: f64 = self.classes.iter().map(|class| class.part).sum();
        let mut class_draw = random.random_range(0.0..total);
        let class = self
            .classes
            .iter()
            .find(|class| {
                class_draw -= class.part;
                class_draw <= 0.0
            })
            .unwrap_or(&self.classes[0]);
        let weights: u32 = self.accounts.iter().map(|account| account.weight).sum();
        let mut account_draw = random.random_range(0..weights);
        let account = self
            .accounts
            .iter()
            .position(|account| match account_draw.checked_sub(account.weight) {
                Some(left) => {
                    account_draw = left;
                    false
                }
                None => true,
            })
            .unwrap_or(0);
        Arrival {
            at: MonotonicTime((at * 1e6) as u64),
            account,
            prompt: random.random_range(class.min..=class.max),
            answer: random.random_range(class.answer_min..=class.answer_max),
        }
    }
}

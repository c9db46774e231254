//! Mixes of prompts, from files, and the arrivals drawn from them.

use std::path::Path;

use eyre::{Result, WrapErr};
use oriolepass_units::MonotonicTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;

/// Prompts of one range of lengths.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixClass {
    part: f64,
    min: u64,
    max: u64,
    answer_min: u64,
    answer_max: u64,
}

/// One account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixAccount {
    /// Its part of the arrivals.
    pub weight: u32,
    /// Its configured share.
    pub share: u32,
}

/// What a deployment is asked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMix {
    /// Its name.
    pub name: String,
    /// Engines.
    pub engines: usize,
    /// Data centres, over which the engines are spread.
    pub data_centres: usize,
    /// One-way latency to callers in milliseconds.
    pub client_ms: u64,
    /// The accounts.
    pub accounts: Vec<MixAccount>,
    /// The classes of prompts.
    classes: Vec<MixClass>,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives.
    pub at: MonotonicTime,
    /// Its account.
    pub account: usize,
    /// Tokens of prompt.
    pub prompt: u64,
    /// Tokens of answer.
    pub answer: u64,
}

impl LoadMix {
    /// Reads a mix.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is no mix.
    pub fn load(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("{} cannot be read", file.display()))?;
        serde_json::from_str(&text).wrap_err_with(|| format!("{} is no mix", file.display()))
    }

    /// Returns the mean of a request's prompt and answer in tokens.
    pub fn mean_work(&self) -> f64 {
        let total: f64 = self.classes.iter().map(|class| class.part).sum();
        let mean = |class: &MixClass| {
            let bounds = class.min + class.max + class.answer_min + class.answer_max;
            class.part * bounds as f64 / 2.0
        };
        self.classes.iter().map(mean).sum::<f64>() / total
    }

    /// Draws arrivals at `rate` a second for `seconds`; bursts come at three times the rate for
    /// a quarter of the time.
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
            arrivals.push(self.draw_one(&mut random, at));
        }
        arrivals
    }

    fn draw_one(&self, random: &mut StdRng, at: f64) -> Arrival {
        let total: f64 = self.classes.iter().map(|class| class.part).sum();
        let mut pick = random.random_range(0.0..total);
        let class = self
            .classes
            .iter()
            .find(|class| {
                pick -= class.part;
                pick <= 0.0
            })
            .unwrap_or(&self.classes[0]);
        let weights: u32 = self.accounts.iter().map(|account| account.weight).sum();
        let mut place = random.random_range(0..weights);
        let account = self
            .accounts
            .iter()
            .position(|account| match place.checked_sub(account.weight) {
                Some(left) => {
                    place = left;
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

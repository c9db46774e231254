//! The recent answer times of one kind of request.

use std::collections::VecDeque;
use std::time::Duration;

use oriolepass_units::MonotonicTime;

/// The number of samples that are kept.
const MAX_SAMPLES: usize = 128;

/// The age from which samples no longer count. It is long, so that an instance with few requests
/// has enough samples; a change of the load shows in the recent samples.
const SAMPLE_TTL: Duration = Duration::from_secs(300);

/// The minimum number of samples for a statement about the tail.
const MIN_SAMPLES: usize = 20;

/// The minimum number of samples beyond a time for an estimate of what follows.
const MIN_TAIL_SAMPLES: usize = 3;

/// The age up to which samples show the present state of the endpoints.
const RECENT_SPAN: Duration = Duration::from_secs(3);

/// The minimum number of recent samples for a statement about the present state.
const MIN_RECENT_SAMPLES: usize = 5;

/// The times to the answer, or to the first event, of one kind of request at one service.
///
/// Times are stored as multiples of a scale, which is the predicted time where there is a
/// prediction and a constant otherwise. Requests of different sizes thereby become comparable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerTimes {
    samples: VecDeque<(MonotonicTime, f64)>,
}

impl AnswerTimes {
    /// Adds the time of a request that was answered. For a send that was cancelled, the time until
    /// then is a lower bound; it is added only if the time was far above the usual, since a short
    /// one would say nothing about the answer.
    pub fn record(&mut self, now: MonotonicTime, time: Duration, scale: Duration) {
        self.samples.push_back((now, multiple(time, scale)));
        let is_old = |at: MonotonicTime| now.since(at) > SAMPLE_TTL;
        while self.samples.len() > MAX_SAMPLES
            || self.samples.front().is_some_and(|(at, _)| is_old(*at))
        {
            self.samples.pop_front();
        }
    }

    /// Returns whether there are enough samples for a statement about the tail.
    pub fn has_enough(&self, now: MonotonicTime) -> bool {
        let is_counted = |at: MonotonicTime| now.since(at) <= SAMPLE_TTL;
        self.samples.iter().filter(|(at, _)| is_counted(*at)).count() >= MIN_SAMPLES
    }

    /// Returns a quantile of the times, or `None` if there are too few samples.
    pub fn quantile(&self, now: MonotonicTime, quantile: f64) -> Option<f64> {
        quantile_of(&mut self.values(now, SAMPLE_TTL), quantile, MIN_SAMPLES)
    }

    /// Returns the median of the samples of the last few seconds, or `None` if they are too few.
    pub fn recent_median(&self, now: MonotonicTime) -> Option<f64> {
        quantile_of(&mut self.values(now, RECENT_SPAN), 0.5, MIN_RECENT_SAMPLES)
    }

    /// Estimates how much longer a request takes that has taken `elapsed` so far.
    ///
    /// Where few requests ever took that long, the estimate is the time by which the request is
    /// overdue: the longer it is silent, the less is known about its end.
    pub fn remaining(&self, now: MonotonicTime, elapsed: f64) -> Option<f64> {
        let median = self.quantile(now, 0.5)?;
        let values = self.values(now, SAMPLE_TTL);
        let beyond: Vec<f64> = values.into_iter().filter(|value| *value > elapsed).collect();
        if beyond.len() < MIN_TAIL_SAMPLES {
            return Some((elapsed - median).max(0.0));
        }
        Some(beyond.iter().sum::<f64>() / beyond.len() as f64 - elapsed)
    }

    fn values(&self, now: MonotonicTime, span: Duration) -> Vec<f64> {
        let is_counted = |at: MonotonicTime| now.since(at) <= span;
        self.samples.iter().filter(|(at, _)| is_counted(*at)).map(|(_, value)| *value).collect()
    }
}

/// Returns a time as a multiple of a scale.
pub(crate) fn multiple(time: Duration, scale: Duration) -> f64 {
    time.as_secs_f64() / scale.as_secs_f64().max(f64::MIN_POSITIVE)
}

fn quantile_of(values: &mut [f64], quantile: f64, min_count: usize) -> Option<f64> {
    if values.len() < min_count {
        return None;
    }
    let at = ((values.len() - 1) as f64 * quantile).ceil() as usize;
    let (_, value, _) = values.select_nth_unstable_by(at, f64::total_cmp);
    Some(*value)
}

//! Prints tables and bar charts of latencies by prompt length class, and generates prompts.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::Duration;

use hdrhistogram::Histogram;
use oriolepass_schema::caller::{BYTES_PER_TOKEN, PromptBody};

/// Width of the longest bar in characters.
const MAX_BAR_WIDTH_CHARS: f64 = 40.0;

/// Returns a pseudo-random prompt of `tokens` tokens. The text is different for each seed.
pub fn text_prompt(seed: u64, tokens: usize) -> PromptBody {
    let length = tokens * BYTES_PER_TOKEN;
    let mut text = String::with_capacity(length + 16);
    let mut word = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    while text.len() < length {
        word ^= word << 13;
        word ^= word >> 7;
        word ^= word << 17;
        let _ = write!(text, "{:06x} ", word & 0xff_ffff);
    }
    text.truncate(length);
    PromptBody::Text(text)
}

/// Latency histograms by prompt length class or by other row names.
#[derive(Debug, Default)]
pub struct LatencyTable {
    rows: BTreeMap<String, Histogram<u64>>,
}

impl LatencyTable {
    /// Records a latency in a row.
    ///
    /// # Panics
    ///
    /// Panics when the latency is longer than a day.
    pub fn record(&mut self, row: &str, latency: Duration) {
        let histogram = self.rows.entry(row.to_owned()).or_insert_with(|| {
            Histogram::new_with_bounds(1, 86_400_000_000, 3).expect("valid bounds")
        });
        let micros = u64::try_from(latency.as_micros())
            .expect("the latency is within the histogram's bound of one day")
            .max(1);
        histogram.record(micros).expect("the latency is within the histogram's bound of one day");
    }

    /// Returns a quantile of a row in milliseconds, or `None` when the row has no samples.
    pub fn quantile_ms(&self, row: &str, quantile: f64) -> Option<f64> {
        self.rows.get(row).map(|h| h.value_at_quantile(quantile) as f64 / 1_000.0)
    }
}

impl fmt::Display for LatencyTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<24} {:>6} {:>9} {:>9} {:>9} {:>9}",
            "", "count", "p50 ms", "p95 ms", "p99 ms", "max ms"
        )?;
        let ms = |value: u64| value as f64 / 1_000.0;
        for (row, histogram) in &self.rows {
            writeln!(
                f,
                "{row:<24} {:>6} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
                histogram.len(),
                ms(histogram.value_at_quantile(0.5)),
                ms(histogram.value_at_quantile(0.95)),
                ms(histogram.value_at_quantile(0.99)),
                ms(histogram.max()),
            )?;
        }
        let longest = self.rows.values().map(|h| h.value_at_quantile(0.95)).max().unwrap_or(1);
        writeln!(f, "\n95th percentile, on a logarithmic scale")?;
        for (row, histogram) in &self.rows {
            let value = histogram.value_at_quantile(0.95).max(1);
            let share = (value as f64).ln() / (longest.max(2) as f64).ln();
            let width = (share * MAX_BAR_WIDTH_CHARS).round().max(1.0) as usize;
            writeln!(f, "{row:<24} {} {:.1} ms", "#".repeat(width), ms(value))?;
        }
        Ok(())
    }
}

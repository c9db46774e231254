//! Permits to send requests to one endpoint, issued at a rate.

use std::time::Duration;

use oriolepass_units::{MonotonicTime, RequestRate};

/// The span over which unused permits accumulate. It evens out requests that arrive together, and
/// is short beside any span over which an endpoint may count its requests.
const BURST_SPAN: Duration = Duration::from_millis(250);

/// The span whose permits may be taken in advance. Requests that another issuer has permitted are
/// charged late, and count no further back than this.
const MAX_DEBT_SPAN: Duration = Duration::from_millis(1_000);

/// The permits of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitBucket {
    rate: RequestRate,
    permits: f64,
    updated_at: MonotonicTime,
}

impl PermitBucket {
    /// Creates a bucket without permits that issues them from `begins` on: the request whose answer
    /// named the rate has taken the first one.
    pub fn empty(begins: MonotonicTime, rate: RequestRate) -> Self {
        Self { rate, permits: 0.0, updated_at: begins }
    }

    /// Sets the rate from now on.
    pub fn set_rate(&mut self, now: MonotonicTime, rate: RequestRate) {
        if rate != self.rate {
            self.refill(now);
            self.rate = rate;
            self.permits = self.permits.min(self.capacity());
        }
    }

    /// Returns the number of permits, which is negative after charges in advance.
    pub fn permits(&self, now: MonotonicTime) -> f64 {
        let issued = self.rate.per_second() * now.since(self.updated_at).as_secs_f64();
        (self.permits + issued).min(self.capacity())
    }

    /// Returns the rate at which permits are issued.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Takes one permit, in advance if there is none.
    pub fn charge(&mut self, now: MonotonicTime) {
        self.refill(now);
        let max_debt = (self.rate.per_second() * MAX_DEBT_SPAN.as_secs_f64()).max(1.0);
        self.permits = (self.permits - 1.0).max(-max_debt);
    }

    fn refill(&mut self, now: MonotonicTime) {
        self.permits = self.permits(now);
        self.updated_at = now;
    }

    /// Returns the maximum number of permits: one, and what accumulates until it is taken.
    fn capacity(&self) -> f64 {
        1.0 + self.rate.per_second() * BURST_SPAN.as_secs_f64()
    }
}

/// The permits of several endpoints, any of which serves a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PermitForecast {
    /// The permits of each endpoint at present and its rate per second.
    endpoints: Vec<(f64, f64)>,
}

impl PermitForecast {
    /// Creates a forecast from the buckets of endpoints.
    pub fn of<'a>(now: MonotonicTime, buckets: impl IntoIterator<Item = &'a PermitBucket>) -> Self {
        let state = |bucket: &PermitBucket| {
            let rate = bucket.rate().per_second();
            let begins_in = bucket.updated_at.since(now).as_secs_f64();
            (bucket.permits(now) - rate * begins_in, rate)
        };
        Self { endpoints: buckets.into_iter().map(state).collect() }
    }

    /// Returns the rate of all endpoints together.
    pub fn rate(&self) -> f64 {
        self.endpoints.iter().map(|(_, rate)| rate).sum()
    }

    /// Returns how many permits can be taken now.
    pub fn available(&self) -> usize {
        self.issued_within(0.0)
    }

    /// Returns the time until `count` permits have been issued, counting those that can be taken
    /// now, or `None` if that takes longer than `limit`.
    pub fn time_until(&self, count: usize, limit: Duration) -> Option<Duration> {
        if self.available() >= count {
            return Some(Duration::ZERO);
        }
        let (mut too_early, mut late_enough) = (0.0, limit.as_secs_f64());
        if self.issued_within(late_enough) < count {
            return None;
        }
        while late_enough - too_early > TIME_RESOLUTION_S {
            let middle = f64::midpoint(too_early, late_enough);
            if self.issued_within(middle) < count {
                too_early = middle;
            } else {
                late_enough = middle;
            }
        }
        Some(Duration::from_secs_f64(late_enough))
    }

    fn issued_within(&self, seconds: f64) -> usize {
        let issued =
            |(permits, rate): &(f64, f64)| (permits + rate * seconds + ROUNDING_ERROR) as usize;
        self.endpoints.iter().map(issued).sum()
    }
}

/// The resolution of forecasts, in seconds: less than a hop between instances.
const TIME_RESOLUTION_S: f64 = 0.000_5;

/// The error of computed numbers of permits.
pub(crate) const ROUNDING_ERROR: f64 = 1e-6;

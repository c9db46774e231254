//! Defines the metrics of the daemon.

use oriolepass_gateway::registered_metric;
use oriolepass_scheduler::LengthClass;
use oriolepass_units::AccountId;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// The bucket bounds of the histograms of the time to first token, in seconds.
const FIRST_TOKEN_BUCKETS_S: &[f64] =
    &[0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0];

/// The metrics of the daemon and their registry.
pub(crate) struct DaemonMetrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) first_token: HistogramVec,
    pub(crate) first_token_account: HistogramVec,
    pub(crate) running: IntGauge,
    pub(crate) buffered_bytes: IntGauge,
    pub(crate) stray_pieces: IntCounter,
    pub(crate) retries: IntCounter,
    pub(crate) ring_depth: IntGaugeVec,
    pub(crate) ring_full: IntCounterVec,
    pub(crate) engine_held: IntGauge,
    pub(crate) engine_unexplained: IntGauge,
    pub(crate) endpoints: IntGaugeVec,
    pub(crate) waiting: IntGauge,
    pub(crate) config_revision: IntGauge,
    pub(crate) is_leader: IntGauge,
    pub(crate) log_syncs: IntCounter,
    pub(crate) log_entries: IntCounter,
    pub(crate) unsettled_claims: IntGauge,
}

impl DaemonMetrics {
    /// Registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics have the same name, which is a bug in this module.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter =
            |name: &str, help: &str| registered_metric(&registry, IntCounter::new(name, help));
        let gauge =
            |name: &str, help: &str| registered_metric(&registry, IntGauge::new(name, help));
        let counters = |name: &str, help: &str, label: &str| {
            registered_metric(&registry, IntCounterVec::new(Opts::new(name, help), &[label]))
        };
        let gauges = |name: &str, help: &str, label: &str| {
            registered_metric(&registry, IntGaugeVec::new(Opts::new(name, help), &[label]))
        };
        let histograms = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(FIRST_TOKEN_BUCKETS_S.to_vec());
            registered_metric(&registry, HistogramVec::new(options, &[label]))
        };
        Self {
            requests: counters("oriolepass_requests_total", "Requests by outcome", "outcome"),
            first_token: histograms(
                "oriolepass_first_token_seconds",
                "Time to first token by length class",
                "class",
            ),
            first_token_account: histograms(
                "oriolepass_account_first_token_seconds",
                "Time to first token by account",
                "account",
            ),
            running: gauge("oriolepass_running", "Requests admitted and not ended"),
            buffered_bytes: gauge("oriolepass_buffered_bytes", "Request bodies in memory"),
            stray_pieces: counter("oriolepass_stray_pieces_total", "Pieces dropped as not own"),
            retries: counter("oriolepass_retries_total", "Attempts after the first"),
            ring_depth: gauges("oriolepass_ring_depth", "Messages that wait in a ring", "ring"),
            ring_full: counters("oriolepass_ring_full_total", "Messages refused by a ring", "ring"),
            engine_held: gauge("oriolepass_engine_held_tokens", "Memory in the ledger"),
            engine_unexplained: gauge(
                "oriolepass_engine_unexplained_tokens",
                "Memory that endpoints report and no lease explains",
            ),
            endpoints: gauges("oriolepass_endpoints", "Endpoints of this home by state", "state"),
            waiting: gauge("oriolepass_waiting", "Asks that wait at this home"),
            config_revision: gauge("oriolepass_config_revision", "Revision in force here"),
            is_leader: gauge("oriolepass_is_leader", "Whether this daemon leads the log"),
            log_syncs: counter("oriolepass_log_syncs_total", "Syncs of the log"),
            log_entries: counter("oriolepass_log_entries_total", "Entries applied"),
            unsettled_claims: gauge(
                "oriolepass_unsettled_claims",
                "Ended non-repeatable requests whose claim is not settled yet",
            ),
            registry,
        }
    }

    pub(crate) fn observe_first_token(
        &self,
        class: LengthClass,
        account: &AccountId,
        seconds: f64,
    ) {
        self.first_token.with_label_values(&[class.name()]).observe(seconds);
        self.first_token_account.with_label_values(&[account.as_str()]).observe(seconds);
    }

    pub(crate) fn ring_refused(&self, ring: &str) {
        self.ring_full.with_label_values(&[ring]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("writing to memory does not fail");
        text
    }
}

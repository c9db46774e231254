//! Counters, gauges and histograms in the Prometheus text format.

use oriolepass_placement::AppointmentCounts;
use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Histogram buckets for latencies, in seconds: from a hop between data centres to the longest
/// deadline.
const LATENCY_BUCKETS_S: &[f64] =
    &[0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 15.0];

/// The metrics of a gateway.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    /// Requests by the status of the answer to the caller.
    pub(crate) requests: IntCounterVec,
    /// Time from a request's arrival to its first event or its answer, by kind.
    pub(crate) first_answer: HistogramVec,
    /// Time from a request's arrival to its end, by kind.
    pub(crate) whole_answer: HistogramVec,
    /// Time for choosing an endpoint, by the daemon that decided.
    pub(crate) placement: HistogramVec,
    /// Sends to endpoints by outcome.
    pub(crate) sends: IntCounterVec,
    /// Probes of endpoints whose connection was lost during a request, by outcome.
    pub(crate) end_probes: IntCounterVec,
    /// Answers that ended with their connections, by the evidence of whether they are complete.
    pub(crate) unframed_ends: IntCounterVec,
    /// Suspect requests: requests under which endpoints ended, perhaps by chance.
    pub(crate) suspects: IntGauge,
    /// Quarantined requests: requests that end their endpoints and are not sent.
    pub(crate) quarantined: IntGauge,
    pub(crate) quarantined_parts: IntGauge,
    /// The time that reviews of the quarantine table took.
    pub(crate) quarantine_reviews: Histogram,
    /// Repeated sends that the retry budget refused.
    pub(crate) budget_refusals: IntCounter,
    /// Second sends of slow requests, by outcome.
    pub(crate) second_sends: IntCounterVec,
    /// Work of second sends to engines, in milliseconds of reading.
    pub(crate) second_send_work: IntCounter,
    /// Slow requests without a second send, by reason.
    pub(crate) second_sends_skipped: IntCounterVec,
    /// Streams that were resumed at another endpoint.
    pub(crate) resumes: IntCounter,
    /// Time that requests waited for this daemon to start, by outcome.
    pub(crate) start_waits: HistogramVec,
    /// Requests refused, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Appointments of prompts that were refused because of load, by outcome.
    pub(crate) appointments: IntCounterVec,
    /// Prompts that this daemon refused to place, by priority. Those that ask again are left out.
    pub(crate) engine_refusals: IntCounterVec,
    /// Time that engines need to read the prompts that this daemon placed, by priority.
    pub(crate) engine_work: IntCounterVec,
    /// Client accounts above their share of the engines, at the home.
    pub(crate) accounts_over_share: IntGauge,
    /// Requests in progress.
    pub(crate) active: IntGauge,
    /// The revision of the routing document in force.
    pub(crate) revision: IntGauge,
    /// Age of the proof that the routing document is current, in milliseconds.
    pub(crate) proof_age: IntGauge,
    /// Whether this daemon is the leader of the log.
    pub(crate) is_leader: IntGauge,
    /// Whether this daemon's replica of the log is running.
    pub(crate) replica_runs: IntGauge,
    /// Voters that the leader's settings require; zero on the other daemons.
    pub(crate) voters_wanted: IntGauge,
    /// Voters that have answered this leader recently.
    pub(crate) voters_live: IntGauge,
    /// Voters that are required and not live.
    pub(crate) voters_lacking: IntGauge,
    /// Other daemons that were heard from recently.
    pub(crate) peers: IntGauge,
    /// Messages sent to other daemons, by kind.
    pub(crate) peer_messages: IntCounterVec,
    /// Bytes sent to other daemons, by kind of message.
    pub(crate) peer_bytes: IntCounterVec,
    /// Suspensions of the machine.
    pub(crate) suspensions: IntCounter,
    /// By how much the event loop was late.
    pub(crate) loop_delay: Histogram,
    /// Endpoints that take new work.
    pub(crate) endpoints: IntGauge,
    /// Endpoints that name a limit on their request rate.
    pub(crate) limited_endpoints: IntGauge,
    /// Endpoints that asked this daemon for a rest that has not ended.
    pub(crate) resting_endpoints: IntGauge,
    /// Engines that count as slow where this daemon places prompts.
    pub(crate) slow_engines: IntGauge,
    /// Answers in which endpoints asked this daemon for rest, by outcome.
    pub(crate) rests: IntCounterVec,
    /// Whether this daemon reaches no endpoint by itself.
    pub(crate) is_cut_off: IntGauge,
    /// Tunnels to endpoints that this daemon asked others for, by outcome.
    pub(crate) tunnels: IntCounterVec,
    /// Tunnels of other daemons through this one.
    pub(crate) open_tunnels: IntGauge,
    /// Announcements that could not be parsed.
    pub(crate) skipped_entries: IntCounter,
    /// Syncs of the log.
    pub(crate) syncs: IntCounter,
    /// Time that the disk took for each sync.
    pub(crate) sync_seconds: Histogram,
    /// Reservations of engine memory by outcome.
    pub(crate) reservations: IntCounterVec,
    /// Bytes held for callers and endpoints, by kind.
    pub(crate) held_bytes: IntGaugeVec,
    /// Log lines dropped and not yet reported.
    pub(crate) lines_dropped: IntGauge,
}

/// Registers a metric.
///
/// # Panics
///
/// Panics when the name is invalid or already registered, which is an error in the calling code.
pub fn registered_metric<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("a valid name");
    registry.register(Box::new(metric.clone())).expect("a name that is not registered yet");
    metric
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter =
            |name: &str, help: &str| registered_metric(&registry, IntCounter::new(name, help));
        let gauge =
            |name: &str, help: &str| registered_metric(&registry, IntGauge::new(name, help));
        let counters = |name: &str, help: &str, label: &str| {
            registered_metric(&registry, IntCounterVec::new(Opts::new(name, help), &[label]))
        };
        let seconds = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            registered_metric(&registry, HistogramVec::new(options, &[label]))
        };
        Self {
            requests: counters("oriolepass_requests_total", "Requests by status", "status"),
            first_answer: seconds(
                "oriolepass_first_answer_seconds",
                "Arrival to first event or answer",
                "kind",
            ),
            whole_answer: seconds("oriolepass_whole_answer_seconds", "Arrival to end", "kind"),
            placement: seconds("oriolepass_placement_seconds", "Finding an endpoint", "decided_by"),
            sends: counters("oriolepass_sends_total", "Sends to endpoints", "outcome"),
            end_probes: counters(
                "oriolepass_endpoint_end_looks_total",
                "Looks at endpoints that lost an answer",
                "outcome",
            ),
            unframed_ends: counters(
                "oriolepass_unframed_ends_total",
                "Answers that ended with their connections",
                "evidence",
            ),
            suspects: gauge("oriolepass_suspect_requests", "Requests under which endpoints ended"),
            quarantined: gauge("oriolepass_quarantined_requests", "Requests that are not sent"),
            quarantined_parts: gauge(
                "oriolepass_quarantined_parts",
                "Parts of prompts whose prompts are not sent",
            ),
            budget_refusals: counter(
                "oriolepass_retry_budget_refusals_total",
                "Repeated sends that the budget refused",
            ),
            second_sends: counters(
                "oriolepass_second_sends_total",
                "Second sends of slow requests",
                "outcome",
            ),
            second_send_work: counter(
                "oriolepass_second_send_work_ms_total",
                "Engines' reading for second sends, in milliseconds",
            ),
            second_sends_skipped: counters(
                "oriolepass_second_sends_skipped_total",
                "Slow requests without a second send",
                "reason",
            ),
            resumes: counter("oriolepass_stream_resumes_total", "Streams that moved on"),
            start_waits: seconds(
                "oriolepass_start_wait_seconds",
                "Waiting for this daemon to start",
                "outcome",
            ),
            refusals: counters("oriolepass_refusals_total", "Requests refused", "reason"),
            appointments: counters(
                "oriolepass_appointments_total",
                "Appointments of prompts refused because of load",
                "outcome",
            ),
            engine_refusals: counters(
                "oriolepass_engine_refusals_total",
                "Prompts that this daemon refused to place",
                "priority",
            ),
            engine_work: counters(
                "oriolepass_engine_work_ms_total",
                "Time of engines for reading the prompts that this daemon placed",
                "priority",
            ),
            accounts_over_share: gauge(
                "oriolepass_accounts_over_share",
                "Client accounts above their share of the engines, at the home",
            ),
            active: gauge("oriolepass_active_requests", "Requests under way"),
            revision: gauge("oriolepass_routing_revision", "Revision in force"),
            proof_age: gauge("oriolepass_routing_proof_age_ms", "Age of the proof of freshness"),
            is_leader: gauge("oriolepass_is_leader", "Whether this daemon leads the log"),
            replica_runs: gauge("oriolepass_replica_runs", "Whether the replica of the log runs"),
            voters_wanted: gauge(
                "oriolepass_voters_wanted",
                "Voters that the settings require, at the leader",
            ),
            voters_live: gauge("oriolepass_voters_live", "Voters that answer, at the leader"),
            voters_lacking: gauge(
                "oriolepass_voters_lacking",
                "Voters that are required and do not answer, at the leader",
            ),
            peers: gauge("oriolepass_peers", "Daemons heard lately"),
            peer_messages: counters(
                "oriolepass_peer_messages_total",
                "Messages to other daemons, by kind",
                "kind",
            ),
            peer_bytes: counters(
                "oriolepass_peer_bytes_total",
                "Bytes to other daemons, by kind",
                "kind",
            ),
            quarantine_reviews: registered_metric(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "oriolepass_quarantine_review_seconds",
                        "Time of a review of the quarantine table",
                    )
                    .buckets(LATENCY_BUCKETS_S.to_vec()),
                ),
            ),
            suspensions: counter("oriolepass_suspensions_total", "Suspensions of the machine"),
            loop_delay: registered_metric(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "oriolepass_event_loop_delay_seconds",
                        "By how much the event loop was late",
                    )
                    .buckets(LATENCY_BUCKETS_S.to_vec()),
                ),
            ),
            endpoints: gauge("oriolepass_endpoints", "Endpoints that take work"),
            limited_endpoints: gauge(
                "oriolepass_limited_endpoints",
                "Endpoints that name a limit on their request rate",
            ),
            resting_endpoints: gauge(
                "oriolepass_resting_endpoints",
                "Endpoints that asked this daemon for a rest that has not ended",
            ),
            slow_engines: gauge(
                "oriolepass_slow_engines",
                "Engines that are slower than published",
            ),
            rests: counters(
                "oriolepass_rests_total",
                "Answers in which endpoints asked this daemon for rest",
                "outcome",
            ),
            is_cut_off: gauge("oriolepass_is_cut_off", "Whether no endpoint is reached directly"),
            tunnels: counters(
                "oriolepass_tunnels_total",
                "Tunnels to endpoints that others were asked for",
                "outcome",
            ),
            open_tunnels: gauge("oriolepass_open_tunnels", "Tunnels of others through this daemon"),
            skipped_entries: counter(
                "oriolepass_skipped_entries_total",
                "Announcements that could not be read",
            ),
            syncs: counter("oriolepass_log_syncs_total", "Syncs of the log"),
            sync_seconds: registered_metric(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new("oriolepass_log_sync_seconds", "Time of a sync of the log")
                        .buckets(LATENCY_BUCKETS_S.to_vec()),
                ),
            ),
            reservations: counters(
                "oriolepass_reservations_total",
                "Reservations of engines' memory",
                "outcome",
            ),
            held_bytes: registered_metric(
                &registry,
                IntGaugeVec::new(
                    Opts::new("oriolepass_held_bytes", "Bytes held for callers and endpoints"),
                    &["kind"],
                ),
            ),
            lines_dropped: gauge("oriolepass_log_lines_dropped", "Dropped and not reported yet"),
            registry,
        }
    }

    /// Adds outcomes of appointments.
    pub(crate) fn record_appointments(&self, counts: &AppointmentCounts) {
        let outcomes = [
            ("given", counts.given),
            ("declined", counts.declined),
            ("kept", counts.kept),
            ("lapsed", counts.lapsed),
            ("adopted", counts.adopted),
        ];
        for (outcome, count) in outcomes.into_iter().filter(|(_, count)| *count > 0) {
            self.appointments.with_label_values(&[outcome]).inc_by(count);
        }
    }

    /// Encodes all metrics in the text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for a metric without a value, which cannot be registered.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

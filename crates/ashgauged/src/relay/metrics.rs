//! Metrics for operators, in the Prometheus text format.

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Bucket bounds of the latency histograms, in seconds, around the target latencies of
/// routes.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
];

/// Bucket bounds of the ratios of actual to forecast times: steps of the square root of 2
/// over the range of the calibration.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.354, 0.5, 0.707, 1.0, 1.414, 2.0, 2.828, 4.0];

/// Bucket bounds of the number of runs of a request.
const RUN_BUCKETS: [f64; 8] = [0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 11.0];

/// Counters, gauges and histograms of one box.
pub struct Metrics {
    registry: Registry,
    /// Requests, by how they ended.
    pub requests: IntCounterVec,
    /// Sends to upstreams, by outcome.
    pub sends: IntCounterVec,
    /// Retries requested from the budget, by whether it allowed them.
    pub retries: IntCounterVec,
    /// Repairs, resends and checks under overload, by purpose and result.
    pub recovery: IntCounterVec,
    /// Repairs of streams, by kind.
    pub repairs: IntCounterVec,
    /// Calls to the store, by kind and result.
    pub store_calls: IntCounterVec,
    /// Orders to engines, by reply.
    pub orders: IntCounterVec,
    /// Datagrams received from other boxes, by how they were handled.
    pub datagrams: IntCounterVec,
    /// Upstreams lost while they ran a request, by whether it had delivered events.
    pub lost_runs: IntCounterVec,
    /// Runs of requests without attempts left, by the proof that their upstreams have ended.
    pub checked_runs: IntCounterVec,
    /// Sends of a request after which it may have run.
    pub runs: Histogram,
    /// Responses in which upstreams requested a backoff.
    pub backoffs: IntCounter,
    /// Sends to upstreams during a backoff that they requested.
    pub backoff_sends: IntCounter,
    /// Permit requests, by result.
    pub permits: IntCounterVec,
    /// Upstreams that announce a rate limit.
    pub limited_upstreams: IntGauge,
    /// Sends to upstreams that announce a rate limit.
    pub limited_sends: IntCounter,
    /// Streams, by whether the level admitted them.
    pub admissions: IntCounterVec,
    /// Number of classes admitted in full; -1 if all are.
    pub level: IntGauge,
    /// Utilization of the engines by bound, as shares.
    pub pressure: GaugeVec,
    /// Upstreams that became suspect.
    pub suspects: IntCounter,
    /// Engines that other boxes reported as suspect, by result.
    pub reported_suspects: IntCounterVec,
    /// Time to the first byte of a response.
    pub first_seconds: Histogram,
    /// Time to the end of a response.
    pub total_seconds: Histogram,
    /// Time from a stream's last event before a repair to its next event.
    pub repair_gap: Histogram,
    /// Actual times to first events, divided by their forecasts.
    pub forecast_ratio: Histogram,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Age of the configuration in milliseconds; -1 before the first confirmation.
    pub config_age: IntGauge,
    /// Number of restores of the store from a copy.
    pub store_era: IntGauge,
    /// Requests that are quarantined because upstreams fail while running them.
    pub held_requests: IntGauge,
    /// Sends through other boxes and requests of other boxes, by result.
    pub egress: IntCounterVec,
    /// Whether there is a service of which this box reaches no upstream: 1 if so, else 0.
    pub cut_off: IntGauge,
    /// Requests in flight.
    pub inflight: IntGauge,
    /// Log lines that were dropped.
    pub dropped_lines: IntGauge,
    /// Connections of callers that were accepted.
    pub connections: IntCounter,
    /// Delay of the last timer in milliseconds.
    pub timer_delay: IntGauge,
    /// Times in which timers were so late that requests are late.
    pub stalls: IntCounter,
    /// Panics of this process.
    pub panics: IntGauge,
    /// Searches for parts of prompts that crash upstreams.
    pub loss_searches: IntGauge,
    /// Upstreams that are not used for a fault of their entries.
    pub faulty_entries: IntGauge,
    /// Bytes that messages take, by who sends them.
    pub message_bytes: IntGaugeVec,
    /// Bytes that messages may take, by who sends them.
    pub message_limit: IntGaugeVec,
    /// Messages that got no memory, by who sends them.
    pub message_refusals: IntGaugeVec,
    /// Requests that got an answer, by whether it began within the route's target latency.
    pub answers: IntCounterVec,
    /// Tasks that should last as long as the process and have ended.
    pub ended_tasks: IntGauge,
}

impl Metrics {
    /// Creates all metrics with the value zero.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let labelled = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            prometheus::Result::Ok(counters)
        };
        let counters = |name: &str, help: &str, label: &str| labelled(name, help, &[label]);
        let distribution = |name: &str, help: &str, buckets: &[f64]| {
            let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = Histogram::with_opts(opts)?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        let histogram = |name: &str, help: &str| distribution(name, help, &LATENCY_BUCKETS);
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let senders = |name: &str, help: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &["sender"])?;
            registry.register(Box::new(gauges.clone()))?;
            prometheus::Result::Ok(gauges)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let pressure = Opts::new(
            "ashgauge_pressure",
            "Share of a bound of the engines in use, of the service under the highest pressure",
        );
        let pressure = GaugeVec::new(pressure, &["bound"])?;
        registry.register(Box::new(pressure.clone()))?;
        Ok(Metrics {
            requests: counters("ashgauge_requests_total", "Requests by end", "end")?,
            sends: counters("ashgauge_sends_total", "Sends by outcome", "outcome")?,
            retries: counters("ashgauge_retries_total", "Retries by result", "result")?,
            repairs: counters("ashgauge_repairs_total", "Repairs of streams", "kind")?,
            recovery: labelled(
                "ashgauge_recovery_total",
                "Repairs, resends and checks by use and result",
                &["use", "result"],
            )?,
            store_calls: labelled(
                "ashgauge_store_calls_total",
                "Store calls by kind and result",
                &["call", "result"],
            )?,
            orders: counters("ashgauge_orders_total", "Orders by reply", "reply")?,
            lost_runs: counters(
                "ashgauge_lost_runs_total",
                "Runs whose upstream was lost, by events before",
                "events",
            )?,
            checked_runs: counters(
                "ashgauge_checked_runs_total",
                "Runs of requests without attempts left, by proof that their upstreams have ended",
                "proof",
            )?,
            runs: distribution(
                "ashgauge_runs",
                "Sends of a request after which it may have run",
                &RUN_BUCKETS,
            )?,
            datagrams: counters("ashgauge_words_total", "Datagrams of other boxes", "result")?,
            first_seconds: histogram("ashgauge_first_seconds", "Time to the first byte")?,
            total_seconds: histogram("ashgauge_whole_seconds", "Time to the end")?,
            repair_gap: histogram("ashgauge_repair_gap_seconds", "Pause of a repaired stream")?,
            forecast_ratio: distribution(
                "ashgauge_forecast_ratio",
                "Actual times to first events, divided by their forecasts",
                &RATIO_BUCKETS,
            )?,
            config_version: gauge("ashgauge_config_version", "Configuration in force")?,
            config_age: gauge(
                "ashgauge_config_age_ms",
                "Time since the configuration was last confirmed to be in force",
            )?,
            store_era: gauge("ashgauge_store_era", "Returns of the store from a copy")?,
            held_requests: gauge("ashgauge_held_requests", "Requests that are held back")?,
            egress: counters("ashgauge_egress_total", "Sends between boxes", "result")?,
            cut_off: gauge(
                "ashgauge_cut_off",
                "1 if this box reaches no upstream of some service",
            )?,
            inflight: gauge("ashgauge_inflight", "Requests under way")?,
            dropped_lines: gauge("ashgauge_log_dropped", "Lines of the log that were dropped")?,
            connections: counter("ashgauge_connections_total", "Callers' connections")?,
            timer_delay: gauge("ashgauge_timer_delay_ms", "Delay of the last timer")?,
            stalls: counter(
                "ashgauge_stalls_total",
                "Times in which the box did not run",
            )?,
            panics: gauge("ashgauge_panics", "Panics of this process")?,
            loss_searches: gauge("ashgauge_loss_searches", "Searches for crashing parts")?,
            faulty_entries: gauge("ashgauge_faulty_entries", "Entries that are left out")?,
            message_bytes: senders("ashgauge_message_bytes", "Memory that messages take")?,
            message_limit: senders("ashgauge_message_limit_bytes", "Memory for messages")?,
            message_refusals: senders(
                "ashgauge_messages_without_memory",
                "Messages that got no memory",
            )?,
            answers: counters(
                "ashgauge_answers_total",
                "Answers by whether they began in time",
                "result",
            )?,
            ended_tasks: gauge("ashgauge_tasks_ended", "Tasks that have ended")?,
            backoffs: counter("ashgauge_rests_total", "Rests that upstreams asked for")?,
            backoff_sends: counter("ashgauge_sends_at_rest_total", "Sends to upstreams at rest")?,
            permits: counters("ashgauge_permits_total", "Permits by result", "result")?,
            limited_upstreams: gauge("ashgauge_limited_upstreams", "Upstreams that name a limit")?,
            limited_sends: counter(
                "ashgauge_limited_sends_total",
                "Sends to upstreams that name a limit",
            )?,
            admissions: counters(
                "ashgauge_admissions_total",
                "Streams by whether the level admitted them",
                "result",
            )?,
            level: gauge(
                "ashgauge_level",
                "Classes admitted in full, -1 if all are, of the service under the highest pressure",
            )?,
            pressure,
            suspects: counter("ashgauge_suspects_total", "Upstreams that became suspect")?,
            reported_suspects: counters(
                "ashgauge_suspects_heard_total",
                "Engines that other boxes reported, by result",
                "result",
            )?,
            registry,
        })
    }

    /// Encodes all metrics in the text format.
    pub fn encode(&self) -> String {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(e) => format!("# metrics cannot be written: {e}\n"),
        }
    }
}

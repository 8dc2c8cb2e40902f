//! Figures for operators, in the text form of `prometheus`.

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Bounds of the latency histograms, in seconds: around the aims of routes.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
];

/// Bounds of the ratios of actual to forecast times: steps of the square root of 2 over
/// the range that is learned.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.354, 0.5, 0.707, 1.0, 1.414, 2.0, 2.828, 4.0];

/// Counters and histograms of one box.
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: IntCounterVec,
    /// Sends to upstreams by outcome.
    pub sends: IntCounterVec,
    /// Retries that were asked for, by whether the budget had one left.
    pub retries: IntCounterVec,
    /// Repairs, resends and checks under overload, by use and result.
    pub recovery: IntCounterVec,
    /// Repairs of streams by kind.
    pub repairs: IntCounterVec,
    /// Calls to the store by kind and result.
    pub store_calls: IntCounterVec,
    /// Orders to engines by reply.
    pub orders: IntCounterVec,
    /// Datagrams of other boxes, by what became of them.
    pub datagrams: IntCounterVec,
    /// Upstreams lost while they ran a request, by whether it had brought events.
    pub lost_runs: IntCounterVec,
    /// Answers by which upstreams wanted nothing from this box for some time.
    pub backoffs: IntCounter,
    /// Sends to upstreams within such times.
    pub backoff_sends: IntCounter,
    /// Permits that were asked for, by what came of it.
    pub permits: IntCounterVec,
    /// Upstreams that name a limit.
    pub limited_upstreams: IntGauge,
    /// Sends to such upstreams.
    pub limited_sends: IntCounter,
    /// Streams by whether the level admitted them.
    pub admissions: IntCounterVec,
    /// Classes that are admitted in full; -1 if all are.
    pub level: IntGauge,
    /// Use of the engines by bound, as shares.
    pub pressure: GaugeVec,
    /// Upstreams that became suspect.
    pub suspects: IntCounter,
    /// Engines that other boxes reported, by what came of it.
    pub reported_suspects: IntCounterVec,
    /// Time to the first byte of an answer.
    pub first_seconds: Histogram,
    /// Time to the end of an answer.
    pub total_seconds: Histogram,
    /// Time from a stream's last event before a repair to the next one.
    pub repair_gap: Histogram,
    /// Actual times to first events, divided by their forecasts.
    pub forecast_ratio: Histogram,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// How often the store has come back from a copy.
    pub store_era: IntGauge,
    /// Requests that are held back, as they end upstreams.
    pub held_requests: IntGauge,
    /// Requests under way.
    pub inflight: IntGauge,
    /// Lines of the log that were dropped.
    pub dropped_lines: IntGauge,
}

impl Metrics {
    /// Makes them, all zero.
    ///
    /// # Errors
    ///
    /// Fails if two have one name.
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
            store_era: gauge("ashgauge_store_era", "Returns of the store from a copy")?,
            held_requests: gauge("ashgauge_held_requests", "Requests that are held back")?,
            inflight: gauge("ashgauge_inflight", "Requests under way")?,
            dropped_lines: gauge("ashgauge_log_dropped", "Lines of the log that were dropped")?,
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

    /// Writes all of them as text.
    pub fn encode(&self) -> String {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(e) => format!("# metrics cannot be written: {e}\n"),
        }
    }
}

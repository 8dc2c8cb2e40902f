//! Metrics in the Prometheus text format.

use ashgauge::node::Status;
use prometheus::{Encoder, Gauge, GaugeVec, Opts, Registry, TextEncoder};

/// Returns a box's state as metrics.
pub fn render(status: &Status) -> String {
    let registry = Registry::new();
    register_all(&registry, status);
    let mut text = Vec::new();
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    String::from_utf8(text).unwrap_or_default()
}

fn register_all(registry: &Registry, status: &Status) {
    let s = &status.stats;
    let gauges = [
        (
            "ready",
            "1 if the balancer may send requests",
            u64::from(status.ready),
        ),
        (
            "table_version",
            "version of the table in force",
            status.version,
        ),
        (
            "lease_term",
            "term of the lease for orders, 0 if not held",
            status.lease_term.unwrap_or(0),
        ),
        (
            "requests_inflight",
            "requests in flight or waiting",
            status.inflight as u64,
        ),
        (
            "requests_arrived_total",
            "requests that callers sent",
            s.arrived,
        ),
        (
            "requests_started_total",
            "requests with a first try",
            s.started,
        ),
        (
            "requests_restarted_total",
            "whole second tries",
            s.restarted,
        ),
        (
            "stages_replaced_total",
            "stages replaced in mid-request",
            s.replaced,
        ),
        ("orders_lost_total", "orders that brought no answer", s.lost),
        (
            "frames_dropped_total",
            "frames that matched no order",
            s.dropped,
        ),
        ("tokens_total", "tokens given to callers", s.tokens),
        ("peer_messages_total", "messages to other boxes", s.sent),
        ("platform_reads_total", "reads of the store", s.reads),
        ("platform_writes_total", "writes to the store", s.writes),
    ];
    for (name, help, value) in gauges {
        register_gauge(registry, name, help, value as f64);
    }
    let refused = s.refused.iter().map(|(k, n)| (k.as_str(), *n as f64));
    register_gauges(
        registry,
        "refused_total",
        "refusals by kind",
        "kind",
        refused,
    );
    let ended = s.ended.iter().map(|(k, n)| (k.as_str(), *n as f64));
    register_gauges(
        registry,
        "ended_total",
        "ended requests by outcome",
        "outcome",
        ended,
    );
    let waiting = status.waiting.iter().map(|(k, n)| (k.as_str(), *n as f64));
    register_gauges(
        registry,
        "waiting",
        "waiting requests by route",
        "route",
        waiting,
    );
    let held = status.upstreams.iter().map(|u| (&*u.id, f64::from(u.held)));
    register_gauges(
        registry,
        "upstream_held",
        "requests held on an upstream",
        "upstream",
        held,
    );
    let link = status
        .upstreams
        .iter()
        .map(|u| (&*u.id, u.link_us as f64 / 1e6));
    register_gauges(
        registry,
        "upstream_link_seconds",
        "learned link time",
        "upstream",
        link,
    );
}

fn register_gauge(registry: &Registry, name: &str, help: &str, value: f64) {
    if let Ok(gauge) = Gauge::new(format!("ashgauge_{name}"), help) {
        gauge.set(value);
        let _ = registry.register(Box::new(gauge));
    }
}

fn register_gauges<'a>(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    values: impl Iterator<Item = (&'a str, f64)>,
) {
    let opts = Opts::new(format!("ashgauge_{name}"), help);
    if let Ok(gauges) = GaugeVec::new(opts, &[label]) {
        for (key, value) in values {
            gauges.with_label_values(&[key]).set(value);
        }
        let _ = registry.register(Box::new(gauges));
    }
}

//! Log lines and metrics of a request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::digest::{self, Digest};
use platform::ingress::ClientRequest;
use serde_json::json;
use spdlog::Level;

use super::log;
use super::shared_state::SharedState;

/// End of a request that got a whole answer.
pub const ANSWERED: &str = "answered";

/// Collects the log line and the metrics of a request.
pub struct Record {
    shared: Rc<SharedState>,
    id: String,
    route: String,
    /// Digest that tells repeats of the request from others; set once the body is read.
    pub digest: Option<Digest>,
    /// Priority class, if the service admits streams by class.
    pub class: Option<Class>,
    /// Class of the admission level at the request's arrival, if a level was in force.
    pub level: Option<Class>,
    arrived: Duration,
    /// Number of sends after which the request may have run.
    pub runs: usize,
    /// Upstreams or chains that the request was sent to.
    pub sends: Vec<Arc<str>>,
    /// Time to the first event of a stream.
    pub first_event: Option<Duration>,
    /// Forecast of the time to the first event, from the send that brought it or else from
    /// the last send.
    forecast: Option<Duration>,
    /// Longest pause between two forwarded events.
    pub longest_pause: Duration,
    ended: bool,
}

impl Record {
    /// Creates the record of a request that arrived at `arrived`.
    pub fn new(
        shared: &Rc<SharedState>,
        client_request: &ClientRequest,
        route: &str,
        arrived: Duration,
    ) -> Self {
        Record {
            shared: shared.clone(),
            id: client_request.id.clone(),
            route: route.into(),
            digest: None,
            class: None,
            level: None,
            arrived,
            runs: 0,
            sends: Vec::new(),
            first_event: None,
            forecast: None,
            longest_pause: Duration::ZERO,
            ended: false,
        }
    }

    /// Time since the request arrived.
    pub fn elapsed(&self) -> Duration {
        self.shared.now().saturating_sub(self.arrived)
    }

    /// Records the forecast for a send, if no event arrived before.
    pub fn note_forecast(&mut self, first_event: Duration) {
        if self.first_event.is_none() {
            self.forecast = Some(first_event);
        }
    }

    /// Logs a step of this request.
    pub fn log_step(&self, step: &str, mut fields: serde_json::Value) {
        fields["id"] = self.id.as_str().into();
        fields["ms"] = (self.elapsed().as_millis() as u64).into();
        log::event(Level::Info, "request", step, fields);
    }

    /// Records how the request ended.
    pub fn end(&mut self, end: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let elapsed = self.elapsed();
        if end == ANSWERED {
            self.shared.stop.record_time(&self.route, elapsed);
        }
        self.shared.metrics.requests.with_label_values(&[end]).inc();
        self.shared
            .metrics
            .total_seconds
            .observe(elapsed.as_secs_f64());
        self.shared.metrics.runs.observe(self.runs as f64);
        let age = self.shared.freshness.borrow().age(self.shared.now());
        let sends: Vec<&str> = self.sends.iter().map(|s| &**s).collect();
        let mut fields = json!({
            "id": self.id,
            "digest": self.digest.map(digest::format_digest),
            "route": self.route,
            "end": end,
            "sends": sends,
            "runs": self.runs,
            "config": self.shared.routing.borrow().version,
            "config_age_ms": age.map(|a| a.as_millis() as u64),
            "first_ms": self.first_event.map(|f| f.as_millis() as u64),
            "pause_ms": self.longest_pause.as_millis() as u64,
            "ms": elapsed.as_millis() as u64,
        });
        if let Some(class) = self.class {
            fields["class"] = json!(class);
        }
        if let Some(level) = self.level {
            fields["level"] = json!(level);
        }
        if let Some(forecast) = self.forecast {
            fields["forecast_ms"] = (forecast.as_millis() as u64).into();
        }
        log::event(Level::Info, "request", "ended", fields);
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let end = match *self.shared.stop.ended.borrow() {
            true => "stopped",
            false => "caller left",
        };
        self.end(end);
    }
}

//! Forecasts of first events. They are made for a chosen chain, tell busy engines from lost
//! ones, and are compared with the actual times.

use std::time::Duration;

use ashgauge::chain::Stage;
use ashgauge::forecast::{self, Forecast};
use ashgauge::routing::ServiceId;
use serde_json::json;

use super::open::MAX_SILENCE;
use super::request::RoutedRequest;
use super::shared_state::SharedState;

/// Forecast for a stream on its chain.
#[derive(Clone, Copy)]
pub struct Estimate {
    /// Forecast from the load of the engines.
    forecast: Forecast,
    /// Time to the first event, corrected by the service's calibration.
    pub first_event: Duration,
    /// When the chain was chosen.
    made_at: Duration,
}

impl Estimate {
    /// Silence before the first event after which the engines are checked; at least
    /// `min_wait`.
    pub fn silence_limit(&self, min_wait: Duration) -> Duration {
        forecast::check_delay(self.first_event, min_wait, MAX_SILENCE)
    }
}

/// Forecasts a request on a chain that it is not counted on yet, if its service admits
/// streams by class.
pub fn estimate(
    shared: &SharedState,
    request: &RoutedRequest,
    stages: &[Stage],
) -> Option<Estimate> {
    request.class?;
    let (service, prompt) = (&request.service.name, request.client_request.prompt_tokens);
    let model = request.service.model.as_ref()?;
    let forecast = shared.forecast(service, model, stages, prompt);
    let calibrations = shared.calibrations.borrow();
    let calibration = calibrations.get(service).copied().unwrap_or_default();
    let first_event = calibration.apply(forecast.first_event);
    if prompt == 0 || forecast.is_capped() {
        let fields = json!({"prompt": prompt, "forecast_ms": first_event.as_millis() as u64});
        request.record.log_step("rough forecast", fields);
    }
    Some(Estimate {
        forecast,
        first_event,
        made_at: shared.now(),
    })
}

/// Calibrates the forecasts of a service with the first event of a stream whose time
/// depended only on the load of its chain.
pub fn calibrate(shared: &SharedState, service: &ServiceId, estimate: &Estimate, now: Duration) {
    let actual = now.saturating_sub(estimate.made_at);
    let Some(ratio) = estimate.forecast.ratio(actual) else {
        return;
    };
    shared.metrics.forecast_ratio.observe(ratio);
    let mut calibrations = shared.calibrations.borrow_mut();
    let calibration = calibrations.entry(service.clone()).or_default();
    calibration.record(ratio);
}

//! Reports the admission levels to operators: status, metrics and log.

use std::collections::BTreeSet;
use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::pressure::Pressure;
use ashgauge::report::{LevelChange, LevelInputs};
use ashgauge::routing::ServiceId;
use serde::Serialize;
use serde_json::json;
use spdlog::Level as Severity;

use super::log;
use super::shared_state::SharedState;
use super::state::ServiceAdmission;

/// Value of the level gauge when all classes are admitted.
const ALL_ADMITTED: i64 = -1;

/// Admission level of a service.
#[derive(Serialize)]
pub struct LevelStatus {
    service: String,
    /// Class at which the allowed rate is used up; `None` if all classes are admitted.
    class: Option<Class>,
    /// Work per second that each team of this class may start, in typical requests.
    team_rate: Option<f64>,
    /// Time since the class last changed, in milliseconds.
    since_ms: u64,
    #[serde(flatten)]
    inputs: InputStatus,
    /// Classes with demand now or since the box started.
    classes: Vec<ClassStatus>,
}

/// Inputs of a level, as requests per second and as shares.
#[derive(Serialize)]
struct InputStatus {
    asked: f64,
    /// `null` if no bound is in use.
    allowed: f64,
    ends: f64,
    /// Requests in flight.
    requests: f64,
    memory: f64,
    slots: f64,
    boxes_heard: usize,
}

/// Demand and admission of one priority class of a service.
#[derive(Serialize)]
struct ClassStatus {
    class: Class,
    /// Requests per second over all boxes.
    asked: f64,
    /// Which of them are admitted: `all`, `part` or `none`.
    admits: &'static str,
    /// Requests that this box admitted since its start.
    admitted: u64,
    /// Requests that this box refused since its start.
    refused: u64,
}

impl InputStatus {
    fn new(inputs: &LevelInputs) -> Self {
        InputStatus {
            asked: inputs.demand_rate(),
            allowed: inputs.allowed_rate,
            ends: inputs.completion_rate,
            requests: inputs.pressure.requests,
            memory: inputs.pressure.memory,
            slots: inputs.pressure.slots,
            boxes_heard: inputs.boxes,
        }
    }
}

/// Returns the levels of the services for which shedding is enabled.
pub fn status(shared: &SharedState) -> Vec<LevelStatus> {
    let (now, uptime) = (shared.now(), shared.uptime());
    shared.admissions.with_levels(|service, state, inputs| {
        let since = now.saturating_sub(state.gate.since()).min(uptime);
        LevelStatus {
            service: service.to_string(),
            class: state.class(),
            team_rate: state.gate.level().map(|l| l.team_limit),
            since_ms: since.as_millis() as u64,
            inputs: InputStatus::new(inputs),
            classes: class_statuses(state, inputs),
        }
    })
}

fn class_statuses(state: &ServiceAdmission, inputs: &LevelInputs) -> Vec<ClassStatus> {
    let with_demand = inputs.classes.iter().map(|(class, _)| *class);
    let all: BTreeSet<Class> = with_demand.chain(state.counts.keys().copied()).collect();
    let class_status = |class: Class| {
        let with_demand = inputs.classes.iter().find(|(c, _)| *c == class);
        let counts = state.counts.get(&class).copied().unwrap_or_default();
        ClassStatus {
            class,
            asked: with_demand.map_or(0.0, |(_, rate)| *rate),
            admits: admits(state.class(), class),
            admitted: counts.admitted,
            refused: counts.refused,
        }
    };
    all.into_iter().map(class_status).collect()
}

fn admits(level: Option<Class>, class: Class) -> &'static str {
    match level {
        Some(level) if class == level => "part",
        Some(level) if class > level => "none",
        _ => "all",
    }
}

/// Sets the gauges to the values of the service under the highest pressure.
pub fn set_gauges(shared: &SharedState) {
    let metrics = &shared.metrics;
    let levels = shared.admissions.with_levels(|_, state, inputs| {
        let classes_before = state
            .class()
            .map(|class| inputs.classes_before(class) as i64);
        (inputs.pressure, classes_before.unwrap_or(ALL_ADMITTED))
    });
    let highest = levels
        .into_iter()
        .max_by(|a, b| a.0.max_share().total_cmp(&b.0.max_share()));
    metrics.pressure.reset();
    let Some((pressure, level)) = highest else {
        metrics.level.set(ALL_ADMITTED);
        return;
    };
    metrics.level.set(level);
    for (bound, share) in pressure_bounds(&pressure) {
        metrics.pressure.with_label_values(&[bound]).set(share);
    }
}

fn pressure_bounds(pressure: &Pressure) -> [(&'static str, f64); 2] {
    [("memory", pressure.memory), ("slots", pressure.slots)]
}

/// Logs a change of a service's level, once a second at most.
pub fn log_change(now: Duration, service: &ServiceId, state: &mut ServiceAdmission) {
    let Some(change) = state.change_reporter.change(now, state.class()) else {
        return;
    };
    let mut fields = match &state.inputs {
        Some(inputs) => json!(InputStatus::new(inputs)),
        // Shedding was disabled.
        None => json!({}),
    };
    fields["service"] = json!(&**service);
    fields["class"] = json!(state.class());
    fields["team_rate"] = json!(state.gate.level().map(|l| l.team_limit));
    fields["change"] = json!(match change {
        LevelChange::Started => "began",
        LevelChange::ClassChanged => "moved",
        LevelChange::Ended(_) => "ended",
    });
    if let LevelChange::Ended(duration) = change {
        fields["lasted_ms"] = json!(duration.as_millis() as u64);
    }
    log::event(Severity::Info, "admission", "level", fields);
}

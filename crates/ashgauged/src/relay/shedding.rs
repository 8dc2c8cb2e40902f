//! Load shedding: decides which streams are admitted where callers ask for more than the
//! engines can serve in time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::demand::{self, DemandSource};
use ashgauge::estimate::{Estimator, Observation};
use ashgauge::level::{self, AdmissionLevel};
use ashgauge::pressure;
use ashgauge::report::LevelInputs;
use ashgauge::routing::{Model, Service, ServiceId};
use rand::Rng;
use tokio::time::sleep;

use super::levels;
use super::request::RoutedRequest;
use super::shared_state::SharedState;
use super::state::ServiceAdmission;

/// Minimum interval between computations of a service's level: load reports of other
/// boxes arrive no faster.
const LEVEL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between computations while no streams arrive. They serve operators and the
/// recovery budget for stalled streams, for which a pressure value stays valid only a
/// little longer.
const IDLE_LEVEL_INTERVAL: Duration = Duration::from_millis(300);

/// Returns whether the level decides on the admission of a service's streams.
pub fn sheds_streams(shared: &SharedState, service: &Service) -> bool {
    let has_engines = service.model.as_ref().is_some_and(|m| m.layers > 0);
    has_engines && is_shedding_enabled(shared, &service.name)
}

/// Returns whether shedding is enabled for a service, by the priorities of its routes and
/// the setting.
pub fn is_shedding_enabled(shared: &SharedState, service: &str) -> bool {
    let routing = shared.routing();
    let priorities = routing.priorities(service);
    priorities.is_some_and(|r| shared.settings().sheds(r, first_slots(shared, service)))
}

/// Returns the requests that the engines with the first layers of a service run at a time.
fn first_slots(shared: &SharedState, service: &str) -> u32 {
    let registry = shared.registry.borrow();
    let engines = registry.of_service(service).map(|e| &e.upstream);
    let first = engines.filter(|e| e.layers.is_some_and(|layers| layers.first == 0));
    first.fold(0, |slots, e| slots.saturating_add(e.slots))
}

/// Returns the priority class of a request, if its service admits streams by class.
pub fn class_of(shared: &SharedState, request: &RoutedRequest) -> Option<Class> {
    if request.route.stream.is_none() || !sheds_streams(shared, &request.service) {
        return None;
    }
    let team = request.team.as_ref().and_then(|t| t.priority);
    Some(Class::new(team, request.route.priority, request.is_retry()))
}

/// Records the demand of a new stream and decides whether it is admitted; if not, returns
/// the time after which its caller should retry.
pub fn admit(
    shared: &Rc<SharedState>,
    request: &mut RoutedRequest,
) -> Result<Option<Admission>, Duration> {
    let (Some(model), Some(class)) = (request.service.model.as_ref(), request.class) else {
        return Ok(None);
    };
    let team = demand::name_key(request.team.as_ref().map_or("", |t| t.name.as_str()));
    note_demand(shared, request, model, class, team);
    update_level(shared, &request.service, model);
    let draw = shared.rng().random_range(0.0..1.0);
    let now = shared.now();
    let (is_admitted, level) = shared.admissions.with(&request.service.name, |s| {
        let is_admitted = s.gate.admit(class, team, draw);
        s.count(class, is_admitted);
        if is_admitted {
            s.recovery_budget.record_request(now);
        }
        (is_admitted, s.class())
    });
    request.record.level = level;
    let result = if is_admitted { "let in" } else { "refused" };
    shared.metrics.admissions.with_label_values(&[result]).inc();
    if is_admitted {
        return Ok(Some(Admission {
            shared: shared.clone(),
            service: request.service.name.clone(),
            started: Cell::new(false),
        }));
    }
    Err(retry_after(shared, request))
}

/// Returns the time after which the caller of a request that is refused for overload
/// should retry.
pub fn retry_after(shared: &SharedState, request: &RoutedRequest) -> Duration {
    let timeout = request
        .client_request
        .timeout
        .unwrap_or(request.route.timeout);
    let draw = shared.rng().random_range(0.0..1.0);
    level::retry_after(timeout, draw)
}

fn note_demand(
    shared: &SharedState,
    request: &RoutedRequest,
    model: &Model,
    class: Class,
    team: demand::TeamKey,
) {
    let source = DemandSource {
        service: demand::name_key(&request.service.name),
        class,
        team: Some(team),
    };
    let work = demand::relative_work(
        (
            request.client_request.prompt_tokens,
            request.client_request.answer_tokens,
        ),
        (model.typical_prompt, model.typical_output),
    );
    let now = shared.now();
    shared
        .admissions
        .with(&request.service.name, |s| s.meter.record(now, source, work));
}

/// Computes the pressure on a service's engines if no current value is known. The recovery budget
/// fills up without one, also while the process was stopped or had no processor time.
pub fn refresh_pressure(shared: &SharedState, service: &ServiceId) {
    let now = shared.now();
    let is_current = shared
        .admissions
        .with(service, |s| s.recovery_budget.is_pressure_current(now));
    if !is_current {
        update_service(shared, service);
    }
}

/// Computes the level of a service again if streams are admitted by it and it is older than
/// [`LEVEL_INTERVAL`].
fn update_service(shared: &SharedState, service: &ServiceId) {
    let routing = shared.routing();
    let Some(service) = routing.services.get(service) else {
        return;
    };
    match &service.model {
        Some(model) if sheds_streams(shared, service) => update_level(shared, service, model),
        _ => {}
    }
}

/// Computes the level again if it is older than [`LEVEL_INTERVAL`].
fn update_level(shared: &SharedState, service: &Service, model: &Model) {
    let now = shared.now();
    let is_due = shared.admissions.with(&service.name, |s| {
        let is_due = s.level_at.is_none_or(|at| now >= at + LEVEL_INTERVAL);
        if is_due {
            s.level_at = Some(now);
        }
        is_due
    });
    if !is_due {
        return;
    }
    let (demands, completions) = shared.fleet_demand(&service.name);
    let observation = Observation {
        demands,
        pressure: shared.pressure(service, model),
        completion_rate: completions,
        boxes: shared
            .fleet_load
            .borrow()
            .present_boxes(f64::from(shared.fleet_size())),
        age: shared.report_age(),
        report_interval: shared.role().traffic_interval(),
        full_slowdown: full_slowdown_of(shared, service, model),
    };
    let boxes = shared.fleet_load.borrow().boxes();
    shared.admissions.with(&service.name, |s| {
        let estimate = s.estimator.estimate(now, &observation);
        let (demands, pressure) = (&estimate.demands, estimate.pressure);
        let inputs = LevelInputs::new(
            demands,
            pressure,
            estimate.completion_rate,
            observation.age,
            boxes,
            s.gate.level().is_some(),
        );
        s.estimator.record_allowed_rate(now, inputs.allowed_rate);
        s.recovery_budget
            .set_pressure(now, observation.pressure.max_share());
        s.gate
            .set_level(now, AdmissionLevel::new(demands, inputs.allowed_rate));
        s.inputs = Some(inputs);
        levels::log_change(now, &service.name, s);
    });
}

fn full_slowdown_of(shared: &SharedState, service: &Service, model: &Model) -> f64 {
    let registry = shared.registry.borrow();
    pressure::full_slowdown(
        model,
        registry.of_service(&service.name).map(|e| &e.upstream),
    )
}

/// Computes the levels also while no streams arrive, as long as the process runs, so that
/// operators see data no older than [`IDLE_LEVEL_INTERVAL`] and the end of a level is
/// logged.
pub async fn update_levels(shared: Rc<SharedState>) {
    loop {
        sleep(IDLE_LEVEL_INTERVAL).await;
        let routing = shared.routing();
        for service in routing.services.keys() {
            update_service(&shared, service);
        }
        let is_disabled = |name: &ServiceId| {
            let service = routing.services.get(name);
            !service.is_some_and(|s| sheds_streams(&shared, s))
        };
        let now = shared.now();
        for name in shared.admissions.names().into_iter().filter(is_disabled) {
            shared
                .admissions
                .with(&name, |s| clear_level(now, &name, s));
        }
    }
}

/// Clears the level of a service for which shedding was disabled.
fn clear_level(now: Duration, service: &ServiceId, state: &mut ServiceAdmission) {
    state.gate.set_level(now, None);
    state.estimator = Estimator::default();
    state.inputs = None;
    levels::log_change(now, service, state);
}

/// An admitted stream; records its completion when it is dropped, if an engine ran it.
pub struct Admission {
    shared: Rc<SharedState>,
    service: ServiceId,
    started: Cell<bool>,
}

impl Admission {
    /// Records that an engine runs the stream. A stream that no engine accepted frees no
    /// capacity when it ends.
    pub fn note_started(&self) {
        self.started.set(true);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if !self.started.get() {
            return;
        }
        let (now, key) = (self.shared.now(), demand::name_key(&self.service));
        self.shared
            .admissions
            .with(&self.service, |s| s.meter.record_completion(now, key));
    }
}

//! Who may begin where callers ask for more than the engines can do in time.

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

use super::desk::Desk;
use super::levels;
use super::request::Admitted;
use super::state::State;

/// Time between two reckonings of a level: words of other boxes come no faster.
const RECKON_EVERY: Duration = Duration::from_millis(50);

/// Time between two reckonings while no streams arrive: for operators, and for the
/// account of streams that are held up, for which a pressure counts a little longer.
const WATCH_EVERY: Duration = Duration::from_millis(300);

/// Whether streams of a service are let in by the level.
pub fn is_on(desk: &Desk, service: &Service) -> bool {
    let has_engines = service.model.as_ref().is_some_and(|m| m.layers > 0);
    has_engines && is_shed(desk, &service.name)
}

/// Whether shedding is switched on for a service, by its routes' ranks and the setting.
pub fn is_shed(desk: &Desk, service: &str) -> bool {
    let routing = desk.routing();
    let ranks = routing.priorities(service);
    ranks.is_some_and(|r| desk.settings().sheds(r))
}

/// The priority class of a request, if its service lets streams in by those.
pub fn class_of(desk: &Desk, a: &Admitted) -> Option<Class> {
    if a.route.stream.is_none() || !is_on(desk, &a.service) {
        return None;
    }
    let team = a.team.as_ref().and_then(|t| t.priority);
    Some(Class::new(team, a.route.priority, a.is_repeat()))
}

/// Notes a stream that wants to begin, and decides whether it may; if not, says when its
/// caller is to come back.
pub fn admit(desk: &Rc<Desk>, a: &mut Admitted) -> Result<Option<Admission>, Duration> {
    let (Some(model), Some(class)) = (a.service.model.as_ref(), a.class) else {
        return Ok(None);
    };
    let team = demand::key(a.team.as_ref().map_or("", |t| t.name.as_str()));
    note(desk, a, model, class, team);
    reckon(desk, &a.service, model);
    let start = desk.rng().random_range(0.0..1.0);
    let now = desk.now();
    let (is_in, level) = desk.gates.with(&a.service.name, |s| {
        let is_in = s.gate.admit(class, team, start);
        s.count(class, is_in);
        if is_in {
            s.account.record_request(now);
        }
        (is_in, s.class())
    });
    a.record.level = level;
    let result = if is_in { "let in" } else { "refused" };
    desk.metrics.admissions.with_label_values(&[result]).inc();
    if is_in {
        return Ok(Some(Admission {
            desk: desk.clone(),
            service: a.service.name.clone(),
            begun: Cell::new(false),
        }));
    }
    Err(back_after(desk, a))
}

/// When the caller of a request that is refused for overload is to come back.
pub fn back_after(desk: &Desk, a: &Admitted) -> Duration {
    let patience = a.ask.timeout.unwrap_or(a.route.timeout);
    let draw = desk.rng().random_range(0.0..1.0);
    level::retry_after(patience, draw)
}

fn note(desk: &Desk, a: &Admitted, model: &Model, class: Class, team: demand::TeamKey) {
    let source = DemandSource {
        service: demand::key(&a.service.name),
        class,
        team: Some(team),
    };
    let work = demand::relative_work(
        (a.ask.prompt_tokens, a.ask.answer_tokens),
        (model.typical_prompt, model.typical_output),
    );
    let now = desk.now();
    desk.gates
        .with(&a.service.name, |s| s.meter.record(now, source, work));
}

/// Reckons the level anew, if it is old.
fn reckon(desk: &Desk, service: &Service, model: &Model) {
    let now = desk.now();
    let is_due = desk.gates.with(&service.name, |s| {
        let is_due = s.reckoned.is_none_or(|at| now >= at + RECKON_EVERY);
        if is_due {
            s.reckoned = Some(now);
        }
        is_due
    });
    if !is_due {
        return;
    }
    let (demands, ends) = desk.flows(&service.name);
    let known = Observation {
        demands,
        pressure: desk.pressure(service, model),
        completion_rate: ends,
        boxes: desk.shares.borrow().present_boxes(f64::from(desk.boxes())),
        age: desk.words_age(),
        report_interval: desk.role().traffic_interval(),
        full_slowdown: growth(desk, service, model),
    };
    let boxes = desk.shares.borrow().boxes();
    desk.gates.with(&service.name, |s| {
        let estimate = s.estimator.estimate(now, &known);
        let (demands, pressure) = (&estimate.demands, estimate.pressure);
        let basis = LevelInputs::new(
            demands,
            pressure,
            estimate.completion_rate,
            known.age,
            boxes,
        );
        s.estimator.record_allowed_rate(now, basis.allowed_rate);
        s.account.set_pressure(now, known.pressure.max_share());
        s.gate
            .set_level(now, AdmissionLevel::new(demands, basis.allowed_rate));
        s.basis = Some(basis);
        levels::log_change(now, &service.name, s);
    });
}

fn growth(desk: &Desk, service: &Service, model: &Model) -> f64 {
    let roster = desk.roster.borrow();
    pressure::full_slowdown(model, roster.of_service(&service.name).map(|e| &e.upstream))
}

/// Reckons levels also while no streams arrive, as long as the process runs, so that what
/// operators see is not older than [`WATCH_EVERY`] and the end of a level is logged.
pub async fn watch(desk: Rc<Desk>) {
    loop {
        sleep(WATCH_EVERY).await;
        let routing = desk.routing();
        for service in routing.services.values() {
            match &service.model {
                Some(model) if is_on(&desk, service) => reckon(&desk, service, model),
                _ => {}
            }
        }
        let is_off = |name: &ServiceId| {
            let service = routing.services.get(name);
            !service.is_some_and(|s| is_on(&desk, s))
        };
        let now = desk.now();
        for name in desk.gates.names().into_iter().filter(is_off) {
            desk.gates.with(&name, |s| lift(now, &name, s));
        }
    }
}

/// Ends the level of a service for which shedding was switched off.
fn lift(now: Duration, service: &ServiceId, state: &mut State) {
    state.gate.set_level(now, None);
    state.estimator = Estimator::default();
    state.basis = None;
    levels::log_change(now, service, state);
}

/// A stream that was let in; notes its end when it is dropped.
pub struct Admission {
    desk: Rc<Desk>,
    service: ServiceId,
    begun: Cell<bool>,
}

impl Admission {
    /// Notes that an engine runs the stream: one that none takes frees no room as it ends.
    pub fn begin(&self) {
        self.begun.set(true);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if !self.begun.get() {
            return;
        }
        let (now, key) = (self.desk.now(), demand::key(&self.service));
        self.desk
            .gates
            .with(&self.service, |s| s.meter.record_completion(now, key));
    }
}

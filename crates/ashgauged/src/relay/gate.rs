//! Who may begin where callers ask for more than the engines can do in time.

use std::rc::Rc;
use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::demand::{self, Source};
use ashgauge::level::{self, Level};
use ashgauge::routing::{Model, Service, ServiceId};
use rand::Rng;
use serde_json::json;
use spdlog::Level as Severity;

use super::desk::Desk;
use super::log;
use super::request::Admitted;

/// Time between two reckonings of a level: words of other boxes come no faster.
const RECKON_EVERY: Duration = Duration::from_millis(50);

/// Whether streams of a service are let in by the level.
pub fn is_on(desk: &Desk, service: &Service) -> bool {
    let routing = desk.routing();
    let ranks = routing.ranks(&service.name);
    let has_engines = service.model.as_ref().is_some_and(|m| m.layers > 0);
    has_engines && ranks.is_some_and(|r| desk.settings().sheds(r))
}

/// The priority class of a request, if its service lets streams in by those.
pub fn class_of(desk: &Desk, a: &Admitted) -> Option<Class> {
    if a.route.stream.is_none() || !is_on(desk, &a.service) {
        return None;
    }
    let team = a.team.as_ref().and_then(|t| t.rank);
    Some(Class::new(team, a.route.rank, a.is_back()))
}

/// Notes a stream that wants to begin, and decides whether it may; if not, says when its
/// caller is to come back.
pub fn admit(desk: &Rc<Desk>, a: &Admitted) -> Result<Option<Admission>, Duration> {
    let (Some(model), Some(class)) = (a.service.model.as_ref(), a.class) else {
        return Ok(None);
    };
    let team = demand::key(a.team.as_ref().map_or("", |t| t.name.as_str()));
    note(desk, a, model, class, team);
    reckon(desk, &a.service, model);
    let start = desk.rng().random_range(0.0..1.0);
    let now = desk.now();
    let is_in = desk.gates.with(&a.service.name, |s| {
        let is_in = s.gate.admits(class, team, start);
        if is_in {
            s.account.note_request(now);
        }
        is_in
    });
    if is_in {
        return Ok(Some(Admission {
            desk: desk.clone(),
            service: a.service.name.clone(),
        }));
    }
    Err(back_after(desk, a))
}

/// When the caller of a request that is refused for overload is to come back.
pub fn back_after(desk: &Desk, a: &Admitted) -> Duration {
    let patience = a.ask.patience.unwrap_or(a.route.timeout);
    let draw = desk.rng().random_range(0.0..1.0);
    level::back_after(patience, draw)
}

fn note(desk: &Desk, a: &Admitted, model: &Model, class: Class, team: demand::TeamKey) {
    let source = Source {
        service: demand::key(&a.service.name),
        class,
        team: Some(team),
    };
    let work = demand::work((a.ask.prompt, a.ask.answer), (model.prompt, model.answer));
    let now = desk.now();
    desk.gates
        .with(&a.service.name, |s| s.meter.note(now, source, work));
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
    let pressure = desk.pressure(service, model);
    let (demands, ends) = desk.flows(&service.name);
    let allowed = level::allowed(&pressure, ends);
    let asked: f64 = demands.iter().map(|(_, d)| d.rate()).sum();
    let level = Level::new(&demands, allowed);
    let changed = desk.gates.with(&service.name, |s| {
        s.account.set_pressure(now, pressure.most());
        s.gate.set(now, level.clone())
    });
    if changed {
        let fields = json!({
            "service": &*service.name,
            "class": level.as_ref().map(|l| l.class),
            "part": level.as_ref().map(|l| l.part),
            "asked": asked,
            "allowed": allowed,
            "requests": pressure.requests,
            "memory": pressure.memory,
            "slots": pressure.slots,
            "ends": ends,
            "boxes_heard": desk.shares.borrow().boxes(),
        });
        log::line(Severity::Info, "admission", "level", fields);
    }
}

/// A stream that was let in; notes its end when it is dropped.
pub struct Admission {
    desk: Rc<Desk>,
    service: ServiceId,
}

impl Drop for Admission {
    fn drop(&mut self) {
        let (now, key) = (self.desk.now(), demand::key(&self.service));
        self.desk
            .gates
            .with(&self.service, |s| s.meter.note_end(now, key));
    }
}

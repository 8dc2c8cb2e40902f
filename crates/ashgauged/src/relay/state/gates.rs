//! What a box knows of how much is asked of its services, and who is let in.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use ashgauge::demand::{Flows, Meter};
use ashgauge::level::Gate;
use ashgauge::recovery::Account;
use ashgauge::routing::ServiceId;

/// Demand and admission, by service.
#[derive(Default)]
pub struct Gates {
    services: RefCell<HashMap<ServiceId, State>>,
    /// When a line about a refused repair was last written.
    written: Cell<Option<Duration>>,
}

/// Demand for one service, and who is let in.
#[derive(Default)]
pub struct State {
    /// What this box's callers ask for.
    pub meter: Meter,
    /// Who is let in.
    pub gate: Gate,
    /// When the level was last reckoned.
    pub reckoned: Option<Duration>,
    /// What is done for streams that are held up.
    pub account: Account,
}

impl Gates {
    /// Uses the state of a service.
    pub fn with<T>(&self, service: &ServiceId, of: impl FnOnce(&mut State) -> T) -> T {
        let mut services = self.services.borrow_mut();
        of(services.entry(service.clone()).or_default())
    }

    /// Whether a line may be written, as none was within `every`.
    pub fn may_write(&self, now: Duration, every: Duration) -> bool {
        let is_due = self.written.get().is_none_or(|at| now >= at + every);
        if is_due {
            self.written.set(Some(now));
        }
        is_due
    }

    /// What this box's callers ask of all services, and what ends.
    pub fn flows(&self, now: Duration) -> Flows {
        let mut services = self.services.borrow_mut();
        let own = services.values_mut().map(|s| s.meter.flows(now));
        let own: Vec<Flows> = own.collect();
        Flows::sum(own.iter())
    }
}

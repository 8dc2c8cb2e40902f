//! Demand and admission state of the services.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ashgauge::class::Class;
use ashgauge::demand::{DemandMeter, Traffic};
use ashgauge::estimate::Estimator;
use ashgauge::level::AdmissionGate;
use ashgauge::recovery::RecoveryBudget;
use ashgauge::report::{ChangeReporter, LevelInputs};
use ashgauge::routing::ServiceId;

/// Demand and admission state, by service.
#[derive(Default)]
pub struct AdmissionStates {
    services: RefCell<HashMap<ServiceId, ServiceAdmission>>,
    /// When a refused repair was last logged.
    logged_at: Cell<Option<Duration>>,
}

/// Demand and admission state of one service.
#[derive(Default)]
pub struct ServiceAdmission {
    /// Measures the demand of this box's callers.
    pub meter: DemandMeter,
    /// Estimates the present demand and load from reports that are some time old.
    pub estimator: Estimator,
    /// Decides which requests are admitted.
    pub gate: AdmissionGate,
    /// When the admission level was last computed.
    pub level_at: Option<Duration>,
    /// Inputs from which the level was computed; `None` while shedding is off.
    pub inputs: Option<LevelInputs>,
    /// Decides when changes of the level are logged.
    pub change_reporter: ChangeReporter,
    /// Requests of this box by class, since its start.
    pub counts: BTreeMap<Class, Counts>,
    /// Budget for repairs, resends and checks of stalled streams.
    pub recovery_budget: RecoveryBudget,
}

/// Number of requests that the level admitted and refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
}

impl ServiceAdmission {
    /// Counts a request of a class.
    pub fn count(&mut self, class: Class, is_admitted: bool) {
        let counts = self.counts.entry(class).or_default();
        match is_admitted {
            true => counts.admitted += 1,
            false => counts.refused += 1,
        }
    }

    /// Returns the class of the level in force.
    pub fn class(&self) -> Option<Class> {
        self.gate.level().map(|l| l.class)
    }
}

impl AdmissionStates {
    /// Calls `f` with the state of a service, which is created if it is missing.
    pub fn with<T>(&self, service: &ServiceId, f: impl FnOnce(&mut ServiceAdmission) -> T) -> T {
        let mut services = self.services.borrow_mut();
        f(services.entry(service.clone()).or_default())
    }

    /// Returns the services that have a state.
    pub fn names(&self) -> Vec<ServiceId> {
        self.services.borrow().keys().cloned().collect()
    }

    /// Calls `f` for each service whose level is computed, in the order of their names,
    /// and returns the results.
    pub fn with_levels<T>(
        &self,
        f: impl Fn(&ServiceId, &ServiceAdmission, &LevelInputs) -> T,
    ) -> Vec<T> {
        let services = self.services.borrow();
        let mut sorted: Vec<_> = services.iter().collect();
        sorted.sort_unstable_by_key(|(name, _)| *name);
        let with_inputs = sorted.into_iter();
        let with_inputs = with_inputs.filter_map(|(name, s)| Some(f(name, s, s.inputs.as_ref()?)));
        with_inputs.collect()
    }

    /// Records `now` as the time at which a refused repair was last logged, unless that was
    /// within `every`. Returns whether it did, so that the caller may log one.
    pub fn take_log_slot(&self, now: Duration, every: Duration) -> bool {
        let is_due = self.logged_at.get().is_none_or(|at| now >= at + every);
        if is_due {
            self.logged_at.set(Some(now));
        }
        is_due
    }

    /// Returns the demand of this box's callers on all services, and their completions.
    pub fn own_traffic(&self, now: Duration) -> Traffic {
        let mut services = self.services.borrow_mut();
        let own = services.values_mut().map(|s| s.meter.traffic(now));
        let own: Vec<Traffic> = own.collect();
        Traffic::sum(own.iter())
    }
}

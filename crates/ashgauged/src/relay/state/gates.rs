//! What a box knows of how much is asked of its services, and who is let in.

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

/// Demand and admission, by service.
#[derive(Default)]
pub struct AdmissionStates {
    services: RefCell<HashMap<ServiceId, ServiceAdmission>>,
    /// When a line about a refused repair was last written.
    logged_at: Cell<Option<Duration>>,
}

/// Demand for one service, and who is let in.
#[derive(Default)]
pub struct ServiceAdmission {
    /// What this box's callers ask for.
    pub meter: DemandMeter,
    /// Estimates demand and load now, from reports that are some time old.
    pub estimator: Estimator,
    /// Who is let in.
    pub gate: AdmissionGate,
    /// When the level was last reckoned.
    pub level_at: Option<Duration>,
    /// What the level was reckoned from; nothing while shedding is off.
    pub basis: Option<LevelInputs>,
    /// When changes of the level are logged.
    pub report: ChangeReporter,
    /// Requests of this box by class, since its start.
    pub counts: BTreeMap<Class, Counts>,
    /// What is done for streams that are held up.
    pub recovery_budget: RecoveryBudget,
}

/// Requests that were admitted or refused by the level.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Those that were let in.
    pub admitted: u64,
    /// Those that were refused.
    pub refused: u64,
}

impl ServiceAdmission {
    /// Counts a request of a class.
    pub fn count(&mut self, class: Class, is_in: bool) {
        let counts = self.counts.entry(class).or_default();
        match is_in {
            true => counts.admitted += 1,
            false => counts.refused += 1,
        }
    }

    /// The class of the level in force.
    pub fn class(&self) -> Option<Class> {
        self.gate.level().map(|l| l.class)
    }
}

impl AdmissionStates {
    /// Uses the state of a service.
    pub fn with<T>(&self, service: &ServiceId, of: impl FnOnce(&mut ServiceAdmission) -> T) -> T {
        let mut services = self.services.borrow_mut();
        of(services.entry(service.clone()).or_default())
    }

    /// Services that have a state.
    pub fn names(&self) -> Vec<ServiceId> {
        self.services.borrow().keys().cloned().collect()
    }

    /// Uses the states of the services whose level is reckoned, in the order of their names.
    pub fn with_levels<T>(
        &self,
        of: impl Fn(&ServiceId, &ServiceAdmission, &LevelInputs) -> T,
    ) -> Vec<T> {
        let services = self.services.borrow();
        let mut named: Vec<_> = services.iter().collect();
        named.sort_unstable_by_key(|(name, _)| *name);
        let known = named.into_iter();
        let known = known.filter_map(|(name, s)| Some(of(name, s, s.basis.as_ref()?)));
        known.collect()
    }

    /// Whether a line may be written, as none was within `every`.
    pub fn may_log(&self, now: Duration, every: Duration) -> bool {
        let is_due = self.logged_at.get().is_none_or(|at| now >= at + every);
        if is_due {
            self.logged_at.set(Some(now));
        }
        is_due
    }

    /// What this box's callers ask of all services, and what ends.
    pub fn own_traffic(&self, now: Duration) -> Traffic {
        let mut services = self.services.borrow_mut();
        let own = services.values_mut().map(|s| s.meter.traffic(now));
        let own: Vec<Traffic> = own.collect();
        Traffic::sum(own.iter())
    }
}

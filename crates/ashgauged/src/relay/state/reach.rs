//! What is known of this box's way to the upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::reachability::Reachability;
use ashgauge::routing::ServiceId;
use tokio::sync::OnceCell;

/// Result of a check whether any upstream of a service is reached.
pub type Check = Rc<OnceCell<bool>>;

/// Results of connections to upstreams, and the last check of each service.
#[derive(Default)]
pub struct Reach {
    /// Results of connections to upstreams.
    pub connections: RefCell<Reachability>,
    /// The last check of each service, and when it began.
    checks: RefCell<HashMap<ServiceId, (Duration, Check)>>,
}

impl Reach {
    /// Returns whether this box reaches no upstream of a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.connections.borrow().is_cut_off(service)
    }

    /// Returns whether there is a service of which this box reaches no upstream.
    pub fn has_lost_service(&self) -> bool {
        self.connections.borrow().lost_services().next().is_some()
    }

    /// Returns the check of a service that is in progress or began less than `max_age` ago, or
    /// else a new one.
    pub fn check(&self, now: Duration, service: &ServiceId, max_age: Duration) -> Check {
        let mut checks = self.checks.borrow_mut();
        if let Some((_, check)) = checks.get(service).filter(|(at, _)| now < *at + max_age) {
            return check.clone();
        }
        let check = Check::default();
        checks.insert(service.clone(), (now, check.clone()));
        check
    }

    /// Forgets the services that `is_kept` does not accept.
    pub fn retain(&self, is_kept: impl Fn(&ServiceId) -> bool) {
        self.connections.borrow_mut().retain(&is_kept);
        self.checks
            .borrow_mut()
            .retain(|service, _| is_kept(service));
    }
}

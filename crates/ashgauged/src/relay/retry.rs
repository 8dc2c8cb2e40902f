//! Whether a request is sent again: the retries that the box may take, and the lines
//! that say why one was taken or refused.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use ashgauge::handoff::{Handoff, Next, Outcome};
use ashgauge::retry::{Allowance, Balance, Window};
use ashgauge::routing::ServiceId;
use serde_json::json;

use super::desk::Desk;
use super::request::Admitted;

/// The box's part of the fleet's retries, by service.
pub struct Budgets {
    allowance: Cell<Allowance>,
    /// Boxes that share it, once they are counted.
    boxes: Cell<Option<u32>>,
    started: Duration,
    windows: RefCell<HashMap<ServiceId, Window>>,
}

impl Budgets {
    /// Makes the budgets of a process that started at `started`.
    pub fn new(allowance: Allowance, started: Duration) -> Self {
        Budgets {
            allowance: Cell::new(allowance),
            boxes: Cell::new(None),
            started,
            windows: RefCell::default(),
        }
    }

    /// Changes what the fleet allows.
    pub fn set_allowance(&self, now: Duration, allowance: Allowance) {
        self.allowance.set(allowance);
        for window in self.windows.borrow_mut().values_mut() {
            window.set_allowance(now, allowance);
        }
    }

    /// Sets the number of boxes that share it.
    pub fn share_with(&self, boxes: u32) {
        self.boxes.set(Some(boxes));
        for window in self.windows.borrow_mut().values_mut() {
            window.share_with(boxes);
        }
    }

    /// Notes the first try of a request.
    pub fn earn(&self, now: Duration, service: &ServiceId) {
        self.with(service, |window| window.earn(now));
    }

    /// What there is of each service's retries.
    pub fn balances(&self, now: Duration) -> Vec<(ServiceId, Balance)> {
        let mut windows = self.windows.borrow_mut();
        let balances = windows.iter_mut().map(|(s, w)| (s.clone(), w.balance(now)));
        balances.collect()
    }

    fn with<T>(&self, service: &ServiceId, of: impl FnOnce(&mut Window) -> T) -> T {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(service.clone());
        of(window.or_insert_with(|| self.make()))
    }

    fn make(&self) -> Window {
        let mut window = Window::new(self.allowance.get(), self.started, rand::random());
        if let Some(boxes) = self.boxes.get() {
            window.share_with(boxes);
        }
        window
    }
}

/// Decides what follows after a send of a request that brought no good answer.
pub fn next(desk: &Desk, a: &Admitted, handoff: &mut Handoff, outcome: Outcome) -> Next {
    handoff.after(desk.now(), outcome, || take(desk, a))
}

/// Takes one retry out of the service's budget; returns false if none is left.
fn take(desk: &Desk, a: &Admitted) -> bool {
    let (now, service) = (desk.now(), &a.service.name);
    let before = desk.budgets.with(service, |window| window.balance(now));
    let taken = desk.budgets.with(service, |window| window.take(now));
    let result = if taken { "taken" } else { "refused" };
    desk.metrics.retries.with_label_values(&[result]).inc();
    let fields = json!({
        "result": result,
        "service": &**service,
        "earned": before.earned,
        "spent": before.spent,
        "left": before.left,
        "boxes": desk.budgets.boxes.get(),
        "up_ms": desk.uptime().as_millis() as u64,
    });
    a.record.step("retry", fields);
    taken
}

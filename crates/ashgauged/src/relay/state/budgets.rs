//! Retry budgets of a box.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use ashgauge::retry::{Allowance, Balance, SlidingBudget};
use ashgauge::routing::ServiceId;

/// This box's share of the fleet's retry allowance, by service.
pub struct RetryBudgets {
    allowance: Cell<Allowance>,
    /// Boxes that share the allowance; `None` until they are counted.
    boxes: Cell<Option<u32>>,
    started: Duration,
    windows: RefCell<HashMap<ServiceId, SlidingBudget>>,
}

impl RetryBudgets {
    /// Creates the budgets of a process that started at `started`.
    pub fn new(allowance: Allowance, started: Duration) -> Self {
        RetryBudgets {
            allowance: Cell::new(allowance),
            boxes: Cell::new(None),
            started,
            windows: RefCell::default(),
        }
    }

    /// Sets the retry allowance of the fleet.
    pub fn set_allowance(&self, now: Duration, allowance: Allowance) {
        self.allowance.set(allowance);
        for window in self.windows.borrow_mut().values_mut() {
            window.set_allowance(now, allowance);
        }
    }

    /// Sets the number of boxes that share the allowance.
    pub fn set_boxes(&self, boxes: u32) {
        self.boxes.set(Some(boxes));
        for window in self.windows.borrow_mut().values_mut() {
            window.set_boxes(boxes);
        }
    }

    /// Credits the budget of a service with the first attempt of a request.
    pub fn earn(&self, now: Duration, service: &ServiceId) {
        self.with(service, |window| window.deposit(now));
    }

    /// Returns the retry balance of each service.
    pub fn balances(&self, now: Duration) -> Vec<(ServiceId, Balance)> {
        let mut windows = self.windows.borrow_mut();
        let balances = windows.iter_mut().map(|(s, w)| (s.clone(), w.balance(now)));
        balances.collect()
    }

    /// Returns the number of boxes that share the extra retries, once they are counted.
    pub fn boxes(&self) -> Option<u32> {
        self.boxes.get()
    }

    /// Calls `f` with the budget of a service, which is created if it is missing.
    pub fn with<T>(&self, service: &ServiceId, f: impl FnOnce(&mut SlidingBudget) -> T) -> T {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(service.clone());
        f(window.or_insert_with(|| self.new_window()))
    }

    fn new_window(&self) -> SlidingBudget {
        let mut window = SlidingBudget::new(self.allowance.get(), self.started, rand::random());
        if let Some(boxes) = self.boxes.get() {
            window.set_boxes(boxes);
        }
        window
    }
}

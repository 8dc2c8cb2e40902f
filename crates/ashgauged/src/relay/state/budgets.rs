//! The retries that a box may take.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use ashgauge::retry::{Allowance, Balance, SlidingBudget};
use ashgauge::routing::ServiceId;

/// The box's part of the fleet's retries, by service.
pub struct RetryBudgets {
    allowance: Cell<Allowance>,
    /// Boxes that share it, once they are counted.
    boxes: Cell<Option<u32>>,
    started: Duration,
    windows: RefCell<HashMap<ServiceId, SlidingBudget>>,
}

impl RetryBudgets {
    /// Makes the budgets of a process that started at `started`.
    pub fn new(allowance: Allowance, started: Duration) -> Self {
        RetryBudgets {
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
    pub fn set_boxes(&self, boxes: u32) {
        self.boxes.set(Some(boxes));
        for window in self.windows.borrow_mut().values_mut() {
            window.set_boxes(boxes);
        }
    }

    /// Notes the first try of a request.
    pub fn earn(&self, now: Duration, service: &ServiceId) {
        self.with(service, |window| window.deposit(now));
    }

    /// What there is of each service's retries.
    pub fn balances(&self, now: Duration) -> Vec<(ServiceId, Balance)> {
        let mut windows = self.windows.borrow_mut();
        let balances = windows.iter_mut().map(|(s, w)| (s.clone(), w.balance(now)));
        balances.collect()
    }

    /// Boxes that share what is allowed besides, once they are counted.
    pub fn boxes(&self) -> Option<u32> {
        self.boxes.get()
    }

    /// Uses the window of a service.
    pub fn with<T>(&self, service: &ServiceId, of: impl FnOnce(&mut SlidingBudget) -> T) -> T {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(service.clone());
        of(window.or_insert_with(|| self.new_window()))
    }

    fn new_window(&self) -> SlidingBudget {
        let mut window = SlidingBudget::new(self.allowance.get(), self.started, rand::random());
        if let Some(boxes) = self.boxes.get() {
            window.set_boxes(boxes);
        }
        window
    }
}

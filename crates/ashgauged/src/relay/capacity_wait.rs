//! A request's wait for room on the engines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::admission::{AdmissionQueue, Ticket};
use ashgauge::routing::ServiceId;
use serde_json::json;
use tokio::time::sleep;

use super::request::AdmittedRequest;
use super::shared_state::SharedState;

/// Longest wait for room. A request that would wait longer is refused at once
/// and comes back when there may be room.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// The same for a request that comes back: most callers ask twice only, so
/// another refusal is the last word. Callers leave after two seconds.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(1200);

/// Part of the expected wait that must fit: the expectation is rough, and one
/// that is refused may have been let in.
const MIN_WAIT_SHARE: f64 = 0.5;

/// Time between two looks of the request that is next; some five requests end
/// meanwhile over the users' fleets.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request that is to be let in; leaves the line when it is dropped.
pub struct CapacityWait {
    shared: Rc<SharedState>,
    service: ServiceId,
    ticket: Option<Ticket>,
    /// Whether it is made for the first time.
    is_first: bool,
    deadline: Duration,
}

impl CapacityWait {
    /// A request that does not wait yet.
    pub fn new(shared: &Rc<SharedState>, a: &AdmittedRequest) -> Self {
        let first = !a.may_be_retry();
        let most = if first { MAX_WAIT } else { MAX_RETRY_WAIT };
        CapacityWait {
            shared: shared.clone(),
            service: a.service.name.clone(),
            ticket: None,
            is_first: first,
            deadline: shared.now() + most,
        }
    }

    /// Puts the request into the line, if it is not there, as no chain has room.
    pub fn wait_for_capacity(&mut self, a: &AdmittedRequest) {
        if self.ticket.is_none() {
            let fields = json!({
                "full": self.shared.count_full(&a.service),
                "limit": self.shared.with_queue(&self.service, |l| l.fill_limit()),
                "boxes_heard": self.shared.fleet_load.borrow().boxes(),
            });
            a.record.log_step("waits for room", fields);
        }
        self.enqueue(a);
    }

    fn enqueue(&mut self, a: &AdmittedRequest) {
        if self.ticket.is_none() {
            let team = a.team.as_ref().map_or("", |t| t.name.as_str());
            let rank = a.rank(&self.shared);
            let ticket = self.shared.with_queue(&self.service, |l| {
                l.enqueue(rank, self.is_first, &Arc::from(team))
            });
            self.ticket = Some(ticket);
        }
    }

    /// Waits until the request may look for a chain; returns false if it would
    /// take too long.
    pub async fn wait(&mut self, a: &AdmittedRequest) -> bool {
        let rank = a.rank(&self.shared);
        let line_ahead = |l: &mut AdmissionQueue| l.ahead_of_new(rank);
        if self.ticket.is_none() && self.shared.with_queue(&self.service, line_ahead) > 0 {
            self.enqueue(a);
        }
        let Some(ticket) = &self.ticket else {
            return true;
        };
        loop {
            let ahead = self.shared.with_queue(&self.service, |l| l.ahead(ticket));
            if self.exceeds_deadline(ahead) {
                return false;
            }
            sleep(POLL_INTERVAL).await;
            if ahead == 0 {
                return true;
            }
        }
    }

    /// Whether the request may wait for so long.
    pub fn fits_deadline(&self, wait: Duration) -> bool {
        self.shared.now() + wait <= self.deadline
    }

    /// Whether a request with so many ahead is better refused now.
    fn exceeds_deadline(&self, ahead: usize) -> bool {
        let wait = self
            .shared
            .with_queue(&self.service, |l| l.expected_wait(ahead));
        let now = self.shared.now();
        now >= self.deadline || now + wait.mul_f64(MIN_WAIT_SHARE) > self.deadline
    }

    /// Notes that the request was let in.
    pub fn note_admitted(&mut self) {
        let now = self.shared.now();
        self.shared
            .with_queue(&self.service, |l| l.note_admitted(now));
        self.dequeue();
    }

    fn dequeue(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.shared.with_queue(&self.service, |l| l.remove(&ticket));
        }
    }
}

impl Drop for CapacityWait {
    fn drop(&mut self) {
        self.dequeue();
    }
}

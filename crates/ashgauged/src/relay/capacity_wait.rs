//! A request's wait for capacity on the engines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::admission::{AdmissionQueue, Ticket};
use ashgauge::routing::ServiceId;
use serde_json::json;
use tokio::time::sleep;

use super::request::RoutedRequest;
use super::shared_state::SharedState;

/// Longest wait for capacity. A request that would wait longer is refused at once and comes
/// back when there may be capacity.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Longest wait of a retry for capacity. Most callers try only twice, so another refusal is
/// final. Callers leave after two seconds.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(1200);

/// Share of the expected wait that must fit before the deadline. The expectation is rough,
/// and a request that is refused might have been admitted.
const MIN_WAIT_SHARE: f64 = 0.5;

/// Interval at which the first request of the queue checks again. About five requests end
/// in that time in the users' fleets, so an engine is likely to have capacity by then.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request that waits to be admitted. Dropping it removes it from the queue.
pub struct CapacityWait {
    shared: Rc<SharedState>,
    service: ServiceId,
    ticket: Option<Ticket>,
    /// Whether this is the first try of the request.
    is_first: bool,
    deadline: Duration,
}

impl CapacityWait {
    /// Creates the wait of a request that is not in the queue yet.
    pub fn new(shared: &Rc<SharedState>, request: &RoutedRequest) -> Self {
        let is_first = !request.may_be_retry();
        let max_wait = if is_first { MAX_WAIT } else { MAX_RETRY_WAIT };
        CapacityWait {
            shared: shared.clone(),
            service: request.service.name.clone(),
            ticket: None,
            is_first,
            deadline: shared.now() + max_wait,
        }
    }

    /// Puts the request into the queue, if it is not there yet, because no chain has the
    /// capacity.
    pub fn enqueue_for_capacity(&mut self, request: &RoutedRequest) {
        if self.ticket.is_none() {
            let fields = json!({
                "full": self.shared.count_full(&request.service),
                "limit": self.shared.with_queue(&self.service, |queue| queue.fill_limit()),
                "boxes_heard": self.shared.fleet_load.borrow().boxes(),
            });
            request.record.log_step("waits for room", fields);
        }
        self.enqueue(request);
    }

    /// Puts the request into the queue, if it is not there yet.
    fn enqueue(&mut self, request: &RoutedRequest) {
        if self.ticket.is_none() {
            let team = request.team.as_ref().map_or("", |t| t.name.as_str());
            let rank = request.rank(&self.shared);
            let ticket = self.shared.with_queue(&self.service, |queue| {
                queue.enqueue(rank, self.is_first, &Arc::from(team))
            });
            self.ticket = Some(ticket);
        }
    }

    /// Waits until the request may choose a chain. Returns `false` if that would take too
    /// long.
    pub async fn wait(&mut self, request: &RoutedRequest) -> bool {
        let rank = request.rank(&self.shared);
        let queue_ahead = |queue: &mut AdmissionQueue| queue.ahead_of_new(rank);
        if self.ticket.is_none() && self.shared.with_queue(&self.service, queue_ahead) > 0 {
            self.enqueue(request);
        }
        let Some(ticket) = &self.ticket else {
            return true;
        };
        loop {
            let ahead = self
                .shared
                .with_queue(&self.service, |queue| queue.ahead(ticket));
            if self.exceeds_deadline(ahead) {
                return false;
            }
            sleep(POLL_INTERVAL).await;
            if ahead == 0 {
                return true;
            }
        }
    }

    /// Whether a wait of this length ends before the deadline.
    pub fn fits_deadline(&self, wait: Duration) -> bool {
        self.shared.now() + wait <= self.deadline
    }

    /// Whether a request with `ahead` others before it is better refused now.
    fn exceeds_deadline(&self, ahead: usize) -> bool {
        let wait = self
            .shared
            .with_queue(&self.service, |queue| queue.expected_wait(ahead));
        let now = self.shared.now();
        now >= self.deadline || now + wait.mul_f64(MIN_WAIT_SHARE) > self.deadline
    }

    /// Records that the request was admitted.
    pub fn note_admitted(&mut self) {
        let now = self.shared.now();
        self.shared
            .with_queue(&self.service, |queue| queue.note_admitted(now));
        self.dequeue();
    }

    /// Removes the request from the queue, if it is there.
    fn dequeue(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.shared
                .with_queue(&self.service, |queue| queue.remove(&ticket));
        }
    }
}

impl Drop for CapacityWait {
    fn drop(&mut self) {
        self.dequeue();
    }
}

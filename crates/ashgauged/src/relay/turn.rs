//! A request's wait for room on the engines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::admission::{AdmissionQueue, Ticket};
use ashgauge::routing::ServiceId;
use serde_json::json;
use tokio::time::sleep;

use super::desk::Desk;
use super::request::Admitted;

/// Longest wait for room. A request that would wait longer is refused at once
/// and comes back when there may be room.
const WAIT_MOST: Duration = Duration::from_millis(400);

/// The same for a request that comes back: most callers ask twice only, so
/// another refusal is the last word. Callers leave after two seconds.
const WAIT_BACK: Duration = Duration::from_millis(1200);

/// Part of the expected wait that must fit: the expectation is rough, and one
/// that is refused may have been let in.
const WAIT_SURE: f64 = 0.5;

/// Time between two looks of the request that is next; some five requests end
/// meanwhile over the users' fleets.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A request that is to be let in; leaves the line when it is dropped.
pub struct Turn {
    desk: Rc<Desk>,
    service: ServiceId,
    ticket: Option<Ticket>,
    /// Whether it is made for the first time.
    first: bool,
    until: Duration,
}

impl Turn {
    /// A request that does not wait yet.
    pub fn new(desk: &Rc<Desk>, a: &Admitted) -> Self {
        let first = !a.is_back();
        let most = if first { WAIT_MOST } else { WAIT_BACK };
        Turn {
            desk: desk.clone(),
            service: a.service.name.clone(),
            ticket: None,
            first,
            until: desk.now() + most,
        }
    }

    /// Puts the request into the line, if it is not there, as no chain has room.
    pub fn join(&mut self, a: &Admitted) {
        if self.ticket.is_none() {
            let fields = json!({
                "full": self.desk.count_full(&a.service),
                "limit": self.desk.line(&self.service, |l| l.fill_limit()),
                "boxes_heard": self.desk.shares.borrow().boxes(),
            });
            a.record.step("waits for room", fields);
        }
        self.enter(a);
    }

    fn enter(&mut self, a: &Admitted) {
        if self.ticket.is_none() {
            let team = a.team.as_ref().map_or("", |t| t.name.as_str());
            let rank = a.rank(&self.desk);
            let ticket = self.desk.line(&self.service, |l| {
                l.enqueue(rank, self.first, &Arc::from(team))
            });
            self.ticket = Some(ticket);
        }
    }

    /// Waits until the request may look for a chain; returns false if it would
    /// take too long.
    pub async fn wait(&mut self, a: &Admitted) -> bool {
        let rank = a.rank(&self.desk);
        let line_ahead = |l: &mut AdmissionQueue| l.ahead_of_new(rank);
        if self.ticket.is_none() && self.desk.line(&self.service, line_ahead) > 0 {
            self.enter(a);
        }
        let Some(ticket) = &self.ticket else {
            return true;
        };
        loop {
            let ahead = self.desk.line(&self.service, |l| l.ahead(ticket));
            if self.takes_too_long(ahead) {
                return false;
            }
            sleep(LOOK_EVERY).await;
            if ahead == 0 {
                return true;
            }
        }
    }

    /// Whether the request may wait for so long.
    pub fn has_time(&self, wait: Duration) -> bool {
        self.desk.now() + wait <= self.until
    }

    /// Whether a request with so many ahead is better refused now.
    fn takes_too_long(&self, ahead: usize) -> bool {
        let wait = self.desk.line(&self.service, |l| l.expected_wait(ahead));
        let now = self.desk.now();
        now >= self.until || now + wait.mul_f64(WAIT_SURE) > self.until
    }

    /// Notes that the request was let in.
    pub fn let_in(&mut self) {
        let now = self.desk.now();
        self.desk.line(&self.service, |l| l.note_admitted(now));
        self.leave();
    }

    fn leave(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.desk.line(&self.service, |l| l.remove(&ticket));
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.leave();
    }
}

//! A request's wait for room on the engines.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::admission::Ticket;
use ashgauge::routing::ServiceId;
use serde_json::json;
use tokio::time::sleep;

use super::desk::Desk;
use super::forward::Admitted;

/// Longest wait for room. A request that would wait longer is refused at once
/// and comes back when there may be room.
const WAIT_MOST: Duration = Duration::from_millis(400);

/// The same for a request that comes back: most callers ask twice only, so
/// another refusal is the last word. Callers leave after two seconds.
const WAIT_BACK: Duration = Duration::from_millis(1200);

/// A request with less than this part of its route's time left was made before:
/// what it waited then is gone.
const FIRST_PART: f64 = 0.97;

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
        let patience = a.ask.patience.unwrap_or(a.route.timeout);
        let first = patience >= a.route.timeout.mul_f64(FIRST_PART);
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
            let full = self.desk.fullnesses(&self.service);
            let full: HashMap<&str, f64> = full.iter().map(|(id, f)| (&**id, *f)).collect();
            let fields = json!({
                "fullness": full,
                "limit": self.desk.line(&self.service, |l| l.limit()),
                "boxes_heard": self.desk.shares.borrow().boxes(),
            });
            a.record.step("waits for room", fields);
        }
        self.enter(a);
    }

    fn enter(&mut self, a: &Admitted) {
        if self.ticket.is_none() {
            let team = a.team.as_ref().map_or("", |t| t.name.as_str());
            let ticket = self.desk.line(&self.service, |l| {
                l.join(a.rank(), self.first, &Arc::from(team))
            });
            self.ticket = Some(ticket);
        }
    }

    /// Waits until the request may look for a chain; returns false if it would
    /// take too long.
    pub async fn wait(&mut self, a: &Admitted) -> bool {
        let rank = a.rank();
        if self.ticket.is_none() {
            if self.desk.line(&self.service, |l| l.ahead_of(rank)) == 0 {
                return true;
            }
            self.enter(a);
        }
        loop {
            let Some(ticket) = &self.ticket else {
                return true;
            };
            let (ahead, wait) = self.desk.line(&self.service, |l| {
                let ahead = l.ahead(ticket);
                (ahead, l.wait(ahead))
            });
            let now = self.desk.now();
            if now >= self.until || now + wait.mul_f64(0.5) > self.until {
                return false;
            }
            sleep(LOOK_EVERY).await;
            if ahead == 0 {
                return true;
            }
        }
    }

    /// Notes that the request was let in.
    pub fn let_in(&mut self) {
        let now = self.desk.now();
        self.desk.line(&self.service, |l| l.note_in(now));
        self.leave();
    }

    fn leave(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.desk.line(&self.service, |l| l.leave(&ticket));
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.leave();
    }
}

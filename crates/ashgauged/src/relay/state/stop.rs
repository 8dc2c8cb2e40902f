//! The end of the process after a signal to stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::completion_time::CompletionTime;
use tokio::sync::watch;

/// When the requests in flight end with the process, and how long requests take.
#[derive(Default)]
pub struct Stop {
    /// Whether the box is stopping.
    pub is_stopping: Cell<bool>,
    /// Whether new requests are refused because the process is about to end.
    pub is_stopped: Cell<bool>,
    /// When they get their last answers; `None` if the box is not stopping.
    pub ends_at: Cell<Option<Duration>>,
    /// Whether that moment has come.
    pub ended: watch::Sender<bool>,
    /// Time that requests take, by route.
    times: RefCell<HashMap<Arc<str>, CompletionTime>>,
}

impl Stop {
    /// Records the time that a successful request on a route took.
    pub fn record_time(&self, route: &str, took: Duration) {
        let mut times = self.times.borrow_mut();
        match times.get_mut(route) {
            Some(time) => time.record(took),
            None => {
                let mut time = CompletionTime::default();
                time.record(took);
                times.insert(route.into(), time);
            }
        }
    }

    /// Returns the time within which nearly all requests on a route end, if one has ended.
    pub fn upper_time(&self, route: &str) -> Option<Duration> {
        self.times.borrow().get(route)?.upper()
    }

    /// Forgets the routes that are not kept.
    pub fn retain_routes(&self, is_kept: impl Fn(&str) -> bool) {
        self.times.borrow_mut().retain(|route, _| is_kept(route));
    }

    /// Waits until the requests in flight get their last answers.
    pub async fn wait_ended(&self) {
        // The sender lives as long as the state.
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }
}

//! What a box knows of limits that upstreams name, and of the permits for them.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use ashgauge::member::BoxId;
use ashgauge::permit::{
    PermitBuckets, PermitRequestId, RetrySchedule, SkippedBoxes, UpstreamLimits, Verdict,
};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Limits and permits of one box.
#[derive(Default)]
pub struct Permits {
    /// Limits that upstreams named.
    pub limits: RefCell<UpstreamLimits>,
    /// What this box gave.
    pub grants: RefCell<PermitBuckets>,
    /// When refused callers come back.
    pub schedule: RefCell<RetrySchedule>,
    /// Boxes that did not answer.
    pub silent_boxes: RefCell<SkippedBoxes>,
    /// Boxes that may give permits, as all boxes know them; none if this one hears no
    /// others.
    pub givers: RefCell<Rc<Vec<BoxId>>>,
    /// Asks that were not answered yet.
    pub pending: RefCell<HashMap<PermitRequestId, oneshot::Sender<Verdict>>>,
    /// The socket by which the boxes hear each other.
    pub socket: OnceCell<Rc<UdpSocket>>,
}

impl Permits {
    /// Keeps who waits for the answer to an ask; those who have left wait no more.
    pub fn await_answer(&self, id: PermitRequestId, answer: oneshot::Sender<Verdict>) {
        let mut open = self.pending.borrow_mut();
        open.retain(|_, waiting| !waiting.is_closed());
        open.insert(id, answer);
    }
}

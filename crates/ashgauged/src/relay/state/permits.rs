//! Rate limits that upstreams announce, and the permits to send to those upstreams.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use ashgauge::member::BoxId;
use ashgauge::permit::{
    PermitBuckets, PermitRequestId, RetrySchedule, SkippedBoxes, UpstreamLimits, Verdict,
};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Rate limits and permits that one box knows.
#[derive(Default)]
pub struct Permits {
    /// Rate limits that upstreams announced.
    pub limits: RefCell<UpstreamLimits>,
    /// Permits that this box has issued.
    pub buckets: RefCell<PermitBuckets>,
    /// When refused callers should retry.
    pub schedule: RefCell<RetrySchedule>,
    /// Boxes that did not answer permit requests.
    pub skipped_boxes: RefCell<SkippedBoxes>,
    /// Boxes that may issue permits, as all boxes know them; empty if this box has no
    /// messaging with others.
    pub issuers: RefCell<Rc<Vec<BoxId>>>,
    /// Permit requests that have not been answered yet.
    pub pending: RefCell<HashMap<PermitRequestId, oneshot::Sender<Verdict>>>,
    /// The socket for messages between boxes.
    pub socket: OnceCell<Rc<UdpSocket>>,
}

impl Permits {
    /// Registers the sender for the answer to a permit request; drops senders whose
    /// receivers are gone.
    pub fn register_pending(&self, id: PermitRequestId, answer: oneshot::Sender<Verdict>) {
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_, sender| !sender.is_closed());
        pending.insert(id, answer);
    }
}

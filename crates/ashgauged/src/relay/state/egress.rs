//! Offers between boxes to send requests through one another.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use ashgauge::egress::{Declines, Offers, Tokens};
use ashgauge::query::QueryId;
use ashgauge::routing::ServiceId;
use tokio::sync::Notify;

/// Offers that this box has, and tokens that it accepts.
#[derive(Default)]
pub struct Egress {
    /// Offers of other boxes, by service.
    pub services: RefCell<HashMap<ServiceId, ServiceOffers>>,
    /// Tokens that this box accepts.
    pub tokens: RefCell<Tokens>,
    /// Boxes to which this one, as a hub, refers no requests for now.
    pub declines: RefCell<Declines>,
    /// Requests for offers that this box, as a hub, has referred in a period that began at the
    /// given time.
    pub referred: Cell<(Duration, u32)>,
    /// Notifies that there is a new offer, or that this box reaches a service again.
    pub changed: Notify,
}

/// Offers for one service.
#[derive(Default)]
pub struct ServiceOffers {
    /// Offers of other boxes.
    pub offers: Offers,
    /// Number of the last request for offers, and when it was sent.
    pub asked: Option<(QueryId, Duration)>,
    /// Until when no request waits for an offer, as none came.
    pub unoffered_until: Duration,
    /// How long no request waits for an offer after the next time that none comes.
    pub backoff: Duration,
}

//! Requests to other boxes for what they see of an upstream.

use std::cell::RefCell;
use std::collections::HashMap;

use ashgauge::liveness::Observation;
use ashgauge::query::QueryId;
use tokio::sync::Notify;

use super::probes::ProbeCache;

/// Requests to other boxes for what they see of an upstream, and what this box sees.
#[derive(Default)]
pub struct Liveness {
    /// Replies to the requests of this box that are under way.
    pub replies: RefCell<HashMap<QueryId, Vec<Observation>>>,
    /// Notifies that a reply has arrived.
    pub replied: Notify,
    /// What this box sees of upstreams, by instance key.
    pub observations: ProbeCache<Observation>,
    /// Whether upstreams have ended, by instance key.
    pub ended: ProbeCache<bool>,
}

//! Fenced orders to upstreams: load a model, adapter or version, change role.
//!
//! The desired state of an upstream is a row of the table. The box that holds the lease
//! compares it with the state that the upstream last confirmed, and sends an order if they
//! differ: one order per upstream at a time, with the term of the lease as the fencing token.
//! An order contains the whole desired state, so it is idempotent. An upstream that does not
//! check the fencing token may have obeyed a previous holder in the meantime, so its order is
//! sent again every few seconds.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::lease::Term;
use crate::member::UpstreamId;

/// Delay before a failed order is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which an order is repeated to an upstream that does not check the fencing
/// token.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);

/// Time after which an order without a reply counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// State that an upstream should have, according to its row of the table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Hash of the other fields; two states are equal if their hashes are.
    #[serde(default)]
    #[serde(rename = "number")]
    pub hash: u64,
    /// Layers to hold, such as `chat:0-8`.
    #[serde(default)]
    pub load: Option<String>,
    /// Adapter to load.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Version of the weights.
    #[serde(default)]
    pub version: Option<String>,
    /// Role, such as `prefill` or `decode`.
    #[serde(default)]
    pub role: Option<String>,
}

impl DesiredState {
    /// Sets the hash from the other fields.
    pub fn with_hash(mut self) -> Self {
        let text = format!(
            "{:?}",
            (&self.load, &self.adapter, &self.version, &self.role)
        );
        self.hash = xxh3_64(text.as_bytes());
        self
    }
}

/// An order to one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub addr: String,
    /// Term of the lease, as the fencing token.
    pub term: Term,
    /// State that the upstream should have.
    #[serde(rename = "goal")]
    pub desired: DesiredState,
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The upstream has the state with this hash.
    Has(u64),
    /// The upstream has seen a newer fencing token and refused the order.
    Fenced,
    /// There was no reply, or one that is not understood.
    Lost,
}

/// Orders that the lease holder sends to bring upstreams into their desired states.
#[derive(Debug, Default)]
pub struct Orders {
    term: Term,
    confirmed: HashMap<UpstreamId, (u64, Duration)>,
    sent_at: HashMap<UpstreamId, Duration>,
    retry_at: HashMap<UpstreamId, Duration>,
}

impl Orders {
    /// Returns the hash of the state that the upstream confirmed in this term.
    pub fn confirmed(&self, id: &str) -> Option<u64> {
        self.confirmed.get(id).map(|(hash, _)| *hash)
    }

    /// Returns the orders to send now in `term`: upstreams and their desired states.
    ///
    /// `fenced` returns whether an upstream checks the fencing token.
    pub fn due_orders(
        &mut self,
        now: Duration,
        term: Term,
        desired: &BTreeMap<UpstreamId, DesiredState>,
        fenced: impl Fn(&str) -> bool,
    ) -> Vec<(UpstreamId, DesiredState)> {
        if term != self.term {
            // Confirmations from an earlier term do not count in a new one.
            *self = Orders {
                term,
                ..Orders::default()
            };
        }
        let mut due = Vec::new();
        for (id, state) in desired {
            let is_confirmed = self.confirmed.get(id).is_some_and(|(hash, at)| {
                *hash == state.hash && (fenced(id) || now < *at + RESEND_INTERVAL)
            });
            let is_waiting = self
                .sent_at
                .get(id)
                .is_some_and(|t| now < *t + REPLY_TIMEOUT);
            let is_delayed = self.retry_at.get(id).is_some_and(|t| now < *t);
            if !is_confirmed && !is_waiting && !is_delayed {
                self.sent_at.insert(id.clone(), now);
                due.push((id.clone(), state.clone()));
            }
        }
        due
    }

    /// Handles an upstream's reply to an order sent in `term`.
    pub fn on_reply(&mut self, now: Duration, id: &UpstreamId, term: Term, reply: &Reply) {
        if term != self.term {
            return;
        }
        self.sent_at.remove(id);
        match reply {
            Reply::Has(hash) => {
                self.confirmed.insert(id.clone(), (*hash, now));
            }
            Reply::Fenced | Reply::Lost => {
                self.retry_at.insert(id.clone(), now + RETRY_DELAY);
            }
        }
    }
}

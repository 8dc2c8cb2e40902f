//! Fenced orders to upstreams: load a model, adapter or version, change role.
//!
//! The wanted state is a row of the table. The box that holds the lease
//! compares it with what each upstream last confirmed and sends what differs,
//! one order an upstream at a time, with its lease's term as the fence. An
//! order states the end state, so repeating it changes nothing. An upstream
//! that does not check the fence may have obeyed an old holder since, so it is
//! told again every few seconds.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::lease::Term;
use crate::member::UpstreamId;

/// Pause after an order that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after which an upstream without a fence check is told again.
const RESEND_INTERVAL: Duration = Duration::from_secs(3);

/// Time after which an unanswered order counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// State that an upstream should have, from its row of the table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Hash of the other fields; two goals are equal if their numbers are.
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
    /// Fills in the number from the other fields.
    pub fn with_hash(mut self) -> Self {
        let text = format!(
            "{:?}",
            (&self.load, &self.adapter, &self.version, &self.role)
        );
        self.hash = xxh3_64(text.as_bytes());
        self
    }
}

/// One order on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub addr: String,
    /// The fence.
    pub term: Term,
    /// The wanted state.
    #[serde(rename = "goal")]
    pub desired: DesiredState,
}

/// An upstream's answer to an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It has the state with this number.
    Has(u64),
    /// It has seen a newer fence.
    Fenced,
    /// No answer, or none that is known.
    Lost,
}

/// The lease holder's work on the goals.
#[derive(Debug, Default)]
pub struct Orders {
    term: Term,
    confirmed: HashMap<UpstreamId, (u64, Duration)>,
    sent_at: HashMap<UpstreamId, Duration>,
    retry_at: HashMap<UpstreamId, Duration>,
}

impl Orders {
    /// Number of the goal that the upstream confirmed to this holder.
    pub fn confirmed(&self, id: &str) -> Option<u64> {
        self.confirmed.get(id).map(|(n, _)| *n)
    }

    /// Returns the goals to send now, under `term`.
    ///
    /// `fenced` tells whether an upstream checks the fence.
    pub fn due_orders(
        &mut self,
        now: Duration,
        term: Term,
        goals: &BTreeMap<UpstreamId, DesiredState>,
        fenced: impl Fn(&str) -> bool,
    ) -> Vec<(UpstreamId, DesiredState)> {
        if term != self.term {
            // A new holder trusts nothing that an earlier one was told.
            *self = Orders {
                term,
                ..Orders::default()
            };
        }
        let mut due = Vec::new();
        for (id, goal) in goals {
            let done = self.confirmed.get(id).is_some_and(|(n, at)| {
                *n == goal.hash && (fenced(id) || now < *at + RESEND_INTERVAL)
            });
            let waits = self
                .sent_at
                .get(id)
                .is_some_and(|t| now < *t + REPLY_TIMEOUT);
            let paused = self.retry_at.get(id).is_some_and(|t| now < *t);
            if !done && !waits && !paused {
                self.sent_at.insert(id.clone(), now);
                due.push((id.clone(), goal.clone()));
            }
        }
        due
    }

    /// Takes an upstream's answer to an order sent under `term`.
    pub fn on_reply(&mut self, now: Duration, id: &UpstreamId, term: Term, reply: &Reply) {
        if term != self.term {
            return;
        }
        self.sent_at.remove(id);
        match reply {
            Reply::Has(number) => {
                self.confirmed.insert(id.clone(), (*number, now));
            }
            Reply::Fenced | Reply::Lost => {
                self.retry_at.insert(id.clone(), now + RETRY_DELAY);
            }
        }
    }
}

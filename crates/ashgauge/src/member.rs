//! Boxes and upstreams: who is live, leaving or suspected.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ident::Layer;
pub use crate::ident::{BoxId, UpstreamId};

/// How long a failed call keeps a peer out of the live set; each further one
/// without a word from the peer doubles it.
const MIN_BACKOFF: Duration = Duration::from_secs(3);
const MAX_BACKOFF: Duration = Duration::from_secs(24);

/// How long a rumour that an upstream leaves outlives the list's silence.
const LEAVING_TTL: Duration = Duration::from_secs(30);

/// State of a member in the platform's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Takes work.
    #[default]
    Live,
    /// Finishes its work and takes no more.
    Leaving,
}

/// A box in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// Name.
    pub id: BoxId,
    /// Address of its box-to-box port.
    #[serde(rename = "peer")]
    pub peer_addr: String,
    /// Address of its operator port.
    #[serde(rename = "operator")]
    pub operator_addr: String,
    /// Its data centre.
    pub data_centre: String,
    /// Live or leaving.
    #[serde(default)]
    pub state: MemberState,
}

/// A model's layers that an engine holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldLayers {
    /// Model, as its route names it.
    pub model: String,
    /// First layer.
    pub first: Layer,
    /// Layer after the last.
    pub end: Layer,
}

/// An upstream in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Name.
    pub id: UpstreamId,
    /// Address.
    pub addr: String,
    /// Its data centre.
    #[serde(default)]
    pub data_centre: String,
    /// Layers it holds, if it is a model engine.
    #[serde(default)]
    pub holds: Vec<HeldLayers>,
    /// Service route it serves, if it is a plain service.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether it refuses orders with an old fence.
    #[serde(default)]
    pub fenced: bool,
    /// Live or leaving.
    #[serde(default)]
    pub state: MemberState,
}

/// The platform's lagging list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Grows with each change of the list.
    #[serde(default)]
    pub version: u64,
    /// Boxes.
    pub boxes: Vec<BoxEntry>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamEntry>,
}

/// A box that did not take a message.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    delay: Duration,
}

/// What one box knows of all members.
#[derive(Debug, Default)]
pub struct Members {
    boxes: BTreeMap<BoxId, BoxEntry>,
    upstreams: BTreeMap<UpstreamId, UpstreamEntry>,
    backoffs: HashMap<BoxId, Backoff>,
    leaving: HashMap<UpstreamId, Duration>,
}

impl Members {
    /// Takes over a newer list.
    pub fn update(&mut self, list: MemberList) {
        let boxes = list.boxes.into_iter().map(|b| (b.id.clone(), b));
        self.boxes = boxes.collect();
        let ups = list.upstreams.into_iter().map(|u| (u.id.clone(), u));
        self.upstreams = ups.collect();
    }

    /// Notes that a call to a box failed; returns true if that is news.
    pub fn mark_suspect(&mut self, now: Duration, id: &str) -> bool {
        let before = self.backoffs.get(id).copied();
        if before.is_some_and(|s| now < s.until) {
            return false;
        }
        let time = before.map_or(MIN_BACKOFF, |s| (s.delay * 2).min(MAX_BACKOFF));
        let until = now + time;
        self.backoffs
            .insert(id.into(), Backoff { until, delay: time });
        true
    }

    /// Notes that a box was heard.
    pub fn clear_suspect(&mut self, id: &str) {
        self.backoffs.remove(id);
    }

    /// Notes that an upstream is leaving; returns true if that is news.
    pub fn mark_leaving(&mut self, now: Duration, id: &str) -> bool {
        let known = self.is_leaving(now, id);
        if !known {
            self.leaving.insert(id.into(), now + LEAVING_TTL);
        }
        !known
    }

    /// Upstreams known to leave by rumour, to tell other boxes.
    pub fn leaving_ids(&self, now: Duration) -> Vec<UpstreamId> {
        let fresh = self.leaving.iter().filter(|(_, until)| **until > now);
        let mut ids: Vec<_> = fresh.map(|(id, _)| id.clone()).collect();
        ids.sort();
        ids
    }

    /// Returns true if the upstream must get no new work.
    pub fn is_leaving(&self, now: Duration, id: &str) -> bool {
        let listed = self.upstreams.get(id);
        let rumoured = self.leaving.get(id).is_some_and(|until| *until > now);
        rumoured || listed.is_none_or(|u| u.state == MemberState::Leaving)
    }

    /// All boxes of the list.
    pub fn boxes(&self) -> impl Iterator<Item = &BoxEntry> {
        self.boxes.values()
    }

    /// All upstreams of the list.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values()
    }

    /// One upstream.
    pub fn upstream(&self, id: &str) -> Option<&UpstreamEntry> {
        self.upstreams.get(id)
    }

    /// Boxes that can be asked: listed as live, and not suspected.
    pub fn live_boxes(&self, now: Duration) -> impl Iterator<Item = &BoxEntry> {
        let fine = move |b: &&BoxEntry| {
            let suspected = self.backoffs.get(&b.id).is_some_and(|s| s.until > now);
            b.state == MemberState::Live && !suspected
        };
        self.boxes.values().filter(fine)
    }

    /// The live box that is home to `key`, by highest random weight.
    pub fn owner_of(&self, now: Duration, key: &str) -> Option<BoxId> {
        let weight = |b: &&BoxEntry| {
            let seed = xxh3_64_with_seed(b.id.as_bytes(), 0);
            xxh3_64_with_seed(key.as_bytes(), seed)
        };
        self.live_boxes(now)
            .max_by_key(weight)
            .map(|b| b.id.clone())
    }
}

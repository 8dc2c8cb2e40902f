//! Members of the fleet: boxes and upstreams, and which of them are live, leaving or suspect.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ident::Layer;
pub use crate::ident::{BoxId, UpstreamId};

/// How long a box counts as suspect after a first failed call. Each further failed call
/// doubles the time, up to [`MAX_BACKOFF`], until a message from the box arrives.
const MIN_BACKOFF: Duration = Duration::from_secs(3);
/// Longest time for which a box counts as suspect after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(24);

/// How long a report that an upstream is leaving counts while the platform's list does not
/// say so.
const LEAVING_TTL: Duration = Duration::from_secs(30);

/// State of a member according to the platform's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Accepts work.
    #[default]
    Live,
    /// Finishes its current work and accepts no more.
    Leaving,
}

/// A box as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// Name of the box.
    pub id: BoxId,
    /// Address of its port for messages from other boxes.
    #[serde(rename = "peer")]
    pub peer_addr: String,
    /// Address of its operator port.
    #[serde(rename = "operator")]
    pub operator_addr: String,
    /// Data centre of the box.
    pub data_centre: String,
    /// State: live or leaving.
    #[serde(default)]
    pub state: MemberState,
}

/// A range of model layers that an engine holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldLayers {
    /// Name of the model, as in its route.
    pub model: String,
    /// First layer.
    pub first: Layer,
    /// End of the range (exclusive).
    pub end: Layer,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Address of the upstream.
    pub addr: String,
    /// Data centre of the upstream.
    #[serde(default)]
    pub data_centre: String,
    /// Layers that it holds, if it is a model engine.
    #[serde(default)]
    pub holds: Vec<HeldLayers>,
    /// Route that it serves, if it is a service that does not run a model.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether it refuses orders with an old fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// State: live or leaving.
    #[serde(default)]
    pub state: MemberState,
}

/// The platform's list of members, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Version of the list; grows with each change.
    #[serde(default)]
    pub version: u64,
    /// All boxes.
    pub boxes: Vec<BoxEntry>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamEntry>,
}

/// Backoff after failed calls to a box.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    delay: Duration,
}

/// Members of the fleet, as one box knows them.
#[derive(Debug, Default)]
pub struct Members {
    boxes: BTreeMap<BoxId, BoxEntry>,
    upstreams: BTreeMap<UpstreamId, UpstreamEntry>,
    backoffs: HashMap<BoxId, Backoff>,
    leaving: HashMap<UpstreamId, Duration>,
}

impl Members {
    /// Replaces the list of members by a newer one.
    pub fn update(&mut self, list: MemberList) {
        let boxes = list.boxes.into_iter().map(|b| (b.id.clone(), b));
        self.boxes = boxes.collect();
        let upstreams = list.upstreams.into_iter().map(|u| (u.id.clone(), u));
        self.upstreams = upstreams.collect();
    }

    /// Marks a box as suspect after a failed call; returns false if it was suspect already.
    pub fn mark_suspect(&mut self, now: Duration, id: &str) -> bool {
        let previous = self.backoffs.get(id).copied();
        if previous.is_some_and(|s| now < s.until) {
            return false;
        }
        let delay = previous.map_or(MIN_BACKOFF, |s| (s.delay * 2).min(MAX_BACKOFF));
        let until = now + delay;
        self.backoffs.insert(id.into(), Backoff { until, delay });
        true
    }

    /// Clears the suspicion of a box, after a message from it.
    pub fn clear_suspect(&mut self, id: &str) {
        self.backoffs.remove(id);
    }

    /// Marks an upstream as leaving; returns false if that was known already.
    pub fn mark_leaving(&mut self, now: Duration, id: &str) -> bool {
        let is_known = self.is_leaving(now, id);
        if !is_known {
            self.leaving.insert(id.into(), now + LEAVING_TTL);
        }
        !is_known
    }

    /// Returns the upstreams that were reported as leaving, sorted, to inform other boxes.
    pub fn leaving_ids(&self, now: Duration) -> Vec<UpstreamId> {
        let current = self.leaving.iter().filter(|(_, until)| **until > now);
        let mut ids: Vec<_> = current.map(|(id, _)| id.clone()).collect();
        ids.sort();
        ids
    }

    /// Returns whether an upstream must get no new work: it is leaving or not listed.
    pub fn is_leaving(&self, now: Duration, id: &str) -> bool {
        let listed = self.upstreams.get(id);
        let is_reported = self.leaving.get(id).is_some_and(|until| *until > now);
        is_reported || listed.is_none_or(|u| u.state == MemberState::Leaving)
    }

    /// Returns all listed boxes.
    pub fn boxes(&self) -> impl Iterator<Item = &BoxEntry> {
        self.boxes.values()
    }

    /// Returns all listed upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values()
    }

    /// Returns the entry of an upstream, if it is listed.
    pub fn upstream(&self, id: &str) -> Option<&UpstreamEntry> {
        self.upstreams.get(id)
    }

    /// Returns the boxes that can be called: listed as live, and not suspect.
    pub fn live_boxes(&self, now: Duration) -> impl Iterator<Item = &BoxEntry> {
        let is_usable = move |b: &&BoxEntry| {
            let is_suspect = self.backoffs.get(&b.id).is_some_and(|s| s.until > now);
            b.state == MemberState::Live && !is_suspect
        };
        self.boxes.values().filter(is_usable)
    }

    /// Returns the live box that owns `key`, by rendezvous hashing.
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

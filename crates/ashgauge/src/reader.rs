//! Selection of the boxes that read the store, the readers, and of the boxes that others query.
//!
//! A few boxes read the store for all: among the boxes that answer, those with the fastest
//! links, and among equal links those with the highest hash weights, spread over the data
//! centres. There is no agreement between boxes. Different views of which boxes are readers
//! cost extra calls of the store, but never safety: what a box may rely on depends on the
//! answers that it gets ([`crate::query`]), no matter which box gave them.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::BoxId;

/// Minimum number of readers in the fleet, so that after the loss of one, others still have
/// the full data.
const MIN_READERS: usize = 3;

/// Minimum number of boxes that a reader is expected to serve, however slow its link is.
const MIN_READER_BOXES: usize = 30;

/// Maximum number of boxes that a reader is expected to serve; when all boxes start, each of
/// them briefly keeps a connection to it open.
pub const MAX_READER_BOXES: usize = 100;

/// Bandwidth of a reader's link, in Mbit/s, needed for each box that it serves: a full update
/// takes a few Mbit, and all boxes should have theirs within two seconds.
const MBPS_PER_BOX: usize = 2;

/// Number of boxes that are not readers and are queried if no reader answers.
const SPARE_SOURCES: usize = 1;

/// Maximum number of boxes that are queried in one round; more would only take longer.
const MAX_SOURCES: usize = 5;

/// How long a box is skipped after it did not answer; doubled with each further time.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time for which a box is skipped. Boxes that never return stay listed, so the
/// backoff must be long enough for them.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Seed of the hash weights by which readers are selected.
const READER_SEED: u64 = 1;

/// Link bandwidth, in Mbit/s, above which links are treated as equal.
const MAX_LINK_MBPS: u32 = 999_999;

/// A box of the fleet, as it announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the box.
    pub id: BoxId,
    /// Data centre of the box.
    pub data_centre: Arc<str>,
    /// Bandwidth of its link, in Mbit/s; 0 if it did not announce one.
    pub link_mbps: u32,
}

/// Backoffs of boxes that did not answer recently.
#[derive(Debug, Default)]
pub struct Backoffs {
    boxes: HashMap<BoxId, Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    delay: Duration,
}

/// The fleet, as one box knows it.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Boxes that may become readers: those that all boxes know of.
    pub candidates: Vec<Member>,
    /// Number of boxes in the fleet.
    pub box_count: usize,
    /// Number of readers, if it is configured; otherwise [`reader_count`] is used.
    pub reader_count: Option<usize>,
}

/// The readers, from the view of one box.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Readers {
    /// Whether this box is a reader.
    pub includes_self: bool,
    /// Whether there are boxes that are not readers; in a large fleet these are leaves
    /// ([`crate::hub::Role::Leaf`]).
    pub has_followers: bool,
    /// Names of all readers.
    pub ids: Vec<BoxId>,
    /// Boxes to query, in this order.
    pub sources: Vec<BoxId>,
}

impl Backoffs {
    /// Starts or doubles the backoff of a box that did not answer.
    pub fn back_off(&mut self, now: Duration, id: &BoxId) {
        let previous = self.boxes.get(id);
        let delay = previous.map_or(MIN_BACKOFF, |s| (s.delay * 2).min(MAX_BACKOFF));
        let until = now + delay;
        self.boxes.insert(id.clone(), Backoff { until, delay });
    }

    /// Ends the backoff of a box that answered.
    pub fn clear(&mut self, id: &str) {
        self.boxes.remove(id);
    }

    /// Returns whether a box must be skipped at `now`.
    pub fn is_backed_off(&self, now: Duration, id: &str) -> bool {
        self.boxes.get(id).is_some_and(|s| now < s.until)
    }
}

/// Returns the name under which a box announces itself in the store. The store lists names in
/// order, so the first page of the list contains the preferred readers.
///
/// # Example
///
/// ```
/// use ashgauge::reader::listing_key;
///
/// assert!(listing_key(1000, "z") < listing_key(20, "a"));
/// ```
pub fn listing_key(link_mbps: u32, id: &str) -> String {
    let slowness = MAX_LINK_MBPS - link_mbps.min(MAX_LINK_MBPS);
    let weight = u64::MAX - weight(id, READER_SEED);
    format!("{slowness:06}-{weight:016x}-{id}")
}

/// Returns the number of readers for a fleet of `box_count` boxes, given the link bandwidths (in
/// Mbit/s) of the candidates in order of preference.
///
/// # Example
///
/// ```
/// use ashgauge::reader::reader_count;
///
/// assert_eq!(reader_count(295, 3, std::iter::repeat(20)), 10);
/// assert_eq!(reader_count(295, 3, std::iter::repeat(1000)), 3);
/// assert_eq!(reader_count(1, 1, std::iter::repeat(20)), 1);
/// ```
pub fn reader_count(
    box_count: usize,
    data_centres: usize,
    links: impl Iterator<Item = u32>,
) -> usize {
    // One for each data centre if the fleet is large enough, so that most boxes need not
    // query another data centre.
    let min = data_centres
        .min(box_count.div_ceil(MIN_READER_BOXES))
        .max(MIN_READERS);
    let mut capacity = 0;
    let needed = links.take_while(|link| {
        let is_needed = capacity < box_count;
        capacity += box_capacity(*link);
        is_needed
    });
    needed.take(box_count).count().max(min).min(box_count)
}

/// Returns the number of boxes that a reader with this bandwidth (in Mbit/s) can serve.
fn box_capacity(link_mbps: u32) -> usize {
    (link_mbps as usize / MBPS_PER_BOX).clamp(MIN_READER_BOXES, MAX_READER_BOXES)
}

/// Selects the readers among the fleet's candidates, and the boxes that the box `own` queries.
///
/// The data centres take turns, so that the readers are spread over as many data centres as
/// possible.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::reader::{choose, Fleet, Member, Backoffs};
///
/// let member = |id: &str| Member { id: id.into(), data_centre: "a".into(), link_mbps: 0 };
/// let candidates = vec![member("b1"), member("b2"), member("b3")];
/// let fleet = Fleet { candidates, box_count: 3, reader_count: Some(1) };
/// let choose = |own: &Member| choose(own, &fleet, &Backoffs::default(), Duration::ZERO);
/// let readers: Vec<_> = fleet.candidates.iter().filter(|m| choose(m).includes_self).collect();
/// assert_eq!(readers.len(), 1);
/// ```
pub fn choose(own: &Member, fleet: &Fleet, backoffs: &Backoffs, now: Duration) -> Readers {
    let is_usable = |m: &&Member| m.id == own.id || !backoffs.is_backed_off(now, &m.id);
    let ranked = rank(fleet.candidates.iter().filter(is_usable).collect());
    let default_count = || {
        let data_centres: HashSet<&str> = ranked.iter().map(|m| &*m.data_centre).collect();
        reader_count(
            fleet.box_count,
            data_centres.len(),
            ranked.iter().map(|m| m.link_mbps),
        )
    };
    let count = fleet.reader_count.unwrap_or_else(default_count).max(1);
    let readers = &ranked[..count.min(ranked.len())];
    let mut sources: Vec<&Member> = readers.to_vec();
    // Queries go to readers in the own data centre first, and are spread over those.
    sources.sort_by_cached_key(|m| {
        (
            m.data_centre != own.data_centre,
            Reverse(pair_weight(own, &m.id)),
        )
    });
    sources.extend(ranked.iter().skip(count).take(SPARE_SOURCES));
    let sources = sources.iter().filter(|m| m.id != own.id);
    Readers {
        includes_self: readers.iter().any(|m| m.id == own.id),
        has_followers: ranked.len().max(fleet.box_count) > count,
        ids: readers.iter().map(|m| m.id.clone()).collect(),
        sources: sources.map(|m| m.id.clone()).take(MAX_SOURCES).collect(),
    }
}

/// Sorts boxes by preference as readers: fast links first, since after the loss of all boxes a
/// reader with a slow link needs seconds to serve the others.
fn rank(mut boxes: Vec<&Member>) -> Vec<&Member> {
    boxes.sort_by_cached_key(|m| Reverse((m.link_mbps, weight(&m.id, READER_SEED))));
    let mut turns: HashMap<&str, usize> = HashMap::new();
    let mut ranked = Vec::with_capacity(boxes.len());
    for member in boxes {
        let turn = turns.entry(&*member.data_centre).or_default();
        *turn += 1;
        ranked.push((*turn, member));
    }
    ranked.sort_by_key(|(turn, _)| *turn);
    ranked.into_iter().map(|(_, m)| m).collect()
}

fn weight(id: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), seed)
}

/// Returns the hash weight of a box for the box that queries, so that queries are spread over
/// the readers.
fn pair_weight(own: &Member, id: &str) -> u64 {
    weight(id, weight(&own.id, READER_SEED))
}

//! Which boxes read the store for the others, and whom the others ask.
//!
//! A few boxes read: those with the fastest links, and of like ones those with the
//! highest random weights, among the boxes that answer, spread over the data
//! centres. Nothing is agreed on. Two views of who reads
//! cost calls of the store, never safety, since what a box may believe rests on
//! the answers that it gets ([`crate::query`]), whoever gave them.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::BoxId;

/// Readers that the whole fleet has at least, so that the loss of one leaves
/// others that know everything.
const MIN_READERS: usize = 3;

/// Boxes that one reader informs at least, however slow its link.
const MIN_READER_BOXES: usize = 30;

/// The same at most: each keeps a connection open for a moment when all start.
pub const MAX_READER_BOXES: usize = 100;

/// Mbit/s of a reader's link for each box that it informs: a whole copy takes a few
/// Mbit, and all boxes are to have theirs within two seconds.
const MBPS_PER_BOX: usize = 2;

/// Boxes besides the readers that are asked when none of those answers.
const SPARE_SOURCES: usize = 1;

/// Boxes that are asked in one round at most: more would only take longer.
const MAX_SOURCES: usize = 5;

/// How long a box that did not answer is passed over; doubled each time.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time for which it is passed over: boxes that are gone for good stay
/// listed.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Seed of the weights by which boxes become readers.
const READER_SEED: u64 = 1;

/// Fastest link that is told from others, in Mbit/s.
const MAX_LINK_MBPS: u32 = 999_999;

/// A box of the fleet, as it announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub id: BoxId,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// What its link carries, in Mbit/s; 0 if it did not say.
    pub link_mbps: u32,
}

/// Boxes that did not answer lately.
#[derive(Debug, Default)]
pub struct Backoffs {
    boxes: HashMap<BoxId, Backoff>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Duration,
    delay: Duration,
}

/// What a box knows of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Boxes that may read: those that all boxes know.
    pub candidates: Vec<Member>,
    /// How many boxes there are.
    pub box_count: usize,
    /// Readers, if not the usual number of them.
    pub reader_count: Option<usize>,
}

/// The readers, as one box sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Readers {
    /// Whether this box is one.
    pub includes_self: bool,
    /// Whether there are boxes that do not read.
    pub has_followers: bool,
    /// All of them.
    pub ids: Vec<BoxId>,
    /// Boxes to ask, the first first.
    pub sources: Vec<BoxId>,
}

impl Backoffs {
    /// Notes that a box did not answer.
    pub fn back_off(&mut self, now: Duration, id: &BoxId) {
        let before = self.boxes.get(id);
        let time = before.map_or(MIN_BACKOFF, |s| (s.delay * 2).min(MAX_BACKOFF));
        let until = now + time;
        self.boxes
            .insert(id.clone(), Backoff { until, delay: time });
    }

    /// Notes that a box answered.
    pub fn clear(&mut self, id: &str) {
        self.boxes.remove(id);
    }

    /// Whether a box is passed over.
    pub fn is_backed_off(&self, now: Duration, id: &str) -> bool {
        self.boxes.get(id).is_some_and(|s| now < s.until)
    }
}

/// Name under which a box is listed, so that the first page of a list in the order
/// of names holds the boxes that read for the others.
///
/// # Example
///
/// ```
/// use ashgauge::reader::listing_key;
///
/// assert!(listing_key(1000, "z") < listing_key(20, "a"));
/// ```
pub fn listing_key(link: u32, id: &str) -> String {
    let slowness = MAX_LINK_MBPS - link.min(MAX_LINK_MBPS);
    let weight = u64::MAX - weight(id, READER_SEED);
    format!("{slowness:06}-{weight:016x}-{id}")
}

/// How many of the boxes read in a fleet of so many, by the links of those that read
/// first.
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
pub fn reader_count(boxes: usize, places: usize, links: impl Iterator<Item = u32>) -> usize {
    // One in each data centre that is worth it, so that most need not ask far away.
    let least = places
        .min(boxes.div_ceil(MIN_READER_BOXES))
        .max(MIN_READERS);
    let mut informed = 0;
    let needed = links.take_while(|link| {
        let lacks = informed < boxes;
        informed += box_capacity(*link);
        lacks
    });
    needed.take(boxes).count().max(least).min(boxes)
}

/// Boxes that a reader with this link informs.
fn box_capacity(link: u32) -> usize {
    (link as usize / MBPS_PER_BOX).clamp(MIN_READER_BOXES, MAX_READER_BOXES)
}

/// Chooses the readers among a fleet's candidates, and whom the box `me` asks.
///
/// The data centres take turns, so that readers stand in as many of them as
/// there are readers.
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
/// let choose = |me: &Member| choose(me, &fleet, &Backoffs::default(), Duration::ZERO);
/// let readers: Vec<_> = fleet.candidates.iter().filter(|m| choose(m).includes_self).collect();
/// assert_eq!(readers.len(), 1);
/// ```
pub fn choose(me: &Member, fleet: &Fleet, silences: &Backoffs, now: Duration) -> Readers {
    let heard = |m: &&Member| m.id == me.id || !silences.is_backed_off(now, &m.id);
    let ranked = rank(fleet.candidates.iter().filter(heard).collect());
    let usual = || {
        let places: HashSet<&str> = ranked.iter().map(|m| &*m.data_centre).collect();
        reader_count(
            fleet.box_count,
            places.len(),
            ranked.iter().map(|m| m.link_mbps),
        )
    };
    let most = fleet.reader_count.unwrap_or_else(usual).max(1);
    let readers = &ranked[..most.min(ranked.len())];
    let mut sources: Vec<&Member> = readers.to_vec();
    // Questions go to the nearest, and are spread over those.
    sources.sort_by_cached_key(|m| {
        (
            m.data_centre != me.data_centre,
            Reverse(pair_weight(me, &m.id)),
        )
    });
    sources.extend(ranked.iter().skip(most).take(SPARE_SOURCES));
    let sources = sources.iter().filter(|m| m.id != me.id);
    Readers {
        includes_self: readers.iter().any(|m| m.id == me.id),
        has_followers: ranked.len().max(fleet.box_count) > most,
        ids: readers.iter().map(|m| m.id.clone()).collect(),
        sources: sources.map(|m| m.id.clone()).take(MAX_SOURCES).collect(),
    }
}

/// Boxes in the order in which they become readers: those with fast links first, as
/// after the loss of all boxes a slow one takes seconds to inform the others.
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

/// Weight of a box for one that asks, so that questions spread over the
/// readers.
fn pair_weight(me: &Member, id: &str) -> u64 {
    weight(id, weight(&me.id, READER_SEED))
}

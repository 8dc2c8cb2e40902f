//! Which boxes read the store for the others, and whom the others ask.
//!
//! A few boxes read: those with the fastest links, and of like ones those with the
//! highest random weights, among the boxes that answer, spread over the data
//! centres. Nothing is agreed on. Two views of who reads
//! cost calls of the store, never safety, since what a box may believe rests on
//! the answers that it gets ([`crate::question`]), whoever gave them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::BoxId;

/// Readers that the whole fleet has at least, so that the loss of one leaves
/// others that know everything.
const READERS_LEAST: usize = 3;

/// Boxes for one reader. A question of 30 bytes a second from
/// each of them takes a reader of 0.12 of a core below a hundredth of its time
/// (paper).
const BOXES_EACH: usize = 30;

/// Boxes besides the readers that are asked when none of those answers.
const SPARE_SOURCES: usize = 1;

/// Boxes that are asked in one round at most: more would only take longer.
const SOURCES_MOST: usize = 5;

/// How long a box that did not answer is passed over; doubled each time.
const SILENT_FIRST: Duration = Duration::from_secs(1);

/// Longest time for which it is passed over: boxes that are gone for good stay
/// listed.
const SILENT_MOST: Duration = Duration::from_secs(30);

/// Seed of the weights by which boxes become readers.
const READER_SEED: u64 = 1;

/// A box of the fleet, as it announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub id: BoxId,
    /// Its data centre.
    pub place: Arc<str>,
    /// What its link carries, in Mbit/s; 0 if it did not say.
    pub link: u32,
}

/// Boxes that did not answer lately.
#[derive(Debug, Default)]
pub struct Silences {
    boxes: HashMap<BoxId, Silence>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    until: Duration,
    time: Duration,
}

/// The readers, as one box sees them.
#[derive(Clone, Debug, PartialEq)]
pub struct Readers {
    /// Whether this box is one.
    pub is_own: bool,
    /// Whether there are boxes that do not read.
    pub is_shared: bool,
    /// Boxes to ask, the first first.
    pub sources: Vec<BoxId>,
}

impl Silences {
    /// Notes that a box did not answer.
    pub fn note(&mut self, now: Duration, id: &BoxId) {
        let before = self.boxes.get(id);
        let time = before.map_or(SILENT_FIRST, |s| (s.time * 2).min(SILENT_MOST));
        let until = now + time;
        self.boxes.insert(id.clone(), Silence { until, time });
    }

    /// Notes that a box answered.
    pub fn clear(&mut self, id: &str) {
        self.boxes.remove(id);
    }

    /// Whether a box is passed over.
    pub fn holds(&self, now: Duration, id: &str) -> bool {
        self.boxes.get(id).is_some_and(|s| now < s.until)
    }
}

/// Readers of a fleet of so many boxes.
///
/// # Example
///
/// ```
/// use ashgauge::reader::count;
///
/// assert_eq!(count(295), 10);
/// assert_eq!(count(22), 3);
/// assert_eq!(count(1), 1);
/// ```
pub fn count(boxes: usize) -> usize {
    READERS_LEAST.max(boxes.div_ceil(BOXES_EACH)).min(boxes)
}

/// Chooses the readers among all `members`, of which `me` is one, and whom to
/// ask; `most` replaces the usual number of readers.
///
/// The data centres take turns, so that readers stand in as many of them as
/// there are readers.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::reader::{choose, Member, Silences};
///
/// let member = |id: &str| Member { id: id.into(), place: "a".into(), link: 0 };
/// let members = [member("b1"), member("b2"), member("b3")];
/// let choose = |me: &Member| choose(me, &members, &Silences::default(), Duration::ZERO, Some(1));
/// let readers: Vec<_> = members.iter().filter(|m| choose(m).is_own).collect();
/// assert_eq!(readers.len(), 1);
/// ```
pub fn choose(
    me: &Member,
    members: &[Member],
    silences: &Silences,
    now: Duration,
    most: Option<usize>,
) -> Readers {
    let heard = |m: &&Member| m.id == me.id || !silences.holds(now, &m.id);
    let ranked = rank(members.iter().filter(heard).collect());
    let most = most.unwrap_or_else(|| count(members.len())).max(1);
    let readers = &ranked[..most.min(ranked.len())];
    let mut sources: Vec<&Member> = readers.to_vec();
    // Questions go to the nearest, and are spread over those.
    sources.sort_by_cached_key(|m| (m.place != me.place, Reverse(pair_weight(me, &m.id))));
    sources.extend(ranked.iter().skip(most).take(SPARE_SOURCES));
    let sources = sources.iter().filter(|m| m.id != me.id);
    Readers {
        is_own: readers.iter().any(|m| m.id == me.id),
        is_shared: ranked.len() > most,
        sources: sources.map(|m| m.id.clone()).take(SOURCES_MOST).collect(),
    }
}

/// Boxes in the order in which they become readers.
///
/// After the loss of all 300 boxes one of 20 Mbit/s handed what 3,000 engines
/// announce to the others at 80 boxes a second.
fn rank(mut boxes: Vec<&Member>) -> Vec<&Member> {
    boxes.sort_by_cached_key(|m| Reverse((m.link, weight(&m.id, READER_SEED))));
    let mut turns: HashMap<&str, usize> = HashMap::new();
    let mut ranked = Vec::with_capacity(boxes.len());
    for member in boxes {
        let turn = turns.entry(&*member.place).or_default();
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

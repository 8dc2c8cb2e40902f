//! Which boxes read the store for the others, and whom the others ask.
//!
//! A few boxes of each data centre read: those with the highest random weight
//! among the boxes that answer. Nothing is agreed on. Two views of who reads
//! cost calls of the store, never safety, since what a box may believe rests on
//! the answers that it gets ([`crate::question`]), whoever gave them.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::BoxId;

/// Readers that the whole fleet has at least, so that the loss of one leaves
/// others that know everything.
const READERS_LEAST: usize = 3;

/// Boxes of a data centre for one reader. A question of 30 bytes a second from
/// each of them takes a reader of 0.12 of a core below a hundredth of its time
/// (paper).
const BOXES_EACH: usize = 30;

/// Boxes elsewhere that are asked when none here answers.
const FAR_MOST: usize = 2;

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

/// The readers of each data centre, as one box sees them.
#[derive(Clone, Debug, PartialEq)]
pub struct Readers {
    /// Whether this box is one.
    pub is_own: bool,
    /// Whether there are boxes here that do not read.
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

/// Readers of a data centre with so many boxes, in a fleet of so many data
/// centres.
///
/// # Example
///
/// ```
/// use ashgauge::reader::count;
///
/// assert_eq!(count(60, 5), 2);
/// assert_eq!(count(3, 3), 1);
/// assert_eq!(count(8, 1), 3);
/// ```
pub fn count(boxes: usize, places: usize) -> usize {
    let least = READERS_LEAST.div_ceil(places.max(1));
    least.max(boxes.div_ceil(BOXES_EACH))
}

/// Chooses the readers among all `members`, of which `me` is one, and whom to
/// ask; `each` replaces the usual number of readers of a data centre.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::reader::{choose, Member, Silences};
///
/// let member = |id: &str| Member { id: id.into(), place: "a".into() };
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
    each: Option<usize>,
) -> Readers {
    let places: BTreeSet<&str> = members.iter().map(|m| &*m.place).collect();
    let here = members.iter().filter(|m| m.place == me.place).count();
    let each = each.unwrap_or_else(|| count(here, places.len())).max(1);
    let heard = |m: &&Member| m.id == me.id || !silences.holds(now, &m.id);
    let mut ranked: Vec<&Member> = members.iter().filter(heard).collect();
    ranked.sort_by_cached_key(|m| Reverse(weight(&m.id, READER_SEED)));
    let near: Vec<&Member> = ranked
        .iter()
        .filter(|m| m.place == me.place)
        .copied()
        .collect();
    let is_own = near.iter().take(each).any(|m| m.id == me.id);
    // One more than read, so that there is one to ask when a reader is lost.
    let mut sources = others(near.iter().take(each + 1), me);
    let spread = sources.len().min(each);
    sources[..spread].sort_by_cached_key(|id| Reverse(pair_weight(me, id)));
    let mut far: Vec<BoxId> = Vec::new();
    for place in places.iter().filter(|p| **p != &*me.place) {
        let there = ranked.iter().find(|m| &*m.place == *place);
        far.extend(there.map(|m| m.id.clone()));
    }
    far.sort_by_cached_key(|id| Reverse(pair_weight(me, id)));
    far.truncate(FAR_MOST);
    sources.extend(far);
    let is_shared = near.len() > each;
    Readers {
        is_own,
        is_shared,
        sources,
    }
}

fn others<'a>(boxes: impl Iterator<Item = &'a &'a Member>, me: &Member) -> Vec<BoxId> {
    let others = boxes.filter(|m| m.id != me.id);
    others.map(|m| m.id.clone()).collect()
}

fn weight(id: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), seed)
}

/// Weight of a box for one that asks, so that questions spread over the
/// readers.
fn pair_weight(me: &Member, id: &str) -> u64 {
    weight(id, weight(&me.id, READER_SEED))
}

//! Items that a box tells others for some seconds, as datagrams may be lost.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

/// How long an item is told: long enough for several messages to each box.
const GOSSIP_TIME: Duration = Duration::from_secs(14);

/// Boxes that a report is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All boxes: peers that report to each other, and boxes that get reports only through
    /// this one.
    All,
    /// Only the boxes that get the reports of others through this one, its leaves
    /// ([`crate::hub::Role::Leaf`]).
    Leaves,
}

/// Items that are told to other boxes.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::gossip::{Audience, Gossip};
///
/// let mut gossip = Gossip::new(10);
/// assert!(gossip.add_new(Duration::ZERO, &["a", "b"], Audience::All));
/// assert!(!gossip.add_new(Duration::ZERO, &["a"], Audience::All));
/// assert_eq!(gossip.recent(Duration::ZERO, Audience::All, 1), ["b"]);
/// ```
#[derive(Clone, Debug)]
pub struct Gossip<T> {
    /// Oldest first.
    entries: VecDeque<Entry<T>>,
    /// Until when each item is told.
    told_until: HashMap<T, Duration>,
    capacity: usize,
    /// Number of items added so far.
    added: u64,
}

/// An item that is told to other boxes.
#[derive(Clone, Debug)]
struct Entry<T> {
    item: T,
    /// Number of items that were added before.
    position: u64,
    until: Duration,
    /// Boxes that it is told to.
    audience: Audience,
}

impl<T: Clone + Eq + Hash> Gossip<T> {
    /// Creates a list of at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        Gossip {
            entries: VecDeque::new(),
            told_until: HashMap::new(),
            capacity,
            added: 0,
        }
    }

    /// Returns the number of items added so far.
    pub fn added(&self) -> u64 {
        self.added
    }

    /// Adds an item; drops the oldest if there are too many.
    pub fn add(&mut self, now: Duration, item: T, audience: Audience) {
        while self.entries.front().is_some_and(|e| e.until <= now) {
            self.remove_oldest();
        }
        if self.entries.len() >= self.capacity {
            self.remove_oldest();
        }
        let until = now + GOSSIP_TIME;
        self.told_until.insert(item.clone(), until);
        self.entries.push_back(Entry {
            item,
            position: self.added,
            until,
            audience,
        });
        self.added += 1;
    }

    /// Adds those items that are not told already; returns whether there are any.
    pub fn add_new(&mut self, now: Duration, items: &[T], audience: Audience) -> bool {
        let mut has_new = false;
        for item in items {
            if !self.is_told(now, item) {
                self.add(now, item.clone(), audience);
                has_new = true;
            }
        }
        has_new
    }

    /// Returns at most `limit` items for an audience, the newest first.
    pub fn recent(&self, now: Duration, audience: Audience, limit: usize) -> Vec<T> {
        self.added_since(now, 0, audience, limit)
    }

    /// Returns at most `limit` items for an audience that were added after the first `since`
    /// ones, the newest first.
    pub fn added_since(
        &self,
        now: Duration,
        since: u64,
        audience: Audience,
        limit: usize,
    ) -> Vec<T> {
        let entries = self.entries.iter().rev();
        let entries = entries.take_while(|entry| entry.position >= since);
        let entries = entries.filter(|entry| {
            let is_wanted = audience == Audience::Leaves || entry.audience == audience;
            is_wanted && now < entry.until
        });
        entries
            .map(|entry| entry.item.clone())
            .take(limit)
            .collect()
    }

    fn is_told(&self, now: Duration, item: &T) -> bool {
        self.told_until.get(item).is_some_and(|until| now < *until)
    }

    fn remove_oldest(&mut self) {
        let Some(oldest) = self.entries.pop_front() else {
            return;
        };
        // A later entry may hold the same item.
        if self.told_until.get(&oldest.item) == Some(&oldest.until) {
            self.told_until.remove(&oldest.item);
        }
    }
}

//! Cache of compressed updates for other boxes.

use std::collections::VecDeque;

use ashgauge::mirror::Revision;
use bytes::Bytes;

/// Maximum number of cached updates: boxes that start together need the same update, and
/// running ones need the latest changes.
const MAX_UPDATES: usize = 4;

/// An update, described by the state from which it was made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpdateKey {
    /// Revision up to which its receivers already know everything.
    pub after: Revision,
    /// Revision up to which they know everything afterwards.
    pub until: Revision,
    /// Generation of the mirror from which it was made.
    pub generation: u64,
    /// Whether missing entries are certainly removed.
    pub removals_certain: bool,
}

/// The latest compressed updates, the newest last.
#[derive(Default)]
pub struct UpdateCache {
    updates: VecDeque<(UpdateKey, Bytes)>,
}

impl UpdateCache {
    /// Returns an update, if it is cached.
    pub fn get(&self, key: &UpdateKey) -> Option<Bytes> {
        let mut updates = self.updates.iter();
        let (_, bytes) = updates.find(|(cached, _)| cached == key)?;
        Some(bytes.clone())
    }

    /// Adds an update, in place of the oldest one if there are too many.
    pub fn insert(&mut self, key: UpdateKey, bytes: Bytes) {
        if self.updates.len() >= MAX_UPDATES {
            self.updates.pop_front();
        }
        self.updates.push_back((key, bytes));
    }
}

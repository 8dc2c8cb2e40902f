//! A mirror of the store's content that boxes can pass on to each other.
//!
//! Each object has the store's revision of its last change, so a box that has everything up to
//! some revision needs only the later changes. Removals are remembered for a while; a box that
//! lacks older ones needs a full update, and removes what that does not contain.
//!
//! A store that was restored from a backup copy has an earlier state until what it lost is
//! written again. The mirror does not return to that state: an upstream that is leaving is
//! still leaving, and a removed entry stays removed until it is written again, or until
//! [`Mirror::accept_restored`] is called.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::freshness::RevisionTracker;
use crate::member::UpstreamId;
use crate::revision;
use crate::upstream::Upstream;

/// Maximum number of remembered removals. A box that has missed more of them gets a full
/// update.
const MAX_REMOVALS: usize = 1024;

/// Approximate size of an encoded upstream entry.
const ENTRY_BYTES: usize = 100;

pub use crate::revision::Revision;

/// What changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// The configuration, as the platform's adapter writes it.
    Config(Vec<u8>),
    /// An upstream wrote its entry.
    Put(Upstream),
    /// An upstream's entry was removed.
    #[serde(rename = "Gone")]
    Removed(UpstreamId),
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the change.
    pub revision: Revision,
    /// What changed.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
}

/// Changes that one box sends to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision up to which the receiver has everything after it has applied the update.
    #[serde(rename = "upto")]
    pub up_to: Revision,
    /// Whether this is the full content, so that entries it does not contain are removed.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Whether entries that are missing were certainly removed, and are not just missing
    /// because the store was unavailable.
    #[serde(rename = "sure")]
    pub removals_certain: bool,
    /// Changes to apply.
    pub changes: Vec<Change>,
}

/// A mirror of the store's configuration and upstream entries.
///
/// # Example
///
/// ```
/// use ashgauge::mirror::{Mirror, ChangeKind};
///
/// let mut mirror = Mirror::default();
/// mirror.set_config(7, b"routes".to_vec());
/// mirror.replace_all(9, Vec::new());
/// mirror.mark_read_to(9);
///
/// let mut other = Mirror::default();
/// let changes = other.apply(mirror.update(other.covered(), true));
/// assert_eq!(changes[0].kind, ChangeKind::Config(b"routes".to_vec()));
/// assert_eq!(other.covered(), 9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    tracker: RevisionTracker,
    config: Option<(Revision, Vec<u8>)>,
    upstreams: HashMap<UpstreamId, (Revision, Upstream)>,
    removed: BTreeMap<Revision, Vec<UpstreamId>>,
    removed_at: HashMap<UpstreamId, Revision>,
    /// All removals after this revision are remembered.
    compacted: Revision,
    /// Number of changes of the mirror so far.
    generation: u64,
    /// Whether entries of a restored store were skipped because they had been removed before.
    skipped_removed: bool,
}

impl Mirror {
    /// Returns the revision up to which the mirror has every change.
    pub fn covered(&self) -> Revision {
        self.tracker.covered()
    }

    /// Returns whether the mirror has every change up to a revision.
    pub fn covers(&self, revision: Revision) -> bool {
        self.tracker.covers(revision)
    }

    /// Returns a number that grows whenever the updates for other boxes change.
    ///
    /// A change may arrive before earlier ones, and then does not advance
    /// [`Mirror::covered`].
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Marks a change as read whose object is not mirrored, such as one of the boxes' own
    /// objects.
    pub fn mark_read(&mut self, revision: Revision) {
        self.tracker.mark_read(revision);
    }

    /// Marks all changes up to a revision as read.
    pub fn mark_read_to(&mut self, revision: Revision) {
        self.tracker.mark_read_to(revision);
    }

    /// Sets the configuration if the revision is newer; returns whether it was.
    pub fn set_config(&mut self, revision: Revision, config: Vec<u8>) -> bool {
        self.tracker.mark_read(revision);
        let is_new = self.config.as_ref().is_none_or(|(r, _)| *r < revision);
        if is_new {
            self.config = Some((revision, config));
            self.generation += 1;
        }
        is_new
    }

    /// Puts the newer configuration back after a restored store has returned an older one.
    pub fn restore_config(&mut self, config: &[u8]) {
        if let Some((_, known)) = &mut self.config
            && *known != config
        {
            *known = config.to_vec();
            self.generation += 1;
        }
    }

    /// Sets an upstream's entry if the revision is newer than the last known change of it;
    /// returns whether it was.
    pub fn put(&mut self, revision: Revision, upstream: Upstream) -> bool {
        self.tracker.mark_read(revision);
        if !self.is_newer(&upstream.id, revision) {
            return false;
        }
        self.insert(revision, upstream);
        self.generation += 1;
        true
    }

    /// Returns the entry of an upstream.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id).map(|(_, upstream)| upstream)
    }

    /// Accepts from now on that a restored store contains entries that had been removed before;
    /// returns whether such entries were skipped so far.
    pub fn accept_restored(&mut self) -> bool {
        let era = revision::era(self.covered());
        let is_old = |r: &Revision| revision::era(*r) < era;
        let accepted: Vec<UpstreamId> = {
            let removed = self.removed_at.iter().filter(|(_, at)| is_old(at));
            removed.map(|(id, _)| id.clone()).collect()
        };
        accepted.iter().for_each(|id| self.forget_removal(id));
        std::mem::take(&mut self.skipped_removed)
    }

    /// Removes an entry if the revision is newer than the last known change of it; returns
    /// whether it was.
    pub fn remove(&mut self, revision: Revision, id: &UpstreamId) -> bool {
        self.tracker.mark_read(revision);
        if !self.is_newer(id, revision) {
            return false;
        }
        self.upstreams.remove(id);
        self.remember_removal(revision, id);
        true
    }

    /// Replaces all entries by a list that was read at a revision.
    pub fn replace_all(&mut self, at: Revision, list: Vec<(Revision, Upstream)>) {
        self.drop_missing(at, list.iter().map(|(_, upstream)| &upstream.id));
        for (revision, upstream) in list {
            if !self.was_removed_before(&upstream.id, revision)
                && self.is_newer(&upstream.id, revision)
            {
                let upstream = self.merge_known(revision, upstream);
                self.insert(revision, upstream);
            }
        }
        self.generation += 1;
        // Entries that were written and removed before the list was read are unknown here.
        self.compacted = self.compacted.max(at);
    }

    /// Returns all entries.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().map(|(_, upstream)| upstream)
    }

    /// Returns the approximate encoded size in bytes of the update for a box that has
    /// everything up to `after`.
    pub fn update_bytes(&self, after: Revision) -> usize {
        let is_full = after < self.compacted;
        let is_new = |revision: &Revision| is_full || *revision > after;
        let config = self.config.iter().filter(|(r, _)| is_new(r));
        let config: usize = config.map(|(_, bytes)| bytes.len()).sum();
        let entries = self.upstreams.values().filter(|(r, _)| is_new(r));
        config + entries.count() * ENTRY_BYTES
    }

    /// Returns the update for a box that has everything up to `after`.
    pub fn update(&self, after: Revision, removals_certain: bool) -> Update {
        let is_full = after < self.compacted;
        let after = if is_full { 0 } else { after };
        let config = self.config.iter().filter(|(r, _)| *r > after || is_full);
        let config = config.map(|(revision, bytes)| Change {
            revision: *revision,
            kind: ChangeKind::Config(bytes.clone()),
        });
        let present = self
            .upstreams
            .values()
            .filter(|(r, _)| *r > after || is_full);
        let present = present.map(|(revision, upstream)| Change {
            revision: *revision,
            kind: ChangeKind::Put(upstream.clone()),
        });
        let removed = self.removed.range(after + 1..).filter(|_| !is_full);
        let removed = removed.flat_map(|(revision, ids)| {
            ids.iter().map(|id| Change {
                revision: *revision,
                kind: ChangeKind::Removed(id.clone()),
            })
        });
        Update {
            up_to: self.covered(),
            is_full,
            removals_certain,
            changes: config.chain(removed).chain(present).collect(),
        }
    }

    /// Applies an update from another box; returns the changes that are new to this mirror.
    ///
    /// A full update that is older than this mirror is ignored: it contains nothing new, and
    /// entries that it does not contain may have been added since.
    pub fn apply(&mut self, update: Update) -> Vec<Change> {
        if update.is_full && update.up_to < self.covered() {
            return Vec::new();
        }
        let mut new_changes = Vec::new();
        if update.is_full {
            let listed = update.changes.iter().filter_map(|c| match &c.kind {
                ChangeKind::Put(upstream) => Some(&upstream.id),
                _ => None,
            });
            let revision = update.up_to;
            let removed = self.drop_missing(revision, listed).into_iter();
            let removed = removed.map(ChangeKind::Removed);
            new_changes.extend(removed.map(|kind| Change { revision, kind }));
        }
        for mut change in update.changes {
            let revision = change.revision;
            let is_new = match &mut change.kind {
                ChangeKind::Config(bytes) => self.set_config(revision, bytes.clone()),
                ChangeKind::Put(upstream)
                    if update.is_full && self.was_removed_before(&upstream.id, revision) =>
                {
                    false
                }
                ChangeKind::Put(upstream) => {
                    if update.is_full {
                        *upstream = self.merge_known(revision, upstream.clone());
                    }
                    self.put(revision, upstream.clone())
                }
                ChangeKind::Removed(id) => self.remove(revision, id),
            };
            if is_new {
                new_changes.push(change);
            }
        }
        if update.is_full {
            self.compacted = self.compacted.max(update.up_to);
            self.generation += 1;
        }
        self.mark_read_to(update.up_to);
        new_changes
    }

    /// Removes the entries that the full content at a revision does not contain; returns them.
    fn drop_missing<'a>(
        &mut self,
        at: Revision,
        listed: impl Iterator<Item = &'a UpstreamId>,
    ) -> Vec<UpstreamId> {
        let listed: HashSet<&UpstreamId> = listed.collect();
        let known = self.upstreams.iter();
        let missing = known.filter(|(id, (revision, _))| *revision <= at && !listed.contains(id));
        let missing: Vec<UpstreamId> = missing.map(|(id, _)| id.clone()).collect();
        for id in &missing {
            self.upstreams.remove(id);
            self.remember_removal(at, id);
        }
        missing
    }

    /// Returns whether a listed entry had been removed before the store was restored; the list
    /// may show the state of the backup copy.
    fn was_removed_before(&mut self, id: &UpstreamId, revision: Revision) -> bool {
        let removed = self.removed_at.get(id);
        let was_removed = removed.is_some_and(|at| revision::era(*at) < revision::era(revision));
        self.skipped_removed |= was_removed;
        was_removed
    }

    fn insert(&mut self, revision: Revision, upstream: Upstream) {
        self.forget_removal(&upstream.id);
        let id = upstream.id.clone();
        self.upstreams.insert(id, (revision, upstream));
    }

    /// Returns an upstream's entry, without reverting what is known from before the store was
    /// restored.
    fn merge_known(&self, revision: Revision, upstream: Upstream) -> Upstream {
        match self.upstreams.get(&upstream.id) {
            Some((at, known)) if revision::era(*at) < revision::era(revision) => {
                upstream.merge_previous(known)
            }
            _ => upstream,
        }
    }

    fn is_newer(&self, id: &UpstreamId, revision: Revision) -> bool {
        let present = self.upstreams.get(id).map(|(r, _)| *r);
        let removed = self.removed_at.get(id).copied();
        present.max(removed).is_none_or(|known| revision > known)
    }

    fn remember_removal(&mut self, revision: Revision, id: &UpstreamId) {
        self.generation += 1;
        self.removed_at.insert(id.clone(), revision);
        self.removed.entry(revision).or_default().push(id.clone());
        while self.removed_at.len() > MAX_REMOVALS {
            let Some((oldest, ids)) = self.removed.pop_first() else {
                return;
            };
            ids.iter().for_each(|id| {
                self.removed_at.remove(id);
            });
            self.compacted = self.compacted.max(oldest);
        }
    }

    fn forget_removal(&mut self, id: &UpstreamId) {
        let Some(revision) = self.removed_at.remove(id) else {
            return;
        };
        if let Some(ids) = self.removed.get_mut(&revision) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.removed.remove(&revision);
            }
        }
    }
}

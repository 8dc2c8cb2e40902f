//! A copy of the store's content that boxes can hand to each other.
//!
//! Each object carries the store's revision of its last change, so whoever has
//! everything up to some revision needs only what changed behind it. Objects
//! that are gone are remembered for a while; past that, only the whole copy
//! tells what is no longer there.
//!
//! A store that has come back from a copy holds an earlier state until what it lost is
//! written again. Nothing goes back to that: an upstream that leaves goes on leaving, and
//! an entry that was removed stays so until it is written again, or until
//! [`Mirror::accept_restored`] believes the store.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::freshness::RevisionTracker;
use crate::member::UpstreamId;
use crate::revision;
use crate::upstream::Upstream;

/// Removals that are remembered. A box that missed more of them is handed the
/// whole copy.
const MAX_REMOVALS: usize = 1024;

pub use crate::revision::Revision;

/// What became of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// The configuration, as the platform's adapter writes it.
    Config(Vec<u8>),
    /// An upstream announces this.
    Put(Upstream),
    /// An upstream's entry was removed.
    #[serde(rename = "Gone")]
    Removed(UpstreamId),
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its revision.
    pub revision: Revision,
    /// What it changed.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
}

/// What one box hands to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision up to which the receiver knows everything afterwards.
    #[serde(rename = "upto")]
    pub up_to: Revision,
    /// Whether this is the whole copy, so that what it lacks is gone.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Whether entries that are gone are certainly gone, not only missing
    /// because the store was away.
    #[serde(rename = "sure")]
    pub removals_certain: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

/// A copy of the store's configuration and entries.
///
/// # Example
///
/// ```
/// use ashgauge::mirror::{Mirror, ChangeKind};
///
/// let mut reader = Mirror::default();
/// reader.set_config(7, b"routes".to_vec());
/// reader.replace_all(9, Vec::new());
/// reader.mark_read_to(9);
///
/// let mut other = Mirror::default();
/// let news = other.apply(reader.update(other.covered(), true));
/// assert_eq!(news[0].kind, ChangeKind::Config(b"routes".to_vec()));
/// assert_eq!(other.covered(), 9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    tracker: RevisionTracker,
    config: Option<(Revision, Vec<u8>)>,
    upstreams: HashMap<UpstreamId, (Revision, Upstream)>,
    removed: BTreeMap<Revision, Vec<UpstreamId>>,
    removed_at: HashMap<UpstreamId, Revision>,
    /// Removals behind this revision are all remembered.
    compacted: Revision,
    /// Counts changes of the copy.
    generation: u64,
    /// Whether entries of the store were passed over, as they had been removed.
    skipped_removed: bool,
}

impl Mirror {
    /// Revision up to which everything is known.
    pub fn covered(&self) -> Revision {
        self.tracker.covered()
    }

    /// Whether everything up to a revision is known.
    pub fn covers(&self, revision: Revision) -> bool {
        self.tracker.covers(revision)
    }

    /// Number that changes whenever what boxes are handed does. A change may come
    /// before those ahead of it are known, and does not move [`Mirror::covered`]
    /// then.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Notes a change that needs no copy, such as one of the boxes' own
    /// objects.
    pub fn mark_read(&mut self, revision: Revision) {
        self.tracker.mark_read(revision);
    }

    /// Notes that everything up to a revision was read.
    pub fn mark_read_to(&mut self, revision: Revision) {
        self.tracker.mark_read_to(revision);
    }

    /// Takes a configuration; returns whether it is newer than the one here.
    pub fn set_config(&mut self, revision: Revision, config: Vec<u8>) -> bool {
        self.tracker.mark_read(revision);
        let is_new = self.config.as_ref().is_none_or(|(r, _)| *r < revision);
        if is_new {
            self.config = Some((revision, config));
            self.generation += 1;
        }
        is_new
    }

    /// Puts the configuration back that the store's copy has an older one of.
    pub fn restore_config(&mut self, config: Vec<u8>) {
        if let Some((_, known)) = &mut self.config
            && *known != config
        {
            *known = config;
            self.generation += 1;
        }
    }

    /// Takes an upstream's entry; returns whether it is newer than what is
    /// known of it.
    pub fn put(&mut self, revision: Revision, upstream: Upstream) -> bool {
        self.tracker.mark_read(revision);
        if !self.is_newer(&upstream.id, revision) {
            return false;
        }
        self.insert(revision, upstream);
        self.generation += 1;
        true
    }

    /// The entry of an upstream.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id).map(|(_, upstream)| upstream)
    }

    /// Believes the store from now on that entries are there which had been removed;
    /// returns whether it holds some.
    pub fn accept_restored(&mut self) -> bool {
        let era = revision::era(self.covered());
        let old = |r: &Revision| revision::era(*r) < era;
        let forgotten: Vec<UpstreamId> = {
            let gone = self.removed_at.iter().filter(|(_, at)| old(at));
            gone.map(|(id, _)| id.clone()).collect()
        };
        forgotten.iter().for_each(|id| self.forget_removal(id));
        std::mem::take(&mut self.skipped_removed)
    }

    /// Takes the removal of an entry; returns whether it is newer than what is
    /// known of it.
    pub fn remove(&mut self, revision: Revision, id: &UpstreamId) -> bool {
        self.tracker.mark_read(revision);
        if !self.is_newer(id, revision) {
            return false;
        }
        self.upstreams.remove(id);
        self.remember_removal(revision, id);
        true
    }

    /// Takes a whole list of entries, read at a revision.
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
        // What came and went unseen before the list is not remembered.
        self.compacted = self.compacted.max(at);
    }

    /// All entries.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().map(|(_, upstream)| upstream)
    }

    /// What a box that knows everything up to `after` lacks.
    pub fn update(&self, after: Revision, sure: bool) -> Update {
        let whole = after < self.compacted;
        let after = if whole { 0 } else { after };
        let config = self.config.iter().filter(|(r, _)| *r > after || whole);
        let config = config.map(|(revision, bytes)| Change {
            revision: *revision,
            kind: ChangeKind::Config(bytes.clone()),
        });
        let present = self.upstreams.values().filter(|(r, _)| *r > after || whole);
        let present = present.map(|(revision, upstream)| Change {
            revision: *revision,
            kind: ChangeKind::Put(upstream.clone()),
        });
        let gone = self.removed.range(after + 1..).filter(|_| !whole);
        let gone = gone.flat_map(|(revision, ids)| {
            ids.iter().map(|id| Change {
                revision: *revision,
                kind: ChangeKind::Removed(id.clone()),
            })
        });
        Update {
            up_to: self.covered(),
            is_full: whole,
            removals_certain: sure,
            changes: config.chain(gone).chain(present).collect(),
        }
    }

    /// Takes what another box handed on; returns what is news here.
    ///
    /// A copy that is older than what is known here tells nothing new, and what
    /// it lacks may have come since.
    pub fn apply(&mut self, update: Update) -> Vec<Change> {
        if update.is_full && update.up_to < self.covered() {
            return Vec::new();
        }
        let mut news = Vec::new();
        if update.is_full {
            let listed = update.changes.iter().filter_map(|c| match &c.kind {
                ChangeKind::Put(upstream) => Some(&upstream.id),
                _ => None,
            });
            let revision = update.up_to;
            let gone = self.drop_missing(revision, listed).into_iter();
            let gone = gone.map(ChangeKind::Removed);
            news.extend(gone.map(|what| Change {
                revision,
                kind: what,
            }));
        }
        for mut change in update.changes {
            let revision = change.revision;
            let is_news = match &mut change.kind {
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
            if is_news {
                news.push(change);
            }
        }
        if update.is_full {
            self.compacted = self.compacted.max(update.up_to);
            self.generation += 1;
        }
        self.mark_read_to(update.up_to);
        news
    }

    /// Drops the entries that a whole copy at a revision lacks; returns them.
    fn drop_missing<'a>(
        &mut self,
        at: Revision,
        listed: impl Iterator<Item = &'a UpstreamId>,
    ) -> Vec<UpstreamId> {
        let listed: HashSet<&UpstreamId> = listed.collect();
        let known = self.upstreams.iter();
        let lacking = known.filter(|(id, (revision, _))| *revision <= at && !listed.contains(id));
        let lacking: Vec<UpstreamId> = lacking.map(|(id, _)| id.clone()).collect();
        for id in &lacking {
            self.upstreams.remove(id);
            self.remember_removal(at, id);
        }
        lacking
    }

    /// Whether an entry that a list holds had been removed before the store came back. A
    /// list may be of the copy's state.
    fn was_removed_before(&mut self, id: &UpstreamId, revision: Revision) -> bool {
        let gone = self.removed_at.get(id);
        let doubts = gone.is_some_and(|at| revision::era(*at) < revision::era(revision));
        self.skipped_removed |= doubts;
        doubts
    }

    fn insert(&mut self, revision: Revision, upstream: Upstream) {
        self.forget_removal(&upstream.id);
        let id = upstream.id.clone();
        self.upstreams.insert(id, (revision, upstream));
    }

    /// What an upstream announces, without what the store's copy takes back.
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
        let gone = self.removed_at.get(id).copied();
        present.max(gone).is_none_or(|known| revision > known)
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

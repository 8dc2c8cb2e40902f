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
//! [`Mirror::settle`] believes the store.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::fresh::Ledger;
use crate::member::UpstreamId;
use crate::revision;
use crate::upstream::Upstream;

/// Removals that are remembered. A box that missed more of them is handed the
/// whole copy.
const GONE_MOST: usize = 1024;

pub use crate::revision::Revision;

/// What became of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// The configuration, as the platform's adapter writes it.
    Config(Vec<u8>),
    /// An upstream announces this.
    Put(Upstream),
    /// An upstream's entry was removed.
    Gone(UpstreamId),
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its revision.
    pub revision: Revision,
    /// What it changed.
    pub what: What,
}

/// What one box hands to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision up to which the receiver knows everything afterwards.
    pub upto: Revision,
    /// Whether this is the whole copy, so that what it lacks is gone.
    pub whole: bool,
    /// Whether entries that are gone are certainly gone, not only missing
    /// because the store was away.
    pub sure: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

/// A copy of the store's configuration and entries.
///
/// # Example
///
/// ```
/// use ashgauge::mirror::{Mirror, What};
///
/// let mut reader = Mirror::default();
/// reader.set_config(7, b"routes".to_vec());
/// reader.replace(9, Vec::new());
/// reader.read_all(9);
///
/// let mut other = Mirror::default();
/// let news = other.take(reader.update(other.covered(), true));
/// assert_eq!(news[0].what, What::Config(b"routes".to_vec()));
/// assert_eq!(other.covered(), 9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    ledger: Ledger,
    config: Option<(Revision, Vec<u8>)>,
    upstreams: HashMap<UpstreamId, (Revision, Upstream)>,
    gone: BTreeMap<Revision, Vec<UpstreamId>>,
    gone_at: HashMap<UpstreamId, Revision>,
    /// Removals behind this revision are all remembered.
    floor: Revision,
    /// Counts changes of the copy.
    edition: u64,
    /// Whether entries of the store were passed over, as they had been removed.
    doubted: bool,
}

impl Mirror {
    /// Revision up to which everything is known.
    pub fn covered(&self) -> Revision {
        self.ledger.covered()
    }

    /// Whether everything up to a revision is known.
    pub fn covers(&self, revision: Revision) -> bool {
        self.ledger.covers(revision)
    }

    /// Number that changes whenever what boxes are handed does. A change may come
    /// before those ahead of it are known, and does not move [`Mirror::covered`]
    /// then.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// Notes a change that needs no copy, such as one of the boxes' own
    /// objects.
    pub fn note(&mut self, revision: Revision) {
        self.ledger.add(revision);
    }

    /// Notes that everything up to a revision was read.
    pub fn read_all(&mut self, revision: Revision) {
        self.ledger.read_all(revision);
    }

    /// Takes a configuration; returns whether it is newer than the one here.
    pub fn set_config(&mut self, revision: Revision, config: Vec<u8>) -> bool {
        self.ledger.add(revision);
        let is_new = self.config.as_ref().is_none_or(|(r, _)| *r < revision);
        if is_new {
            self.config = Some((revision, config));
            self.edition += 1;
        }
        is_new
    }

    /// Puts the configuration back that the store's copy has an older one of.
    pub fn keep_config(&mut self, config: Vec<u8>) {
        if let Some((_, known)) = &mut self.config
            && *known != config
        {
            *known = config;
            self.edition += 1;
        }
    }

    /// Takes an upstream's entry; returns whether it is newer than what is
    /// known of it.
    pub fn put(&mut self, revision: Revision, upstream: Upstream) -> bool {
        self.ledger.add(revision);
        if !self.is_newer(&upstream.id, revision) {
            return false;
        }
        self.insert(revision, upstream);
        self.edition += 1;
        true
    }

    /// The entry of an upstream.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id).map(|(_, upstream)| upstream)
    }

    /// Believes the store from now on that entries are there which had been removed;
    /// returns whether it holds some.
    pub fn settle(&mut self) -> bool {
        let era = revision::era(self.covered());
        let old = |r: &Revision| revision::era(*r) < era;
        let forgotten: Vec<UpstreamId> = {
            let gone = self.gone_at.iter().filter(|(_, at)| old(at));
            gone.map(|(id, _)| id.clone()).collect()
        };
        forgotten.iter().for_each(|id| self.forget_removal(id));
        std::mem::take(&mut self.doubted)
    }

    /// Takes the removal of an entry; returns whether it is newer than what is
    /// known of it.
    pub fn remove(&mut self, revision: Revision, id: &UpstreamId) -> bool {
        self.ledger.add(revision);
        if !self.is_newer(id, revision) {
            return false;
        }
        self.upstreams.remove(id);
        self.remember_removal(revision, id);
        true
    }

    /// Takes a whole list of entries, read at a revision.
    pub fn replace(&mut self, at: Revision, list: Vec<(Revision, Upstream)>) {
        self.drop_lacking(at, list.iter().map(|(_, upstream)| &upstream.id));
        for (revision, upstream) in list {
            if !self.doubts(&upstream.id, revision) && self.is_newer(&upstream.id, revision) {
                let upstream = self.renewed(revision, upstream);
                self.insert(revision, upstream);
            }
        }
        self.edition += 1;
        // What came and went unseen before the list is not remembered.
        self.floor = self.floor.max(at);
    }

    /// All entries.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().map(|(_, upstream)| upstream)
    }

    /// What a box that knows everything up to `after` lacks.
    pub fn update(&self, after: Revision, sure: bool) -> Update {
        let whole = after < self.floor;
        let after = if whole { 0 } else { after };
        let config = self.config.iter().filter(|(r, _)| *r > after || whole);
        let config = config.map(|(revision, bytes)| Change {
            revision: *revision,
            what: What::Config(bytes.clone()),
        });
        let present = self.upstreams.values().filter(|(r, _)| *r > after || whole);
        let present = present.map(|(revision, upstream)| Change {
            revision: *revision,
            what: What::Put(upstream.clone()),
        });
        let gone = self.gone.range(after + 1..).filter(|_| !whole);
        let gone = gone.flat_map(|(revision, ids)| {
            ids.iter().map(|id| Change {
                revision: *revision,
                what: What::Gone(id.clone()),
            })
        });
        Update {
            upto: self.covered(),
            whole,
            sure,
            changes: config.chain(gone).chain(present).collect(),
        }
    }

    /// Takes what another box handed on; returns what is news here.
    ///
    /// A copy that is older than what is known here tells nothing new, and what
    /// it lacks may have come since.
    pub fn take(&mut self, update: Update) -> Vec<Change> {
        if update.whole && update.upto < self.covered() {
            return Vec::new();
        }
        let mut news = Vec::new();
        if update.whole {
            let listed = update.changes.iter().filter_map(|c| match &c.what {
                What::Put(upstream) => Some(&upstream.id),
                _ => None,
            });
            let revision = update.upto;
            let gone = self.drop_lacking(revision, listed).into_iter();
            let gone = gone.map(What::Gone);
            news.extend(gone.map(|what| Change { revision, what }));
        }
        for mut change in update.changes {
            let revision = change.revision;
            let is_news = match &mut change.what {
                What::Config(bytes) => self.set_config(revision, bytes.clone()),
                What::Put(upstream) if update.whole && self.doubts(&upstream.id, revision) => false,
                What::Put(upstream) => {
                    if update.whole {
                        *upstream = self.renewed(revision, upstream.clone());
                    }
                    self.put(revision, upstream.clone())
                }
                What::Gone(id) => self.remove(revision, id),
            };
            if is_news {
                news.push(change);
            }
        }
        if update.whole {
            self.floor = self.floor.max(update.upto);
            self.edition += 1;
        }
        self.read_all(update.upto);
        news
    }

    /// Drops the entries that a whole copy at a revision lacks; returns them.
    fn drop_lacking<'a>(
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
    fn doubts(&mut self, id: &UpstreamId, revision: Revision) -> bool {
        let gone = self.gone_at.get(id);
        let doubts = gone.is_some_and(|at| revision::era(*at) < revision::era(revision));
        self.doubted |= doubts;
        doubts
    }

    fn insert(&mut self, revision: Revision, upstream: Upstream) {
        self.forget_removal(&upstream.id);
        let id = upstream.id.clone();
        self.upstreams.insert(id, (revision, upstream));
    }

    /// What an upstream announces, without what the store's copy takes back.
    fn renewed(&self, revision: Revision, upstream: Upstream) -> Upstream {
        match self.upstreams.get(&upstream.id) {
            Some((at, known)) if revision::era(*at) < revision::era(revision) => {
                upstream.after(known)
            }
            _ => upstream,
        }
    }

    fn is_newer(&self, id: &UpstreamId, revision: Revision) -> bool {
        let present = self.upstreams.get(id).map(|(r, _)| *r);
        let gone = self.gone_at.get(id).copied();
        present.max(gone).is_none_or(|known| revision > known)
    }

    fn remember_removal(&mut self, revision: Revision, id: &UpstreamId) {
        self.edition += 1;
        self.gone_at.insert(id.clone(), revision);
        self.gone.entry(revision).or_default().push(id.clone());
        while self.gone_at.len() > GONE_MOST {
            let Some((oldest, ids)) = self.gone.pop_first() else {
                return;
            };
            ids.iter().for_each(|id| {
                self.gone_at.remove(id);
            });
            self.floor = self.floor.max(oldest);
        }
    }

    fn forget_removal(&mut self, id: &UpstreamId) {
        let Some(revision) = self.gone_at.remove(id) else {
            return;
        };
        if let Some(ids) = self.gone.get_mut(&revision) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.gone.remove(&revision);
            }
        }
    }
}

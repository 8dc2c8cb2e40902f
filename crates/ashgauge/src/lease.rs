//! A lease on one stored object: holder, term, fence.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::claim::WriteResult;
use crate::table::Version;

/// Number that grows with each new holder; the fence of its orders.
pub type Term = u64;

/// Stored form of a lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredLease {
    /// The holder, box and incarnation; empty when given back.
    pub holder: String,
    /// Its term.
    pub term: Term,
}

/// What to do for the lease.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Read the object.
    Read,
    /// Write it if it still has this version.
    Write(Version, StoredLease),
}

/// One box's view of a lease.
///
/// The holder counts its time from before it asked and stops a margin early.
/// Others take over once the object's version has not changed for the whole
/// time to live plus a margin, on their own clock.
#[derive(Debug)]
pub struct Lease {
    owner: String,
    ttl: Duration,
    last_read: Option<(Version, StoredLease)>,
    changed_at: Duration,
    held: Option<(Term, Duration)>,
    sent_at: Option<Duration>,
    pending: Option<StoredLease>,
    next_call: Duration,
}

impl Lease {
    /// Makes a lease that `me` (box and incarnation) would like to hold.
    pub fn new(me: String, ttl: Duration) -> Self {
        Lease {
            owner: me,
            ttl,
            last_read: None,
            changed_at: Duration::ZERO,
            held: None,
            sent_at: None,
            pending: None,
            next_call: Duration::ZERO,
        }
    }

    /// Returns the term while this box may act as the holder.
    pub fn term(&self, now: Duration) -> Option<Term> {
        let (term, until) = self.held?;
        (now < until).then_some(term)
    }

    /// The holder and term as last read.
    pub fn last_stored(&self) -> Option<&StoredLease> {
        self.last_read.as_ref().map(|(_, s)| s)
    }

    /// Returns what to do now; one step at a time.
    pub fn tick(&mut self, now: Duration) -> Option<LeaseAction> {
        if self.sent_at.is_some() || now < self.next_call {
            return None;
        }
        self.sent_at = Some(now);
        let Some((version, stored)) = &self.last_read else {
            return Some(LeaseAction::Read);
        };
        let mine = stored.holder == self.owner;
        let lapsed = now >= self.changed_at + self.ttl + self.margin();
        if !mine && !stored.holder.is_empty() && !lapsed {
            return Some(LeaseAction::Read);
        }
        let term = if mine && self.held.is_some() {
            stored.term
        } else {
            stored.term + 1
        };
        let next = StoredLease {
            holder: self.owner.clone(),
            term,
        };
        self.pending = Some(next.clone());
        Some(LeaseAction::Write(*version, next))
    }

    /// Gives the lease back; returns the write that does so.
    pub fn release(&mut self) -> Option<LeaseAction> {
        let (term, _) = self.held.take()?;
        let (version, _) = self.last_read.as_ref()?;
        let empty = StoredLease {
            holder: String::new(),
            term,
        };
        Some(LeaseAction::Write(*version, empty))
    }

    /// Takes the answer to [`LeaseAction::Read`]; `None` if there was none.
    pub fn on_read(&mut self, now: Duration, answer: Option<(Version, StoredLease)>) {
        self.sent_at = None;
        self.next_call = now + self.ttl / 4;
        let Some((version, stored)) = answer else {
            return;
        };
        let newer = self.last_read.as_ref().is_none_or(|(v, _)| version > *v);
        if newer {
            if stored.holder != self.owner {
                self.held = None;
            }
            self.last_read = Some((version, stored));
            self.changed_at = now;
        }
    }

    /// Takes the answer to [`LeaseAction::Write`].
    pub fn on_written(&mut self, now: Duration, result: WriteResult) {
        let asked = self.sent_at.take();
        let writing = self.pending.take();
        match (result, asked, writing) {
            (WriteResult::Done(version), Some(asked), Some(stored)) => {
                self.held = Some((stored.term, asked + self.ttl - self.margin()));
                self.last_read = Some((version, stored));
                self.changed_at = now;
                self.next_call = asked + self.ttl / 3;
            }
            (WriteResult::Refused, ..) => self.next_call = now + self.ttl / 8,
            // Read anew: somebody else may hold it, or this box itself. In the
            // second case it takes a new term, so that no two spans of holding
            // share one.
            _ => {
                self.last_read = None;
                self.held = None;
                self.next_call = now;
            }
        }
    }

    fn margin(&self) -> Duration {
        self.ttl / 10
    }
}

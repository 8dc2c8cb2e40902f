//! A lease on a stored object, with a term that serves as the fencing token.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::claim::WriteResult;
use crate::table::Version;

/// Number that grows with each new holder; it is the fencing token of the orders it sends.
pub type Term = u64;

/// A lease as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredLease {
    /// Box and incarnation of the holder; empty after a release.
    pub holder: String,
    /// The holder's term.
    pub term: Term,
}

/// Action that the caller of [`Lease`] has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Read the stored lease.
    Read,
    /// Write the lease if the stored object still has this version.
    Write(Version, StoredLease),
}

/// One box's view of a lease.
///
/// The holder counts the time to live from before it sent the write, and stops acting as the
/// holder a margin (a tenth of that time) early. Another box takes over once it has seen no
/// change of the object's version for the time to live plus the margin, by its own clock.
#[derive(Debug)]
pub struct Lease {
    candidate: String,
    ttl: Duration,
    last_read: Option<(Version, StoredLease)>,
    changed_at: Duration,
    held: Option<(Term, Duration)>,
    sent_at: Option<Duration>,
    pending: Option<StoredLease>,
    next_call: Duration,
}

impl Lease {
    /// Creates a lease that `candidate` (box and incarnation) tries to hold.
    pub fn new(candidate: String, ttl: Duration) -> Self {
        Lease {
            candidate,
            ttl,
            last_read: None,
            changed_at: Duration::ZERO,
            held: None,
            sent_at: None,
            pending: None,
            next_call: Duration::ZERO,
        }
    }

    /// Returns the term if this box may act as the holder now.
    pub fn term(&self, now: Duration) -> Option<Term> {
        let (term, until) = self.held?;
        (now < until).then_some(term)
    }

    /// Returns the holder and term as last read or written.
    pub fn last_stored(&self) -> Option<&StoredLease> {
        self.last_read.as_ref().map(|(_, s)| s)
    }

    /// Returns the next action, if one is due; only one is under way at a time.
    pub fn tick(&mut self, now: Duration) -> Option<LeaseAction> {
        if self.sent_at.is_some() || now < self.next_call {
            return None;
        }
        self.sent_at = Some(now);
        let Some((version, stored)) = &self.last_read else {
            return Some(LeaseAction::Read);
        };
        let is_own = stored.holder == self.candidate;
        let expired = now >= self.changed_at + self.ttl + self.margin();
        if !is_own && !stored.holder.is_empty() && !expired {
            return Some(LeaseAction::Read);
        }
        let term = if is_own && self.held.is_some() {
            stored.term
        } else {
            stored.term + 1
        };
        let next = StoredLease {
            holder: self.candidate.clone(),
            term,
        };
        self.pending = Some(next.clone());
        Some(LeaseAction::Write(*version, next))
    }

    /// Releases the lease, if it is held; returns the write that does so.
    pub fn release(&mut self) -> Option<LeaseAction> {
        let (term, _) = self.held.take()?;
        let (version, _) = self.last_read.as_ref()?;
        let empty = StoredLease {
            holder: String::new(),
            term,
        };
        Some(LeaseAction::Write(*version, empty))
    }

    /// Handles the result of [`LeaseAction::Read`]; `None` if the read failed.
    pub fn on_read(&mut self, now: Duration, result: Option<(Version, StoredLease)>) {
        self.sent_at = None;
        self.next_call = now + self.ttl / 4;
        let Some((version, stored)) = result else {
            return;
        };
        let is_newer = self.last_read.as_ref().is_none_or(|(v, _)| version > *v);
        if is_newer {
            if stored.holder != self.candidate {
                self.held = None;
            }
            self.last_read = Some((version, stored));
            self.changed_at = now;
        }
    }

    /// Handles the result of [`LeaseAction::Write`].
    pub fn on_written(&mut self, now: Duration, result: WriteResult) {
        let sent_at = self.sent_at.take();
        let pending = self.pending.take();
        match (result, sent_at, pending) {
            (WriteResult::Done(version), Some(sent_at), Some(stored)) => {
                self.held = Some((stored.term, sent_at + self.ttl - self.margin()));
                self.last_read = Some((version, stored));
                self.changed_at = now;
                self.next_call = sent_at + self.ttl / 3;
            }
            (WriteResult::Refused, ..) => self.next_call = now + self.ttl / 8,
            // Reads the object again: another box may hold the lease, or this box itself.
            // In the second case this box starts a new term, so that no two periods of
            // holding the lease share one.
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

//! A lease on one stored object: holder, term, fence.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::claim::Written;
use crate::table::Version;

/// Number that grows with each new holder; the fence of its orders.
pub type Term = u64;

/// Stored form of a lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// The holder, box and incarnation; empty when given back.
    pub holder: String,
    /// Its term.
    pub term: Term,
}

/// What to do for the lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the object.
    Read,
    /// Write it if it still has this version.
    Write(Version, Stored),
}

/// One box's view of a lease.
///
/// The holder counts its time from before it asked and stops a margin early.
/// Others take over once the object's version has not changed for the whole
/// time to live plus a margin, on their own clock.
#[derive(Debug)]
pub struct Lease {
    me: String,
    ttl: Duration,
    seen: Option<(Version, Stored)>,
    since: Duration,
    held: Option<(Term, Duration)>,
    asked: Option<Duration>,
    writing: Option<Stored>,
    next: Duration,
}

impl Lease {
    /// Makes a lease that `me` (box and incarnation) would like to hold.
    pub fn new(me: String, ttl: Duration) -> Self {
        Lease {
            me,
            ttl,
            seen: None,
            since: Duration::ZERO,
            held: None,
            asked: None,
            writing: None,
            next: Duration::ZERO,
        }
    }

    /// Returns the term while this box may act as the holder.
    pub fn term(&self, now: Duration) -> Option<Term> {
        let (term, until) = self.held?;
        (now < until).then_some(term)
    }

    /// The holder and term as last read.
    pub fn stored(&self) -> Option<&Stored> {
        self.seen.as_ref().map(|(_, s)| s)
    }

    /// Returns what to do now; one step at a time.
    pub fn tick(&mut self, now: Duration) -> Option<Step> {
        if self.asked.is_some() || now < self.next {
            return None;
        }
        self.asked = Some(now);
        let Some((version, stored)) = &self.seen else {
            return Some(Step::Read);
        };
        let mine = stored.holder == self.me;
        let lapsed = now >= self.since + self.ttl + self.margin();
        if !mine && !stored.holder.is_empty() && !lapsed {
            return Some(Step::Read);
        }
        let term = if mine && self.held.is_some() {
            stored.term
        } else {
            stored.term + 1
        };
        let next = Stored {
            holder: self.me.clone(),
            term,
        };
        self.writing = Some(next.clone());
        Some(Step::Write(*version, next))
    }

    /// Gives the lease back; returns the write that does so.
    pub fn give_back(&mut self) -> Option<Step> {
        let (term, _) = self.held.take()?;
        let (version, _) = self.seen.as_ref()?;
        let empty = Stored {
            holder: String::new(),
            term,
        };
        Some(Step::Write(*version, empty))
    }

    /// Takes the answer to [`Step::Read`]; `None` if there was none.
    pub fn read(&mut self, now: Duration, answer: Option<(Version, Stored)>) {
        self.asked = None;
        self.next = now + self.ttl / 4;
        let Some((version, stored)) = answer else {
            return;
        };
        let newer = self.seen.as_ref().is_none_or(|(v, _)| version > *v);
        if newer {
            if stored.holder != self.me {
                self.held = None;
            }
            self.seen = Some((version, stored));
            self.since = now;
        }
    }

    /// Takes the answer to [`Step::Write`].
    pub fn written(&mut self, now: Duration, result: Written) {
        let asked = self.asked.take();
        let writing = self.writing.take();
        match (result, asked, writing) {
            (Written::Done(version), Some(asked), Some(stored)) => {
                self.held = Some((stored.term, asked + self.ttl - self.margin()));
                self.seen = Some((version, stored));
                self.since = now;
                self.next = asked + self.ttl / 3;
            }
            (Written::Refused, ..) => self.next = now + self.ttl / 8,
            // Read anew: somebody else may hold it, or this box itself. In the
            // second case it takes a new term, so that no two spans of holding
            // share one.
            _ => {
                self.seen = None;
                self.held = None;
                self.next = now;
            }
        }
    }

    fn margin(&self) -> Duration {
        self.ttl / 10
    }
}

//! What a fleet that was played did.

use std::ops::Range;

use super::engines::CAPACITY;
use super::{Seen, World};

impl World {
    /// Work that was served in time within a span, as a part of what engines can do.
    pub fn goodput(&self, span: Range<f64>) -> f64 {
        let served = |seen: &&Seen| seen.served.is_some_and(|at| span.contains(&at));
        let work: f64 = self.seen.iter().filter(served).map(|s| s.work).sum();
        work / CAPACITY / (span.end - span.start)
    }

    /// Part of the requests with a property that were served in time, of those asked
    /// within a span.
    pub fn served(&self, span: Range<f64>, of: impl Fn(&Seen) -> bool) -> f64 {
        let asked = self.seen.iter().filter(|s| span.contains(&s.at) && of(s));
        let asked: Vec<&Seen> = asked.collect();
        let served = asked.iter().filter(|s| s.served.is_some()).count();
        served as f64 / asked.len().max(1) as f64
    }

    /// Work of requests with a property that were asked within a span.
    pub fn asked(&self, span: Range<f64>, of: impl Fn(&Seen) -> bool) -> f64 {
        let asked = self.seen.iter().filter(|s| span.contains(&s.at) && of(s));
        asked.map(|s| s.work).sum()
    }

    /// Work of requests with a property that was served in time, of those asked within
    /// a span.
    pub fn work(&self, span: Range<f64>, of: impl Fn(&Seen) -> bool) -> f64 {
        let asked = self.seen.iter().filter(|s| span.contains(&s.at) && of(s));
        let served = asked.filter(|s| s.served.is_some());
        served.map(|s| s.work).sum()
    }

    /// The team of a request.
    pub fn team(&self, seen: &Seen) -> u32 {
        self.run.callers[seen.caller].team
    }

    /// The rank of a request's route.
    pub fn route(&self, seen: &Seen) -> u32 {
        self.run.callers[seen.caller].route
    }
}

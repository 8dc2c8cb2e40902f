//! Results of a simulation.

use std::ops::Range;

use super::engines::CAPACITY;
use super::{RequestRecord, World};

impl World {
    /// Work that was served in time within `span`, as a share of the engines' capacity.
    pub fn goodput(&self, span: Range<f64>) -> f64 {
        let served = |record: &&RequestRecord| record.served.is_some_and(|at| span.contains(&at));
        let work: f64 = self.records.iter().filter(served).map(|s| s.work).sum();
        work / CAPACITY / (span.end - span.start)
    }

    /// Share that was served in time of the requests that match `predicate` and arrived within
    /// `span`.
    pub fn served_share(
        &self,
        span: Range<f64>,
        predicate: impl Fn(&RequestRecord) -> bool,
    ) -> f64 {
        let arrived = self
            .records
            .iter()
            .filter(|s| span.contains(&s.at) && predicate(s));
        let arrived: Vec<&RequestRecord> = arrived.collect();
        let served = arrived.iter().filter(|s| s.served.is_some()).count();
        served as f64 / arrived.len().max(1) as f64
    }

    /// Work of the requests that match `predicate` and arrived within `span`.
    pub fn requested_work(
        &self,
        span: Range<f64>,
        predicate: impl Fn(&RequestRecord) -> bool,
    ) -> f64 {
        let arrived = self
            .records
            .iter()
            .filter(|s| span.contains(&s.at) && predicate(s));
        arrived.map(|s| s.work).sum()
    }

    /// Work that was served in time of the requests that match `predicate` and arrived within
    /// `span`.
    pub fn served_work(&self, span: Range<f64>, predicate: impl Fn(&RequestRecord) -> bool) -> f64 {
        let arrived = self
            .records
            .iter()
            .filter(|s| span.contains(&s.at) && predicate(s));
        let served = arrived.filter(|s| s.served.is_some());
        served.map(|s| s.work).sum()
    }

    /// Team of a request.
    pub fn team(&self, record: &RequestRecord) -> u32 {
        self.scenario.callers[record.caller].team
    }

    /// Rank of a request's route.
    pub fn route(&self, record: &RequestRecord) -> u32 {
        self.scenario.callers[record.caller].route
    }
}

//! Which services' upstreams a box reaches.
//!
//! A failed connection says that this box did not reach one upstream. It does not say whether
//! the upstream is lost or the box is cut off from it. The box tells the two apart by connecting
//! to other upstreams of the service: if none of them accepts a connection either, the box is
//! cut off from the service, whatever the cause, and others may serve its requests. A box may be
//! cut off from one service and reach another.
//!
//! What such a box sees of the upstreams says nothing about them only if it is isolated: if more
//! of them fail than requests can crash before they are quarantined, or upstreams of another
//! service fail too.

use std::collections::HashMap;
use std::time::Duration;

use crate::member::UpstreamId;
use crate::routing::ServiceId;

/// Number of upstreams that must all be unreachable for the box to count as cut off: one or two
/// may be lost together.
const MIN_FAILED: usize = 3;

/// Number of upstreams of one service that must all be unreachable for the box to count as
/// isolated: more than a part of prompts crashes.
pub const MIN_ISOLATED: usize = 6;

/// Maximum number of upstreams of a service whose failed connections are kept.
const MAX_FAILED: usize = 16;

/// How long a failed connection counts as recent.
const FAILURE_TTL: Duration = Duration::from_secs(2);

/// Results of a box's connections to upstreams, by service.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::reachability::Reachability;
/// use ashgauge::routing::ServiceId;
///
/// let second = Duration::from_secs(1);
/// let model: ServiceId = "model".into();
/// let records: ServiceId = "records".into();
/// let mut reachability = Reachability::default();
/// for upstream in ["a", "b"] {
///     reachability.note_failed(second, &model, &upstream.into());
///     assert!(!reachability.conclude(second, &model, 10));
/// }
/// reachability.note_failed(second, &model, &"c".into());
/// assert!(reachability.conclude(second, &model, 10));
/// assert!(reachability.is_cut_off(&model) && !reachability.is_cut_off(&records));
/// assert_eq!(reachability.note_reached(2 * second, &model, second), None);
/// assert_eq!(reachability.note_reached(2 * second, &model, 2 * second), Some(second));
/// assert!(!reachability.is_cut_off(&model));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: HashMap<ServiceId, ServiceReach>,
}

/// Results of connections to the upstreams of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// Upstreams to which connections failed since one last came up, with the times.
    failed: Vec<(UpstreamId, Duration)>,
    /// When the first of these connections failed, if the box is cut off.
    cut_off_since: Option<Duration>,
    /// When an upstream last answered.
    reached_at: Option<Duration>,
}

impl Reachability {
    /// Records that an upstream of a service did not accept a connection.
    pub fn note_failed(&mut self, now: Duration, service: &ServiceId, id: &UpstreamId) {
        let reach = self.services.entry(service.clone()).or_default();
        reach.failed.retain(|(_, at)| now < *at + FAILURE_TTL);
        let is_known = reach.failed.iter().any(|(failed, _)| failed == id);
        if !is_known && reach.failed.len() < MAX_FAILED {
            reach.failed.push((id.clone(), now));
        }
    }

    /// Records that an upstream of a service answered on a connection that was opened at
    /// `opened`; returns for how long the box had been cut off, if it was. A connection from
    /// before says nothing: it may live on while new ones fail.
    pub fn note_reached(
        &mut self,
        now: Duration,
        service: &ServiceId,
        opened: Duration,
    ) -> Option<Duration> {
        let reach = self.services.entry(service.clone()).or_default();
        if reach.cut_off_since.is_some_and(|since| opened <= since) {
            return None;
        }
        reach.failed.retain(|(_, at)| *at > opened);
        reach.reached_at = Some(now);
        let since = reach.cut_off_since.take()?;
        Some(now.saturating_sub(since))
    }

    /// Concludes from the failed connections whether the box is cut off from a service with
    /// `listed` upstreams, after upstreams at random have been tried in vain; returns whether it
    /// is.
    ///
    /// Where the service has fewer than [`MIN_FAILED`] upstreams, all of them must have failed,
    /// and upstreams of other services too.
    pub fn conclude(&mut self, now: Duration, service: &ServiceId, listed: usize) -> bool {
        let all_failed: usize = self.services.values().map(|s| s.failed.len()).sum();
        let Some(reach) = self.services.get_mut(service) else {
            return false;
        };
        let first = reach.failed.iter().map(|(_, at)| *at).min();
        if all_failed >= MIN_FAILED && reach.failed.len() >= MIN_FAILED.min(listed) {
            reach.cut_off_since.get_or_insert(first.unwrap_or(now));
        }
        reach.cut_off_since.is_some()
    }

    /// Returns whether the box reaches no upstream of a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.cut_off_since(service).is_some()
    }

    /// Returns whether the box is cut off from a service so that failed connections say nothing
    /// about its upstreams.
    pub fn is_isolated(&self, service: &str) -> bool {
        let reach = self.services.get(service);
        let Some(reach) = reach.filter(|s| s.cut_off_since.is_some()) else {
            return false;
        };
        let mut others = self.services.iter().filter(|(name, _)| &***name != service);
        let has_lost_other = others.any(|(_, other)| !other.failed.is_empty());
        has_lost_other || reach.failed.len() >= MIN_ISOLATED
    }

    /// Returns when the first connection to a service failed, if the box is cut off from it.
    pub fn cut_off_since(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.cut_off_since
    }

    /// Iterates over the services that the box is cut off from.
    pub fn lost_services(&self) -> impl Iterator<Item = &ServiceId> {
        let lost = self
            .services
            .iter()
            .filter(|(_, s)| s.cut_off_since.is_some());
        lost.map(|(service, _)| service)
    }

    /// Returns when an upstream of a service last answered.
    pub fn reached_at(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.reached_at
    }

    /// Returns whether a connection to an upstream failed since one of its service last came up.
    pub fn has_failed(&self, service: &str, id: &UpstreamId) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|s| s.failed.iter().any(|(failed, _)| failed == id))
    }

    /// Forgets the services that `is_kept` does not accept.
    pub fn retain(&mut self, is_kept: impl Fn(&ServiceId) -> bool) {
        self.services.retain(|service, _| is_kept(service));
    }
}

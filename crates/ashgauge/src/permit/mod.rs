//! Permits for upstreams that name a limit: how many requests a second they accept from
//! all boxes together.
//!
//! For each such upstream one box, the primary issuer, grants permits for single requests
//! to all boxes, itself included, at the rate that the upstream accepts. Whole requests
//! are thus shared among the boxes that have some to send, however small the rate is and
//! however many boxes there are. The primary issuer follows from the upstream and the
//! known boxes, so all boxes agree on it. While it does not answer, the next issuer
//! grants a share of the rate.

mod grants;
mod limits;
mod schedule;
mod skipped;

pub use grants::{IssuerRank, PermitBuckets};
pub use limits::{LimitRates, LimitReport, UpstreamLimits};
pub use schedule::RetrySchedule;
pub use skipped::SkippedBoxes;

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ident::{BoxId, UpstreamKey};

/// Shortest and longest time for which sends to an upstream are blocked after a permit was
/// not granted.
const BLOCK_TIME_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(5));

/// Random number that identifies a permit request.
pub type PermitRequestId = u64;

/// Request for one permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Box that makes the request.
    pub from: BoxId,
    /// Id of the permit request.
    pub id: PermitRequestId,
    /// The box's knowledge of the upstream's limit.
    #[serde(rename = "told")]
    pub limit: LimitReport,
}

/// Reply to a permit request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Box that replies.
    pub from: BoxId,
    /// Id of the permit request.
    pub id: PermitRequestId,
    /// Whether the box may send its request to the upstream.
    pub verdict: Verdict,
    /// The replying box's knowledge of the upstream's limit.
    #[serde(rename = "told")]
    pub limit: Option<LimitReport>,
}

/// Whether one request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may be sent.
    #[serde(rename = "Given")]
    Granted,
    /// The upstream no longer names a limit.
    #[serde(rename = "Free")]
    Unlimited,
    /// It must wait for so many milliseconds.
    Wait(u32),
}

/// Box that issues a permit.
#[derive(Clone, Debug, PartialEq)]
pub enum Issuer {
    /// The box that needs the permit.
    Local(IssuerRank),
    /// Another box, to which a request must be sent.
    Remote(BoxId),
}

/// Chooses the issuer of a permit that the box `own` needs at `now`, among `boxes` boxes.
///
/// `order` is that of [`issuer_order`]. `silent` is a box that has just failed to reply.
/// `is_reachable` returns whether another box is heard from.
pub fn choose_issuer(
    now: Duration,
    own: &str,
    boxes: u32,
    order: &[BoxId],
    skipped: &SkippedBoxes,
    silent: Option<&BoxId>,
    is_reachable: impl Fn(&BoxId) -> bool,
) -> Issuer {
    let is_candidate = |id: &&BoxId| !skipped.is_skipped(now, id) && Some(*id) != silent;
    match order.iter().find(is_candidate) {
        Some(id) if **id == *own => Issuer::Local(issuer_rank(own, order, is_reachable)),
        Some(id) => Issuer::Remote(id.clone()),
        None => Issuer::Local(IssuerRank::Isolated(boxes)),
    }
}

/// Returns the rank of the box `own` among those that issue permits.
pub fn issuer_rank(
    own: &str,
    order: &[BoxId],
    is_reachable: impl Fn(&BoxId) -> bool,
) -> IssuerRank {
    let preceding = order.iter().take_while(|id| ***id != *own);
    IssuerRank::from_preceding(preceding.filter(|id| is_reachable(id)).count())
}

/// Returns how long sends to an upstream are blocked after a verdict, or after no box
/// replied; `None` if the request may be sent.
pub fn block_time(verdict: Option<Verdict>) -> Option<Duration> {
    let (min, max) = BLOCK_TIME_RANGE;
    match verdict {
        Some(Verdict::Granted | Verdict::Unlimited) => None,
        Some(Verdict::Wait(ms)) => Some(Duration::from_millis(ms.into()).clamp(min, max)),
        None => Some(min),
    }
}

/// Returns the boxes in the order in which they issue permits for an upstream.
///
/// # Example
///
/// ```
/// use ashgauge::permit::issuer_order;
///
/// let boxes = ["b1".into(), "b2".into(), "b3".into()];
/// let all = issuer_order(7, &boxes);
/// assert_eq!(all.len(), 3);
/// // Without the first one, the others stay in order.
/// let rest: Vec<_> = boxes.into_iter().filter(|b| *b != all[0]).collect();
/// assert_eq!(issuer_order(7, &rest), all[1..]);
/// ```
pub fn issuer_order(key: UpstreamKey, boxes: &[BoxId]) -> Vec<BoxId> {
    let mut ordered = boxes.to_vec();
    let weight = |id: &BoxId| xxh3_64_with_seed(id.as_bytes(), key.into());
    ordered.sort_by_cached_key(|id| Reverse(weight(id)));
    ordered
}

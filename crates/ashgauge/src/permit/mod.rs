//! Upstreams in need name how many requests a second they take from all boxes together.
//!
//! For each such upstream one box counts: it gives a permit for a single request to
//! whoever asks, itself as well, as fast as the upstream takes them. So whole requests
//! are shared out however small the rate is and however many boxes there are, to those
//! that have some to send. Which box it is follows from the upstream and the boxes that
//! all know; while it does not answer, the next one gives a part.

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

/// Least and most time for which an upstream is left alone once no permit was given.
const CLOSED_TIME_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(5));

/// Number of an ask, chosen at random.
pub type PermitRequestId = u64;

/// Asks for one permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The box that asks.
    pub from: BoxId,
    /// Number of the ask.
    pub id: PermitRequestId,
    /// What it knows of the upstream's limit.
    #[serde(rename = "told")]
    pub limit: LimitReport,
}

/// Answers an ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The box that answers.
    pub from: BoxId,
    /// The ask that it answers.
    pub id: PermitRequestId,
    /// Whether the request may go out.
    pub verdict: Verdict,
    /// What the answering box knows of the upstream's limit.
    #[serde(rename = "told")]
    pub limit: Option<LimitReport>,
}

/// Whether one request may go to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may.
    #[serde(rename = "Given")]
    Granted,
    /// The upstream names no limit any more.
    #[serde(rename = "Free")]
    Unlimited,
    /// Not before so many milliseconds.
    Wait(u32),
}

/// Who decides on a permit.
#[derive(Clone, Debug, PartialEq)]
pub enum Issuer {
    /// The box that needs it.
    Local(IssuerRank),
    /// Another box, which is to be asked.
    Remote(BoxId),
}

/// Who decides on a permit that the box `own` needs at `now`, among so many `boxes`.
///
/// `order` is that of [`issuer_order`], `silent` the box that has just not answered; `hears`
/// tells whether another box is there.
pub fn choose_issuer(
    now: Duration,
    own: &str,
    boxes: u32,
    order: &[BoxId],
    passed: &SkippedBoxes,
    silent: Option<&BoxId>,
    hears: impl Fn(&BoxId) -> bool,
) -> Issuer {
    let is_asked = |id: &&BoxId| !passed.is_skipped(now, id) && Some(*id) != silent;
    match order.iter().find(is_asked) {
        Some(id) if **id == *own => Issuer::Local(issuer_rank(own, order, hears)),
        Some(id) => Issuer::Remote(id.clone()),
        None => Issuer::Local(IssuerRank::Isolated(boxes)),
    }
}

/// What the box `own` is among those that may give permits.
pub fn issuer_rank(own: &str, order: &[BoxId], hears: impl Fn(&BoxId) -> bool) -> IssuerRank {
    let before = order.iter().take_while(|id| ***id != *own);
    IssuerRank::from_preceding(before.filter(|id| hears(id)).count())
}

/// How long an upstream is left alone after an ask, or after one that nobody answered;
/// nothing if the request may go out.
pub fn closed_for(verdict: Option<Verdict>) -> Option<Duration> {
    let (least, most) = CLOSED_TIME_RANGE;
    match verdict {
        Some(Verdict::Granted | Verdict::Unlimited) => None,
        Some(Verdict::Wait(ms)) => Some(Duration::from_millis(ms.into()).clamp(least, most)),
        None => Some(least),
    }
}

/// The order in which boxes give permits for an upstream.
///
/// # Example
///
/// ```
/// use ashgauge::permit::issuer_order;
///
/// let boxes = ["b1".into(), "b2".into(), "b3".into()];
/// let all = issuer_order(7, &boxes);
/// assert_eq!(all.len(), 3);
/// // Without the first one the others stay in order.
/// let rest: Vec<_> = boxes.into_iter().filter(|b| *b != all[0]).collect();
/// assert_eq!(issuer_order(7, &rest), all[1..]);
/// ```
pub fn issuer_order(key: UpstreamKey, boxes: &[BoxId]) -> Vec<BoxId> {
    let mut ordered = boxes.to_vec();
    let weight = |id: &BoxId| xxh3_64_with_seed(id.as_bytes(), key.into());
    ordered.sort_by_cached_key(|id| Reverse(weight(id)));
    ordered
}

//! Polling of other boxes for new data: which box is queried, and when.
//!
//! A round queries one box after another until one answers with data that is fresh enough. A
//! box that does not answer is skipped for a while.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

use crate::member::BoxId;
use crate::query::{AnswerBody, QueryId};
use crate::reader::Backoffs;

/// Maximum number of queries whose answers are still accepted. Answers take milliseconds, and
/// a round queries at most about five boxes.
const MAX_OPEN_QUERIES: usize = 16;

/// Random share of the interval between two rounds, so that boxes that were started together
/// do not send their queries together.
const JITTER: f64 = 0.2;

/// Bytes per millisecond that a box sends to each of ten boxes that fetch answers at the same
/// time, over a link of 20 Mbit/s.
const BYTES_PER_MS: u64 = 250;

/// Longest time in which nothing of a small answer arrives that is fetched. A lost packet is
/// sent again after 200 ms.
const MAX_FETCH_SILENCE: Duration = Duration::from_millis(400);

/// Interval and time limits of the polling.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollTiming {
    /// Time between the starts of two rounds.
    pub interval: Duration,
    /// Time limit for one answer.
    pub answer_timeout: Duration,
    /// Base time limit for an answer that is fetched over a connection.
    pub fetch_timeout: Duration,
    /// Maximum age of fresh data; if an answer is older, another box is queried as well.
    pub max_age: Duration,
}

/// Action that the caller of [`Poller`] has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum PollAction {
    /// Send a query to a box.
    Query {
        /// Name of the box.
        to: BoxId,
        /// Number of the query.
        id: QueryId,
    },
    /// No box answered with fresh data; returned at most once in a round.
    Failed(PollFailure),
    /// Call [`Poller::next_action`] again at this time.
    Wait(Duration),
}

/// Reason why a round failed; the last one that applies is reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PollFailure {
    /// No box answered.
    #[default]
    NoAnswer,
    /// No answer contained fresh data.
    StaleAnswer,
    /// A box has just read the store, and the store is empty.
    EmptyStore,
}

impl PollTiming {
    /// Returns the time limit for fetching an answer of `bytes` bytes over a connection.
    pub fn fetch_timeout(&self, bytes: u64) -> Duration {
        self.fetch_timeout + transfer_time(bytes)
    }

    /// Returns the longest time in which nothing of such an answer arrives: a box that sends a
    /// large one may be busy with it.
    pub fn fetch_silence(&self, bytes: u64) -> Duration {
        MAX_FETCH_SILENCE + transfer_time(bytes)
    }
}

fn transfer_time(bytes: u64) -> Duration {
    Duration::from_millis(bytes / BYTES_PER_MS)
}

/// Polls other boxes in rounds.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::poller::{Poller, PollTiming, PollAction};
/// use rand::SeedableRng;
///
/// let ms = Duration::from_millis;
/// let timing = PollTiming {
///     interval: ms(1000),
///     answer_timeout: ms(150),
///     fetch_timeout: ms(1000),
///     max_age: ms(1800),
/// };
/// let mut poller = Poller::default();
/// let sources = || vec!["b1".into(), "b2".into()];
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let action = poller.next_action(ms(0), &timing, sources, &mut rng);
/// assert!(matches!(action, PollAction::Query { to, .. } if &*to == "b1"));
/// // It does not answer, so the next one is queried.
/// let action = poller.next_action(ms(150), &timing, sources, &mut rng);
/// assert!(matches!(action, PollAction::Query { to, .. } if &*to == "b2"));
/// assert!(poller.backoffs.is_backed_off(ms(150), "b1"));
/// ```
#[derive(Debug, Default)]
pub struct Poller {
    /// Backoffs of boxes that did not answer recently.
    pub backoffs: Backoffs,
    open: VecDeque<OpenQuery>,
    /// The box whose answer is awaited, and until when.
    waiting: Option<(BoxId, Duration)>,
    /// Boxes that are still to be queried in this round.
    remaining: VecDeque<BoxId>,
    /// Whether a round is under way.
    in_round: bool,
    /// Why this round has not succeeded so far.
    failure: PollFailure,
    /// Start of the next round.
    next_round: Duration,
    /// A box that has announced new data.
    changed_box: Option<BoxId>,
}

/// A query that may still be answered.
#[derive(Debug)]
struct OpenQuery {
    id: QueryId,
    to: BoxId,
    sent_at: Duration,
}

impl Poller {
    /// Returns the action to perform at `now`; `sources` returns the boxes to query and is
    /// called when a round begins.
    pub fn next_action(
        &mut self,
        now: Duration,
        timing: &PollTiming,
        sources: impl FnOnce() -> Vec<BoxId>,
        rng: &mut impl Rng,
    ) -> PollAction {
        match self.waiting.take() {
            Some((to, until)) if now < until => {
                self.waiting = Some((to, until));
                return PollAction::Wait(until);
            }
            Some((to, _)) => self.backoffs.back_off(now, &to),
            None => {}
        }
        if !self.in_round && (now >= self.next_round || self.changed_box.is_some()) {
            self.begin_round(now, timing, sources(), rng);
        }
        let Some(to) = self.remaining.pop_front() else {
            return match std::mem::take(&mut self.in_round) {
                true => PollAction::Failed(self.failure),
                false => PollAction::Wait(self.next_round),
            };
        };
        self.send_query(now, timing, to, rng)
    }

    /// Closes the query that an answer belongs to; returns when the query was sent, or `None`
    /// if no query with this number was sent to this box.
    pub fn close_query(&mut self, id: QueryId, from: &str) -> Option<Duration> {
        let mut open = self.open.iter();
        let at = open.position(|s| s.id == id && &*s.to == from)?;
        self.open.remove(at).map(|s| s.sent_at)
    }

    /// Handles the answer of a box.
    pub fn on_answer(&mut self, now: Duration, timing: &PollTiming, from: &str, body: &AnswerBody) {
        self.backoffs.clear(from);
        let is_empty =
            matches!(body, AnswerBody::Empty { asked_ago: Some(age) } if *age <= timing.max_age);
        let failure = if is_empty {
            PollFailure::EmptyStore
        } else {
            PollFailure::StaleAnswer
        };
        self.failure = self.failure.max(failure);
        let is_awaited = self.waiting.as_ref().is_some_and(|(to, _)| &**to == from);
        match body {
            AnswerBody::TooLarge { bytes, .. } if is_awaited => {
                self.waiting = Some((from.into(), now + timing.fetch_timeout(*bytes)));
                return;
            }
            AnswerBody::Update { age, .. } if *age <= timing.max_age => {
                self.remaining.clear();
                self.in_round = false;
                self.waiting = None;
            }
            _ => {}
        }
        if is_awaited {
            self.waiting = None;
        }
    }

    /// Handles the failure to fetch a large answer from a box.
    pub fn on_fetch_failed(&mut self, now: Duration, from: &BoxId) {
        self.backoffs.back_off(now, from);
        if self.waiting.as_ref().is_some_and(|(to, _)| to == from) {
            self.waiting = None;
        }
    }

    /// Begins the round anew, after a fetched answer has brought changes: it may have aged
    /// while it was transferred, but a box that has sent it can be expected to answer.
    pub fn restart_round(&mut self, now: Duration) {
        self.remaining.clear();
        self.in_round = false;
        self.waiting = None;
        self.next_round = now;
    }

    /// Handles the announcement of new data by a box: it is queried at once.
    pub fn on_changed(&mut self, from: BoxId) {
        self.changed_box = Some(from);
    }

    fn begin_round(
        &mut self,
        now: Duration,
        timing: &PollTiming,
        sources: Vec<BoxId>,
        rng: &mut impl Rng,
    ) {
        let share = 1.0 - rng.random_range(0.0..JITTER);
        self.next_round = now + timing.interval.mul_f64(share);
        self.in_round = true;
        self.failure = PollFailure::NoAnswer;
        self.remaining = sources.into();
        if let Some(from) = self.changed_box.take() {
            self.remaining.retain(|id| *id != from);
            self.remaining.push_front(from);
        }
    }

    fn send_query(
        &mut self,
        now: Duration,
        timing: &PollTiming,
        to: BoxId,
        rng: &mut impl Rng,
    ) -> PollAction {
        if self.open.len() >= MAX_OPEN_QUERIES {
            self.open.pop_front();
        }
        let id = rng.random();
        let query = OpenQuery {
            id,
            to: to.clone(),
            sent_at: now,
        };
        self.open.push_back(query);
        self.waiting = Some((to.clone(), now + timing.answer_timeout));
        PollAction::Query { to, id }
    }
}

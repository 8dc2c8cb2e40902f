//! Whom a box asks for what it lacks, and when.
//!
//! A round asks one box after the other until one answers with knowledge that
//! is fresh enough. A box that does not answer is passed over for a while.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

use crate::member::BoxId;
use crate::query::{AnswerBody, QueryId};
use crate::reader::Backoffs;

/// Questions that may still be answered; answers take milliseconds, and a round
/// asks some five boxes at the most.
const MAX_OPEN_QUERIES: usize = 16;

/// Share of the pause between two rounds that is left to chance, so that boxes
/// that started together do not ask together.
const JITTER: f64 = 0.2;

/// Bytes that a box hands in a millisecond to each of ten others that fetch together,
/// over a link of 20 Mbit/s.
const BYTES_PER_MS: u64 = 250;

/// The times by which a box asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollTiming {
    /// Time between two rounds.
    pub interval: Duration,
    /// For one answer.
    pub answer_timeout: Duration,
    /// For an answer that is fetched over a connection.
    pub fetch_timeout: Duration,
    /// Age of knowledge past which another box is asked as well.
    pub max_age: Duration,
}

/// What a box does next.
#[derive(Clone, Debug, PartialEq)]
pub enum PollAction {
    /// Send this box a question with this number.
    Query {
        /// The box.
        to: BoxId,
        /// The question's number.
        id: QueryId,
    },
    /// No box knew enough; comes once a round.
    Failed(PollFailure),
    /// Look again at this time.
    Wait(Duration),
}

/// What the boxes that were asked in a round lack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PollFailure {
    /// None of them answered.
    #[default]
    NoAnswer,
    /// Those that answered know too little.
    StaleAnswer,
    /// One of them has just read the store, which holds nothing to know.
    EmptyStore,
}

impl PollTiming {
    /// For an answer of so many bytes that is fetched over a connection.
    pub fn fetch_timeout(&self, bytes: u64) -> Duration {
        self.fetch_timeout + Duration::from_millis(bytes / BYTES_PER_MS)
    }
}

/// Asks other boxes, round after round.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::poller::{Poller, PollTiming, PollAction};
/// use rand::SeedableRng;
///
/// let ms = Duration::from_millis;
/// let pace = PollTiming { interval: ms(1000), answer_timeout: ms(150), fetch_timeout: ms(1000), max_age: ms(1800) };
/// let mut asker = Poller::default();
/// let sources = || vec!["b1".into(), "b2".into()];
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let next_action = asker.next_action(ms(0), &pace, sources, &mut rng);
/// assert!(matches!(next_action, PollAction::Query { to, .. } if &*to == "b1"));
/// // It is silent, so the next_round one is asked.
/// let next_action = asker.next_action(ms(150), &pace, sources, &mut rng);
/// assert!(matches!(next_action, PollAction::Query { to, .. } if &*to == "b2"));
/// assert!(asker.backoffs.is_backed_off(ms(150), "b1"));
/// ```
#[derive(Debug, Default)]
pub struct Poller {
    /// Boxes that did not answer lately.
    pub backoffs: Backoffs,
    open: VecDeque<OpenQuery>,
    /// The box whose answer is waited for, and until when.
    waiting: Option<(BoxId, Duration)>,
    /// Boxes to ask in this round if those before know too little.
    remaining: VecDeque<BoxId>,
    /// Whether a round is under way.
    in_round: bool,
    /// What the boxes lack that were asked in this round.
    failure: PollFailure,
    /// When the next round begins.
    next_round: Duration,
    /// A box that has said that it knows something new.
    changed_box: Option<BoxId>,
}

/// A question that may still be answered.
#[derive(Debug)]
struct OpenQuery {
    id: QueryId,
    to: BoxId,
    sent_at: Duration,
}

impl Poller {
    /// What to do at `now`; `sources` names the boxes to ask when a round
    /// begins.
    pub fn next_action(
        &mut self,
        now: Duration,
        pace: &PollTiming,
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
            self.begin_round(now, pace, sources(), rng);
        }
        let Some(to) = self.remaining.pop_front() else {
            return match std::mem::take(&mut self.in_round) {
                true => PollAction::Failed(self.failure),
                false => PollAction::Wait(self.next_round),
            };
        };
        self.send_query(now, pace, to, rng)
    }

    /// Takes the number of an answer; returns when its question was sent, or
    /// nothing if none with this number went to this box.
    pub fn close_query(&mut self, id: QueryId, from: &str) -> Option<Duration> {
        let mut sent = self.open.iter();
        let at = sent.position(|s| s.id == id && &*s.to == from)?;
        self.open.remove(at).map(|s| s.sent_at)
    }

    /// Takes what a box answered into account.
    pub fn on_answer(&mut self, now: Duration, pace: &PollTiming, from: &str, body: &AnswerBody) {
        self.backoffs.clear(from);
        let is_empty =
            matches!(body, AnswerBody::Empty { asked_ago: Some(age) } if *age <= pace.max_age);
        let lack = if is_empty {
            PollFailure::EmptyStore
        } else {
            PollFailure::StaleAnswer
        };
        self.failure = self.failure.max(lack);
        let is_awaited = self.waiting.as_ref().is_some_and(|(to, _)| &**to == from);
        match body {
            AnswerBody::TooLarge { bytes, .. } if is_awaited => {
                self.waiting = Some((from.into(), now + pace.fetch_timeout(*bytes)));
                return;
            }
            AnswerBody::Update { age, .. } if *age <= pace.max_age => {
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

    /// Notes that a large answer could not be fetched from a box.
    pub fn on_fetch_failed(&mut self, now: Duration, from: &BoxId) {
        self.backoffs.back_off(now, from);
        if self.waiting.as_ref().is_some_and(|(to, _)| to == from) {
            self.waiting = None;
        }
    }

    /// Notes that a box knows something new: it is asked at once.
    pub fn on_changed(&mut self, from: BoxId) {
        self.changed_box = Some(from);
    }

    fn begin_round(
        &mut self,
        now: Duration,
        pace: &PollTiming,
        sources: Vec<BoxId>,
        rng: &mut impl Rng,
    ) {
        let part = 1.0 - rng.random_range(0.0..JITTER);
        self.next_round = now + pace.interval.mul_f64(part);
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
        pace: &PollTiming,
        to: BoxId,
        rng: &mut impl Rng,
    ) -> PollAction {
        if self.open.len() >= MAX_OPEN_QUERIES {
            self.open.pop_front();
        }
        let id = rng.random();
        let sent = OpenQuery {
            id,
            to: to.clone(),
            sent_at: now,
        };
        self.open.push_back(sent);
        self.waiting = Some((to.clone(), now + pace.answer_timeout));
        PollAction::Query { to, id }
    }
}

//! Whom a box asks for what it lacks, and when.
//!
//! A round asks one box after the other until one answers with knowledge that
//! is fresh enough. A box that does not answer is passed over for a while.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

use crate::member::BoxId;
use crate::question::{Body, QuestionId};
use crate::reader::Silences;

/// Questions that may still be answered; answers take milliseconds, and a round
/// asks some five boxes at the most.
const OPEN_MOST: usize = 16;

/// Share of the pause between two rounds that is left to chance, so that boxes
/// that started together do not ask together.
const JITTER: f64 = 0.2;

/// Bytes that a box hands in a millisecond to each of ten others that fetch together,
/// over a link of 20 Mbit/s.
const FETCH_BYTES: u64 = 250;

/// The times by which a box asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time between two rounds.
    pub every: Duration,
    /// For one answer.
    pub answer: Duration,
    /// For an answer that is fetched over a connection.
    pub fetch: Duration,
    /// Age of knowledge past which another box is asked as well.
    pub stale: Duration,
}

/// What a box does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this box a question with this number.
    Ask {
        /// The box.
        to: BoxId,
        /// The question's number.
        id: QuestionId,
    },
    /// No box knew enough; comes once a round.
    Failed(Lack),
    /// Look again at this time.
    Wait(Duration),
}

/// What the boxes that were asked in a round lack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lack {
    /// None of them answered.
    #[default]
    Answer,
    /// Those that answered know too little.
    Knowledge,
    /// One of them has just read the store, which holds nothing to know.
    Content,
}

impl Pace {
    /// For an answer of so many bytes that is fetched over a connection.
    pub fn fetch_time(&self, bytes: u64) -> Duration {
        self.fetch + Duration::from_millis(bytes / FETCH_BYTES)
    }
}

/// Asks other boxes, round after round.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use ashgauge::asker::{Asker, Pace, Step};
/// use rand::SeedableRng;
///
/// let ms = Duration::from_millis;
/// let pace = Pace { every: ms(1000), answer: ms(150), fetch: ms(1000), stale: ms(1800) };
/// let mut asker = Asker::default();
/// let sources = || vec!["b1".into(), "b2".into()];
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let step = asker.step(ms(0), &pace, sources, &mut rng);
/// assert!(matches!(step, Step::Ask { to, .. } if &*to == "b1"));
/// // It is silent, so the next one is asked.
/// let step = asker.step(ms(150), &pace, sources, &mut rng);
/// assert!(matches!(step, Step::Ask { to, .. } if &*to == "b2"));
/// assert!(asker.silences.holds(ms(150), "b1"));
/// ```
#[derive(Debug, Default)]
pub struct Asker {
    /// Boxes that did not answer lately.
    pub silences: Silences,
    sent: VecDeque<Sent>,
    /// The box whose answer is waited for, and until when.
    waiting: Option<(BoxId, Duration)>,
    /// Boxes to ask in this round if those before know too little.
    left: VecDeque<BoxId>,
    /// Whether a round is under way.
    is_round: bool,
    /// What the boxes lack that were asked in this round.
    lack: Lack,
    /// When the next round begins.
    next: Duration,
    /// A box that has said that it knows something new.
    told: Option<BoxId>,
}

/// A question that may still be answered.
#[derive(Debug)]
struct Sent {
    id: QuestionId,
    to: BoxId,
    at: Duration,
}

impl Asker {
    /// What to do at `now`; `sources` names the boxes to ask when a round
    /// begins.
    pub fn step(
        &mut self,
        now: Duration,
        pace: &Pace,
        sources: impl FnOnce() -> Vec<BoxId>,
        rng: &mut impl Rng,
    ) -> Step {
        match self.waiting.take() {
            Some((to, until)) if now < until => {
                self.waiting = Some((to, until));
                return Step::Wait(until);
            }
            Some((to, _)) => self.silences.note(now, &to),
            None => {}
        }
        if !self.is_round && (now >= self.next || self.told.is_some()) {
            self.begin(now, pace, sources(), rng);
        }
        let Some(to) = self.left.pop_front() else {
            return match std::mem::take(&mut self.is_round) {
                true => Step::Failed(self.lack),
                false => Step::Wait(self.next),
            };
        };
        self.ask(now, pace, to, rng)
    }

    /// Takes the number of an answer; returns when its question was sent, or
    /// nothing if none with this number went to this box.
    pub fn close(&mut self, id: QuestionId, from: &str) -> Option<Duration> {
        let mut sent = self.sent.iter();
        let at = sent.position(|s| s.id == id && &*s.to == from)?;
        self.sent.remove(at).map(|s| s.at)
    }

    /// Takes what a box answered into account.
    pub fn hear(&mut self, now: Duration, pace: &Pace, from: &str, body: &Body) {
        self.silences.clear(from);
        let is_empty = matches!(body, Body::Nothing { asked: Some(age) } if *age <= pace.stale);
        let lack = if is_empty {
            Lack::Content
        } else {
            Lack::Knowledge
        };
        self.lack = self.lack.max(lack);
        let is_awaited = self.waiting.as_ref().is_some_and(|(to, _)| &**to == from);
        match body {
            Body::Large { bytes, .. } if is_awaited => {
                self.waiting = Some((from.into(), now + pace.fetch_time(*bytes)));
                return;
            }
            Body::Known { age, .. } if *age <= pace.stale => {
                self.left.clear();
                self.is_round = false;
                self.waiting = None;
            }
            _ => {}
        }
        if is_awaited {
            self.waiting = None;
        }
    }

    /// Notes that a large answer could not be fetched from a box.
    pub fn note_lost(&mut self, now: Duration, from: &BoxId) {
        self.silences.note(now, from);
        if self.waiting.as_ref().is_some_and(|(to, _)| to == from) {
            self.waiting = None;
        }
    }

    /// Notes that a box knows something new: it is asked at once.
    pub fn note_news(&mut self, from: BoxId) {
        self.told = Some(from);
    }

    fn begin(&mut self, now: Duration, pace: &Pace, sources: Vec<BoxId>, rng: &mut impl Rng) {
        let part = 1.0 - rng.random_range(0.0..JITTER);
        self.next = now + pace.every.mul_f64(part);
        self.is_round = true;
        self.lack = Lack::Answer;
        self.left = sources.into();
        if let Some(from) = self.told.take() {
            self.left.retain(|id| *id != from);
            self.left.push_front(from);
        }
    }

    fn ask(&mut self, now: Duration, pace: &Pace, to: BoxId, rng: &mut impl Rng) -> Step {
        if self.sent.len() >= OPEN_MOST {
            self.sent.pop_front();
        }
        let id = rng.random();
        let sent = Sent {
            id,
            to: to.clone(),
            at: now,
        };
        self.sent.push_back(sent);
        self.waiting = Some((to.clone(), now + pace.answer));
        Step::Ask { to, id }
    }
}

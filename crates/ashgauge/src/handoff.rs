//! A request that is handed on whole: whether it may be sent (again), and
//! what its caller must be told.

use std::time::Duration;

use crate::member::UpstreamId;

/// Sends of one request at most, refused ones included.
///
/// A refusal costs a round trip of a millisecond; after some of them the
/// upstreams are full and the caller is better told so.
const SENDS_MOST: usize = 4;

/// What is known of one request.
#[derive(Clone, Debug)]
pub struct Handoff {
    until: Duration,
    attempts: u32,
    repeat: bool,
    /// Sends after which it may have run.
    runs: u32,
    /// Those of them whose upstream is lost; they take no attempt away.
    lost: u32,
    tried: Vec<UpstreamId>,
}

/// How a send ended, if not with a good answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// No byte left the box.
    NotSent,
    /// The upstream said that it has not run it.
    NotRun,
    /// The upstream ran it and answered with a failure.
    Failed,
    /// No whole answer came; it may have run.
    Lost,
}

/// What to do after a send that brought no good answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Send it again, elsewhere.
    Again,
    /// Give the upstream's own answer to the caller.
    PassOn,
    /// End it with the box's own answer.
    End(End),
}

/// The box's own last word on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It has not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// Its time is over, and it may have run.
    Late,
}

impl Handoff {
    /// Makes the state of a request that must end by `until`, may run on
    /// `attempts` upstreams, and may run more than once if `repeat`.
    pub fn new(until: Duration, attempts: u32, repeat: bool) -> Self {
        Handoff {
            until,
            attempts,
            repeat,
            runs: 0,
            lost: 0,
            tried: Vec::new(),
        }
    }

    /// When the request must have ended.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// Time that is left.
    pub fn left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Upstreams that it was sent to.
    pub fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Whether the request may have run, so that nobody may be told that it has
    /// not.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Notes that the request is about to be sent: from here on it may run.
    pub fn send(&mut self, id: UpstreamId) {
        self.runs += 1;
        self.tried.push(id);
    }

    /// Notes that an upstream that may have run it is lost itself.
    pub fn lose(&mut self) {
        self.lost = (self.lost + 1).min(self.runs);
    }

    /// Decides what follows after a send that brought no good answer.
    ///
    /// `take` is called if the request itself may be sent again, and returns whether
    /// the retry budget has one left for it.
    pub fn after(&mut self, now: Duration, outcome: Outcome, take: impl FnOnce() -> bool) -> Next {
        if matches!(outcome, Outcome::NotSent | Outcome::NotRun) {
            self.runs = self.runs.saturating_sub(1);
        }
        if self.may_again(now, outcome) && take() {
            return Next::Again;
        }
        match outcome {
            Outcome::Failed => Next::PassOn,
            _ => Next::End(self.end(now)),
        }
    }

    /// The last word if the request ends at `now` without an answer.
    pub fn end(&self, now: Duration) -> End {
        match self.runs {
            0 => End::NotRun,
            _ if now >= self.until => End::Late,
            _ => End::Unknown,
        }
    }

    fn may_again(&self, now: Duration, outcome: Outcome) -> bool {
        let may_have_run = matches!(outcome, Outcome::Failed | Outcome::Lost);
        let allowed =
            self.runs.saturating_sub(self.lost) < self.attempts && self.tried.len() < SENDS_MOST;
        allowed && now < self.until && (self.repeat || !may_have_run)
    }
}

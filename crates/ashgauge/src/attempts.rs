//! A request that is handed on whole: whether it may be sent (again), and
//! what its caller must be told.

use std::time::Duration;

use crate::member::UpstreamId;

/// Sends of one request at most, refused ones included.
///
/// A refusal costs a round trip of a millisecond; after some of them the
/// upstreams are full and the caller is better told so.
const MAX_SENDS: usize = 4;

/// What is known of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    deadline: Duration,
    max_runs: u32,
    idempotent: bool,
    /// Sends after which it may have run.
    runs: u32,
    /// Those of them whose upstream is lost; they take no attempt away.
    lost_runs: u32,
    tried: Vec<UpstreamId>,
}

/// How a send ended, if not with a good answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendOutcome {
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
pub enum Decision {
    /// Send it again, elsewhere.
    Resend,
    /// Give the upstream's own answer to the caller.
    Forward,
    /// End it with the box's own answer.
    Fail(FailureKind),
}

/// The box's own last word on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureKind {
    /// It has not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// Its time is over, and it may have run.
    DeadlineExceeded,
}

impl Attempts {
    /// Makes the state of a request that must end by `until`, may run on
    /// `attempts` upstreams, and may run more than once if `repeat`.
    pub fn new(until: Duration, attempts: u32, repeat: bool) -> Self {
        Attempts {
            deadline: until,
            max_runs: attempts,
            idempotent: repeat,
            runs: 0,
            lost_runs: 0,
            tried: Vec::new(),
        }
    }

    /// When the request must have ended.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Time that is left.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
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
    pub fn record_send(&mut self, id: UpstreamId) {
        self.runs += 1;
        self.tried.push(id);
    }

    /// Notes that an upstream that may have run it is lost itself.
    pub fn record_lost(&mut self) {
        self.lost_runs = (self.lost_runs + 1).min(self.runs);
    }

    /// Decides what follows after a send that brought no good answer.
    ///
    /// `take` is called if the request itself may be sent again, and returns whether
    /// the retry budget has one left for it.
    pub fn decide(
        &mut self,
        now: Duration,
        outcome: SendOutcome,
        take: impl FnOnce() -> bool,
    ) -> Decision {
        if matches!(outcome, SendOutcome::NotSent | SendOutcome::NotRun) {
            self.runs = self.runs.saturating_sub(1);
        }
        if self.may_resend(now, outcome) && take() {
            return Decision::Resend;
        }
        match outcome {
            SendOutcome::Failed => Decision::Forward,
            _ => Decision::Fail(self.failure(now)),
        }
    }

    /// The last word if the request ends at `now` without an answer.
    pub fn failure(&self, now: Duration) -> FailureKind {
        match self.runs {
            0 => FailureKind::NotRun,
            _ if now >= self.deadline => FailureKind::DeadlineExceeded,
            _ => FailureKind::Unknown,
        }
    }

    fn may_resend(&self, now: Duration, outcome: SendOutcome) -> bool {
        let may_have_run = matches!(outcome, SendOutcome::Failed | SendOutcome::Lost);
        let allowed = self.runs.saturating_sub(self.lost_runs) < self.max_runs
            && self.tried.len() < MAX_SENDS;
        allowed && now < self.deadline && (self.idempotent || !may_have_run)
    }
}

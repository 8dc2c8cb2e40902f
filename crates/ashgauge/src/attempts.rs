//! Attempts to send a request that is forwarded as a whole: whether it may be sent (again),
//! and which failure its caller gets otherwise.

use std::time::Duration;

use crate::member::UpstreamId;

/// Maximum number of sends of one request, refused ones included, but not those whose upstream
/// was lost.
///
/// A refusal costs a round trip of about a millisecond. After several refusals the upstreams
/// are probably all full, and it is better to tell the caller so.
const MAX_SENDS: usize = 4;

/// State of the attempts to send one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    deadline: Duration,
    max_runs: u32,
    idempotent: bool,
    /// Sends after which the request may have run.
    runs: u32,
    /// Those of `runs` whose upstream was lost itself; they do not count against `max_runs`.
    lost_runs: u32,
    tried: Vec<UpstreamId>,
}

/// Outcome of a send that brought no successful response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendOutcome {
    /// No byte of the request left the box, as the upstream took no connection.
    NotSent,
    /// The box did not send the request, as its time was over or its key was withdrawn. That says
    /// nothing of the upstream.
    Withdrawn,
    /// The upstream answered that it has not run the request.
    NotRun,
    /// The upstream ran the request and answered with a failure.
    Failed,
    /// No complete response arrived; the request may have run.
    Lost,
}

/// What to do after a send that brought no successful response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to another upstream.
    Resend,
    /// Forward the upstream's response to the caller.
    Forward,
    /// Fail the request with a response by this box.
    Fail(FailureKind),
}

/// What the caller is told of a failed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureKind {
    /// The request has not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The deadline has passed, and the request may have run.
    DeadlineExceeded,
}

impl Attempts {
    /// Creates the state of a request that must end by `deadline`, may run on at most
    /// `max_runs` upstreams, not counting those that were lost, and may run more than once if
    /// it is `idempotent`.
    pub fn new(deadline: Duration, max_runs: u32, idempotent: bool) -> Self {
        Attempts {
            deadline,
            max_runs,
            idempotent,
            runs: 0,
            lost_runs: 0,
            tried: Vec::new(),
        }
    }

    /// Returns the time by which the request must have ended.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns the upstreams that the request was sent to.
    pub fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Returns the number of upstreams that the request may still run on.
    pub fn runs_left(&self) -> u32 {
        let counted = self.runs.saturating_sub(self.lost_runs);
        self.max_runs.saturating_sub(counted)
    }

    /// Records that the request was not accepted where it was sent last, so that it has not
    /// run there.
    pub fn retract_send(&mut self) {
        self.runs = self.runs.saturating_sub(1);
        self.tried.pop();
    }

    /// Returns whether the request may have run, so that the caller must not be told that it
    /// has not.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Records that the request is about to be sent; from now on it may run.
    pub fn record_send(&mut self, id: UpstreamId) {
        self.runs += 1;
        self.tried.push(id);
    }

    /// Records that an upstream that may have run the request was lost itself.
    pub fn record_lost(&mut self) {
        self.lost_runs = (self.lost_runs + 1).min(self.runs);
    }

    /// Decides what to do after a send that brought no successful response.
    ///
    /// `withdraw_retry` is called if the request may be sent again; it withdraws a retry from
    /// the retry budget and returns false if there is none left.
    pub fn decide(
        &mut self,
        now: Duration,
        outcome: SendOutcome,
        withdraw_retry: impl FnOnce() -> bool,
    ) -> Decision {
        let has_not_run = matches!(
            outcome,
            SendOutcome::NotSent | SendOutcome::Withdrawn | SendOutcome::NotRun
        );
        if has_not_run {
            self.runs = self.runs.saturating_sub(1);
        }
        if self.may_resend(now, outcome) && withdraw_retry() {
            return Decision::Resend;
        }
        match outcome {
            SendOutcome::Failed => Decision::Forward,
            _ => Decision::Fail(self.failure(now)),
        }
    }

    /// Returns the kind of failure if the request ends at `now` without a response.
    pub fn failure(&self, now: Duration) -> FailureKind {
        match self.runs {
            0 => FailureKind::NotRun,
            _ if now >= self.deadline => FailureKind::DeadlineExceeded,
            _ => FailureKind::Unknown,
        }
    }

    fn may_resend(&self, now: Duration, outcome: SendOutcome) -> bool {
        let may_have_run = matches!(outcome, SendOutcome::Failed | SendOutcome::Lost);
        let counted_sends = self.tried.len().saturating_sub(self.lost_runs as usize);
        let has_sends_left =
            self.runs.saturating_sub(self.lost_runs) < self.max_runs && counted_sends < MAX_SENDS;
        has_sends_left && now < self.deadline && (self.idempotent || !may_have_run)
    }
}

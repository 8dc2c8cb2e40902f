//! Attempts to send a request that is forwarded as a whole: whether it may be sent (again),
//! and which failure its caller gets otherwise.

use std::time::Duration;

use crate::member::UpstreamId;

/// Maximum number of sends of one request, refused ones included, but not those whose upstream
/// has ended.
///
/// A refusal costs a round trip of about a millisecond. After several refusals the upstreams
/// are probably all full, and it is better to tell the caller so.
const MAX_SENDS: usize = 4;

/// Maximum number of runs of one request that do not count, whatever is known of their
/// upstreams.
pub const MAX_EXCUSED_RUNS: usize = 8;

/// State of the attempts to send one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    deadline: Duration,
    max_runs: u32,
    idempotent: bool,
    /// Sends after which the request may have run, in order.
    runs: Vec<Run>,
    tried: Vec<UpstreamId>,
}

/// A send after which a request may have run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Upstream, or address of the box, that the request was sent to.
    pub receiver: UpstreamId,
    /// The instance of the upstream; `None` if a box received the request.
    pub instance: Option<Instance>,
    /// Whether its connection broke.
    pub is_broken: bool,
    /// Whether the upstream has ended, so that the run does not count.
    is_excused: bool,
}

/// An instance of an upstream, which may start again under the same id.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its address.
    pub addr: String,
    /// Unix time of its start in milliseconds, if it tells.
    pub started_ms: Option<u64>,
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
    /// The connection broke before a complete response; the request may have run.
    Broken,
    /// No complete response arrived in time; the request may have run.
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

impl SendOutcome {
    /// Returns whether the request may have run without a response.
    pub fn is_lost(self) -> bool {
        matches!(self, SendOutcome::Broken | SendOutcome::Lost)
    }

    fn has_not_run(self) -> bool {
        use SendOutcome::{NotRun, NotSent, Withdrawn};
        matches!(self, NotSent | Withdrawn | NotRun)
    }
}

impl Run {
    /// Creates the record of a send to an instance of an upstream, or to a box.
    pub fn new(receiver: UpstreamId, instance: Option<Instance>) -> Self {
        Run {
            receiver,
            instance,
            is_broken: false,
            is_excused: false,
        }
    }

    /// Returns whether the run does not count.
    pub fn is_excused(&self) -> bool {
        self.is_excused
    }
}

impl Attempts {
    /// Creates the state of a request that must end by `deadline`, may run on at most
    /// `max_runs` upstreams, not counting those that have ended, and may run more than once if
    /// it is `idempotent`.
    pub fn new(deadline: Duration, max_runs: u32, idempotent: bool) -> Self {
        Attempts {
            deadline,
            max_runs,
            idempotent,
            runs: Vec::new(),
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

    /// Returns the sends after which the request may have run, in order.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Returns the number of upstreams that the request may still run on.
    pub fn runs_left(&self) -> u32 {
        let counted = self.runs.len() - self.excused();
        self.max_runs.saturating_sub(counted as u32)
    }

    /// Records that the request was not accepted where it was sent last, so that it has not
    /// run there.
    pub fn retract_send(&mut self) {
        self.runs.pop();
        self.tried.pop();
    }

    /// Returns whether the request may have run, so that the caller must not be told that it
    /// has not.
    pub fn may_have_run(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Records that the request is about to be sent; from now on it may run.
    pub fn record_send(&mut self, run: Run) {
        self.tried.push(run.receiver.clone());
        self.runs.push(run);
    }

    /// Records the outcome of the last send, unless that brought a successful response.
    pub fn record_outcome(&mut self, outcome: SendOutcome) {
        if outcome.has_not_run() {
            self.runs.pop();
        } else if outcome == SendOutcome::Broken
            && let Some(run) = self.runs.last_mut()
        {
            run.is_broken = true;
        }
    }

    /// Returns whether the request is sent again only if upstreams that it ran on have ended.
    pub fn is_used_up(&self, now: Duration) -> bool {
        self.idempotent && now < self.deadline && !self.has_sends_left()
    }

    /// Leaves the runs out of the count whose upstream has ended, and no others: what was known
    /// earlier may no longer hold. At most [`MAX_EXCUSED_RUNS`] are left out.
    pub fn excuse_runs(&mut self, has_ended: impl Fn(&Run) -> bool) {
        let mut left = MAX_EXCUSED_RUNS;
        for run in &mut self.runs {
            run.is_excused = left > 0 && has_ended(run);
            left -= usize::from(run.is_excused);
        }
    }

    /// Decides what to do after a send that brought no successful response, whose outcome is
    /// recorded.
    ///
    /// `withdraw_retry` is called if the request may be sent again; it withdraws a retry from
    /// the retry budget and returns false if there is none left.
    pub fn decide(
        &self,
        now: Duration,
        outcome: SendOutcome,
        withdraw_retry: impl FnOnce() -> bool,
    ) -> Decision {
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
        match self.runs.is_empty() {
            true => FailureKind::NotRun,
            false if now >= self.deadline => FailureKind::DeadlineExceeded,
            false => FailureKind::Unknown,
        }
    }

    fn may_resend(&self, now: Duration, outcome: SendOutcome) -> bool {
        let may_repeat = self.idempotent || outcome.has_not_run();
        self.has_sends_left() && now < self.deadline && may_repeat
    }

    fn has_sends_left(&self) -> bool {
        let counted_sends = self.tried.len() - self.excused();
        self.runs_left() > 0 && counted_sends < MAX_SENDS
    }

    /// Returns the number of runs that do not count.
    fn excused(&self) -> usize {
        self.runs.iter().filter(|run| run.is_excused).count()
    }
}

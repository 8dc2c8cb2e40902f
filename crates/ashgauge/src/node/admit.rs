//! Admission of requests (checks, queue, deadlines) and their end.

use std::time::Duration;

use super::*;
use crate::policy::Target;
use crate::queue::Job;
use crate::upstream_stats::DurationEstimate;

/// Default `retry_after` of refusals.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time that the box that owns a key may take to answer before the claim is made on this
/// box.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Factor on the expected wait of a request when it is checked against its deadline on
/// arrival. The wait is only an estimate, and a request that would be given up later is
/// better refused at once.
const WAIT_MARGIN: f64 = 2.0;

/// Cost of a service call in queues and rate limits, in tokens.
const CALL_COST_TOKENS: f64 = 100.0;

impl Node {
    pub(super) fn on_request(&mut self, incoming: IncomingRequest) {
        let id = incoming.id;
        self.stats.arrived += 1;
        match self.admit(incoming) {
            Ok(request) => {
                let record_kind = RecordKind::Arrived {
                    team: request.team.id.to_string(),
                    route: request.route.clone(),
                };
                self.record(Some(id), record_kind);
                self.requests.insert(id, request);
                self.claim_or_queue(id);
            }
            Err(refusal) => self.reply(id, ReplyPart::Refused(refusal)),
        }
    }

    pub(super) fn on_caller_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let outcome = request.outcome();
        self.close_request(id, outcome, "gone");
    }

    /// Refuses requests whose deadline has passed or cannot be met, and makes a claim on
    /// this box if the box that owns the key is slow to answer.
    pub(super) fn expire_requests(&mut self) {
        let now = self.now;
        let late = self.requests.iter().filter(|(_, r)| r.deadline <= now);
        let late: Vec<RequestId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.refuse(id, RefusalKind::Deadline, "the deadline has passed", None);
        }
        self.refuse_late();
        let slow = |r: &Request| {
            let c = r.claim.as_ref().filter(|c| c.owner.is_some());
            matches!(r.phase, Phase::Claiming)
                && c.is_some_and(|c| now > c.asked_at + OWNER_TIMEOUT)
        };
        let slow = self.requests.iter().filter(|(_, r)| slow(r));
        let slow: Vec<RequestId> = slow.map(|(id, _)| *id).collect();
        for id in slow {
            self.claim_locally(id);
        }
    }

    /// Refuses waiting requests that could no longer end before their deadline.
    fn refuse_late(&mut self) {
        let is_too_late = |r: &Request| {
            let waits = matches!(r.phase, Phase::Waiting) && !r.maybe_ran;
            waits && self.now + self.expected_run(r) > r.deadline
        };
        let late = self.requests.iter().filter(|(_, r)| is_too_late(r));
        let late: Vec<RequestId> = late.map(|(id, _)| *id).collect();
        for id in late {
            let message = "the deadline would pass before the end";
            self.refuse(id, RefusalKind::Overloaded, message, Some(RETRY_AFTER));
        }
    }

    /// Ends a request with a refusal. The outcome depends on whether it may have run.
    pub(super) fn refuse(
        &mut self,
        id: RequestId,
        kind: RefusalKind,
        message: &str,
        retry_after: Option<Duration>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let outcome = request.outcome();
        self.refuse_with(id, kind, outcome, message, retry_after);
    }

    /// Ends a request with a refusal and the given outcome.
    pub(super) fn refuse_with(
        &mut self,
        id: RequestId,
        kind: RefusalKind,
        outcome: Outcome,
        message: &str,
        retry_after: Option<Duration>,
    ) {
        let refusal = refusal(kind, outcome, message, retry_after);
        self.reply(id, ReplyPart::Refused(refusal));
        self.close_request(id, outcome, &format!("{kind:?}"));
    }

    /// Removes a request and releases its upstreams, place in the queue and claim.
    pub(super) fn close_request(&mut self, id: RequestId, outcome: Outcome, kind: &str) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let tokens = request.tokens.len() as u32;
        match std::mem::replace(&mut request.phase, Phase::Waiting) {
            Phase::Running(pipeline) => {
                self.release_pipeline(id, &pipeline);
                self.settle_cost(&request);
            }
            Phase::Calling(upstream, _) => {
                self.upstream_stats.release(&upstream);
                self.settle_cost(&request);
            }
            Phase::Waiting => {
                if let Some(q) = self.queues.get_mut(&request.route) {
                    q.remove(id);
                }
            }
            Phase::Claiming => {}
        }
        self.end_claim(&request, outcome);
        self.stats.count_end(outcome);
        let record_kind = RecordKind::Ended {
            outcome: format!("{outcome:?}"),
            kind: kind.into(),
            tokens,
        };
        self.record(Some(id), record_kind);
    }

    pub(super) fn reply(&mut self, id: RequestId, reply: ReplyPart) {
        if let ReplyPart::Refused(r) = &reply {
            self.stats.count_refusal(r.kind);
        }
        self.actions.push(Action::Reply(id, reply));
    }

    pub(super) fn make_job(&self, id: RequestId, request: &Request) -> Job {
        let fair = self.config.strategy.fair;
        Job {
            id,
            team: if fair {
                request.team.id.clone()
            } else {
                "".into()
            },
            rank: if fair { request.team.rank } else { 0 },
            weight: if fair { request.team.weight } else { 1.0 },
            cost: request.cost,
            deadline: request.deadline,
        }
    }

    fn admit(&mut self, incoming: IncomingRequest) -> std::result::Result<Request, Refusal> {
        let reject =
            |kind, message: &str, retry_after| refusal(kind, Outcome::NotRun, message, retry_after);
        if self.control.draining {
            return Err(reject(
                RefusalKind::Draining,
                "this box is stopping",
                Some(Duration::ZERO),
            ));
        }
        if self.policy.version == 0 {
            return Err(reject(
                RefusalKind::NotReady,
                "this box has no table yet",
                Some(RETRY_AFTER),
            ));
        }
        let Some(team) = self.policy.find_team(&incoming.key_hash).cloned() else {
            return Err(reject(
                RefusalKind::Unauthorized,
                "no team has this key",
                None,
            ));
        };
        let Some(name) = self.route_name(&incoming.work) else {
            return Err(reject(
                RefusalKind::UnknownRoute,
                "no route leads there",
                None,
            ));
        };
        if incoming
            .idempotency_key
            .as_ref()
            .is_some_and(|k| k.len() > MAX_KEY_BYTES || k.is_empty())
        {
            return Err(reject(
                RefusalKind::BadKey,
                "the idempotency key has a bad length",
                None,
            ));
        }
        if let Some(left) = self.quarantine_left(&team, &incoming.work) {
            return Err(reject(
                RefusalKind::Held,
                "engines were lost under it",
                Some(left),
            ));
        }
        let route = &self.policy.routes[&name];
        let timeout = incoming
            .timeout
            .unwrap_or(route.deadline)
            .min(route.deadline);
        let request = Request {
            repeatable: route.repeatable && incoming.repeatable,
            deadline: self.now + timeout,
            cost: cost(&incoming.work),
            attempt: 0,
            maybe_ran: false,
            ran_before: false,
            claim: None,
            tokens: Vec::new(),
            started_at: Duration::ZERO,
            phase: Phase::Waiting,
            route: name,
            team,
            incoming,
        };
        self.check_capacity(&request)?;
        Ok(request)
    }

    /// Refuses a request that no upstream can serve, whose team's queue is full, or whose
    /// wait would pass its deadline.
    fn check_capacity(&mut self, request: &Request) -> std::result::Result<(), Refusal> {
        let reject = |kind, message: &str, retry_after| {
            refusal(kind, Outcome::NotRun, message, Some(retry_after))
        };
        if !self.is_servable(&request.route) {
            let message = "no live upstream can serve this now";
            return Err(reject(RefusalKind::NoUpstream, message, RETRY_AFTER));
        }
        let team = &request.team;
        if team.token_rate.is_some() {
            // Refused requests count as demand too; otherwise loans would shrink with
            // every refusal.
            self.set_share(&team.id);
            self.rate_limits
                .record_demand(self.now, &team.id, request.cost);
        }
        let queue = self.queues.entry(request.route.clone()).or_default();
        let (wait, len) = (
            queue.expected_wait(team.rank, &team.id, team.weight),
            queue.team_len(team.rank, &team.id),
        );
        if len >= team.queue_limit || self.requests.len() >= self.config.max_requests {
            let retry_after = wait.max(RETRY_AFTER);
            return Err(reject(
                RefusalKind::QueueFull,
                "the team's queue is full",
                retry_after,
            ));
        }
        let max_wait = (request.deadline - self.now).saturating_sub(self.expected_run(request));
        if wait.mul_f64(WAIT_MARGIN) > max_wait {
            let retry_after = (wait - max_wait / 2).max(RETRY_AFTER / 10);
            return Err(reject(
                RefusalKind::Overloaded,
                "the wait would pass the deadline",
                retry_after,
            ));
        }
        let rate_wait = self.rate_wait(team, len as f64 * request.cost);
        if rate_wait.is_some_and(|w| w > max_wait) {
            let retry_after = rate_wait.unwrap_or(RETRY_AFTER);
            return Err(reject(
                RefusalKind::RateLimited,
                "the team's rate is used up",
                retry_after,
            ));
        }
        Ok(())
    }

    /// Returns the run time to expect for the tokens that a request may still generate, from
    /// earlier requests of its route; zero for service calls and if there were none.
    pub(super) fn expected_run(&self, request: &Request) -> Duration {
        let token_time = self
            .token_times
            .get(&request.route)
            .map_or(0.0, DurationEstimate::mean);
        Duration::from_secs_f64(token_time * f64::from(request.tokens_left()))
    }

    /// Updates the route's time per token from a request that ran to its end.
    pub(super) fn learn_token_time(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let ran = self.now.saturating_sub(request.started_at).as_secs_f64();
        let token_time = ran / request.tokens.len().max(1) as f64;
        self.token_times
            .entry(request.route.clone())
            .or_default()
            .record(token_time);
    }

    fn rate_wait(&mut self, team: &Team, cost_ahead: f64) -> Option<Duration> {
        team.token_rate?;
        let own_wait = self.rate_limits.time_to_room(self.now, &team.id)?;
        let rate = self.rate_limits.rate(self.now, &team.id);
        Some(own_wait + Duration::from_secs_f64(cost_ahead / rate.max(1e-3)))
    }

    fn route_name(&self, work: &Work) -> Option<String> {
        let model = |name: &String| {
            let target = self.policy.routes.get(name).map(|r| &r.target);
            matches!(target, Some(Target::Model(_)))
        };
        match work {
            Work::Generate { model: m, .. } => Some(m.clone()).filter(model),
            Work::Call { path, .. } => self.policy.find_service(path).map(String::from),
        }
    }

    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = Phase::Waiting;
        let request = &self.requests[&id];
        let job = self.make_job(id, request);
        let route = request.route.clone();
        let queue = self.queues.entry(route.clone()).or_default();
        queue.push(job);
        let waiting = queue.len();
        self.dispatch(&route);
        if matches!(self.requests.get(&id), Some(r) if matches!(r.phase, Phase::Waiting)) {
            self.record(Some(id), RecordKind::Queued { waiting });
        }
    }

    /// Corrects the cost charged to the queue and the team's rate once the actual number
    /// of tokens is known.
    fn settle_cost(&mut self, request: &Request) {
        let Work::Generate { prompt, .. } = &request.incoming.work else {
            return;
        };
        let actual = (prompt.len() + request.tokens.len()) as f64;
        let job = self.make_job(request.incoming.id, request);
        if let Some(queue) = self.queues.get_mut(&request.route) {
            queue.correct_cost(&job, actual);
        }
        if request.team.token_rate.is_some() {
            let more = actual - request.cost;
            self.rate_limits.spend(self.now, &request.team.id, more);
        }
    }
}

fn cost(work: &Work) -> f64 {
    match work {
        Work::Generate {
            prompt, max_tokens, ..
        } => (prompt.len() + *max_tokens as usize) as f64,
        Work::Call { .. } => CALL_COST_TOKENS,
    }
}

fn refusal(
    kind: RefusalKind,
    outcome: Outcome,
    message: &str,
    retry_after: Option<Duration>,
) -> Refusal {
    Refusal {
        kind,
        outcome,
        message: message.into(),
        remedy: remedy(kind, outcome).into(),
        retry_after,
    }
}

fn remedy(kind: RefusalKind, outcome: Outcome) -> &'static str {
    match (kind, outcome) {
        (RefusalKind::Unauthorized, _) => "send the team's key as a bearer token",
        (RefusalKind::UnknownRoute, _) => "ask the operator for the names of models and services",
        (RefusalKind::BadKey, _) => {
            "use a key of 1 to 128 bytes; a UUID of version 7 must not be made ahead"
        }
        (RefusalKind::Held, _) => {
            "look into what in it ends engines; it is tried again after the given time"
        }
        (RefusalKind::KeyTaken, Outcome::Done) => "do not send it again; it has run",
        (RefusalKind::KeyTaken, _) => "check whether it took effect before using a new key",
        (_, Outcome::NotRun) => "send it again after the given time",
        (_, Outcome::Unknown) => "check whether it took effect before sending it again",
        (_, Outcome::Done) => "nothing to do",
    }
}

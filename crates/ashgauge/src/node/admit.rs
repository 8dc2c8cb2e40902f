//! A request's way in: checks, claim, queue, and its way out.

use std::time::Duration;

use super::*;
use crate::load::Spread;
use crate::policy::Target;
use crate::queue::Job;

/// Time to come back after, when nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);

/// How long a key's home box may take before the asker turns elsewhere.
const HOME_TIME: Duration = Duration::from_millis(400);

/// Longest key that is stored, in bytes.
const KEY_MOST: usize = 128;

/// Factor on an expected wait, which is only an estimate, before a request is
/// taken in: one that would be given up later is better refused at once.
const WAIT_MARGIN: f64 = 2.0;

/// Cost of a service call in the queue, in tokens.
const CALL_COST: f64 = 100.0;

impl Node {
    pub(super) fn arrive(&mut self, order: Order) {
        let id = order.id;
        self.stats.arrived += 1;
        match self.admit(order) {
            Ok(request) => {
                let what = What::Arrived {
                    team: request.team.id.to_string(),
                    route: request.route.clone(),
                };
                self.note(Some(id), what);
                self.requests.insert(id, request);
                self.claim_or_queue(id);
            }
            Err(refusal) => self.reply(id, Reply::Refused(refusal)),
        }
    }

    pub(super) fn gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let outcome = request.outcome();
        self.close(id, outcome, "gone");
    }

    /// Ends requests whose deadline has passed, and turns from a slow home.
    pub(super) fn expire(&mut self) {
        let now = self.now;
        let late = self.requests.iter().filter(|(_, r)| r.deadline <= now);
        let late: Vec<RequestId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.refuse(id, Kind::Deadline, "the deadline has passed", None);
        }
        self.refuse_hopeless();
        let slow = |r: &Request| {
            let c = r.claim.as_ref().filter(|c| c.home.is_some());
            matches!(r.phase, Phase::Claiming) && c.is_some_and(|c| now > c.asked + HOME_TIME)
        };
        let slow = self.requests.iter().filter(|(_, r)| slow(r));
        let slow: Vec<RequestId> = slow.map(|(id, _)| *id).collect();
        for id in slow {
            self.claim_here(id);
        }
    }

    /// Refuses what still waits and could no longer end in time.
    fn refuse_hopeless(&mut self) {
        let hopeless = |r: &Request| {
            let waits = matches!(r.phase, Phase::Waiting) && !r.ran;
            waits && self.now + self.run_time(r) > r.deadline
        };
        let late = self.requests.iter().filter(|(_, r)| hopeless(r));
        let late: Vec<RequestId> = late.map(|(id, _)| *id).collect();
        for id in late {
            let message = "the deadline would pass before the end";
            self.refuse(id, Kind::Overloaded, message, Some(COME_BACK));
        }
    }

    /// Gives a request its final answer without a result.
    pub(super) fn refuse(
        &mut self,
        id: RequestId,
        kind: Kind,
        message: &str,
        retry_after: Option<Duration>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let outcome = request.outcome();
        self.refuse_as(id, kind, outcome, message, retry_after);
    }

    /// As [`Node::refuse`], with the outcome given.
    pub(super) fn refuse_as(
        &mut self,
        id: RequestId,
        kind: Kind,
        outcome: Outcome,
        message: &str,
        retry_after: Option<Duration>,
    ) {
        let refusal = refusal(kind, outcome, message, retry_after);
        self.reply(id, Reply::Refused(refusal));
        self.close(id, outcome, &format!("{kind:?}"));
    }

    /// Forgets a request and gives back all it held.
    pub(super) fn close(&mut self, id: RequestId, outcome: Outcome, kind: &str) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let tokens = request.produced.len() as u32;
        match std::mem::replace(&mut request.phase, Phase::Waiting) {
            Phase::Running(flow) => {
                self.release_flow(id, &flow);
                self.settle(&request);
            }
            Phase::Calling(upstream, _) => {
                self.loads.release(&upstream);
                self.settle(&request);
            }
            Phase::Waiting => {
                if let Some(q) = self.queues.get_mut(&request.route) {
                    q.remove(id);
                }
            }
            Phase::Claiming => {}
        }
        self.end_claim(&request, outcome);
        self.stats.end(outcome);
        let what = What::Ended {
            outcome: format!("{outcome:?}"),
            kind: kind.into(),
            tokens,
        };
        self.note(Some(id), what);
    }

    pub(super) fn reply(&mut self, id: RequestId, reply: Reply) {
        if let Reply::Refused(r) = &reply {
            self.stats.refuse(r.kind);
        }
        self.out.push(Action::Reply(id, reply));
    }

    pub(super) fn job(&self, id: RequestId, request: &Request) -> Job {
        let fair = self.config.tactics.fair;
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

    fn admit(&mut self, order: Order) -> std::result::Result<Request, Refusal> {
        let no = |kind, message: &str, after| refusal(kind, Outcome::NotRun, message, after);
        if self.fleet.draining {
            return Err(no(
                Kind::Draining,
                "this box is stopping",
                Some(Duration::ZERO),
            ));
        }
        if self.policy.version == 0 {
            return Err(no(
                Kind::NotReady,
                "this box has no table yet",
                Some(COME_BACK),
            ));
        }
        let Some(team) = self.policy.find_team(&order.key_hash).cloned() else {
            return Err(no(Kind::Unauthorized, "no team has this key", None));
        };
        let Some(name) = self.route_name(&order.work) else {
            return Err(no(Kind::UnknownRoute, "no route leads there", None));
        };
        if order
            .key
            .as_ref()
            .is_some_and(|k| k.len() > KEY_MOST || k.is_empty())
        {
            return Err(no(
                Kind::BadKey,
                "the idempotency key has a bad length",
                None,
            ));
        }
        if let Some(left) = self.held_back(&team, &order.work) {
            return Err(no(Kind::Held, "engines were lost under it", Some(left)));
        }
        let route = &self.policy.routes[&name];
        let timeout = order.timeout.unwrap_or(route.deadline).min(route.deadline);
        let request = Request {
            repeatable: route.repeatable && order.repeatable,
            deadline: self.now + timeout,
            cost: cost(&order.work),
            attempt: 0,
            ran: false,
            before: false,
            claim: None,
            produced: Vec::new(),
            began: Duration::ZERO,
            phase: Phase::Waiting,
            route: name,
            team,
            order,
        };
        self.check_room(&request)?;
        Ok(request)
    }

    /// Refuses a request that would wait in vain.
    fn check_room(&mut self, request: &Request) -> std::result::Result<(), Refusal> {
        let no = |kind, message: &str, after| refusal(kind, Outcome::NotRun, message, Some(after));
        if !self.is_served(&request.route) {
            let message = "no live upstream can serve this now";
            return Err(no(Kind::NoUpstream, message, COME_BACK));
        }
        let team = &request.team;
        if team.rate.is_some() {
            // Refused requests are demand too, else loans would shrink with
            // every refusal.
            self.set_share(&team.id);
            self.limits.demand(self.now, &team.id, request.cost);
        }
        let queue = self.queues.entry(request.route.clone()).or_default();
        let (wait, len) = (
            queue.wait(team.rank, &team.id, team.weight),
            queue.team_len(team.rank, &team.id),
        );
        if len >= team.queue || self.requests.len() >= self.config.requests {
            let after = wait.max(COME_BACK);
            return Err(no(Kind::QueueFull, "the team's queue is full", after));
        }
        let patience = (request.deadline - self.now).saturating_sub(self.run_time(request));
        if wait.mul_f64(WAIT_MARGIN) > patience {
            let after = (wait - patience / 2).max(COME_BACK / 10);
            return Err(no(
                Kind::Overloaded,
                "the wait would pass the deadline",
                after,
            ));
        }
        let limited = self.limit_wait(team, len as f64 * request.cost);
        if limited.is_some_and(|w| w > patience) {
            let after = limited.unwrap_or(COME_BACK);
            return Err(no(Kind::RateLimited, "the team's rate is used up", after));
        }
        Ok(())
    }

    /// Time that a request will run, as far as others of its route tell.
    pub(super) fn run_time(&self, request: &Request) -> Duration {
        let pace = self.paces.get(&request.route).map_or(0.0, Spread::mean);
        Duration::from_secs_f64(pace * f64::from(request.left()))
    }

    /// Learns from a request that ran to its end.
    pub(super) fn learn_pace(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let ran = self.now.saturating_sub(request.began).as_secs_f64();
        let pace = ran / request.produced.len().max(1) as f64;
        self.paces
            .entry(request.route.clone())
            .or_default()
            .learn(pace);
    }

    fn limit_wait(&mut self, team: &Team, ahead: f64) -> Option<Duration> {
        team.rate?;
        let own = self.limits.wait(self.now, &team.id)?;
        let rate = self.limits.rate(self.now, &team.id);
        Some(own + Duration::from_secs_f64(ahead / rate.max(1e-3)))
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
        let job = self.job(id, request);
        let route = request.route.clone();
        let queue = self.queues.entry(route.clone()).or_default();
        queue.push(job);
        let waiting = queue.len();
        self.dispatch(&route);
        if matches!(self.requests.get(&id), Some(r) if matches!(r.phase, Phase::Waiting)) {
            self.note(Some(id), What::Queued { waiting });
        }
    }

    /// Corrects queue and limit once the true number of tokens is known.
    fn settle(&mut self, request: &Request) {
        let Work::Generate { prompt, .. } = &request.order.work else {
            return;
        };
        let actual = (prompt.len() + request.produced.len()) as f64;
        let job = self.job(request.order.id, request);
        if let Some(queue) = self.queues.get_mut(&request.route) {
            queue.settle(&job, actual);
        }
        if request.team.rate.is_some() {
            let more = actual - request.cost;
            self.limits.spend(self.now, &request.team.id, more);
        }
    }
}

fn cost(work: &Work) -> f64 {
    match work {
        Work::Generate { prompt, most, .. } => (prompt.len() + *most as usize) as f64,
        Work::Call { .. } => CALL_COST,
    }
}

fn refusal(kind: Kind, outcome: Outcome, message: &str, retry_after: Option<Duration>) -> Refusal {
    Refusal {
        kind,
        outcome,
        message: message.into(),
        remedy: remedy(kind, outcome).into(),
        retry_after,
    }
}

fn remedy(kind: Kind, outcome: Outcome) -> &'static str {
    match (kind, outcome) {
        (Kind::Unauthorized, _) => "send the team's key as a bearer token",
        (Kind::UnknownRoute, _) => "ask the operator for the names of models and services",
        (Kind::BadKey, _) => {
            "use a key of 1 to 128 bytes; a UUID of version 7 must not be made ahead"
        }
        (Kind::Held, _) => {
            "look into what in it ends engines; it is tried again after the given time"
        }
        (Kind::KeyTaken, Outcome::Done) => "do not send it again; it has run",
        (Kind::KeyTaken, _) => "check whether it took effect before using a new key",
        (_, Outcome::NotRun) => "send it again after the given time",
        (_, Outcome::Unknown) => "check whether it took effect before sending it again",
        (_, Outcome::Done) => "nothing to do",
    }
}

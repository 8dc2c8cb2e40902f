//! One request's way through its stages, position by position.

use std::time::Duration;

use super::*;
use crate::chain::{Edge, Layer, Stage, cheapest};
use crate::load::Timing;
use crate::member::{State, UpstreamId};
use crate::policy::Target;

/// Stages that may be replaced for one request.
const REPLACED_MOST: u32 = 16;

/// A silent stage counts as lost after this many times the time that its
/// orders seldom take.
const SILENCE_FACTOR: u32 = 2;

/// As long as nothing was learned of an upstream, silence may last this many
/// times the setting.
const FIRST_FACTOR: u32 = 6;

/// Factor on the expected run time of a request before it is started: one that
/// is cut by its deadline has cost its engines' time for nothing.
const RUN_MARGIN: f64 = 1.3;

/// Time to come back after, when no stage can be replaced.
const COME_BACK: Duration = Duration::from_secs(1);

/// The stages of one running request.
pub(super) struct Flow {
    model: String,
    stages: Vec<Live>,
    current: usize,
    sessions: Session,
    replaced: u32,
    /// Whether the request may have run before the current order went out.
    before: bool,
    stalled: bool,
    past: Vec<Past>,
}

/// A stage that was given up while its order was out.
struct Past {
    session: Session,
    stage: Stage,
    sent: Duration,
}

/// One stage with the inputs it was given.
struct Live {
    stage: Stage,
    addr: String,
    session: Session,
    /// Position of the first kept input.
    base: u32,
    kept: Vec<Value>,
    /// Positions whose outputs were passed on.
    ran: u32,
    /// Positions that an earlier stage in this place had passed on.
    rebuild: u32,
    sent: Option<Duration>,
    tries: u32,
}

impl Flow {
    fn live(&mut self) -> &mut Live {
        &mut self.stages[self.current]
    }

    fn kept(&self) -> usize {
        self.stages.iter().map(|s| s.kept.len()).sum()
    }

    fn add(&mut self, stage: Stage, addr: String) -> Live {
        self.sessions += 1;
        Live {
            stage,
            addr,
            session: self.sessions,
            base: 0,
            kept: Vec::new(),
            ran: 0,
            rebuild: 0,
            sent: None,
            tries: 0,
        }
    }

    /// Drops inputs that only a replay would need.
    fn trim(&mut self) {
        for s in &mut self.stages {
            let old = (s.ran - s.base) as usize;
            s.kept.drain(..old);
            s.base = s.ran;
        }
    }
}

impl Live {
    fn inputs(&self) -> &[Value] {
        &self.kept[(self.ran - self.base) as usize..]
    }

    fn given(&self) -> u32 {
        self.base + self.kept.len() as u32
    }
}

impl Node {
    /// Starts waiting requests of every queue while there is room.
    pub(super) fn dispatch_all(&mut self) {
        let busy = self.queues.iter().filter(|(_, q)| !q.is_empty());
        let routes: Vec<String> = busy.map(|(r, _)| r.clone()).collect();
        for route in routes {
            self.dispatch(&route);
        }
    }

    /// Starts waiting requests of one route while there is room.
    pub(super) fn dispatch(&mut self, route: &str) {
        let Some(target) = self.policy.routes.get(route).map(|r| r.target.clone()) else {
            return;
        };
        while self.queues.get(route).is_some_and(|q| !q.is_empty()) {
            match target {
                Target::Model(layers) => {
                    let Some(stages) = self.choose(route, 0, layers, None, false) else {
                        return self.refuse_unserved(route);
                    };
                    let pace = stages.iter().map(|s| self.loads.pace(&s.upstream)).sum();
                    let Some(id) = self.take(route, pace) else {
                        return;
                    };
                    self.start(id, stages);
                }
                Target::Service(_) => {
                    let Some(upstream) = self.choose_service(route) else {
                        return self.refuse_unserved(route);
                    };
                    let Some(id) = self.take(route, 0.0) else {
                        return;
                    };
                    self.start_call(id, upstream);
                }
            }
        }
    }

    /// Refuses what waits for a route that no upstream serves any more.
    fn refuse_unserved(&mut self, route: &str) {
        if self.is_served(route) {
            return;
        }
        let waits = |r: &Request| matches!(r.phase, Phase::Waiting) && r.route == route;
        let waiting = self.requests.iter().filter(|(_, r)| waits(r));
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            let message = "no live upstream can serve this now";
            self.refuse(id, Kind::NoUpstream, message, Some(COME_BACK));
        }
    }

    /// Returns true if live upstreams could serve the route, busy or not.
    pub(super) fn is_served(&self, route: &str) -> bool {
        let now = self.now;
        match self.policy.routes.get(route).map(|r| &r.target) {
            Some(Target::Model(layers)) => {
                let edges = self.edges(route, |id| !self.members.is_leaving(now, id));
                cheapest(0, *layers, &edges).is_some()
            }
            Some(Target::Service(_)) => {
                let serves = |u: &crate::member::UpstreamEntry| {
                    u.service.as_deref() == Some(route) && !self.members.is_leaving(now, &u.id)
                };
                self.members.upstreams().any(serves)
            }
            None => false,
        }
    }

    pub(super) fn ran(&mut self, ran: Ran) {
        let Some(request) = self.requests.get_mut(&ran.id) else {
            self.stats.dropped += 1;
            return;
        };
        let Phase::Running(flow) = &mut request.phase else {
            self.stats.dropped += 1;
            return;
        };
        let live = flow.live();
        if live.session != ran.session {
            return self.ran_late(&ran);
        }
        let expected = live.sent.is_some()
            && live.ran == ran.start
            && live.inputs().len() == ran.outputs.len();
        if !expected {
            self.stats.dropped += 1;
            let upstream = live.stage.upstream.clone();
            self.note(Some(ran.id), What::Dropped { upstream });
            return;
        }
        let sent = live.sent.take().unwrap_or(self.now);
        let timing = timing(self.now - sent, &live.stage, &ran);
        let upstream = live.stage.upstream.clone();
        self.loads.learn(self.now, &upstream, &timing);
        self.stats.orders += 1;
        self.pass_on(ran);
    }

    /// An answer of a stage that was given up is dropped, but it tells how
    /// slow the upstream is.
    fn ran_late(&mut self, ran: &Ran) {
        self.stats.dropped += 1;
        let Some(request) = self.requests.get(&ran.id) else {
            return;
        };
        let Phase::Running(flow) = &request.phase else {
            return;
        };
        let Some(past) = flow.past.iter().find(|p| p.session == ran.session) else {
            return;
        };
        let timing = timing(self.now - past.sent, &past.stage, ran);
        let upstream = past.stage.upstream.clone();
        self.loads.learn(self.now, &upstream, &timing);
        self.note(Some(ran.id), What::Dropped { upstream });
    }

    pub(super) fn run_failed(&mut self, id: RequestId, session: Session, start: u32, fault: Fault) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        let live = flow.live();
        if live.session != session || live.ran != start || live.sent.is_none() {
            return;
        }
        let upstream = live.stage.upstream.clone();
        match fault {
            // The engine keeps the last output of a session, so the same order
            // runs nothing again if it got through.
            Fault::Lost(_) if live.tries == 0 => {
                live.tries = 1;
                let position = live.ran;
                self.note(Some(id), What::Resumed { upstream, position });
                self.send_run(id);
            }
            Fault::Lost(cause) => self.lose(id, &cause, true),
            Fault::NotSent(cause) => {
                self.undo_ran(id);
                self.lose(id, &cause, true);
            }
            Fault::Refused(reason) => {
                if reason == Reason::Leaving {
                    self.note_leaving(&upstream, "upstream");
                }
                if reason == Reason::Busy {
                    self.loads.fail(self.now, &upstream);
                }
                self.undo_ran(id);
                self.lose(id, &format!("{reason:?}"), false);
            }
        }
    }

    /// Finds silent stages and services, and tries stalled requests again.
    pub(super) fn tick_flows(&mut self) {
        let mut silent = Vec::new();
        let mut stalled = Vec::new();
        let mut calls = Vec::new();
        for (id, request) in &mut self.requests {
            let flow = match &mut request.phase {
                Phase::Running(flow) => flow,
                Phase::Calling(_, since) => {
                    if request.repeatable && self.now > *since + self.config.call_silence {
                        calls.push((*id, request.attempt));
                    }
                    continue;
                }
                _ => continue,
            };
            if flow.stalled {
                stalled.push(*id);
                continue;
            }
            let live = flow.live();
            let positions = live.inputs().len() as u32;
            let late = self.loads.late(&live.stage.upstream, positions);
            let silence = self.config.silence;
            let limit = match late {
                Some(late) => silence.max(late * SILENCE_FACTOR),
                None => silence * FIRST_FACTOR,
            };
            if live.sent.is_some_and(|t| self.now > t + limit) {
                silent.push(*id);
            }
        }
        for id in silent {
            self.lose(id, "silent", true);
        }
        for id in stalled {
            self.replace(id, None);
        }
        for (id, attempt) in calls {
            self.call_failed(id, attempt, Fault::Lost("silent".into()));
        }
    }

    /// Gives back the places a flow held and ends its sessions.
    pub(super) fn release_flow(&mut self, id: RequestId, flow: &Flow) {
        for live in &flow.stages {
            self.loads.release(&live.stage.upstream);
            self.cancel(id, live.session, &live.stage.upstream, &live.addr);
        }
    }

    /// Takes the next request that may go, and that would end in time if each
    /// token takes `pace` seconds; others wait for a quicker chain.
    fn take(&mut self, route: &str, pace: f64) -> Option<RequestId> {
        let queue = self.queues.get_mut(route)?;
        let (policy, limits) = (&self.policy, &mut self.limits);
        let (now, requests) = (self.now, &self.requests);
        let job = queue.pop(now, &policy.floors, |job| {
            let Some(r) = requests.get(&job.id) else {
                return true;
            };
            let run = Duration::from_secs_f64(pace * RUN_MARGIN * f64::from(r.left()));
            let fits = r.ran || now + run <= job.deadline;
            fits && (r.team.rate.is_none() || limits.has_room(now, &r.team.id))
        })?;
        let request = self.requests.get(&job.id)?;
        if request.team.rate.is_some() {
            let team = request.team.id.clone();
            self.limits.spend(now, &team, request.cost);
        }
        Some(job.id)
    }

    fn start(&mut self, id: RequestId, stages: Vec<Stage>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Work::Generate { model, prompt, .. } = &request.order.work else {
            return;
        };
        if request.attempt == 0 {
            self.budget.earn();
            self.stats.started += 1;
            request.began = self.now;
        }
        request.attempt += 1;
        let mut flow = Flow {
            model: model.clone(),
            stages: Vec::new(),
            current: 0,
            // Sessions of an earlier try must not be met again.
            sessions: request.attempt << 16,
            replaced: 0,
            before: false,
            stalled: false,
            past: Vec::new(),
        };
        let mut first = prompt.clone();
        first.extend(&request.produced);
        for stage in &stages {
            let addr = address(&self.members, &stage.upstream);
            let live = flow.add(stage.clone(), addr);
            flow.stages.push(live);
            self.loads.hold(&stage.upstream);
        }
        flow.stages[0].kept = first;
        request.phase = Phase::Running(flow);
        let attempt = request.attempt;
        self.note(Some(id), What::Chosen { attempt, stages });
        self.send_run(id);
    }

    /// Sends the current stage the inputs it has not run yet.
    fn send_run(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempt;
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        flow.before = std::mem::replace(&mut request.ran, true);
        let model = flow.model.clone();
        let live = flow.live();
        live.sent = Some(now);
        let inputs = live.inputs().to_vec();
        let run = Run {
            id,
            attempt,
            session: live.session,
            upstream: live.stage.upstream.clone(),
            addr: live.addr.clone(),
            model,
            first: live.stage.first,
            end: live.stage.end,
            start: live.ran,
            rebuild: (inputs.len() as u32).min(live.rebuild.saturating_sub(live.ran)),
            inputs,
        };
        self.out.push(Action::Run(run));
    }

    /// Takes a stage's outputs to the next stage, or the token to the caller.
    fn pass_on(&mut self, ran: Ran) {
        let id = ran.id;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        let live = flow.live();
        live.ran = live.given();
        live.tries = 0;
        if flow.current + 1 < flow.stages.len() {
            flow.current += 1;
            let next = flow.live();
            let known = (next.given() - ran.start) as usize;
            next.kept.extend(&ran.outputs[known..]);
        } else {
            let Some(token) = ran.token else {
                return self.lose(id, "no token from the last stage", false);
            };
            if self.produce(id, token) {
                return;
            }
        }
        self.bound_kept(id);
        self.send_run(id);
    }

    /// Gives the caller a token; returns true if it was the last.
    fn produce(&mut self, id: RequestId, token: Token) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        let Work::Generate { prompt, most, .. } = &request.order.work else {
            return true;
        };
        let (prompt, most) = (prompt.len() as u32, *most);
        request.produced.push(token.id);
        let generated = request.produced.len() as u32;
        let last = token.end || generated >= most;
        if let Phase::Running(flow) = &mut request.phase {
            flow.current = 0;
            flow.stages[0].kept.push(token.id);
        }
        self.stats.tokens += 1;
        self.reply(id, Reply::Token(token));
        if last {
            self.learn_pace(id);
            self.reply(id, Reply::End { prompt, generated });
            self.close(id, Outcome::Done, "done");
            self.dispatch_all();
        }
        last
    }

    fn bound_kept(&mut self, id: RequestId) {
        let most = self.config.keep;
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(flow) = &mut request.phase
            && flow.kept() > most
        {
            flow.trim();
        }
    }

    /// The current stage is lost; `failed` if its upstream is to blame.
    fn lose(&mut self, id: RequestId, cause: &str, failed: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stays = request.repeatable || !request.ran;
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        let live = flow.live();
        let sent = live.sent.take();
        let upstream = live.stage.upstream.clone();
        if let Some(sent) = sent {
            let (session, stage) = (live.session, live.stage.clone());
            flow.past.push(Past {
                session,
                stage,
                sent,
            });
        }
        if failed {
            self.loads.fail(self.now, &upstream);
        }
        self.stats.lost += 1;
        let what = What::Lost {
            upstream: upstream.clone(),
            cause: cause.into(),
        };
        self.note(Some(id), what);
        if !stays {
            let message = "a stage was lost and the request may not be repeated";
            return self.refuse(id, Kind::Broken, message, None);
        }
        self.replace(id, Some(upstream));
    }

    /// Notes that the current order did not run, if it went out only once.
    fn undo_ran(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(flow) = &mut request.phase
            && flow.live().tries == 0
        {
            request.ran = flow.before;
        }
    }

    /// Finds another way through the layers of the current stage.
    fn replace(&mut self, id: RequestId, lost: Option<UpstreamId>) {
        let replay = self.config.tactics.replay;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        let live = &flow.stages[flow.current];
        let (first, end) = (live.stage.first, live.stage.end);
        if live.base > 0 || !replay {
            return self.restart(id);
        }
        if flow.replaced >= REPLACED_MOST {
            let message = "too many stages were lost";
            return self.refuse(id, Kind::Broken, message, Some(COME_BACK));
        }
        let model = flow.model.clone();
        let chosen = self.choose(&model, first, end, lost.as_ref(), true);
        let Some(stages) = chosen else {
            return self.stall(id, first, end);
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Running(flow) = &mut request.phase else {
            return;
        };
        flow.replaced += 1;
        flow.stalled = false;
        let mut news = Vec::new();
        for stage in &stages {
            let addr = address(&self.members, &stage.upstream);
            news.push(flow.add(stage.clone(), addr));
        }
        let at = flow.current;
        let old = flow.stages.remove(at);
        for live in &mut news {
            live.rebuild = old.ran.max(old.rebuild);
        }
        news[0].kept = old.kept.clone();
        flow.stages.splice(at..at, news);
        for stage in &stages {
            self.loads.hold(&stage.upstream);
        }
        self.loads.release(&old.stage.upstream);
        self.cancel(id, old.session, &old.stage.upstream, &old.addr);
        self.stats.replaced += 1;
        let what = What::Replaced {
            first,
            end,
            stages,
            replayed: old.ran as usize,
        };
        self.note(Some(id), what);
        self.send_run(id);
    }

    fn stall(&mut self, id: RequestId, first: Layer, end: Layer) {
        let mut news = false;
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(flow) = &mut request.phase
        {
            news = !std::mem::replace(&mut flow.stalled, true);
        }
        if news {
            self.note(Some(id), What::Stalled { first, end });
        }
    }

    /// Starts the whole request anew, behind the tokens already given out.
    fn restart(&mut self, id: RequestId) {
        if !self.budget.take() {
            let message = "a stage was lost and the retry budget is used up";
            return self.refuse(id, Kind::Broken, message, Some(COME_BACK));
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let route = request.route.clone();
        if let Phase::Running(flow) = std::mem::replace(&mut request.phase, Phase::Waiting) {
            self.release_flow(id, &flow);
        }
        self.stats.restarted += 1;
        self.requeue(id);
        self.dispatch(&route);
    }

    /// Puts a request back to the head of its queue, its cost unspent.
    pub(super) fn requeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let job = self.job(id, request);
        let (route, team) = (request.route.clone(), request.team.clone());
        if team.rate.is_some() {
            self.limits.spend(self.now, &team.id, -job.cost);
        }
        self.queues.entry(route).or_default().unpop(job);
    }

    /// Chooses engines for `first..end` of a model.
    ///
    /// `urgent` passes over the windows, for requests that already run.
    fn choose(
        &mut self,
        model: &str,
        first: Layer,
        end: Layer,
        lost: Option<&UpstreamId>,
        urgent: bool,
    ) -> Option<Vec<Stage>> {
        let now = self.now;
        let edges = self.edges(model, |id| {
            let fine = if urgent {
                !self.loads.is_suspect(now, id) && lost.is_none_or(|l| &**l != id)
            } else {
                self.loads.is_open(now, id)
            };
            fine && !self.members.is_leaving(now, id)
        });
        if self.config.tactics.cheapest {
            return cheapest(first, end, &edges);
        }
        self.turn += 1;
        in_turn(first, end, &edges, self.turn)
    }

    fn edges(&self, model: &str, open: impl Fn(&str) -> bool) -> Vec<Edge> {
        let mut edges = Vec::new();
        for u in self.members.upstreams() {
            if u.state == State::Leaving || !open(&u.id) {
                continue;
            }
            for h in u.holds.iter().filter(|h| h.model == model) {
                edges.push(self.loads.edge(self.now, &u.id, h.first, h.end));
            }
        }
        edges
    }

    fn cancel(&mut self, id: RequestId, session: Session, upstream: &UpstreamId, addr: &str) {
        self.out.push(Action::Cancel {
            id,
            session,
            upstream: upstream.clone(),
            addr: addr.into(),
        });
    }
}

fn timing(total: Duration, stage: &Stage, ran: &Ran) -> Timing {
    Timing {
        total,
        queued: ran.queued,
        ran: ran.ran,
        layers: stage.end - stage.first,
        positions: ran.outputs.len() as u32,
    }
}

/// The plain baseline: of the engines that hold the next layer, take each in
/// turn, and all that it holds.
fn in_turn(first: Layer, end: Layer, edges: &[Edge], turn: usize) -> Option<Vec<Stage>> {
    let mut stages = Vec::new();
    let mut at = first;
    while at < end {
        let next: Vec<&Edge> = edges
            .iter()
            .filter(|e| e.first <= at && at < e.end)
            .collect();
        let edge = next.get(turn % next.len().max(1))?;
        let to = edge.end.min(end);
        stages.push(Stage {
            upstream: edge.upstream.clone(),
            first: at,
            end: to,
        });
        at = to;
    }
    Some(stages)
}

pub(super) fn address(members: &Members, id: &str) -> String {
    members
        .upstream(id)
        .map_or(String::new(), |u| u.addr.clone())
}

//! One request's way through its stages, position by position.

use std::time::Duration;

use super::*;
use crate::chain::Stage;
use crate::load::Timing;
use crate::member::UpstreamId;

/// The stages of one running request.
pub(super) struct Flow {
    pub(super) model: String,
    pub(super) stages: Vec<Live>,
    pub(super) current: usize,
    pub(super) sessions: Session,
    pub(super) replaced: u32,
    /// When its stages were last chosen.
    pub(super) placed: Duration,
    /// Whether the request may have run before the current order went out.
    pub(super) before: bool,
    pub(super) stalled: bool,
    pub(super) past: Vec<Past>,
}

/// A stage that was given up while its order was out.
pub(super) struct Past {
    pub(super) session: Session,
    pub(super) stage: Stage,
    pub(super) sent: Duration,
}

/// One stage with the inputs it was given.
pub(super) struct Live {
    pub(super) stage: Stage,
    pub(super) addr: String,
    pub(super) session: Session,
    /// Position of the first kept input.
    pub(super) base: u32,
    pub(super) kept: Vec<Value>,
    /// Positions whose outputs were passed on.
    pub(super) ran: u32,
    /// Positions that an earlier stage in this place had passed on.
    pub(super) rebuild: u32,
    pub(super) sent: Option<Duration>,
    pub(super) tries: u32,
}

impl Flow {
    pub(super) fn live(&mut self) -> &mut Live {
        &mut self.stages[self.current]
    }

    pub(super) fn kept(&self) -> usize {
        self.stages.iter().map(|s| s.kept.len()).sum()
    }

    pub(super) fn add(&mut self, stage: Stage, addr: String) -> Live {
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
    pub(super) fn inputs(&self) -> &[Value] {
        &self.kept[(self.ran - self.base) as usize..]
    }

    pub(super) fn given(&self) -> u32 {
        self.base + self.kept.len() as u32
    }
}

impl Node {
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

    /// Gives back the places a flow held and ends its sessions.
    pub(super) fn release_flow(&mut self, id: RequestId, flow: &Flow) {
        for live in &flow.stages {
            self.loads.release(&live.stage.upstream);
            self.cancel(id, live.session, &live.stage.upstream, &live.addr);
        }
    }

    pub(super) fn start(&mut self, id: RequestId, stages: Vec<Stage>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Work::Generate { model, prompt, .. } = &request.order.work else {
            return self.refuse_changed(id);
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
            placed: self.now,
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
    pub(super) fn send_run(&mut self, id: RequestId) {
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
            self.absolve(id);
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

    pub(super) fn cancel(
        &mut self,
        id: RequestId,
        session: Session,
        upstream: &UpstreamId,
        addr: &str,
    ) {
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

pub(super) fn address(members: &Members, id: &str) -> String {
    members
        .upstream(id)
        .map_or(String::new(), |u| u.addr.clone())
}

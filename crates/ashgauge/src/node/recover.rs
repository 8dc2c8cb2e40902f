//! Stages that are lost: noticing it, replacing them, starting anew.

use std::time::Duration;

use super::flow::{Past, address};
use super::*;
use crate::chain::Layer;

/// Stages that may be replaced for one request.
const REPLACED_MOST: u32 = 16;

/// A silent stage counts as lost after this many times the time that its
/// orders seldom take.
const SILENCE_FACTOR: u32 = 2;

/// As long as nothing was learned of an upstream, silence may last this many
/// times the setting.
const FIRST_FACTOR: u32 = 6;

/// Time to come back after, when no stage can be replaced.
const COME_BACK: Duration = Duration::from_secs(1);

impl Node {
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
            // A connection broke and no other comes up: the engine is lost. Replacing
            // it alone sends a request that ends engines on to the next one.
            Fault::NotSent(_) if live.tries == 1 && self.blame(id) => self.hold_back(id),
            Fault::NotSent(cause) => {
                self.undo_ran(id);
                self.lose(id, &cause, true);
            }
            Fault::Refused { reason, rest } => {
                self.note_refusal(&upstream, reason, rest);
                self.undo_ran(id);
                self.lose(id, &format!("{reason:?}"), false);
            }
        }
    }

    /// Learns from an upstream's refusal.
    pub(super) fn note_refusal(
        &mut self,
        upstream: &UpstreamId,
        reason: Reason,
        rest: Option<Duration>,
    ) {
        match reason {
            Reason::Leaving => self.note_leaving(upstream, "upstream"),
            Reason::Busy => self.loads.fail(self.now, upstream),
            Reason::NoSession | Reason::NoLayers => {}
        }
        if let Some(rest) = rest {
            self.loads.note_rest(self.now, upstream, rest);
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

    /// The current stage is lost; `failed` if its upstream is to blame.
    pub(super) fn lose(&mut self, id: RequestId, cause: &str, failed: bool) {
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
    pub(super) fn undo_ran(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && let Phase::Running(flow) = &mut request.phase
            && flow.live().tries == 0
        {
            request.ran = flow.before;
        }
    }

    /// Finds another way through the layers of the current stage.
    pub(super) fn replace(&mut self, id: RequestId, lost: Option<UpstreamId>) {
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
        flow.placed = self.now;
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

    pub(super) fn stall(&mut self, id: RequestId, first: Layer, end: Layer) {
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
    pub(super) fn restart(&mut self, id: RequestId) {
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
}

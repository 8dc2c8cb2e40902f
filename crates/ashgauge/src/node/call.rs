//! One request's call of a plain service.

use std::time::Duration;

use super::flow::address;
use super::*;
use crate::member::UpstreamId;

/// Time to come back after a call that failed.
const COME_BACK: Duration = Duration::from_secs(1);

impl Node {
    /// Chooses the service with the least held work, if one has room.
    pub(super) fn choose_service(&mut self, route: &str) -> Option<UpstreamId> {
        let now = self.now;
        let open = |u: &&crate::member::UpstreamEntry| {
            u.service.as_deref() == Some(route)
                && self.loads.is_open(now, &u.id)
                && !self.members.is_leaving(now, &u.id)
        };
        let mut ids: Vec<UpstreamId> = self
            .members
            .upstreams()
            .filter(open)
            .map(|u| u.id.clone())
            .collect();
        if ids.is_empty() {
            return None;
        }
        self.turn += 1;
        let turn = self.turn % ids.len();
        ids.rotate_left(turn);
        ids.into_iter().min_by_key(|id| self.loads.get(id).held)
    }

    pub(super) fn start_call(&mut self, id: RequestId, upstream: UpstreamId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Work::Call {
            method,
            path,
            content,
            body,
        } = &request.order.work
        else {
            return self.refuse_changed(id);
        };
        if request.attempt == 0 {
            self.budget.earn();
            self.stats.started += 1;
        }
        request.attempt += 1;
        let attempt = request.attempt;
        let call = Call {
            id,
            attempt,
            upstream: upstream.clone(),
            addr: address(&self.members, &upstream),
            method: method.clone(),
            path: path.clone(),
            content: content.clone(),
            key: request.order.key.clone(),
            body: body.clone(),
        };
        request.phase = Phase::Calling(upstream.clone(), self.now);
        let before = std::mem::replace(&mut request.ran, true);
        request.before = before;
        self.loads.hold(&upstream);
        self.out.push(Action::Call(call));
        self.note(Some(id), What::Called { attempt, upstream });
    }

    pub(super) fn called(&mut self, id: RequestId, attempt: u32, called: Called) {
        let Some((upstream, since)) = self.calling(id, attempt) else {
            self.stats.dropped += 1;
            return;
        };
        let timing = crate::load::Timing {
            total: self.now - since,
            ran: self.now - since,
            layers: 1,
            positions: 1,
            ..Default::default()
        };
        self.loads.learn(self.now, &upstream, &timing);
        self.reply(id, Reply::Called(called));
        self.close(id, Outcome::Done, "done");
        self.dispatch_all();
    }

    pub(super) fn call_failed(&mut self, id: RequestId, attempt: u32, fault: Fault) {
        let Some((upstream, _)) = self.calling(id, attempt) else {
            return;
        };
        let (cause, ran) = match &fault {
            Fault::NotSent(cause) => (cause.clone(), false),
            Fault::Refused { reason, .. } => (format!("{reason:?}"), false),
            Fault::Lost(cause) => (cause.clone(), true),
        };
        match fault {
            Fault::Refused { reason, rest } => self.note_refusal(&upstream, reason, rest),
            _ => self.loads.fail(self.now, &upstream),
        }
        self.stats.lost += 1;
        self.note(Some(id), What::Lost { upstream, cause });
        self.call_again(id, ran);
    }

    /// Sends a failed call elsewhere if that is allowed; else ends it.
    fn call_again(&mut self, id: RequestId, ran: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !ran {
            request.ran = request.before;
        }
        if request.ran && !request.repeatable {
            let message = "the service's answer was lost and the request may not be repeated";
            return self.refuse(id, Kind::Broken, message, None);
        }
        if !self.budget.take() {
            let message = "the service failed and the retry budget is used up";
            return self.refuse(id, Kind::Broken, message, Some(COME_BACK));
        }
        let route = request.route.clone();
        let phase = std::mem::replace(&mut request.phase, Phase::Waiting);
        if let Phase::Calling(upstream, _) = phase {
            self.loads.release(&upstream);
        }
        self.stats.restarted += 1;
        self.requeue(id);
        self.dispatch(&route);
    }

    fn calling(&self, id: RequestId, attempt: u32) -> Option<(UpstreamId, Duration)> {
        let request = self.requests.get(&id)?;
        match &request.phase {
            Phase::Calling(id, since) if request.attempt == attempt => Some((id.clone(), *since)),
            _ => None,
        }
    }
}

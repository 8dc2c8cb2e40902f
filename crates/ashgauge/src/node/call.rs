//! Calls of services: choice of the upstream, answers, failures and retries.

use std::time::Duration;

use super::pipeline::upstream_addr;
use super::*;
use crate::member::UpstreamId;

/// `retry_after` of refusals after a failed call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Node {
    /// Chooses the upstream of a service with the fewest requests of this box in flight,
    /// if any has room. Upstreams with equal numbers are chosen in rotation.
    pub(super) fn choose_service(&mut self, route: &str) -> Option<UpstreamId> {
        let now = self.now;
        let has_room = |u: &&crate::member::UpstreamEntry| {
            u.service.as_deref() == Some(route)
                && self.upstream_stats.has_capacity(now, &u.id)
                && !self.members.is_leaving(now, &u.id)
        };
        let mut ids: Vec<UpstreamId> = self
            .members
            .upstreams()
            .filter(has_room)
            .map(|u| u.id.clone())
            .collect();
        if ids.is_empty() {
            return None;
        }
        self.rotation += 1;
        let turn = self.rotation % ids.len();
        ids.rotate_left(turn);
        ids.into_iter()
            .min_by_key(|id| self.upstream_stats.get_mut(id).inflight)
    }

    pub(super) fn start_call(&mut self, id: RequestId, upstream: UpstreamId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Work::Call {
            method,
            path,
            content_type,
            body,
        } = &request.incoming.work
        else {
            return self.refuse_rerouted(id);
        };
        if request.attempt == 0 {
            self.retry_budget.deposit();
            self.stats.started += 1;
        }
        request.attempt += 1;
        let attempt = request.attempt;
        let call = ServiceCall {
            id,
            attempt,
            upstream: upstream.clone(),
            addr: upstream_addr(&self.members, &upstream),
            method: method.clone(),
            path: path.clone(),
            content_type: content_type.clone(),
            idempotency_key: request.incoming.idempotency_key.clone(),
            body: body.clone(),
        };
        request.phase = Phase::Calling(upstream.clone(), self.now);
        let ran_before = std::mem::replace(&mut request.maybe_ran, true);
        request.ran_before = ran_before;
        self.upstream_stats.acquire(&upstream);
        self.actions.push(Action::Call(call));
        self.record(Some(id), RecordKind::Called { attempt, upstream });
    }

    pub(super) fn on_service_done(
        &mut self,
        id: RequestId,
        attempt: u32,
        response: ServiceResponse,
    ) {
        let Some((upstream, since)) = self.find_call(id, attempt) else {
            self.stats.dropped += 1;
            return;
        };
        let timing = crate::upstream_stats::CallTiming {
            round_trip: self.now - since,
            ran: self.now - since,
            layers: 1,
            positions: 1,
            ..Default::default()
        };
        self.upstream_stats.record(self.now, &upstream, &timing);
        self.reply(id, ReplyPart::Called(response));
        self.close_request(id, Outcome::Done, "done");
        self.dispatch_all();
    }

    pub(super) fn on_service_failed(&mut self, id: RequestId, attempt: u32, error: UpstreamError) {
        let Some((upstream, _)) = self.find_call(id, attempt) else {
            return;
        };
        let (cause, ran) = match &error {
            UpstreamError::NotSent(cause) => (cause.clone(), false),
            UpstreamError::Refused { reason, .. } => (format!("{reason:?}"), false),
            UpstreamError::Lost(cause) => (cause.clone(), true),
        };
        match error {
            UpstreamError::Refused { reason, rest } => self.record_refusal(&upstream, reason, rest),
            _ => self.upstream_stats.record_failure(self.now, &upstream),
        }
        self.stats.lost += 1;
        self.record(Some(id), RecordKind::Lost { upstream, cause });
        self.retry_call(id, ran);
    }

    /// Retries a failed call if that is allowed; otherwise ends the request. `ran` tells
    /// whether the failed call may have run.
    fn retry_call(&mut self, id: RequestId, ran: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !ran {
            request.maybe_ran = request.ran_before;
        }
        if request.maybe_ran && !request.repeatable {
            let message = "the service's answer was lost and the request may not be repeated";
            return self.refuse(id, RefusalKind::Broken, message, None);
        }
        if !self.retry_budget.withdraw() {
            let message = "the service failed and the retry budget is used up";
            return self.refuse(id, RefusalKind::Broken, message, Some(RETRY_AFTER));
        }
        let route = request.route.clone();
        let phase = std::mem::replace(&mut request.phase, Phase::Waiting);
        if let Phase::Calling(upstream, _) = phase {
            self.upstream_stats.release(&upstream);
        }
        self.stats.restarted += 1;
        self.requeue(id);
        self.dispatch(&route);
    }

    fn find_call(&self, id: RequestId, attempt: u32) -> Option<(UpstreamId, Duration)> {
        let request = self.requests.get(&id)?;
        match &request.phase {
            Phase::Calling(id, since) if request.attempt == attempt => Some((id.clone(), *since)),
            _ => None,
        }
    }
}

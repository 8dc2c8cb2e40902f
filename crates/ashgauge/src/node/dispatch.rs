//! Dispatch of waiting requests: which one starts next, and on which upstreams.

use std::time::Duration;

use super::*;
use crate::chain::{Edge, Layer, Stage, cheapest_chain};
use crate::member::MemberState;
use crate::policy::Target;

/// Factor on the expected run time of a request when it is checked against its deadline
/// before the start. A request that its deadline cuts off has used engine time for
/// nothing.
const RUN_MARGIN: f64 = 1.3;

/// `retry_after` of refusals when no upstream can serve a route or the route has changed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Node {
    /// Starts waiting requests of all routes while upstreams have room.
    pub(super) fn dispatch_all(&mut self) {
        let queued = self.queues.iter().filter(|(_, q)| !q.is_empty());
        let routes: Vec<String> = queued.map(|(r, _)| r.clone()).collect();
        for route in routes {
            self.dispatch(&route);
        }
    }

    /// Starts waiting requests of one route while upstreams have room.
    pub(super) fn dispatch(&mut self, route: &str) {
        let Some(target) = self.policy.routes.get(route).map(|r| r.target.clone()) else {
            return self.refuse_unserved(route);
        };
        while self.queues.get(route).is_some_and(|q| !q.is_empty()) {
            match target {
                Target::Model(layers) => {
                    let Some(stages) = self.choose_stages(route, 0, layers, None, false) else {
                        return self.refuse_unserved(route);
                    };
                    let token_time = stages
                        .iter()
                        .map(|s| self.upstream_stats.position_seconds(&s.upstream))
                        .sum();
                    let Some(id) = self.pop_request(route, token_time) else {
                        return;
                    };
                    self.start_stages(id, stages);
                }
                Target::Service(_) => {
                    let Some(upstream) = self.choose_service(route) else {
                        return self.refuse_unserved(route);
                    };
                    let Some(id) = self.pop_request(route, 0.0) else {
                        return;
                    };
                    self.start_call(id, upstream);
                }
            }
        }
    }

    /// Refuses the waiting requests of a route that no upstream can serve any more.
    pub(super) fn refuse_unserved(&mut self, route: &str) {
        if self.is_servable(route) {
            return;
        }
        let waits = |r: &Request| matches!(r.phase, Phase::Waiting) && r.route == route;
        let waiting = self.requests.iter().filter(|(_, r)| waits(r));
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            let message = "no live upstream can serve this now";
            self.refuse(id, RefusalKind::NoUpstream, message, Some(RETRY_AFTER));
        }
    }

    /// Refuses a request whose route was changed to another kind of target while it
    /// waited.
    pub(super) fn refuse_rerouted(&mut self, id: RequestId) {
        let message = "the route was changed while the request waited";
        self.refuse(id, RefusalKind::UnknownRoute, message, Some(RETRY_AFTER));
    }

    /// Returns whether upstreams that are not leaving could serve the route, busy or not.
    pub(super) fn is_servable(&self, route: &str) -> bool {
        let now = self.now;
        match self.policy.routes.get(route).map(|r| &r.target) {
            Some(Target::Model(layers)) => {
                let edges = self.usable_edges(route, |id| !self.members.is_leaving(now, id));
                cheapest_chain(0, *layers, &edges).is_some()
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

    /// Pops the next request that its team's rate permits and that would end before its
    /// deadline if each token takes `token_time` seconds. Others stay queued for a faster
    /// chain. Requests that may have run are not checked against the deadline.
    pub(super) fn pop_request(&mut self, route: &str, token_time: f64) -> Option<RequestId> {
        let queue = self.queues.get_mut(route)?;
        let (policy, rate_limits) = (&self.policy, &mut self.rate_limits);
        let (now, requests) = (self.now, &self.requests);
        let job = queue.pop(now, &policy.tier_floors, |job| {
            let Some(r) = requests.get(&job.id) else {
                return true;
            };
            let run = Duration::from_secs_f64(token_time * RUN_MARGIN * f64::from(r.tokens_left()));
            let in_time = r.maybe_ran || now + run <= job.deadline;
            in_time && (r.team.token_rate.is_none() || rate_limits.has_room(now, &r.team.id))
        })?;
        let request = self.requests.get(&job.id)?;
        if request.team.token_rate.is_some() {
            let team = request.team.id.clone();
            self.rate_limits.spend(now, &team, request.cost);
        }
        Some(job.id)
    }

    /// Puts a request back at the head of its queue and returns its cost to the team's
    /// rate.
    pub(super) fn requeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let job = self.make_job(id, request);
        let (route, team) = (request.route.clone(), request.team.clone());
        if team.token_rate.is_some() {
            self.rate_limits.spend(self.now, &team.id, -job.cost);
        }
        self.queues.entry(route).or_default().push_front(job);
    }

    /// Chooses a chain of engines for the layers `first..end` of a model.
    ///
    /// `urgent` is for requests that already run: it ignores the windows of the engines
    /// and leaves out the engine `lost`.
    pub(super) fn choose_stages(
        &mut self,
        model: &str,
        first: Layer,
        end: Layer,
        lost: Option<&UpstreamId>,
        urgent: bool,
    ) -> Option<Vec<Stage>> {
        let now = self.now;
        let edges = self.usable_edges(model, |id| {
            let usable = if urgent {
                let unavailable = self.upstream_stats.is_suspect(now, id)
                    || self.upstream_stats.is_backing_off(now, id);
                !unavailable && lost.is_none_or(|l| &**l != id)
            } else {
                self.upstream_stats.has_capacity(now, id)
            };
            usable && !self.members.is_leaving(now, id)
        });
        if self.config.strategy.cheapest {
            return cheapest_chain(first, end, &edges);
        }
        self.rotation += 1;
        round_robin(first, end, &edges, self.rotation)
    }

    pub(super) fn usable_edges(&self, model: &str, open: impl Fn(&str) -> bool) -> Vec<Edge> {
        let mut edges = Vec::new();
        for u in self.members.upstreams() {
            if u.state == MemberState::Leaving || !open(&u.id) {
                continue;
            }
            for h in u.holds.iter().filter(|h| h.model == model) {
                edges.push(self.upstream_stats.edge(self.now, &u.id, h.first, h.end));
            }
        }
        edges
    }
}

/// Chooses a chain round-robin, the baseline for [`Strategy::cheapest`]: of the engines
/// that hold the next layer, it takes the one at index `turn` (modulo their number) and
/// all following layers that it holds.
fn round_robin(first: Layer, end: Layer, edges: &[Edge], turn: usize) -> Option<Vec<Stage>> {
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

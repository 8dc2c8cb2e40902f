//! Proof that an upstream has ended, so that a run on it does not count against the attempts of
//! its route.
//!
//! What this box sees by itself is no proof: the upstream may have used up its connections, or be
//! cut off from this box only. The store shows that an upstream has ended when its entry is gone
//! or another instance has its id. That takes seconds, so streams that broke off also ask other
//! boxes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashgauge::attempts::{Attempts, Instance, Run};
use ashgauge::liveness::{LivenessReply, LivenessRequest, Observation, has_ended};
use ashgauge::member::{BoxId, UpstreamId};
use ashgauge::quarantine::{InstanceKey, instance_key};
use ashgauge::query::Datagram;
use ashgauge::upstream_state::UpstreamState;
use rand::Rng;
use serde_json::json;
use tokio::time::{sleep, timeout};

use super::request::RoutedRequest;
use super::run_timeout::run_timeout;
use super::shared_state::SharedState;
use super::state::probes::cached_cell;
use super::{dial, messaging, offers, reach};

/// Number of connections that a box tries to open before it reports an upstream as not reached:
/// a lossy link drops single packets.
const CONNECT_TRIES: u32 = 3;

/// Timeout of each of them, in time for which this process runs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(25);

/// Interval between two of them. All together take longer than a box needs to read the last
/// events of an upstream.
const CONNECT_INTERVAL: Duration = Duration::from_millis(40);

/// Longest wait for the replies of other boxes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(180);

/// How long a box's observation is shared with others that ask.
const MAX_OBSERVATION_AGE: Duration = Duration::from_millis(100);

/// How long the result of a check is shared with the runs on the same upstream.
const MAX_CHECK_AGE: Duration = Duration::from_millis(500);

/// Maximum number of checks of this box at a time.
const MAX_CHECKS: usize = 16;

/// How it is known that an upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Proof {
    /// Another instance has its id.
    Restarted,
    /// Its entry is gone, and it accepts no connection.
    Removed,
    /// No box reaches it, and runs of several broke.
    Confirmed,
}

impl Proof {
    fn label(self) -> &'static str {
        match self {
            Proof::Restarted => "restarted",
            Proof::Removed => "removed",
            Proof::Confirmed => "confirmed",
        }
    }
}

/// Returns the instance of an upstream that a request is sent to.
pub fn instance_of(shared: &SharedState, id: &str) -> Option<Instance> {
    let registry = shared.registry.borrow();
    let upstream = &registry.get(id)?.upstream;
    Some(Instance {
        addr: upstream.addr.clone(),
        started_ms: upstream.started_ms,
    })
}

/// Leaves the runs of a request that has no attempt left out of the count whose upstreams have
/// provably ended. Those of a request of another box all count, as that box decides on further
/// ones.
pub async fn excuse_runs(
    shared: &Rc<SharedState>,
    request: &RoutedRequest,
    attempts: &mut Attempts,
) {
    if request.is_forwarded || !attempts.is_used_up(shared.now()) {
        return;
    }
    let mut proofs: Vec<(UpstreamId, Proof)> = Vec::new();
    for run in attempts.runs() {
        if let Some(proof) = stored_proof(shared, run).await {
            proofs.push((run.receiver.clone(), proof));
        }
    }
    excuse(attempts, &proofs);
    if attempts.is_used_up(shared.now()) && request.route.stream.is_some() {
        for run in broken_runs(attempts) {
            if confirm_end(shared, request, run).await {
                proofs.push((run.receiver.clone(), Proof::Confirmed));
                break;
            }
        }
        excuse(attempts, &proofs);
    }
    log_runs(shared, request, attempts, &proofs);
}

fn excuse(attempts: &mut Attempts, proofs: &[(UpstreamId, Proof)]) {
    let has_ended = |run: &Run| proofs.iter().any(|(id, _)| *id == run.receiver);
    attempts.excuse_runs(has_ended);
}

/// Runs whose connections broke and whose upstreams may have ended, the latest first.
fn broken_runs(attempts: &Attempts) -> impl Iterator<Item = &Run> {
    let runs = attempts.runs().iter().rev();
    runs.filter(|run| run.is_broken && !run.is_excused())
}

/// Returns the proof by the store that the upstream of a run has ended.
async fn stored_proof(shared: &SharedState, run: &Run) -> Option<Proof> {
    let instance = run.instance.as_ref()?;
    let entry = instance_of(shared, &run.receiver);
    match entry {
        Some(entry) => (entry.started_ms > instance.started_ms && instance.started_ms.is_some())
            .then_some(Proof::Restarted),
        None => (!accepts_connection(&instance.addr).await).then_some(Proof::Removed),
    }
}

/// Returns whether an upstream has ended, as this box and others see it. The result is shared
/// with the other runs on the upstream.
async fn confirm_end(shared: &Rc<SharedState>, request: &RoutedRequest, run: &Run) -> bool {
    let Some(instance) = &run.instance else {
        return false;
    };
    let key = instance_key(&run.receiver, instance.started_ms);
    if shared.liveness.replies.borrow().len() >= MAX_CHECKS
        || !reach::is_reached(shared, &request.service.name).await
    {
        return false;
    }
    let now = shared.now();
    let name = key.to_string();
    let check = cached_cell(&shared.liveness.ended, now, &name, MAX_CHECK_AGE);
    *check.get_or_init(|| ask_others(shared, key)).await
}

/// Asks other boxes what they see of an upstream, and returns whether it has ended.
async fn ask_others(shared: &Rc<SharedState>, instance: InstanceKey) -> bool {
    let id = shared.rng().random();
    let others = offers::boxes_to_ask(shared);
    let request = Datagram::AskLiveness(LivenessRequest {
        from: own_id(shared),
        id,
        instance,
    });
    let replies = &shared.liveness.replies;
    replies.borrow_mut().insert(id, Vec::new());
    for peer in &others {
        messaging::send(shared, peer.addr, &request);
    }
    let all_replied = async {
        loop {
            let replied = shared.liveness.replied.notified();
            if replies
                .borrow()
                .get(&id)
                .is_none_or(|r| r.len() >= others.len())
            {
                return;
            }
            replied.await;
        }
    };
    let waiting = timeout(REPLY_TIMEOUT, all_replied);
    let (own, _) = tokio::join!(observe(shared, instance), waiting);
    let replies = replies.borrow_mut().remove(&id).unwrap_or_default();
    own.is_some_and(|own| has_ended(own, &replies, !others.is_empty()))
}

/// Handles the request of another box for what this one sees of an upstream.
pub fn handle_request(shared: &Rc<SharedState>, request: &LivenessRequest, to: SocketAddr) {
    let registry = shared.registry.borrow();
    let entry = registry.by_instance(request.instance);
    let Some(service) = entry.map(|e| e.upstream.service.clone()) else {
        return;
    };
    drop(registry);
    let (shared, id, instance) = (shared.clone(), request.id, request.instance);
    tokio::task::spawn_local(async move {
        if !reach::is_reached(&shared, &service).await {
            return;
        }
        if let Some(observation) = observe(&shared, instance).await {
            let reply = LivenessReply {
                from: own_id(&shared),
                id,
                observation,
            };
            messaging::send(&shared, to, &Datagram::Liveness(reply));
        }
    });
}

/// Handles the reply of another box.
pub fn handle_reply(shared: &SharedState, reply: &LivenessReply) {
    if let Some(replies) = shared.liveness.replies.borrow_mut().get_mut(&reply.id) {
        replies.push(reply.observation);
    }
    shared.liveness.replied.notify_waiters();
}

/// Returns what this box sees of an upstream; `None` if it has no entry any more.
async fn observe(shared: &SharedState, instance: InstanceKey) -> Option<Observation> {
    let addr = addr_of(shared, instance)?;
    let (now, name) = (shared.now(), instance.to_string());
    let cell = cached_cell(
        &shared.liveness.observations,
        now,
        &name,
        MAX_OBSERVATION_AGE,
    );
    let observing = async {
        let is_accepted = accepts_any(&addr).await;
        let registry = shared.registry.borrow();
        let entry = registry.by_instance(instance);
        Observation {
            is_reached: is_accepted || entry.is_some_and(|e| works(e, now)),
            broken_runs: entry.map_or(0, |e| e.broken_runs(shared.now())),
        }
    };
    Some(*cell.get_or_init(|| observing).await)
}

fn addr_of(shared: &SharedState, instance: InstanceKey) -> Option<String> {
    let registry = shared.registry.borrow();
    registry
        .by_instance(instance)
        .map(|e| e.upstream.addr.clone())
}

/// Whether an upstream works on requests of this box since `since`, by its events.
fn works(entry: &UpstreamState, since: Duration) -> bool {
    let unbroken = entry.head_requests > entry.broken_runs(since);
    unbroken || entry.was_active_after(since)
}

/// Tries to open connections to an address; returns whether one is accepted.
async fn accepts_any(addr: &str) -> bool {
    for n in 0..CONNECT_TRIES {
        if n > 0 {
            sleep(CONNECT_INTERVAL).await;
        }
        if accepts_connection(addr).await {
            return true;
        }
    }
    false
}

async fn accepts_connection(addr: &str) -> bool {
    let connecting = run_timeout(CONNECT_TIMEOUT, dial::try_connect(addr));
    matches!(connecting.await, Some(Ok(())))
}

fn own_id(shared: &SharedState) -> BoxId {
    shared.settings().id.as_str().into()
}

/// Logs which runs of a request without attempts left count, and why the others do not.
fn log_runs(
    shared: &SharedState,
    request: &RoutedRequest,
    attempts: &Attempts,
    proofs: &[(UpstreamId, Proof)],
) {
    for run in attempts.runs() {
        let proof = proofs.iter().find(|(id, _)| *id == run.receiver);
        let label = match proof {
            Some((_, proof)) if run.is_excused() => proof.label(),
            _ => "counted",
        };
        shared
            .metrics
            .checked_runs
            .with_label_values(&[label])
            .inc();
        let fields = json!({"upstream": &*run.receiver, "proof": label, "broken": run.is_broken});
        request.record.log_step("run checked", fields);
    }
}

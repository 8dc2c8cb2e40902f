//! Quarantines requests during which the upstreams that run them fail: reports them to
//! the other boxes, and keeps their digests in the platform's store, as boxes have no
//! storage.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashgauge::digest::{self, Digest};
use ashgauge::hub::Role;
use ashgauge::quarantine::{Audience, InstanceLoss, LossReport};
use ashgauge::query::Datagram;
use platform::StoreError;
use platform::store::{Object, Revision};
use serde::{Deserialize, Serialize};
use serde_json::json;
use spdlog::Level;
use tokio::time::sleep;

use super::codec;
use super::follow::log_skipped;
use super::log;
use super::peers::Peers;
use super::shared_state::SharedState;

/// Kind of the stored objects for quarantined requests, which are named by digest.
const KIND: &str = "ashgauge-quarantine";

/// How long losses are collected before they are reported: those of one upstream are
/// found within milliseconds of each other.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Initial delay after a failed call to the store; it doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay after a failed call, as calls are billed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

/// A quarantined request as it is stored.
#[derive(Debug, Serialize, Deserialize)]
struct StoredQuarantine {
    /// End of the quarantine, in Unix seconds.
    until_s: u64,
}

/// Records that an upstream was lost while it ran a request.
pub fn record_loss(shared: &Rc<SharedState>, loss: InstanceLoss) {
    let is_quarantined = shared
        .quarantine
        .borrow_mut()
        .record_loss(shared.now(), loss);
    if is_quarantined {
        log_quarantined(shared, loss.digest, "lost here");
        tokio::task::spawn_local(persist(shared.clone(), loss.digest));
    }
    shared.loss_notify.notify_one();
}

/// Waits while checks in progress may lead to the quarantine of a request.
pub async fn await_checks(shared: &SharedState, digest: Digest) {
    loop {
        let checked = shared.check_notify.notified();
        if !shared.quarantine.borrow().may_be_quarantined(digest) {
            return;
        }
        checked.await;
    }
}

/// Merges a report of another box; a hub forwards it to the boxes that do not receive it
/// from the sender.
pub fn merge_report(shared: &SharedState, from: &str, report: &LossReport) {
    let now = shared.now();
    let quarantined = shared.quarantine.borrow_mut().merge(now, report);
    for digest in quarantined {
        log_quarantined(shared, digest, "told");
    }
    if shared.role() != Role::Hub {
        return;
    }
    let is_hub = shared.readers.borrow().ids.iter().any(|id| **id == *from);
    let audience = if is_hub {
        Audience::Leaves
    } else {
        Audience::All
    };
    if shared
        .quarantine
        .borrow_mut()
        .forward(now, report, audience)
    {
        shared.loss_notify.notify_one();
    }
}

/// Reports losses to the other boxes as they are found, as long as the process runs. The
/// load reporter repeats them periodically, which makes up for lost datagrams.
pub async fn broadcast(shared: Rc<SharedState>, peers: Rc<Peers>) {
    loop {
        shared.loss_notify.notified().await;
        sleep(BATCH_DELAY).await;
        let recipients = [
            (Audience::All, shared.report_targets()),
            (Audience::Leaves, shared.leaves()),
        ];
        for (audience, boxes) in recipients {
            let Some(bytes) = encode_report(&shared, 0, audience) else {
                continue;
            };
            for (_, peer) in boxes {
                peers.send(peer.addr, &bytes).await;
            }
        }
    }
}

/// Encodes the report for an audience; `None` if there is nothing to report.
pub fn encode_report(shared: &SharedState, round: u64, audience: Audience) -> Option<Vec<u8>> {
    let report = shared
        .quarantine
        .borrow()
        .report(shared.now(), round, audience);
    if report.is_empty() {
        return None;
    }
    let from = shared.settings().id.as_str().into();
    codec::encode(&Datagram::Losses(from, report))
}

/// Reads the quarantined requests from the store, retrying until that succeeds.
pub async fn load_quarantined(shared: Rc<SharedState>) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let listed = shared
            .store
            .list::<StoredQuarantine>(KIND, log_skipped)
            .await;
        shared.count_store_call("list", &listed);
        match listed {
            Ok(listing) => return apply_stored(&shared, listing.objects),
            Err(fault) => log_fault("read", &fault),
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Reads the stored quarantined requests, as they were some seconds ago, and applies
/// them; returns their revisions.
///
/// # Errors
///
/// Fails if the call to the store fails.
pub async fn reread_quarantined(shared: &SharedState) -> Result<Vec<Revision>, StoreError> {
    let stored = shared.store.list_stale::<StoredQuarantine>(KIND).await;
    shared.count_store_call("stale", &stored);
    let stored = stored?;
    let revisions = stored.iter().map(|object| object.revision).collect();
    apply_stored(shared, stored);
    Ok(revisions)
}

fn apply_stored(shared: &SharedState, stored: Vec<Object<StoredQuarantine>>) {
    let now_s = unix_time().as_secs();
    for object in stored {
        let Ok(digest) = u64::from_str_radix(&object.name, 16) else {
            log::event(
                Level::Warn,
                "quarantine",
                "not a digest",
                json!({"object": object.name}),
            );
            continue;
        };
        let remaining = Duration::from_secs(object.value.until_s.saturating_sub(now_s));
        let is_new = shared
            .quarantine
            .borrow_mut()
            .quarantine(shared.now(), digest, remaining);
        if is_new {
            log_quarantined(shared, digest, "stored");
        }
    }
}

/// Stores the quarantined requests again after each restore of the store, whose copy may
/// lack them. It is enough that one of the readers does so; the others find them there.
pub async fn restore_quarantined(shared: Rc<SharedState>) {
    let mut eras = shared.store.subscribe_era();
    // The store client lives as long as the shared state.
    while eras.changed().await.is_ok() {
        if !*shared.reads_store.borrow() {
            continue;
        }
        let held = shared.quarantine.borrow().quarantined(shared.now());
        for (digest, _) in held {
            persist(shared.clone(), digest).await;
        }
    }
}

/// Stores a quarantined request for boxes that start later; retries until it is stored or
/// the quarantine has ended.
async fn persist(shared: Rc<SharedState>, digest: Digest) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let Some(remaining) = shared.quarantine.borrow().time_left(shared.now(), digest) else {
            return;
        };
        match persist_once(&shared, digest, remaining).await {
            Ok(()) => return,
            Err(fault) => log_fault("keep", &fault),
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

async fn persist_once(
    shared: &SharedState,
    digest: Digest,
    remaining: Duration,
) -> Result<(), StoreError> {
    let name = digest::format_digest(digest);
    let stored = StoredQuarantine {
        until_s: (unix_time() + remaining).as_secs(),
    };
    let created = shared.store.create(KIND, &name, &stored).await;
    shared.count_store_call("write", &created);
    match created {
        Err(StoreError::Conflict) => {}
        other => return other,
    }
    // Another box has stored it, or it was quarantined before.
    let current = shared.store.get::<StoredQuarantine>(KIND, &name).await;
    shared.count_store_call("get", &current);
    let current = current?;
    if current.value.until_s >= unix_time().as_secs() {
        return Ok(());
    }
    let replaced = shared.store.replace(KIND, &name, current.revision, &stored);
    let replaced = replaced.await;
    shared.count_store_call("write", &replaced);
    replaced
}

/// Returns the Unix time. A quarantine lasts for an hour, so a clock that is off by
/// seconds does not matter.
fn unix_time() -> Duration {
    // A clock before 1970 is wrong in any case.
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}

fn log_quarantined(shared: &SharedState, digest: Digest, why: &str) {
    let held = shared.quarantine.borrow().quarantined(shared.now()).len();
    shared.metrics.held_requests.set(held as i64);
    let fields = json!({"digest": digest::format_digest(digest), "why": why, "held": held});
    log::event(Level::Warn, "quarantine", "held back", fields);
}

fn log_fault(call: &str, fault: &StoreError) {
    let fields = json!({"call": call, "fault": fault.to_string()});
    log::event(Level::Info, "quarantine", "store", fields);
}

//! Quarantines requests during which the upstreams that run them fail: reports them to
//! the other boxes, and keeps their digests in the platform's store, as boxes have no
//! storage.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashgauge::crashing_part::LostRun;
use ashgauge::digest::{self, Digest};
use ashgauge::hub::Role;
use ashgauge::quarantine::{
    Audience, InstanceKey, InstanceLoss, LossReport, PartReport, QUARANTINE_TIME, Reported,
};
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
use super::request::RoutedRequest;
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

/// Number of losses from which on they are stored, so that they outlive the loss of all boxes.
const STORED_LOSSES: usize = 2;

/// Maximum number of requests with so many losses at which they are stored. Where there are more,
/// upstreams are lost for other reasons than one request.
const MAX_REPEAT_SUSPECTS: usize = 32;

/// A quarantined request, or one during which upstreams were lost, as it is stored.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredQuarantine {
    /// End of the quarantine, in Unix seconds; 0 if the request is not quarantined.
    until_s: u64,
    /// Upstreams lost during the request.
    #[serde(default)]
    lost: Vec<InstanceKey>,
    /// Until when these losses count, in Unix seconds.
    #[serde(default)]
    lost_until_s: u64,
}

/// Records a run during which its upstream was lost and which may have been lost due to a part
/// of its prompt.
pub fn record_lost_run(shared: &Rc<SharedState>, run: &LostRun) {
    let now = shared.now();
    let part = shared.quarantine.borrow_mut().record_lost_run(now, run);
    if let Some(part) = part {
        log_quarantined(shared, part, "part lost here");
        tokio::task::spawn_local(persist(shared.clone(), part));
    }
    shared.loss_notify.notify_one();
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
    } else if are_losses_stored(shared, loss.digest) {
        tokio::task::spawn_local(persist_losses(shared.clone(), loss.digest));
    }
    shared.loss_notify.notify_one();
}

/// Whether the losses during a request are stored: there are several, and few other requests
/// have as many.
fn are_losses_stored(shared: &SharedState, digest: Digest) -> bool {
    let quarantine = shared.quarantine.borrow();
    quarantine.losses(digest).len() >= STORED_LOSSES
        && quarantine.repeat_suspects() <= MAX_REPEAT_SUSPECTS
}

/// Records that an upstream has written an answer to a request without being lost.
pub fn note_sound(shared: &Rc<SharedState>, request: &RoutedRequest) {
    if are_losses_stored(shared, request.digest) {
        tokio::task::spawn_local(end_stored(shared.clone(), request.digest));
    }
    let mut quarantine = shared.quarantine.borrow_mut();
    quarantine.clear_losses(request.digest);
    drop(quarantine);
    note_sound_parts(shared, request);
}

/// Records that an upstream writes an answer to a request, so that the parts of its prompt do
/// not crash it.
pub fn note_sound_parts(shared: &Rc<SharedState>, request: &RoutedRequest) {
    let now = shared.now();
    let (released, has_news) = shared
        .quarantine
        .borrow_mut()
        .note_sound(now, &request.parts);
    if has_news {
        shared.loss_notify.notify_one();
    }
    for part in released {
        let fields = json!({"part": digest::format_digest(part), "id": request.client_request.id});
        log::event(Level::Info, "quarantine", "part is sound", fields);
        tokio::task::spawn_local(end_stored(shared.clone(), part));
    }
}

/// Merges a report of another box on parts of prompts; a hub forwards it to the boxes that do
/// not receive it from the sender.
pub fn merge_parts(shared: &SharedState, from: &str, report: &PartReport) {
    let now = shared.now();
    let merged = shared.quarantine.borrow_mut().merge_parts(now, report);
    let (quarantined, mut has_news) = merged;
    if let Some(part) = quarantined {
        log_quarantined(shared, part, "part told");
    }
    if shared.role() == Role::Hub {
        let audience = audience_of_hub(shared, from);
        let mut quarantine = shared.quarantine.borrow_mut();
        has_news |= quarantine.forward_parts(now, report, audience);
    }
    if has_news {
        shared.loss_notify.notify_one();
    }
}

/// Searches the losses for parts that crash upstreams, if that was put off.
pub fn search_parts(shared: &SharedState) {
    let quarantined = shared.quarantine.borrow_mut().search_parts(shared.now());
    if let Some(part) = quarantined {
        log_quarantined(shared, part, "part");
    }
}

/// Returns the boxes to which this hub forwards the report of a box.
fn audience_of_hub(shared: &SharedState, from: &str) -> Audience {
    let is_hub = shared.readers.borrow().ids.iter().any(|id| **id == *from);
    match is_hub {
        true => Audience::Leaves,
        false => Audience::All,
    }
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
    let audience = audience_of_hub(shared, from);
    if shared
        .quarantine
        .borrow_mut()
        .forward(now, report, audience)
    {
        shared.loss_notify.notify_one();
    }
}

/// Reports losses to the other boxes as they are found, each once, as long as the process runs.
/// The load reporter repeats them periodically, which makes up for lost datagrams.
pub async fn broadcast(shared: Rc<SharedState>, peers: Rc<Peers>) {
    let mut reported = Reported::default();
    loop {
        shared.loss_notify.notified().await;
        sleep(BATCH_DELAY).await;
        let since = std::mem::replace(&mut reported, shared.quarantine.borrow().reported());
        let recipients = [
            (Audience::All, shared.report_targets()),
            (Audience::Leaves, shared.leaves()),
        ];
        for (audience, boxes) in recipients {
            for bytes in encode_reports(&shared, 0, since, audience) {
                for (_, peer) in &boxes {
                    peers.send(peer.addr, &bytes).await;
                }
            }
        }
    }
}

/// Encodes the reports for an audience on what was not reported before, on requests and on parts
/// of prompts; those without content are left out.
pub fn encode_reports(
    shared: &SharedState,
    round: u64,
    since: Reported,
    audience: Audience,
) -> Vec<Vec<u8>> {
    let (now, quarantine) = (shared.now(), shared.quarantine.borrow());
    let from = || shared.settings().id.as_str().into();
    let (losses, parts) = (
        quarantine.report_since(now, round, since, audience),
        quarantine.part_report_since(now, since, audience),
    );
    let losses = (!losses.is_empty()).then(|| Datagram::Losses(from(), losses));
    let parts = (!parts.is_empty()).then(|| Datagram::Parts(from(), parts));
    let reports = [losses, parts].into_iter().flatten();
    reports
        .filter_map(|report| codec::encode(&report))
        .collect()
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
pub async fn reread_quarantined(shared: &Rc<SharedState>) -> Result<Vec<Revision>, StoreError> {
    let stored = shared.store.list_stale::<StoredQuarantine>(KIND).await;
    shared.count_store_call("stale", &stored);
    let stored = stored?;
    let revisions = stored.iter().map(|object| object.revision).collect();
    apply_stored(shared, stored);
    Ok(revisions)
}

fn apply_stored(shared: &Rc<SharedState>, stored: Vec<Object<StoredQuarantine>>) {
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
        if object.value.lost_until_s > now_s {
            let losses = object.value.lost.iter();
            let losses = losses.map(|instance| InstanceLoss {
                digest,
                instance: *instance,
            });
            apply_losses(shared, losses);
        }
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

/// Applies stored losses. With those that this box has seen, a request may be quarantined.
fn apply_losses(shared: &Rc<SharedState>, losses: impl Iterator<Item = InstanceLoss>) {
    for loss in losses {
        let now = shared.now();
        let is_quarantined = shared.quarantine.borrow_mut().record_loss(now, loss);
        if is_quarantined {
            log_quarantined(shared, loss.digest, "stored losses");
            tokio::task::spawn_local(persist(shared.clone(), loss.digest));
        }
    }
}

/// Stores the losses during a request; retries until they are stored, or the request is
/// quarantined or sound.
async fn persist_losses(shared: Rc<SharedState>, digest: Digest) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let lost = shared.quarantine.borrow().losses(digest).to_vec();
        if lost.len() < STORED_LOSSES {
            return;
        }
        let stored = StoredQuarantine {
            until_s: 0,
            lost,
            lost_until_s: (unix_time() + QUARANTINE_TIME).as_secs(),
        };
        match write(&shared, digest, &stored).await {
            Ok(()) => return,
            Err(fault) => log_fault("keep", &fault),
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
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
        let stored = StoredQuarantine {
            until_s: (unix_time() + remaining).as_secs(),
            ..StoredQuarantine::default()
        };
        match write(&shared, digest, &stored).await {
            Ok(()) => return,
            Err(fault) => log_fault("keep", &fault),
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Writes the entry of a request, unless it is stored as quarantined.
async fn write(
    shared: &SharedState,
    digest: Digest,
    stored: &StoredQuarantine,
) -> Result<(), StoreError> {
    let name = digest::format_digest(digest);
    let created = shared.store.create(KIND, &name, stored).await;
    shared.count_store_call("write", &created);
    match created {
        Err(StoreError::Conflict) => {}
        other => return other,
    }
    // Another box has stored it, or it was quarantined before.
    let current = shared.store.get_any::<StoredQuarantine>(KIND, &name).await;
    shared.count_store_call("get", &current);
    let current = current?;
    let until_s = current.value.map_or(0, |stored| stored.until_s);
    if until_s >= unix_time().as_secs() {
        return Ok(());
    }
    let replaced = shared.store.replace(KIND, &name, current.revision, stored);
    let replaced = replaced.await;
    shared.count_store_call("write", &replaced);
    replaced
}

/// Ends the stored entry of a request or part that is sound, if there is one, for boxes that
/// start later.
async fn end_stored(shared: Rc<SharedState>, digest: Digest) {
    let name = digest::format_digest(digest);
    let current = shared.store.get_any::<StoredQuarantine>(KIND, &name).await;
    shared.count_store_call("get", &current);
    let Ok(current) = current.inspect_err(|fault| log_fault("end", fault)) else {
        return;
    };
    let ended = StoredQuarantine::default();
    let replaced = shared.store.replace(KIND, &name, current.revision, &ended);
    let replaced = replaced.await;
    shared.count_store_call("write", &replaced);
    if let Err(fault) = replaced {
        log_fault("end", &fault);
    }
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

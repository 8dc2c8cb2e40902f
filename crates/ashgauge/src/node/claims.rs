//! Claims on idempotency keys, for requests that may not be repeated.

use std::time::Duration;

use super::*;
use crate::claim::{ClaimResult, ClaimState};
use crate::message::Message;

/// `retry_after` of refusals after a claim that could not be made.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Node {
    /// Handles the result of a claim, from this box's shards or from the box that owns
    /// the key.
    pub(super) fn on_claim_result(&mut self, claim: &str, result: ClaimResult) {
        let Some(id) = self.pending_claims.remove(claim) else {
            return self.free_abandoned(claim, &result);
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = request.incoming.idempotency_key.clone().unwrap_or_default();
        let label = match &result {
            ClaimResult::Granted => "granted",
            ClaimResult::Held(..) => "held",
            ClaimResult::Unavailable => "unavailable",
        };
        let record_kind = RecordKind::Claimed {
            key,
            result: label.into(),
        };
        self.record(Some(id), record_kind);
        match result {
            ClaimResult::Granted => self.enqueue(id),
            ClaimResult::Held(other_id, state) => self.refuse_taken(id, &other_id, state),
            ClaimResult::Unavailable => {
                self.requests.get_mut(&id).and_then(|r| r.claim.take());
                let message = "the platform does not answer, so the key cannot be claimed";
                self.refuse(id, RefusalKind::PlatformDown, message, Some(RETRY_AFTER));
            }
        }
    }

    /// Makes a claim on this box, after the box that owns the key failed.
    pub(super) fn claim_locally(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(claim), Some(key)) = (&mut request.claim, &request.incoming.idempotency_key)
        else {
            return;
        };
        // The claim gets a new id, as the owner may still release a claim under the old
        // one.
        let new = format!("{}+", claim.id);
        let old = std::mem::replace(&mut claim.id, new);
        let (claim_id, key) = (claim.id.clone(), key.clone());
        claim.abandoned_ids.push(old.clone());
        let owner = claim.owner.take();
        self.pending_claims.remove(&old);
        self.abandoned_claims.insert(old, (key.clone(), self.now));
        self.pending_claims.insert(claim_id.clone(), id);
        if let Some((owner, _)) = owner {
            self.suspect_box(&owner);
        }
        let actions = self
            .claims
            .claim(self.now, self.wall_ms() / 1000, &key, &claim_id);
        self.run_claim_actions(actions);
    }

    pub(super) fn claim_or_queue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = request
            .incoming
            .idempotency_key
            .as_ref()
            .filter(|_| !request.repeatable)
        else {
            return self.enqueue(id);
        };
        if self.claims.is_expired(self.wall_ms() / 1000, key) {
            let message = "the key is older than keys are kept";
            return self.refuse_with(id, RefusalKind::KeyTaken, Outcome::Unknown, message, None);
        }
        if self.claims.is_early(self.wall_ms() / 1000, key) {
            let message = "the time in the idempotency key is still to come";
            return self.refuse(id, RefusalKind::BadKey, message, None);
        }
        // The team's id keeps keys of different teams apart.
        let key = format!("{}/{key}", request.team.id);
        let claim_id = format!("{}.{id}", self.config.instance_id());
        let owner = self
            .members
            .owner_of(self.now, &self.claims.shard_of(&key).to_string());
        let owner = owner.filter(|owner| *owner != self.config.id);
        let owner = owner.and_then(|owner| self.peer_addr(&owner).map(|addr| (owner, addr)));
        if let Some(request) = self.requests.get_mut(&id) {
            request.incoming.idempotency_key = Some(key.clone());
            request.phase = Phase::Claiming;
            request.claim = Some(Claim {
                id: claim_id.clone(),
                abandoned_ids: Vec::new(),
                owner: owner.clone(),
                asked_at: self.now,
            });
        }
        self.pending_claims.insert(claim_id.clone(), id);
        match owner {
            Some((to, addr)) => self.send(to, addr, Message::RequestClaim { key, id: claim_id }),
            None => {
                let actions = self
                    .claims
                    .claim(self.now, self.wall_ms() / 1000, &key, &claim_id);
                self.run_claim_actions(actions);
            }
        }
    }

    pub(super) fn refuse_taken(&mut self, id: RequestId, other_id: &str, state: ClaimState) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let claim = request.claim.as_ref();
        let own = claim.is_some_and(|c| {
            c.abandoned_ids
                .iter()
                .any(|abandoned| abandoned == other_id)
        });
        if own {
            // This box abandoned that claim before it sent a call, so the key can be
            // released.
            let message = "the key's home box failed in the middle of the claim";
            return self.refuse(id, RefusalKind::PlatformDown, message, Some(RETRY_AFTER));
        }
        request.claim = None;
        let (outcome, message) = match state {
            ClaimState::Done => (Outcome::Done, "a request with this key has already run"),
            _ => (
                Outcome::Unknown,
                "a request with this key was already taken",
            ),
        };
        self.refuse_with(id, RefusalKind::KeyTaken, outcome, message, None);
    }

    /// Releases a key whose claim was granted after it had been abandoned.
    pub(super) fn free_abandoned(&mut self, claim: &str, result: &ClaimResult) {
        if let Some((key, _)) = self.abandoned_claims.remove(claim)
            && *result == ClaimResult::Granted
        {
            self.claims.update_state(&key, claim, ClaimState::NotRun);
        }
    }

    pub(super) fn end_claim(&mut self, request: &Request, outcome: Outcome) {
        let (Some(claim), Some(key)) = (&request.claim, &request.incoming.idempotency_key) else {
            return;
        };
        if self.pending_claims.remove(&claim.id).is_some() {
            let value = (key.clone(), self.now);
            self.abandoned_claims.insert(claim.id.clone(), value);
        }
        let state = match outcome {
            Outcome::Done => ClaimState::Done,
            Outcome::NotRun => ClaimState::NotRun,
            Outcome::Unknown => ClaimState::Claimed,
        };
        if outcome != Outcome::Unknown {
            self.send_claim_state(claim.owner.clone(), key, &claim.id, state);
        }
        for claim_id in &claim.abandoned_ids {
            self.send_claim_state(None, key, claim_id, ClaimState::NotRun);
        }
    }

    /// Updates a claim's state through `owner`, the box that owns its key, or on this box if it
    /// is `None`.
    pub(super) fn send_claim_state(
        &mut self,
        owner: Option<(BoxId, String)>,
        key: &str,
        id: &str,
        state: ClaimState,
    ) {
        match owner {
            Some((to, addr)) => {
                let (key, id) = (key.into(), id.into());
                self.send(to, addr, Message::UpdateClaim { key, id, state });
            }
            None => self.claims.update_state(key, id, state),
        }
    }
}

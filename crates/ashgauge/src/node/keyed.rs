//! Requests with a key that may not be repeated: their claims.

use std::time::Duration;

use super::*;
use crate::claim::{Stage, Verdict};
use crate::message::Message;

/// Time to come back after a claim that could not be made.
const COME_BACK: Duration = Duration::from_secs(1);

impl Node {
    /// Takes a claim's verdict, from this box's shards or the key's home.
    pub(super) fn claim_told(&mut self, claim: &str, verdict: Verdict) {
        let Some(id) = self.claiming.remove(claim) else {
            return self.free_claim(claim, &verdict);
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = request.order.key.clone().unwrap_or_default();
        let text = match &verdict {
            Verdict::Granted => "granted",
            Verdict::Held(..) => "held",
            Verdict::Unavailable => "unavailable",
        };
        let what = What::Claimed {
            key,
            verdict: text.into(),
        };
        self.note(Some(id), what);
        match verdict {
            Verdict::Granted => self.enqueue(id),
            Verdict::Held(other, stage) => self.refuse_held(id, &other, stage),
            Verdict::Unavailable => {
                self.requests.get_mut(&id).and_then(|r| r.claim.take());
                let message = "the platform does not answer, so the key cannot be claimed";
                self.refuse(id, Kind::PlatformDown, message, Some(COME_BACK));
            }
        }
    }

    /// Asks this box's own claims, after the key's home failed.
    pub(super) fn claim_here(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(claim), Some(key)) = (&mut request.claim, &request.order.key) else {
            return;
        };
        // A new name: the home may yet release what was asked under the old.
        let new = format!("{}+", claim.id);
        let old = std::mem::replace(&mut claim.id, new);
        let (name, key) = (claim.id.clone(), key.clone());
        claim.dropped.push(old.clone());
        let home = claim.home.take();
        self.claiming.remove(&old);
        self.given_up.insert(old, (key.clone(), self.now));
        self.claiming.insert(name.clone(), id);
        if let Some((home, _)) = home {
            self.suspect_box(&home);
        }
        let steps = self.claims.ask(self.now, self.wall() / 1000, &key, &name);
        self.claim_steps(steps);
    }

    pub(super) fn claim_or_queue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = request.order.key.as_ref().filter(|_| !request.repeatable) else {
            return self.enqueue(id);
        };
        if self.claims.is_expired(self.wall() / 1000, key) {
            let message = "the key is older than keys are kept";
            return self.refuse_as(id, Kind::KeyTaken, Outcome::Unknown, message, None);
        }
        if self.claims.is_early(self.wall() / 1000, key) {
            let message = "the time in the idempotency key is still to come";
            return self.refuse(id, Kind::BadKey, message, None);
        }
        // Keys of different teams never meet.
        let key = format!("{}/{key}", request.team.id);
        let name = format!("{}.{id}", self.config.owner());
        let home = self
            .members
            .home(self.now, &self.claims.shard(&key).to_string());
        let home = home.filter(|h| *h != self.config.id);
        let home = home.and_then(|h| self.addr(&h).map(|a| (h, a)));
        if let Some(request) = self.requests.get_mut(&id) {
            request.order.key = Some(key.clone());
            request.phase = Phase::Claiming;
            request.claim = Some(Claim {
                id: name.clone(),
                dropped: Vec::new(),
                home: home.clone(),
                asked: self.now,
            });
        }
        self.claiming.insert(name.clone(), id);
        match home {
            Some((to, addr)) => self.send(to, addr, Message::AskClaim { key, id: name }),
            None => {
                let steps = self.claims.ask(self.now, self.wall() / 1000, &key, &name);
                self.claim_steps(steps);
            }
        }
    }

    pub(super) fn refuse_held(&mut self, id: RequestId, other: &str, stage: Stage) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let claim = request.claim.as_ref();
        let own = claim.is_some_and(|c| c.dropped.iter().any(|d| d == other));
        if own {
            // This box gave that name up unsent, so the key can be set free.
            let message = "the key's home box failed in the middle of the claim";
            return self.refuse(id, Kind::PlatformDown, message, Some(COME_BACK));
        }
        request.claim = None;
        let (outcome, message) = match stage {
            Stage::Done => (Outcome::Done, "a request with this key has already run"),
            _ => (
                Outcome::Unknown,
                "a request with this key was already taken",
            ),
        };
        self.refuse_as(id, Kind::KeyTaken, outcome, message, None);
    }

    /// Sets a key free whose claim was granted after it was given up.
    pub(super) fn free_claim(&mut self, claim: &str, verdict: &Verdict) {
        if let Some((key, _)) = self.given_up.remove(claim)
            && *verdict == Verdict::Granted
        {
            self.claims.finish(&key, claim, Stage::NotRun);
        }
    }

    pub(super) fn end_claim(&mut self, request: &Request, outcome: Outcome) {
        let (Some(claim), Some(key)) = (&request.claim, &request.order.key) else {
            return;
        };
        if self.claiming.remove(&claim.id).is_some() {
            let value = (key.clone(), self.now);
            self.given_up.insert(claim.id.clone(), value);
        }
        let stage = match outcome {
            Outcome::Done => Stage::Done,
            Outcome::NotRun => Stage::NotRun,
            Outcome::Unknown => Stage::Taken,
        };
        if outcome != Outcome::Unknown {
            self.end_claim_at(claim.home.clone(), key, &claim.id, stage);
        }
        for name in &claim.dropped {
            self.end_claim_at(None, key, name, Stage::NotRun);
        }
    }

    pub(super) fn end_claim_at(
        &mut self,
        at: Option<(BoxId, String)>,
        key: &str,
        id: &str,
        stage: Stage,
    ) {
        match at {
            Some((to, addr)) => {
                let (key, id) = (key.into(), id.into());
                self.send(to, addr, Message::EndClaim { key, id, stage });
            }
            None => self.claims.finish(key, id, stage),
        }
    }
}

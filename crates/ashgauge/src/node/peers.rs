//! What boxes tell each other: heartbeats, rumours, loans, claims, state.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::*;
use crate::limit;
use crate::message::{Envelope, Message};
use crate::order::{Command, Reply as OrderReply};
use crate::policy::TeamId;

/// Peers that a fresh box asks for their table version before it is ready.
const STARTUP_PEERS: usize = 5;

/// Time between two looks at the loans that are due.
const LOAN_INTERVAL: Duration = Duration::from_millis(50);

/// Boxes that one ask for loans goes to at most.
const MAX_LENDERS: usize = 16;

/// How long a claim given up is remembered.
const ABANDONED_TTL: Duration = Duration::from_secs(60);

impl Node {
    pub(super) fn tick_peers(&mut self) {
        let now = self.now;
        if now >= self.control.next_heartbeat {
            self.control.next_heartbeat = now + self.config.heartbeat_interval;
            self.send_heartbeats();
            self.abandoned_claims
                .retain(|_, (_, at)| now < *at + ABANDONED_TTL);
        }
        if now >= self.control.next_loans {
            self.control.next_loans = now + LOAN_INTERVAL;
            self.ask_loans();
        }
    }

    pub(super) fn on_listing(&mut self, listing: MemberList) {
        let before: Vec<UpstreamId> = self.leaving_ids();
        self.control.last_contact = Some(self.now);
        self.listing = listing.clone();
        self.members.update(listing);
        let members = &self.members;
        self.loads.retain(|id| members.upstream(id).is_some());
        for id in self.leaving_ids() {
            if !before.contains(&id) {
                let source = "platform".into();
                self.record(
                    None,
                    RecordKind::Leaving {
                        upstream: id,
                        source,
                    },
                );
            }
        }
        self.ask_versions();
        self.dispatch_all();
    }

    pub(super) fn on_message(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            addr,
            at,
            body,
        } = envelope;
        self.clock.observe(at);
        self.control.last_contact = Some(self.now);
        self.members.clear_suspect(&from);
        match body {
            Message::Heartbeat {
                version,
                leaving,
                wants_reply: answer,
                losses,
            } => {
                self.merge_losses(&losses);
                self.control.awaited_peers.retain(|b| *b != from);
                for id in leaving {
                    self.mark_leaving(&id, &from);
                }
                self.on_peer_version(version, &from, &addr);
                if answer {
                    let heartbeat = self.make_heartbeat(false);
                    self.send(from, addr, heartbeat);
                }
            }
            Message::RequestLoans {
                wants,
                asked_us: asked,
            } => self.lend(from, addr, wants, asked),
            Message::GrantLoans {
                rates,
                asked_us: asked,
            } => self.borrow(&from, rates, asked),
            Message::RequestClaim { key, id } => {
                self.claim_askers.insert(id.clone(), (from, addr));
                let steps = self
                    .claims
                    .claim(self.now, self.wall_ms() / 1000, &key, &id);
                self.run_claim_steps(steps);
            }
            Message::ClaimReply {
                id,
                result: verdict,
            } => self.on_verdict(&id, verdict),
            Message::UpdateClaim {
                key,
                id,
                state: stage,
            } => self.claims.update_state(&key, &id, stage),
            Message::FetchState { after: since } => self.send_state(from, addr, since),
            Message::Edits {
                version,
                edits,
                hash,
            } => self.apply_edits(version, &edits, hash, &from),
            Message::State {
                version,
                table,
                listing,
            } => {
                if self.listing.boxes.is_empty() {
                    self.on_listing(listing);
                }
                self.install_table(version, Arc::from(table), &from);
            }
        }
    }

    pub(super) fn on_send_failed(&mut self, to: &str, message: Message) {
        self.suspect_box(to);
        self.control.awaited_peers.retain(|b| **b != *to);
        match message {
            Message::RequestClaim { id, .. } => {
                let request = self.pending_claims.get(&id).copied();
                request.into_iter().for_each(|r| self.claim_locally(r));
            }
            Message::UpdateClaim {
                key,
                id,
                state: stage,
            } => self.claims.update_state(&key, &id, stage),
            _ => {}
        }
    }

    /// Keeps a box that did not answer out of the live set for a while.
    pub(super) fn suspect_box(&mut self, id: &str) {
        if self.members.mark_suspect(self.now, id) {
            self.record(None, RecordKind::Suspected { box_id: id.into() });
        }
    }

    pub(super) fn send(&mut self, to: BoxId, addr: String, body: Message) {
        let envelope = Envelope {
            from: self.config.id.clone(),
            addr: self.config.peer_addr.clone(),
            at: self.clock.tick(self.wall_ms()),
            body,
        };
        self.stats.sent += 1;
        self.actions.push(Action::Send(to, addr, envelope));
    }

    pub(super) fn peer_addr(&self, id: &str) -> Option<String> {
        let found = self.members.boxes().find(|b| &*b.id == id);
        found.map(|b| b.peer_addr.clone())
    }

    /// Notes that an upstream is leaving and wants no new work.
    pub(super) fn mark_leaving(&mut self, id: &UpstreamId, source: &str) {
        if self.members.mark_leaving(self.now, id) {
            self.expedite_heartbeat();
            let what = RecordKind::Leaving {
                upstream: id.clone(),
                source: source.into(),
            };
            self.record(None, what);
        }
    }

    /// Stops taking requests, and gives the lease back.
    pub(super) fn drain(&mut self) {
        if std::mem::replace(&mut self.control.draining, true) {
            return;
        }
        let inflight = self.requests.len();
        self.record(None, RecordKind::Draining { inflight });
        if let Some(step) = self.lease.release() {
            self.run_lease_step(step);
        }
    }

    /// Sets this box's own share of a team's rate, if the team has one.
    pub(super) fn set_share(&mut self, team: &TeamId) {
        let rate = self
            .policy
            .team(team)
            .and_then(|t| t.token_rate)
            .unwrap_or(0.0);
        let boxes = self.members.boxes().count().max(1) as f64;
        // An earlier process of this box may have lent the share.
        let opens = self.config.strategy.loans && self.now < limit::settle_time();
        let share = if opens { 0.0 } else { rate / boxes };
        self.rate_limits.set_share(self.now, team, share);
    }

    /// Sends the orders that are due, if this box holds the lease.
    pub(super) fn send_orders(&mut self) {
        let Some(term) = self.lease.term(self.now) else {
            return;
        };
        let members = &self.members;
        let fenced = |id: &str| members.upstream(id).is_some_and(|u| u.fenced);
        let due = self
            .orders
            .due_orders(self.now, term, &self.policy.desired_states, fenced);
        for (upstream, goal) in due {
            let addr = pipeline::upstream_addr(&self.members, &upstream);
            if addr.is_empty() {
                continue;
            }
            self.actions.push(Action::Command(Command {
                upstream,
                addr,
                term,
                desired: goal,
            }));
        }
    }

    pub(super) fn on_order_reply(&mut self, id: &UpstreamId, term: u64, reply: OrderReply) {
        self.orders.on_reply(self.now, id, term, &reply);
        let what = RecordKind::Ordered {
            upstream: id.clone(),
            term,
            order: self
                .policy
                .desired_states
                .get(id)
                .map_or(String::new(), |g| format!("{:x}", g.hash)),
            result: format!("{reply:?}"),
        };
        self.record(None, what);
    }

    fn leaving_ids(&self) -> Vec<UpstreamId> {
        let gone =
            |u: &&crate::member::UpstreamEntry| u.state == crate::member::MemberState::Leaving;
        self.members
            .upstreams()
            .filter(gone)
            .map(|u| u.id.clone())
            .collect()
    }

    fn make_heartbeat(&self, answer: bool) -> Message {
        Message::Heartbeat {
            version: self.policy.version,
            leaving: self.members.leaving_ids(self.now),
            wants_reply: answer,
            losses: self.loss_report(),
        }
    }

    /// Sends heartbeats soon, as there is something new to tell.
    pub(super) fn expedite_heartbeat(&mut self) {
        let soon = self.now + store::NEWS_DELAY;
        self.control.next_heartbeat = self.control.next_heartbeat.min(soon);
    }

    fn send_heartbeats(&mut self) {
        let me = self.config.id.clone();
        let others = self.members.boxes().filter(|b| b.id != me);
        let others = others.map(|b| (b.id.clone(), b.peer_addr.clone()));
        let some = others.choose_multiple(&mut self.rng, self.config.fanout);
        for (id, addr) in some {
            let heartbeat = self.make_heartbeat(false);
            self.send(id, addr, heartbeat);
        }
    }

    /// Asks some peers for their version, once, when the first list arrives.
    fn ask_versions(&mut self) {
        // An empty list is one that the platform has not made yet.
        if self.listing.boxes.is_empty() {
            return;
        }
        if std::mem::replace(&mut self.control.peers_asked, true) {
            return;
        }
        let me = self.config.id.clone();
        let others = self.members.boxes().filter(|b| b.id != me);
        let others = others.map(|b| (b.id.clone(), b.peer_addr.clone()));
        let some = others.choose_multiple(&mut self.rng, STARTUP_PEERS);
        for (id, addr) in some {
            self.control.awaited_peers.push(id.clone());
            let heartbeat = self.make_heartbeat(true);
            self.send(id, addr, heartbeat);
        }
    }

    /// Sends what is newer than `since`: the edits if they are still held.
    fn send_state(&mut self, to: BoxId, addr: String, since: Version) {
        let version = self.policy.version;
        if version <= since {
            return;
        }
        if since > 0
            && let Some(edits) = self.table.last_edits(version - since)
        {
            let (edits, hash) = (edits.to_vec(), self.table.hash());
            return self.send(
                to,
                addr,
                Message::Edits {
                    version,
                    edits,
                    hash,
                },
            );
        }
        let state = Message::State {
            version: self.policy.version,
            table: Box::new(Table::clone(&self.table)),
            listing: self.listing.clone(),
        };
        self.send(to, addr, state);
    }

    /// Asks other boxes for what teams want beyond this box's share.
    fn ask_loans(&mut self) {
        for team in self.rate_limits.teams() {
            self.set_share(&team);
        }
        self.rate_limits.expire(self.now);
        if !self.config.strategy.loans {
            return;
        }
        let due = self.rate_limits.teams_to_borrow(self.now);
        if due.is_empty() {
            return;
        }
        let me = &self.config.id;
        let others = self.members.live_boxes(self.now).filter(|b| b.id != *me);
        let others = others.map(|b| (b.id.clone(), b.peer_addr.clone()));
        let lenders = others.choose_multiple(&mut self.rng, MAX_LENDERS);
        let asked = self.now.as_micros() as u64;
        for (id, addr) in &lenders {
            let want = |t: &TeamId| self.rate_limits.wanted_rate(self.now, t, id, lenders.len());
            let wants = due.iter().map(|t| (t.clone(), want(t)));
            let wants: Vec<(TeamId, f64)> = wants.filter(|(_, w)| *w > 0.0).collect();
            if !wants.is_empty() {
                self.send(
                    id.clone(),
                    addr.clone(),
                    Message::RequestLoans {
                        wants,
                        asked_us: asked,
                    },
                );
            }
        }
    }

    fn lend(&mut self, to: BoxId, addr: String, wants: Vec<(TeamId, f64)>, asked: u64) {
        let mut rates = Vec::with_capacity(wants.len());
        for (team, want) in wants {
            self.set_share(&team);
            let rate = self.rate_limits.lend(self.now, &team, &to, want);
            rates.push((team, rate));
        }
        self.send(
            to,
            addr,
            Message::GrantLoans {
                rates,
                asked_us: asked,
            },
        );
    }

    fn borrow(&mut self, from: &BoxId, rates: Vec<(TeamId, f64)>, asked: u64) {
        let asked = Duration::from_micros(asked);
        for (team, rate) in rates {
            self.rate_limits
                .record_loan(self.now, &team, from, rate, asked);
        }
        self.dispatch_all();
    }
}

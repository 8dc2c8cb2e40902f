//! Messages between boxes: heartbeats, leaving upstreams, loans, claims and table state.
//! Also the member list and the orders to upstreams.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::*;
use crate::limit;
use crate::message::{Envelope, Message};
use crate::order::{Order, Reply as OrderReply};
use crate::policy::TeamId;

/// Number of peers that a starting box asks for their table version before it is ready.
const STARTUP_PEERS: usize = 5;

/// Time between two checks for loans that are due.
const LOAN_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of boxes that are asked for loans at once.
const MAX_LENDERS: usize = 16;

/// How long an abandoned claim is remembered.
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
        let leaving_before: Vec<UpstreamId> = self.leaving_ids();
        self.control.last_contact = Some(self.now);
        self.member_list = listing.clone();
        self.members.update(listing);
        let members = &self.members;
        self.upstream_stats
            .retain(|id| members.upstream(id).is_some());
        for id in self.leaving_ids() {
            if !leaving_before.contains(&id) {
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
                wants_reply,
                losses,
            } => {
                self.merge_losses(&losses);
                self.control.awaited_peers.retain(|b| *b != from);
                for id in leaving {
                    self.mark_leaving(&id, &from);
                }
                self.on_peer_version(version, &from, &addr);
                if wants_reply {
                    let heartbeat = self.make_heartbeat(false);
                    self.send(from, addr, heartbeat);
                }
            }
            Message::RequestLoans { wants, asked_us } => self.lend(from, addr, wants, asked_us),
            Message::GrantLoans { rates, asked_us } => self.borrow(&from, rates, asked_us),
            Message::RequestClaim { key, id } => {
                self.claim_askers.insert(id.clone(), (from, addr));
                let actions = self
                    .claims
                    .claim(self.now, self.wall_ms() / 1000, &key, &id);
                self.run_claim_actions(actions);
            }
            Message::ClaimReply { id, result } => self.on_claim_result(&id, result),
            Message::UpdateClaim { key, id, state } => self.claims.update_state(&key, &id, state),
            Message::FetchState { after } => self.send_state(from, addr, after),
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
                if self.member_list.boxes.is_empty() {
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
            Message::UpdateClaim { key, id, state } => self.claims.update_state(&key, &id, state),
            _ => {}
        }
    }

    /// Marks a box that did not answer as suspect. It does not count as live for a while.
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

    /// Marks an upstream as leaving, so that it gets no new work, and tells the peers
    /// soon.
    pub(super) fn mark_leaving(&mut self, id: &UpstreamId, source: &str) {
        if self.members.mark_leaving(self.now, id) {
            self.expedite_heartbeat();
            let record_kind = RecordKind::Leaving {
                upstream: id.clone(),
                source: source.into(),
            };
            self.record(None, record_kind);
        }
    }

    /// Stops admitting requests and releases the lease.
    pub(super) fn drain(&mut self) {
        if std::mem::replace(&mut self.control.draining, true) {
            return;
        }
        let inflight = self.requests.len();
        self.record(None, RecordKind::Draining { inflight });
        if let Some(action) = self.lease.release() {
            self.run_lease_action(action);
        }
    }

    /// Sets this box's share of a team's token rate: the rate divided by the number of
    /// boxes, or 0 if the team has none.
    pub(super) fn set_share(&mut self, team: &TeamId) {
        let rate = self
            .policy
            .team(team)
            .and_then(|t| t.token_rate)
            .unwrap_or(0.0);
        let boxes = self.members.boxes().count().max(1) as f64;
        // Shortly after the start the share is 0, as an earlier process of this box may
        // have lent it out.
        let starting = self.config.strategy.loans && self.now < limit::settle_time();
        let share = if starting { 0.0 } else { rate / boxes };
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
        for (upstream, desired) in due {
            let addr = pipeline::upstream_addr(&self.members, &upstream);
            if addr.is_empty() {
                continue;
            }
            self.actions.push(Action::Command(Order {
                upstream,
                addr,
                term,
                desired,
            }));
        }
    }

    pub(super) fn on_order_reply(&mut self, id: &UpstreamId, term: u64, reply: OrderReply) {
        self.orders.on_reply(self.now, id, term, &reply);
        let record_kind = RecordKind::Ordered {
            upstream: id.clone(),
            term,
            order: self
                .policy
                .desired_states
                .get(id)
                .map_or(String::new(), |g| format!("{:x}", g.hash)),
            result: format!("{reply:?}"),
        };
        self.record(None, record_kind);
    }

    fn leaving_ids(&self) -> Vec<UpstreamId> {
        let is_leaving =
            |u: &&crate::member::UpstreamEntry| u.state == crate::member::MemberState::Leaving;
        self.members
            .upstreams()
            .filter(is_leaving)
            .map(|u| u.id.clone())
            .collect()
    }

    fn make_heartbeat(&self, wants_reply: bool) -> Message {
        Message::Heartbeat {
            version: self.policy.version,
            leaving: self.members.leaving_ids(self.now),
            wants_reply,
            losses: self.loss_report(),
        }
    }

    /// Moves the next heartbeats forward, as there is news for the peers.
    pub(super) fn expedite_heartbeat(&mut self) {
        let soon = self.now + store::NEWS_DELAY;
        self.control.next_heartbeat = self.control.next_heartbeat.min(soon);
    }

    fn send_heartbeats(&mut self) {
        let me = self.config.id.clone();
        let others = self.members.boxes().filter(|b| b.id != me);
        let others = others.map(|b| (b.id.clone(), b.peer_addr.clone()));
        let chosen = others.choose_multiple(&mut self.rng, self.config.fanout);
        for (id, addr) in chosen {
            let heartbeat = self.make_heartbeat(false);
            self.send(id, addr, heartbeat);
        }
    }

    /// Asks some peers for their table version, once, when the first list with boxes
    /// arrives.
    fn ask_versions(&mut self) {
        // An empty list means that the platform has not made one yet.
        if self.member_list.boxes.is_empty() {
            return;
        }
        if std::mem::replace(&mut self.control.peers_asked, true) {
            return;
        }
        let me = self.config.id.clone();
        let others = self.members.boxes().filter(|b| b.id != me);
        let others = others.map(|b| (b.id.clone(), b.peer_addr.clone()));
        let chosen = others.choose_multiple(&mut self.rng, STARTUP_PEERS);
        for (id, addr) in chosen {
            self.control.awaited_peers.push(id.clone());
            let heartbeat = self.make_heartbeat(true);
            self.send(id, addr, heartbeat);
        }
    }

    /// Sends a peer what is newer than version `after`: the edits if the table still
    /// holds them, otherwise the whole table.
    fn send_state(&mut self, to: BoxId, addr: String, after: Version) {
        let version = self.policy.version;
        if version <= after {
            return;
        }
        if after > 0
            && let Some(edits) = self.table.last_edits(version - after)
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
            listing: self.member_list.clone(),
        };
        self.send(to, addr, state);
    }

    /// Asks other boxes for the token rate that teams need beyond this box's share.
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
        let asked_us = self.now.as_micros() as u64;
        for (id, addr) in &lenders {
            let want = |t: &TeamId| self.rate_limits.wanted_rate(self.now, t, id, lenders.len());
            let wants = due.iter().map(|t| (t.clone(), want(t)));
            let wants: Vec<(TeamId, f64)> = wants.filter(|(_, w)| *w > 0.0).collect();
            if !wants.is_empty() {
                self.send(
                    id.clone(),
                    addr.clone(),
                    Message::RequestLoans { wants, asked_us },
                );
            }
        }
    }

    fn lend(&mut self, to: BoxId, addr: String, wants: Vec<(TeamId, f64)>, asked_us: u64) {
        let mut rates = Vec::with_capacity(wants.len());
        for (team, want) in wants {
            self.set_share(&team);
            let rate = self.rate_limits.lend(self.now, &team, &to, want);
            rates.push((team, rate));
        }
        self.send(to, addr, Message::GrantLoans { rates, asked_us });
    }

    fn borrow(&mut self, from: &BoxId, rates: Vec<(TeamId, f64)>, asked_us: u64) {
        let asked_at = Duration::from_micros(asked_us);
        for (team, rate) in rates {
            self.rate_limits
                .record_loan(self.now, &team, from, rate, asked_at);
        }
        self.dispatch_all();
    }
}

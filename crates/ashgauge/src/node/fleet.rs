//! What boxes tell each other: heartbeats, rumours, loans, claims, state.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::*;
use crate::limit;
use crate::message::{Envelope, Message};
use crate::order::{Command, Reply as OrderReply};
use crate::policy::TeamId;

/// Peers that a fresh box asks for their table version before it is ready.
const GREETED: usize = 5;

/// Time between two looks at the loans that are due.
const RENEW_TIME: Duration = Duration::from_millis(50);

/// Boxes that one ask for loans goes to at most.
const LENDERS_MOST: usize = 16;

/// How long a claim given up is remembered.
const GIVEN_UP_TIME: Duration = Duration::from_secs(60);

impl Node {
    pub(super) fn tick_fleet(&mut self) {
        let now = self.now;
        if now >= self.fleet.heartbeat {
            self.fleet.heartbeat = now + self.config.heartbeat;
            self.send_heartbeats();
            self.given_up.retain(|_, (_, at)| now < *at + GIVEN_UP_TIME);
        }
        if now >= self.fleet.renewed {
            self.fleet.renewed = now + RENEW_TIME;
            self.ask_loans();
        }
    }

    pub(super) fn listed(&mut self, listing: Listing) {
        let before: Vec<UpstreamId> = self.leaving_ids();
        self.fleet.heard = Some(self.now);
        self.listing = listing.clone();
        self.members.update(listing);
        let members = &self.members;
        self.loads.retain(|id| members.upstream(id).is_some());
        for id in self.leaving_ids() {
            if !before.contains(&id) {
                let source = "platform".into();
                self.note(
                    None,
                    What::Leaving {
                        upstream: id,
                        source,
                    },
                );
            }
        }
        self.greet();
        self.dispatch_all();
    }

    pub(super) fn heard(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            addr,
            at,
            body,
        } = envelope;
        self.clock.observe(at);
        self.fleet.heard = Some(self.now);
        self.members.clear(&from);
        match body {
            Message::Heartbeat {
                version,
                leaving,
                answer,
                losses,
            } => {
                self.hear_losses(&losses);
                self.fleet.awaited.retain(|b| *b != from);
                for id in leaving {
                    self.note_leaving(&id, &from);
                }
                self.hear_version(version, &from, &addr);
                if answer {
                    let heartbeat = self.heartbeat(false);
                    self.send(from, addr, heartbeat);
                }
            }
            Message::AskLoans { wants, asked } => self.lend(from, addr, wants, asked),
            Message::GrantLoans { rates, asked } => self.borrow(&from, rates, asked),
            Message::AskClaim { key, id } => {
                self.asked_for.insert(id.clone(), (from, addr));
                let steps = self.claims.ask(self.now, self.wall() / 1000, &key, &id);
                self.claim_steps(steps);
            }
            Message::TellClaim { id, verdict } => self.claim_told(&id, verdict),
            Message::EndClaim { key, id, stage } => self.claims.finish(&key, &id, stage),
            Message::FetchState { since } => self.tell_state(from, addr, since),
            Message::Edits {
                version,
                edits,
                hash,
            } => self.take_edits(version, &edits, hash, &from),
            Message::State {
                version,
                table,
                listing,
            } => {
                if self.listing.boxes.is_empty() {
                    self.listed(listing);
                }
                self.install(version, Arc::from(table), &from);
            }
        }
    }

    pub(super) fn send_failed(&mut self, to: &str, message: Message) {
        self.suspect_box(to);
        self.fleet.awaited.retain(|b| **b != *to);
        match message {
            Message::AskClaim { id, .. } => {
                let request = self.claiming.get(&id).copied();
                request.into_iter().for_each(|r| self.claim_here(r));
            }
            Message::EndClaim { key, id, stage } => self.claims.finish(&key, &id, stage),
            _ => {}
        }
    }

    /// Keeps a box that did not answer out of the live set for a while.
    pub(super) fn suspect_box(&mut self, id: &str) {
        if self.members.suspect(self.now, id) {
            self.note(None, What::Suspected { node: id.into() });
        }
    }

    pub(super) fn send(&mut self, to: BoxId, addr: String, body: Message) {
        let envelope = Envelope {
            from: self.config.id.clone(),
            addr: self.config.addr.clone(),
            at: self.clock.tick(self.wall()),
            body,
        };
        self.stats.sent += 1;
        self.out.push(Action::Send(to, addr, envelope));
    }

    pub(super) fn addr(&self, id: &str) -> Option<String> {
        let found = self.members.boxes().find(|b| &*b.id == id);
        found.map(|b| b.peer.clone())
    }

    /// Notes that an upstream is leaving and wants no new work.
    pub(super) fn note_leaving(&mut self, id: &UpstreamId, source: &str) {
        if self.members.leave(self.now, id) {
            self.tell_news();
            let what = What::Leaving {
                upstream: id.clone(),
                source: source.into(),
            };
            self.note(None, what);
        }
    }

    /// Stops taking requests, and gives the lease back.
    pub(super) fn drain(&mut self) {
        if std::mem::replace(&mut self.fleet.draining, true) {
            return;
        }
        let inflight = self.requests.len();
        self.note(None, What::Draining { inflight });
        if let Some(step) = self.lease.give_back() {
            self.lease_step(step);
        }
    }

    /// Sets this box's own share of a team's rate, if the team has one.
    pub(super) fn set_share(&mut self, team: &TeamId) {
        let rate = self.policy.team(team).and_then(|t| t.rate).unwrap_or(0.0);
        let boxes = self.members.boxes().count().max(1) as f64;
        // An earlier process of this box may have lent the share.
        let opens = self.config.tactics.loans && self.now < limit::settle_time();
        let share = if opens { 0.0 } else { rate / boxes };
        self.limits.set_share(self.now, team, share);
    }

    /// Sends the orders that are due, if this box holds the lease.
    pub(super) fn send_orders(&mut self) {
        let Some(term) = self.lease.term(self.now) else {
            return;
        };
        let members = &self.members;
        let fenced = |id: &str| members.upstream(id).is_some_and(|u| u.fenced);
        let due = self.orders.due(self.now, term, &self.policy.goals, fenced);
        for (upstream, goal) in due {
            let addr = flow::address(&self.members, &upstream);
            if addr.is_empty() {
                continue;
            }
            self.out.push(Action::Command(Command {
                upstream,
                addr,
                term,
                goal,
            }));
        }
    }

    pub(super) fn obeyed(&mut self, id: &UpstreamId, term: u64, reply: OrderReply) {
        self.orders.answered(self.now, id, term, &reply);
        let what = What::Ordered {
            upstream: id.clone(),
            term,
            order: self
                .policy
                .goals
                .get(id)
                .map_or(String::new(), |g| format!("{:x}", g.number)),
            result: format!("{reply:?}"),
        };
        self.note(None, what);
    }

    fn leaving_ids(&self) -> Vec<UpstreamId> {
        let gone = |u: &&crate::member::UpstreamEntry| u.state == crate::member::State::Leaving;
        self.members
            .upstreams()
            .filter(gone)
            .map(|u| u.id.clone())
            .collect()
    }

    fn heartbeat(&self, answer: bool) -> Message {
        Message::Heartbeat {
            version: self.policy.version,
            leaving: self.members.rumours(self.now),
            answer,
            losses: self.losses(),
        }
    }

    /// Sends heartbeats soon, as there is something new to tell.
    pub(super) fn tell_news(&mut self) {
        let soon = self.now + store::NEWS_TIME;
        self.fleet.heartbeat = self.fleet.heartbeat.min(soon);
    }

    fn send_heartbeats(&mut self) {
        let me = self.config.id.clone();
        let others = self.members.boxes().filter(|b| b.id != me);
        let others = others.map(|b| (b.id.clone(), b.peer.clone()));
        let some = others.choose_multiple(&mut self.rng, self.config.fanout);
        for (id, addr) in some {
            let heartbeat = self.heartbeat(false);
            self.send(id, addr, heartbeat);
        }
    }

    /// Asks some peers for their version, once, when the first list arrives.
    fn greet(&mut self) {
        // An empty list is one that the platform has not made yet.
        if self.listing.boxes.is_empty() {
            return;
        }
        if std::mem::replace(&mut self.fleet.greeted, true) {
            return;
        }
        let me = self.config.id.clone();
        let others = self.members.boxes().filter(|b| b.id != me);
        let others = others.map(|b| (b.id.clone(), b.peer.clone()));
        let some = others.choose_multiple(&mut self.rng, GREETED);
        for (id, addr) in some {
            self.fleet.awaited.push(id.clone());
            let heartbeat = self.heartbeat(true);
            self.send(id, addr, heartbeat);
        }
    }

    /// Sends what is newer than `since`: the edits if they are still held.
    fn tell_state(&mut self, to: BoxId, addr: String, since: Version) {
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
        for team in self.limits.teams() {
            self.set_share(&team);
        }
        self.limits.forget(self.now);
        if !self.config.tactics.loans {
            return;
        }
        let due = self.limits.due(self.now);
        if due.is_empty() {
            return;
        }
        let me = &self.config.id;
        let others = self.members.live(self.now).filter(|b| b.id != *me);
        let others = others.map(|b| (b.id.clone(), b.peer.clone()));
        let lenders = others.choose_multiple(&mut self.rng, LENDERS_MOST);
        let asked = self.now.as_micros() as u64;
        for (id, addr) in &lenders {
            let want = |t: &TeamId| self.limits.want(self.now, t, id, lenders.len());
            let wants = due.iter().map(|t| (t.clone(), want(t)));
            let wants: Vec<(TeamId, f64)> = wants.filter(|(_, w)| *w > 0.0).collect();
            if !wants.is_empty() {
                self.send(id.clone(), addr.clone(), Message::AskLoans { wants, asked });
            }
        }
    }

    fn lend(&mut self, to: BoxId, addr: String, wants: Vec<(TeamId, f64)>, asked: u64) {
        let mut rates = Vec::with_capacity(wants.len());
        for (team, want) in wants {
            self.set_share(&team);
            let rate = self.limits.lend(self.now, &team, &to, want);
            rates.push((team, rate));
        }
        self.send(to, addr, Message::GrantLoans { rates, asked });
    }

    fn borrow(&mut self, from: &BoxId, rates: Vec<(TeamId, f64)>, asked: u64) {
        let asked = Duration::from_micros(asked);
        for (team, rate) in rates {
            self.limits.borrowed(self.now, &team, from, rate, asked);
        }
        self.dispatch_all();
    }
}

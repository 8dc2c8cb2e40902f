//! What boxes tell each other: heartbeats, rumours, slices, claims, state.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::*;
use crate::message::{Envelope, Message};
use crate::order::{Command, Reply as OrderReply};
use crate::policy::TeamId;

/// Peers that a fresh box asks for their table version before it is ready.
const GREETED: usize = 5;

/// Time between two looks at the slices that are due for renewal.
const RENEW_TIME: Duration = Duration::from_millis(50);

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
        if now >= self.fleet.slept {
            self.fleet.slept = now + RENEW_TIME;
            self.renew_slices();
        }
    }

    pub(super) fn listed(&mut self, listing: Listing) {
        let before: Vec<UpstreamId> = self.leaving_ids();
        self.fleet.heard = Some(self.now);
        self.listing = listing.clone();
        self.members.update(listing);
        let members = &self.members;
        self.loads.retain(|id| members.upstream(id).is_some());
        let (now, me) = (self.now, self.config.id.clone());
        self.home
            .retain(|team| members.home(now, team).as_ref() == Some(&me));
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
            } => {
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
            Message::AskSlice { team, want, asked } => {
                self.grant_slice(&from, &addr, &team, want, asked)
            }
            Message::GrantSlice { team, rate, asked } => {
                let asked = Duration::from_micros(asked);
                self.slices.granted(self.now, &team, rate, asked);
                self.dispatch_all();
            }
            Message::AskClaim { key, id } => {
                self.asked_for.insert(id.clone(), (from, addr));
                let steps = self.claims.ask(self.now, self.wall() / 1000, &key, &id);
                self.claim_steps(steps);
            }
            Message::TellClaim { id, verdict } => self.claim_told(&id, verdict),
            Message::EndClaim { key, id, stage } => self.claims.finish(&key, &id, stage),
            Message::FetchState => self.tell_state(from, addr),
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

    pub(super) fn ask_slice(&mut self, team: &TeamId) {
        let Some(rate) = self.policy.team(team).and_then(|t| t.rate) else {
            return;
        };
        if !self.config.tactics.slices {
            return self.take_equal_part(team, rate);
        }
        let Some(want) = self.slices.ask(self.now, team) else {
            return;
        };
        let asked = self.now.as_micros() as u64;
        let Some(home) = self.members.home(self.now, team) else {
            return;
        };
        if home == self.config.id {
            if let Some(rate) = self.home.grant(self.now, team, rate, &home, want) {
                self.slices.granted(self.now, team, rate, self.now);
            }
        } else if let Some(addr) = self.addr(&home) {
            let team = team.clone();
            self.send(home, addr, Message::AskSlice { team, want, asked });
        }
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
        }
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

    fn tell_state(&mut self, to: BoxId, addr: String) {
        if self.policy.version == 0 {
            return;
        }
        let state = Message::State {
            version: self.policy.version,
            table: Box::new(Table::clone(&self.table)),
            listing: self.listing.clone(),
        };
        self.send(to, addr, state);
    }

    fn renew_slices(&mut self) {
        for team in self.slices.teams() {
            self.ask_slice(&team);
        }
        self.slices.forget(self.now);
    }

    fn grant_slice(&mut self, from: &BoxId, addr: &str, team: &TeamId, want: f64, asked: u64) {
        let Some(limit) = self.policy.team(team).and_then(|t| t.rate) else {
            return;
        };
        // Two boxes may disagree on who is home; only one that sees itself as
        // home grants.
        if self.members.home(self.now, team).as_ref() != Some(&self.config.id) {
            return;
        }
        let Some(rate) = self.home.grant(self.now, team, limit, from, want) else {
            return;
        };
        let team = team.clone();
        let message = Message::GrantSlice { team, rate, asked };
        self.send(from.clone(), addr.into(), message);
    }

    /// The plain baseline: the limit divided by the number of boxes.
    fn take_equal_part(&mut self, team: &TeamId, limit: f64) {
        let boxes = self.members.boxes().count().max(1) as f64;
        self.slices.granted(self.now, team, limit / boxes, self.now);
    }
}

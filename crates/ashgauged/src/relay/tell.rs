//! Boxes tell each other their parts of the upstreams' loads, by datagrams.
//!
//! A word that is lost is made good by the next. What cannot be read, or comes
//! from an address that no box has announced, is dropped and counted.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashgauge::share::{self, Word};
use eyre::{Result, WrapErr};
use rand::Rng;
use serde_json::json;
use spdlog::Level;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::desk::{Desk, Peer};
use super::{census, log};

/// Largest datagram that is read; a word on 860 engines takes 12 kB.
const WORD_MOST: usize = 60_000;

/// Longest time without a word, so that the others know that this box is there.
const SILENT_MOST: Duration = Duration::from_millis(500);

/// Least time between two counts of the boxes because of a stranger's word.
const RECOUNT_EVERY: Duration = Duration::from_secs(1);

/// Starts telling and hearing, if the settings name an address for it.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(desk: &Rc<Desk>) -> Result<()> {
    let Some(addr) = desk.settings().peer.clone() else {
        return Ok(());
    };
    let socket = UdpSocket::bind(&addr).await;
    let socket = socket
        .wrap_err_with(|| format!("cannot hear boxes on {addr}; free the port or set another"))?;
    desk.heard_at.set(Some(socket.local_addr()?));
    let socket = Rc::new(socket);
    tokio::task::spawn_local(hear(desk.clone(), socket.clone()));
    tokio::task::spawn_local(tell(desk.clone(), socket));
    Ok(())
}

async fn hear(desk: Rc<Desk>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; WORD_MOST];
    let mut counted = Duration::ZERO;
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            sleep(SILENT_MOST).await;
            continue;
        };
        let result = take(&desk, &buffer[..len], from);
        desk.metrics.words.with_label_values(&[result]).inc();
        let now = desk.now();
        if result == "stranger" && now >= counted + RECOUNT_EVERY {
            // It may be a box that has just come.
            counted = now;
            tokio::task::spawn_local(census::count_once(desk.clone()));
        }
    }
}

/// Takes a datagram in; returns what became of it.
fn take(desk: &Desk, bytes: &[u8], from: SocketAddr) -> &'static str {
    let Ok(word) = postcard::from_bytes::<Word>(bytes) else {
        return "unreadable";
    };
    if desk.peers.borrow().get(&word.from).map(|p| p.addr) != Some(from) {
        return "stranger";
    }
    match desk.shares.borrow_mut().hear(desk.now(), word) {
        true => "heard",
        false => "late",
    }
}

async fn tell(desk: Rc<Desk>, socket: Rc<UdpSocket>) {
    let boot = desk.rng().random();
    let (mut number, mut near, mut far) = (0, Told::default(), Told::default());
    loop {
        let peers: Vec<Peer> = desk.peers.borrow().values().cloned().collect();
        let here = peers.iter().filter(|p| p.near).count();
        let (near_time, far_time) = share::tell_times(here, peers.len());
        sleep(near_time).await;
        let now = desk.now();
        desk.shares.borrow_mut().expire(now, peers.len());
        let uses = uses(&desk);
        let to_near = near.is_due(now, near_time, &uses);
        let to_far = far.is_due(now, far_time, &uses);
        if !to_near && !to_far {
            continue;
        }
        number += 1;
        let word = Word {
            from: Arc::from(desk.settings().id.as_str()),
            boot,
            number,
            uses,
        };
        let bytes = match postcard::to_allocvec(&word) {
            Ok(bytes) => bytes,
            Err(e) => {
                let fields = json!({"cause": e.to_string()});
                log::line(Level::Warn, "fleet", "not told", fields);
                continue;
            }
        };
        let chosen = |p: &&Peer| if p.near { to_near } else { to_far };
        for peer in peers.iter().filter(chosen) {
            // A word that does not get out is made good by the next one.
            let _ = socket.send_to(&bytes, peer.addr).await;
        }
        if to_near {
            near.note(now, &word.uses);
        }
        if to_far {
            far.note(now, &word.uses);
        }
    }
}

/// What some boxes were told last, and when.
#[derive(Default)]
struct Told {
    uses: Vec<(share::UpstreamKey, share::Use)>,
    at: Duration,
}

impl Told {
    /// Whether they are to be told again: after `time` if something changed.
    fn is_due(
        &self,
        now: Duration,
        time: Duration,
        uses: &[(share::UpstreamKey, share::Use)],
    ) -> bool {
        let age = now.saturating_sub(self.at);
        let news = self.uses != uses;
        age >= time.max(SILENT_MOST) || (news && age >= time)
    }

    fn note(&mut self, now: Duration, uses: &[(share::UpstreamKey, share::Use)]) {
        self.uses = uses.to_vec();
        self.at = now;
    }
}

/// What this box has on the upstreams that it uses.
fn uses(desk: &Desk) -> Vec<(share::UpstreamKey, share::Use)> {
    let (roster, now) = (desk.roster.borrow(), desk.now());
    let uses = roster
        .all()
        .map(|e| (share::key(&e.upstream.id), e.used(now)));
    let mut uses: Vec<_> = uses
        .filter(|(_, used)| *used != share::Use::default())
        .collect();
    uses.sort_unstable_by_key(|(key, _)| *key);
    uses
}

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

use super::desk::Desk;
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
    if desk.peers.borrow().get(&word.from) != Some(&from) {
        return "stranger";
    }
    match desk.shares.borrow_mut().hear(desk.now(), word) {
        true => "heard",
        false => "late",
    }
}

async fn tell(desk: Rc<Desk>, socket: Rc<UdpSocket>) {
    let boot = desk.rng().random();
    let (mut number, mut told, mut told_at) = (0, Vec::new(), Duration::ZERO);
    loop {
        let peers: Vec<SocketAddr> = desk.peers.borrow().values().copied().collect();
        sleep(share::tell_time(peers.len())).await;
        let now = desk.now();
        desk.shares.borrow_mut().expire(now);
        let uses = uses(&desk);
        if uses == told && now < told_at + SILENT_MOST {
            continue;
        }
        number += 1;
        let word = Word {
            from: Arc::from(desk.settings().id.as_str()),
            boot,
            number,
            uses,
        };
        match postcard::to_allocvec(&word) {
            Ok(bytes) => send(&socket, &bytes, &peers).await,
            Err(e) => {
                let fields = json!({"cause": e.to_string()});
                log::line(Level::Warn, "fleet", "not told", fields);
            }
        }
        (told, told_at) = (word.uses, now);
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

async fn send(socket: &UdpSocket, bytes: &[u8], peers: &[SocketAddr]) {
    for peer in peers {
        // A word that does not get out is made good by the next one.
        let _ = socket.send_to(bytes, peer).await;
    }
}

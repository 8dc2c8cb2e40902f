//! A fault-injecting link: a TCP proxy with a control port.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::ends::Ends;
use crate::filter;
use crate::web::{run, status_only};

const CHUNK: usize = 16 << 10;

/// Faults that the link injects, set by `PUT /admin/mode`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Mode {
    /// Milliseconds by which every chunk is delayed, in both directions.
    pub delay_ms: u64,
    /// Reset all open connections and every new one.
    pub cut: bool,
    /// Forward nothing, but keep connections open.
    pub freeze: bool,
    /// Forward requests, discard their responses and reset the connection.
    pub swallow: bool,
    /// Do the same as `swallow`, but only for `PUT` requests.
    pub swallow_puts: bool,
    /// Discard `PUT` requests and reset the connection.
    pub drop_puts: bool,
    /// Reset a connection after this many bytes of responses; 0 disables.
    pub reset_after: usize,
    /// Refuse every new connection, and leave the open ones alone.
    pub refuse: bool,
    /// Send bytes that form no response, without end, instead of any response.
    pub endless_head: bool,
    /// Send such bytes after the first bytes of a response.
    pub endless_body: bool,
    /// Ids of the processes whose connections the faults affect; empty for all connections.
    pub processes: Vec<u32>,
    /// Discard the packets that open connections, as a network that is down does.
    pub drop: bool,
    /// Connections that were opened under a lower epoch forward nothing ever again, and stay
    /// open.
    pub epoch: u32,
    /// Addresses whose connections the faults affect; empty for all connections.
    pub sources: Vec<Ipv4Addr>,
}

impl Mode {
    /// Refuses every new connection, and leaves the open ones alone.
    pub fn refuse() -> Self {
        Mode {
            refuse: true,
            ..Mode::default()
        }
    }

    /// Resets all open connections and every new one.
    pub fn reset() -> Self {
        Mode {
            cut: true,
            ..Mode::default()
        }
    }

    /// Returns whether every new connection is refused, whoever opens it.
    fn refuses_all(&self) -> bool {
        self.refuse && self.processes.is_empty() && self.sources.is_empty()
    }

    /// Returns the faults that affect a connection.
    fn on(&self, ends: Ends) -> Mode {
        let is_listed = self.processes.is_empty() || ends.belong_to_any(&self.processes);
        let is_source = |ip: IpAddr| self.sources.iter().any(|source| ip == *source);
        let has_source = self.sources.is_empty() || is_source(ends.far.ip());
        match is_listed && has_source {
            true => self.clone(),
            false => Mode::default(),
        }
    }
}

/// Relays connections from `listener` to `to`; never returns. The control port
/// accepts a new [`Mode`] at any time.
pub async fn serve(listener: TcpListener, control: TcpListener, to: SocketAddr) {
    let mode = Arc::new(watch::Sender::new(Mode::default()));
    tokio::spawn(serve_control(control, mode.clone()));
    relay_all(listener, to, mode).await;
}

/// Relays connections from `listener` to `to` with the faults that `mode` holds; never
/// returns. While all new connections are refused, the address is closed.
pub async fn relay_all(listener: TcpListener, to: SocketAddr, mode: Arc<watch::Sender<Mode>>) {
    let Ok(near) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    let mut changes = mode.subscribe();
    loop {
        let is_closed = changes.borrow_and_update().refuses_all();
        listener = match listener {
            _ if is_closed => None,
            None => TcpListener::bind(near).await.ok(),
            open => open,
        };
        if let Some(listener) = &listener {
            let mode = changes.borrow();
            // Without the filter the connections are accepted, and no test takes that for a fault.
            let _ = filter::set(listener, mode.drop.then_some(&mode.sources));
        }
        tokio::select! {
            _ = changes.changed() => {}
            Some((stream, far)) = accept(listener.as_ref()) => {
                let ends = Ends { near, far };
                tokio::spawn(relay_with_faults(stream, ends, to, mode.subscribe()));
            }
        }
    }
}

/// Accepts a connection; returns `None` if that fails, and waits while there is no listener.
async fn accept(listener: Option<&TcpListener>) -> Option<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await.ok(),
        None => std::future::pending().await,
    }
}

async fn serve_control(control: TcpListener, mode: Arc<watch::Sender<Mode>>) {
    run(control, move |_, body| {
        let mode = mode.clone();
        async move {
            match serde_json::from_slice(&body) {
                Ok(new) => {
                    mode.send_replace(new);
                    status_only(StatusCode::OK)
                }
                Err(_) => status_only(StatusCode::BAD_REQUEST),
            }
        }
    })
    .await;
}

/// Relays one connection with the faults that affect it.
async fn relay_with_faults(
    stream: TcpStream,
    ends: Ends,
    to: SocketAddr,
    mut mode: watch::Receiver<Mode>,
) {
    let opened_in = mode.borrow().epoch;
    let faults = watch::Sender::new(mode.borrow_and_update().on(ends));
    let follow = async {
        let mut is_silent = false;
        while mode.changed().await.is_ok() {
            let mut now = mode.borrow_and_update().on(ends);
            is_silent |= now.epoch > opened_in;
            now.freeze |= is_silent;
            faults.send_replace(now);
        }
    };
    tokio::select! {
        () = relay(stream, to, faults.subscribe()) => {}
        () = follow => {}
    }
}

async fn relay(stream: TcpStream, to: SocketAddr, mode: watch::Receiver<Mode>) {
    let is_refused = mode.borrow().cut || mode.borrow().refuse;
    if is_refused {
        return reset(stream);
    }
    if mode.borrow().endless_head {
        let _ = send_endlessly(&mut { stream }).await;
        return;
    }
    let Ok(target) = TcpStream::connect(to).await else {
        return reset(stream);
    };
    let _ = stream.set_nodelay(true);
    let _ = target.set_nodelay(true);
    // Closes with a reset rather than a FIN, whichever way the relay stops.
    let _ = stream.set_zero_linger();
    let _ = target.set_zero_linger();
    let (near_in, near_out) = stream.into_split();
    let (far_in, far_out) = target.into_split();
    let put = AtomicBool::new(false);
    let mut cut = mode.clone();
    tokio::select! {
        _ = pump(near_in, far_out, mode.clone(), &put, false) => {}
        _ = pump(far_in, near_out, mode, &put, true) => {}
        _ = cut.wait_for(|m| m.cut) => {}
    }
}

/// Copies bytes in one direction until the end of the stream or a fault.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    put: &AtomicBool,
    answers: bool,
) -> io::Result<()> {
    let mut passed = 0;
    let mut chunk = vec![0; CHUNK];
    loop {
        let n = from.read(&mut chunk).await?;
        if n == 0 {
            return Ok(());
        }
        let now = mode.borrow().clone();
        if !answers {
            let is_put = chunk[..n].starts_with(b"PUT");
            put.store(is_put, Ordering::Relaxed);
            if is_put && now.drop_puts {
                return Ok(());
            }
        }
        if now.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(now.delay_ms)).await;
        }
        if mode.wait_for(|m| !m.freeze).await.is_err() {
            return Ok(());
        }
        let now = mode.borrow().clone();
        let swallow = now.swallow || now.swallow_puts && put.load(Ordering::Relaxed);
        if answers && swallow {
            return Ok(());
        }
        passed += n;
        if answers && now.reset_after > 0 && passed > now.reset_after {
            return Ok(());
        }
        to.write_all(&chunk[..n]).await?;
        if answers && now.endless_body {
            send_endlessly(&mut to).await?;
        }
    }
}

/// Sends bytes that form no response until the connection is closed.
async fn send_endlessly(to: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
    loop {
        to.write_all(&[b'x'; CHUNK]).await?;
    }
}

fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

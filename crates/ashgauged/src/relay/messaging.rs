//! Sockets for messages between boxes, and single datagrams.

use std::net::SocketAddr;

use ashgauge::query::Datagram;
use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, UdpSocket};

use super::codec;
use super::shared_state::SharedState;

/// Number of ports that are tried if the system chooses the port.
const MAX_BIND_TRIES: u32 = 32;

/// Sends one datagram; a failure is treated like a datagram lost on the network.
pub fn send(shared: &SharedState, to: SocketAddr, datagram: &Datagram) {
    let Some(bytes) = codec::encode(datagram) else {
        return;
    };
    if let Some(socket) = shared.permits.socket.get() {
        let _ = socket.try_send_to(&bytes, to);
    }
}

/// Binds the same port for datagrams and connections. If the system chooses the port, one
/// that is free for datagrams may be in use for connections, so other ports are tried.
pub async fn bind(addr: &str) -> Result<(UdpSocket, TcpListener)> {
    let hint = || format!("cannot listen for other boxes on {addr}; free the port or set another");
    let mut tries = match addr.ends_with(":0") {
        true => MAX_BIND_TRIES,
        false => 1,
    };
    loop {
        let socket = UdpSocket::bind(addr).await.wrap_err_with(hint)?;
        tries -= 1;
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(_) if tries > 0 => {}
            Err(e) => return Err(e).wrap_err_with(hint),
        }
    }
}

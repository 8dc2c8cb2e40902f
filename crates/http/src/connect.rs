//! Outgoing connections.

use std::io::{Error, ErrorKind, Result};
use std::net::{IpAddr, SocketAddr};
use std::sync::OnceLock;

use tokio::net::{TcpSocket, TcpStream, lookup_host};

static SOURCE: OnceLock<IpAddr> = OnceLock::new();

/// Sets the address from which the connections of this process are opened. Only the first call
/// has an effect; without it the system chooses the address.
pub fn set_source(source: IpAddr) {
    let _ = SOURCE.set(source);
}

/// Opens a connection to `addr`.
///
/// # Errors
///
/// Fails if the address cannot be resolved or reached.
pub async fn connect(addr: &str) -> Result<TcpStream> {
    match SOURCE.get() {
        Some(source) => connect_from(*source, addr).await,
        None => TcpStream::connect(addr).await,
    }
}

async fn connect_from(source: IpAddr, addr: &str) -> Result<TcpStream> {
    let mut found = lookup_host(addr).await?;
    let to = found.find(|to| to.is_ipv4() == source.is_ipv4());
    let to = to.ok_or_else(|| Error::from(ErrorKind::AddrNotAvailable))?;
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(to).await
}

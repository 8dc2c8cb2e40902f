//! Finds the process at the other end of a connection of this machine.

use std::net::{SocketAddr, SocketAddrV4};

use nix::sys::socket::{
    AddressFamily, MsgFlags, NetlinkAddr, SockFlag, SockProtocol, SockType, recv, sendto, socket,
};
use std::os::fd::AsRawFd;

/// Type of the kernel's message that asks for a socket (`SOCK_DIAG_BY_FAMILY`).
const SOCKET_QUERY: u16 = 20;

/// Flag of a message that is a request (`NLM_F_REQUEST`).
const REQUEST_FLAG: u16 = 1;

/// Address family IPv4 (`AF_INET`).
const IPV4: u8 = 2;

/// Protocol TCP (`IPPROTO_TCP`).
const TCP: u8 = 6;

/// Length of the query, with its header.
const QUERY_BYTES: u32 = 72;

/// Position of the inode in the kernel's reply.
const INODE_OFFSET: usize = 84;

/// Both ends of a connection of another process.
#[derive(Clone, Copy)]
pub struct Ends {
    /// Address of this end.
    pub near: SocketAddr,
    /// Address of the other end.
    pub far: SocketAddr,
}

impl Ends {
    /// Returns whether one of the processes has the socket at the far end.
    pub fn belong_to_any(self, processes: &[u32]) -> bool {
        let Some(inode) = self.far_inode() else {
            return false;
        };
        let link = format!("socket:[{inode}]");
        processes.iter().any(|process| has_file(*process, &link))
    }

    /// Asks the kernel for the inode of the socket at the far end.
    fn far_inode(self) -> Option<u32> {
        let (SocketAddr::V4(near), SocketAddr::V4(far)) = (self.near, self.far) else {
            return None;
        };
        let kernel = socket(
            AddressFamily::Netlink,
            SockType::Raw,
            SockFlag::SOCK_CLOEXEC,
            SockProtocol::NetlinkSockDiag,
        );
        let kernel = kernel.ok()?;
        let query = socket_query(far, near);
        let to = NetlinkAddr::new(0, 0);
        sendto(kernel.as_raw_fd(), &query, &to, MsgFlags::empty()).ok()?;
        let mut reply = [0; 512];
        let len = recv(kernel.as_raw_fd(), &mut reply, MsgFlags::empty()).ok()?;
        let kind = u16::from_ne_bytes([reply[4], reply[5]]);
        let inode = reply[..len].get(INODE_OFFSET..INODE_OFFSET + 4)?;
        let inode = u32::from_ne_bytes(inode.try_into().ok()?);
        (kind == SOCKET_QUERY).then_some(inode)
    }
}

/// Returns whether a process has an open file whose link in `/proc` is `link`.
fn has_file(process: u32, link: &str) -> bool {
    let files = std::fs::read_dir(format!("/proc/{process}/fd"));
    let mut files = files.into_iter().flatten().flatten();
    files.any(|file| std::fs::read_link(file.path()).is_ok_and(|to| to.as_os_str() == link))
}

/// Builds the query for a TCP socket by its own and its peer's address.
fn socket_query(own: SocketAddrV4, peer: SocketAddrV4) -> Vec<u8> {
    let mut query = Vec::with_capacity(QUERY_BYTES as usize);
    query.extend(QUERY_BYTES.to_ne_bytes());
    query.extend(SOCKET_QUERY.to_ne_bytes());
    query.extend(REQUEST_FLAG.to_ne_bytes());
    // Sequence number and sender, which the kernel only echoes.
    query.extend([0; 8]);
    query.extend([IPV4, TCP, 0, 0]);
    let any_state = u32::MAX;
    query.extend(any_state.to_ne_bytes());
    query.extend(own.port().to_be_bytes());
    query.extend(peer.port().to_be_bytes());
    for addr in [own, peer] {
        query.extend(addr.ip().octets());
        query.extend([0; 12]);
    }
    // Any interface, and no cookie.
    query.extend([0; 4]);
    query.extend([u8::MAX; 8]);
    query
}

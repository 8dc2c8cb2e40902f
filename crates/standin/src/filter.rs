//! Discards packets that arrive at a listener.

use std::io;
use std::net::Ipv4Addr;

use socket2::{SockFilter, SockRef};
use tokio::net::TcpListener;

/// Loads a word of the packet (`BPF_LD | BPF_W | BPF_ABS`).
const LOAD_WORD: u16 = 0x20;

/// Jumps if the word equals a constant (`BPF_JMP | BPF_JEQ | BPF_K`).
const JUMP_EQUAL: u16 = 0x15;

/// Ends with the number of bytes to keep (`BPF_RET | BPF_K`).
const RETURN: u16 = 0x06;

/// Position of the source address from the start of the IPv4 header (`SKF_NET_OFF`).
const SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;

/// Discards the packets from `sources`, or from everywhere if there are none; `None` discards
/// nothing.
///
/// # Errors
///
/// Fails if the system does not accept the filter, which has one instruction for each source.
pub fn set(listener: &TcpListener, sources: Option<&Vec<Ipv4Addr>>) -> io::Result<()> {
    let socket = SockRef::from(listener);
    match sources {
        Some(sources) => socket.attach_filter(&program(sources)),
        None => socket.detach_filter(),
    }
}

fn program(sources: &[Ipv4Addr]) -> Vec<SockFilter> {
    let discard = SockFilter::new(RETURN, 0, 0, 0);
    if sources.is_empty() {
        return vec![discard];
    }
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
    for (n, source) in sources.iter().enumerate() {
        // Over the remaining comparisons and the end that keeps the packet.
        let to_discard = (sources.len() - n) as u8;
        program.push(SockFilter::new(JUMP_EQUAL, to_discard, 0, (*source).into()));
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program.push(discard);
    program
}

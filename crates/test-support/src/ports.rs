//! Free ports on the loopback address.

use std::net::{SocketAddr, TcpListener};

/// As many free addresses. They are all held at once and then let go, so that they differ.
///
/// # Panics
/// When the machine has no free ports.
#[must_use]
pub fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let listen = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<_> = (0..count).map(listen).collect();
    let addr = |listener: &TcpListener| listener.local_addr().expect("a bound address");
    listeners.iter().map(addr).collect()
}

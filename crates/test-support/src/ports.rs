//! Addresses of the loopback network that nothing else uses.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::ops::Range;

use rand::Rng;

/// The ports given out, which are below those that connections going out take.
const PORTS: Range<u16> = 2_000..15_000;

/// As many free addresses, with a loopback IP number of their own.
///
/// A port on which a process listens for all IP numbers is found by connecting to it. Nothing is bound to find out,
/// because a port that was bound and let go is not always free again at once.
///
/// # Panics
/// When more are asked for than there are ports.
#[must_use]
pub fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let mut rng = rand::rng();
    let mut octet = || rng.random_range(1..=250);
    let ip = Ipv4Addr::new(127, octet(), octet(), octet());
    let addrs = PORTS.map(|port| SocketAddr::from((ip, port)));
    let is_free = |addr: &SocketAddr| TcpStream::connect(addr).is_err();
    let free: Vec<_> = addrs.filter(is_free).take(count).collect();
    assert_eq!(free.len(), count, "not enough free ports");
    free
}

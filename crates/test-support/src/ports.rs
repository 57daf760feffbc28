//! Addresses of the loopback network that nothing else uses.

use std::net::{Ipv4Addr, SocketAddr};

use rand::Rng;

/// The first port given out. The ports are below those that connections going out take.
const FIRST_PORT: u16 = 2_000;

/// As many free addresses, with a loopback IP number of their own.
///
/// Nothing is bound to find out: a port that was bound and let go is not always free again at once.
///
/// # Panics
/// When more are asked for than there are ports.
#[must_use]
pub fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let mut rng = rand::rng();
    let mut octet = || rng.random_range(1..=250);
    let ip = Ipv4Addr::new(127, octet(), octet(), octet());
    let last_port = FIRST_PORT + u16::try_from(count).expect("as many ports as there are");
    (FIRST_PORT..last_port)
        .map(|port| SocketAddr::from((ip, port)))
        .collect()
}

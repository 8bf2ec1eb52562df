//! Loopback addresses that no other test uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// Fleets started by this process.
static FLEETS: AtomicU8 = AtomicU8::new(0);

/// Hosts that a fleet may use while a process has more than 16 fleets.
const HOSTS_PER_FLEET: u8 = 31;

/// Hands out addresses under one prefix of 127.0.0.0/8.
///
/// The prefix comes from the process id and a counter, so tests that run side by side cannot
/// take each other's ports, and no port has to be guessed free.
#[derive(Debug)]
pub struct Hosts {
    prefix: [u8; 3],
    last: u8,
}

impl Default for Hosts {
    fn default() -> Self {
        let pid = std::process::id();
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        // 127.0.x.x is left to people and the embedded default.
        let b = 1 + (pid % 250) as u8;
        let c = ((pid / 250) % 16) as u8 * 16 + fleet % 16;
        Self {
            prefix: [127, b, c],
            last: fleet / 16 % 8 * HOSTS_PER_FLEET,
        }
    }
}

impl Hosts {
    /// A host not handed out before.
    pub fn host(&mut self) -> IpAddr {
        self.last += 1;
        let [a, b, c] = self.prefix;
        IpAddr::V4(Ipv4Addr::new(a, b, c, self.last))
    }

    /// An address on a host of its own.
    pub fn addr(&mut self, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(), port)
    }
}

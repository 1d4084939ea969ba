//! Addresses and ports of a site that nothing else on this host uses.

use anyhow::Context;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports are drawn from here on: above those of usual services, below those that the kernel gives out.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// Ports that are tried before it is given up.
const TRIES: usize = 200;

/// Values of the second and third part of a site's addresses; 0 is left to others.
const BLOCKS: u32 = 250;

/// Sites begun by this process.
static SITES: AtomicU32 = AtomicU32::new(0);

/// The addresses of one site: 127.A.B.1 to 127.A.B.254, with A and B of its own.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AddressBlock {
    second: u8,
    third: u8,
}

impl AddressBlock {
    /// A block that no other site of this host is likely to have.
    pub(crate) fn new() -> AddressBlock {
        let number = std::process::id().wrapping_mul(31).wrapping_add(SITES.fetch_add(1, Ordering::SeqCst));
        let part = |value: u32| u8::try_from(1 + value % BLOCKS).unwrap_or(1);
        AddressBlock { second: part(number), third: part(number / BLOCKS) }
    }

    /// The address with this last part.
    pub(crate) fn address(self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, last)
    }
}

/// A port that is free at all these addresses, and none of those already taken.
///
/// # Errors
/// None was found.
pub(crate) fn free_port(addresses: &[Ipv4Addr], taken: &[u16]) -> anyhow::Result<u16> {
    let is_free = |port: &u16| {
        !taken.contains(port)
            && addresses.iter().all(|ip| TcpListener::bind(SocketAddr::from((*ip, *port))).is_ok())
    };
    let mut drawn = std::iter::repeat_with(|| fastrand::u16(PORTS)).take(TRIES);
    drawn.find(is_free).context("no free port was found")
}

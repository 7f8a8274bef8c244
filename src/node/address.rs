//! Replica ids. The id of a replica encodes its address, so that one follows from the other.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::control::log::ReplicaId;

/// Number of low bits of an id that hold the port; the IPv4 address is above them.
const PORT_BITS: u32 = 16;

/// Returns the id of the replica at an address.
///
/// ```
/// use fulmardrift::{replica_address, replica_id};
/// let address = "10.1.0.17:7720".parse().unwrap();
/// assert_eq!(replica_address(replica_id(address)), address);
/// ```
#[must_use]
pub fn replica_id(address: SocketAddrV4) -> ReplicaId {
    let ip = u64::from(u32::from(*address.ip()));
    ReplicaId((ip << PORT_BITS) | u64::from(address.port()))
}

/// Address at which a process listens that others reach at `address`.
pub(crate) fn listen_address(address: SocketAddrV4, bind_ip: Option<Ipv4Addr>) -> SocketAddrV4 {
    SocketAddrV4::new(bind_ip.unwrap_or(*address.ip()), address.port())
}

/// Returns the address of a replica.
#[must_use]
pub fn replica_address(id: ReplicaId) -> SocketAddrV4 {
    let port = u16::try_from(id.0 & u64::from(u16::MAX)).unwrap_or_default();
    let ip = u32::try_from(id.0 >> PORT_BITS).unwrap_or_default();
    SocketAddrV4::new(Ipv4Addr::from(ip), port)
}

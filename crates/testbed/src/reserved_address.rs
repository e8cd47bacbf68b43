//! Loopback addresses whose ports stay reserved until a host listens on them.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

use eyre::{Result, WrapErr};
use socket2::{Domain, Protocol, Socket, Type};

/// Number of ports that are tried before reserving fails.
const TRIES_MAX: u32 = 64;

/// A loopback address that the system gives to no other socket while this value exists.
///
/// Its socket is bound with `SO_REUSEADDR` and does not listen, so that another process can listen
/// on the address explicitly, also repeatedly, and connections are refused while none does.
#[derive(Debug)]
pub struct ReservedAddress {
    /// Holds the TCP port.
    socket: Socket,
    address: SocketAddr,
}

impl ReservedAddress {
    /// Reserves a port that is free for both TCP and UDP.
    ///
    /// # Errors
    ///
    /// Fails when no port is free or the socket cannot be created.
    pub fn new() -> Result<Self> {
        for _ in 0..TRIES_MAX {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
            socket.set_reuse_address(true)?;
            let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            socket.bind(&any_port.into()).wrap_err("no loopback port is free")?;
            let address = socket.local_addr()?.as_socket();
            let address = address.ok_or_else(|| eyre::eyre!("the socket has no IP address"))?;
            if UdpSocket::bind(address).is_ok() {
                return Ok(Self { socket, address });
            }
        }
        Err(eyre::eyre!("no loopback port is free for both TCP and UDP"))
    }

    /// Returns the reserved address.
    pub fn get(&self) -> SocketAddr {
        self.address
    }

    /// Gives the port back to the system.
    pub fn close(self) {
        drop(self.socket);
    }
}

//! A TCP proxy that injects faults into the connections that it forwards.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::runtime::spawn_system;

const BUFFER_BYTES: usize = 64 * 1024;
/// Interval at which a connection checks whether its bytes are still held or it has to be closed.
const HOLD_INTERVAL: Duration = Duration::from_millis(5);

/// Fault injected into all connections through a proxy; the default forwards unchanged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkFault {
    /// Whether bytes to the side that accepted the connection are held back.
    pub hold_to_server: bool,
    /// Whether bytes to the side that opened the connection are held back.
    pub hold_to_client: bool,
    /// Whether open connections are closed, and new ones are closed without being forwarded.
    pub reset: bool,
    /// The delay before the bytes of each read are forwarded, in both directions.
    pub delay: Duration,
}

/// A TCP proxy that injects faults. Its fault can be changed while connections are open.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
}

impl FaultProxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port is free.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(LinkFault::default()));
        let shared = Arc::clone(&fault);
        spawn_system("fault-proxy", move || accept(listener, target, shared));
        Ok(Self { address, fault })
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault, which applies at once to open and new connections.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

async fn accept(listener: std::net::TcpListener, target: SocketAddr, fault: Arc<Mutex<LinkFault>>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((client, _)) = listener.accept().await {
        if current_fault(&fault).reset {
            continue;
        }
        let fault = Arc::clone(&fault);
        actix_rt::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                forward_both_ways(client, server, fault).await;
            }
        });
    }
}

async fn forward_both_ways(client: TcpStream, server: TcpStream, fault: Arc<Mutex<LinkFault>>) {
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let client_to_server =
        forward(client_read, server_write, Arc::clone(&fault), |fault| fault.hold_to_server);
    let server_to_client =
        forward(server_read, client_write, Arc::clone(&fault), |fault| fault.hold_to_client);
    tokio::select! {
        () = client_to_server => {}
        () = server_to_client => {}
        () = wait_for_reset(&fault) => {}
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    fault: Arc<Mutex<LinkFault>>,
    held: fn(&LinkFault) -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        while held(&current_fault(&fault)) {
            actix_rt::time::sleep(HOLD_INTERVAL).await;
        }
        let delay = current_fault(&fault).delay;
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}

async fn wait_for_reset(fault: &Arc<Mutex<LinkFault>>) {
    while !current_fault(fault).reset {
        actix_rt::time::sleep(HOLD_INTERVAL).await;
    }
}

fn current_fault(fault: &Arc<Mutex<LinkFault>>) -> LinkFault {
    *fault.lock().unwrap_or_else(PoisonError::into_inner)
}

//! A TCP proxy that injects faults into the connections through it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::runtime::spawn_system;

const BUFFER_BYTES: usize = 64 * 1024;
/// How often a held connection looks whether it may go on.
const HOLD_INTERVAL: Duration = Duration::from_millis(5);

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkFault {
    /// Bytes from the side that opened the connection are held back.
    pub hold_forward: bool,
    /// Bytes from the side that accepted the connection are held back.
    pub hold_back: bool,
    /// New connections are reset, and open ones are closed.
    pub reset: bool,
    /// Each read is delayed by this time.
    pub delay: Duration,
}

/// A TCP proxy that injects faults. Its fault can be switched while connections are open.
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
    /// When no port is free.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(LinkFault::default()));
        let shared = Arc::clone(&fault);
        spawn_system("fault-proxy", move || accept(listener, target, shared));
        Ok(Self { address, fault })
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches the fault.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

async fn accept(listener: std::net::TcpListener, target: SocketAddr, fault: Arc<Mutex<LinkFault>>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((near, _)) = listener.accept().await {
        if current(&fault).reset {
            continue;
        }
        let fault = Arc::clone(&fault);
        actix_rt::spawn(async move {
            if let Ok(far) = TcpStream::connect(target).await {
                link(near, far, fault).await;
            }
        });
    }
}

async fn link(near: TcpStream, far: TcpStream, fault: Arc<Mutex<LinkFault>>) {
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let forward = pump(near_in, far_out, Arc::clone(&fault), |fault| fault.hold_forward);
    let back = pump(far_in, near_out, Arc::clone(&fault), |fault| fault.hold_back);
    tokio::select! {
        () = forward => {}
        () = back => {}
        () = until_reset(&fault) => {}
    }
}

async fn pump(
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
        while held(&current(&fault)) {
            actix_rt::time::sleep(HOLD_INTERVAL).await;
        }
        let delay = current(&fault).delay;
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}

async fn until_reset(fault: &Arc<Mutex<LinkFault>>) {
    while !current(fault).reset {
        actix_rt::time::sleep(HOLD_INTERVAL).await;
    }
}

fn current(fault: &Arc<Mutex<LinkFault>>) -> LinkFault {
    *fault.lock().unwrap_or_else(PoisonError::into_inner)
}

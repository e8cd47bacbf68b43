//! Sending batches to peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use ebonytack_core::{Batch, HostId};
use ebonytack_wire::{FleetSecret, encode_batch, peer_capnp};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Batches that wait for one peer; what comes on top is lost.
const QUEUE_MAX: usize = 256;
/// Batches that a peer has not confirmed.
const UNCONFIRMED_MAX: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer may take to confirm before its connection is given up.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a peer that could not be reached is left alone.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The connections to all peers that this host talks to.
pub(crate) struct PeerLinks {
    secret: FleetSecret,
    links: RefCell<HashMap<HostId, (SocketAddr, mpsc::Sender<Batch>)>>,
}

impl PeerLinks {
    /// Creates links whose batches are signed with this secret.
    pub(crate) fn new(secret: &str) -> Self {
        Self { secret: FleetSecret::new(secret), links: RefCell::default() }
    }

    /// Sends a batch, or loses it when the peer cannot keep up.
    pub(crate) fn send(&self, address: SocketAddr, batch: Batch) {
        let mut links = self.links.borrow_mut();
        let open =
            links.get(&batch.to).filter(|(at, sender)| *at == address && !sender.is_closed());
        if open.is_none() {
            let (sender, receiver) = mpsc::channel(QUEUE_MAX);
            actix_rt::spawn(run_link(self.secret.clone(), address, receiver));
            links.insert(batch.to, (address, sender));
        }
        if let Some((_, sender)) = links.get(&batch.to)
            && sender.try_send(batch).is_err()
        {
            metrics::counter!("ebonytack_peer_batches_lost_total").increment(1);
        }
    }
}

/// Sends the batches of one peer until it is no longer needed.
async fn run_link(secret: FleetSecret, address: SocketAddr, mut batches: mpsc::Receiver<Batch>) {
    while let Ok(Some(first)) = actix_rt::time::timeout(IDLE_TIMEOUT, batches.recv()).await {
        let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        if let Ok(Ok(stream)) = connecting.await
            && stream.set_nodelay(true).is_ok()
        {
            run_connection(&secret, stream, first, &mut batches).await;
        } else {
            actix_rt::time::sleep(RECONNECT_PAUSE).await;
            while batches.try_recv().is_ok() {}
        }
    }
}

/// Sends batches over one connection until it fails or goes silent.
async fn run_connection(
    secret: &FleetSecret,
    stream: TcpStream,
    first: Batch,
    batches: &mut mpsc::Receiver<Batch>,
) {
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Client,
        Default::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let peer: peer_capnp::peer::Client = system.bootstrap(Side::Server);
    let system = actix_rt::spawn(system);
    let mut unconfirmed = FuturesUnordered::new();
    unconfirmed.push(deliver(secret, &peer, &first));
    loop {
        tokio::select! {
            batch = batches.recv(), if unconfirmed.len() < UNCONFIRMED_MAX => match batch {
                Some(batch) => unconfirmed.push(deliver(secret, &peer, &batch)),
                None => break,
            },
            confirmed = unconfirmed.next(), if !unconfirmed.is_empty() => {
                if confirmed != Some(true) {
                    break;
                }
            }
        }
    }
    system.abort();
}

/// Sends one batch; resolves to whether the peer confirmed it in time.
fn deliver(
    secret: &FleetSecret,
    peer: &peer_capnp::peer::Client,
    batch: &Batch,
) -> impl Future<Output = bool> + use<> {
    let bytes = encode_batch(batch);
    let signature = secret.sign(&bytes);
    let mut request = peer.deliver_request();
    let mut params = request.get();
    params.set_batch(&bytes);
    params.set_signature(&signature);
    metrics::counter!("ebonytack_peer_sent_bytes_total").increment(bytes.len() as u64);
    let sending = request.send().promise;
    async move { matches!(actix_rt::time::timeout(CONFIRM_TIMEOUT, sending).await, Ok(Ok(_))) }
}

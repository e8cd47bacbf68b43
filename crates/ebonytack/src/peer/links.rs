//! Sends batches to peers over Cap'n Proto RPC.

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

/// The most batches that may wait for one peer. Further batches are dropped.
const QUEUE_MAX: usize = 256;
/// The most batches that may be sent to a peer without its confirmation.
const UNCONFIRMED_MAX: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer may take to confirm a batch before its connection is closed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause after a failed connect, after which the batches queued so far are dropped.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long a peer's task waits for a batch before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The queues of batches for this host's peers, and the connections that send them.
pub(crate) struct PeerLinks {
    secret: FleetSecret,
    /// The address and queue of each peer, created at the first batch.
    links: RefCell<HashMap<HostId, (SocketAddr, mpsc::Sender<Batch>)>>,
}

impl PeerLinks {
    /// Creates links that sign batches with the fleet's secret.
    pub(crate) fn new(secret: &str) -> Self {
        Self { secret: FleetSecret::new(secret), links: RefCell::default() }
    }

    /// Queues a batch, or drops and counts it when the queue is full.
    pub(crate) fn send(&self, address: SocketAddr, batch: Batch) {
        let mut links = self.links.borrow_mut();
        let open_link =
            links.get(&batch.to).filter(|(at, sender)| *at == address && !sender.is_closed());
        if open_link.is_none() {
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

/// Sends the batches of one peer. Ends when the queue is closed or stays empty for
/// [`IDLE_TIMEOUT`].
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

/// Sends batches over one connection until a batch is not confirmed or the queue is closed.
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

/// Signs and sends one batch. The future resolves to whether the peer confirmed it in time.
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

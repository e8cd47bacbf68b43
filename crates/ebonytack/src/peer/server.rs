//! Receives batches from peers over Cap'n Proto RPC.

use std::net::SocketAddr;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use ebonytack_core::Event;
use ebonytack_wire::{FleetSecret, decode_batch, peer_capnp};
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::runtime::{ConnectionTask, Shell};

/// Returns the handler for peers' connections.
pub(crate) fn service(
    shell: &Rc<Shell>,
) -> impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static {
    let secret = FleetSecret::new(&shell.settings.fleet_secret);
    let receiver = Receiver { shell: Rc::clone(shell), secret };
    let client: peer_capnp::peer::Client = capnp_rpc::new_client(receiver);
    move |stream, _| {
        let client = client.clone();
        Box::pin(async move {
            let (reader, writer) = stream.into_split();
            let network = twoparty::VatNetwork::new(
                reader.compat(),
                writer.compat_write(),
                Side::Server,
                Default::default(),
            );
            // An error ends only this connection; the peer opens another.
            let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
        })
    }
}

/// Verifies batches from peers and feeds them to the reducer.
struct Receiver {
    shell: Rc<Shell>,
    secret: FleetSecret,
}

impl peer_capnp::peer::Server for Receiver {
    async fn deliver(
        self: Rc<Self>,
        params: peer_capnp::peer::DeliverParams,
        _results: peer_capnp::peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let bytes = params.get_batch()?;
        let verified =
            self.secret.verify(bytes, params.get_signature()?).and_then(|()| decode_batch(bytes));
        match verified {
            Ok(batch) => {
                self.shell.feed(Event::Peer(batch));
                Ok(())
            }
            Err(error) => {
                let kind = error.kind().name();
                metrics::counter!("ebonytack_peer_refusals_total", "kind" => kind).increment(1);
                log::warn!("peer: rejected a batch: {error}.");
                Err(capnp::Error::failed(error.to_string()))
            }
        }
    }
}

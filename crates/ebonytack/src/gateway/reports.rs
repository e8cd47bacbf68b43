//! Sends and receives reports as UDP datagrams. A lost report is not sent again; the next one
//! replaces it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonytack_gateway::{Event, Report};
use ebonytack_wire::{FleetSecret, REPORT_MAX_BYTES, decode_report, encode_report};
use eyre::{Result, WrapErr};
use tokio::net::UdpSocket;

use super::shell::GatewayShell;

/// The pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// A UDP socket whose reports are authenticated with the fleet secret.
#[derive(Clone)]
pub(super) struct ReportSocket {
    socket: Rc<UdpSocket>,
    secret: FleetSecret,
}

impl ReportSocket {
    /// Binds the socket to `address`.
    pub(super) async fn open(address: SocketAddr, secret: FleetSecret) -> Result<Self> {
        let socket =
            UdpSocket::bind(address).await.wrap_err(format!("cannot listen on {address}"))?;
        Ok(Self { socket: Rc::new(socket), secret })
    }

    /// Sends a report to all of `to`. Datagrams that cannot be sent at once are dropped and
    /// counted.
    pub(super) fn send(&self, to: &[SocketAddr], report: &Report) {
        let datagram = match encode_report(report, &self.secret) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!("report: cannot encode: {error}.");
                return;
            }
        };
        for address in to {
            let sent = self.socket.try_send_to(&datagram, *address);
            let result = if sent.is_ok() { "sent" } else { "lost" };
            metrics::counter!("ebonytack_reports_total", "result" => result).increment(1);
        }
    }

    /// Receives peers' reports and feeds them to the reducer. Never returns.
    pub(super) async fn receive_loop(self, shell: Rc<GatewayShell>) {
        let mut buffer = vec![0; REPORT_MAX_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match decode_report(&buffer[..length], &self.secret) {
                    Ok(report) => shell.feed(Event::Report(report)),
                    Err(error) => {
                        let kind = error.kind().name();
                        metrics::counter!("ebonytack_peer_refusals_total", "kind" => kind)
                            .increment(1);
                        log::warn!("report: rejected a datagram from {from}: {error}.");
                    }
                },
                // An earlier datagram reached a closed port (ICMP); the socket remains usable.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    log::warn!("report: cannot receive: {error}.");
                    tokio::time::sleep(RECEIVE_PAUSE).await;
                }
            }
        }
    }
}

//! Closes callers' connections without losing the responses that are under way.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::delivery::Delivery;

/// How long a caller that has received its responses may take to close its side.
const CLOSE_TIME: Duration = Duration::from_secs(1);
const BUFFER_BYTES: usize = 4 * 1024;

/// Closes the write side, and discards what the caller still sends until it closes its side too. A
/// connection that is closed while such bytes arrive is reset, and the kernel drops what the caller
/// has not received. Gives up when the caller must have received everything.
pub(in crate::gateway) async fn close_after_delivery(mut stream: TcpStream, delivery: Delivery) {
    let limit = delivery.time_left(Instant::now()) + CLOSE_TIME;
    let closed_by_caller = async {
        let mut buffer = [0; BUFFER_BYTES];
        // Fails when the caller has reset the connection.
        if stream.shutdown().await.is_ok() {
            while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
        }
    };
    // Whether the caller has closed its side no longer matters then.
    let _ = tokio::time::timeout(limit, closed_by_caller).await;
}

//! Tests of callers that read their responses slowly, but all the time.

use std::time::{Duration, Instant};

use ebonytack_stand_in::Behaviour;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::host::{Fixture, KEY};

const BODY_BYTES: usize = 300_000;
/// With it the host limits what the kernel holds for a connection.
const MEMORY: &str = r#""memory_mb": 260,"#;
/// How long a caller waits for the next bytes.
const SILENCE_MAX: Duration = Duration::from_secs(10);

/// A caller that limits how fast it reads.
struct SlowCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl SlowCaller {
    async fn start(fixture: &Fixture, receive_buffer_bytes: u32) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(receive_buffer_bytes).expect("a buffer size");
        let stream = socket.connect(fixture.host.callers).await.expect("a connection");
        Self { stream, received: Vec::new() }
    }

    async fn send_order(&mut self, id: &str) {
        let head = format!(
            "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-ebonytack-request-id: {id}\r\n\
             x-ebonytack-credential: {KEY}\r\nx-ebonytack-deadline-ms: 10000\r\n\
             content-length: 0\r\n\r\n"
        );
        self.stream.write_all(head.as_bytes()).await.expect("the order is sent");
    }

    /// Reads at `bytes_per_s` for `time`, or until the body of a response is complete.
    async fn read(&mut self, bytes_per_s: f64, time: Duration) -> std::io::Result<()> {
        let (started_at, before) = (Instant::now(), self.received.len());
        let mut buffer = [0; 2 * 1024];
        while started_at.elapsed() < time && !self.has_whole_body() {
            let read_bytes = self.received.len() - before;
            if read_bytes as f64 > started_at.elapsed().as_secs_f64() * bytes_per_s {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
            let read = tokio::time::timeout(SILENCE_MAX, self.stream.read(&mut buffer)).await;
            match read? {
                Ok(0) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn has_whole_body(&self) -> bool {
        let head_end = self.received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        head_end.is_some_and(|end| self.received.len() >= end + 4 + BODY_BYTES)
    }
}

/// Guards against a caller that is cut off although it reads all the time: the kernel takes more bytes
/// only when a good part of its buffers has become free.
#[actix_rt::test]
async fn caller_that_reads_slowly_without_a_pause_receives_its_response() {
    let large = Behaviour::AnswerLarge(BODY_BYTES);
    let fixture = Fixture::start_with("reading", &[large], MEMORY).await;
    let mut caller = SlowCaller::start(&fixture, 32 * 1024).await;
    caller.send_order("o-1").await;
    let slow = caller.read(5_000.0, Duration::from_millis(6_500)).await;
    let fast = caller.read(f64::MAX, SILENCE_MAX).await;
    let received = caller.received.len();
    assert!(slow.is_ok() && fast.is_ok(), "{received} bytes, {slow:?}, {fast:?}");
    assert!(caller.has_whole_body(), "{received} bytes");
}

/// Guards against a response that is lost in the buffers of the kernel when a stopping host exits, or
/// when what its caller has sent ahead resets the connection.
#[actix_rt::test]
async fn stopping_host_delivers_the_response_of_a_caller_that_sends_ahead() {
    let large = Behaviour::AnswerLarge(BODY_BYTES);
    let mut fixture = Fixture::start_with("ahead", &[large], MEMORY).await;
    let mut caller = SlowCaller::start(&fixture, 16 * 1024).await;
    caller.send_order("o-1").await;
    caller.read(75_000.0, Duration::from_millis(200)).await.expect("the response begins");
    fixture.host.signal(Signal::SIGTERM);
    let stopped_at = Instant::now();
    caller.read(75_000.0, Duration::from_millis(3_300)).await.expect("the response goes on");
    caller.send_order("o-2").await;
    let rest = caller.read(75_000.0, SILENCE_MAX).await;
    let received = caller.received.len();
    assert!(rest.is_ok() && caller.has_whole_body(), "{received} bytes, {rest:?}");
    assert_eq!(fixture.run_count("o-2"), 0, "what was sent ahead is left for another connection");
    drop(caller);
    // The host does not wait longer than for its caller.
    let left = Duration::from_millis(5_500).saturating_sub(stopped_at.elapsed());
    assert!(fixture.host.wait_for_exit(left).await, "the host exits when its caller has closed");
}

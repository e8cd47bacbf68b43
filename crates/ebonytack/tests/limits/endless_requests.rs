//! Callers whose requests have no end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ebonytack_stand_in::Caller;
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::host::{FAST, KEY};
use crate::limited_host::{LimitedHost, SMALL};

const CROWD: usize = 20;
/// The deadline that the callers state for themselves.
const DEADLINE: Duration = Duration::from_secs(2);
/// The time for a head or a body (3.5 s and the deadline), with that for closing the connection (2 s)
/// and the interval of the checks.
const OPEN_MAX: Duration = Duration::from_secs(7);
const PIECE_BYTES: usize = 16 * 1024;

/// Which part of a request has no end.
#[derive(Clone, Copy, Debug)]
enum Endless {
    Target,
    HeaderValue,
    HeaderLines,
    ChunkExtension,
    ChunkSize,
    Chunks,
    Trailers,
    EmptyLines,
    Garbage,
}

const KINDS: [Endless; 9] = [
    Endless::Target,
    Endless::HeaderValue,
    Endless::HeaderLines,
    Endless::ChunkExtension,
    Endless::ChunkSize,
    Endless::Chunks,
    Endless::Trailers,
    Endless::EmptyLines,
    Endless::Garbage,
];

impl Endless {
    /// Returns how the request begins and what is repeated after that.
    fn parts(self) -> (String, &'static str) {
        let head = format!(
            "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-ebonytack-request-id: endless\r\n\
             x-ebonytack-credential: {KEY}\r\nx-ebonytack-deadline-ms: {}\r\n",
            DEADLINE.as_millis()
        );
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::Target => ("POST /order/".to_owned(), "x"),
            Self::HeaderValue => (format!("{head}x-filler: "), "x"),
            Self::HeaderLines => (head, "x-filler: x\r\n"),
            Self::ChunkExtension => (format!("{chunked}5;"), "x"),
            Self::ChunkSize => (chunked, "0"),
            Self::Chunks => (chunked, "1\r\nx\r\n"),
            Self::Trailers => (format!("{chunked}0\r\n"), "x-trailer: x\r\n"),
            Self::EmptyLines => (String::new(), "\r\n"),
            Self::Garbage => (String::new(), "\0no request\r\n"),
        }
    }
}

/// Writes an endless request until the host closes the connection; returns how long it was open. With a
/// pause the bytes come one at a time.
async fn send_endlessly(address: SocketAddr, kind: Endless, pause: Duration) -> Duration {
    let (start, repeated) = kind.parts();
    let stream = TcpStream::connect(address).await.expect("a connection");
    let opened_at = Instant::now();
    let (mut reader, mut writer) = stream.into_split();
    let writing = async {
        let mut result = writer.write_all(start.as_bytes()).await;
        let piece = repeated.repeat(PIECE_BYTES / repeated.len());
        let mut bytes = repeated.bytes().cycle();
        while result.is_ok() {
            result = match bytes.next().filter(|_| !pause.is_zero()) {
                Some(byte) => {
                    tokio::time::sleep(pause).await;
                    writer.write_all(&[byte]).await
                }
                None => writer.write_all(piece.as_bytes()).await,
            };
        }
    };
    let reading = async {
        // A response may come before the end of the connection.
        while reader.read(&mut [0; 4_096]).await.is_ok_and(|count| count > 0) {}
    };
    let ended = async { tokio::join!(writing, reading) };
    let _ = tokio::time::timeout(OPEN_MAX + Duration::from_secs(2), ended).await;
    opened_at.elapsed()
}

/// Guards against requests without end, at full speed or a byte at a time, that hold memory or their
/// connection, or take the host from ordinary callers.
#[actix_rt::test]
async fn endless_requests_of_callers() {
    for pause in [Duration::ZERO, Duration::from_millis(100)] {
        let mut host = LimitedHost::start("requests", SMALL, &[FAST, FAST]).await;
        let address = host.callers();
        let crowd = KINDS.iter().map(|kind| async move {
            // Each in a task of its own: in a shared one they leave no turns to the ordinary caller.
            let senders =
                (0..CROWD).map(|_| actix_rt::spawn(send_endlessly(address, *kind, pause)));
            let open = join_all(senders).await.into_iter().map(|open| open.expect("a time"));
            (*kind, open.max().expect("a caller"))
        });
        let ordinary = async {
            let mut caller = Caller::new(address);
            let mut statuses = Vec::new();
            for number in 0..20 {
                let id = format!("ordinary-{number}");
                let response = caller.send("/lookup/1", &id, KEY, 2_000).await;
                statuses.push(response.map(|response| response.status.as_u16()).ok());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            statuses
        };
        let (open, statuses) = tokio::join!(join_all(crowd), ordinary);
        println!("pause {pause:?}: {open:?}");
        assert_eq!(statuses, [Some(200); 20], "ordinary callers are served");
        for (kind, open) in open {
            assert!(open < OPEN_MAX, "{kind:?}, pause {pause:?}: open for {open:?}");
        }
        host.check().await;
    }
}

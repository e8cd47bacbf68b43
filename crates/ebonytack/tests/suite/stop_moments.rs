//! A planned stop at many moments of a load, with what may come beside it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonytack_core::Random;
use ebonytack_stand_in::Behaviour;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::host::{Fixture, KEY};

const SEEDS: u64 = 20;
const GRACE: Duration = Duration::from_secs(6);
/// How long callers go on after SIGTERM.
const LOAD_TIME: Duration = Duration::from_millis(5_000);
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// How a caller sends its requests.
#[derive(Clone, Copy, Debug)]
enum Sending {
    /// One order after the other on a kept connection.
    Kept,
    /// An order on a connection of its own.
    Fresh,
    /// Three lookups at once.
    Ahead,
    /// An order whose head arrives in two parts.
    SplitHead,
    /// An order whose body arrives in two parts.
    SplitBody,
}

const CALLERS: [Sending; 6] = [
    Sending::Kept,
    Sending::Kept,
    Sending::Fresh,
    Sending::Ahead,
    Sending::SplitHead,
    Sending::SplitBody,
];

/// A request and what came back: a status, or `None` without a whole response.
type Answer = (String, Option<u16>);

fn request(method_and_path: &str, id: &str) -> String {
    format!(
        "{method_and_path} HTTP/1.1\r\nhost: shop.example\r\nx-ebonytack-request-id: {id}\r\n\
         x-ebonytack-credential: {KEY}\r\nx-ebonytack-deadline-ms: 2000\r\n\
         content-length: 4\r\n\r\nbody"
    )
}

/// Reads a response with a length; `None` if it is not whole.
async fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<u16> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
            let length = head.split("content-length: ").nth(1)?.lines().next()?.trim().parse();
            let whole_bytes = end + 4 + length.unwrap_or(0);
            if buffer.len() >= whole_bytes {
                buffer.drain(..whole_bytes);
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        let read = tokio::time::timeout(READ_TIMEOUT, stream.read_buf(buffer)).await;
        if !matches!(read, Ok(Ok(1..))) {
            return None;
        }
    }
}

/// Sends requests until the host no longer accepts connections.
async fn send(
    fixture: Rc<Fixture>,
    sending: Sending,
    caller: usize,
    until: Instant,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(fixture.host.callers).await
        && Instant::now() < until
    {
        let mut buffer = Vec::new();
        loop {
            let count = if matches!(sending, Sending::Ahead) { 3 } else { 1 };
            let ids: Vec<String> =
                (0..count).map(|n| format!("{caller}-{}", answers.len() + n)).collect();
            let path = if count > 1 { "GET /lookup/1" } else { "POST /order/1" };
            let text: String = ids.iter().map(|id| request(path, id)).collect();
            let split_at = match sending {
                Sending::SplitHead => text.len() / 2,
                Sending::SplitBody => text.len() - 2,
                _ => text.len(),
            };
            let (first, second) = text.split_at(split_at);
            let mut is_sent = stream.write_all(first.as_bytes()).await.is_ok();
            if !second.is_empty() {
                tokio::time::sleep(Duration::from_millis(120)).await;
                is_sent &= stream.write_all(second.as_bytes()).await.is_ok();
            }
            let mut last = None;
            for id in ids {
                last = if is_sent { read_response(&mut stream, &mut buffer).await } else { None };
                answers.push((id, last));
            }
            if last.is_none() || matches!(sending, Sending::Fresh) || Instant::now() >= until {
                break;
            }
        }
    }
    answers
}

/// Returns what is wrong after a stop at the moment that belongs to the seed.
async fn stop_at_a_moment(seed: u64) -> Vec<String> {
    let mut random = Random::new(seed);
    let slow = Behaviour::Answer(Duration::from_millis(20 + 60 * (seed % 6)));
    let fixture = Rc::new(Fixture::start(&format!("moment-{seed}"), &[slow; 4]).await);
    let stop_at = Duration::from_millis(300 + random.below(400) as u64);
    let until = Instant::now() + stop_at + LOAD_TIME;
    let callers = CALLERS.iter().enumerate().map(|(number, sending)| {
        actix_rt::spawn(send(Rc::clone(&fixture), *sending, number, until))
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(stop_at).await;
    let stopped_at = Instant::now();
    for (signal, every) in [(Signal::SIGHUP, 2), (Signal::SIGTERM, 1), (Signal::SIGHUP, 3)] {
        if seed.is_multiple_of(every) {
            fixture.host.signal(signal);
            tokio::time::sleep(Duration::from_millis(random.below(30) as u64)).await;
        }
    }
    if seed % 4 == 1 {
        tokio::time::sleep(Duration::from_millis(random.below(2_000) as u64)).await;
        fixture.host.signal(Signal::SIGTERM);
    }
    let answers = join_all(callers).await.into_iter().flat_map(|answers| answers.expect("answers"));
    let mut wrong: Vec<String> = answers
        .filter_map(|(id, status)| {
            let runs = fixture.run_count(&id);
            let is_true = match status {
                None => runs == 0,
                Some(408 | 421 | 429 | 503) => runs == 0,
                Some(_) => true,
            };
            let runs_max = if id.starts_with("3-") { 2 } else { 1 };
            let is_sound = is_true && runs <= runs_max;
            (!is_sound).then(|| format!("seed {seed}: {id} ran {runs} times, status {status:?}"))
        })
        .collect();
    let mut fixture = Rc::into_inner(fixture).expect("the callers have ended");
    let left = GRACE.saturating_sub(stopped_at.elapsed());
    if !fixture.host.wait_for_exit(left).await {
        wrong.push(format!("seed {seed}: the host has not exited in its grace period"));
    }
    wrong
}

/// Guards against requests that a stopping host has accepted and that have no whole response, or a
/// false "not run", whatever a connection is doing at SIGTERM: idle, in a head, a body, an attempt or a
/// response, with requests sent ahead, with SIGHUP before and after it, and with a second SIGTERM.
#[actix_rt::test]
async fn stop_at_any_moment_leaves_no_accepted_request_without_a_response() {
    let wrong = join_all((1..=SEEDS).map(stop_at_a_moment)).await.concat();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

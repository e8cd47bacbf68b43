//! A caller: sends requests and tells how each ended.

use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_head};
use crate::record::Record;

/// How long a caller waits for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long beyond its deadline a caller leaves the connection open, to see what still comes.
const PATIENCE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A complete response with this status.
    Answered(u16),
    /// No connection could be opened.
    NoConnection,
    /// The connection ended without a complete response.
    Cut,
    /// The caller's deadline passed.
    DeadlinePassed,
}

/// One attempt of a caller, as seen on its socket.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub host: String,
    pub was_kept: bool,
    pub sent_at: Duration,
    pub ended_at: Duration,
    pub deadline: Duration,
    pub ending: Ending,
}

/// What is sent in one attempt.
pub struct Request<'a> {
    pub id: String,
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

#[derive(Default)]
pub struct Connection {
    open: Option<(BufReader<TcpStream>, String)>,
}

impl Connection {
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    pub fn close(&mut self) {
        self.open = None;
    }

    /// Sends a request on the open connection, or on a new one to `host`.
    pub fn send(
        &mut self,
        host: &str,
        address: SocketAddr,
        request: &Request<'_>,
        record: &Record,
    ) -> Attempt {
        let was_kept = self.is_open();
        if self.open.is_none() {
            self.open = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
                .and_then(|stream| stream.set_nodelay(true).map(|()| stream))
                .ok()
                .map(|stream| (BufReader::new(stream), host.to_owned()));
        }
        let sent_at = record.now();
        let name = self.open.as_ref().map_or(host.to_owned(), |(_, name)| name.clone());
        let kept = if was_kept { "kept" } else { "new" };
        record.write(&format!(
            "send    {} {} {} with {} bytes to {name}, {kept} connection, deadline {} ms",
            request.id,
            request.method,
            request.path,
            request.body.len(),
            request.deadline.as_millis(),
        ));
        let ending = match self.open.take() {
            None => Ending::NoConnection,
            Some((mut reader, name)) => match exchange(&mut reader, request) {
                Ok(Some((status, closes))) => {
                    if !closes {
                        self.open = Some((reader, name));
                    }
                    Ending::Answered(status)
                }
                Ok(None) => Ending::Cut,
                Err(error) => match error.kind() {
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
                        Ending::DeadlinePassed
                    }
                    _ => Ending::Cut,
                },
            },
        };
        record.write(&format!("end     {} at {name}: {ending:?}", request.id));
        Attempt {
            id: request.id.clone(),
            host: name,
            was_kept,
            sent_at,
            ended_at: record.now(),
            deadline: request.deadline,
            ending,
        }
    }
}

fn exchange(
    reader: &mut BufReader<TcpStream>,
    request: &Request<'_>,
) -> Result<Option<(u16, bool)>> {
    let stream = reader.get_mut();
    stream.set_read_timeout(Some(request.deadline + PATIENCE))?;
    stream.set_write_timeout(Some(request.deadline + PATIENCE))?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nX-Ebonytack-Request-Id: {}\r\n\
         X-Ebonytack-Deadline-Ms: {}\r\nX-Ebonytack-Credential: {}\r\nContent-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.key,
        request.body.len(),
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(request.body);
    stream.write_all(&message)?;
    let Some(head) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &head)?;
    Ok(Some((head.second().parse().unwrap_or(0), head.closes())))
}

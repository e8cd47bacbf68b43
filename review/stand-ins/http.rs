//! HTTP/1.1 messages on blocking sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// The head of a request or response: its first line and its headers with lowercase names.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request, the status of a response.
    pub fn second(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// Reads a head; `None` when the connection ended before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Head>> {
    let mut lines: Vec<String> = Vec::new();
    loop {
        let mut line = Vec::new();
        reader.read_until(b'\n', &mut line)?;
        if !line.ends_with(b"\n") {
            if lines.is_empty() && line.is_empty() {
                return Ok(None);
            }
            return Err(Error::new(ErrorKind::UnexpectedEof, "the head is cut off"));
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let first_line = lines.remove(0);
    let headers = lines.iter().filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
    Ok(Some(Head { first_line, headers: headers.collect() }))
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

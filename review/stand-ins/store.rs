//! The platform's store: rows in tables, with a feed of changes.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};
use crate::json::{Json, base64};

/// The most rows of a response to `rows-get`.
const PAGE_ROWS_MAX: usize = 500;
/// The time that a transaction or a read takes.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Rows {
    /// Values in Base64, `None` when removed, with the version of the last write.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Rows>, Condvar)>,
    started_at: Instant,
}

impl Store {
    pub fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
            started_at: Instant::now(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // An error ends the connection, as its client sees.
                thread::spawn(move || server.serve(stream).ok());
            }
        });
        Ok(store)
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.shared.0.lock().expect("no thread panicked");
        rows.write(table, key, value.map(|text| base64(text.as_bytes())));
        self.shared.1.notify_all();
    }

    /// The number of rows in a table.
    pub fn count(&self, table: &str) -> usize {
        let rows = self.shared.0.lock().expect("no thread panicked");
        rows.rows.iter().filter(|((name, _), row)| name == table && row.0.is_some()).count()
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let (status, text) = self.answer(head.second(), &body);
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            writer.write_all(response.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().ok();
        thread::sleep(CALL_TIME);
        match path {
            "/api/rows-get" => {
                let limit = number("limit").map_or(PAGE_ROWS_MAX, |limit| limit as usize);
                let rows = self.shared.0.lock().expect("no thread panicked");
                let found = rows.find(&text("table"), 0, &text("from"), false);
                let truncated = found.len() > limit.min(PAGE_ROWS_MAX);
                let page = &found[..found.len().min(limit.min(PAGE_ROWS_MAX))];
                (200, self.page(page, Some(truncated), rows.version))
            }
            "/api/rows-feed" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                let (deadline, after) = (Instant::now() + wait, number("after").unwrap_or(0));
                let mut rows = self.shared.0.lock().expect("no thread panicked");
                loop {
                    let found = rows.find(&text("table"), after, "", true);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        return (200, self.page(&found, None, rows.version));
                    }
                    let waited = self.shared.1.wait_timeout(rows, left);
                    rows = waited.expect("no thread panicked").0;
                }
            }
            "/api/rows-tx" => self.transact(&String::from_utf8_lossy(body)),
            _ => (404, String::new()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(transaction) = Json::parse(body) else { return (400, String::new()) };
        let id = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        let entries = |name: &str| transaction.get(name).items().to_vec();
        let mut rows = self.shared.0.lock().expect("no thread panicked");
        let version_of = |rows: &Rows, entry: &Json| match rows.rows.get(&id(entry)) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let holds = |entry: &Json| version_of(&rows, entry) == entry.get("ver").number() as u64;
        if !entries("expected").iter().all(holds) {
            return (412, self.page(&[], None, rows.version));
        }
        for entry in entries("writes") {
            let (table, key) = id(&entry);
            rows.write(&table, &key, Some(entry.get("value").text().to_owned()));
        }
        for entry in entries("deletes") {
            let (table, key) = id(&entry);
            rows.write(&table, &key, None);
        }
        self.shared.1.notify_all();
        (200, format!("{{\"ver\":{},\"nowS\":{:.3}}}", rows.version, self.now_s()))
    }

    fn page(&self, rows: &[String], truncated: Option<bool>, version: u64) -> String {
        let truncated = truncated.map_or(String::new(), |flag| format!("\"truncated\":{flag},"));
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],{truncated}\"ver\":{version},\"nowS\":{:.3}}}", self.now_s())
    }

    fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        self.rows.insert((table.to_owned(), key.to_owned()), (value, self.version));
    }

    /// Rows of a table as JSON: by key for a read, by version for a feed.
    fn find(&self, table: &str, after: u64, from: &str, is_feed: bool) -> Vec<String> {
        let matching = self.rows.iter().filter(|((name, key), (value, version))| {
            name == table
                && *version > after
                && key.as_str() >= from
                && (is_feed || value.is_some())
        });
        let mut found: Vec<_> = matching.collect();
        if is_feed {
            found.sort_by_key(|(_, (_, version))| *version);
        }
        let encode = |((table, key), (value, version)): (&(String, String), &(Option<String>, u64))| {
            let value = match value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"removed\":true".to_owned(),
            };
            format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
        };
        found.into_iter().map(encode).collect()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

//! A small JSON reader, and Base64, for the bodies of the store's calls.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` when it is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), position: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        while self.bytes.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_blanks();
        (self.bytes.get(self.position) == Some(&expected)).then(|| self.position += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.position..].starts_with(word.as_bytes()).then(|| {
            self.position += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_blanks();
        match *self.bytes.get(self.position)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(b'[', b']', Self::value).map(Json::List),
            b'{' => {
                let pairs = self.items(b'{', b'}', Self::pair)?;
                Some(Json::Table(pairs.into_iter().collect()))
            }
            _ => self.digits(),
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let start = self.position;
        while self.bytes.get(self.position).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.position += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.position]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn pair(&mut self) -> Option<(String, Json)> {
        self.skip_blanks();
        let name = self.string()?;
        self.take(b':')?;
        Some((name, self.value()?))
    }

    fn items<T>(
        &mut self,
        open: u8,
        close: u8,
        item: fn(&mut Self) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.take(open)?;
        let mut items = Vec::new();
        if self.take(close).is_some() {
            return Some(items);
        }
        loop {
            items.push(item(self)?);
            if self.take(b',').is_none() {
                self.take(close)?;
                return Some(items);
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            match *self.bytes.get(self.position)? {
                b'"' => break,
                b'\\' => {
                    self.position += 1;
                    match *self.bytes.get(self.position)? {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.position + 1..self.position + 5)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                            bytes.extend_from_slice(text.as_bytes());
                            self.position += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
            self.position += 1;
        }
        self.position += 1;
        String::from_utf8(bytes).ok()
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as Base64.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = (number >> (18 - 6 * index)) & 63;
            text.push(if index <= chunk.len() { char::from(ALPHABET[digit as usize]) } else { '=' });
        }
    }
    text
}

/// Decodes Base64; other characters are skipped.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|b| ALPHABET.iter().position(|digit| *digit == b));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let number = chunk.iter().fold(0, |number, digit| number << 6 | digit);
        let number = number << (6 * (4 - chunk.len()));
        let count = chunk.len() * 6 / 8;
        bytes.extend(number.to_be_bytes()[1..].iter().take(count));
    }
    bytes
}

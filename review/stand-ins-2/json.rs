//! A small reader of JSON, for the calls that hosts make to the store.

/// A JSON value. Numbers and other literals are not kept.
#[derive(Debug)]
pub enum Json {
    Other,
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

/// Parses a text; what follows a fault is left out.
pub fn parse(text: &str) -> Json {
    Parser { chars: text.chars().collect(), at: 0 }.value()
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> char {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied().unwrap_or('\0')
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            '"' => Json::Text(self.string()),
            '[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !matches!(self.peek(), ']' | '\0') {
                    items.push(self.value());
                    if self.peek() == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(items)
            }
            '{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek() == '"' {
                    let name = self.string();
                    if self.peek() == ':' {
                        self.at += 1;
                    }
                    fields.push((name, self.value()));
                    if self.peek() == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Object(fields)
            }
            _ => {
                while !matches!(self.chars.get(self.at), None | Some(',' | ']' | '}')) {
                    self.at += 1;
                }
                Json::Other
            }
        }
    }

    fn string(&mut self) -> String {
        self.at += 1;
        let mut text = String::new();
        while let Some(next) = self.chars.get(self.at).copied() {
            self.at += 1;
            match next {
                '"' => break,
                '\\' => {
                    text.extend(self.chars.get(self.at));
                    self.at += 1;
                }
                other => text.push(other),
            }
        }
        text
    }
}

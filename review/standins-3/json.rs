//! A reader for the JSON bodies of the store's calls.

use std::collections::HashMap;

#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(HashMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> Value {
        match self {
            Self::Object(fields) => fields.get(name).cloned().unwrap_or(Self::Null),
            _ => Self::Null,
        }
    }

    pub fn items(&self) -> Vec<Value> {
        if let Self::List(items) = self { items.clone() } else { Vec::new() }
    }

    pub fn number(&self) -> f64 {
        if let Self::Number(number) = self { *number } else { 0.0 }
    }

    pub fn text(&self) -> String {
        if let Self::Text(text) = self { text.clone() } else { String::new() }
    }
}

pub fn parse(text: &str) -> Value {
    Reader { bytes: text.as_bytes(), at: 0 }.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> u8 {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Value {
        match self.peek() {
            b'{' => {
                self.at += 1;
                let mut fields = HashMap::new();
                while !matches!(self.peek(), b'}' | 0) {
                    let name = self.string();
                    self.peek();
                    self.at += 1; // the colon
                    fields.insert(name, self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Value::Object(fields)
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !matches!(self.peek(), b']' | 0) {
                    items.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Value::List(items)
            }
            b'"' => Value::Text(self.string()),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                    self.at += 1;
                }
                let word = String::from_utf8_lossy(&self.bytes[start..self.at]).into_owned();
                self.at = self.at.max(start + 1);
                word.parse().map_or(Value::Null, Value::Number)
            }
        }
    }

    // Escapes other than of one character don't occur in these calls.
    fn string(&mut self) -> String {
        self.peek();
        self.at += 1;
        let mut text = Vec::new();
        while let Some(&byte) = self.bytes.get(self.at) {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    text.extend(self.bytes.get(self.at));
                    self.at += 1;
                }
                _ => text.push(byte),
            }
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

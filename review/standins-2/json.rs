//! A small JSON reader for the bodies that instances send to the store.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.iter().find(|(n, _)| n == name).map_or(&Self::Null, |(_, v)| v),
            _ => &Self::Null,
        }
    }

    pub fn items(&self) -> std::slice::Iter<'_, Json> {
        match self {
            Self::List(items) => items.iter(),
            _ => [].iter(),
        }
    }

    pub fn number(&self) -> f64 {
        if let Self::Number(n) = self { *n } else { 0.0 }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn parse(bytes: &[u8]) -> Json {
    let mut at = 0;
    value(bytes, &mut at)
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(|c| c.is_ascii_whitespace() || *c == b',' || *c == b':') {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Json {
    skip(b, at);
    match b.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                match b.get(*at) {
                    Some(b'"') => {
                        let name = string(b, at);
                        fields.push((name, value(b, at)));
                    }
                    _ => {
                        *at += 1;
                        return Json::Object(fields);
                    }
                }
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                if matches!(b.get(*at), None | Some(b']')) {
                    *at += 1;
                    return Json::List(items);
                }
                items.push(value(b, at));
            }
        }
        Some(b'"') => Json::Text(string(b, at)),
        _ => {
            let start = *at;
            while b.get(*at).is_some_and(|c| c.is_ascii_alphanumeric() || b"+-.".contains(c)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&b[start..*at]).unwrap_or("");
            if start == *at {
                *at += 1;
            }
            match word {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => word.parse().map_or(Json::Null, Json::Number),
            }
        }
    }
}

fn string(b: &[u8], at: &mut usize) -> String {
    let mut bytes = Vec::new();
    *at += 1;
    while let Some(c) = b.get(*at) {
        *at += 1;
        match c {
            b'"' => break,
            b'\\' => {
                bytes.push(b[*at]);
                *at += 1;
            }
            c => bytes.push(*c),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

//! Finding the heads of requests in the bytes of a connection, before the protocol's turn comes to them.

use burdock_decide::time::Time;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};

/// Headers of one request that are read. A request with more is left to the protocol.
const MAX_HEADERS: usize = 64;

/// The longest head that is looked at; a caller with a longer one is left to the protocol.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Follows the requests of one connection.
#[derive(Debug, Default)]
pub struct HeadScan {
    // The beginning of a head whose end did not come yet.
    partial: Vec<u8>,
    state: State,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Head,
    Body(u64),
    // What follows can't be told apart here; the protocol serves the rest in turn.
    Off,
}

/// A request whose head has arrived.
#[derive(Debug)]
pub struct Found {
    /// When its head was complete.
    pub arrived: Time,
    /// Its head if it has no body; `None` where a body follows.
    pub whole: Option<Box<Parts>>,
}

impl HeadScan {
    /// Takes in the next bytes and tells of each request whose head they complete.
    ///
    /// ```
    /// use burdock_decide::time::Time;
    /// use burdock_node::site::head_scan::HeadScan;
    /// let mut scan = HeadScan::default();
    /// let mut found = Vec::new();
    /// scan.feed(b"GET /a HTTP/1.1\r\n\r\nGET /b HT", Time(1), |f| found.push(f));
    /// scan.feed(b"TP/1.1\r\n\r\n", Time(2), |f| found.push(f));
    /// assert_eq!(found.len(), 2);
    /// assert_eq!(found[1].whole.as_ref().unwrap().uri, "/b");
    /// ```
    pub fn feed(&mut self, bytes: &[u8], now: Time, mut found: impl FnMut(Found)) {
        if self.partial.is_empty() {
            let used = self.consume(bytes, now, &mut found);
            self.partial.extend_from_slice(&bytes[used..]);
            return;
        }
        let mut held = std::mem::take(&mut self.partial);
        held.extend_from_slice(bytes);
        let used = self.consume(&held, now, &mut found);
        held.drain(..used);
        self.partial = held;
    }

    // Returns how many of the bytes are done with.
    fn consume(&mut self, bytes: &[u8], now: Time, found: &mut impl FnMut(Found)) -> usize {
        let mut used = 0;
        while used < bytes.len() {
            let rest = &bytes[used..];
            match self.state {
                State::Off => return bytes.len(),
                State::Body(left) => {
                    let skipped = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                    used += skipped;
                    let left = left - skipped as u64;
                    self.state = if left == 0 { State::Head } else { State::Body(left) };
                }
                State::Head => match head(rest) {
                    Head::Whole { length, parts, next } => {
                        used += length;
                        self.state = next;
                        let whole = matches!(next, State::Head).then_some(parts);
                        found(Found { arrived: now, whole });
                    }
                    Head::Partial if rest.len() < MAX_HEAD_BYTES => return used,
                    Head::Partial | Head::Unreadable => self.state = State::Off,
                },
            }
        }
        used
    }
}

enum Head {
    Whole { length: usize, parts: Box<Parts>, next: State },
    Partial,
    Unreadable,
}

fn head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let length = match req.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_) => return Head::Unreadable,
    };
    let Some(parts) = parts(&req) else {
        return Head::Unreadable;
    };
    let next = if req.version == Some(1) { after(&parts) } else { State::Off };
    Head::Whole { length, parts, next }
}

fn parts(req: &httparse::Request<'_, '_>) -> Option<Box<Parts>> {
    let mut own = Request::new(());
    *own.method_mut() = Method::from_bytes(req.method?.as_bytes()).ok()?;
    *own.uri_mut() = req.path?.parse::<Uri>().ok()?;
    for header in req.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        own.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(Box::new(own.into_parts().0))
}

// What follows a head. Where that takes more than a stated length to tell, the scan ends.
fn after(parts: &Parts) -> State {
    let headers = &parts.headers;
    let unclear = [TRANSFER_ENCODING, UPGRADE, EXPECT].iter().any(|name| headers.contains_key(name));
    if unclear || closes(headers) || parts.method == Method::CONNECT {
        return State::Off;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => State::Head,
        (Some(length), None) => match digits(length) {
            Some(0) => State::Head,
            Some(length) => State::Body(length),
            None => State::Off,
        },
        (Some(_), Some(_)) => State::Off,
    }
}

// Digits only, as the server library has it: what it refuses must not count as a length here.
fn digits(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

fn closes(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.any(|value| value.to_ascii_lowercase().contains("close"))
}

//! Finds the heads of requests in the bytes of a connection before the HTTP server parses them.

use burdock_decide::time::Time;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};

/// Maximum number of headers of a request. The scan ends at a request with more.
const MAX_HEADERS: usize = 64;

/// Maximum size of a head, in bytes. The scan ends at a longer one.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Incremental scanner for the requests of one connection. Where it can't tell for certain what follows, it
/// ends and leaves the rest of the connection to the HTTP server.
#[derive(Debug, Default)]
pub struct HeadScanner {
    // Start of a head whose end has not arrived yet.
    partial: Vec<u8>,
    state: State,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Head,
    // Bytes of the body that are still to come.
    Body(u64),
    // The scan has ended: the HTTP server serves the rest of the connection in turn.
    Ended,
}

/// Head of a request that was found in the bytes of a connection.
#[derive(Debug)]
pub struct ScannedHead {
    /// Time at which the head was complete.
    pub arrived_at: Time,
    /// The parsed head of a request without a body, `None` if a body follows.
    pub parts: Option<Box<Parts>>,
}

impl HeadScanner {
    /// Scans the next bytes of the connection and calls `on_head` for each head that they complete.
    ///
    /// ```
    /// use burdock_decide::time::Time;
    /// use burdock_node::site::head_scan::HeadScanner;
    /// let mut scanner = HeadScanner::default();
    /// let mut heads = Vec::new();
    /// scanner.feed(b"GET /a HTTP/1.1\r\n\r\nGET /b HT", Time(1), |h| heads.push(h));
    /// scanner.feed(b"TP/1.1\r\n\r\n", Time(2), |h| heads.push(h));
    /// assert_eq!(heads.len(), 2);
    /// assert_eq!(heads[1].parts.as_ref().unwrap().uri, "/b");
    /// ```
    pub fn feed(&mut self, bytes: &[u8], now: Time, mut on_head: impl FnMut(ScannedHead)) {
        if self.partial.is_empty() {
            let used = self.consume(bytes, now, &mut on_head);
            self.partial.extend_from_slice(&bytes[used..]);
            return;
        }
        let mut unscanned = std::mem::take(&mut self.partial);
        unscanned.extend_from_slice(bytes);
        let used = self.consume(&unscanned, now, &mut on_head);
        unscanned.drain(..used);
        self.partial = unscanned;
    }

    // Returns the number of bytes that are scanned and need not be kept.
    fn consume(&mut self, bytes: &[u8], now: Time, on_head: &mut impl FnMut(ScannedHead)) -> usize {
        let mut used = 0;
        while used < bytes.len() {
            let rest = &bytes[used..];
            match self.state {
                State::Ended => return bytes.len(),
                State::Body(remaining) => {
                    let skipped = usize::try_from(remaining).unwrap_or(usize::MAX).min(rest.len());
                    used += skipped;
                    let remaining = remaining - skipped as u64;
                    self.state = if remaining == 0 { State::Head } else { State::Body(remaining) };
                }
                State::Head => match parse_head(rest) {
                    ParsedHead::Complete { length, parts, next } => {
                        used += length;
                        self.state = next;
                        let parts = matches!(next, State::Head).then_some(parts);
                        on_head(ScannedHead { arrived_at: now, parts });
                    }
                    ParsedHead::Partial if rest.len() < MAX_HEAD_BYTES => return used,
                    ParsedHead::Partial | ParsedHead::Invalid => self.state = State::Ended,
                },
            }
        }
        used
    }
}

enum ParsedHead {
    Complete { length: usize, parts: Box<Parts>, next: State },
    Partial,
    Invalid,
}

fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let length = match req.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return ParsedHead::Partial,
        Err(_) => return ParsedHead::Invalid,
    };
    let Some(parts) = to_parts(&req) else {
        return ParsedHead::Invalid;
    };
    let next = if req.version == Some(1) { state_after(&parts) } else { State::Ended };
    ParsedHead::Complete { length, parts, next }
}

fn to_parts(req: &httparse::Request<'_, '_>) -> Option<Box<Parts>> {
    let mut parsed = Request::new(());
    *parsed.method_mut() = Method::from_bytes(req.method?.as_bytes()).ok()?;
    *parsed.uri_mut() = req.path?.parse::<Uri>().ok()?;
    for header in req.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        parsed.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(Box::new(parsed.into_parts().0))
}

// Returns what follows a head. The scan ends where that takes more than a `Content-Length` to tell, or
// where the connection is to close.
fn state_after(parts: &Parts) -> State {
    let headers = &parts.headers;
    let is_unclear = [TRANSFER_ENCODING, UPGRADE, EXPECT].iter().any(|name| headers.contains_key(name));
    if is_unclear || has_connection_close(headers) || parts.method == Method::CONNECT {
        return State::Ended;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => State::Head,
        (Some(length), None) => match parse_length(length) {
            Some(0) => State::Head,
            Some(length) => State::Body(length),
            None => State::Ended,
        },
        (Some(_), Some(_)) => State::Ended,
    }
}

// Accepts digits only, as hyper does: a length that hyper refuses must not be taken for one here.
fn parse_length(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.any(|value| value.to_ascii_lowercase().contains("close"))
}

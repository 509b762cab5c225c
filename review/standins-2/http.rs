//! HTTP/1.1 over blocking sockets, as far as stand-ins and clients need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

impl Response {
    pub fn new(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Vec::new() }
    }

    pub fn json(body: String) -> Self {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        Self { status: 200, headers, body: body.into_bytes() }
    }

    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {} X\r\nContent-Length: {}\r\n", self.status, self.body.len());
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        to.write_all(&bytes)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
}

/// Reads the start line and the headers. `None` at the end of the connection.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut start = String::new();
    if from.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((start.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

pub fn read_body(from: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; length + 2];
            from.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(body);
            }
        }
    }
    let length = find(headers, "content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    from.read_exact(&mut body)?;
    Ok(body)
}

pub fn read_response(from: &mut impl BufRead) -> io::Result<Option<Response>> {
    let Some((start, headers)) = read_head(from)? else {
        return Ok(None);
    };
    let status = start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = read_body(from, &headers)?;
    Ok(Some(Response { status, headers, body }))
}

pub fn read_request_head(from: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((start, headers)) = read_head(from)? else {
        return Ok(None);
    };
    let mut words = start.split(' ');
    let mut word = || words.next().unwrap_or("").to_owned();
    Ok(Some(Request { method: word(), path: word(), headers, body: Vec::new() }))
}

/// Serves each connection on a thread, one request after the other.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Request, &TcpStream) -> Response + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut from = BufReader::new(stream.try_clone()?);
                while let Some(mut req) = read_request_head(&mut from)? {
                    req.body = read_body(&mut from, &req.headers)?;
                    handle(req, &stream).write(&mut &stream)?;
                }
                io::Result::Ok(())
            });
        }
    });
}

pub fn query_field(query: &str, name: &str) -> String {
    let found = query.split('&').find_map(|pair| pair.split_once('=').filter(|(n, _)| *n == name));
    let text = found.map_or("", |(_, value)| value).as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < text.len() {
        let hex = text.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (text[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
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

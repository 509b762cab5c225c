//! HTTP/1.1 on blocking sockets: reading heads and bodies, and opening connections of clients.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Start line and headers of a request or an answer.
#[derive(Clone, Debug)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head. Returns `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let header = header.trim_end();
            if header.is_empty() {
                return Ok(Some(Self { line: line.trim_end().to_owned(), headers }));
            }
            if let Some((name, value)) = header.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn word(&self, nth: usize) -> &str {
        self.line.split(' ').nth(nth).unwrap_or("")
    }

    /// Reads the body that follows the head of a request and returns its bytes.
    pub fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            loop {
                let mut line = String::new();
                reader.read_line(&mut line)?;
                let length = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                    .map_err(|_| io::ErrorKind::InvalidData)?;
                let start = body.len();
                body.resize(start + length, 0);
                reader.read_exact(&mut body[start..])?;
                let mut end = String::new();
                reader.read_line(&mut end)?;
                if length == 0 {
                    return Ok(body);
                }
            }
        }
        let length = self.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
        Ok(body)
    }
}

/// A client's connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

/// An answer that arrived in full.
pub struct Answer {
    pub status: u16,
    pub head: Head,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Self::over(stream)
    }

    fn over(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads an answer with a length.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let head = Head::read(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.word(1).parse().unwrap_or(0);
        head.read_body(&mut self.reader)?;
        Ok(Answer { status, head })
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: usize) -> i32;
}

pub const SIGKILL: i32 = 9;

const PR_SET_PDEATHSIG: i32 = 1;

/// Lets the calling process end with the thread that started it.
pub fn end_with_parent() {
    // SAFETY: a plain call of the C library.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as usize) };
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: a plain call of the C library.
    unsafe { kill(pid as i32, number) };
}

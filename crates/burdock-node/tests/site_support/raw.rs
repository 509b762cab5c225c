//! Raw sockets for behaviour that an HTTP library does not allow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Parts of an answer, each sent after a delay.
type AnswerScript = Vec<(Duration, Vec<u8>)>;

/// A backend server whose script builds the answer from a request's id.
pub struct Backend {
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Backend {
    pub async fn start(script: impl Fn(String) -> AnswerScript + Send + Sync + 'static) -> Self {
        Self::start_with(script, false).await
    }

    /// Starts a backend server that closes each connection after one answer.
    pub async fn start_closing(script: impl Fn(String) -> AnswerScript + Send + Sync + 'static) -> Self {
        Self::start_with(script, true).await
    }

    async fn start_with(
        script: impl Fn(String) -> AnswerScript + Send + Sync + 'static,
        closes: bool,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&requests);
        let script = Arc::new(move |id| {
            counter.fetch_add(1, Ordering::Relaxed);
            script(id)
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&script), closes));
            }
        });
        Self { address, requests }
    }

    /// Starts a backend server that sends `head` and then `chunk` without end, until the connection closes.
    pub async fn start_endless(head: &'static str, chunk: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_without_end(stream, head, chunk, Arc::clone(&counter)));
            }
        });
        Self { address, requests }
    }

    /// Starts a backend server that crashes at its first request, once it has sent `answer`.
    pub async fn start_crashing(answer: impl Fn(&str) -> Vec<u8> + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&requests);
        tokio::spawn(async move {
            loop {
                let Ok((mut stream, _)) = listener.accept().await else {
                    return;
                };
                let mut buf = Vec::new();
                while !buf.windows(4).any(|w| w == b"\r\n\r\n") {
                    if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
                        break;
                    }
                }
                // A check whether the backend server is up sends nothing.
                if buf.is_empty() {
                    continue;
                }
                counter.fetch_add(1, Ordering::Relaxed);
                let text = String::from_utf8_lossy(&buf).to_lowercase();
                let id = text.lines().find_map(|l| l.strip_prefix("x-burdockcroft-attempt-id: "));
                // No new connection is accepted by the time the answer breaks off.
                drop(listener);
                let _sent = stream.write_all(&answer(id.unwrap_or(""))).await;
                return;
            }
        });
        Self { address, requests }
    }

    /// Returns how many requests have arrived.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

async fn serve(mut stream: TcpStream, script: Arc<impl Fn(String) -> AnswerScript>, closes: bool) {
    stream.set_nodelay(true).unwrap();
    let mut buf = Vec::new();
    loop {
        let head = loop {
            if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break buf.drain(..end + 4).collect::<Vec<u8>>();
            }
            if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
                return;
            }
        };
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let id =
            head.lines().find_map(|l| l.strip_prefix("x-burdockcroft-attempt-id: ")).unwrap_or("").to_owned();
        for (delay, bytes) in script(id) {
            tokio::time::sleep(delay).await;
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
        }
        if closes {
            return;
        }
    }
}

async fn send_without_end(mut stream: TcpStream, head: &str, chunk: &str, requests: Arc<AtomicUsize>) {
    let mut buf = Vec::new();
    while !buf.windows(4).any(|w| w == b"\r\n\r\n") {
        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            return;
        }
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let text = String::from_utf8_lossy(&buf).to_lowercase();
    let id = text.lines().find_map(|l| l.strip_prefix("x-burdockcroft-attempt-id: ")).unwrap_or("");
    let head = head.replace("{id}", id);
    let mut result = stream.write_all(head.as_bytes()).await;
    while result.is_ok() {
        result = stream.write_all(chunk.as_bytes()).await;
    }
}

/// Builds an answer with a status and further header lines, each of which ends with a line break.
pub fn build_answer_with(id: &str, status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nx-burdockcroft-attempt-id: {id}\r\nx-burdockcroft-response-seal: 1.2\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Builds a complete answer.
pub fn build_answer(id: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nx-burdockcroft-attempt-id: {id}\r\nx-burdockcroft-response-seal: 1.2\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends bytes and closes the connection after `open_time`.
pub async fn send_and_close(to: SocketAddr, bytes: &str, open_time: Duration) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    tokio::time::sleep(open_time).await;
}

/// The sending half of a connection.
pub struct Sender(tokio::sync::mpsc::UnboundedSender<String>);

/// The receiving half of a connection.
pub struct Receiver(tokio::net::tcp::OwnedReadHalf);

/// Opens a connection whose halves are used separately.
pub async fn connect(to: SocketAddr) -> (Sender, Receiver) {
    let (read, mut write) = TcpStream::connect(to).await.unwrap().into_split();
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel::<String>();
    tokio::spawn(async move {
        while let Some(text) = rx.recv().await {
            if write.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    });
    (Sender(tx), Receiver(read))
}

impl Sender {
    pub fn send(&self, text: String) {
        self.0.send(text).unwrap();
    }
}

impl Receiver {
    /// Returns the status of the next answer, or `None` when the connection ends first.
    pub async fn next_status(&mut self) -> Option<u16> {
        let mut buf = Vec::new();
        while self.0.read_buf(&mut buf).await.unwrap_or(0) > 0 {
            let text = String::from_utf8_lossy(&buf);
            if let Some(line) = text.lines().next().filter(|_| text.contains("\r\n\r\n")) {
                return line.split(' ').nth(1)?.parse().ok();
            }
        }
        None
    }

    /// Returns the ids of the next `count` answers in order of arrival, or fewer when the connection ends
    /// first.
    pub async fn next_ids(&mut self, count: usize) -> Vec<String> {
        const HEADER: &str = "x-burdockcroft-attempt-id: ";
        let mut buf = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&buf).to_lowercase();
            let ids: Vec<String> =
                text.lines().filter_map(|l| l.strip_prefix(HEADER)).map(str::to_owned).collect();
            if ids.len() >= count || self.0.read_buf(&mut buf).await.unwrap_or(0) == 0 {
                return ids;
            }
        }
    }
}

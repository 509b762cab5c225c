//! What the scripts share: a record of the run, HTTP/1.1 by hand, and the settings of a small deployment.

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "ficu95.example";

/// Time after which a process that became ready counts as in touch: more than `contact_s`, which is 4 s.
pub const TIME_IN_TOUCH: Duration = Duration::from_secs(5);

/// Log of what was sent, answered and run, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.started_at.elapsed().as_secs_f64());
    }
}

/// A message's first line and headers, with names in lower case.
#[derive(Clone, Debug)]
pub struct Head {
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn content_length(&self) -> usize {
        self.get("content-length").parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.get("x-burdockcroft-attempt-id")
    }
}

/// Takes a complete head from the front of `buf`, if there is one.
pub fn take_head(buf: &mut Vec<u8>) -> Option<Head> {
    let end = buf.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Some(Head { line, headers })
}

/// Reads what has arrived. `Ok(false)` at the end of the stream.
pub fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>, at_most: usize) -> std::io::Result<bool> {
    let mut chunk = vec![0; at_most];
    let count = stream.read(&mut chunk)?;
    buf.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

/// Reads a head, then its body of known length.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> std::io::Result<Option<(Head, Vec<u8>)>> {
    let head = loop {
        if let Some(head) = take_head(buf) {
            break head;
        }
        if !read_more(stream, buf, 64 << 10)? {
            return Ok(None);
        }
    };
    let length = head.content_length();
    while buf.len() < length {
        if !read_more(stream, buf, 64 << 10)? {
            return Ok(None);
        }
    }
    let body = buf.drain(..length).collect();
    Ok(Some((head, body)))
}

/// Builds a request of a client.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: Option<&[u8]>) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Burdockcroft-Attempt-Id: {id}\r\n\
         X-Burdockcroft-Deadline-Ms: {deadline_ms}\r\n"
    );
    if let Some(body) = body {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body.unwrap_or_default());
    bytes
}

/// Builds the head of an upstream's answer.
pub fn answer_head(id: &str, length: usize) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nX-Burdockcroft-Attempt-Id: {id}\r\nX-Burdockcroft-Response-Seal: seal.{id}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
    .into_bytes()
}

pub fn free_ports(count: usize) -> Vec<u16> {
    let bound: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    bound.iter().map(|l| l.local_addr().expect("its address").port()).collect()
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// Folder for a run's files, removed at its end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-3-{}-{}", std::process::id(), now_ms()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the system, started as the deploy file says. Killed when it is dropped.
pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Node {
    pub fn start(dir: &Path, name: &str, store: SocketAddr, grace_s: u32) -> std::io::Result<Self> {
        let ports = free_ports(5);
        let [front, ready, directory, inner, metrics] = ports[..] else { unreachable!() };
        let settings = dir.join(format!("{name}.conf"));
        std::fs::write(
            &settings,
            format!(
                "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,directory\nip=127.0.0.1\n\
                 zone=riga-a\nregion=riga\nzones.riga-a=riga\nzones.jelgava-a=jelgava\n\
                 listen.front=127.0.0.1:{front}\nlisten.ready=127.0.0.1:{ready}\n\
                 listen.directory=127.0.0.1:{directory}\ninner_ports={inner},{inner}\nbootstrap=true\n\
                 limits.cpu_share=0.14\nlimits.cores=1\nlimits.memory_mb=182\nlimits.max_fds=2870\n\
                 limits.link_mbps=700.0\nheartbeat_s=1.5\nbounds.contact_s=4\nbounds.ack_s=5\nbounds.drain_s=2.5\n\
                 bounds.grace_s={grace_s}\nbounds.loss_slack_s=0.2\nbounds.config_apply_s=2.5\n\
                 bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_budget_slack=133\n\
                 bounds.quota_window_s=5\nbounds.warmup_overshoot=1.5\nbounds.warmup_slack=5\n\
                 bounds.evacuate_s=5\nbounds.ttl_max_s=5\nplatform.address={store}\nplatform.form=kv\n\
                 platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.ttl_min_s=1\n"
            ),
        )?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new("target/deploy/burdockd")
            .args(["site", "--metrics-port", &metrics.to_string()])
            .env("BURDOCKCROFT_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Ok(Self { front: loopback(front), ready: loopback(ready), child })
    }

    /// Waits until the platform's readiness question gets a 200.
    pub fn wait_until_ready(&self) -> std::io::Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(std::io::Error::new(ErrorKind::TimedOut, "the process did not become ready"))
    }

    fn is_ready(&self) -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(self.ready)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")?;
        let mut text = Vec::new();
        stream.read_to_end(&mut text)?;
        Ok(text.starts_with(b"HTTP/1.1 200"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

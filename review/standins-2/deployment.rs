//! A small deployment: the store, upstreams, and instances as processes with the command of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::{self, Response};
use crate::platform::Store;

pub const HOST: &str = "ficu95.example";

/// Record of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(PathBuf::from(folder).join("record.txt")).unwrap();
        Self { file: Mutex::new(file), started_at: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started_at.elapsed().as_secs_f64());
        print!("{line}");
        self.file.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }
}

/// A route of the manifest, as JSON.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_s: f64, open: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_s\":{timeout_s},\"target_latency_s\":1.5,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":2,\"auth_exempt\":{open},\"session_affinity\":false,\"allowed_regions\":[]}}"
    )
}

/// A route with a home, as JSON.
pub fn homed_route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_s: f64,
    region: &str,
) -> String {
    route(name, prefix, kind, service, timeout_s, true)
        .replace("\"allowed_regions\":[]", &format!("\"allowed_regions\":[\"{region}\"]"))
}

/// Writes the manifest as the operator does.
pub fn publish_manifest(
    store: &Store,
    version: u64,
    routes: &[String],
    services: &[&str],
    tenants: &[String],
) {
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":1770,\
             \"warmup_s\":3.0,\"warmup_per_s\":6.0}}"
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    let limits = "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}";
    store.put(
        "op/config",
        &format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"tenants\":[{}],\"limits\":{limits}}}",
            routes.join(","),
            services.join(","),
            tenants.join(",")
        ),
    );
}

/// Writes the entry of an upstream as the upstream does.
pub fn register_upstream(store: &Store, id: &str, service: &str, zone: &str, address: SocketAddr) {
    store.put(
        &format!("servers/{id}"),
        &format!(
            "{{\"address\":\"{address}\",\"born\":1750000000000,\
             \"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":9}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":1,\"warmup_left_s\":0}}}}"
        ),
    );
}

/// A process of the system.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    folder: PathBuf,
    metrics_port: u16,
    process: Child,
}

impl Instance {
    /// Starts a process with the command of the deploy file. `more` are lines that replace the usual settings.
    pub fn start(name: &str, region: &str, zone: &str, store: SocketAddr, more: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let ports = free_ports(6);
        let address = |ix: usize| SocketAddr::from(([127, 0, 0, 1], ports[ix]));
        let settings = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,directory\nip=127.0.0.1\n\
             zone={zone}\nregion={region}\nzones.almaty-a=almaty\nzones.almaty-b=almaty\n\
             zones.astana-a=astana\nzones.astana-b=astana\nzones.shymkent-a=shymkent\nzones.shymkent-b=shymkent\n\
             listen.front={}\nlisten.ready={}\nlisten.directory={}\ninner_ports={},{}\n\
             bootstrap=true\nin_fault_budget=false\n\
             limits.cpu_share=0.5\nlimits.cores=1\nlimits.memory_mb=512\nlimits.max_fds=8192\n\
             limits.link_mbps=200.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\nheartbeat_s=1.5\n\
             bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_s=4\nbounds.ack_s=6\nbounds.catch_up_s=6\n\
             bounds.drain_s=4\nbounds.grace_s=6\nbounds.loss_slack_s=0.2\nbounds.config_apply_s=4\n\
             bounds.rollback_slack_s=0.25\nbounds.max_stretch_s=6\nbounds.retry_budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.retry_budget_slack=218\nbounds.quota_window_s=5\n\
             bounds.quota_overshoot=0.1\nbounds.quota_slack=20\nbounds.warmup_overshoot=1.5\n\
             bounds.warmup_slack=8\nbounds.evacuate_s=5\nbounds.recovery_s=15\nbounds.ttl_max_s=5\n\
             bounds.max_shift=0.15\nplatform.address={store}\nplatform.form=kv\nplatform.writes_per_s=1200\n\
             platform.reads_per_s=6000\nplatform.history_s=20\nplatform.value_bytes=1048576\n\
             platform.ttl_min_s=1\n{more}",
            address(0),
            address(1),
            address(2),
            ports[3],
            ports[4],
        );
        std::fs::write(folder.join("local.conf"), settings).unwrap();
        let process = spawn(&folder, ports[5]);
        Self {
            name: name.to_owned(),
            front: address(0),
            ready: address(1),
            directory: address(2),
            folder,
            metrics_port: ports[5],
            process,
        }
    }

    /// Starts the process again, after it has ended.
    pub fn start_again(&mut self) {
        self.process = spawn(&self.folder, self.metrics_port);
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while get(self.ready, "/-/readiness").is_none_or(|resp| resp.status != 200) {
            if Instant::now() > end {
                crate::could_not_run(&format!("{} did not become ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.process.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }
}

fn spawn(folder: &std::path::Path, metrics_port: u16) -> Child {
    let log = File::options().create(true).append(true).open(folder.join("log.txt")).unwrap();
    let mut command = Command::new("target/deploy/burdockd");
    // The process ends with the case, also where that is ended from outside.
    unsafe {
        command.pre_exec(|| {
            if prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }
        })
    };
    command
        .args(["site", "--metrics-port", &metrics_port.to_string()])
        .env("BURDOCKCROFT_NODE_FILE", folder.join("local.conf"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| crate::could_not_run(&format!("target/deploy/burdockd: {e}")))
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn prctl(option: i32, value: i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
}

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

/// Opens a connection with the segment size of an Ethernet link and a receive buffer of the given size, as a
/// client behind a network has them. On the loopback link alone one segment holds 64 KB.
pub fn connect_as_over_ethernet(to: SocketAddr, receive_buffer: i32) -> TcpStream {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(v4) = to else { unreachable!() };
    let address = SockAddrIn {
        family: AF_INET as u16,
        port: to.port().to_be(),
        address: u32::from_ne_bytes(v4.ip().octets()),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        set_option(fd, SOL_SOCKET, SO_RCVBUF, receive_buffer);
        set_option(fd, IPPROTO_TCP, TCP_MAXSEG, ETHERNET_SEGMENT);
        if connect(fd, &address, std::mem::size_of::<SockAddrIn>() as u32) != 0 {
            crate::could_not_run(&format!("no connection to {to}: {}", std::io::Error::last_os_error()));
        }
        TcpStream::from_raw_fd(fd)
    }
}

/// Sets the receive buffer and the segment size of connections that a listener accepts, as on a machine behind
/// an Ethernet link.
pub fn listen_as_over_ethernet(receive_buffer: i32) -> TcpListener {
    use std::os::fd::AsRawFd;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    unsafe {
        set_option(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, receive_buffer);
        set_option(listener.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, ETHERNET_SEGMENT);
    }
    listener
}

unsafe fn set_option(fd: i32, level: i32, name: i32, value: i32) {
    unsafe { setsockopt(fd, level, name, &value, 4) };
}

// Numbers of Linux, the same on x86-64 and arm64.
const PR_SET_PDEATHSIG: i32 = 1;
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const ETHERNET_SEGMENT: i32 = 1448;

/// Sends a GET to an address and returns the answer.
pub fn get(to: SocketAddr, path: &str) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    (&stream)
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    http::read_response(&mut std::io::BufReader::new(&stream)).ok()?
}

// Ports below those that the system gives to outgoing connections, which would otherwise take one of them before
// its process listens.
fn free_ports(count: usize) -> Vec<u16> {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(199);
    let candidates =
        std::iter::repeat_with(|| FIRST + (start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed))) % COUNT);
    let is_free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    candidates.filter_map(|port| u16::try_from(port).ok()).filter(is_free).take(count).collect()
}

//! Stand-in for the platform: starts instances with the command of the deploy file, starts one again after it
//! has ended, and kills one whose memory exceeds `memory_mb`, as DEPLOY.md says.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, SIGKILL, end_with_parent, signal};
use crate::record::Record;

/// `memory_mb` of the smallest deployment in our pages.
pub const MEMORY_MB: u64 = 182;

const RESTART_DELAY: Duration = Duration::from_millis(1000);

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Mutex<Child>,
    settings: PathBuf,
    metrics_port: u16,
    restarts: Mutex<Vec<u64>>,
    peak_kb: Mutex<u64>,
    is_over: Mutex<bool>,
}

#[derive(Clone)]
pub struct Platform {
    pub instances: Arc<Vec<Instance>>,
    record: Record,
    folder: PathBuf,
}

/// Processes that this program has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that are left, for a script that could not run to its end.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap_or_else(std::sync::PoisonError::into_inner).drain(..) {
        signal(pid, SIGKILL);
    }
}

/// Returns the loopback address of the instances, one of their own for each run of a script.
fn ip() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 77, high, low.clamp(1, 254))
}

// Ports below the range from which the system takes those of outgoing connections.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(20_001);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(port < 30_000, "no free port");
        if TcpListener::bind((ip(), port)).is_ok() {
            return port;
        }
    }
}

fn spawn(settings: &Path, metrics_port: u16, log: &Path) -> Child {
    let program = std::env::var("BURDOCKD").unwrap_or_else(|_| "target/deploy/burdockd".to_owned());
    let log = File::options().append(true).create(true).open(log).expect("a log");
    let err = log.try_clone().expect("a log");
    let mut command = Command::new(program);
    // SAFETY: the closure makes a single system call.
    unsafe {
        command.pre_exec(|| {
            end_with_parent();
            Ok(())
        })
    };
    let child = command
        .args(["site", "--metrics-port", &metrics_port.to_string()])
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("HOME", std::env::var("HOME").unwrap_or_default())
        .env("LANG", "C.UTF-8")
        .env("BURDOCKCROFT_NODE_FILE", settings)
        .stdin(std::process::Stdio::null())
        .stdout(log)
        .stderr(err)
        .spawn()
        .expect("burdockd starts");
    let mut started = STARTED.lock().unwrap();
    started.push(child.id());
    child
}

// A process that has been waited for is not signalled again, since its number may be used again.
fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

impl Platform {
    /// Starts instances, each with its name, region and zone.
    pub fn start(store: SocketAddr, machines: &[(&str, &str, &str)], record: &Record) -> Self {
        Self::start_with(store, machines, record, |_| "limits.cpu_share=0.14\n".to_owned())
    }

    /// Starts instances with further settings for each.
    pub fn start_with(
        store: SocketAddr,
        machines: &[(&str, &str, &str)],
        record: &Record,
        more_settings: impl Fn(usize) -> String,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut zones: Vec<String> =
            machines.iter().map(|(_, region, zone)| format!("zones.{zone}={region}\n")).collect();
        zones.sort();
        zones.dedup();
        let instances = machines.iter().enumerate().map(|(nth, (name, region, zone))| {
            let more_settings = more_settings(nth);
            let ip = ip();
            let (front, ready, directory, inner) = (free_port(), free_port(), free_port(), free_port());
            let settings = folder.join(format!("{name}.conf"));
            let mut text = format!(
                "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,directory\nip={ip}\nzone={zone}\nregion={region}\n\
                 listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\nlisten.directory={ip}:{directory}\n\
                 inner_ports={inner},{inner}\nbootstrap=true\nlimits.cores=1\nlimits.memory_mb={MEMORY_MB}\n\
                 limits.max_fds=2870\nlimits.link_mbps=700.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\nheartbeat_s=1.5\n\
                 contracts=base,drain,config,cost,retry,recover,places,tenants,quota,platform\n\
                 bounds.addr_reuse_s=2\nbounds.contact_s=4\nbounds.ack_s=5\nbounds.catch_up_s=4\nbounds.drain_s=2.5\nbounds.grace_s=6\n\
                 bounds.loss_slack_s=0.2\nbounds.config_apply_s=2.5\nbounds.rollback_slack_s=0.25\nbounds.max_stretch_s=6\n\
                 bounds.revoke_strict=false\nbounds.revoke_s=5\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
                 bounds.retry_budget_slack=133\nbounds.quota_window_s=5\nbounds.quota_overshoot=0.1\nbounds.quota_slack=20\n\
                 bounds.warmup_overshoot=1.5\nbounds.warmup_slack=5\nbounds.evacuate_s=5\nbounds.recovery_s=15\nbounds.ttl_max_s=5\n\
                 bounds.max_shift=0.15\nplatform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
                 platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_s=1\n{more_settings}");
            text.extend(zones.iter().map(String::as_str));
            File::create(&settings).and_then(|mut f| f.write_all(text.as_bytes())).expect("settings");
            let address = |port: u16| SocketAddr::from((ip, port));
            let metrics_port = free_port();
            let child = spawn(&settings, metrics_port, &folder.join(format!("{name}.log")));
            record.line(&format!("platform starts {name} as process {}", child.id()));
            Instance {
                name: (*name).to_owned(), front: address(front), ready: address(ready),
                child: Mutex::new(child), settings, metrics_port, restarts: Mutex::default(), peak_kb: Mutex::default(),
                is_over: Mutex::default(),
            }
        }).collect();
        let platform = Self { instances: Arc::new(instances), record: record.clone(), folder };
        let watching = platform.clone();
        thread::spawn(move || {
            loop {
                for instance in watching.instances.iter() {
                    watching.watch(instance);
                }
                thread::sleep(Duration::from_millis(4));
            }
        });
        platform
    }

    /// Waits until all instances are ready and have been in touch for `contact_s`.
    ///
    /// # Panics
    /// If they do not get ready, so that the script can't run.
    pub fn wait_until_in_touch(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while !self.instances.iter().all(|i| is_ready(i.ready)) {
            assert!(Instant::now() < end, "the instances do not get ready");
            thread::sleep(Duration::from_millis(50));
        }
        // Traffic starts 8 s after the machines do.
        thread::sleep(Duration::from_secs(8));
        self.record.line("all instances are in touch");
    }

    /// Returns the times in milliseconds at which processes of an instance have ended.
    pub fn ends(&self, nth: usize) -> Vec<u64> {
        self.instances[nth].restarts.lock().unwrap().clone()
    }

    /// Returns the largest memory of an instance so far, in MB.
    pub fn peak_mb(&self, nth: usize) -> u64 {
        *self.instances[nth].peak_kb.lock().unwrap() / 1024
    }

    fn watch(&self, instance: &Instance) {
        if *instance.is_over.lock().unwrap() {
            return;
        }
        let mut child = instance.child.lock().unwrap();
        if let Ok(Some(status)) = child.try_wait() {
            forget(child.id());
            self.record.line(&format!("platform sees {} end: {status}", instance.name));
            instance.restarts.lock().unwrap().push(self.record.ms());
            drop(child);
            thread::sleep(RESTART_DELAY);
            let mut child = instance.child.lock().unwrap();
            if !*instance.is_over.lock().unwrap() {
                *child = spawn(
                    &instance.settings,
                    instance.metrics_port,
                    &self.folder.join(format!("{}.log", instance.name)),
                );
                self.record.line(&format!(
                    "platform starts {} again as process {}",
                    instance.name,
                    child.id()
                ));
            }
            return;
        }
        let kb = resident_kb(child.id());
        let mut peak = instance.peak_kb.lock().unwrap();
        *peak = (*peak).max(kb);
        if kb > MEMORY_MB * 1024 {
            self.record.line(&format!(
                "platform kills {}: {} MB are over memory_mb={MEMORY_MB}",
                instance.name,
                kb / 1024
            ));
            drop(child.kill());
            drop(child.wait());
            forget(child.id());
            instance.restarts.lock().unwrap().push(self.record.ms());
            drop(child);
            thread::sleep(RESTART_DELAY);
            let mut child = instance.child.lock().unwrap();
            if !*instance.is_over.lock().unwrap() {
                *child = spawn(
                    &instance.settings,
                    instance.metrics_port,
                    &self.folder.join(format!("{}.log", instance.name)),
                );
                self.record.line(&format!(
                    "platform starts {} again as process {}",
                    instance.name,
                    child.id()
                ));
            }
        }
    }

    /// Ends all processes and removes the temporary folder. The logs go to `LOGS` if that is set.
    pub fn end(&self) {
        for instance in self.instances.iter() {
            *instance.is_over.lock().unwrap() = true;
            let mut child = instance.child.lock().unwrap();
            drop(child.kill());
            drop(child.wait());
            forget(child.id());
        }
        if let Ok(logs) = std::env::var("LOGS") {
            for instance in self.instances.iter() {
                let name = format!("{}.log", instance.name);
                drop(fs::copy(self.folder.join(&name), Path::new(&logs).join(&name)));
            }
        }
        drop(fs::remove_dir_all(&self.folder));
    }
}

fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || {
        let mut connection = Connection::open(address)?;
        connection.send(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        connection.read_answer()
    };
    ask().is_ok_and(|answer| answer.status == 200)
}

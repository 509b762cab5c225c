//! The `burdockd` binary as a child process.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

/// Time after which a wait fails the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `burdockd` with its output piped.
    pub fn start(args: &[&str]) -> Self {
        Self::start_with_stdout(args, Stdio::piped())
    }

    /// Starts `burdockd` with the given standard output.
    pub fn start_with_stdout(args: &[&str], stdout: Stdio) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_burdockd"))
            .args(args)
            .stdout(stdout)
            .stderr(Stdio::null())
            .spawn()
            .expect("burdockd starts");
        Self { child }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the first line that the process prints, as JSON.
    pub fn read_first_line(&mut self) -> Value {
        let mut line = String::new();
        let stdout = self.child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout).read_line(&mut line).expect("a line is printed");
        serde_json::from_str(&line).expect("the line is JSON")
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(i32::try_from(self.id()).expect("an id fits")), signal)
            .expect("the process exists");
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the child can be waited for").is_some()
    }

    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the process did not exit in time");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

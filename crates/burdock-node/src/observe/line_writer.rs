//! Log lines on standard output, written by a separate thread so that no request waits for it.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use parking_lot::Mutex;

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 1024;

/// Maximum number of lines per window, beside warnings and errors. More are dropped and counted, so that a
/// burst of requests does not cause a burst of lines.
const MAX_LINES_PER_WINDOW: u32 = 400;

/// Length of the window that the limit on lines applies to.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Stack size of the writing thread, which only copies bytes.
const STACK_BYTES: usize = 64 << 10;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start of the process.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Formats log lines and queues them for the thread that writes them.
#[derive(Debug)]
pub struct LineWriter {
    layout: Box<dyn Layout>,
    tx: SyncSender<Vec<u8>>,
    window: Mutex<(Instant, u32)>,
}

impl LineWriter {
    /// Starts the writing thread.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(layout: impl Into<Box<dyn Layout>>) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&rx))?;
        Ok(Self { layout: layout.into(), tx, window: Mutex::new((Instant::now(), 0)) })
    }

    fn is_within_rate(&self) -> bool {
        let mut window = self.window.lock();
        if window.0.elapsed() >= RATE_WINDOW {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        window.1 <= MAX_LINES_PER_WINDOW
    }
}

impl Append for LineWriter {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let is_warning = record.level() >= logforth::record::Level::Warn;
        if !is_warning && !self.is_within_rate() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if self.tx.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    let mut out = std::io::stdout();
    for line in rx {
        let dropped = dropped();
        if dropped > reported {
            let warning = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"kvs\":{{\"total\":{dropped}}}}}\n"
            );
            reported = dropped;
            // If standard output fails, there is no other place to report it.
            let _lost = out.write_all(warning.as_bytes());
        }
        let _lost = out.write_all(&line);
    }
}

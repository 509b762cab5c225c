//! Log lines on standard output, written by a thread of its own so that no request waits for it.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use parking_lot::Mutex;

/// Lines that may wait to be written.
const WAITING_LINES: usize = 1024;

/// Lines in a second; more are counted and dropped, so that a storm of requests is not also one of lines.
const LINES_PER_SECOND: u32 = 400;

/// Window that lines are counted in.
const WINDOW: Duration = Duration::from_secs(1);

/// Memory of the thread's stack: it only copies bytes.
const STACK_BYTES: usize = 64 << 10;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped so far.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Hands lines to the thread that writes them.
#[derive(Debug)]
pub struct LineWriter {
    layout: Box<dyn Layout>,
    tx: SyncSender<Vec<u8>>,
    window: Mutex<(Instant, u32)>,
}

impl LineWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// When no thread can be had.
    pub fn start(layout: impl Into<Box<dyn Layout>>) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(WAITING_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write(&rx))?;
        Ok(Self { layout: layout.into(), tx, window: Mutex::new((Instant::now(), 0)) })
    }

    fn has_room(&self) -> bool {
        let mut window = self.window.lock();
        if window.0.elapsed() >= WINDOW {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        window.1 <= LINES_PER_SECOND
    }
}

impl Append for LineWriter {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let urgent = record.level() >= logforth::record::Level::Warn;
        if !urgent && !self.has_room() {
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

fn write(rx: &Receiver<Vec<u8>>) {
    let mut told = 0;
    let mut out = std::io::stdout();
    for line in rx {
        let dropped = dropped();
        if dropped > told {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"kvs\":{{\"total\":{dropped}}}}}\n"
            );
            told = dropped;
            // Without standard output there is nowhere to tell of it.
            let _lost = out.write_all(note.as_bytes());
        }
        let _lost = out.write_all(&line);
    }
}

//! Threads that run the sessions with other instances.

use std::rc::Rc;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Job that starts on a session thread and stays there.
pub type LocalJob = Box<dyn FnOnce(Rc<LocalState>) -> LocalBoxFuture<'static, ()> + Send>;

/// Limit on jobs that wait for one thread to start them.
const MAX_QUEUED_JOBS: usize = 4096;

/// State of one session thread.
#[derive(Default)]
pub struct LocalState {
    /// Outgoing sessions of the thread.
    pub sessions: std::cell::RefCell<crate::client::Sessions>,
}

/// Fixed set of threads, each with its own event loop.
#[derive(Clone, Debug)]
pub struct SessionThreads {
    queues: Arc<[mpsc::Sender<LocalJob>]>,
}

impl SessionThreads {
    /// Starts `count` threads, at least one. They end when the last handle is dropped.
    pub fn start(count: usize) -> std::io::Result<Self> {
        let mut queues = Vec::with_capacity(count);
        for ix in 0..count.max(1) {
            let (tx, rx) = mpsc::channel(MAX_QUEUED_JOBS);
            std::thread::Builder::new().name(format!("peer-{ix}")).spawn(move || run_jobs(rx))?;
            queues.push(tx);
        }
        Ok(Self { queues: queues.into() })
    }

    /// Queues a job for the thread that `key` maps to. Returns whether the queue had room.
    pub fn submit(&self, key: u64, job: LocalJob) -> bool {
        let ix = usize::try_from(key % self.queues.len() as u64).unwrap_or(0);
        self.queues[ix].try_send(job).is_ok()
    }
}

fn run_jobs(mut rx: mpsc::Receiver<LocalJob>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return;
    };
    let local_set = LocalSet::new();
    local_set.block_on(&runtime, async move {
        let state = Rc::new(LocalState::default());
        while let Some(job) = rx.recv().await {
            tokio::task::spawn_local(job(Rc::clone(&state)));
        }
    });
}

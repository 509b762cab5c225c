//! Threads that sessions run on.

use std::rc::Rc;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Work that is started on a session thread and stays there.
pub type LocalJob = Box<dyn FnOnce(Rc<LocalState>) -> LocalBoxFuture<'static, ()> + Send>;

/// Jobs that may wait to be started on one thread.
const QUEUE: usize = 4096;

/// What belongs to one thread: its outgoing sessions.
#[derive(Default)]
pub struct LocalState {
    /// Sessions by address.
    pub sessions: std::cell::RefCell<crate::client::Sessions>,
}

/// A fixed set of threads, each with its own event loop.
#[derive(Clone, Debug)]
pub struct SessionThreads {
    queues: Arc<[mpsc::Sender<LocalJob>]>,
}

impl SessionThreads {
    /// Starts this many threads. They end when the last handle is dropped.
    pub fn start(count: usize) -> std::io::Result<Self> {
        let mut queues = Vec::with_capacity(count);
        for ix in 0..count.max(1) {
            let (tx, rx) = mpsc::channel(QUEUE);
            std::thread::Builder::new().name(format!("peer-{ix}")).spawn(move || run(rx))?;
            queues.push(tx);
        }
        Ok(Self { queues: queues.into() })
    }

    /// Starts a job on the thread that a number falls to. Returns whether there was room.
    pub fn submit(&self, number: u64, job: LocalJob) -> bool {
        let ix = usize::try_from(number % self.queues.len() as u64).unwrap_or(0);
        self.queues[ix].try_send(job).is_ok()
    }
}

fn run(mut rx: mpsc::Receiver<LocalJob>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return;
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let state = Rc::new(LocalState::default());
        while let Some(job) = rx.recv().await {
            tokio::task::spawn_local(job(Rc::clone(&state)));
        }
    });
}

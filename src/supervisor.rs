//! Restarts tasks that end unexpectedly. Each task has one parent, so that tasks form a tree.

use std::future::Future;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::event::{Event, Recorder};

/// Delay before the first restart; doubled after each restart.
const BACKOFF_INITIAL: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Runs tasks and restarts those that end, until the supervisor is dropped. The tasks that are running at that
/// time aren't aborted.
#[derive(Debug)]
pub struct Supervisor {
    recorder: Recorder,
    children: JoinSet<()>,
}

impl Supervisor {
    /// Returns a supervisor without tasks.
    pub fn new(recorder: Recorder) -> Supervisor {
        Supervisor {
            recorder,
            children: JoinSet::new(),
        }
    }

    /// Starts a task; `new_task` is called again whenever the task ends.
    pub fn spawn<F, Fut>(&mut self, name: &str, mut new_task: F)
    where
        F: FnMut() -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let name = name.to_string();
        let recorder = self.recorder.clone();
        self.children.spawn(async move {
            let mut backoff = BACKOFF_INITIAL;
            loop {
                let result = tokio::spawn(new_task()).await;
                let reason = match result {
                    Ok(()) => "it returned".to_string(),
                    Err(e) => e.to_string(),
                };
                recorder.record(Event::ChildRestarted {
                    child: name.clone(),
                    reason,
                });
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        });
    }

    /// Stops restarting tasks; those that are running aren't aborted.
    pub async fn stop(mut self) {
        self.children.shutdown().await;
    }
}

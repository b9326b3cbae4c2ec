//! Restarts tasks that end though they should not; each has one parent, so they form a tree.

use std::future::Future;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::event::{Event, Recorder};

/// The pause before the first restart; it doubles with each one.
const BACKOFF_INITIAL: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Runs tasks and starts those again that end; dropping it ends them all.
#[derive(Debug)]
pub struct Supervisor {
    recorder: Recorder,
    children: JoinSet<()>,
}

impl Supervisor {
    /// Returns a supervisor without children.
    pub fn new(recorder: Recorder) -> Supervisor {
        Supervisor {
            recorder,
            children: JoinSet::new(),
        }
    }

    /// Starts a child; `make` is called again whenever its task ends.
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

    /// Ends all children.
    pub async fn stop(mut self) {
        self.children.shutdown().await;
    }
}

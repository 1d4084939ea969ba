//! Tasks and threads without which a process does not do its work. A panic in a task of the runtime ends that task alone; one
//! in an essential task has to end the process, which is then started again.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::future::Future;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use tokio::sync::oneshot;
use tokio::task::{Id, JoinSet};

/// An essential task has panicked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the task `{name}` has panicked")]
pub(crate) struct EssentialTaskFailed {
    name: &'static str,
}

/// The essential tasks of a process. Dropping them ends the tasks.
#[derive(Debug, Default)]
pub(crate) struct EssentialTasks {
    tasks: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

impl EssentialTasks {
    /// Starts a task. It may return: only a panic is a failure. Must be called within a [`tokio::task::LocalSet`].
    pub(crate) fn spawn_local(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let handle = self.tasks.spawn_local(task);
        self.names.insert(handle.id(), name);
    }

    /// Starts a thread, whose panic is a failure too. The thread goes on when the tasks are dropped.
    pub(crate) fn spawn_thread(&mut self, name: &'static str, work: impl FnOnce() + Send + 'static) {
        let (ended, end) = oneshot::channel();
        std::thread::spawn(move || {
            let result = catch_unwind(AssertUnwindSafe(work));
            let _ = ended.send(result);
        });
        self.spawn_local(name, async move {
            if let Ok(Err(panic)) = end.await {
                resume_unwind(panic);
            }
        });
    }

    /// Completes once a task has panicked.
    pub(crate) async fn failed(&mut self) -> EssentialTaskFailed {
        while let Some(ended) = self.tasks.join_next_with_id().await {
            match ended {
                Ok((id, ())) => drop(self.names.remove(&id)),
                Err(error) => {
                    let name = self.names.remove(&error.id()).unwrap_or("unnamed");
                    if error.is_panic() {
                        return EssentialTaskFailed { name };
                    }
                }
            }
        }
        std::future::pending().await
    }
}

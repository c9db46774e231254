//! Tasks that end with their owners.

use std::future::Future;

use tokio::task::{AbortHandle, spawn_local};

/// Aborts a task when it is dropped.
#[derive(Debug)]
pub(crate) struct TaskGuard(AbortHandle);

impl TaskGuard {
    /// Starts a task on this thread.
    pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) -> Self {
        Self(spawn_local(task).abort_handle())
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

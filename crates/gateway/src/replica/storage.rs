//! The storage thread: syncs what the replica of the log has to keep, and nothing else.

use std::sync::mpsc;
use std::thread::JoinHandle;

use oriolepass_consensus::PersistBatch;
use oriolepass_storage::{LogStore, StorageError, SuspectTails};
use tokio::sync::mpsc::UnboundedSender;

/// Batches synced together at most.
const MAX_GROUP: usize = 64;

/// What the storage thread tells the event loop.
#[derive(Debug)]
pub(crate) enum StorageReport {
    /// Everything up to this batch is synced.
    Synced(u64),
    /// The disk failed. What it holds is not known any more, so the replica must be read again,
    /// without what only looks durable.
    Failed(StorageError, SuspectTails),
}

/// Starts the thread. It ends when the batches' sender is gone or the disk fails.
///
/// The reports' queue holds at most one report a batch.
///
/// # Errors
///
/// Returns the operating system's error when the thread cannot be started.
pub(crate) fn start(
    store: LogStore,
    batches: mpsc::Receiver<PersistBatch>,
    reports: UnboundedSender<StorageReport>,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("storage".into()).spawn(move || run(store, &batches, &reports))
}

fn run(
    mut store: LogStore,
    batches: &mpsc::Receiver<PersistBatch>,
    reports: &UnboundedSender<StorageReport>,
) {
    while let Ok(first) = batches.recv() {
        let mut group = vec![first];
        while group.len() < MAX_GROUP {
            let Ok(next) = batches.try_recv() else { break };
            group.push(next);
        }
        let report = match PersistBatch::write_group(&mut store, &group) {
            Ok(()) => StorageReport::Synced(group.last().map_or(0, |batch| batch.sequence)),
            Err(error) => StorageReport::Failed(error, store.suspect_tails()),
        };
        let is_over = matches!(report, StorageReport::Failed(..));
        if reports.send(report).is_err() || is_over {
            return;
        }
    }
}

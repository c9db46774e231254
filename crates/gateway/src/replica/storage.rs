//! The storage thread: reads the disk, then syncs what the replica of the log has to keep, and
//! nothing else. A disk that hangs stops this thread alone.

use std::path::PathBuf;
use std::sync::mpsc;
use std::thread::JoinHandle;

use oriolepass_consensus::PersistBatch;
use oriolepass_storage::{DiskFolder, LogStore, RecoveredLog, StorageError, UnsyncedTails};
use tokio::sync::mpsc::UnboundedSender;

/// Batches synced together at most.
const MAX_GROUP: usize = 64;

/// The size at which a segment of the log is ended; the platform's disks hold 64 MB.
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;

/// What the storage thread tells the event loop.
#[derive(Debug)]
pub(crate) enum StorageReport {
    /// The disk has been read; batches are taken from now on.
    Opened(RecoveredLog),
    /// Everything up to this batch is synced.
    Synced(u64),
    /// The disk failed, and the thread ends. What the disk holds is not known any more, so the
    /// replica must be read again, without what only looks durable.
    Failed(StorageError, UnsyncedTails),
}

/// What the storage thread works with.
pub(crate) struct StorageDuty {
    pub(crate) folder: PathBuf,
    /// What a thread before this one has left on the disk and has not synced.
    pub(crate) suspects: UnsyncedTails,
    pub(crate) batches: mpsc::Receiver<PersistBatch>,
    /// Holds at most one report a batch, and two more.
    pub(crate) reports: UnboundedSender<StorageReport>,
}

impl StorageDuty {
    /// Starts the thread. It ends when the batches' sender is gone or the disk fails.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the thread cannot be started.
    pub(crate) fn start(self) -> std::io::Result<JoinHandle<()>> {
        std::thread::Builder::new().name("storage".into()).spawn(move || self.run())
    }

    fn run(mut self) {
        let opened = DiskFolder::open(&self.folder).and_then(|folder| {
            LogStore::open_after_failure(folder, SEGMENT_BYTES, &mut self.suspects)
        });
        match opened {
            Ok((store, recovered)) => {
                if self.report(StorageReport::Opened(recovered)) {
                    self.write_batches(store);
                }
            }
            Err(error) => {
                let suspects = std::mem::take(&mut self.suspects);
                self.report(StorageReport::Failed(error, suspects));
            }
        }
    }

    /// Tells the event loop; returns whether it is still there.
    fn report(&self, report: StorageReport) -> bool {
        self.reports.send(report).is_ok()
    }

    /// Writes until nobody wants it any more or the disk fails.
    fn write_batches(&self, mut store: LogStore) {
        while let Ok(first) = self.batches.recv() {
            let mut group = vec![first];
            while group.len() < MAX_GROUP {
                let Ok(next) = self.batches.try_recv() else { break };
                group.push(next);
            }
            if let Err(error) = PersistBatch::write_group(&mut store, &group) {
                self.report(StorageReport::Failed(error, store.unsynced_tails()));
                return;
            }
            let last = group.last().map_or(0, |batch| batch.sequence);
            if !self.report(StorageReport::Synced(last)) {
                return;
            }
        }
    }
}

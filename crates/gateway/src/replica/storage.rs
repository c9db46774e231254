//! Runs the storage thread, which reads the disk and then syncs the batches of the log's replica.
//!
//! The thread has no other work and no other thread accesses the log's files, so a disk that hangs
//! during a write of the log blocks only this thread.

use std::path::PathBuf;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use oriolepass_consensus::PersistBatch;
use oriolepass_storage::{
    DiskFolder, FolderOpening, LogStore, RecoveredLog, StorageError, UnsyncedTails,
};
use tokio::sync::mpsc::UnboundedSender;

/// The maximum number of batches in one sync.
const MAX_BATCHES_PER_SYNC: usize = 64;

/// The size at which a segment of the log is closed; the platform's disks hold 64 MB.
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;

/// A report of the storage thread to the event loop.
#[derive(Debug)]
pub(crate) enum StorageReport {
    /// The disk has been read, and the thread accepts batches.
    Opened(RecoveredLog, FolderOpening),
    /// All batches up to this sequence number are synced, and how long the disk took.
    Synced(u64, Duration),
    /// The disk failed, and the thread ends. The contents of the disk are unknown, so the replica
    /// has to be read again, without the data that appears durable but was not synced.
    Failed(StorageError, UnsyncedTails),
}

/// The inputs and outputs of the storage thread.
pub(crate) struct StorageThread {
    pub(crate) folder: PathBuf,
    /// Data that an earlier thread wrote to the disk and did not sync.
    pub(crate) unsynced_tails: UnsyncedTails,
    pub(crate) batches: mpsc::Receiver<PersistBatch>,
    /// Unbounded, but holds at most one report for each batch and two other reports.
    pub(crate) reports: UnboundedSender<StorageReport>,
}

impl StorageThread {
    /// Starts the thread. It ends when the sender of batches is dropped or the disk fails.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the thread cannot be started.
    pub(crate) fn start(self) -> std::io::Result<JoinHandle<()>> {
        std::thread::Builder::new().name("storage".into()).spawn(move || self.run())
    }

    fn run(mut self) {
        let opened = DiskFolder::open(&self.folder).and_then(|(folder, opening)| {
            let tails = &mut self.unsynced_tails;
            let (store, recovered) = LogStore::open_after_failure(folder, SEGMENT_BYTES, tails)?;
            Ok((store, recovered, opening))
        });
        match opened {
            Ok((store, recovered, opening)) => {
                if self.report(StorageReport::Opened(recovered, opening)) {
                    self.write_batches(store);
                }
            }
            Err(error) => {
                let unsynced_tails = std::mem::take(&mut self.unsynced_tails);
                self.report(StorageReport::Failed(error, unsynced_tails));
            }
        }
    }

    /// Sends a report to the event loop; returns whether the event loop still receives reports.
    fn report(&self, report: StorageReport) -> bool {
        self.reports.send(report).is_ok()
    }

    /// Writes batches until a channel is closed or the disk fails.
    fn write_batches(&self, mut store: LogStore) {
        while let Ok(first) = self.batches.recv() {
            let mut group = vec![first];
            while group.len() < MAX_BATCHES_PER_SYNC {
                let Ok(next) = self.batches.try_recv() else { break };
                group.push(next);
            }
            let start = Instant::now();
            if let Err(error) = PersistBatch::write_group(&mut store, &group) {
                self.report(StorageReport::Failed(error, store.unsynced_tails()));
                return;
            }
            let last = group.last().map_or(0, |batch| batch.sequence);
            if !self.report(StorageReport::Synced(last, start.elapsed())) {
                return;
            }
        }
    }
}

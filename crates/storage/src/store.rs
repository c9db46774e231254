//! Implements the log store: appends records, saves snapshots and removes covered segments.

use std::collections::BTreeMap;

use oriolepass_units::LogIndex;

use crate::error::StorageError;
use crate::folder::{AppendFile, DiskFolder};
use crate::frame;
use crate::record::{HardState, LogRecord, SnapshotMeta};
use crate::recovery::{self, RecoveredLog};

/// Size of a segment in bytes at which the next append starts a new segment.
pub const DEFAULT_SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Name of the temporary file to which a snapshot is written before it is complete.
const SNAPSHOT_TEMP_FILE: &str = "snapshot.tmp";

pub(crate) fn segment_name(number: u64) -> String {
    format!("segment-{number:016x}.log")
}

pub(crate) fn snapshot_name(index: LogIndex) -> String {
    format!("snapshot-{:016x}.bin", index.0)
}

/// The synced lengths of files that may end in readable bytes that are not durable.
///
/// After a failed sync the kernel may mark the dirty pages as clean. The bytes can still be read,
/// and a second sync succeeds without writing them. Only the process that saw the failure knows
/// how far its files were synced, so it passes the synced lengths to
/// [`LogStore::open_after_failure`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnsyncedTails(BTreeMap<String, u64>);

impl UnsyncedTails {
    /// Truncates each file to its synced length.
    fn truncate(&mut self, folder: &DiskFolder) -> Result<(), StorageError> {
        if self.0.is_empty() {
            return Ok(());
        }
        for name in folder.list()? {
            if let Some(synced) = self.0.get(&name) {
                folder.truncate(&name, *synced)?;
            }
        }
        self.0.clear();
        Ok(())
    }
}

/// The durable log of one replica.
#[derive(Debug)]
pub struct LogStore {
    folder: DiskFolder,
    segment_bytes: u64,
    newest: AppendFile,
    newest_number: u64,
    newest_length: u64,
    /// The index of the last entry in each older segment. A segment can be removed once a snapshot
    /// covers that index.
    older: BTreeMap<u64, LogIndex>,
    last_index: LogIndex,
    hard: HardState,
    /// Whether an operation failed, after which the store refuses all others.
    poisoned: bool,
}

impl LogStore {
    /// Opens the store and recovers its log.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be read or written, or if synced data is damaged.
    pub fn open(
        folder: DiskFolder,
        segment_bytes: u64,
    ) -> Result<(Self, RecoveredLog), StorageError> {
        Self::open_after_failure(folder, segment_bytes, &mut UnsyncedTails::default())
    }

    /// Reopens the store in the process that saw it fail. The unsynced tails of its files are
    /// truncated first.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`LogStore::open`]. `tails` then holds the tails that the next
    /// attempt has to truncate.
    pub fn open_after_failure(
        folder: DiskFolder,
        segment_bytes: u64,
        tails: &mut UnsyncedTails,
    ) -> Result<(Self, RecoveredLog), StorageError> {
        tails.truncate(&folder)?;
        let recovery = recovery::read(&folder)?;
        let number = recovery.next_segment;
        tails.0.insert(segment_name(number), 0);
        let mut store = Self {
            newest: folder.append_to(&segment_name(number))?,
            folder,
            segment_bytes,
            newest_number: number,
            newest_length: 0,
            older: recovery.segment_ends,
            last_index: recovery.log.last_index(),
            hard: recovery.log.hard.clone(),
            poisoned: false,
        };
        store.write_first_frame()?;
        tails.0.clear();
        Ok((store, recovery.log))
    }

    /// Returns the tails that may be readable but not durable after the store has failed.
    pub fn unsynced_tails(&self) -> UnsyncedTails {
        let newest = segment_name(self.newest_number);
        UnsyncedTails(BTreeMap::from([(newest, self.newest_length)]))
    }

    /// Appends records as one frame and syncs it.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame may not be durable. The store then refuses all operations
    /// until it is reopened, because after a failed sync the kernel may have dropped the bytes and
    /// a second sync would still report success.
    pub fn append(&mut self, records: &[LogRecord]) -> Result<(), StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.newest_length >= self.segment_bytes {
            self.poison_on_error(Self::start_next_segment)?;
        }
        for record in records {
            match record {
                LogRecord::Hard(hard) => self.hard = hard.clone(),
                LogRecord::Entry(entry) => self.last_index = entry.index,
                LogRecord::Reset { index, .. } => self.last_index = *index,
            }
        }
        let payload = postcard::to_stdvec(records).expect("records always serialise");
        self.poison_on_error(|store| store.write_frame(&payload))
    }

    /// Writes a snapshot and syncs it.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot may not be durable. The previous snapshot remains.
    pub fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StorageError> {
        let payload = postcard::to_stdvec(&(meta, data)).expect("a snapshot always serialises");
        self.poison_on_error(|store| {
            if store.folder.list()?.iter().any(|name| name == SNAPSHOT_TEMP_FILE) {
                store.folder.remove(SNAPSHOT_TEMP_FILE)?;
            }
            let mut draft = store.folder.append_to(SNAPSHOT_TEMP_FILE)?;
            draft.write(&frame::encode(&payload))?;
            draft.sync()?;
            store.folder.rename(SNAPSHOT_TEMP_FILE, &snapshot_name(meta.index))?;
            store.folder.sync()
        })
    }

    /// Removes the segments and snapshots that a synced snapshot at `index` covers. Entries after
    /// `keep_after` are retained for followers that lag slightly.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be removed.
    pub fn compact(&mut self, index: LogIndex, keep_after: LogIndex) -> Result<(), StorageError> {
        let bound = index.min(keep_after);
        let covered: Vec<u64> = self
            .older
            .iter()
            .take_while(|(_, last)| **last <= bound)
            .map(|(number, _)| *number)
            .collect();
        let current = snapshot_name(index);
        self.poison_on_error(|store| {
            for number in covered {
                store.folder.remove(&segment_name(number))?;
                store.older.remove(&number);
            }
            for name in store.folder.list()? {
                if name.starts_with("snapshot-") && name < current {
                    store.folder.remove(&name)?;
                }
            }
            store.folder.sync()
        })
    }

    /// Runs an operation. If it fails, the store refuses all later operations.
    fn poison_on_error(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        let result = operation(self);
        self.poisoned = result.is_err();
        result
    }

    /// Starts a new segment after the newest one.
    fn start_next_segment(&mut self) -> Result<(), StorageError> {
        self.older.insert(self.newest_number, self.last_index);
        self.newest_number += 1;
        self.newest_length = 0;
        self.newest = self.folder.append_to(&segment_name(self.newest_number))?;
        self.write_first_frame()
    }

    /// Writes the hard state as the first frame of a segment, so that older segments can be
    /// removed.
    fn write_first_frame(&mut self) -> Result<(), StorageError> {
        let first = [LogRecord::Hard(self.hard.clone())];
        let payload = postcard::to_stdvec(&first[..]).expect("records always serialise");
        self.write_frame(&payload)?;
        self.folder.sync()
    }

    /// Appends a frame to the newest segment and syncs it.
    fn write_frame(&mut self, payload: &[u8]) -> Result<(), StorageError> {
        let bytes = frame::encode(payload);
        self.newest.write(&bytes)?;
        self.newest.sync()?;
        self.newest_length += bytes.len() as u64;
        Ok(())
    }
}

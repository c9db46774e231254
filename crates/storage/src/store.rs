//! The store: appends records, takes snapshots, drops what they cover.

use std::collections::BTreeMap;

use oriolepass_units::LogIndex;

use crate::error::StorageError;
use crate::folder::{AppendFile, DiskFolder};
use crate::frame;
use crate::record::{HardState, LogRecord, SnapshotMeta};
use crate::recovery::{self, RecoveredLog};

/// The size at which a new segment is started, in bytes.
pub const DEFAULT_SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// The name under which a snapshot is written before it is whole.
const SNAPSHOT_DRAFT: &str = "snapshot.tmp";

pub(crate) fn segment_name(number: u64) -> String {
    format!("segment-{number:016x}.log")
}

pub(crate) fn snapshot_name(index: LogIndex) -> String {
    format!("snapshot-{:016x}.bin", index.0)
}

/// Where a failed sync may have left bytes that can be read and are not durable.
///
/// A failed sync lets the kernel forget that the bytes have to be written: they can still be read,
/// and a second sync succeeds without them. Only the process that saw the failure knows how far
/// its files were synced, so it hands that on to the next opening.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnsyncedTails(BTreeMap<String, u64>);

impl UnsyncedTails {
    /// Cuts each file to the length that was synced.
    fn cut(&mut self, folder: &DiskFolder) -> Result<(), StorageError> {
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
    /// The last entry index that each older segment holds; such a segment can go once a
    /// snapshot covers that index.
    older: BTreeMap<u64, LogIndex>,
    last_index: LogIndex,
    hard: HardState,
    poisoned: bool,
}

impl LogStore {
    /// Opens the store and reads everything that it kept.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be read or written, or synced data is damaged.
    pub fn open(
        folder: DiskFolder,
        segment_bytes: u64,
    ) -> Result<(Self, RecoveredLog), StorageError> {
        Self::open_after_failure(folder, segment_bytes, &mut UnsyncedTails::default())
    }

    /// Opens the store in the process that saw it fail.
    ///
    /// # Errors
    ///
    /// As [`LogStore::open`]; `suspects` then says what a later try has to cut.
    pub fn open_after_failure(
        folder: DiskFolder,
        segment_bytes: u64,
        suspects: &mut UnsyncedTails,
    ) -> Result<(Self, RecoveredLog), StorageError> {
        suspects.cut(&folder)?;
        let recovery = recovery::read(&folder)?;
        let number = recovery.next_segment;
        suspects.0.insert(segment_name(number), 0);
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
        store.begin_segment()?;
        suspects.0.clear();
        Ok((store, recovery.log))
    }

    /// Returns what may look durable and is not, once the store has failed.
    pub fn unsynced_tails(&self) -> UnsyncedTails {
        let newest = segment_name(self.newest_number);
        UnsyncedTails(BTreeMap::from([(newest, self.newest_length)]))
    }

    /// Appends records as one frame and syncs it.
    ///
    /// # Errors
    ///
    /// Returns an error when the frame may not be durable. The store then refuses everything
    /// until it is opened again: after a failed sync the kernel may have dropped the bytes while
    /// a second sync would report success.
    pub fn append(&mut self, records: &[LogRecord]) -> Result<(), StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.newest_length >= self.segment_bytes {
            self.guarded(Self::roll)?;
        }
        for record in records {
            match record {
                LogRecord::Hard(hard) => self.hard = hard.clone(),
                LogRecord::Entry(entry) => self.last_index = entry.index,
                LogRecord::Reset { index, .. } => self.last_index = *index,
            }
        }
        let payload = postcard::to_stdvec(records).expect("records always serialise");
        self.guarded(|store| store.write_frame(&payload))
    }

    /// Writes a snapshot and syncs it.
    ///
    /// # Errors
    ///
    /// Returns an error when the snapshot may not be durable; the earlier one is still there.
    pub fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StorageError> {
        let payload = postcard::to_stdvec(&(meta, data)).expect("a snapshot always serialises");
        self.guarded(|store| {
            if store.folder.list()?.iter().any(|name| name == SNAPSHOT_DRAFT) {
                store.folder.remove(SNAPSHOT_DRAFT)?;
            }
            let mut draft = store.folder.append_to(SNAPSHOT_DRAFT)?;
            draft.write(&frame::encode(&payload))?;
            draft.sync()?;
            store.folder.rename(SNAPSHOT_DRAFT, &snapshot_name(meta.index))?;
            store.folder.sync()
        })
    }

    /// Removes segments and snapshots that a synced snapshot at `index` makes superfluous,
    /// keeping entries after `keep_after` for followers that lag a little.
    ///
    /// # Errors
    ///
    /// Returns an error when a file cannot be removed.
    pub fn compact(&mut self, index: LogIndex, keep_after: LogIndex) -> Result<(), StorageError> {
        let bound = index.min(keep_after);
        let superfluous: Vec<u64> = self
            .older
            .iter()
            .take_while(|(_, last)| **last <= bound)
            .map(|(number, _)| *number)
            .collect();
        let current = snapshot_name(index);
        self.guarded(|store| {
            for number in superfluous {
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

    /// Runs an operation; its failure makes the store refuse everything that follows.
    fn guarded(
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

    fn roll(&mut self) -> Result<(), StorageError> {
        self.older.insert(self.newest_number, self.last_index);
        self.newest_number += 1;
        self.newest_length = 0;
        self.newest = self.folder.append_to(&segment_name(self.newest_number))?;
        self.begin_segment()
    }

    /// Starts a segment with the hard state, so that older segments can be removed.
    fn begin_segment(&mut self) -> Result<(), StorageError> {
        let first = [LogRecord::Hard(self.hard.clone())];
        let payload = postcard::to_stdvec(&first[..]).expect("records always serialise");
        self.write_frame(&payload)?;
        self.folder.sync()
    }

    fn write_frame(&mut self, payload: &[u8]) -> Result<(), StorageError> {
        let bytes = frame::encode(payload);
        self.newest.write(&bytes)?;
        self.newest.sync()?;
        self.newest_length += bytes.len() as u64;
        Ok(())
    }
}

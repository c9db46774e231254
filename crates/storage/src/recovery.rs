//! Recovers the log from the files of the data folder.

use std::collections::BTreeMap;

use oriolepass_units::{LeaderTerm, LogIndex};

use crate::error::StorageError;
use crate::folder::DiskFolder;
use crate::frame::{self, FrameRead};
use crate::record::{HardState, LogRecord, SnapshotMeta, StoredEntry};

/// The content of the store after recovery.
#[derive(Debug, Default)]
pub struct RecoveredLog {
    /// The hard state.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// The entries after the snapshot, in order and without gaps.
    pub entries: Vec<StoredEntry>,
    /// Number of bytes of a torn last frame that were truncated.
    pub cut_bytes: u64,
}

impl RecoveredLog {
    /// Returns the index of the last entry, or of the snapshot if there is no entry after it.
    pub fn last_index(&self) -> LogIndex {
        let base = self.snapshot.as_ref().map_or(LogIndex::ZERO, |(meta, _)| meta.index);
        self.entries.last().map_or(base, |entry| entry.index)
    }
}

/// The recovered log with the numbers of its segments.
pub(crate) struct Recovery {
    pub(crate) log: RecoveredLog,
    pub(crate) next_segment: u64,
    /// The index of the last entry at the end of each segment.
    pub(crate) segment_ends: BTreeMap<u64, LogIndex>,
}

fn damaged(file: &str, offset: usize, detail: impl Into<String>) -> StorageError {
    StorageError::Damaged { file: file.to_owned(), offset: offset as u64, detail: detail.into() }
}

/// Reads the snapshot and all segments, and truncates a torn last frame.
pub(crate) fn read(folder: &DiskFolder) -> Result<Recovery, StorageError> {
    let names = folder.list()?;
    let mut reader = SegmentReader::default();
    reader.log.snapshot = read_snapshot(folder, &names)?;
    let segments: Vec<(u64, &String)> = names
        .iter()
        .filter_map(|name| {
            let digits = name.strip_prefix("segment-")?.strip_suffix(".log")?;
            Some((u64::from_str_radix(digits, 16).ok()?, name))
        })
        .collect();
    for (position, (number, name)) in segments.iter().enumerate() {
        let newest = position + 1 == segments.len();
        reader.read_segment(folder, name, newest)?;
        reader.ends.insert(*number, reader.last);
    }
    if let Some((_, newest)) = segments.last() {
        // A process that was killed before its sync leaves a good frame only in the page cache.
        // Later operations depend on the frames read here, and no later sync covers this file.
        // Without this sync, a power loss could tear the file, and every later start would refuse
        // it as damaged.
        folder.sync_file(newest)?;
    }
    let next_segment = segments.last().map_or(1, |(number, _)| number + 1);
    reader.trim_to_snapshot(segments.first().map(|(_, name)| name.as_str()))?;
    Ok(Recovery { log: reader.log, next_segment, segment_ends: reader.ends })
}

/// Reads the newest snapshot.
fn read_snapshot(
    folder: &DiskFolder,
    names: &[String],
) -> Result<Option<(SnapshotMeta, Vec<u8>)>, StorageError> {
    let Some(name) = names.iter().rfind(|name| name.starts_with("snapshot-")) else {
        return Ok(None);
    };
    let bytes = folder.read(name)?;
    let FrameRead::Good(payload, _) = frame::read(&bytes, 0) else {
        // A snapshot is synced before it is renamed, so a bad frame is damage, not a torn write.
        return Err(damaged(name, 0, "the snapshot frame is invalid"));
    };
    postcard::from_bytes(payload)
        .map(Some)
        .map_err(|error| damaged(name, 0, format!("the snapshot cannot be decoded: {error}")))
}

/// Replays the segments in the order of their numbers.
#[derive(Default)]
struct SegmentReader {
    log: RecoveredLog,
    /// Entries by index. Entries that the snapshot covers are removed after the last segment.
    entries: BTreeMap<LogIndex, StoredEntry>,
    last: LogIndex,
    reset: Option<(LogIndex, LeaderTerm)>,
    ends: BTreeMap<u64, LogIndex>,
}

impl SegmentReader {
    /// Returns the index of the last entry that the snapshot covers.
    fn base(&self) -> LogIndex {
        self.log.snapshot.as_ref().map_or(LogIndex::ZERO, |(meta, _)| meta.index)
    }

    /// Reads a segment. A torn last frame is truncated in the newest segment and an error in
    /// others.
    fn read_segment(
        &mut self,
        folder: &DiskFolder,
        name: &str,
        newest: bool,
    ) -> Result<(), StorageError> {
        let bytes = folder.read(name)?;
        let mut offset = 0;
        loop {
            match frame::read(&bytes, offset) {
                FrameRead::End => return Ok(()),
                FrameRead::Good(payload, next) => {
                    let records: Vec<LogRecord> = postcard::from_bytes(payload).map_err(|e| {
                        damaged(name, offset, format!("a good frame cannot be decoded: {e}"))
                    })?;
                    self.replay(name, offset, records)?;
                    offset = next;
                }
                // Each frame is synced before the next one is written, so only the last frame of
                // the newest segment can be torn. All other data was synced.
                FrameRead::Bad(detail) if !newest || frame::has_frame_after(&bytes, offset) => {
                    return Err(damaged(name, offset, detail));
                }
                FrameRead::Bad(_) => {
                    self.log.cut_bytes += (bytes.len() - offset) as u64;
                    return folder.truncate(name, offset as u64);
                }
            }
        }
    }

    /// Applies the records of one frame.
    fn replay(
        &mut self,
        name: &str,
        offset: usize,
        records: Vec<LogRecord>,
    ) -> Result<(), StorageError> {
        for record in records {
            match record {
                LogRecord::Hard(hard) => self.log.hard = hard,
                LogRecord::Reset { index, term } => {
                    self.entries.clear();
                    self.last = index;
                    self.reset = Some((index, term));
                }
                LogRecord::Entry(entry) => {
                    if self.last != LogIndex::ZERO && entry.index > self.last.next() {
                        // A crash during compaction may undo the removal of one segment and not
                        // of the next one. The snapshot covers such a gap. Any other gap means
                        // that a file is missing.
                        if entry.index > self.base().next() {
                            let detail =
                                format!("entry {} follows entry {}", entry.index, self.last);
                            return Err(damaged(name, offset, detail));
                        }
                        self.entries.clear();
                    }
                    self.entries.split_off(&entry.index);
                    self.last = entry.index;
                    self.entries.insert(entry.index, entry);
                }
            }
        }
        Ok(())
    }

    /// Removes the entries that the snapshot covers, and checks that the snapshot of a reset and
    /// all later entries are present.
    fn trim_to_snapshot(&mut self, first_segment: Option<&str>) -> Result<(), StorageError> {
        let base = self.base();
        let file = first_segment.unwrap_or("the data folder");
        if let Some((index, _)) = self.reset.filter(|(index, _)| *index > base) {
            return Err(damaged(file, 0, format!("the snapshot at entry {index} is missing")));
        }
        let kept = self.entries.split_off(&base.next());
        if let Some(first) = kept.keys().next().filter(|first| **first > base.next()) {
            let detail = format!("entries {} to {} are missing", base.next(), first.0 - 1);
            return Err(damaged(file, 0, detail));
        }
        self.log.entries = kept.into_values().collect();
        Ok(())
    }
}

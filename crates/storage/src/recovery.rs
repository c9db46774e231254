//! Reads what a crash or a stop left behind.

use std::collections::BTreeMap;

use oriolepass_units::{LeaderTerm, LogIndex};

use crate::error::StorageError;
use crate::folder::DiskFolder;
use crate::frame::{self, FrameRead};
use crate::record::{HardState, LogRecord, SnapshotMeta, StoredEntry};

/// Everything that the store kept.
#[derive(Debug, Default)]
pub struct RecoveredLog {
    /// The hard state.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// The entries after it, in order and without gaps.
    pub entries: Vec<StoredEntry>,
    /// Bytes of a torn last frame that were cut.
    pub cut_bytes: u64,
}

impl RecoveredLog {
    /// Returns the index of the last entry, or of the snapshot where there is none.
    pub fn last_index(&self) -> LogIndex {
        let base = self.snapshot.as_ref().map_or(LogIndex::ZERO, |(meta, _)| meta.index);
        self.entries.last().map_or(base, |entry| entry.index)
    }
}

pub(crate) struct Recovery {
    pub(crate) log: RecoveredLog,
    pub(crate) next_segment: u64,
    pub(crate) segment_ends: BTreeMap<u64, LogIndex>,
}

fn damaged(file: &str, offset: usize, detail: impl Into<String>) -> StorageError {
    StorageError::Damaged { file: file.to_owned(), offset: offset as u64, detail: detail.into() }
}

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
        let last = position + 1 == segments.len();
        reader.read_segment(folder, name, last)?;
        reader.ends.insert(*number, reader.last);
    }
    if let Some((_, newest)) = segments.last() {
        // A process killed before its sync leaves a good frame in the kernel's memory only. Others build on what is
        // read here, and no later sync covers this file; without this one, a loss of power tears it for good.
        folder.sync_file(newest)?;
    }
    let next_segment = segments.last().map_or(1, |(number, _)| number + 1);
    reader.check_joined(segments.first().map(|(_, name)| name.as_str()))?;
    Ok(Recovery { log: reader.log, next_segment, segment_ends: reader.ends })
}

fn read_snapshot(
    folder: &DiskFolder,
    names: &[String],
) -> Result<Option<(SnapshotMeta, Vec<u8>)>, StorageError> {
    let Some(name) = names.iter().rfind(|name| name.starts_with("snapshot-")) else {
        return Ok(None);
    };
    let bytes = folder.read(name)?;
    let FrameRead::Good(payload, _) = frame::read(&bytes, 0) else {
        // It was renamed only after it was synced, so this is damage and not a torn write.
        return Err(damaged(name, 0, "the snapshot's checksum differs"));
    };
    postcard::from_bytes(payload)
        .map(Some)
        .map_err(|error| damaged(name, 0, format!("the snapshot cannot be decoded: {error}")))
}

#[derive(Default)]
struct SegmentReader {
    log: RecoveredLog,
    /// Entries by index; what lies at or below the snapshot is dropped at the end.
    entries: BTreeMap<LogIndex, StoredEntry>,
    last: LogIndex,
    reset: Option<(LogIndex, LeaderTerm)>,
    ends: BTreeMap<u64, LogIndex>,
}

impl SegmentReader {
    /// Returns the last entry that the snapshot covers.
    fn base(&self) -> LogIndex {
        self.log.snapshot.as_ref().map_or(LogIndex::ZERO, |(meta, _)| meta.index)
    }

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
                // Each frame is synced before the next is written, so only the last frame of
                // the newest segment can be torn. Anything else was synced once.
                FrameRead::Bad(detail) if !newest || frame::any_after(&bytes, offset) => {
                    return Err(damaged(name, offset, detail));
                }
                FrameRead::Bad(_) => {
                    self.log.cut_bytes += (bytes.len() - offset) as u64;
                    return folder.truncate(name, offset as u64);
                }
            }
        }
    }

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
                        // A crash in the middle of compaction may undo the removal of one
                        // segment and not of the next. That gap the snapshot covers; any other
                        // is a lost file.
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

    /// Joins the entries to the snapshot.
    fn check_joined(&mut self, first_segment: Option<&str>) -> Result<(), StorageError> {
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

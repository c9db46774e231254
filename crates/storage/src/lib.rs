//! Synced log segments and snapshots under one data folder.
//!
//! The store is a write-ahead log. A batch of records becomes one *frame* (length, checksum,
//! payload), is appended to the newest segment and synced before [`LogStore::append`] returns.
//! One sync serves the whole batch, and since each frame is synced before the next is written,
//! a crash can damage the last frame only. That makes recovery unambiguous:
//!
//! * a damaged frame at the very end is a torn write of a batch that nobody was told of: cut;
//! * a damaged frame with a good one after it, or in an older segment, is damage to synced
//!   data: an error that names file, offset and remedy. Cutting there would silently forget
//!   entries that this voter has acknowledged.
//!
//! A process that is killed leaves in the kernel's memory what it had written and not synced. The
//! next start reads that as good frames, so it syncs the newest segment before it hands anything
//! out: what was read is as durable as what was appended.
//!
//! Snapshots are written to a temporary file, synced, renamed, and the folder synced; only then
//! are the segments they cover removed.
//!
//! [`DiskFolder`] hides the difference between a real folder and [`FakeDisk`], a disk in memory
//! that loses what was not synced, so that randomised runs crash the real code at any step.

mod error;
mod fake;
mod folder;
mod frame;
mod record;
mod recovery;
mod store;

pub use error::StorageError;
pub use fake::FakeDisk;
pub use folder::DiskFolder;
pub use record::{HardState, LogRecord, SnapshotMeta, StoredEntry};
pub use recovery::RecoveredLog;
pub use store::{DEFAULT_SEGMENT_BYTES, LogStore, UnsyncedTails};

//! Stores the replicated log durably as segments and snapshots in one data folder.
//!
//! The store is a write-ahead log. A batch of records is encoded as one *frame* (length, checksum,
//! payload), appended to the newest segment and synced before [`LogStore::append`] returns. One
//! sync covers the whole batch. Each frame is synced before the next one is written, so a crash
//! can damage only the last frame. Recovery therefore distinguishes two cases:
//!
//! * A damaged frame at the end of the newest segment is a torn write of a batch that was never
//!   acknowledged. It is truncated.
//! * A damaged frame in an older segment, or with a good frame after it, is damage to synced data.
//!   Recovery returns an error that names the file, the offset and the remedy. Truncating there
//!   would silently lose entries that this voter has acknowledged.
//!
//! When a process is killed, its written but unsynced data remains in the page cache. The next
//! start reads that data as good frames. It therefore syncs the newest segment before it returns
//! the recovered log, so that recovered entries are as durable as appended entries.
//!
//! A snapshot is written to a temporary file, synced and renamed, and the folder is synced. Only
//! then are the segments that the snapshot covers removed.
//!
//! The name of the data folder itself is durable before the store writes to it: [`create_folder`]
//! syncs the parent of each folder that it creates.
//!
//! [`DiskFolder`] abstracts over a real folder and [`FakeDisk`], an in-memory disk that loses
//! unsynced data. Randomised tests use it to crash the store at any operation.

mod error;
mod fake;
mod folder;
mod frame;
mod opening;
mod record;
mod recovery;
mod store;

pub use error::StorageError;
pub use fake::FakeDisk;
pub use folder::DiskFolder;
pub use opening::{FolderOpening, create_folder};
pub use record::{HardState, LogRecord, SnapshotMeta, StoredEntry};
pub use recovery::RecoveredLog;
pub use store::{DEFAULT_SEGMENT_BYTES, LogStore, UnsyncedTails};

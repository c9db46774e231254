//! Defines the errors of the data folder.

use std::io;

use thiserror::Error;

/// An error of the data folder.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("{operation} {file}: {source}; {}", remedy(.source))]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file.
        file: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another daemon has locked the folder.
    #[error(
        "the data folder is in use by another daemon; stop that one, or name another folder in \
         [instance] data_folder"
    )]
    InUse,
    /// Synced data is damaged, so truncating it could lose acknowledged entries.
    #[error(
        "{file} is damaged at byte {offset} ({detail}); move the data folder aside and start \
         this voter with an empty one: it catches up from the others as a learner"
    )]
    Damaged {
        /// The file.
        file: String,
        /// The byte offset at which the damage starts.
        offset: u64,
        /// The check that failed at the offset.
        detail: String,
    },
    /// An earlier operation failed, so the durable content of the disk is unknown.
    #[error(
        "an earlier write to the data folder failed; restart the daemon, which then recovers the \
         log from the data folder"
    )]
    Poisoned,
}

/// Returns the remedy that the error message proposes for an operating system error.
fn remedy(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => "free space on that disk",
        io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem => {
            "give the daemon write access to [instance] data_folder"
        }
        io::ErrorKind::NotFound => "create the folder named in [instance] data_folder",
        _ => "check the disk",
    }
}

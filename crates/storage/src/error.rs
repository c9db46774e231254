//! What can go wrong with the data folder.

use std::io;

use thiserror::Error;

/// The reason that the data folder cannot be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// An operation failed.
    #[error("{operation} {file}: {source}; {}", remedy(.source))]
    Io {
        /// What was tried.
        operation: &'static str,
        /// The file.
        file: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another daemon uses the folder.
    #[error(
        "the data folder is in use by another daemon; stop that one, or name another folder in \
         [instance] data_folder"
    )]
    InUse,
    /// Synced data is damaged.
    #[error(
        "{file} is damaged at byte {offset} ({detail}); move the data folder aside and start \
         this voter with an empty one: it catches up from the others as a learner"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage starts.
        offset: u64,
        /// What is wrong there.
        detail: String,
    },
    /// An earlier write failed, so that what is on the disk is not known.
    #[error(
        "an earlier write to the data folder failed; restart the daemon, which reads what was \
         kept"
    )]
    Poisoned,
}

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

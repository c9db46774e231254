//! Creates data folders so that their names survive a loss of power.

use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

use crate::error::StorageError;

/// How a data folder was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FolderOpening {
    /// Whether the folder was created; otherwise it was found.
    pub is_created: bool,
    /// Why the name of the folder may not be durable, if its parent cannot be synced by this process.
    pub unsynced_parent: Option<String>,
}

/// Creates a folder, with its ancestors, if it does not exist, and syncs the parents.
///
/// The parent of the first folder that is found is synced as well, because an earlier process may have
/// created that folder and ended before it synced the parent. A parent that this process cannot access
/// is reported and does not fail the call.
///
/// # Errors
///
/// Returns an error if the folder cannot be created, or if the sync of a parent fails.
pub fn create_folder(path: &Path) -> Result<FolderOpening, StorageError> {
    let missing: Vec<&Path> = path.ancestors().take_while(|folder| !exists(folder)).collect();
    let found = path.ancestors().nth(missing.len());
    let mut unsynced_parent = found.map_or(Ok(None), sync_parent)?;
    for folder in missing.iter().rev() {
        match fs::create_dir(folder) {
            // Another thread of the process may create the folder at the same time.
            Err(error) if error.kind() != ErrorKind::AlreadyExists || !folder.is_dir() => {
                return Err(failed("create folder", folder)(error));
            }
            _ => unsynced_parent = sync_parent(folder)?,
        }
    }
    Ok(FolderOpening { is_created: !missing.is_empty(), unsynced_parent })
}

/// Returns whether a folder exists; the empty path is the working directory.
fn exists(folder: &Path) -> bool {
    folder.as_os_str().is_empty() || folder.is_dir()
}

/// Syncs the parent of a folder. Returns the reason if the parent is not accessible.
fn sync_parent(folder: &Path) -> Result<Option<String>, StorageError> {
    let Some(parent) = parent_of(folder) else { return Ok(None) };
    match File::open(&parent).and_then(|parent| parent.sync_all()) {
        Ok(()) => Ok(None),
        Err(error) if is_inaccessible(&error) => Ok(Some(format!("{}: {error}", parent.display()))),
        Err(error) => Err(failed("sync folder", &parent)(error)),
    }
}

/// Returns the parent of a folder; `None` for a root and for the working directory.
fn parent_of(folder: &Path) -> Option<PathBuf> {
    let parent = folder.parent()?;
    Some(if parent.as_os_str().is_empty() { PathBuf::from(".") } else { parent.to_owned() })
}

/// Returns whether an error says that this process may not sync a folder, rather than that the disk
/// failed.
fn is_inaccessible(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::PermissionDenied
            | ErrorKind::NotFound
            | ErrorKind::InvalidInput
            | ErrorKind::ReadOnlyFilesystem
            | ErrorKind::Unsupported
    )
}

fn failed(operation: &'static str, folder: &Path) -> impl FnOnce(io::Error) -> StorageError {
    let file = folder.display().to_string();
    move |source| StorageError::Io { operation, file, source }
}

//! Provides the file operations of the store, on a real folder or on a fake disk in memory.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;

use crate::error::StorageError;
use crate::fake::FakeDisk;
use crate::opening::{FolderOpening, create_folder};

/// Name of the file that a daemon locks while it uses the folder.
const LOCK_FILE: &str = "lock";

/// The folder that holds the files of the store. Files are addressed by name, without a path.
#[derive(Debug, Clone)]
pub struct DiskFolder(FolderKind);

#[derive(Debug, Clone)]
enum FolderKind {
    Real { path: PathBuf, _lock: Arc<File> },
    Fake(FakeDisk),
}

fn io_error(operation: &'static str, file: &str) -> impl FnOnce(std::io::Error) -> StorageError {
    let file = file.to_owned();
    move |source| StorageError::Io { operation, file, source }
}

impl DiskFolder {
    /// Opens a real folder and locks it. The folder is created if it does not exist; its name is durable
    /// before the folder is used.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be created or written, or if another daemon uses it.
    pub fn open(path: impl Into<PathBuf>) -> Result<(Self, FolderOpening), StorageError> {
        let path = path.into();
        let opening = create_folder(&path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(io_error("open", LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StorageError::InUse),
            Err(TryLockError::Error(error)) => return Err(io_error("lock", LOCK_FILE)(error)),
        }
        Ok((Self(FolderKind::Real { path, _lock: Arc::new(lock) }), opening))
    }

    /// Creates a folder on a fake disk.
    pub fn fake(disk: FakeDisk) -> Self {
        Self(FolderKind::Fake(disk))
    }

    /// Lists the files except the lock file, sorted by name.
    pub(crate) fn list(&self) -> Result<Vec<String>, StorageError> {
        let mut names: Vec<String> = match &self.0 {
            FolderKind::Real { path, .. } => fs::read_dir(path)
                .and_then(|entries| entries.map(|e| e.map(|e| e.file_name())).collect())
                .map(|names: Vec<_>| names.iter().map(|n| n.to_string_lossy().into()).collect())
                .map_err(io_error("list", "the data folder"))?,
            FolderKind::Fake(disk) => disk.list(),
        };
        names.retain(|name| name != LOCK_FILE);
        names.sort();
        Ok(names)
    }

    /// Reads a whole file.
    pub(crate) fn read(&self, name: &str) -> Result<Vec<u8>, StorageError> {
        match &self.0 {
            FolderKind::Real { path, .. } => fs::read(path.join(name)),
            FolderKind::Fake(disk) => disk.read(name),
        }
        .map_err(io_error("read", name))
    }

    /// Opens a file for appending. The file is created if it does not exist.
    pub(crate) fn append_to(&self, name: &str) -> Result<AppendFile, StorageError> {
        let kind = match &self.0 {
            FolderKind::Real { path, .. } => {
                let options = OpenOptions::new().create(true).append(true).clone();
                AppendKind::Real(options.open(path.join(name)).map_err(io_error("open", name))?)
            }
            FolderKind::Fake(disk) => {
                disk.create(name);
                AppendKind::Fake(disk.clone())
            }
        };
        Ok(AppendFile { name: name.to_owned(), kind })
    }

    /// Truncates a file and syncs it.
    pub(crate) fn truncate(&self, name: &str, length: u64) -> Result<(), StorageError> {
        match &self.0 {
            FolderKind::Real { path, .. } => {
                OpenOptions::new().write(true).open(path.join(name)).and_then(|file| {
                    file.set_len(length)?;
                    file.sync_all()
                })
            }
            FolderKind::Fake(disk) => disk.truncate(name, length),
        }
        .map_err(io_error("truncate", name))
    }

    /// Syncs a file that is not open for appending.
    pub(crate) fn sync_file(&self, name: &str) -> Result<(), StorageError> {
        match &self.0 {
            FolderKind::Real { path, .. } => OpenOptions::new()
                .write(true)
                .open(path.join(name))
                .and_then(|file| file.sync_all()),
            FolderKind::Fake(disk) => disk.sync_file(name),
        }
        .map_err(io_error("sync", name))
    }

    pub(crate) fn rename(&self, from: &str, to: &str) -> Result<(), StorageError> {
        match &self.0 {
            FolderKind::Real { path, .. } => fs::rename(path.join(from), path.join(to)),
            FolderKind::Fake(disk) => disk.rename(from, to),
        }
        .map_err(io_error("rename", from))
    }

    pub(crate) fn remove(&self, name: &str) -> Result<(), StorageError> {
        match &self.0 {
            FolderKind::Real { path, .. } => fs::remove_file(path.join(name)),
            FolderKind::Fake(disk) => disk.remove(name),
        }
        .map_err(io_error("remove", name))
    }

    /// Syncs the folder itself, which makes created, renamed and removed files durable.
    pub(crate) fn sync(&self) -> Result<(), StorageError> {
        match &self.0 {
            FolderKind::Real { path, .. } => File::open(path).and_then(|folder| folder.sync_all()),
            FolderKind::Fake(disk) => disk.sync_folder(),
        }
        .map_err(io_error("sync", "the data folder"))
    }
}

/// A file open for appending.
#[derive(Debug)]
pub(crate) struct AppendFile {
    name: String,
    kind: AppendKind,
}

#[derive(Debug)]
enum AppendKind {
    Real(File),
    Fake(FakeDisk),
}

impl AppendFile {
    pub(crate) fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        match &mut self.kind {
            AppendKind::Real(file) => file.write_all(bytes),
            AppendKind::Fake(disk) => disk.append(&self.name, bytes),
        }
        .map_err(io_error("write", &self.name))
    }

    pub(crate) fn sync(&self) -> Result<(), StorageError> {
        match &self.kind {
            AppendKind::Real(file) => file.sync_data(),
            AppendKind::Fake(disk) => disk.sync_file(&self.name),
        }
        .map_err(io_error("sync", &self.name))
    }
}

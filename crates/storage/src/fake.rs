//! Simulates a disk in memory that loses unsynced data, for crash tests.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use rand::Rng;
use rand::rngs::StdRng;

#[derive(Debug, Default, Clone)]
struct FakeFile {
    content: Vec<u8>,
    synced: usize,
    /// Offset of the data that the kernel dropped after a failed sync. The data can be read until
    /// a power loss, and later syncs succeed without writing it.
    dropped_from: Option<usize>,
}

#[derive(Debug, Default)]
struct DiskState {
    /// The files as a running process sees them.
    files: BTreeMap<String, FakeFile>,
    /// The files as of the last folder sync, which the folder holds after a crash.
    durable: BTreeMap<String, FakeFile>,
    /// Operations that succeed before the injected failure, if one is set.
    fails_after: Option<u64>,
    free_bytes: Option<u64>,
    syncs: u64,
}

/// A simulated disk in memory.
///
/// After [`FakeDisk::crash`] a file holds its synced data and a random, possibly corrupted prefix
/// of its unsynced data. Each file that was created, renamed or removed since the last sync of the
/// folder is either in its old or in its new state, at random.
#[derive(Debug, Clone, Default)]
pub struct FakeDisk(Arc<Mutex<DiskState>>);

impl FakeDisk {
    /// Simulates a power loss.
    pub fn crash(&self, random: &mut StdRng) {
        let mut state = self.lock();
        let DiskState { files, durable, .. } = &mut *state;
        // Each folder operation since the last folder sync may or may not have reached the disk.
        for name in files.keys().chain(durable.keys()).cloned().collect::<Vec<_>>() {
            let survivor = match (files.get(&name), durable.get(&name)) {
                (Some(now), Some(_)) => Some(now.clone()),
                (now, before) => {
                    if random.random_bool(0.5) {
                        now.cloned()
                    } else {
                        before.cloned()
                    }
                }
            };
            match survivor {
                Some(file) => durable.insert(name, after_power_loss(file, random)),
                None => durable.remove(&name),
            };
        }
        *files = durable.clone();
        state.fails_after = None;
    }

    /// Simulates a kill of the process without a power loss. The files keep their content, but
    /// unsynced data remains only in the page cache.
    pub fn kill_process(&self) {
        self.lock().fails_after = None;
    }

    /// Ends an injected failure. Unsynced data is marked as dropped, because kernels may drop
    /// dirty pages after a failed sync.
    pub fn clear_failure(&self) {
        let mut state = self.lock();
        state.fails_after = None;
        for file in state.files.values_mut().filter(|file| file.content.len() > file.synced) {
            file.dropped_from = file.dropped_from.or(Some(file.synced));
        }
    }

    /// Removes all files, as replacing the disk does.
    pub fn wipe(&self) {
        *self.lock() = DiskState::default();
    }

    /// Makes every operation fail after `operations` more operations have succeeded.
    pub fn fail_after(&self, operations: u64) {
        self.lock().fails_after = Some(operations);
    }

    /// Limits the number of bytes that can still be written.
    pub fn set_free_bytes(&self, bytes: Option<u64>) {
        self.lock().free_bytes = bytes;
    }

    /// Flips one bit of a file, as a failing medium would.
    ///
    /// # Panics
    ///
    /// Panics if the file or the byte does not exist.
    pub fn damage(&self, name: &str, offset: usize) {
        let mut state = self.lock();
        state.files.get_mut(name).expect("the file exists").content[offset] ^= 0x40;
    }

    /// Lists the names of the files.
    pub fn list(&self) -> Vec<String> {
        self.lock().files.keys().cloned().collect()
    }

    /// Returns the number of syncs so far, of files and of the folder together.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Returns the length of a file, or `None` if the file does not exist.
    pub fn length(&self, name: &str) -> Option<usize> {
        self.lock().files.get(name).map(|file| file.content.len())
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().expect("no test panics while it holds the lock")
    }

    /// Counts an operation, and fails it if the injected failure is due.
    fn count_operation(state: &mut DiskState) -> io::Result<()> {
        match &mut state.fails_after {
            Some(0) => Err(io::Error::other("injected failure of the fake disk")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    pub(crate) fn create(&self, name: &str) {
        self.lock().files.entry(name.to_owned()).or_default();
    }

    pub(crate) fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let file = state.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(file.content.clone())
    }

    pub(crate) fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        Self::count_operation(&mut state)?;
        let room = state.free_bytes.unwrap_or(u64::MAX);
        let written = bytes.len().min(usize::try_from(room).unwrap_or(usize::MAX));
        if let Some(free) = &mut state.free_bytes {
            *free -= written as u64;
        }
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.content.extend_from_slice(&bytes[..written]);
        if written < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    pub(crate) fn sync_file(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        Self::count_operation(&mut state)?;
        state.syncs += 1;
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.synced = file.content.len();
        Ok(())
    }

    pub(crate) fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.lock();
        Self::count_operation(&mut state)?;
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.content.truncate(usize::try_from(length).expect("the length fits in usize"));
        file.synced = file.content.len();
        file.dropped_from = file.dropped_from.filter(|from| *from < file.content.len());
        Ok(())
    }

    pub(crate) fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        Self::count_operation(&mut state)?;
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        Ok(())
    }

    pub(crate) fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        Self::count_operation(&mut state)?;
        state.files.remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    pub(crate) fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.lock();
        Self::count_operation(&mut state)?;
        state.syncs += 1;
        state.durable = state.files.clone();
        Ok(())
    }
}

/// Returns a file as it is after a power loss: its synced data and a random prefix of the unsynced
/// data, in which one bit may be flipped.
fn after_power_loss(mut file: FakeFile, random: &mut StdRng) -> FakeFile {
    if let Some(from) = file.dropped_from.take() {
        // The new length may have reached the disk without the data.
        if random.random_bool(0.5) {
            file.content[from..].fill(0);
        } else {
            file.content.truncate(from);
            file.synced = file.synced.min(from);
        }
    }
    let unsynced = file.content.len() - file.synced;
    let survives = if unsynced == 0 { 0 } else { random.random_range(0..=unsynced) };
    file.content.truncate(file.synced + survives);
    if survives > 0 && random.random_bool(0.3) {
        let position = file.synced + random.random_range(0..survives);
        file.content[position] ^= 0x10;
    }
    file.synced = file.content.len();
    file
}

//! A disk in memory that loses what was not synced.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use rand::Rng;
use rand::rngs::StdRng;

#[derive(Debug, Default, Clone)]
struct FakeFile {
    content: Vec<u8>,
    synced: usize,
    /// From here on a failed sync has dropped what was not synced: it can be read until the power
    /// is lost, and later syncs succeed without it.
    dropped: Option<usize>,
}

#[derive(Debug, Default)]
struct DiskState {
    /// What a running process sees.
    files: BTreeMap<String, FakeFile>,
    /// What the folder holds after a crash: the files of the last folder sync.
    kept: BTreeMap<String, FakeFile>,
    /// Operations left before the disk fails, where a failure is planned.
    fails_after: Option<u64>,
    free_bytes: Option<u64>,
    syncs: u64,
}

/// A disk in memory. After [`FakeDisk::crash`] a file holds what was synced, and at random a
/// torn part of what was not; files created, renamed or removed without a sync of the folder
/// are as they were before, or not, at random.
#[derive(Debug, Clone, Default)]
pub struct FakeDisk(Arc<Mutex<DiskState>>);

impl FakeDisk {
    /// Loses power.
    pub fn crash(&self, random: &mut StdRng) {
        let mut state = self.lock();
        let DiskState { files, kept, .. } = &mut *state;
        // Each file operation since the last folder sync may or may not have reached the disk.
        for name in files.keys().chain(kept.keys()).cloned().collect::<Vec<_>>() {
            let survivor = match (files.get(&name), kept.get(&name)) {
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
                Some(file) => kept.insert(name, torn(file, random)),
                None => kept.remove(&name),
            };
        }
        *files = kept.clone();
        state.fails_after = None;
    }

    /// Ends the process that uses the disk and keeps the power: files stay as the process saw
    /// them, but what it had not synced is still only in the kernel's memory.
    pub fn kill_process(&self) {
        self.lock().fails_after = None;
    }

    /// Lets a disk that failed as planned work again. As kernels do, it has dropped what the
    /// failed sync was to cover.
    pub fn work_again(&self) {
        let mut state = self.lock();
        state.fails_after = None;
        for file in state.files.values_mut().filter(|file| file.content.len() > file.synced) {
            file.dropped = file.dropped.or(Some(file.synced));
        }
    }

    /// Forgets everything, as a replaced disk has.
    pub fn wipe(&self) {
        *self.lock() = DiskState::default();
    }

    /// Makes every operation fail once `operations` more have been done.
    pub fn fail_after(&self, operations: u64) {
        self.lock().fails_after = Some(operations);
    }

    /// Limits the bytes that can still be written.
    pub fn set_free_bytes(&self, bytes: Option<u64>) {
        self.lock().free_bytes = bytes;
    }

    /// Changes one byte of a file, as a failing medium would.
    ///
    /// # Panics
    ///
    /// Panics when there is no such byte.
    pub fn damage(&self, name: &str, offset: usize) {
        let mut state = self.lock();
        state.files.get_mut(name).expect("a file of that name").content[offset] ^= 0x40;
    }

    /// Lists the files.
    pub fn list(&self) -> Vec<String> {
        self.lock().files.keys().cloned().collect()
    }

    /// Returns the number of syncs so far, of files and of the folder.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Returns the length of a file, or none where there is no such file.
    pub fn length(&self, name: &str) -> Option<usize> {
        self.lock().files.get(name).map(|file| file.content.len())
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().expect("no test panics while it holds the disk")
    }

    fn spend(state: &mut DiskState) -> io::Result<()> {
        match &mut state.fails_after {
            Some(0) => Err(io::Error::other("the fake disk failed as planned")),
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
        Self::spend(&mut state)?;
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
        Self::spend(&mut state)?;
        state.syncs += 1;
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.synced = file.content.len();
        Ok(())
    }

    pub(crate) fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.lock();
        Self::spend(&mut state)?;
        let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.content.truncate(usize::try_from(length).expect("a short file"));
        file.synced = file.content.len();
        file.dropped = file.dropped.filter(|from| *from < file.content.len());
        Ok(())
    }

    pub(crate) fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        Self::spend(&mut state)?;
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        Ok(())
    }

    pub(crate) fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        Self::spend(&mut state)?;
        state.files.remove(name).map(drop).ok_or(io::ErrorKind::NotFound.into())
    }

    pub(crate) fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.lock();
        Self::spend(&mut state)?;
        state.syncs += 1;
        state.kept = state.files.clone();
        Ok(())
    }
}

/// Keeps the synced part of a file and a random piece of the rest, which may be garbled.
fn torn(mut file: FakeFile, random: &mut StdRng) -> FakeFile {
    if let Some(from) = file.dropped.take() {
        // The length may have reached the disk without the bytes.
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
        let victim = file.synced + random.random_range(0..survives);
        file.content[victim] ^= 0x10;
    }
    file.synced = file.content.len();
    file
}

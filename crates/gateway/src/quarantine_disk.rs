//! What is known of fatal requests on a disk, so that the end of all processes does not let them loose
//! again.
//!
//! A hint, not a promise: what is lost here costs as many ends of endpoints as a request that is seen for
//! the first time. So it needs no log and no agreement, and a disk that fails is only told of. Requests
//! that have lost one endpoint and have not been answered since are not kept, as most of them are innocent.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use oriolepass_quarantine::CaseUpdate;
use tokio::sync::oneshot;

/// The file's name in the data folder.
const FILE: &str = "quarantined";

/// The name under which the next file is written.
const DRAFT: &str = "quarantined.draft";

/// Changes that wait for a slow disk; the newest one says everything, and one that finds no room is
/// followed by another at the next change.
const WAITING_CHANGES: usize = 4;

/// The thread that keeps quarantined requests on a disk.
pub(crate) struct QuarantineDisk {
    changes: SyncSender<Vec<CaseUpdate>>,
}

impl QuarantineDisk {
    /// Starts the thread, and returns what it will have read.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the thread cannot be started.
    pub(crate) fn start(folder: PathBuf) -> io::Result<(Self, oneshot::Receiver<Vec<CaseUpdate>>)> {
        let (changes, to_write) = sync_channel(WAITING_CHANGES);
        let (report, loaded) = oneshot::channel();
        std::thread::Builder::new().name("quarantine".into()).spawn(move || {
            // Nobody waits for it where the process ends at once.
            let _ = report.send(read(&folder));
            write_changes(&folder, &to_write);
        })?;
        Ok((Self { changes }, loaded))
    }

    /// Keeps these requests and no others. Never waits.
    pub(crate) fn keep(&self, cases: Vec<CaseUpdate>) {
        // A full ring: the disk is slow, and the next change says all that this one does.
        let _ = self.changes.try_send(cases);
    }
}

/// Reads what an earlier process kept; nothing where there is none, or it cannot be read.
fn read(folder: &Path) -> Vec<CaseUpdate> {
    let bytes = fs::read(folder.join(FILE)).unwrap_or_default();
    postcard::from_bytes(&bytes).unwrap_or_default()
}

fn write_changes(folder: &Path, changes: &Receiver<Vec<CaseUpdate>>) {
    while let Ok(mut newest) = changes.recv() {
        while let Ok(next) = changes.try_recv() {
            newest = next;
        }
        // A disk that takes nothing is told of by the replica of the log, which needs it more.
        let _ = write(folder, &newest);
    }
}

fn write(folder: &Path, cases: &[CaseUpdate]) -> io::Result<()> {
    let bytes = postcard::to_stdvec(cases).map_err(io::Error::other)?;
    fs::create_dir_all(folder)?;
    let mut draft = File::create(folder.join(DRAFT))?;
    draft.write_all(&bytes)?;
    draft.sync_all()?;
    fs::rename(folder.join(DRAFT), folder.join(FILE))?;
    File::open(folder)?.sync_all()
}

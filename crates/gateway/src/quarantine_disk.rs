//! Storage of quarantine cases on disk, so that quarantined requests are still known after all
//! processes have ended.
//!
//! The storage is best effort: if it loses a request, that request costs as many ends of endpoints
//! as a request that is seen for the first time. It therefore needs neither the replicated log nor
//! consensus, and a disk that fails is only reported, by the replica of the log. Requests under
//! which one endpoint ended and that were not answered since are not stored, because most of them
//! did not cause that end.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use oriolepass_quarantine::{CaseUpdate, ClearUpdate, EndUpdate, PartDigest, RequestDigest};
use oriolepass_storage::create_folder;
use oriolepass_units::EndpointStart;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// The name of the file with the cases of requests in the data folder.
const FILE_NAME: &str = "quarantined-runs";

/// The name of the file with the cases of parts of prompts.
const PARTS_FILE_NAME: &str = "quarantined-parts";

/// The ending of the name of a temporary file, which replaces the file once it is complete.
const DRAFT_ENDING: &str = ".draft";

/// The name of the file of earlier versions, which did not store the durations of runs.
const EARLIER_FILE_NAME: &str = "quarantined";

/// A case as stored by earlier versions.
#[derive(Deserialize)]
struct EarlierCase {
    digest: RequestDigest,
    /// The endpoints that ended, each with the time since then.
    ends: Vec<(EndpointStart, Duration)>,
    cleared: Vec<EndpointStart>,
}

impl From<EarlierCase> for CaseUpdate {
    fn from(EarlierCase { digest, ends, cleared }: EarlierCase) -> Self {
        let end = |(endpoint, age)| EndUpdate { endpoint, age, run: None };
        let clear = |endpoint| ClearUpdate { endpoint, run: None };
        Self {
            digest,
            ends: ends.into_iter().map(end).collect(),
            cleared: cleared.into_iter().map(clear).collect(),
        }
    }
}

/// The maximum number of changes that wait for a slow disk. The newest change holds the whole
/// state. A change that does not fit is dropped, and the next change replaces it.
const MAX_QUEUED_CHANGES: usize = 4;

/// The cases that survive the end of all processes.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct StoredCases {
    pub(crate) requests: Vec<CaseUpdate>,
    pub(crate) parts: Vec<CaseUpdate<PartDigest>>,
}

/// The handle of the thread that stores quarantine cases on disk.
pub(crate) struct QuarantineDisk {
    changes: SyncSender<StoredCases>,
}

impl QuarantineDisk {
    /// Starts the thread. Returns the handle, and a receiver of the cases read from the disk.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the thread cannot be started.
    pub(crate) fn start(folder: PathBuf) -> io::Result<(Self, oneshot::Receiver<StoredCases>)> {
        let (changes, queued) = sync_channel(MAX_QUEUED_CHANGES);
        let (report, loaded) = oneshot::channel();
        std::thread::Builder::new().name("quarantine".into()).spawn(move || {
            // The receiver is gone if the process is already stopping.
            let cases = StoredCases { requests: load(&folder), parts: load_parts(&folder) };
            let _ = report.send(cases);
            write_changes(&folder, &queued);
        })?;
        Ok((Self { changes }, loaded))
    }

    /// Replaces the stored cases with `cases`. Never blocks.
    pub(crate) fn store(&self, cases: StoredCases) {
        // The queue is full if the disk is slow; the next change contains all that this change
        // does.
        let _ = self.changes.try_send(cases);
    }
}

/// Reads the cases that an earlier process stored, with the ages that the ends have now. Without the
/// time since the cases were stored, an old end would count as a recent one after each restart, and
/// a quarantine that waits for more evidence would start to wait again.
pub(crate) fn load(folder: &Path) -> Vec<CaseUpdate> {
    with_present_ages(read(folder), &folder.join(FILE_NAME))
}

/// Reads the cases of parts that an earlier process stored, with the ages that the ends have now.
pub(crate) fn load_parts(folder: &Path) -> Vec<CaseUpdate<PartDigest>> {
    let file = folder.join(PARTS_FILE_NAME);
    let bytes = fs::read(&file).unwrap_or_default();
    with_present_ages(postcard::from_bytes(&bytes).unwrap_or_default(), &file)
}

fn with_present_ages<D>(mut cases: Vec<CaseUpdate<D>>, file: &Path) -> Vec<CaseUpdate<D>> {
    let stored_since = time_since_change(file).unwrap_or_default();
    cases.iter_mut().flat_map(|case| &mut case.ends).for_each(|end| end.age += stored_since);
    cases
}

/// Returns the time since a file was last changed; `None` if there is no such file, or if the clock
/// has been set back since.
fn time_since_change(path: &Path) -> Option<Duration> {
    fs::metadata(path).ok()?.modified().ok()?.elapsed().ok()
}

/// Reads the cases that an earlier process stored, with the ages that the ends had then. Returns none
/// if there is no file or it cannot be read.
pub(crate) fn read(folder: &Path) -> Vec<CaseUpdate> {
    if let Ok(bytes) = fs::read(folder.join(FILE_NAME)) {
        return postcard::from_bytes(&bytes).unwrap_or_default();
    }
    let bytes = fs::read(folder.join(EARLIER_FILE_NAME)).unwrap_or_default();
    let cases: Vec<EarlierCase> = postcard::from_bytes(&bytes).unwrap_or_default();
    cases.into_iter().map(CaseUpdate::from).collect()
}

fn write_changes(folder: &Path, changes: &Receiver<StoredCases>) {
    while let Ok(mut newest) = changes.recv() {
        while let Ok(next) = changes.try_recv() {
            newest = next;
        }
        // The replica of the log reports a disk that fails, because it depends on the same disk.
        let _ = write(folder, &newest.requests);
        let _ = write_parts(folder, &newest.parts);
    }
}

pub(crate) fn write(folder: &Path, cases: &[CaseUpdate]) -> io::Result<()> {
    replace_file(folder, FILE_NAME, &cases)
}

pub(crate) fn write_parts(folder: &Path, cases: &[CaseUpdate<PartDigest>]) -> io::Result<()> {
    replace_file(folder, PARTS_FILE_NAME, &cases)
}

fn replace_file(folder: &Path, name: &str, cases: &impl Serialize) -> io::Result<()> {
    let draft_name = format!("{name}{DRAFT_ENDING}");
    let bytes = postcard::to_stdvec(cases).map_err(io::Error::other)?;
    if !folder.is_dir() {
        create_folder(folder).map_err(io::Error::other)?;
    }
    let mut draft = File::create(folder.join(&draft_name))?;
    draft.write_all(&bytes)?;
    draft.sync_all()?;
    fs::rename(folder.join(&draft_name), folder.join(name))?;
    File::open(folder)?.sync_all()
}

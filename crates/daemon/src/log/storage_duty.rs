//! The storage thread: one sync for all batches that wait.

use crossbeam_channel::{Receiver, Sender};
use oriolepass_consensus::{Envelope, PersistBatch};
use oriolepass_storage::{LogRecord, LogStore, StorageError};

use crate::logging::duty_failed;
use crate::peers::PeerHandle;

/// Batches synced together at most.
const MAX_GROUP: usize = 128;

/// Syncs batches until the ring's other end is gone or the disk fails.
///
/// A failed disk ends the duty: what the disk holds is not known any more, so this replica must
/// neither acknowledge nor vote until it has been started again and has read what was kept.
pub(super) fn run(
    mut store: LogStore,
    batches: &Receiver<PersistBatch>,
    synced: &Sender<u64>,
    peers: &PeerHandle,
    on_sync: impl Fn(),
) {
    while let Ok(first) = batches.recv() {
        let mut group = vec![first];
        while group.len() < MAX_GROUP {
            let Ok(next) = batches.try_recv() else { break };
            group.push(next);
        }
        let last = group.last().map_or(0, |batch| batch.sequence);
        let messages = match sync_group(&mut store, group) {
            Ok(messages) => messages,
            Err(error) => {
                duty_failed("storage", &error);
                return;
            }
        };
        on_sync();
        peers.send_consensus(messages);
        if synced.send(last).is_err() {
            return;
        }
    }
}

/// Writes a group in order and returns the messages that may be sent now.
fn sync_group(
    store: &mut LogStore,
    group: Vec<PersistBatch>,
) -> Result<Vec<Envelope>, StorageError> {
    let mut records: Vec<LogRecord> = Vec::new();
    let mut messages = Vec::new();
    for batch in group {
        if let Some((meta, held)) = &batch.snapshot {
            // Records before the snapshot are written first, in the order they were made.
            store.append(&records)?;
            records.clear();
            store.save_snapshot(meta, &held.data)?;
        }
        records.extend(batch.records);
        if let Some((index, keep_after)) = batch.compact {
            store.append(&records)?;
            records.clear();
            store.compact(index, keep_after)?;
        }
        messages.extend(batch.send_after);
    }
    store.append(&records)?;
    Ok(messages)
}

//! Runs the storage duty, which writes all queued batches with one sync.

use crossbeam_channel::{Receiver, Sender};
use oriolepass_consensus::PersistBatch;
use oriolepass_storage::LogStore;

use crate::logging::duty_failed;
use crate::peers::PeerHandle;

/// The maximum number of batches per sync.
const MAX_BATCHES_PER_SYNC: usize = 128;

/// Syncs batches until the other end of a ring is closed or the disk fails.
///
/// A disk failure ends the duty. The content of the disk is unknown after the failure, so this
/// replica must neither acknowledge nor vote until it has been restarted and has recovered the
/// stored log.
pub(super) fn run(
    mut store: LogStore,
    batches: &Receiver<PersistBatch>,
    synced: &Sender<u64>,
    peers: &PeerHandle,
    on_sync: impl Fn(),
) {
    while let Ok(first) = batches.recv() {
        let mut group = vec![first];
        while group.len() < MAX_BATCHES_PER_SYNC {
            let Ok(next) = batches.try_recv() else { break };
            group.push(next);
        }
        let last = group.last().map_or(0, |batch| batch.sequence);
        if let Err(error) = PersistBatch::write_group(&mut store, &group) {
            duty_failed("storage", &error);
            return;
        }
        on_sync();
        peers.send_consensus(group.into_iter().flat_map(|batch| batch.send_after).collect());
        if synced.send(last).is_err() {
            return;
        }
    }
}

//! The storage thread: one sync for all batches that wait.

use crossbeam_channel::{Receiver, Sender};
use oriolepass_consensus::PersistBatch;
use oriolepass_storage::LogStore;

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

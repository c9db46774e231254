//! Opens the store on segments and snapshots of random bytes: it returns an error or an empty log
//! and never panics.

use oriolepass_storage::{DiskFolder, LogStore};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[test]
fn opening_random_files_returns_an_error_or_no_entries() {
    for seed in 0..300_u64 {
        let mut random = StdRng::seed_from_u64(seed);
        let folder = tempfile::tempdir().expect("a temporary folder");
        let name = match seed % 3 {
            0 => "segment-0000000000000001.log",
            1 => "snapshot-0000000000000007.bin",
            _ => "segment-zzzz.log",
        };
        let length = random.random_range(0..400);
        let bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        std::fs::write(folder.path().join(name), bytes).expect("a file");
        let opened = DiskFolder::open(folder.path()).and_then(|(f, _)| LogStore::open(f, 1_024));
        if let Ok((_, log)) = opened {
            assert!(log.entries.is_empty(), "seed {seed}: entries recovered from random bytes");
        }
    }
}

//! Bytes that nobody wrote: a snapshot is refused or read, never a panic.

use oriolepass_config::{ReplicatedCommand, ReplicatedState, StampedCommand};
use oriolepass_schema::operator::KeyHash;
use oriolepass_units::LogIndex;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_refused_or_read(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = ReplicatedState::from_snapshot(&bytes);
    }

    #[test]
    fn a_damaged_snapshot_is_refused_or_read(at in 0..200_usize, with in any::<u8>()) {
        let mut state = ReplicatedState::default();
        let bootstrap = ReplicatedCommand::Bootstrap { root_key: KeyHash::of("k") };
        state.apply(LogIndex(1), &StampedCommand { unix_ms: 1, command: bootstrap });
        let mut bytes = state.to_snapshot();
        let place = at % bytes.len();
        bytes[place] = with;
        let _ = ReplicatedState::from_snapshot(&bytes);
    }
}

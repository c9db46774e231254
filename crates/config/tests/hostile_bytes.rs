//! Fuzzes snapshot decoding with arbitrary and corrupted bytes. Decoding returns a state or an
//! error and never panics.

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
    fn decoding_arbitrary_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = ReplicatedState::from_snapshot(&bytes);
    }

    #[test]
    fn decoding_a_corrupted_snapshot_never_panics(position in 0..200_usize, value in any::<u8>()) {
        let mut state = ReplicatedState::default();
        let bootstrap = ReplicatedCommand::Bootstrap { root_key: KeyHash::of("k") };
        state.apply(LogIndex(1), &StampedCommand { unix_ms: 1, command: bootstrap });
        let mut bytes = state.to_snapshot();
        let position = position % bytes.len();
        bytes[position] = value;
        let _ = ReplicatedState::from_snapshot(&bytes);
    }
}

//! Test support for seeded randomised tests. Not shipped.
//!
//! [`run_seeds`] selects the seeds: `ORIOLEPASS_SEED=7` replays a single seed with its trace, and
//! `ORIOLEPASS_SEEDS=20000` sets the number of seeds. [`coverage!`] declares counters of the
//! situations that a test must reach. A test fails if a counter is still zero at its end, because
//! a fault that never occurs in the runs is not tested.

/// Calls `run` for each seed; its second argument tells whether to print a trace.
///
/// Returns `true` if the range of seeds was run, and `false` for the replay of a single seed.
///
/// # Panics
///
/// Panics if one of the environment variables is not an unsigned integer.
pub fn run_seeds(default_count: u64, mut run: impl FnMut(u64, bool)) -> bool {
    if let Some(seed) = env_number("ORIOLEPASS_SEED") {
        run(seed, true);
        return false;
    }
    (0..env_number("ORIOLEPASS_SEEDS").unwrap_or(default_count)).for_each(|seed| run(seed, false));
    true
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name)
        .ok()
        .map(|text| text.parse().expect("the variable must be an unsigned integer"))
}

/// Declares a struct `Coverage` with a counter for each name.
#[macro_export]
macro_rules! coverage {
    ($($name:ident),* $(,)?) => {
        /// The number of times that the runs reached each required situation.
        #[derive(Debug, Default)]
        pub struct Coverage { $(pub $name: u64),* }

        impl Coverage {
            /// Panics if a counter is zero.
            pub fn assert_all_met(&self) {
                $(assert!(self.$name > 0, "{} never occurred in the runs", stringify!($name));)*
            }
        }

        impl std::fmt::Display for Coverage {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                $(write!(f, "{} {}  ", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

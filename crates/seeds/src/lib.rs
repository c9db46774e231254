//! What seeded randomised runs have in common. Not shipped.
//!
//! [`run_seeds`] chooses the seeds: `ORIOLEPASS_SEED=7` replays one with its trace,
//! `ORIOLEPASS_SEEDS=20000` sets how many are run. [`coverage!`] declares counters of what a run
//! met and fails when one of them stayed at zero: a failure that is never met is not tested.

/// Runs a test for its seeds; the second argument of `run` says whether to print a trace.
///
/// Returns whether all seeds were run rather than a single one.
///
/// # Panics
///
/// Panics when one of the environment variables is no number.
pub fn run_seeds(default_count: u64, mut run: impl FnMut(u64, bool)) -> bool {
    if let Some(seed) = number("ORIOLEPASS_SEED") {
        run(seed, true);
        return false;
    }
    (0..number("ORIOLEPASS_SEEDS").unwrap_or(default_count)).for_each(|seed| run(seed, false));
    true
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("a number"))
}

/// Declares a struct `Coverage` of counters.
#[macro_export]
macro_rules! coverage {
    ($($name:ident),* $(,)?) => {
        /// How often each thing that the run is meant to meet was met.
        #[derive(Debug, Default)]
        pub struct Coverage { $(pub $name: u64),* }

        impl Coverage {
            /// Fails when something that the run is meant to meet never happened.
            pub fn assert_all_met(&self) {
                $(assert!(self.$name > 0, "{} was never met", stringify!($name));)*
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

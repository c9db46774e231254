//! Runs complete deployments in one process for tests and benchmarks: daemons in several data
//! centres, stand-in engines and services, operators and callers, all on loopback. The crate
//! is not shipped.
//!
//! [`Fleet`] starts a deployment on free ports with its own data folders. [`OperatorClient`] calls
//! the operators' API. [`DaemonProcess`] runs one daemon as a separate process. [`LatencyTable`]
//! collects latencies by prompt length class and prints them.

mod fleet;
mod operator;
mod process;
mod report;

pub use fleet::{Fleet, FleetPlan};
pub use operator::OperatorClient;
pub use process::{DaemonProcess, ProcessUsage, process_usage};
pub use report::{LatencyTable, text_prompt};

/// The key of the root team in a [`Fleet`].
pub const ROOT_KEY: &str = "testbed-root-key-0001";

/// The key of the endpoints' pool in a [`Fleet`].
pub const POOL_KEY: &str = "testbed-pool-key-0001";

/// The model served by the engines of a [`Fleet`].
pub const MODEL: &str = "oriole-large";

/// The name of the plain service in a [`Fleet`].
pub const SERVICE: &str = "subscriptions";

/// Returns the key of the client account with this number in a [`Fleet`].
pub fn account_key(number: usize) -> String {
    format!("testbed-account-key-{number:04}")
}

//! Whole deployments in one process: daemons in several data centres, stand-in engines and
//! services, operators and callers, all on loopback. Not shipped.
//!
//! [`Fleet`] starts them, with free ports and data folders of its own. [`OperatorClient`] makes
//! the operators' calls. [`DaemonProcess`] is one daemon as a process. [`LatencyTable`] collects and prints times by length class.

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

/// The model that a [`Fleet`]'s engines serve.
pub const MODEL: &str = "oriole-large";

/// The plain service of a [`Fleet`].
pub const SERVICE: &str = "subscriptions";

/// Returns the key of an account in a [`Fleet`].
pub fn account_key(number: usize) -> String {
    format!("testbed-account-key-{number:04}")
}

//! `oriolepass`, the operators' command line.
//!
//! The commands use the HTTP API of the daemons, which `openapi.json` describes. Every daemon
//! accepts every call. A change is retried with the same change id until its result is known, so a
//! lost answer or a lost leader never applies the change twice.

mod arguments;
mod client;
mod commands;
mod output;

use std::process::ExitCode;

use crate::client::ClientError;

/// Exit codes. Scripts may rely on them.
mod exit {
    /// The daemon refused the call; the message gives the reason.
    pub(crate) const REFUSED: u8 = 1;
    /// The command line or an input file is invalid.
    pub(crate) const USAGE: u8 = 2;
    /// No daemon answered, or the outcome is unknown.
    pub(crate) const UNREACHABLE: u8 = 3;
    /// The revision was not in force everywhere before the timeout.
    pub(crate) const NOT_IN_FORCE: u8 = 4;
}

fn main() -> ExitCode {
    let arguments = arguments::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("oriolepass: cannot create the async runtime: {error}");
            return ExitCode::from(exit::UNREACHABLE);
        }
    };
    match runtime.block_on(commands::run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oriolepass: {error:#}");
            ExitCode::from(exit_code(&error))
        }
    }
}

fn exit_code(error: &eyre::Report) -> u8 {
    match error.downcast_ref::<ClientError>() {
        Some(ClientError::Refused(_)) => exit::REFUSED,
        Some(ClientError::Unreachable { .. }) => exit::UNREACHABLE,
        Some(ClientError::NotInForce { .. }) => exit::NOT_IN_FORCE,
        None => exit::USAGE,
    }
}

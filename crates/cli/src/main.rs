//! `oriolepass`: the operators' command line.
//!
//! Everything goes through the daemons' remote calls, which `openapi.json` describes. Any daemon
//! takes any call. A change is sent again with the same change id until its answer is known, so
//! a lost answer or a lost leader never makes it happen twice.

mod arguments;
mod client;
mod commands;
mod output;

use std::process::ExitCode;

use crate::client::ClientError;

/// The exit codes, which scripts may rely on.
mod exit {
    /// The daemon refused the call; the message says why.
    pub(crate) const REFUSED: u8 = 1;
    /// The command line or a file is wrong.
    pub(crate) const USAGE: u8 = 2;
    /// No daemon answered, or the outcome is not known.
    pub(crate) const UNREACHABLE: u8 = 3;
    /// What was waited for did not come in time.
    pub(crate) const NOT_YET: u8 = 4;
}

fn main() -> ExitCode {
    let arguments = arguments::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("oriolepass: the runtime cannot be made: {error}");
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
        Some(ClientError::NotYet { .. }) => exit::NOT_YET,
        None => exit::USAGE,
    }
}

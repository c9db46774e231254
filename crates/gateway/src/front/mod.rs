//! Serves callers: accepts their connections, forwards their requests to endpoints and returns the
//! answers.

mod attempts;
mod body;
#[cfg(test)]
mod body_tests;
mod caller;
mod end_probes;
#[cfg(test)]
mod end_probes_tests;
pub(crate) mod ends;
mod events;
mod evidence;
#[cfg(test)]
mod evidence_tests;
mod headers;
pub(crate) mod helpers;
mod listener;
mod pace;
mod placement;
mod presence;
mod read_pace;
mod refusal;
#[cfg(test)]
mod refusal_tests;
mod reserve;
mod second_sends;
mod sends;
mod starting;
#[cfg(test)]
mod starting_tests;
mod stream;
mod tries;
#[cfg(test)]
mod tries_tests;
mod try_lines;

pub use attempts::AttemptCount;
pub use events::EventSplitter;
pub(crate) use listener::serve_callers;
pub(crate) use read_pace::READ_TIMEOUT;

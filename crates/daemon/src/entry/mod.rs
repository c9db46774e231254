//! The entry role of a daemon: runs callers' requests from admission to completion.

mod client;
mod driver;
mod grants;
mod homes;
mod lines;
mod outcomes;
mod sending;

pub(crate) use client::{EndpointClient, ServiceCall};
pub(crate) use driver::{CallerEvent, ClaimSpec, EntryRequest, WorkBody, start_request};
pub(crate) use grants::ActiveGrants;

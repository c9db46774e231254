//! The HTTP listeners for callers, operators and endpoints: gotham routers and handlers, on
//! connections that are limited in number and time.

mod answer;
mod auth;
mod body;
mod callers;
mod completions;
mod endpoints;
mod operators;
mod server;
mod services;

pub(crate) use callers::caller_router;
pub(crate) use endpoints::endpoint_router;
pub(crate) use operators::operator_router;
pub(crate) use server::serve;

use std::panic::RefUnwindSafe;
use std::sync::Arc;

use futures::FutureExt;
use gotham::handler::{HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::state::State;

use crate::shared::DaemonShared;

/// The response of a handler.
pub(crate) type HttpResponse = Response<Body>;

/// Lets handlers capture the shared state. gotham requires handlers to be unwind-safe. The shared
/// state is, because handlers do not panic while they hold its locks and so never poison them.
#[derive(Clone)]
struct SharedState(Arc<DaemonShared>);

impl RefUnwindSafe for SharedState {}

impl SharedState {
    fn get(&self) -> Arc<DaemonShared> {
        Arc::clone(&self.0)
    }
}

/// Creates a gotham handler from an async function that takes the shared state.
fn handler<F, Fut>(shared: &Arc<DaemonShared>, function: F) -> impl NewHandler + use<F, Fut>
where
    F: Fn(Arc<DaemonShared>, State) -> Fut + Copy + Send + Sync + RefUnwindSafe + 'static,
    Fut: Future<Output = (State, HttpResponse)> + Send + 'static,
{
    let shared = SharedState(Arc::clone(shared));
    move || {
        let shared = shared.clone();
        Ok(move |state: State| -> std::pin::Pin<Box<HandlerFuture>> {
            function(shared.get(), state).map(Ok).boxed()
        })
    }
}

//! Starts the gateway's listeners and tasks on the current event loop.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use oriolepass_settings::GatewaySettings;
use thiserror::Error;
use tokio::task::spawn_local;

use crate::calls::serve_calls;
use crate::cluster::GatewayMesh;
use crate::dialect::WireDialect;
use crate::events::{EventKind, EventLog};
use crate::front::serve_callers;
use crate::gateway::Gateway;
use crate::net;
use crate::operators::answer_operator;
use crate::replica::ReplicaDriver;

/// The maximum length of a body on the metrics address, where bodies are empty or a digest.
const MAX_OPERATOR_BODY_BYTES: usize = 1_024;

/// The reason that a gateway did not start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A listener cannot be opened on an address.
    #[error("cannot listen on {address}: {source}; free it or change it under [listen]")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Signal handlers cannot be registered.
    #[error("cannot wait for signals: {source}; raise the limit on file descriptors")]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
    /// The event loop or the log's thread cannot be started.
    #[error(
        "cannot start the event loop: {source}; raise the limits on threads and file descriptors"
    )]
    EventLoop {
        /// The operating system's error.
        source: io::Error,
    },
}

/// Listens on an address, for a front end of the product.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<tokio::net::TcpListener, GatewayError> {
    net::listen(address).map_err(|source| GatewayError::Listen { address, source })
}

/// Starts a gateway: the callers' listener, the tasks of the cluster and the metrics listener. The
/// front end that calls this function opens the listeners for operators, endpoints and the
/// directory.
///
/// Call this within a `LocalSet`. The gateway stops when the `LocalSet` is dropped.
///
/// # Errors
///
/// Returns an error when an address cannot be listened on.
pub fn start(
    settings: GatewaySettings,
    dialect: WireDialect,
    log: EventLog,
) -> Result<Rc<Gateway>, GatewayError> {
    let listen_at = settings.listen.clone();
    let callers = listen(listen_at.callers)?;
    let peers = listen(listen_at.peers_bind)?;
    let folder = settings.data_folder.clone();
    let gateway = Gateway::new(settings, dialect, log);
    {
        let settings = gateway.settings();
        gateway
            .line(EventKind::Start)
            .text("name", &settings.name)
            .text("version", env!("CARGO_PKG_VERSION"))
            .number("boot", gateway.boot)
            .text("data_centre", &settings.data_centre)
            .number("has_disk", folder.is_some())
            .number("may_found", settings.seeds.may_found)
            .text("seeds", format!("{:?}", settings.seeds.hosts));
    }
    gateway.mesh.start(peers, Rc::new(GatewayMesh(Rc::clone(&gateway))));
    if let Some(folder) = folder {
        let (reports, to_loop) = tokio::sync::mpsc::unbounded_channel();
        let replica = ReplicaDriver::new(gateway.own.clone(), &folder, reports);
        *gateway.replica.borrow_mut() = Some(replica);
        spawn_local(Rc::clone(&gateway).run_replica(to_loop));
        spawn_local(Rc::clone(&gateway).maintain_voters());
        spawn_local(Rc::clone(&gateway).send_queued_leaf_changes());
        spawn_local(Rc::clone(&gateway).persist_quarantine(folder));
    }
    spawn_local(Rc::clone(&gateway).send_greetings_periodically());
    spawn_local(Rc::clone(&gateway).refresh_proof_periodically());
    spawn_local(Rc::clone(&gateway).forward_heartbeats_periodically());
    spawn_local(Rc::clone(&gateway).maintain_quarantine());
    spawn_local(Rc::clone(&gateway).review_quarantine());
    spawn_local(Rc::clone(&gateway).send_queued_facts());
    spawn_local(Rc::clone(&gateway).check_lost_paths());
    spawn_local(Rc::clone(&gateway).measure_loop_delay());
    spawn_local(serve_callers(Rc::clone(&gateway), callers));
    serve_operators(&gateway, listen_at.metrics);
    Ok(gateway)
}

fn serve_operators(gateway: &Rc<Gateway>, address: SocketAddr) {
    match listen(address) {
        Ok(listener) => {
            let gateway = Rc::clone(gateway);
            spawn_local(serve_calls(listener, MAX_OPERATOR_BODY_BYTES, move |call| {
                answer_operator(Rc::clone(&gateway), call)
            }));
        }
        // Callers are served even if the metrics are not.
        Err(error) => {
            let line = gateway.line(EventKind::Ignored).text("reason", error);
            line.text("outcome", "no metrics are served");
        }
    }
}

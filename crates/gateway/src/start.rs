//! Starts the gateway's tasks on the present event loop.

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

/// Bodies of calls to the address for metrics are empty, or a digest.
const OPERATOR_BODY: usize = 1_024;

/// The reason that a gateway did not start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; free it or change it under [listen]")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Signals cannot be waited for.
    #[error("cannot wait for signals: {source}; raise the limit of descriptors")]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
    /// The event loop or the log's thread cannot be started.
    #[error("cannot start the event loop: {source}; raise the limits of threads and descriptors")]
    EventLoop {
        /// The operating system's error.
        source: io::Error,
    },
}

/// Listens on an address, for a face of the product.
///
/// # Errors
///
/// Returns an error when the address cannot be had.
pub fn listen(address: SocketAddr) -> Result<tokio::net::TcpListener, GatewayError> {
    net::listen(address).map_err(|source| GatewayError::Listen { address, source })
}

/// Starts a gateway: its callers' listener, its part in the cluster, its metrics. The listeners
/// for operators, endpoints and the directory belong to the face that starts it.
///
/// To be called within a `LocalSet`, whose end ends the gateway.
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
        spawn_local(Rc::clone(&gateway).keep_quarantine_on_disk(folder));
    }
    spawn_local(Rc::clone(&gateway).send_greetings_periodically());
    spawn_local(Rc::clone(&gateway).refresh_proof_periodically());
    spawn_local(Rc::clone(&gateway).forward_heartbeats_periodically());
    spawn_local(Rc::clone(&gateway).keep_quarantine());
    spawn_local(serve_callers(Rc::clone(&gateway), callers));
    serve_operators(&gateway, listen_at.metrics);
    Ok(gateway)
}

fn serve_operators(gateway: &Rc<Gateway>, address: SocketAddr) {
    match listen(address) {
        Ok(listener) => {
            let gateway = Rc::clone(gateway);
            spawn_local(serve_calls(listener, OPERATOR_BODY, move |call| {
                answer_operator(Rc::clone(&gateway), call)
            }));
        }
        // Serving goes before being watched.
        Err(error) => {
            let line = gateway.line(EventKind::Ignored).text("reason", error);
            line.text("outcome", "no metrics are served");
        }
    }
}

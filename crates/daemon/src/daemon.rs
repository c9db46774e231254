//! Starts and stops the duties of a daemon.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use oriolepass_config::MemberAddresses;
use oriolepass_consensus::{ConsensusConfig, ConsensusNode, DiskId, FoundingRule};
use oriolepass_schema::operator::KeyHash;
use oriolepass_settings::{DaemonSettings, ListenSettings};
use oriolepass_storage::{DEFAULT_SEGMENT_BYTES, DiskFolder, LogStore, StorageError};
use oriolepass_timer::{ClockSource, TimerService};
use oriolepass_units::InstanceId;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

use crate::address_book::AddressBook;
use crate::home::{HomeHandle, run_home_tasks, start_home};
use crate::log::{LogHandle, LogParts, start_log};
use crate::peers::{ClusterKey, PeerFaults, PeerHandle, run_clients, run_server};
use crate::shared::{DaemonShared, SharedParts};
use crate::{drain, http, member};

/// The interval between ticks of the log thread.
const LOG_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The interval between ticks of the home thread.
const HOME_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum size of the entries, or of the part of a snapshot, in one consensus message.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The time for which a leader's disk may be behind a quorum of the others before the leader
/// transfers leadership: well above a sync of a disk that is slow at times.
const MAX_COMMIT_LAG: Duration = Duration::from_millis(500);

/// The number of entries retained behind a snapshot.
///
/// They take about 1 MB at 1 kB per change, and cover more entries than a follower misses during
/// a restart of a few seconds at the required rate of changes.
const TRAILING_ENTRIES: u64 = 1_024;

/// The capacity of the ring through which the home passes background tasks to the `control` thread.
const TASK_RING_CAPACITY: usize = 4_096;

/// The maximum number of connections on the operators' and on the endpoints' listener, each.
const MAX_CONTROL_CONNECTIONS: usize = 4_096;

/// The error that prevents a daemon from starting.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// Binding a listening address failed.
    #[error("cannot listen on {address}: {source}; free it or change it under [listen]")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Opening the data folder failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// Starting a thread failed.
    #[error("cannot start a thread: {0}; raise the limit of processes")]
    Thread(#[from] io::Error),
}

/// The sockets that a daemon listens on.
///
/// The sockets are bound before the daemon starts, so that tests can let the operating system
/// choose the ports.
#[derive(Debug)]
pub struct DaemonListeners {
    /// The listener for callers.
    pub callers: StdListener,
    /// The listener for operators.
    pub operators: StdListener,
    /// The listener for endpoints.
    pub endpoints: StdListener,
    /// The listener for other daemons.
    pub peers: StdListener,
}

impl DaemonListeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first address that cannot be bound.
    pub fn bind(listen: &ListenSettings) -> Result<Self, DaemonError> {
        let bind = |address: SocketAddr| {
            StdListener::bind(address).map_err(|source| DaemonError::Listen { address, source })
        };
        Ok(Self {
            callers: bind(listen.callers)?,
            operators: bind(listen.operators)?,
            endpoints: bind(listen.endpoints)?,
            peers: bind(listen.peers)?,
        })
    }

    fn addresses(&self) -> io::Result<MemberAddresses> {
        Ok(MemberAddresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            endpoints: self.endpoints.local_addr()?,
            peers: self.peers.local_addr()?,
        })
    }
}

/// A running daemon.
pub struct Daemon {
    shared: Arc<DaemonShared>,
    callers: Option<Runtime>,
    threads: Vec<JoinHandle<()>>,
    faults: PeerFaults,
}

impl Daemon {
    /// Starts all duties.
    ///
    /// # Errors
    ///
    /// Returns an error when the data folder cannot be used or a thread cannot be started.
    pub fn start(
        settings: DaemonSettings,
        listeners: DaemonListeners,
    ) -> Result<Self, DaemonError> {
        let (timer, timer_thread) = TimerService::start(ClockSource::system())?;
        let book = AddressBook::new(&settings.voters);
        let (peers, peer_commands) = PeerHandle::new(book.clone());
        let (home, home_inputs) = HomeHandle::new();
        let log = settings.is_voter().then(LogHandle::new);
        let key = ClusterKey::new(&settings.cluster_key);
        let replica = match &settings.instance.data_folder {
            Some(folder) if settings.is_voter() => {
                let (folder, _) = DiskFolder::open(folder)?;
                Some(LogStore::open(folder, DEFAULT_SEGMENT_BYTES)?)
            }
            _ => None,
        };
        let parts = SharedParts {
            addresses: listeners.addresses()?,
            boot: rand::random::<u64>() >> 16,
            timer: timer.clone(),
            book,
            peers: peers.clone(),
            log: log.as_ref().map(|(handle, _)| handle.clone()),
            home,
            settings,
        };
        let shared = Arc::new(DaemonShared::new(parts));
        let faults = PeerFaults::default();
        let mut threads = vec![timer_thread];
        if let (Some((store, recovered)), Some((handle, inputs))) = (replica, log) {
            let node = ConsensusNode::new(
                consensus_config(&shared),
                shared.id().clone(),
                DiskId(rand::random()),
                recovered,
                timer.now(),
            );
            threads.extend(start_log(LogParts {
                shared: Arc::downgrade(&shared),
                inputs,
                node,
                store,
                peers,
                member_lease: shared.settings.timing.member_lease,
                root_key: shared.settings.root_key_sha256.clone().map(KeyHash),
            })?);
            timer.subscribe_every(LOG_TICK_INTERVAL, move || handle.tick());
        }
        let (home_tasks, home_task_inputs) = tokio::sync::mpsc::channel(TASK_RING_CAPACITY);
        threads.push(start_home(&shared, home_inputs, home_tasks)?);
        let home = shared.home.clone();
        timer.subscribe_every(HOME_TICK_INTERVAL, move || home.tick());
        threads.push(start_peers(&shared, listeners.peers, peer_commands, key, faults.clone())?);
        threads.push(start_member(&shared)?);
        threads.push(start_control(
            &shared,
            listeners.operators,
            listeners.endpoints,
            home_task_inputs,
        )?);
        let callers = start_callers(&shared, listeners.callers)?;
        Ok(Self { shared, callers: Some(callers), threads, faults })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> &MemberAddresses {
        &self.shared.addresses
    }

    /// Returns the id of the instance that runs the daemon.
    pub fn instance(&self) -> &InstanceId {
        self.shared.id()
    }

    /// Returns the test hook that isolates the daemon from its peers.
    pub fn peer_faults(&self) -> &PeerFaults {
        &self.faults
    }

    /// Returns whether the daemon serves requests with a current configuration.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns whether an operator has requested that the daemon drains.
    pub fn is_drain_requested(&self) -> bool {
        let view = self.shared.view.read();
        let member = view.members().get(self.shared.id());
        member.is_some_and(|m| m.draining && m.boot == self.shared.boot)
    }

    /// Returns a handle that cuts a graceful shutdown short.
    pub fn forced_drain_handle(&self) -> ForcedDrainHandle {
        ForcedDrainHandle(Arc::clone(&self.shared))
    }

    /// Shuts down gracefully and returns the number of requests that were abandoned.
    ///
    /// # Panics
    ///
    /// Panics when called from within an async task.
    pub fn drain(mut self) -> u64 {
        let callers = self.callers.take().expect("a daemon shuts down once");
        let given_up = callers.block_on(drain::leave(&self.shared));
        self.shut_down(callers);
        given_up
    }

    /// Abandons the running requests and stops, without waiting for them to complete; returns the
    /// number of abandoned requests.
    ///
    /// Each caller receives the true outcome of its request.
    ///
    /// # Panics
    ///
    /// Panics when called from within an async task.
    pub fn stop(mut self) -> u64 {
        let callers = self.callers.take().expect("a daemon shuts down once");
        let given_up = callers.block_on(drain::abandon(&self.shared));
        self.shut_down(callers);
        given_up
    }

    /// Stops at once and notifies nobody, as if the process were killed.
    pub fn kill(mut self) {
        if let Some(callers) = self.callers.take() {
            self.shut_down(callers);
        }
    }

    fn shut_down(&mut self, callers: Runtime) {
        callers.shutdown_background();
        self.shared.stopping.send_replace(true);
        self.shared.timer.stop();
        self.shared.home.stop();
        if let Some(log) = &self.shared.log {
            log.stop();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Cuts a graceful shutdown short.
///
/// The requests that still run are abandoned; each caller receives the true outcome.
pub struct ForcedDrainHandle(Arc<DaemonShared>);

impl ForcedDrainHandle {
    /// Ends the wait for running requests.
    pub fn force(&self) {
        self.0.force_drain.send_replace(true);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(callers) = self.callers.take() {
            self.shut_down(callers);
        }
    }
}

fn consensus_config(shared: &DaemonShared) -> ConsensusConfig {
    let timing = &shared.settings.timing;
    ConsensusConfig {
        election_timeout: timing.election,
        heartbeat_interval: timing.heartbeat,
        max_commit_lag: MAX_COMMIT_LAG,
        drift_percent: timing.drift_percent,
        message_bytes: MAX_MESSAGE_BYTES,
        first_voters: shared.settings.voters.iter().map(|v| v.instance.clone()).collect(),
        // The settings do not tell a first start from one after the loss of a disk.
        founding: FoundingRule::AllMeet,
        trailing_entries: TRAILING_ENTRIES,
        seed: rand::random(),
    }
}

/// Runs a future on a dedicated thread until the daemon stops.
fn spawn_duty<F, Fut>(name: &str, shared: &Arc<DaemonShared>, duty: F) -> io::Result<JoinHandle<()>>
where
    F: FnOnce(Arc<DaemonShared>) -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let shared = Arc::clone(shared);
    std::thread::Builder::new().name(name.into()).spawn(move || {
        let local = LocalSet::new();
        let stop = wait_until_stopping(Arc::clone(&shared));
        local.block_on(&runtime, async move {
            tokio::select! {
                () = duty(shared) => {}
                () = stop => {}
            }
        });
        drop(local);
        runtime.shutdown_background();
    })
}

async fn wait_until_stopping(shared: Arc<DaemonShared>) {
    let _ = shared.stopping.subscribe().wait_for(|stopping| *stopping).await;
}

fn start_peers(
    shared: &Arc<DaemonShared>,
    listener: StdListener,
    commands: tokio::sync::mpsc::Receiver<crate::peers::PeerCommand>,
    key: ClusterKey,
    faults: PeerFaults,
) -> io::Result<JoinHandle<()>> {
    listener.set_nonblocking(true)?;
    spawn_duty("peers", shared, move |shared| async move {
        let Ok(listener) = TcpListener::from_std(listener) else { return };
        let instance = shared.id().to_string();
        let clients = run_clients(commands, key.clone(), instance, faults.clone());
        let server = run_server(listener, shared, key, faults);
        tokio::join!(clients, server);
    })
}

fn start_member(shared: &Arc<DaemonShared>) -> io::Result<JoinHandle<()>> {
    spawn_duty("member", shared, member::run)
}

fn start_control(
    shared: &Arc<DaemonShared>,
    operators: StdListener,
    endpoints: StdListener,
    home_tasks: tokio::sync::mpsc::Receiver<crate::home::HomeTask>,
) -> io::Result<JoinHandle<()>> {
    operators.set_nonblocking(true)?;
    endpoints.set_nonblocking(true)?;
    spawn_duty("control", shared, move |shared| async move {
        let (Ok(operators), Ok(endpoints)) =
            (TcpListener::from_std(operators), TcpListener::from_std(endpoints))
        else {
            return;
        };
        let operator_router = http::operator_router(&shared);
        let endpoint_router = http::endpoint_router(&shared);
        tokio::join!(
            http::serve(operators, operator_router, MAX_CONTROL_CONNECTIONS),
            http::serve(endpoints, endpoint_router, MAX_CONTROL_CONNECTIONS),
            run_home_tasks(shared, home_tasks),
        );
    })
}

fn start_callers(shared: &Arc<DaemonShared>, listener: StdListener) -> io::Result<Runtime> {
    listener.set_nonblocking(true)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(shared.settings.limits.worker_threads)
        .thread_name("callers")
        .enable_all()
        .build()?;
    let guard = runtime.enter();
    let listener = TcpListener::from_std(listener)?;
    drop(guard);
    let router = http::caller_router(shared);
    // Each request occupies a connection; the factor 2 leaves room for idle connections.
    let limit = shared.settings.limits.max_requests.saturating_mul(2);
    let connections = usize::try_from(limit).unwrap_or(usize::MAX).min(1 << 20);
    runtime.spawn(http::serve(listener, router, connections));
    Ok(runtime)
}

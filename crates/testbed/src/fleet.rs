//! Runs a deployment of daemons, engines and plain services on loopback.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use eyre::{Result, bail};
use oriolepass_daemon::{Daemon, DaemonListeners};
use oriolepass_schema::operator::{
    AccountSpec, KeyHash, ModelSpec, ObjectSpec, PoolRole, PoolSpec,
};
use oriolepass_settings::{
    DaemonSettings, InstanceSettings, LimitSettings, ListenSettings, TimingSettings, VoterAddress,
};
use oriolepass_standin::{AnnouncePlan, EngineConfig, EngineServer, ServiceServer};
use oriolepass_units::{DataCentreId, Incarnation, TokenCount};
use tempfile::TempDir;

use crate::{MODEL, OperatorClient, POOL_KEY, ROOT_KEY, SERVICE, account_key};

/// Composition of a deployment.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Number of daemons in each data centre.
    pub daemons_per_data_centre: usize,
    /// Number of daemons that vote and store the log. Voters are spread over the data centres.
    pub voters: usize,
    /// Number of engines in the whole deployment.
    pub engines: usize,
    /// Number of plain services in the whole deployment.
    pub services: usize,
    /// Number of client accounts. The first two have a share of 4, the others a share of 1.
    pub accounts: usize,
    /// Configuration of every engine.
    pub engine: EngineConfig,
    /// How long callers may keep the addresses that a daemon gave them.
    pub address_keep: Duration,
    /// The limit `max_requests` of each daemon.
    pub max_requests: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            data_centres: ["recife-a", "fortaleza-b", "salvador-c"].map(str::to_owned).to_vec(),
            daemons_per_data_centre: 1,
            voters: 3,
            engines: 3,
            services: 1,
            accounts: 2,
            engine: EngineConfig::default(),
            address_keep: Duration::from_millis(500),
            max_requests: 8_000,
        }
    }
}

/// A running deployment on loopback.
pub struct Fleet {
    plan: FleetPlan,
    settings: Vec<DaemonSettings>,
    daemons: Vec<Option<Daemon>>,
    /// The running engines.
    pub engines: Vec<EngineServer>,
    /// The running plain services.
    pub services: Vec<ServiceServer>,
    /// Client with the key of the root team.
    pub operator: OperatorClient,
    incarnation: u64,
    _folder: TempDir,
}

impl Fleet {
    /// Starts a deployment and waits until all endpoints are live.
    ///
    /// # Errors
    ///
    /// Returns an error when a daemon or an endpoint does not start, a setup change is not accepted
    /// and in force in time, or the endpoints are not live in time.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let count = plan.data_centres.len() * plan.daemons_per_data_centre;
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(free_listeners()?);
        }
        let settings = make_settings(&plan, &listeners, folder.path())?;
        let mut daemons = Vec::new();
        for (settings, listeners) in settings.iter().zip(listeners) {
            daemons.push(Some(Daemon::start(settings.clone(), listeners)?));
        }
        let mut fleet = Self {
            plan,
            settings,
            daemons,
            engines: Vec::new(),
            services: Vec::new(),
            operator: OperatorClient::new(ROOT_KEY),
            incarnation: 1,
            _folder: folder,
        };
        fleet.configure().await?;
        fleet.start_endpoints().await?;
        fleet.wait_until_live().await?;
        Ok(fleet)
    }

    async fn configure(&self) -> Result<()> {
        let daemon = self.operators(0);
        let put = |id: String, name: String, spec| {
            let operator = self.operator.clone();
            async move { operator.put(daemon, &id, &name, 0, spec).await }
        };
        let pool = PoolSpec { keys: vec![KeyHash::of(POOL_KEY)], role: PoolRole::General };
        put("setup-pool".into(), "engines".into(), ObjectSpec::Pool(pool)).await?;
        let model = ModelSpec {
            version: "1".into(),
            adapters: Vec::new(),
            replicas: Default::default(),
            max_prompt: TokenCount(1_100_000),
        };
        let mut last_change =
            put("setup-model".into(), MODEL.into(), ObjectSpec::Model(model)).await?;
        for number in 0..self.plan.accounts {
            let account = AccountSpec {
                keys: vec![KeyHash::of(&account_key(number))],
                share: if number < 2 { 4 } else { 1 },
                max_held: None,
            };
            let (id, name) = (format!("setup-account-{number}"), format!("account-{number}"));
            last_change = put(id, name, ObjectSpec::Account(account)).await?;
        }
        self.operator.wait_in_force(daemon, last_change.config_revision).await
    }

    async fn start_endpoints(&mut self) -> Result<()> {
        for number in 0..self.plan.engines {
            let engine = self.start_engine(number).await?;
            self.engines.push(engine);
        }
        for number in 0..self.plan.services {
            let data_centre = self.data_centre(number)?;
            let endpoint = format!("service-{number}").parse()?;
            let service = SERVICE.parse()?;
            let plan = self.announce_plan();
            let server = ServiceServer::start(endpoint, data_centre, service, plan).await?;
            self.services.push(server);
        }
        Ok(())
    }

    /// Starts the engine with this number under a new incarnation, also to replace a killed engine.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not start.
    pub async fn start_engine(&mut self, number: usize) -> Result<EngineServer> {
        let data_centre = self.data_centre(number)?;
        let endpoint = format!("engine-{number}").parse()?;
        self.incarnation += 1;
        let incarnation = Incarnation(self.incarnation);
        let (config, plan) = (self.plan.engine.clone(), self.announce_plan());
        Ok(EngineServer::start(endpoint, data_centre, incarnation, config, plan).await?)
    }

    fn announce_plan(&self) -> AnnouncePlan {
        AnnouncePlan {
            daemons: self.settings.iter().map(|s| s.listen.endpoints).collect(),
            key: POOL_KEY.to_owned(),
            cache_lag: Duration::from_millis(20),
        }
    }

    fn data_centre(&self, number: usize) -> Result<DataCentreId> {
        Ok(self.plan.data_centres[number % self.plan.data_centres.len()].parse()?)
    }

    /// Waits until all endpoints are live and all running daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error when the deployment does not reach this state within twenty seconds.
    pub async fn wait_until_live(&self) -> Result<()> {
        use oriolepass_schema::operator::EndpointState;

        let expected = self.engines.len() + self.services.len();
        let mut live = 0;
        for _ in 0..400 {
            live = 0;
            for number in self.running() {
                if let Ok(status) = self.operator.status(self.operators(number)).await {
                    let is_live = |e: &&oriolepass_schema::operator::EndpointView| {
                        e.state == EndpointState::Live
                    };
                    live += status.endpoints.iter().filter(is_live).count();
                }
            }
            if live >= expected && self.running().all(|n| self.daemon(n).is_ready()) {
                // The daemons receive the digests of the homes shortly afterwards.
                tokio::time::sleep(Duration::from_millis(500)).await;
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        bail!("{live} of {expected} endpoints are live")
    }

    /// Returns the numbers of the running daemons.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.daemons.len()).filter(|number| self.daemons[*number].is_some())
    }

    /// Returns the number of daemons, running or stopped.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Returns whether the deployment has no daemons.
    pub fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }

    /// Returns a running daemon.
    ///
    /// # Panics
    ///
    /// Panics when the daemon is not running.
    pub fn daemon(&self, number: usize) -> &Daemon {
        self.daemons[number].as_ref().expect("the daemon runs")
    }

    /// Returns the settings of a daemon.
    pub fn settings(&self, number: usize) -> &DaemonSettings {
        &self.settings[number]
    }

    /// Returns the settings of a daemon for changes that take effect at its next start.
    pub fn settings_mut(&mut self, number: usize) -> &mut DaemonSettings {
        &mut self.settings[number]
    }

    /// Returns the address of a daemon's callers' listener.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.settings[number].listen.callers
    }

    /// Returns the address of a daemon's operators' listener.
    pub fn operators(&self, number: usize) -> SocketAddr {
        self.settings[number].listen.operators
    }

    /// Removes a running daemon from the fleet, so that the caller can drain, stop or kill it.
    ///
    /// # Panics
    ///
    /// Panics when the daemon is not running.
    pub fn take(&mut self, number: usize) -> Daemon {
        self.daemons[number].take().expect("the daemon runs")
    }

    /// Kills a daemon without notifying its peers, callers or endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error when the task that joins the daemon's threads fails.
    pub async fn kill(&mut self, number: usize) -> Result<()> {
        let daemon = self.take(number);
        Ok(tokio::task::spawn_blocking(move || daemon.kill()).await?)
    }

    /// Drains a daemon and returns the number of requests that were aborted.
    ///
    /// # Errors
    ///
    /// Returns an error when the task that joins the daemon's threads fails.
    pub async fn drain(&mut self, number: usize) -> Result<u64> {
        let daemon = self.take(number);
        Ok(tokio::task::spawn_blocking(move || daemon.drain()).await?)
    }

    /// Starts a stopped daemon on its previous addresses and data folder.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not start or its addresses are still in use.
    pub async fn restart(&mut self, number: usize) -> Result<()> {
        let settings = self.settings[number].clone();
        let mut last_error = None;
        for _ in 0..100 {
            match DaemonListeners::bind(&settings.listen) {
                Ok(listeners) => {
                    self.daemons[number] = Some(Daemon::start(settings, listeners)?);
                    return Ok(());
                }
                Err(error) => last_error = Some(error),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        bail!("cannot bind the addresses of daemon {number}: {last_error:?}")
    }

    /// Deletes the data folder of a stopped daemon to simulate a replaced disk.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn delete_data_folder(&self, number: usize) -> Result<()> {
        if let Some(folder) = &self.settings[number].instance.data_folder {
            std::fs::remove_dir_all(folder)?;
        }
        Ok(())
    }
}

fn free_listeners() -> Result<DaemonListeners> {
    let bind = || TcpListener::bind("127.0.0.1:0");
    Ok(DaemonListeners { callers: bind()?, operators: bind()?, endpoints: bind()?, peers: bind()? })
}

fn make_settings(
    plan: &FleetPlan,
    listeners: &[DaemonListeners],
    folder: &Path,
) -> Result<Vec<DaemonSettings>> {
    // Daemon n belongs to data centre n modulo the number of data centres. The first daemons are
    // the voters, so the voters are spread over the data centres.
    let names: Vec<String> = (0..listeners.len())
        .map(|n| format!("{}-{n}", plan.data_centres[n % plan.data_centres.len()]))
        .collect();
    let mut voters = Vec::new();
    for (name, listeners) in names.iter().zip(listeners).take(plan.voters) {
        let peers = listeners.peers.local_addr()?;
        voters.push(VoterAddress { instance: name.parse()?, peers });
    }
    let mut all = Vec::new();
    for (number, listeners) in listeners.iter().enumerate() {
        let data_centre = &plan.data_centres[number % plan.data_centres.len()];
        let data_folder = (number < plan.voters).then(|| folder.join(&names[number]));
        all.push(DaemonSettings {
            instance: InstanceSettings {
                id: names[number].parse()?,
                data_centre: data_centre.parse()?,
                data_folder,
            },
            listen: ListenSettings {
                callers: listeners.callers.local_addr()?,
                operators: listeners.operators.local_addr()?,
                endpoints: listeners.endpoints.local_addr()?,
                peers: listeners.peers.local_addr()?,
            },
            voters: voters.clone(),
            cluster_key: "testbed-cluster-key-0001".to_owned(),
            root_key_sha256: Some(KeyHash::of(ROOT_KEY).0),
            timing: timing(plan),
            limits: limits(plan),
            log_level: "error".to_owned(),
        });
    }
    Ok(all)
}

fn timing(plan: &FleetPlan) -> TimingSettings {
    TimingSettings {
        heartbeat: Duration::from_millis(60),
        election: Duration::from_millis(500),
        drift_percent: 10,
        member_lease: Duration::from_secs(2),
        endpoint_heartbeat: Duration::from_millis(200),
        endpoint_suspect: Duration::from_secs(1),
        endpoint_gone: Duration::from_secs(4),
        grant_lease: Duration::from_secs(3),
        address_keep: plan.address_keep,
        drain: Duration::from_secs(60),
    }
}

fn limits(plan: &FleetPlan) -> LimitSettings {
    LimitSettings {
        max_body_bytes: 16 << 20,
        max_prompt_tokens: 1_100_000,
        max_answer_tokens: 32_768,
        max_requests: plan.max_requests,
        max_buffered_bytes: 1 << 30,
        body_timeout: Duration::from_secs(30),
        reader_timeout: Duration::from_secs(30),
        default_deadline: Duration::from_secs(60),
        max_deadline: Duration::from_secs(3_600),
        worker_threads: 2,
    }
}

//! Runs `oriolepassd`: loads the settings, runs the daemon and shuts it down gracefully on request.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use eyre::{Report, Result, WrapErr, eyre};
use oriolepass_daemon::{Daemon, DaemonListeners, init_logging};
use oriolepass_gateway::{GatewayError, ReloadSignal, StopSignals};
use oriolepass_platform::GatewayProcess;
use oriolepass_settings::{DaemonSettings, GatewaySettings, SettingsError, reference_page};
use spdlog::warn;
use tokio::runtime::Runtime;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// The interval between checks for an operator's drain request.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The task selected on the command line.
#[derive(Debug, Clone)]
enum DaemonTask {
    Run { config: PathBuf, check: bool },
    PrintSettings,
    Gateway { config: PathBuf, check: bool },
}

fn command_line() -> OptionParser<DaemonTask> {
    let config = long("config").help("The settings file").argument::<PathBuf>("FILE.ini");
    let check = long("check-config").help("Check the settings file and exit").switch();
    let run = construct!(DaemonTask::Run { config, check });
    let print = long("print-settings")
        .help("Print the settings reference and exit")
        .req_flag(DaemonTask::PrintSettings);
    let gateway_config = long("config")
        .env(oriolepass_platform::SETTINGS_VARIABLE)
        .help("The gateway's settings file")
        .argument::<PathBuf>("FILE.ini");
    let gateway_check = long("check-config").help("Check the settings file and exit").switch();
    let gateway = construct!(DaemonTask::Gateway { config(gateway_config), check(gateway_check) })
        .to_options()
        .descr("Run a gateway, which finds the other daemons by seeds")
        .command("gateway");
    construct!([gateway, print, run])
        .to_options()
        .descr("The oriolepass daemon")
        .version(env!("CARGO_PKG_VERSION"))
        .footer("Example: oriolepassd --config /etc/oriolepass/recife-a1.ini")
}

fn main() -> ExitCode {
    let result = match command_line().run() {
        DaemonTask::PrintSettings => {
            print!("{}", reference_page());
            return ExitCode::SUCCESS;
        }
        DaemonTask::Gateway { config, check: true } => {
            return check_settings(GatewaySettings::load(&config), &config);
        }
        DaemonTask::Run { config, check: true } => {
            return check_settings(DaemonSettings::load(&config), &config);
        }
        DaemonTask::Gateway { config, check: false } => run_gateway(&config),
        DaemonTask::Run { config, check: false } => run_daemon(&config),
    };
    result.unwrap_or_else(|error| {
        eprintln!("oriolepassd: {error:#}");
        ExitCode::FAILURE
    })
}

/// Prints whether the settings are valid, and returns the exit code.
fn check_settings<T>(loaded: std::result::Result<T, SettingsError>, file: &Path) -> ExitCode {
    match loaded {
        Ok(_) => {
            println!("{}: the settings are valid", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => refuse_settings(&error),
    }
}

/// Prints the errors in the settings, and returns the exit code.
fn refuse_settings(error: &SettingsError) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_SETTINGS)
}

fn run_gateway(config: &Path) -> Result<ExitCode> {
    let process = GatewayProcess::prepare().map_err(|error| gateway_report(&error))?;
    match GatewaySettings::load(config) {
        Ok(settings) => process.run(settings, config).map_err(|error| gateway_report(&error))?,
        Err(error) => return Ok(refuse_settings(&error)),
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the report of an error whose text includes its source.
fn gateway_report(error: &GatewayError) -> Report {
    eyre!("gateway: {error}")
}

fn run_daemon(config: &Path) -> Result<ExitCode> {
    let signals = SignalLoop::start()?;
    match DaemonSettings::load(config) {
        Ok(settings) => run(settings, signals)?,
        Err(error) => return Ok(refuse_settings(&error)),
    }
    Ok(ExitCode::SUCCESS)
}

/// The event loop on which the daemon's process receives its signals.
struct SignalLoop {
    runtime: Runtime,
    stop: StopSignals,
    reload: ReloadSignal,
}

impl SignalLoop {
    /// Registers the handlers of all signals. A signal without a handler ends the process at once;
    /// later ones wait until they are asked for.
    fn start() -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("failed to create the runtime for signals")?;
        let context = runtime.enter();
        let stop = StopSignals::register().map_err(|error| eyre!("{error}"))?;
        let reload = ReloadSignal::register().map_err(|error| eyre!("{error}"))?;
        drop(context);
        Ok(Self { runtime, stop, reload })
    }

    /// Waits for SIGTERM, SIGINT or an operator's drain request.
    fn wait_for_shutdown_request(&mut self, daemon: &Daemon) {
        let Self { runtime, stop, reload } = self;
        runtime.block_on(async {
            let mut poll = tokio::time::interval(DRAIN_POLL_INTERVAL);
            loop {
                tokio::select! {
                    () = stop.wait() => return,
                    () = reload.wait() => {
                        warn!("the settings are read only at a start; restart the daemon");
                    }
                    _ = poll.tick() => {
                        if daemon.is_drain_requested() {
                            return;
                        }
                    }
                }
            }
        });
    }
}

fn run(settings: DaemonSettings, mut signals: SignalLoop) -> Result<()> {
    init_logging(&settings.log_level).wrap_err("failed to initialise logging")?;
    let listeners = DaemonListeners::bind(&settings.listen)?;
    let daemon = Daemon::start(settings, listeners)?;
    signals.wait_for_shutdown_request(&daemon);
    // A second signal during the drain ends the running requests; each caller receives its true
    // outcome.
    let force_drain = daemon.forced_drain_handle();
    let signal_thread = std::thread::Builder::new().name("signals".into()).spawn(move || {
        let SignalLoop { runtime, mut stop, .. } = signals;
        runtime.block_on(stop.wait());
        force_drain.force();
    });
    signal_thread.wrap_err("failed to start the thread for signals")?;
    daemon.drain();
    Ok(())
}

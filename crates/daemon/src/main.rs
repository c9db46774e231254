//! Runs `oriolepassd`: loads the settings, runs the daemon and shuts it down gracefully on request.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use eyre::{Result, WrapErr};
use oriolepass_daemon::{Daemon, DaemonListeners, init_logging};
use oriolepass_settings::{DaemonSettings, GatewaySettings, SettingsError, reference_page};
use tokio::signal::unix::{SignalKind, signal};

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
    let (config, check) = match command_line().run() {
        DaemonTask::PrintSettings => {
            print!("{}", reference_page());
            return ExitCode::SUCCESS;
        }
        DaemonTask::Gateway { config, check } => return run_gateway(&config, check),
        DaemonTask::Run { config, check } => (config, check),
    };
    let settings = match settings_to_run(DaemonSettings::load(&config), &config, check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oriolepassd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the settings if they are valid and the daemon is to run with them.
///
/// # Errors
///
/// Returns the exit code when the settings are invalid or were only to be checked, after printing
/// the result of the check.
fn settings_to_run<T>(
    loaded: std::result::Result<T, SettingsError>,
    file: &Path,
    check: bool,
) -> std::result::Result<T, ExitCode> {
    match loaded {
        Ok(_) if check => {
            println!("{}: the settings are valid", file.display());
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(error) => {
            eprintln!("{error}");
            Err(ExitCode::from(EXIT_SETTINGS))
        }
    }
}

fn run_gateway(config: &Path, check: bool) -> ExitCode {
    let settings = match settings_to_run(GatewaySettings::load(config), config, check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match oriolepass_platform::run(settings, config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oriolepassd gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: DaemonSettings) -> Result<()> {
    init_logging(&settings.log_level).wrap_err("failed to initialise logging")?;
    let listeners = DaemonListeners::bind(&settings.listen)?;
    let daemon = Daemon::start(settings, listeners)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("failed to create the runtime for signals")?;
    runtime.block_on(wait_for_shutdown_request(&daemon))?;
    // A second signal during the drain ends the running requests; each caller receives its true
    // outcome.
    let force_drain = daemon.forced_drain_handle();
    let signal_thread = std::thread::Builder::new().name("signals".into()).spawn(move || {
        let second_signal = runtime.block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
            Ok::<_, std::io::Error>(())
        });
        if second_signal.is_ok() {
            force_drain.force();
        }
    });
    signal_thread.wrap_err("failed to start the thread for signals")?;
    daemon.drain();
    Ok(())
}

/// Waits for SIGTERM, SIGINT or an operator's drain request.
async fn wait_for_shutdown_request(daemon: &Daemon) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT")?;
    let mut poll = tokio::time::interval(DRAIN_POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = poll.tick() => {
                if daemon.is_drain_requested() {
                    return Ok(());
                }
            }
        }
    }
}

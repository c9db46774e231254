//! `oriolepassd`: reads its settings, runs the daemon, leaves gracefully when asked to.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use eyre::{Result, WrapErr};
use oriolepass_daemon::{Daemon, DaemonListeners, init_logging};
use oriolepass_settings::{DaemonSettings, GatewaySettings, SettingsError, reference_page};
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for settings that were refused.
const EXIT_SETTINGS: u8 = 2;

/// Between two looks at whether an operator wants this daemon to leave.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// What the command line asks for.
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
    let settings = match checked(DaemonSettings::load(&config), &config, check) {
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

/// Hands on settings that are good and are to be run; else prints why not.
fn checked<T>(
    loaded: std::result::Result<T, SettingsError>,
    file: &Path,
    check: bool,
) -> std::result::Result<T, ExitCode> {
    match loaded {
        Ok(_) if check => {
            println!("{}: the settings are good", file.display());
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
    let settings = match checked(GatewaySettings::load(config), config, check) {
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
    init_logging(&settings.log_level).wrap_err("the log cannot be set up")?;
    let listeners = DaemonListeners::bind(&settings.listen)?;
    let daemon = Daemon::start(settings, listeners)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime for signals cannot be made")?;
    runtime.block_on(wait_for_end(&daemon))?;
    // A second signal while draining ends what still runs, with the truth to each caller.
    let hurry = daemon.drain_hurry();
    let ender = std::thread::Builder::new().name("signals".into()).spawn(move || {
        let second = runtime.block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
            Ok::<_, std::io::Error>(())
        });
        if second.is_ok() {
            hurry.now();
        }
    });
    ender.wrap_err("the thread for signals cannot be started")?;
    daemon.drain();
    Ok(())
}

/// Waits for a signal to end, or for an operator to ask for it.
async fn wait_for_end(daemon: &Daemon) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT")?;
    let mut look = tokio::time::interval(LOOK_EVERY);
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = look.tick() => {
                if daemon.is_asked_to_drain() {
                    return Ok(());
                }
            }
        }
    }
}

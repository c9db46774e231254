//! Parses the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use oriolepass_quarantine::RequestDigest;
use oriolepass_schema::operator::ObjectKind;
use oriolepass_units::{DataCentreId, InstanceId, ObjectRevision};

/// Options common to all commands.
#[derive(Debug, Clone)]
pub(crate) struct CommonOptions {
    /// Daemon addresses, tried in order.
    pub(crate) daemons: Vec<SocketAddr>,
    /// File with the operator's key.
    pub(crate) key_file: Option<PathBuf>,
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
}

/// A command with its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Command {
    Apply { file: PathBuf, dry_run: bool, wait: bool },
    Get { kind: ObjectKind, name: String },
    List { kind: Option<ObjectKind> },
    Delete { kind: ObjectKind, name: String },
    History { kind: ObjectKind, name: String },
    Audit { after: u64 },
    Status,
    Top,
    Wait { revision: Option<ObjectRevision>, timeout: Duration },
    Drain { instance: InstanceId },
    Voters { wanted: Vec<InstanceId> },
    HashKey,
    Explain { request: String, logs: Vec<PathBuf> },
    Timeline { logs: Vec<PathBuf> },
    Losses { logs: Vec<PathBuf> },
    Quarantine { release: Option<RequestDigest> },
    DataCentres { action: Option<DrainAction> },
}

/// A change to the set of drained data centres.
#[derive(Debug, Clone)]
pub(crate) enum DrainAction {
    Drain(DataCentreId),
    Restore(DataCentreId),
}

/// Parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Arguments {
    pub(crate) common: CommonOptions,
    pub(crate) command: Command,
}

/// Parses the command line. Exits the process after a request for help or the version and after a
/// usage error.
pub(crate) fn parse() -> Arguments {
    options().run()
}

fn options() -> OptionParser<Arguments> {
    let common = common();
    let command = command();
    construct!(Arguments { common, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates oriolepass through the HTTP API of its daemons")
        .footer(
            "Examples:\n  oriolepass --daemon 10.0.0.1:7001 --key-file key status\n  \
             oriolepass apply accounts.json --dry-run\n  oriolepass apply accounts.json --wait\n\n\
             The key comes from --key-file or from OPKEY in the environment, never from the \
             arguments, which others on the machine can read. --daemon may be given several \
             times, or as OPDAEMON in the environment.\n\nExit codes: 0 success, 1 refused, 2 \
             usage error, 3 no answer or outcome unknown, 4 revision not yet in force.\n\nShell \
             completion: oriolepass --bpaf-complete-style-bash (or -zsh, -fish).",
        )
}

fn common() -> impl Parser<CommonOptions> {
    let daemons = long("daemon")
        .env("OPDAEMON")
        .help("Address of a daemon for operators; may be given several times")
        .argument::<SocketAddr>("IP:PORT")
        .many();
    let key_file = long("key-file")
        .help("File with the operator's key")
        .argument::<PathBuf>("FILE")
        .optional();
    let json = long("json").help("Print JSON instead of text").switch();
    construct!(CommonOptions { daemons, key_file, json })
}

fn kind() -> impl Parser<ObjectKind> {
    positional::<ObjectKind>("KIND").help("team, account, model or pool")
}

fn log_files() -> impl Parser<Vec<PathBuf>> {
    positional::<PathBuf>("LOG")
        .help("Log files of one or more gateways")
        .some("name at least one log file")
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("Name of the object")
}

fn command() -> impl Parser<Command> {
    let explain = {
        let request = positional::<String>("REQUEST-ID").help("Id of the request");
        let logs = log_files();
        construct!(Command::Explain { request, logs })
            .to_options()
            .descr("Show the events of a request from the logs of gateways")
            .command("explain")
    };
    let timeline = {
        let logs = log_files();
        construct!(Command::Timeline { logs })
            .to_options()
            .descr("Show the state changes of gateways over time, from their logs")
            .command("timeline")
    };
    let losses = {
        let logs = log_files();
        construct!(Command::Losses { logs })
            .to_options()
            .descr(
                "Show which requests were late, refused or cut, and why, from the logs of gateways",
            )
            .command("losses")
    };
    let quarantine = {
        let release = long("release")
            .help("Allow this request to be sent again; the list and the log lines show its digest")
            .argument::<RequestDigest>("DIGEST")
            .optional();
        construct!(Command::Quarantine { release })
            .to_options()
            .descr("List requests suspected of ending their endpoints; --daemon names a gateway's metrics address")
            .command("quarantine")
    };
    let data_centres = {
        let drain = long("drain")
            .help("Stop sending requests to the endpoints of this data centre")
            .argument::<DataCentreId>("DATA-CENTRE")
            .map(DrainAction::Drain);
        let restore = long("restore")
            .help("Send requests to the endpoints of this data centre again")
            .argument::<DataCentreId>("DATA-CENTRE")
            .map(DrainAction::Restore);
        let action = construct!([drain, restore]).optional();
        construct!(Command::DataCentres { action })
            .to_options()
            .descr("List drained data centres, or drain or restore one; --daemon names a gateway's metrics address")
            .command("data-centres")
    };
    let apply = {
        let dry_run = long("dry-run").help("Show the differences without applying them").switch();
        let wait = long("wait").help("Wait until the changes are in force everywhere").switch();
        let file = positional::<PathBuf>("FILE").help("File with objects as JSON");
        construct!(Command::Apply { dry_run, wait, file })
            .to_options()
            .descr("Create or update the objects that a file defines")
            .command("apply")
    };
    let get = construct!(Command::Get { kind(), name() })
        .to_options()
        .descr("Show one object")
        .command("get");
    let list = {
        let kind = kind().optional();
        construct!(Command::List { kind })
            .to_options()
            .descr("List objects, of one kind or all")
            .command("list")
    };
    let delete = construct!(Command::Delete { kind(), name() })
        .to_options()
        .descr("Remove an object")
        .command("delete");
    let history = construct!(Command::History { kind(), name() })
        .to_options()
        .descr("Show the changes of one object")
        .command("history");
    let audit = {
        let after = long("after")
            .help("List only records after this sequence number")
            .argument::<u64>("SEQUENCE")
            .fallback(0);
        construct!(Command::Audit { after })
            .to_options()
            .descr("List the audit trail and verify its chain")
            .command("audit")
    };
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Show the leader, revisions, endpoints and memory")
        .command("status");
    let top = bpaf::pure(Command::Top)
        .to_options()
        .descr("Show the status, refreshed every second")
        .command("top");
    let wait = {
        let timeout = long("patience")
            .help("Maximum time to wait, in seconds")
            .argument::<u64>("SECONDS")
            .fallback(10)
            .map(Duration::from_secs);
        let revision = positional::<ObjectRevision>("REVISION").optional();
        construct!(Command::Wait { timeout, revision })
            .to_options()
            .descr("Wait until a revision is in force everywhere")
            .command("wait")
    };
    let drain = {
        let instance = positional::<InstanceId>("INSTANCE");
        construct!(Command::Drain { instance })
            .to_options()
            .descr("Drain a daemon so that it leaves gracefully")
            .command("drain")
    };
    let voters = {
        let wanted = positional::<InstanceId>("INSTANCE").some("name 1, 3 or 5 instances");
        construct!(Command::Voters { wanted })
            .to_options()
            .descr("Set the instances that hold the replicated log")
            .command("voters")
    };
    let hash_key = bpaf::pure(Command::HashKey)
        .to_options()
        .descr("Print the hash of the key, for use in objects")
        .command("hash-key");
    construct!([
        explain,
        timeline,
        losses,
        quarantine,
        data_centres,
        apply,
        get,
        list,
        delete,
        history,
        audit,
        status,
        top,
        wait,
        drain,
        voters,
        hash_key
    ])
}

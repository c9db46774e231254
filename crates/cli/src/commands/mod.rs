//! Runs the commands. Queries and changes are in separate modules.

mod apply;
mod data_centres;
mod explain;
mod log_lines;
mod losses;
mod quarantine;
mod queries;
mod status;

use eyre::{Result, WrapErr, bail};
use oriolepass_schema::operator::{DrainCall, KeyHash, VotersCall};

use crate::arguments::{Arguments, Command, CommonOptions};
use crate::client::OperatorClient;

/// Environment variable that holds the operator's key.
const KEY_VARIABLE: &str = "OPKEY";

/// Runs a command.
pub(crate) async fn run(arguments: Arguments) -> Result<()> {
    let Arguments { common, command } = arguments;
    match &command {
        Command::Explain { request, logs } => return explain::explain(request, logs, common.json),
        Command::Timeline { logs } => return explain::timeline(logs, common.json),
        Command::Losses { logs } => return losses::losses(logs, common.json),
        Command::Quarantine { release } => {
            let client = OperatorClient::new(common.daemons, String::new());
            return quarantine::quarantine(&client, *release, common.json).await;
        }
        Command::DataCentres { action } => {
            let client = OperatorClient::new(common.daemons, String::new());
            return data_centres::data_centres(&client, action.as_ref(), common.json).await;
        }
        _ => {}
    }
    let key = read_key(&common)?;
    if matches!(command, Command::HashKey) {
        println!("{}", KeyHash::of(&key).0);
        return Ok(());
    }
    if common.daemons.is_empty() {
        bail!("no daemon address given; use --daemon IP:PORT or OPDAEMON");
    }
    let client = OperatorClient::new(common.daemons, key);
    let json = common.json;
    match command {
        Command::Apply { file, dry_run, wait } => {
            apply::apply(&client, &file, dry_run, wait, json).await
        }
        Command::Delete { kind, name } => apply::delete(&client, kind, &name, json).await,
        Command::Get { kind, name } => queries::get(&client, kind, &name).await,
        Command::List { kind } => queries::list(&client, kind, json).await,
        Command::History { kind, name } => queries::history(&client, kind, &name, json).await,
        Command::Audit { after } => queries::audit(&client, after, json).await,
        Command::Wait { revision, timeout } => queries::wait(&client, revision, timeout).await,
        Command::Status => status::status(&client, json).await,
        Command::Top => status::top(&client).await,
        Command::Drain { instance } => {
            let call: DrainCall = client.post("/v1/drain", &DrainCall { instance }).await?;
            println!("{} is draining", call.instance);
            Ok(())
        }
        Command::Voters { wanted } => {
            let call: VotersCall = client.post("/v1/voters", &VotersCall { wanted }).await?;
            println!("change to {} voters requested; see `oriolepass status`", call.wanted.len());
            Ok(())
        }
        Command::HashKey
        | Command::Explain { .. }
        | Command::Timeline { .. }
        | Command::Losses { .. }
        | Command::Quarantine { .. }
        | Command::DataCentres { .. } => Ok(()),
    }
}

fn read_key(common: &CommonOptions) -> Result<String> {
    let key = match &common.key_file {
        Some(file) => std::fs::read_to_string(file)
            .wrap_err_with(|| format!("the key file {} cannot be read", file.display()))?,
        None => std::env::var(KEY_VARIABLE).wrap_err_with(|| {
            format!("no operator key given; use --key-file FILE or set {KEY_VARIABLE}")
        })?,
    };
    Ok(key.trim().to_owned())
}

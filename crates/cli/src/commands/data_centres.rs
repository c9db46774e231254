//! Lists, drains and restores data centres through a gateway.

use bytes::Bytes;
use eyre::Result;
use serde::{Deserialize, Serialize};

use crate::arguments::DrainAction;
use crate::client::OperatorClient;

/// Answer of a gateway to calls about drained data centres.
#[derive(Debug, Deserialize, Serialize)]
struct DrainedList {
    drained: Vec<String>,
}

/// Drains or restores a data centre if `action` is given, and prints the drained data centres.
pub(super) async fn data_centres(
    client: &OperatorClient,
    action: Option<&DrainAction>,
    json: bool,
) -> Result<()> {
    let path = "/data-centres/drained";
    let list: DrainedList = match action {
        Some(DrainAction::Drain(data_centre)) => {
            client.call("POST", &format!("{path}/{data_centre}"), Bytes::new()).await?
        }
        Some(DrainAction::Restore(data_centre)) => {
            client.call("DELETE", &format!("{path}/{data_centre}"), Bytes::new()).await?
        }
        None => client.get(path).await?,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&list)?);
        return Ok(());
    }
    list.drained.iter().for_each(|data_centre| println!("{data_centre}"));
    Ok(())
}

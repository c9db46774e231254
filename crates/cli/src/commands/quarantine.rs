//! Lists and releases the requests and the parts of prompts that a gateway suspects of ending their
//! endpoints.

use bytes::Bytes;
use eyre::{Result, bail};
use oriolepass_quarantine::RequestDigest;
use serde::{Deserialize, Serialize};

use crate::client::OperatorClient;

/// Answer of a gateway with the recorded requests and parts.
#[derive(Debug, Deserialize, Serialize)]
struct QuarantineList {
    requests: Vec<ListedCase>,
    /// Empty in the answers of earlier versions.
    #[serde(default)]
    parts: Vec<ListedCase>,
}

/// A request or a part of prompts with recorded ends of endpoints.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct ListedCase {
    digest: String,
    standing: String,
    trial_in_s: Option<u64>,
    endpoints: Vec<String>,
    last_end_age_s: u64,
}

/// Answer of a gateway to a release.
#[derive(Debug, Deserialize)]
struct ReleaseAnswer {
    released: bool,
}

/// Prints the recorded requests and parts, or releases the one with the given digest.
pub(super) async fn quarantine(
    client: &OperatorClient,
    release: Option<RequestDigest>,
    json: bool,
) -> Result<()> {
    if let Some(digest) = release {
        let body = Bytes::from(digest.to_string());
        let answer: ReleaseAnswer = client.call("POST", "/quarantine/release", body).await?;
        if !answer.released {
            bail!(
                "no ends of endpoints are recorded for {digest}; `oriolepass quarantine` lists the \
                 recorded digests"
            );
        }
        println!("{digest} is released on all reachable gateways");
        return Ok(());
    }
    let list: QuarantineList = client.get("/quarantine").await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&list)?);
        return Ok(());
    }
    let requests = list.requests.iter().map(|case| ("request", case));
    let parts = list.parts.iter().map(|case| ("part   ", case));
    for (kind, case) in requests.chain(parts) {
        let trial = case.trial_in_s.map_or("-".to_owned(), |seconds| format!("{seconds} s"));
        println!(
            "{kind}  {}  {:<11}  {} ends, the last {} s ago  trial in {trial}  {}",
            case.digest,
            case.standing,
            case.endpoints.len(),
            case.last_end_age_s,
            case.endpoints.join(",")
        );
    }
    Ok(())
}

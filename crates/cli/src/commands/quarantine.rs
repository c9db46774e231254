//! Lists and releases the requests that a gateway suspects of ending their endpoints.

use bytes::Bytes;
use eyre::{Result, bail};
use oriolepass_quarantine::RequestDigest;
use serde::{Deserialize, Serialize};

use crate::client::OperatorClient;

/// Answer of a gateway with the recorded requests.
#[derive(Debug, Deserialize, Serialize)]
struct QuarantineList {
    requests: Vec<ListedRequest>,
}

/// A request with at least one recorded end of an endpoint.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct ListedRequest {
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

/// Prints the recorded requests, or releases the request with the given digest.
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
                "no ends of endpoints are recorded for request {digest}; `oriolepass quarantine` \
                 lists the recorded digests"
            );
        }
        println!("request {digest} is released on all reachable gateways");
        return Ok(());
    }
    let list: QuarantineList = client.get("/quarantine").await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&list)?);
        return Ok(());
    }
    for request in &list.requests {
        let trial = request.trial_in_s.map_or("-".to_owned(), |seconds| format!("{seconds} s"));
        println!(
            "{}  {:<11}  {} ends, the last {} s ago  trial in {trial}  {}",
            request.digest,
            request.standing,
            request.endpoints.len(),
            request.last_end_age_s,
            request.endpoints.join(",")
        );
    }
    Ok(())
}

//! Client for the operators' HTTP API.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail, eyre};
use oriolepass_schema::operator::{
    ChangeAction, ChangeAnswer, ChangeCall, InForceAnswer, ObjectSpec, StatusAnswer,
};
use oriolepass_standin::{HttpAnswer, call_json};
use oriolepass_units::ObjectRevision;
use serde_json::Value;

/// HTTP client that authenticates with an operator's key.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    key: String,
}

impl OperatorClient {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: &str) -> Self {
        Self { key: key.to_owned() }
    }

    /// Sends a request and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error when no response arrives.
    pub async fn call(
        &self,
        daemon: SocketAddr,
        method: &str,
        path: &str,
        body: String,
    ) -> Result<HttpAnswer> {
        call_json(daemon, method, path, Some(&self.key), body).await.map_err(|e| eyre!(e))
    }

    /// Writes an object. Resends the change until a daemon accepts or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or an error when the change is not accepted within ten seconds.
    pub async fn put(
        &self,
        daemon: SocketAddr,
        change_id: &str,
        name: &str,
        expected: u64,
        spec: ObjectSpec,
    ) -> Result<ChangeAnswer> {
        let call = ChangeCall {
            change_id: change_id.parse()?,
            name: name.to_owned(),
            expected_revision: ObjectRevision(expected),
            action: ChangeAction::Put(spec),
            reason: String::new(),
        };
        let body = serde_json::to_string(&call)?;
        let mut last_response = String::new();
        for _ in 0..200 {
            match self.call(daemon, "POST", "/v1/changes", body.clone()).await {
                Ok(answer) if answer.status == 200 => {
                    return Ok(serde_json::from_str(&answer.body)?);
                }
                Ok(answer) if matches!(answer.status, 400 | 403 | 409) => bail!(answer.body),
                Ok(answer) => last_response = answer.body,
                Err(error) => last_response = error.to_string(),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        bail!("change {change_id} was neither accepted nor refused; last response: {last_response}")
    }

    /// Waits until a revision is in force on every daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when the revision is not in force within ten seconds.
    pub async fn wait_in_force(&self, daemon: SocketAddr, revision: ObjectRevision) -> Result<()> {
        let path = format!("/v1/in-force?revision={revision}");
        let mut last_response = String::new();
        for _ in 0..500 {
            let answer = self.call(daemon, "GET", &path, String::new()).await;
            if let Ok(answer) = answer {
                let in_force = serde_json::from_str::<InForceAnswer>(&answer.body);
                if in_force.is_ok_and(|in_force| in_force.everywhere) {
                    return Ok(());
                }
                last_response = answer.body;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!("revision {revision} is not in force everywhere; last response: {last_response}")
    }

    /// Returns the status of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when no response arrives or the response is not a status.
    pub async fn status(&self, daemon: SocketAddr) -> Result<StatusAnswer> {
        let answer = self.call(daemon, "GET", "/v1/status", String::new()).await?;
        Ok(serde_json::from_str(&answer.body)?)
    }

    /// Sends a `GET` request and returns the response body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when no response arrives or its body is not JSON.
    pub async fn get(&self, daemon: SocketAddr, path: &str) -> Result<Value> {
        let answer = self.call(daemon, "GET", path, String::new()).await?;
        Ok(serde_json::from_str(&answer.body)?)
    }
}

//! HTTP client for the operator API, with retries across the daemons.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use oriolepass_schema::error::{ApiError, ErrorBody, RanState};
use oriolepass_units::InstanceId;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of a call to one daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a call is no longer retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before the daemons are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reason why a call failed.
#[derive(Debug)]
pub(crate) enum ClientError {
    /// The system refused the call.
    Refused(ApiError),
    /// No daemon gave a definite answer.
    Unreachable {
        /// Last error that occurred.
        last: String,
    },
    /// The revision was not in force everywhere before the timeout.
    NotInForce {
        /// Daemons that have not applied the revision yet.
        lagging: Vec<InstanceId>,
    },
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(error) => write!(f, "{} ({})", error.message, error.code),
            Self::Unreachable { last } => write!(
                f,
                "no daemon gave a definite answer (last error: {last}); check --daemon, or retry: a \
                 change is not applied twice"
            ),
            Self::NotInForce { lagging } => {
                let names: Vec<String> = lagging.iter().map(ToString::to_string).collect();
                write!(f, "not in force yet on {}; see `oriolepass status`", names.join(", "))
            }
        }
    }
}

impl std::error::Error for ClientError {}

/// Sends calls that are authorised with an operator's key.
pub(crate) struct OperatorClient {
    http: Client<HttpConnector, Full<Bytes>>,
    daemons: Vec<SocketAddr>,
    key: String,
}

impl OperatorClient {
    pub(crate) fn new(daemons: Vec<SocketAddr>, key: String) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { http, daemons, key }
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call("GET", path, Bytes::new()).await
    }

    pub(crate) async fn post<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(body).expect("serialising a call cannot fail");
        self.call("POST", path, body.into()).await
    }

    /// Fetches a page that is not JSON.
    pub(crate) async fn text(&self, path: &str) -> Result<String, ClientError> {
        let (_, body) = self
            .send_round("GET", path, &Bytes::new())
            .await
            .map_err(|last| ClientError::Unreachable { last })?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Tries the daemons in order, repeatedly, until one gives a definite answer or
    /// `RETRY_TIMEOUT` has elapsed.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        loop {
            let last = match self.send_round(method, path, &body).await {
                Ok((200, body)) => match serde_json::from_slice(&body) {
                    Ok(answer) => return Ok(answer),
                    Err(error) => format!("the answer cannot be decoded: {error}"),
                },
                Ok((status, body)) => match serde_json::from_slice::<ErrorBody>(&body) {
                    // A call is retried only if the error allows it. If the outcome is unknown,
                    // a retry with the same change id determines it.
                    Ok(body) if !is_retryable(&body.error) => {
                        return Err(ClientError::Refused(body.error));
                    }
                    Ok(body) => body.error.message,
                    Err(_) => format!("status {status}"),
                },
                Err(last) => last,
            };
            if Instant::now() >= deadline {
                return Err(ClientError::Unreachable { last });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn send_round(
        &self,
        method: &str,
        path: &str,
        body: &Bytes,
    ) -> Result<(u16, Bytes), String> {
        let mut last = "no daemon address given; use --daemon".to_owned();
        for daemon in &self.daemons {
            match self.send(*daemon, method, path, body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => last = format!("{daemon}: {error}"),
            }
        }
        Err(last)
    }

    async fn send(
        &self,
        daemon: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{daemon}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let answer = async {
            let response = self.http.request(request).await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(CALL_TIMEOUT, answer)
            .await
            .unwrap_or_else(|_| Err("timed out waiting for an answer".to_owned()))
    }
}

fn is_retryable(error: &ApiError) -> bool {
    error.retry_after_ms.is_some() || error.ran == RanState::Unknown
}

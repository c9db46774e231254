//! Reads request bodies within limits on size, time and memory.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::state::{FromState, State};
use http_body_util::BodyExt;
use oriolepass_schema::error::{ApiError, ErrorCode};
use serde::de::DeserializeOwned;
use std::time::Duration;

use crate::shared::DaemonShared;

/// Maximum size of the body of an operators' or endpoints' call.
const MAX_CONTROL_BODY_BYTES: u64 = 4 << 20;

/// Maximum number of bytes of a refused body that are read and discarded.
const MAX_DISCARDED_BYTES: u64 = 64 << 20;

/// Timeout for discarding a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// A body in memory. Its bytes count towards `max_buffered_bytes` until it is dropped.
pub(super) struct BufferedBody {
    pub(super) bytes: Bytes,
    shared: Arc<DaemonShared>,
    counted: u64,
}

impl BufferedBody {
    fn grow(&mut self, bytes: u64) -> Result<(), ApiError> {
        let limit = self.shared.settings.limits.max_buffered_bytes;
        let before = self.shared.buffered.fetch_add(bytes, Ordering::SeqCst);
        self.counted += bytes;
        self.update_gauge();
        if before + bytes > limit {
            let detail = "the daemon holds as many request bodies as it may";
            let error = ApiError::not_run(ErrorCode::Overloaded, detail);
            return Err(error.retry_after(Duration::from_secs(1)));
        }
        Ok(())
    }

    fn update_gauge(&self) {
        let total = self.shared.buffered.load(Ordering::SeqCst);
        self.shared.metrics.buffered_bytes.set(i64::try_from(total).unwrap_or(i64::MAX));
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.shared.buffered.fetch_sub(self.counted, Ordering::SeqCst);
        self.update_gauge();
    }
}

fn too_large(limit: u64) -> ApiError {
    ApiError::not_run(ErrorCode::TooLarge, format!("the body has more than {limit} bytes"))
}

/// Reads the body of a caller's call.
///
/// # Errors
///
/// Returns an error when the body exceeds a limit on size, memory or time, or breaks off.
pub(super) async fn read_caller_body(
    shared: &Arc<DaemonShared>,
    state: &mut State,
) -> Result<BufferedBody, ApiError> {
    let limits = &shared.settings.limits;
    let mut buffered = BufferedBody { bytes: Bytes::new(), shared: Arc::clone(shared), counted: 0 };
    let content_length = content_length(state);
    if content_length.is_some_and(|length| length > limits.max_body_bytes) {
        return Err(too_large(limits.max_body_bytes));
    }
    let body = state.borrow_mut::<Body>();
    let read = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| {
                ApiError::not_run(ErrorCode::Malformed, "the body broke off before its end")
            })?;
            let Ok(data) = frame.into_data() else { continue };
            if (bytes.len() + data.len()) as u64 > limits.max_body_bytes {
                return Err(too_large(limits.max_body_bytes));
            }
            buffered.grow(data.len() as u64)?;
            bytes.extend_from_slice(&data);
        }
        buffered.bytes = bytes.freeze();
        Ok(())
    };
    match tokio::time::timeout(limits.body_timeout, read).await {
        Ok(result) => result.map(|()| buffered),
        Err(_) => {
            let detail = format!("the body took more than {} ms", limits.body_timeout.as_millis());
            Err(ApiError::not_run(ErrorCode::SlowRequest, detail))
        }
    }
}

fn content_length(state: &State) -> Option<u64> {
    let header = state.borrow::<HeaderMap>().get("content-length")?;
    header.to_str().ok()?.parse().ok()
}

/// Reads and discards the rest of a refused body.
///
/// Otherwise a client that is still sending finds the connection closed and never receives the
/// error.
pub(super) async fn discard(state: &mut State) {
    let Some(mut body) = state.try_take::<Body>() else { return };
    let mut left = MAX_DISCARDED_BYTES;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(length as u64);
            if left == 0 {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Parses JSON. The error gives the position of the fault.
pub(super) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(bytes).map_err(|error| {
        ApiError::not_run(ErrorCode::Malformed, format!("the body is not as expected: {error}"))
    })
}

/// Reads and parses the body of an operators' or endpoints' call.
pub(super) async fn read_control_json<T: DeserializeOwned>(
    shared: &DaemonShared,
    state: &mut State,
) -> Result<T, ApiError> {
    let body = http_body_util::Limited::new(
        Body::take_from(state),
        usize::try_from(MAX_CONTROL_BODY_BYTES).unwrap_or(usize::MAX),
    );
    let timeout = shared.settings.limits.body_timeout;
    let collected = tokio::time::timeout(timeout, body.collect()).await.map_err(|_| {
        ApiError::not_run(ErrorCode::SlowRequest, "the body did not arrive in time")
    })?;
    let bytes = collected.map_err(|_| too_large(MAX_CONTROL_BODY_BYTES))?.to_bytes();
    parse(&bytes)
}

//! Reading of request bodies with a size limit.

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use egretseam_proto::{FailureReport, RefusalReason};
use futures::StreamExt;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Timeout for discarding the rest of a body that exceeds the limit; a few MiB arrive within it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// Rejects a larger body, and one that the caller did not send completely.
pub async fn read_body(payload: &mut Payload, limit: usize) -> Result<Bytes, FailureReport> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            let detail = format!("the body broke off: {error}");
            FailureReport::not_run(RefusalReason::BadRequest, detail)
        })?;
        if body.len() + chunk.len() > limit {
            let detail = format!("the limit is {limit} bytes");
            discard_rest(payload, limit).await;
            return Err(FailureReport::not_run(RefusalReason::BodyTooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Reads and discards the rest of a body, until `max_bytes` are exceeded or [`DISCARD_TIMEOUT`] has
/// passed.
///
/// Without this, the connection is closed together with the error response, and a caller that is
/// still sending gets a reset before it has read the response: it sees a broken pipe instead of the
/// reason.
async fn discard_rest(payload: &mut Payload, max_bytes: usize) {
    let rest = async {
        let mut read = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            read += chunk.len();
            if read > max_bytes {
                return;
            }
        }
    };
    tokio::time::timeout(DISCARD_TIMEOUT, rest).await.ok();
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
/// Fails like [`read_body`], and on JSON that is malformed or does not match `T`.
pub async fn read_json<T: DeserializeOwned>(
    payload: &mut Payload,
    limit: usize,
) -> Result<T, FailureReport> {
    let body = read_body(payload, limit).await?;
    serde_json::from_slice(&body).map_err(|error| {
        FailureReport::not_run(
            RefusalReason::BadRequest,
            format!("not the JSON asked for: {error}"),
        )
    })
}

//! Reading request bodies up to a limit.

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use egretseam_proto::{FailureReport, RefusalReason};
use futures::StreamExt;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Time for reading off what a caller sends beyond the limit; a few MiB arrive within it.
const READ_OFF_LIMIT: Duration = Duration::from_secs(2);

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// Refuses a larger body, and one that the caller broke off.
pub async fn read_body(payload: &mut Payload, limit: usize) -> Result<Bytes, FailureReport> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            let detail = format!("the body broke off: {error}");
            FailureReport::not_run(RefusalReason::BadRequest, detail)
        })?;
        if body.len() + chunk.len() > limit {
            let detail = format!("the limit is {limit} bytes");
            read_off(payload, limit).await;
            return Err(FailureReport::not_run(RefusalReason::BodyTooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Reads the rest of a body off, up to `most` bytes and some time.
///
/// Failure guarded: the connection is closed with the refusal, and a caller that is still sending is
/// reset before it has read why. It shows as a broken pipe instead of the answer.
async fn read_off(payload: &mut Payload, most: usize) {
    let rest = async {
        let mut read = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            read += chunk.len();
            if read > most {
                return;
            }
        }
    };
    tokio::time::timeout(READ_OFF_LIMIT, rest).await.ok();
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
/// As [`read_body`], and on JSON that is malformed or does not fit.
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

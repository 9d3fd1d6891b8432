//! Reading request bodies up to a limit.

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use egretseam_proto::{FailureReport, RefusalReason};
use futures::StreamExt;
use serde::de::DeserializeOwned;

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
            return Err(FailureReport::not_run(RefusalReason::BodyTooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
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

//! Serves the HTTP requests of targets and operators.

use crate::{
    dialect::{ControlRequest, ControlResponse, RequestError},
    evacuations,
    shared::RegistrarShared,
};
use bytes::Bytes;
use egretseam_catalog::{CatalogCommand, CatalogReply, ServingChange};
use egretseam_h1::{
    BodyReader, ConnectionOptions, HeadWriter, HttpConnection, ReadError, RequestHead,
};
use egretseam_rpc::SubmitError;
use egretseam_serving::{
    AnnounceOutcome, Incarnation, RawServing, ServingConfig, TargetId, TargetRecord, TargetState,
};
use std::{io, rc::Rc, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest body: a configuration of thousands of routes has a few MiB.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a peer may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a change may wait for its quorum: slightly less than the second after which operators
/// fail over to another member.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// Serves a connection until it is closed.
pub(crate) async fn serve(shared: Rc<RegistrarShared>, stream: TcpStream) {
    let Ok(mut connection) = HttpConnection::new(stream, &ConnectionOptions::default()) else {
        return;
    };
    while connection.wait_for_message_until(tokio::time::sleep(IDLE_TIMEOUT)).await {
        let read = connection.read_request(MAX_HEAD_BYTES);
        let Ok(Ok(Some(head))) = tokio::time::timeout(HEAD_TIMEOUT, read).await else { return };
        let reader = BodyReader::new(head.framing);
        let read = connection.read_body(reader, MAX_BODY_BYTES);
        let body = match tokio::time::timeout(BODY_TIMEOUT, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(ReadError::BodyTooLarge)) => {
                tracing::info!(
                    path = head.path(),
                    limit = MAX_BODY_BYTES,
                    "rejected a request: the body is too large"
                );
                shared.metrics.refused_malformed.inc();
                if write_response(&shared, &mut connection, &ControlResponse::TooLarge)
                    .await
                    .is_ok()
                {
                    connection.close().await;
                }
                return;
            }
            Ok(Err(_)) | Err(_) => return,
        };
        let response = respond(&shared, &head, body).await;
        if write_response(&shared, &mut connection, &response).await.is_err() || !head.keeps_alive()
        {
            return;
        }
    }
}

async fn write_response(
    shared: &RegistrarShared,
    connection: &mut HttpConnection,
    response: &ControlResponse,
) -> io::Result<()> {
    let (status, phrase, body) = shared.dialect.encode_response(response);
    let mut writer = HeadWriter::response(status, phrase.as_bytes());
    writer.text("Content-Type", "application/json");
    if *response == ControlResponse::TooLarge {
        writer.text("Connection", "close");
    }
    connection.write(&writer.finish_with(&body)).await
}

async fn respond(shared: &Rc<RegistrarShared>, head: &RequestHead, body: Bytes) -> ControlResponse {
    let request = match shared.dialect.parse_request(head, &body) {
        Ok(request) => request,
        Err(RequestError::Unknown) => return ControlResponse::Unknown,
        Err(error @ RequestError::Malformed(_)) => {
            tracing::info!(path = head.path(), fault = %error, "rejected a malformed request");
            shared.metrics.refused_malformed.inc();
            return ControlResponse::Invalid(error.to_string());
        }
    };
    match request {
        ControlRequest::Announce(record) => announce(shared, record),
        ControlRequest::Leave { name, incarnation } => leave(shared, name, incarnation),
        ControlRequest::ReplaceConfig(raw) => replace_config(shared, *raw, &body).await,
        ControlRequest::ReadConfig => read_config(shared).await,
        ControlRequest::PublishVersion { model, version } => {
            tracing::info!(%model, version, "publishing a version");
            submit(shared, CatalogCommand::NameVersion { model, version }).await
        }
        ControlRequest::BeginEvacuation(zone) => evacuations::set(shared, zone, true).await,
        ControlRequest::FinishEvacuation(zone) => evacuations::set(shared, zone, false).await,
    }
}

/// Rejects announcements while no entry reads this member's feed, so that they are retried at
/// another member. Without this, a member partitioned from the entries would acknowledge that a
/// target is draining, nobody else would learn of it, and entries would send requests to a target
/// that has left.
fn reject_if_isolated(shared: &RegistrarShared) -> Option<ControlResponse> {
    if shared.entries.borrow().iter().next().is_some() {
        return None;
    }
    shared.metrics.refused_isolated.inc();
    Some(ControlResponse::Unavailable("no entry reads this member's feed"))
}

/// Rejects a target of a service that the configuration in force does not have. A target that
/// leaves is accepted nevertheless, since its service may have been removed before it.
fn reject_unknown_service(
    shared: &RegistrarShared,
    record: &TargetRecord,
) -> Option<ControlResponse> {
    let applied = shared.applied.borrow();
    let is_known =
        applied.as_ref().is_none_or(|config| config.services.contains_key(&record.service));
    if is_known || record.state != TargetState::Ready {
        return None;
    }
    tracing::info!(
        target_id = %record.id,
        service = %record.service,
        "rejected an announcement: unknown service"
    );
    shared.metrics.refused_malformed.inc();
    Some(ControlResponse::Invalid(format!("unknown service {}", record.service)))
}

fn announce(shared: &RegistrarShared, record: TargetRecord) -> ControlResponse {
    if let Some(rejection) = reject_if_isolated(shared) {
        return rejection;
    }
    if let Some(rejection) = reject_unknown_service(shared, &record) {
        return rejection;
    }
    let mut registry = shared.registry.borrow_mut();
    let before = registry.change_number();
    let (id, state, sequence) = (record.id.clone(), record.state, record.sequence);
    let outcome = registry.announce(record, Instant::now());
    let changed = registry.change_number() > before;
    drop(registry);
    match outcome {
        AnnounceOutcome::Accepted => shared.metrics.announcements.inc(),
        AnnounceOutcome::Stale => {
            tracing::info!(target_id = %id, sequence, "ignored a stale announcement");
            shared.metrics.stale_announcements.inc();
        }
        AnnounceOutcome::Conflicting => {
            tracing::info!(
                target_id = %id,
                sequence,
                "rejected an announcement: the target has another service or address"
            );
            shared.metrics.refused_malformed.inc();
            let reason = "the target lives under another service or address";
            return ControlResponse::Invalid(reason.to_owned());
        }
        AnnounceOutcome::Full => return ControlResponse::Unavailable("too many targets"),
    }
    if changed {
        tracing::info!(target_id = %id, ?state, sequence, "a target announced itself");
        shared.publish();
    }
    ControlResponse::Done
}

/// Removes a target that leaves. A request that states no incarnation means the latest one that any
/// member knows.
fn leave(
    shared: &RegistrarShared,
    name: String,
    incarnation: Option<Incarnation>,
) -> ControlResponse {
    if let Some(rejection) = reject_if_isolated(shared) {
        return rejection;
    }
    let mut registry = shared.registry.borrow_mut();
    let incarnation = incarnation.unwrap_or_else(|| {
        let mirrors = shared.mirrors.borrow();
        let latest = registry.current(&name).max(mirrors.current(&name));
        latest.map_or(Incarnation::UNSTATED, |id| id.incarnation)
    });
    let id = TargetId::new(name, incarnation);
    let outcome = registry.remove(&id, Instant::now());
    drop(registry);
    tracing::info!(target_id = %id, ?outcome, "a target leaves");
    shared.publish();
    ControlResponse::Done
}

async fn replace_config(
    shared: &RegistrarShared,
    raw: RawServing,
    content: &[u8],
) -> ControlResponse {
    let version = raw.version;
    if let Err(error) = ServingConfig::try_from(raw) {
        tracing::info!(version, %error, "rejected an invalid configuration");
        shared.metrics.changes_invalid.inc();
        return ControlResponse::Invalid(error.to_string());
    }
    let response = submit_config(shared, version, content).await;
    tracing::info!(
        version,
        acknowledged = response == ControlResponse::Done,
        "submitted a configuration"
    );
    response
}

/// Submits the delta from the configuration that this member holds, and the full document if
/// another configuration was committed in the meantime.
///
/// Load pattern: every change of a long configuration goes to all members, most of them in other
/// regions, and live responses queue behind it. With 1,700 routes, a change of one of them takes
/// 52 bytes in the log, the full document 5.4 KB, and the text as sent 329 KB
/// (`egretseam-bench slopes`).
async fn submit_config(shared: &RegistrarShared, version: u64, content: &[u8]) -> ControlResponse {
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let delta = {
        let state = shared.control.state();
        state.serving().map(|held| ServingChange::delta_from(held, version, content))
    };
    if let Some(change) = delta {
        let bytes = change.content.size();
        match try_submit(shared, CatalogCommand::ReplaceServing(change), COMMIT_TIMEOUT).await {
            Ok(CatalogReply::OtherBase) => {
                tracing::info!(
                    version,
                    bytes,
                    "another configuration was committed first; submitting the full document"
                );
                shared.metrics.changes_other_base.inc();
            }
            outcome => return outcome_response(shared, outcome),
        }
    }
    let change = ServingChange::full(version, content);
    let remaining = deadline.saturating_duration_since(Instant::now());
    outcome_response(
        shared,
        try_submit(shared, CatalogCommand::ReplaceServing(change), remaining).await,
    )
}

/// Commits a change to the log. All such changes are idempotent, so after an unknown outcome the
/// response asks for a retry.
async fn submit(shared: &RegistrarShared, command: CatalogCommand) -> ControlResponse {
    outcome_response(shared, try_submit(shared, command, COMMIT_TIMEOUT).await)
}

pub(crate) async fn try_submit(
    shared: &RegistrarShared,
    command: CatalogCommand,
    timeout: Duration,
) -> Result<CatalogReply, SubmitError> {
    shared.client().submit(&command, timeout).await
}

fn outcome_response(
    shared: &RegistrarShared,
    outcome: Result<CatalogReply, SubmitError>,
) -> ControlResponse {
    match outcome {
        Ok(CatalogReply::OtherBase) => {
            tracing::warn!("control members failed to unpack a configuration");
            shared.metrics.changes_unavailable.inc();
            ControlResponse::Unavailable("the change could not be applied")
        }
        Ok(_) => {
            shared.metrics.changes.inc();
            ControlResponse::Done
        }
        Err(error) => {
            tracing::warn!(%error, "a change was not acknowledged by the control members");
            shared.metrics.changes_unavailable.inc();
            ControlResponse::Unavailable("no quorum in time")
        }
    }
}

async fn read_config(shared: &RegistrarShared) -> ControlResponse {
    if shared.control.confirm_read().await.is_none() {
        shared.metrics.reads_unavailable.inc();
        return ControlResponse::Unavailable("the newest configuration cannot be confirmed");
    }
    let state = shared.control.state();
    match state.serving() {
        Some(document) => ControlResponse::Config(Bytes::copy_from_slice(&document.content)),
        None => ControlResponse::NoConfig,
    }
}

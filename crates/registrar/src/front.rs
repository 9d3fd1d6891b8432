//! The calls of targets and operators over HTTP.

use crate::{
    dialect::{ControlRequest, ControlResponse, RequestError},
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

/// Largest head of a call.
const MAX_HEAD: usize = 16 * 1024;
/// Largest body: a configuration of thousands of routes has a few MiB.
const MAX_BODY: usize = 16 * 1024 * 1024;
/// How long a connection may be idle.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// How long a body may take.
const BODY_LIMIT: Duration = Duration::from_secs(5);
/// How long a change may wait for its quorum: a little less than the second after which operators
/// go on to another member.
pub(crate) const COMMIT_LIMIT: Duration = Duration::from_millis(900);

/// Serves a connection to its end.
pub(crate) async fn serve(shared: Rc<RegistrarShared>, stream: TcpStream) {
    let Ok(mut connection) = HttpConnection::new(stream, &ConnectionOptions::default()) else {
        return;
    };
    loop {
        let read = connection.read_request(MAX_HEAD);
        let Ok(Ok(Some(head))) = tokio::time::timeout(IDLE_LIMIT, read).await else { return };
        let reader = BodyReader::new(head.framing);
        let read = connection.read_body(reader, MAX_BODY);
        let body = match tokio::time::timeout(BODY_LIMIT, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(ReadError::BodyTooLarge)) => {
                tracing::info!(path = head.path(), limit = MAX_BODY, "a call is too large");
                shared.metrics.refused_malformed.inc();
                if write(&shared, &mut connection, &ControlResponse::TooLarge).await.is_ok() {
                    connection.close().await;
                }
                return;
            }
            Ok(Err(_)) | Err(_) => return,
        };
        let reply = answer(&shared, &head, body).await;
        if write(&shared, &mut connection, &reply).await.is_err() || !head.keeps_alive() {
            return;
        }
    }
}

async fn write(
    shared: &RegistrarShared,
    connection: &mut HttpConnection,
    reply: &ControlResponse,
) -> io::Result<()> {
    let (status, phrase, body) = shared.dialect.encode_response(reply);
    let mut writer = HeadWriter::response(status, phrase.as_bytes());
    writer.text("Content-Type", "application/json");
    if *reply == ControlResponse::TooLarge {
        writer.text("Connection", "close");
    }
    connection.write(&writer.finish_with(&body)).await
}

async fn answer(shared: &Rc<RegistrarShared>, head: &RequestHead, body: Bytes) -> ControlResponse {
    let call = match shared.dialect.parse_request(head, &body) {
        Ok(call) => call,
        Err(RequestError::Unknown) => return ControlResponse::Unknown,
        Err(fault @ RequestError::Malformed(_)) => {
            tracing::info!(path = head.path(), %fault, "a call was refused");
            shared.metrics.refused_malformed.inc();
            return ControlResponse::Invalid(fault.to_string());
        }
    };
    match call {
        ControlRequest::Announce(record) => announce(shared, record),
        ControlRequest::Leave { name, incarnation } => leave(shared, name, incarnation),
        ControlRequest::ReplaceConfig(raw) => replace(shared, *raw, &body).await,
        ControlRequest::ReadConfig => read(shared).await,
        ControlRequest::PublishVersion { model, version } => {
            tracing::info!(%model, version, "a version is named");
            submit(shared, CatalogCommand::NameVersion { model, version }).await
        }
    }
}

/// Failure guarded: a member that is cut off from the entries acknowledges that a target is
/// draining, and nobody else ever hears of it. It shows as requests at a target that has left. A
/// member whose feed no entry reads sends announcements elsewhere.
fn isolation(shared: &RegistrarShared) -> Option<ControlResponse> {
    if shared.entries.borrow().iter().next().is_some() {
        return None;
    }
    shared.metrics.refused_isolated.inc();
    Some(ControlResponse::Unavailable("no entry reads this member's feed"))
}

/// Refuses a target of a service that the configuration in force does not have. One that leaves is
/// heard all the same, since its service may have been taken out before it.
fn unknown_service(shared: &RegistrarShared, record: &TargetRecord) -> Option<ControlResponse> {
    let applied = shared.applied.borrow();
    let is_known =
        applied.as_ref().is_none_or(|config| config.services.contains_key(&record.service));
    if is_known || record.state != TargetState::Ready {
        return None;
    }
    tracing::info!(target_id = %record.id, service = %record.service, "a target of an unknown service");
    shared.metrics.refused_malformed.inc();
    Some(ControlResponse::Invalid(format!("unknown service {}", record.service)))
}

fn announce(shared: &RegistrarShared, record: TargetRecord) -> ControlResponse {
    if let Some(refusal) = isolation(shared) {
        return refusal;
    }
    if let Some(refusal) = unknown_service(shared, &record) {
        return refusal;
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
            tracing::info!(target_id = %id, sequence, "a stale announcement was ignored");
            shared.metrics.stale_announcements.inc();
        }
        AnnounceOutcome::Conflicting => {
            tracing::info!(target_id = %id, sequence, "an announcement names another service or address");
            shared.metrics.refused_malformed.inc();
            let fault = "the target lives under another service or address";
            return ControlResponse::Invalid(fault.to_owned());
        }
        AnnounceOutcome::Full => return ControlResponse::Unavailable("too many targets"),
    }
    if changed {
        tracing::info!(target_id = %id, ?state, sequence, "a target announced itself");
        shared.publish();
    }
    ControlResponse::Done
}

/// Takes in that a target leaves. One that does not say which run it is means the latest that any
/// member has heard of.
fn leave(
    shared: &RegistrarShared,
    name: String,
    incarnation: Option<Incarnation>,
) -> ControlResponse {
    if let Some(refusal) = isolation(shared) {
        return refusal;
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

async fn replace(shared: &RegistrarShared, raw: RawServing, content: &[u8]) -> ControlResponse {
    let version = raw.version;
    if let Err(error) = ServingConfig::try_from(raw) {
        tracing::info!(version, %error, "a configuration was refused");
        shared.metrics.changes_invalid.inc();
        return ControlResponse::Invalid(error.to_string());
    }
    let reply = submit_config(shared, version, content).await;
    tracing::info!(
        version,
        acknowledged = reply == ControlResponse::Done,
        "a configuration was sent"
    );
    reply
}

/// Sends the difference from the configuration that this member holds, and the whole if another one
/// was accepted meanwhile.
///
/// Load pattern: every change of a long configuration goes to all members, most of them in other
/// regions, and live answers wait behind it. For 1,700 routes a change of one of them takes 52 bytes in
/// the log, the whole 5.4 KB, the text as sent 329 KB (`egretseam-bench slopes`).
async fn submit_config(shared: &RegistrarShared, version: u64, content: &[u8]) -> ControlResponse {
    let until = Instant::now() + COMMIT_LIMIT;
    let difference = {
        let state = shared.control.state();
        state.serving().map(|held| ServingChange::delta_from(held, version, content))
    };
    if let Some(change) = difference {
        let bytes = change.content.size();
        match try_submit(shared, CatalogCommand::ReplaceServing(change), COMMIT_LIMIT).await {
            Ok(CatalogReply::OtherBase) => {
                tracing::info!(
                    version,
                    bytes,
                    "another configuration came first; sending the whole"
                );
                shared.metrics.changes_other_base.inc();
            }
            outcome => return acknowledge(shared, outcome),
        }
    }
    let change = ServingChange::full(version, content);
    let left = until.saturating_duration_since(Instant::now());
    acknowledge(shared, try_submit(shared, CatalogCommand::ReplaceServing(change), left).await)
}

/// Carries a change out through the log. Every such change may be sent again, so a lost outcome
/// is told as "try again".
async fn submit(shared: &RegistrarShared, command: CatalogCommand) -> ControlResponse {
    acknowledge(shared, try_submit(shared, command, COMMIT_LIMIT).await)
}

pub(crate) async fn try_submit(
    shared: &RegistrarShared,
    command: CatalogCommand,
    limit: Duration,
) -> Result<CatalogReply, SubmitError> {
    shared.client().submit(&command, limit).await
}

fn acknowledge(
    shared: &RegistrarShared,
    outcome: Result<CatalogReply, SubmitError>,
) -> ControlResponse {
    match outcome {
        Ok(CatalogReply::OtherBase) => {
            tracing::warn!("a configuration could not be restored by the members");
            shared.metrics.changes_unavailable.inc();
            ControlResponse::Unavailable("the change could not be applied")
        }
        Ok(_) => {
            shared.metrics.changes.inc();
            ControlResponse::Done
        }
        Err(error) => {
            tracing::warn!(%error, "a change was not acknowledged");
            shared.metrics.changes_unavailable.inc();
            ControlResponse::Unavailable("no quorum in time")
        }
    }
}

async fn read(shared: &RegistrarShared) -> ControlResponse {
    if shared.control.confirm().await.is_none() {
        shared.metrics.reads_unavailable.inc();
        return ControlResponse::Unavailable("the newest configuration cannot be confirmed");
    }
    let state = shared.control.state();
    match state.serving() {
        Some(document) => ControlResponse::Config(Bytes::copy_from_slice(&document.content)),
        None => ControlResponse::NoConfig,
    }
}

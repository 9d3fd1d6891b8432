//! Serves one request from its head to the end of its response.

use crate::{
    accepted::{AcceptedRequest, RequestEnd, UnansweredReason},
    attempts::{self, MAX_PIPELINED_BYTES},
    dialect::RequestMetadata,
    error_response::{ErrorKind, ErrorResponse},
    request::RequestState,
    shared::{GatewayShared, StopPhase},
};
use bytes::Bytes;
use egretseam_h1::{HttpConnection, RequestHead};
use egretseam_serving::{AccessError, AllowedRegions, RouteRecord, RouteTable};
use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Delay after which callers may retry that an entry without a configuration rejected.
const RETRY_AFTER_NO_CONFIG: Duration = Duration::from_millis(300);
/// Delay after which callers may retry at another entry because this one is stopping.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(50);

/// What to do with the caller's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    /// Read the next request from it.
    Keep,
    /// Close it after what was written has been delivered.
    Close,
    /// Reset it: the response is incomplete, or the caller has disconnected.
    Reset,
}

/// Serves one request whose body has been read.
pub(crate) async fn serve(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    head: RequestHead,
    body: Bytes,
    received_at: Instant,
) -> ConnectionAction {
    shared.metrics.requests.inc();
    let keep_alive = head.keeps_alive();
    let terms = shared.dialect.read_request_metadata(&head);
    let id = terms.id.clone();
    let accepted = AcceptedRequest::new(shared, &id, received_at);
    if shared.routes().is_none() && !await_config(shared, caller, &terms).await {
        accepted.fail(UnansweredReason::CallerLeft, None);
        return ConnectionAction::Reset;
    }
    let request = match admit(shared, head, terms, body, received_at) {
        Ok(request) => request,
        Err(error) => {
            return reject(shared, caller, &error, keep_alive, &accepted, None).await;
        }
    };
    match attempts::run(shared, caller, &request).await {
        Ok(RequestEnd::Answered(action)) => {
            accepted.finish();
            action
        }
        Ok(RequestEnd::Unanswered(reason)) => {
            accepted.fail(reason, Some(&request));
            ConnectionAction::Reset
        }
        Err(error) => {
            if error.retry_after.is_some() && error.kind != ErrorKind::Quarantined {
                shared.record_rejected(&request.route);
            }
            reject(shared, caller, &error, keep_alive, &accepted, Some(&request)).await
        }
    }
}

/// Sends the error that a request ends with.
async fn reject(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    error: &ErrorResponse,
    keep_alive: bool,
    accepted: &AcceptedRequest,
    request: Option<&RequestState>,
) -> ConnectionAction {
    let action = send_error(shared, caller, error, keep_alive, accepted.id()).await;
    if action == ConnectionAction::Reset {
        accepted.fail(UnansweredReason::CallerLeft, request);
    } else {
        accepted.finish();
    }
    action
}

/// Waits until an entry that has just started has its first configuration or the outage limit has
/// passed. Returns whether the caller is still connected.
///
/// When all entries start at the same moment, a caller that is rejected for want of a configuration
/// retries into the same outage, and it retries only once. Without this wait, hundreds of requests
/// are rejected in the second after a restart of the whole fleet.
async fn await_config(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    terms: &RequestMetadata,
) -> bool {
    let limit = shared.options.waiting.outage_limit;
    let limit = terms.time_left.map_or(limit, |left| left.min(limit));
    tokio::select! {
        _ = tokio::time::timeout(limit, shared.wait_for_routes()) => true,
        () = caller.wait_for_close(MAX_PIPELINED_BYTES) => {
            shared.metrics.callers_disconnected.inc();
            tracing::info!(request_id = %terms.id, "caller disconnected awaiting configuration");
            false
        }
    }
}

fn admit(
    shared: &GatewayShared,
    head: RequestHead,
    terms: RequestMetadata,
    body: Bytes,
    received_at: Instant,
) -> Result<RequestState, ErrorResponse> {
    if shared.phase() >= StopPhase::Rejecting {
        return Err(ErrorResponse::with_retry_after(ErrorKind::Stopping, RETRY_AFTER_STOPPING));
    }
    let routes = shared.routes().ok_or_else(|| {
        ErrorResponse::with_retry_after(ErrorKind::NoConfig, RETRY_AFTER_NO_CONFIG)
    })?;
    let route = find_route(&routes, &head)?;
    let holder = match routes.authorise(&route, terms.api_key.as_deref()) {
        Ok(holder) => holder.cloned(),
        Err(AccessError::MissingKey) => return Err(ErrorResponse::new(ErrorKind::MissingKey)),
        Err(AccessError::UnknownKey) => return Err(ErrorResponse::new(ErrorKind::UnknownKey)),
    };
    let service = route.destination(rand::random()).clone();
    let key_regions = holder.as_ref().and_then(|holder| holder.regions.as_ref());
    let regions = AllowedRegions::combine(route.regions.as_ref(), key_regions);
    if regions.is_some() {
        shared.metrics.requests_restricted.inc();
    }
    shared.retry_budgets.record_request(&service);
    // Services without engines answer within some ten milliseconds and hold no requests back.
    if terms.model.is_some() {
        let mut dispatch = shared.dispatch.borrow_mut();
        dispatch.record_arrived(&service, route.priority, Instant::now());
    }
    let tried_before = shared.time_spent_retrying(&route, &terms);
    let limit = terms.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    Ok(RequestState {
        head,
        terms,
        body,
        route,
        holder,
        service,
        regions,
        received_at,
        deadline: received_at + limit,
        tried_before,
        progress: RefCell::default(),
        features: OnceCell::new(),
    })
}

fn find_route(routes: &RouteTable, head: &RequestHead) -> Result<Rc<RouteRecord>, ErrorResponse> {
    let host = head.headers.text("host").ok_or(ErrorResponse::new(ErrorKind::Malformed))?;
    let route = routes.route(host, head.path()).cloned();
    route.ok_or(ErrorResponse::new(ErrorKind::NoRoute))
}

/// Sends an error response to the caller. `id` is the id of the request, empty if it was not read
/// completely.
pub(crate) async fn send_error(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    error: &ErrorResponse,
    keep_alive: bool,
    id: &str,
) -> ConnectionAction {
    shared.metrics.count_error(error.kind);
    tracing::info!(
        request_id = id,
        reason = error.kind.slug(),
        verdict = ?error.kind.verdict(),
        retry_after_millis = error.retry_after.map_or(0, |after| after.as_millis() as u64),
        "sending error response"
    );
    let close = !keep_alive || shared.phase() != StopPhase::Running;
    if caller.write(&error.encode(close)).await.is_err() {
        return ConnectionAction::Reset;
    }
    if close || error.closes_connection() {
        ConnectionAction::Close
    } else {
        ConnectionAction::Keep
    }
}

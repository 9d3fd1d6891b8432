//! HTTP interface with JSON for operators, and the health, readiness and metrics endpoints of the
//! process.

use actix_http::{HttpMessage, Method, Request, StatusCode};
use egretseam_catalog::{CatalogCommand, CatalogReply, ConfigUpdate, EditRequest};
use egretseam_http::{
    DaemonMetrics, HttpHandler, HttpReply, SecretToken, bearer_token, failure_reply, json_reply,
    read_json, text_reply,
};
use egretseam_proto::{
    FailureReport, Incarnation, InstanceName, ProfileName, RefusalReason, Revision,
};
use egretseam_replica::MembershipChange;
use egretseam_rpc::{ControlClient, MemberCall, MemberReply, SubmitError, WatchCall, WatchReply};
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};

/// Largest accepted body of an operator's request.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Timeout of a call to the control members on behalf of an operator.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Lists the targets that the process knows; only an entry knows any.
pub trait TargetsSource {
    /// All known targets as JSON, or `None` if this process does not route requests.
    fn targets(&self) -> Option<serde_json::Value>;
}

/// Tells whether the process is ready to serve.
pub trait ReadinessSource {
    /// Reason why the process is not ready, or `None` if it is ready.
    fn not_ready(&self) -> Option<String>;
}

/// HTTP handler for operators.
pub struct OperatorHandler {
    client: Rc<ControlClient>,
    token: SecretToken,
    metrics: DaemonMetrics,
    readiness: Rc<dyn ReadinessSource>,
    targets: Rc<dyn TargetsSource>,
}

#[derive(Serialize)]
struct AcceptedReply {
    revision: Revision,
}

#[derive(Serialize)]
struct ConflictReply {
    current: Revision,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberRequest {
    change: MembershipChange,
}

impl OperatorHandler {
    /// Makes a handler that reaches the control members through `client`.
    pub fn new(
        client: Rc<ControlClient>,
        token: SecretToken,
        metrics: DaemonMetrics,
        readiness: Rc<dyn ReadinessSource>,
        targets: Rc<dyn TargetsSource>,
    ) -> Self {
        Self { client, token, metrics, readiness, targets }
    }

    async fn respond(&self, mut request: Request) -> Result<HttpReply, FailureReport> {
        let path = request.path().to_owned();
        let method = request.method().clone();
        match (&method, path.as_str()) {
            (&Method::GET, "/healthz") => return Ok(text_reply(StatusCode::OK, "ok\n")),
            (&Method::GET, "/readyz") => return Ok(self.readiness()),
            (&Method::GET, "/metrics") => {
                return Ok(text_reply(StatusCode::OK, self.metrics.render()));
            }
            _ => {}
        }
        self.authorise(&request)?;
        match (&method, path.as_str()) {
            (&Method::POST, "/v1/edits") => {
                let edit = read_json(&mut request.take_payload(), MAX_BODY_BYTES).await?;
                self.edit(edit).await
            }
            (&Method::GET, "/v1/config") => self.config().await,
            (&Method::GET, "/v1/targets") => self.list_targets(),
            (&Method::GET, "/v1/members") => self.members().await,
            (&Method::POST, "/v1/members") => {
                let call: MemberRequest =
                    read_json(&mut request.take_payload(), MAX_BODY_BYTES).await?;
                self.change_members(call.change).await
            }
            (&Method::GET, path) if path.starts_with("/v1/history/") => self.history(path).await,
            (
                _,
                "/healthz" | "/readyz" | "/metrics" | "/v1/edits" | "/v1/config" | "/v1/targets"
                | "/v1/members",
            ) => Err(FailureReport::not_run(RefusalReason::MethodNotAllowed, format!("{method}"))),
            _ => Err(FailureReport::not_run(RefusalReason::NotFound, path)),
        }
    }

    fn authorise(&self, request: &Request) -> Result<(), FailureReport> {
        match bearer_token(request.headers()) {
            Some(offered) if self.token.matches(offered) => Ok(()),
            _ => Err(FailureReport::not_run(
                RefusalReason::Unauthorized,
                "an operator's token is needed",
            )),
        }
    }

    fn readiness(&self) -> HttpReply {
        match self.readiness.not_ready() {
            None => text_reply(StatusCode::OK, "ready\n"),
            Some(why) => text_reply(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {why}\n")),
        }
    }

    async fn edit(&self, request: EditRequest) -> Result<HttpReply, FailureReport> {
        let command = CatalogCommand::Edit(request);
        let reply = self.client.submit(&command, CALL_TIMEOUT).await.map_err(submit_failure)?;
        Ok(match reply {
            CatalogReply::Accepted { revision } => {
                json_reply(StatusCode::OK, &AcceptedReply { revision })
            }
            CatalogReply::Conflict { current } => {
                json_reply(StatusCode::CONFLICT, &ConflictReply { current })
            }
            CatalogReply::Refused(detail) if detail.missing => {
                json_reply(StatusCode::NOT_FOUND, &detail)
            }
            CatalogReply::Refused(detail) => json_reply(StatusCode::UNPROCESSABLE_ENTITY, &detail),
            other => {
                let detail = format!("unexpected reply {other:?}");
                return Err(FailureReport::may_have_run(RefusalReason::OutcomeUnknown, detail));
            }
        })
    }

    async fn config(&self) -> Result<HttpReply, FailureReport> {
        let entry = InstanceName::try_from("operator").expect("a valid name");
        let call =
            WatchCall { entry, incarnation: Incarnation(0), held: Revision(0), wait_millis: 0 };
        const MAX_WATCH_ATTEMPTS: usize = 5;
        for _ in 0..MAX_WATCH_ATTEMPTS {
            match self.client.watch(call.clone()).await {
                Ok(WatchReply::Confirmed { update: ConfigUpdate::Whole(view), .. }) => {
                    return Ok(json_reply(StatusCode::OK, &view));
                }
                Ok(WatchReply::Confirmed { .. }) => {
                    let view = egretseam_catalog::ConfigView::default();
                    return Ok(json_reply(StatusCode::OK, &view));
                }
                Ok(WatchReply::Unconfirmed) | Err(_) => {}
            }
        }
        Err(FailureReport::not_run(RefusalReason::NoQuorum, "no member could confirm a read"))
    }

    fn list_targets(&self) -> Result<HttpReply, FailureReport> {
        match self.targets.targets() {
            Some(targets) => Ok(json_reply(StatusCode::OK, &targets)),
            None => Err(FailureReport::not_run(
                RefusalReason::NotFound,
                "this process routes nothing; ask an entry instance",
            )),
        }
    }

    async fn members(&self) -> Result<HttpReply, FailureReport> {
        let reply = self.client.members(CALL_TIMEOUT).await.map_err(submit_failure)?;
        Ok(json_reply(StatusCode::OK, &reply))
    }

    async fn change_members(&self, change: MembershipChange) -> Result<HttpReply, FailureReport> {
        let call = MemberCall { change };
        let reply =
            self.client.change_members(&call, CALL_TIMEOUT).await.map_err(submit_failure)?;
        match reply {
            MemberReply::Done => Ok(json_reply(StatusCode::OK, &"done")),
            MemberReply::Refused(why) => Err(FailureReport::not_run(RefusalReason::Conflict, why)),
            MemberReply::NotLeader { .. } => {
                Err(FailureReport::not_run(RefusalReason::NoQuorum, "no member leads"))
            }
            MemberReply::Unknown => Err(FailureReport::may_have_run(
                RefusalReason::OutcomeUnknown,
                "look at the members before trying again",
            )),
        }
    }

    async fn history(&self, path: &str) -> Result<HttpReply, FailureReport> {
        let name = path.trim_start_matches("/v1/history/");
        let name = ProfileName::try_from(name).map_err(|error| {
            FailureReport::not_run(RefusalReason::BadRequest, error.to_string())
        })?;
        let records = self.client.history(&name, CALL_TIMEOUT).await.map_err(submit_failure)?;
        Ok(json_reply(StatusCode::OK, &records))
    }
}

fn submit_failure(error: SubmitError) -> FailureReport {
    match error {
        SubmitError::NotRun(detail) => FailureReport::not_run(RefusalReason::NoQuorum, detail),
        SubmitError::Unknown(detail) => {
            FailureReport::may_have_run(RefusalReason::NoQuorum, detail)
        }
    }
}

impl HttpHandler for OperatorHandler {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move {
            match self.respond(request).await {
                Ok(reply) => reply,
                Err(report) => {
                    self.metrics.count_refusal(&report);
                    failure_reply(&report)
                }
            }
        })
    }
}

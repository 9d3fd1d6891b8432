//! Client of the operators' HTTP interface, used by the command line.
//!
//! Each change has one operation id, which its retries repeat. A lost response is harmless: the
//! control members return the first outcome again.

use awc::{Client, ClientResponse, http::StatusCode};
use egretseam_catalog::{ConfigEdit, ConfigView, EditRejection, EditRequest, HistoryRecord};
use egretseam_http::{ClientOptions, SecretToken, failure_from_headers, http_client};
use egretseam_proto::{
    FailureReport, OperationId, ProfileName, RequestVerdict, Revision, TargetReport,
};
use egretseam_replica::MembershipChange;
use egretseam_rpc::MembersReply;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::time::Duration;
use thiserror::Error;

/// How long one request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Most attempts for a change that was not executed or whose outcome is unknown.
const MAX_ATTEMPTS: usize = 3;
/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why an operator's request failed.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The change is based on an outdated revision; nothing was changed.
    #[error("conflict: changed meanwhile, now at revision {current}")]
    Conflict {
        /// Current revision of the changed item.
        current: Revision,
    },
    /// The change violates a rule; nothing was changed.
    #[error("{0}")]
    Rejected(String),
    /// The token is wrong or missing.
    #[error("the operator token was rejected")]
    Unauthorized,
    /// The request was not executed; nothing was changed.
    #[error("not executed: {0}")]
    NotExecuted(String),
    /// It is unknown whether the change was made; check the configuration before a retry.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

/// A target as listed by an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetItem {
    /// The agent's report.
    #[serde(flatten)]
    pub report: TargetReport,
    /// Milliseconds since that report.
    pub silent_millis: u64,
    /// Requests of that entry in progress there.
    pub own_in_flight: u32,
    /// Whether that entry has ejected it because of its failures.
    pub ejected: bool,
}

#[derive(Deserialize)]
struct AcceptedReply {
    revision: Revision,
}

#[derive(Deserialize)]
struct ConflictReply {
    current: Revision,
}

#[derive(Serialize)]
struct MemberRequest<'a> {
    change: &'a MembershipChange,
}

/// Client of the operators' listener of one process.
#[derive(Clone)]
pub struct OperatorClient {
    client: Client,
    address: String,
    token: SecretToken,
    actor: String,
}

impl OperatorClient {
    /// A client of `host:port`; `actor` is recorded in the history of its changes.
    pub fn new(address: &str, token: SecretToken, actor: &str) -> Self {
        let client = http_client(ClientOptions::default());
        Self { client, address: address.to_owned(), token, actor: actor.to_owned() }
    }

    /// Submits a change based on revision `base` and returns the new revision.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn edit(&self, base: Revision, edit: ConfigEdit) -> Result<Revision, OperatorError> {
        let operation = OperationId(rand::random());
        let request = EditRequest { operation, base, actor: self.actor.clone(), edit };
        let mut last_error = OperatorError::NotExecuted("no request was sent".to_owned());
        let mut may_have_run = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.edit_once(&request).await {
                Err(error @ (OperatorError::Unknown(_) | OperatorError::NotExecuted(_))) => {
                    may_have_run |= matches!(error, OperatorError::Unknown(_));
                    last_error = error;
                }
                result => return result,
            }
        }
        match last_error {
            OperatorError::NotExecuted(detail) if may_have_run => {
                Err(OperatorError::Unknown(detail))
            }
            other => Err(other),
        }
    }

    async fn edit_once(&self, request: &EditRequest) -> Result<Revision, OperatorError> {
        let mut response = self.post("/v1/edits", request).await?;
        match response.status() {
            StatusCode::OK => Ok(read::<AcceptedReply>(&mut response).await?.revision),
            StatusCode::CONFLICT if failure_from_headers(response.headers()).is_none() => {
                let current = read::<ConflictReply>(&mut response).await?.current;
                Err(OperatorError::Conflict { current })
            }
            StatusCode::NOT_FOUND | StatusCode::UNPROCESSABLE_ENTITY
                if failure_from_headers(response.headers()).is_none() =>
            {
                Err(OperatorError::Rejected(read::<EditRejection>(&mut response).await?.message))
            }
            _ => Err(failure(&mut response).await),
        }
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn config(&self) -> Result<ConfigView, OperatorError> {
        self.get("/v1/config").await
    }

    /// Targets that the entry of this process knows.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn targets(&self) -> Result<Vec<TargetItem>, OperatorError> {
        self.get("/v1/targets").await
    }

    /// Members of the control group.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn members(&self) -> Result<MembersReply, OperatorError> {
        self.get("/v1/members").await
    }

    /// Committed changes of a profile, oldest first.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn history(&self, name: &ProfileName) -> Result<Vec<HistoryRecord>, OperatorError> {
        self.get(&format!("/v1/history/{name}")).await
    }

    /// Changes the control group by one step.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn change_members(&self, change: &MembershipChange) -> Result<(), OperatorError> {
        let mut response = self.post("/v1/members", &MemberRequest { change }).await?;
        if response.status().is_success() { Ok(()) } else { Err(failure(&mut response).await) }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let url = format!("http://{}{path}", self.address);
        let request =
            self.client.get(url).bearer_auth(self.token.expose()).timeout(REQUEST_TIMEOUT);
        let result = request.send().await;
        let mut response = result.map_err(|error| OperatorError::NotExecuted(error.to_string()))?;
        if response.status().is_success() {
            return read(&mut response).await;
        }
        Err(failure(&mut response).await)
    }

    async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<ClientResponse, OperatorError> {
        let url = format!("http://{}{path}", self.address);
        let request =
            self.client.post(url).bearer_auth(self.token.expose()).timeout(REQUEST_TIMEOUT);
        request.send_json(body).await.map_err(|error| {
            let report = egretseam_http::classify_send_error(&error);
            match report.verdict {
                RequestVerdict::NotRun => OperatorError::NotExecuted(error.to_string()),
                _ => OperatorError::Unknown(error.to_string()),
            }
        })
    }
}

async fn read<T: DeserializeOwned>(response: &mut ClientResponse) -> Result<T, OperatorError> {
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| OperatorError::Unknown(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| OperatorError::Unknown(error.to_string()))
}

async fn failure(response: &mut ClientResponse) -> OperatorError {
    let status = response.status();
    let report: Option<FailureReport> = failure_from_headers(response.headers());
    let body = response.body().limit(MAX_RESPONSE_BYTES).await.unwrap_or_default();
    let problem: Option<ProblemDetail> = serde_json::from_slice(&body).ok();
    let detail = problem.map_or_else(|| status.to_string(), |problem| problem.detail);
    match (status, report) {
        (StatusCode::UNAUTHORIZED, _) => OperatorError::Unauthorized,
        (status, Some(report)) if report.verdict == RequestVerdict::NotRun => {
            if status.is_client_error() {
                OperatorError::Rejected(detail)
            } else {
                OperatorError::NotExecuted(detail)
            }
        }
        _ => OperatorError::Unknown(detail),
    }
}

#[derive(Deserialize)]
struct ProblemDetail {
    detail: String,
}

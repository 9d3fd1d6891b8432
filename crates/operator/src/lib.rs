//! A client of the operators' HTTP interface, as the command line uses it.
//!
//! Every change draws an operation id once and resends under it, so a lost reply is harmless: the
//! members give the first outcome again.

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

/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(8);
/// How often a change with an unknown outcome is sent again.
const RESENDS: usize = 3;
/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why an operator's call did not succeed.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// Someone else changed the thing first; nothing was changed.
    #[error("it was changed meanwhile and is at revision {current} now")]
    Conflict {
        /// Its present revision.
        current: Revision,
    },
    /// The change breaks a rule; nothing was changed.
    #[error("{0}")]
    Rejected(String),
    /// The token is wrong or missing.
    #[error("the operator token was refused")]
    Unauthorized,
    /// Nothing was changed, because nobody could take the call.
    #[error("not done: {0}")]
    NotExecuted(String),
    /// Nobody knows whether the change was made; look before trying again.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

/// A target as an entry shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetItem {
    /// The agent's report.
    #[serde(flatten)]
    pub report: TargetReport,
    /// Milliseconds since that report.
    pub silent_millis: u64,
    /// Requests of that entry in progress there.
    pub own_in_flight: u32,
    /// Whether that entry avoids it for its failures.
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

/// A client of one process's operators' listener.
#[derive(Clone)]
pub struct OperatorClient {
    client: Client,
    address: String,
    token: SecretToken,
    actor: String,
}

impl OperatorClient {
    /// A client of `host:port`; `actor` stands in the history of what it changes.
    pub fn new(address: &str, token: SecretToken, actor: &str) -> Self {
        let client = http_client(ClientOptions::default());
        Self { client, address: address.to_owned(), token, actor: actor.to_owned() }
    }

    /// Makes a change based on `base`.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn edit(&self, base: Revision, edit: ConfigEdit) -> Result<Revision, OperatorError> {
        let operation = OperationId(rand::random());
        let request = EditRequest { operation, base, actor: self.actor.clone(), edit };
        let mut last = OperatorError::NotExecuted("nothing was sent".to_owned());
        let mut may_have_run = false;
        for _ in 0..RESENDS {
            match self.edit_once(&request).await {
                Err(error @ (OperatorError::Unknown(_) | OperatorError::NotExecuted(_))) => {
                    may_have_run |= matches!(error, OperatorError::Unknown(_));
                    last = error;
                }
                settled => return settled,
            }
        }
        match last {
            OperatorError::NotExecuted(detail) if may_have_run => {
                Err(OperatorError::Unknown(detail))
            }
            other => Err(other),
        }
    }

    async fn edit_once(&self, request: &EditRequest) -> Result<Revision, OperatorError> {
        let mut answer = self.post("/v1/edits", request).await?;
        match answer.status() {
            StatusCode::OK => Ok(read::<AcceptedReply>(&mut answer).await?.revision),
            StatusCode::CONFLICT if failure_from_headers(answer.headers()).is_none() => {
                let current = read::<ConflictReply>(&mut answer).await?.current;
                Err(OperatorError::Conflict { current })
            }
            StatusCode::NOT_FOUND | StatusCode::UNPROCESSABLE_ENTITY
                if failure_from_headers(answer.headers()).is_none() =>
            {
                Err(OperatorError::Rejected(read::<EditRejection>(&mut answer).await?.message))
            }
            _ => Err(failure(&mut answer).await),
        }
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn config(&self) -> Result<ConfigView, OperatorError> {
        self.get("/v1/config").await
    }

    /// Targets as the asked entry sees them.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn targets(&self) -> Result<Vec<TargetItem>, OperatorError> {
        self.get("/v1/targets").await
    }

    /// The control group.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub async fn members(&self) -> Result<MembersReply, OperatorError> {
        self.get("/v1/members").await
    }

    /// Accepted changes of a profile, oldest first.
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
        let mut answer = self.post("/v1/members", &MemberRequest { change }).await?;
        if answer.status().is_success() { Ok(()) } else { Err(failure(&mut answer).await) }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let url = format!("http://{}{path}", self.address);
        let call = self.client.get(url).bearer_auth(self.token.expose()).timeout(CALL_LIMIT);
        let sent = call.send().await;
        let mut answer = sent.map_err(|error| OperatorError::NotExecuted(error.to_string()))?;
        if answer.status().is_success() {
            return read(&mut answer).await;
        }
        Err(failure(&mut answer).await)
    }

    async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<ClientResponse, OperatorError> {
        let url = format!("http://{}{path}", self.address);
        let call = self.client.post(url).bearer_auth(self.token.expose()).timeout(CALL_LIMIT);
        call.send_json(body).await.map_err(|error| {
            let report = egretseam_http::classify_send_error(&error);
            match report.verdict {
                RequestVerdict::NotRun => OperatorError::NotExecuted(error.to_string()),
                _ => OperatorError::Unknown(error.to_string()),
            }
        })
    }
}

async fn read<T: DeserializeOwned>(answer: &mut ClientResponse) -> Result<T, OperatorError> {
    let body = answer.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| OperatorError::Unknown(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| OperatorError::Unknown(error.to_string()))
}

async fn failure(answer: &mut ClientResponse) -> OperatorError {
    let status = answer.status();
    let report: Option<FailureReport> = failure_from_headers(answer.headers());
    let body = answer.body().limit(MAX_ANSWER_BYTES).await.unwrap_or_default();
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

//! Serves callers: authenticates and parses their requests, and passes them on to be forwarded.

use crate::{addresses, forward, shared::EntryShared};
use actix_http::{HttpMessage, Method, Request, StatusCode, header::HeaderMap};
use bytes::Bytes;
use egretseam_http::{
    HttpHandler, HttpReply, bearer_token, failure_reply, header_text, json_reply, read_body,
    text_reply,
};
use egretseam_proto::{
    ChunkDigest, DEADLINE_HEADER, FailureReport, IDEMPOTENCY_HEADER, OrganisationName,
    REQUEST_ID_HEADER, RefusalReason, RequestKey, ServiceName,
};
use egretseam_routing::PrefixKey;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// Longest time until its deadline that a caller may ask for; a longer one is cut to this.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(3_600);
/// Longest request id that is accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// One authenticated request with its body.
pub(crate) struct CallerRequest {
    pub(crate) id: String,
    pub(crate) organisation: OrganisationName,
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    /// Path and query to send to the target.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    pub(crate) key: Option<RequestKey>,
    /// Whether it may be retried after an attempt that may have run it. Never true of a request
    /// with an idempotency key: those are retried only at the incarnation that the key is bound to.
    pub(crate) retryable: bool,
    /// Whether it goes to a model engine.
    pub(crate) is_model: bool,
    pub(crate) prefix: PrefixKey,
    pub(crate) arrived: Instant,
}

impl CallerRequest {
    /// Digest that distinguishes different requests with the same idempotency key.
    pub(crate) fn digest(&self) -> ChunkDigest {
        let head = format!("{} {} {}\n", self.method, self.service, self.path);
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        ChunkDigest::of(&bytes)
    }
}

/// The fields of a model request that routing uses; the body is forwarded unchanged.
#[derive(Deserialize)]
struct ModelRequest {
    model: String,
    #[serde(default)]
    prompt: Option<serde_json::Value>,
    #[serde(default)]
    messages: Option<Vec<ChatMessage>>,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

#[derive(Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

/// Serves the HTTP requests of callers.
pub(crate) struct CallerHandler {
    shared: Rc<EntryShared>,
}

impl CallerHandler {
    pub(crate) fn new(shared: Rc<EntryShared>) -> Self {
        Self { shared }
    }

    async fn respond(&self, mut http_request: Request) -> Result<HttpReply, FailureReport> {
        let path = http_request.path().to_owned();
        match path.as_str() {
            "/healthz" => return Ok(text_reply(StatusCode::OK, "ok\n")),
            "/readyz" => return Ok(self.readiness()),
            _ => {}
        }
        let organisation = self.authenticate(http_request.headers())?;
        match (http_request.method(), path.as_str()) {
            (&Method::GET, "/v1/addresses") => Ok(self.addresses(&http_request, &organisation)),
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                let request = self.read_model_request(&mut http_request, organisation).await?;
                forward::forward(&self.shared, request).await
            }
            (_, "/v1/addresses" | "/v1/models" | "/v1/completions" | "/v1/chat/completions") => {
                let detail = http_request.method().to_string();
                Err(FailureReport::not_run(RefusalReason::MethodNotAllowed, detail))
            }
            (_, path) if path.starts_with("/services/") => {
                let request = self.read_service_request(&mut http_request, organisation).await?;
                forward::forward(&self.shared, request).await
            }
            _ => Err(FailureReport::not_run(RefusalReason::NotFound, path)),
        }
    }

    fn readiness(&self) -> HttpReply {
        if self.shared.is_stopping() {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready: stopping\n");
        }
        if self.shared.lease_left().is_zero() {
            let text = "not ready: the configuration is unconfirmed\n";
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, text);
        }
        text_reply(StatusCode::OK, "ready\n")
    }

    /// Finds the organisation of an API key. Compares digests of the randomly generated keys,
    /// never the keys themselves, so the time it takes reveals nothing about any key.
    fn authenticate(&self, headers: &HeaderMap) -> Result<OrganisationName, FailureReport> {
        let unauthorized =
            || FailureReport::not_run(RefusalReason::Unauthorized, "no valid API key");
        let key = bearer_token(headers).ok_or_else(unauthorized)?;
        let digest = ChunkDigest::of(key.as_bytes());
        let view = self.shared.view();
        if view.organisations.is_empty() && self.shared.lease_left().is_zero() {
            let detail = "the configuration is unconfirmed";
            return Err(FailureReport::not_run(RefusalReason::LeaseExpired, detail));
        }
        let found =
            view.organisations.iter().find(|(_, record)| record.spec.key_digests.contains(&digest));
        found.map(|(name, _)| name.clone()).ok_or_else(unauthorized)
    }

    fn addresses(&self, http_request: &Request, organisation: &OrganisationName) -> HttpReply {
        let query = http_request.uri().query().unwrap_or_default();
        let zone = query.split('&').find_map(|pair| pair.strip_prefix("zone="));
        let port = http_request.peer_addr().map_or(0, |peer| u64::from(peer.port()));
        let list = addresses::list_for(&self.shared, organisation, zone, port);
        json_reply(StatusCode::OK, &list)
    }

    fn models(&self) -> HttpReply {
        let view = self.shared.view();
        let is_model = |profile: &_| {
            view.profiles.get(profile).is_some_and(|record| record.spec.weights.is_some())
        };
        let bound = view.services.iter().filter(|(_, binding)| is_model(&binding.profile));
        let data =
            bound.map(|(name, _)| ModelItem { id: name.to_string(), object: "model" }).collect();
        json_reply(StatusCode::OK, &ModelList { object: "list", data })
    }

    async fn read_model_request(
        &self,
        http_request: &mut Request,
        organisation: OrganisationName,
    ) -> Result<CallerRequest, FailureReport> {
        let path = http_request.path().to_owned();
        let mut request = self.read_request(http_request, organisation, path).await?;
        let bad_request =
            |detail: String| FailureReport::not_run(RefusalReason::BadRequest, detail);
        let parsed: ModelRequest =
            serde_json::from_slice(&request.body).map_err(|e| bad_request(e.to_string()))?;
        request.service = ServiceName::try_from(parsed.model.as_str())
            .map_err(|error| bad_request(format!("model: {error}")))?;
        request.prefix = PrefixKey::of(&prompt_text(&parsed));
        request.is_model = true;
        // Generating text has no side effects, so it is retryable unless the caller gave a key.
        request.retryable = request.key.is_none();
        Ok(request)
    }

    async fn read_service_request(
        &self,
        http_request: &mut Request,
        organisation: OrganisationName,
    ) -> Result<CallerRequest, FailureReport> {
        let rest = http_request.path().trim_start_matches("/services/").to_owned();
        let (service, path) = rest.split_once('/').unwrap_or((rest.as_str(), ""));
        let service = ServiceName::try_from(service)
            .map_err(|error| FailureReport::not_run(RefusalReason::NotFound, error.to_string()))?;
        let query = http_request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
        let mut request =
            self.read_request(http_request, organisation, format!("/{path}{query}")).await?;
        request.service = service;
        // Only the safe methods of HTTP: services differ in whether their PUT and DELETE are
        // idempotent.
        request.retryable = matches!(request.method, Method::GET | Method::HEAD | Method::OPTIONS)
            && request.key.is_none();
        Ok(request)
    }

    async fn read_request(
        &self,
        http_request: &mut Request,
        organisation: OrganisationName,
        path: String,
    ) -> Result<CallerRequest, FailureReport> {
        let arrived = Instant::now();
        let headers = http_request.headers().clone();
        let deadline = arrived + self.time_limit(&headers)?;
        let key = header_text(&headers, IDEMPOTENCY_HEADER).map(RequestKey::try_from).transpose();
        let key = key.map_err(|error| {
            FailureReport::not_run(RefusalReason::BadRequest, error.to_string())
        })?;
        let limit = self.shared.options.max_body_bytes;
        let method = http_request.method().clone();
        let body = read_body(&mut http_request.take_payload(), limit).await?;
        Ok(CallerRequest {
            id: self.request_id(&headers),
            organisation,
            service: ServiceName::try_from("none").expect("a valid name"),
            method,
            path,
            headers,
            body,
            deadline,
            key,
            retryable: false,
            is_model: false,
            prefix: PrefixKey::default(),
            arrived,
        })
    }

    fn time_limit(&self, headers: &HeaderMap) -> Result<Duration, FailureReport> {
        let Some(text) = header_text(headers, DEADLINE_HEADER) else {
            return Ok(self.shared.options.default_deadline);
        };
        let millis: u64 = text.parse().map_err(|_| {
            let detail = format!("{DEADLINE_HEADER} is not a number of milliseconds");
            FailureReport::not_run(RefusalReason::BadRequest, detail)
        })?;
        Ok(Duration::from_millis(millis).min(MAX_TIME_LIMIT))
    }

    /// Returns the request id that the caller gave if it is short printable ASCII, otherwise a new
    /// one.
    fn request_id(&self, headers: &HeaderMap) -> String {
        let is_valid = |id: &&str| {
            !id.is_empty()
                && id.len() <= MAX_REQUEST_ID_BYTES
                && id.chars().all(|c| c.is_ascii_graphic())
        };
        if let Some(id) = header_text(headers, REQUEST_ID_HEADER).filter(is_valid) {
            return id.to_owned();
        }
        let number = self.shared.assigned_request_ids.get() + 1;
        self.shared.assigned_request_ids.set(number);
        format!("{}-{:x}-{number}", self.shared.options.name, self.shared.options.incarnation.0)
    }
}

/// Text of the prompt, for prefix routing: prompts with a common prefix can share an engine's
/// cache.
fn prompt_text(request: &ModelRequest) -> Vec<u8> {
    let mut text = Vec::new();
    if let Some(prompt) = &request.prompt {
        push_value(&mut text, prompt);
    }
    for message in request.messages.iter().flatten() {
        text.extend_from_slice(message.role.as_bytes());
        push_value(&mut text, &message.content);
    }
    text
}

fn push_value(text: &mut Vec<u8>, value: &serde_json::Value) {
    match value {
        serde_json::Value::String(string) => text.extend_from_slice(string.as_bytes()),
        other => text.extend_from_slice(other.to_string().as_bytes()),
    }
}

impl HttpHandler for CallerHandler {
    fn handle(self: Rc<Self>, http_request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move {
            match self.respond(http_request).await {
                Ok(reply) => reply,
                Err(report) => {
                    self.shared.metrics.count_refusal(&report);
                    failure_reply(&report)
                }
            }
        })
    }
}

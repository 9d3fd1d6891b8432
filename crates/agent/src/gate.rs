//! The gate: the HTTP proxy in front of the target, which makes the final admission check.
//!
//! An entry routes by state that may be outdated when the request arrives. The gate admits a
//! request only by the current state: the agent's incarnation, the target's state, the revision of
//! the profile, the version that the target serves, the time left, and the number of requests in
//! progress.

mod relay;
mod stream_end;

use self::stream_end::StreamEnd;
use crate::{
    keys::{KeyLookup, KeyResult, StoredResponse},
    runtime::TargetKind,
    shared::{AgentShared, InFlightGuard},
};
use actix_http::{
    HttpMessage, Method, Request, Response, StatusCode,
    header::{HeaderMap, HeaderName},
};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use egretseam_http::{
    HttpHandler, HttpReply, check_framing, classify_send_error, failure_reply, forwarded_headers,
    header_text, read_body, text_reply,
};
use egretseam_proto::{
    DEADLINE_HEADER, FailureReport, IDEMPOTENCY_HEADER, INCARNATION_HEADER, KEY_REFUSED_HEADER,
    ORGANISATION_HEADER, OrganisationName, REQUEST_ID_HEADER, RESUME_HEADER, REVISION_HEADER,
    RefusalReason, RequestKey, RequestVerdict, TargetState, VERSION_HEADER,
};
use futures::{StreamExt, future::LocalBoxFuture};
use std::{rc::Rc, time::Duration};
use tokio::{sync::watch, time::Instant};

/// Largest request body in bytes; entries have a lower limit.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Largest response to a keyed request, in bytes. A larger one fails the request.
const MAX_STORED_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Age of the last confirmation of the configuration by any entry, beyond which keyed requests are
/// rejected: the replicated log's clock, by which keys expire, must not lag behind by more than the
/// key table's margin.
pub(crate) const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(30);
/// The gate admits `max_in_flight / LIMIT_HEADROOM_DIVISOR` more requests than the limit that
/// entries keep. Entries know each other's load only as of the last reports; without headroom,
/// requests within the limit that they know would be rejected by one gate after another.
const LIMIT_HEADROOM_DIVISOR: u32 = 4;
/// Time left for a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Whether a rejection certifies that its idempotency key will never run at this target.
#[derive(Clone, Copy, PartialEq, Eq)]
enum KeyFinality {
    /// The key may still run here.
    NotFinal,
    /// The key has not run here and never will, so that the entry may bind it to another target.
    Final,
}

/// A request that the gate has admitted.
struct AdmittedRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deadline: Instant,
    arrived: Instant,
}

/// Serves the requests that entries send.
pub(crate) struct GateHandler {
    shared: Rc<AgentShared>,
}

impl GateHandler {
    pub(crate) fn new(shared: Rc<AgentShared>) -> Self {
        Self { shared }
    }

    async fn respond(&self, mut request: Request) -> HttpReply {
        if request.path() == "/healthz" {
            return text_reply(StatusCode::OK, "ok\n");
        }
        self.shared.counters.requests.inc();
        let keyed = match idempotency_key(request.headers()) {
            Ok(keyed) => keyed,
            Err(report) => return self.reject(&report, KeyFinality::NotFinal),
        };
        // Counted before the first await, so that a drain cannot end between the check and the run.
        let guard = self.shared.begin_request();
        if let Err(report) = self.admit(request.headers()) {
            // A key that is running or has run here gets its result even while the target leaves.
            return match keyed {
                Some((organisation, key)) => {
                    self.respond_to_known_key(&organisation, &key, &report, request.headers()).await
                }
                None => self.reject(&report, KeyFinality::NotFinal),
            };
        }
        let body = match read_body(&mut request.take_payload(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(report) => return self.reject(&report, KeyFinality::NotFinal),
        };
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let admitted = AdmittedRequest {
            method: request.method().clone(),
            path,
            headers: request.headers().clone(),
            body,
            deadline: Instant::now() + time_left(request.headers()),
            arrived: Instant::now(),
        };
        match keyed {
            Some((organisation, key)) => self.run_keyed(admitted, organisation, key, guard).await,
            None => self.run_unkeyed(admitted, guard).await,
        }
    }

    fn reject(&self, report: &FailureReport, finality: KeyFinality) -> HttpReply {
        self.shared.metrics.count_refusal(report);
        let mut reply = failure_reply(report);
        if finality == KeyFinality::Final {
            let name = HeaderName::from_static(KEY_REFUSED_HEADER);
            reply.headers_mut().insert(name, actix_http::header::HeaderValue::from_static("1"));
        }
        reply
    }

    /// Checks whether the target can run this request now.
    fn admit(&self, headers: &HeaderMap) -> Result<(), FailureReport> {
        let shared = &self.shared;
        let number = |name| header_text(headers, name).and_then(|text| text.parse::<u64>().ok());
        if number(INCARNATION_HEADER) != Some(shared.options.incarnation.0) {
            let detail = "the request names another run of this agent";
            return Err(FailureReport::not_run(RefusalReason::OtherIncarnation, detail));
        }
        if shared.state.get() != TargetState::Serving {
            let detail = format!("the target is {:?}", shared.state.get());
            return Err(FailureReport::not_run(RefusalReason::Leaving, detail));
        }
        let Some((_, profile)) = shared.profile() else {
            let detail = "no profile governs this target";
            return Err(FailureReport::not_run(RefusalReason::Leaving, detail));
        };
        if number(REVISION_HEADER).is_none_or(|revision| revision < profile.revision.0) {
            let detail = format!("the profile is at revision {}", profile.revision);
            return Err(FailureReport::not_run(RefusalReason::OutdatedRevision, detail));
        }
        self.check_version(headers)?;
        if number(DEADLINE_HEADER) == Some(0) {
            let detail = "no time is left";
            return Err(FailureReport::not_run(RefusalReason::DeadlineExceeded, detail));
        }
        let limit = profile.spec.max_in_flight
            + profile.spec.max_in_flight.div_ceil(LIMIT_HEADROOM_DIVISOR);
        if shared.in_flight.get() > limit {
            let detail = format!("{} requests are in progress", shared.in_flight.get() - 1);
            return Err(FailureReport::not_run(RefusalReason::Overloaded, detail));
        }
        Ok(())
    }

    fn check_version(&self, headers: &HeaderMap) -> Result<(), FailureReport> {
        let Some(expected) = header_text(headers, VERSION_HEADER) else { return Ok(()) };
        let serving = self.shared.serving.borrow();
        let served = serving.as_ref().map(|serving| serving.manifest.to_string());
        if served.as_deref() == Some(expected) {
            return Ok(());
        }
        let detail = "the target serves another version";
        Err(FailureReport::not_run(RefusalReason::VersionMismatch, detail))
    }

    /// Responds to a keyed request that was not admitted: with its result if the key is known, else
    /// with a rejection. If the agent is stopping, it also marks an unknown key as never to run
    /// here, so that the entry may bind it to another target.
    async fn respond_to_known_key(
        &self,
        organisation: &OrganisationName,
        key: &RequestKey,
        report: &FailureReport,
        headers: &HeaderMap,
    ) -> HttpReply {
        let shared = &self.shared;
        if report.reason == RefusalReason::OtherIncarnation {
            // Whether an earlier incarnation has run the key is not known here.
            return self.reject(report, KeyFinality::NotFinal);
        }
        // If a temporary condition made a rejection final, a service with one target could never
        // run the key again. So only an agent that is stopping rejects a key for good.
        if !shared.stopping.get() && !shared.keys.borrow().contains(organisation, key) {
            return self.reject(report, KeyFinality::NotFinal);
        }
        let clock = shared.log_clock.get();
        let rejected = shared.keys.borrow_mut().reject(organisation, key, report.reason, clock);
        if rejected {
            return self.reject(report, KeyFinality::Final);
        }
        let lookup = shared.keys.borrow_mut().begin(organisation, key, clock);
        let deadline = Instant::now() + time_left(headers);
        match lookup {
            KeyLookup::Running(result) => self.await_result(result, deadline).await,
            KeyLookup::Finished(result) => self.key_reply(result),
            KeyLookup::Rejected(_) => self.reject(report, KeyFinality::Final),
            KeyLookup::New(_) | KeyLookup::Full => self.reject(report, KeyFinality::NotFinal),
        }
    }

    async fn run_unkeyed(&self, admitted: AdmittedRequest, guard: InFlightGuard) -> HttpReply {
        let response = match send_to_target(&self.shared, &admitted).await {
            Ok(response) => response,
            Err(report) => return self.reject(&report, KeyFinality::NotFinal),
        };
        let seconds = admitted.arrived.elapsed().as_secs_f64();
        self.shared.counters.first_byte.observe(seconds);
        relay::relay(self.shared.clone(), &admitted, response, guard)
    }

    /// Runs a key once, in a separate task: it continues if the entry that sent the request dies,
    /// and retries of the key get its result.
    async fn run_keyed(
        &self,
        admitted: AdmittedRequest,
        organisation: OrganisationName,
        key: RequestKey,
        guard: InFlightGuard,
    ) -> HttpReply {
        let shared = &self.shared;
        let clock = shared.log_clock.get();
        let deadline = admitted.deadline;
        if !shared.confirmed_within(MAX_CONFIRMATION_AGE) {
            let detail = "no entry confirms the configuration";
            let report = FailureReport::not_run(RefusalReason::LeaseExpired, detail);
            return self
                .respond_to_known_key(&organisation, &key, &report, &admitted.headers)
                .await;
        }
        let lookup = shared.keys.borrow_mut().begin(&organisation, &key, clock);
        match lookup {
            KeyLookup::New(sender) => {
                shared.counters.keys_run.inc();
                shared.counters.keys.set(shared.keys.borrow().len() as i64);
                let result = sender.subscribe();
                let task = run_key(shared.clone(), admitted, organisation, key, sender, guard);
                actix_rt::spawn(task);
                self.await_result(result, deadline).await
            }
            KeyLookup::Running(result) => {
                shared.counters.keys_found.inc();
                self.await_result(result, deadline).await
            }
            KeyLookup::Finished(result) => {
                shared.counters.keys_found.inc();
                self.key_reply(result)
            }
            KeyLookup::Rejected(reason) => {
                let detail = "the key was refused here before";
                self.reject(&FailureReport::not_run(reason, detail), KeyFinality::Final)
            }
            KeyLookup::Full => {
                let detail = "no room to remember another key";
                let report = FailureReport::not_run(RefusalReason::Overloaded, detail);
                self.reject(&report, KeyFinality::NotFinal)
            }
        }
    }

    async fn await_result(
        &self,
        mut result: watch::Receiver<Option<KeyResult>>,
        deadline: Instant,
    ) -> HttpReply {
        let finished = tokio::time::timeout_at(deadline, result.wait_for(Option::is_some)).await;
        let finished = match finished {
            Ok(Ok(finished)) => finished.clone(),
            Ok(Err(_)) | Err(_) => None,
        };
        match finished {
            Some(result) => self.key_reply(result),
            None => {
                let detail = "the key is still running";
                self.reject(
                    &FailureReport::may_have_run(RefusalReason::DeadlineExceeded, detail),
                    KeyFinality::NotFinal,
                )
            }
        }
    }

    fn key_reply(&self, result: KeyResult) -> HttpReply {
        match result {
            KeyResult::Response(response) => {
                let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
                let mut builder = Response::build(status);
                for (name, value) in &response.headers {
                    builder.append_header((name.as_str(), value.as_str()));
                }
                builder.body(response.body.clone()).map_into_boxed_body()
            }
            KeyResult::Failed(report) => self.reject(&report, KeyFinality::NotFinal),
            KeyResult::ResponseDropped => self.reject(
                &FailureReport {
                    reason: RefusalReason::OutcomeUnknown,
                    verdict: RequestVerdict::Ran,
                    detail: "the key has run; its answer is no longer kept".to_owned(),
                },
                KeyFinality::NotFinal,
            ),
        }
    }
}

async fn run_key(
    shared: Rc<AgentShared>,
    admitted: AdmittedRequest,
    organisation: OrganisationName,
    key: RequestKey,
    sender: watch::Sender<Option<KeyResult>>,
    _guard: InFlightGuard,
) {
    let result = match collect_response(&shared, &admitted).await {
        Ok(response) => KeyResult::Response(Rc::new(response)),
        Err(report) => KeyResult::Failed(report),
    };
    shared.keys.borrow_mut().finish(&organisation, &key, result.clone());
    sender.send_replace(Some(result));
}

async fn collect_response(
    shared: &Rc<AgentShared>,
    admitted: &AdmittedRequest,
) -> Result<StoredResponse, FailureReport> {
    let mut response = send_to_target(shared, admitted).await?;
    let broken = |detail: String| FailureReport::may_have_run(RefusalReason::BrokenAnswer, detail);
    let mut stream_end = StreamEnd::of(shared, &response);
    let mut body = BytesMut::new();
    while let Some(piece) = response.next().await {
        let piece = piece.map_err(|error| broken(error.to_string()))?;
        if body.len() + piece.len() > MAX_STORED_RESPONSE_BYTES {
            return Err(broken("the answer is too large to keep".to_owned()));
        }
        shared.pacer.charge(piece.len());
        stream_end.push(&piece);
        body.extend_from_slice(&piece);
    }
    if !stream_end.is_reached() {
        return Err(broken("the stream ended before it was whole".to_owned()));
    }
    shared.counters.answered.inc();
    let text = |(name, value): (&HeaderName, &actix_http::header::HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    let mut headers: Vec<_> = forwarded_headers(response.headers()).filter_map(text).collect();
    if let Some(version) = header_text(response.headers(), VERSION_HEADER) {
        headers.push((VERSION_HEADER.to_owned(), version.to_owned()));
    }
    Ok(StoredResponse { status: response.status().as_u16(), headers, body: body.freeze() })
}

/// Sends a request to the target and checks that the response comes from the expected version.
async fn send_to_target(
    shared: &AgentShared,
    admitted: &AdmittedRequest,
) -> Result<ClientResponse, FailureReport> {
    let url = format!("http://{}{}", shared.options.target_address, admitted.path);
    let left = admitted.deadline.saturating_duration_since(Instant::now());
    let mut request = shared.client.request(admitted.method.clone(), url).timeout(left);
    for (name, value) in forwarded_headers(&admitted.headers) {
        request.headers_mut().append(name.clone(), value.clone());
    }
    for name in [REQUEST_ID_HEADER, ORGANISATION_HEADER, RESUME_HEADER, DEADLINE_HEADER] {
        if let Some(value) = header_text(&admitted.headers, name) {
            request = request.insert_header((name, value));
        }
    }
    shared.pacer.charge(admitted.body.len());
    let response = request.send_body(admitted.body.clone()).await;
    let response = response.map_err(|error| classify_send_error(&error))?;
    check_framing(&response, &admitted.method)?;
    let expected = header_text(&admitted.headers, VERSION_HEADER);
    let actual = header_text(response.headers(), VERSION_HEADER);
    if is_model(shared) && expected.is_some() && actual != expected {
        // An earlier agent process or an operator switched the engine without this agent. Without
        // this check, callers would get responses from weights that the profile does not name.
        let detail = "the engine answered from another version";
        return Err(FailureReport::may_have_run(RefusalReason::VersionMismatch, detail));
    }
    Ok(response)
}

impl HttpHandler for GateHandler {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move { self.respond(request).await })
    }
}

fn idempotency_key(
    headers: &HeaderMap,
) -> Result<Option<(OrganisationName, RequestKey)>, FailureReport> {
    let Some(key) = header_text(headers, IDEMPOTENCY_HEADER) else { return Ok(None) };
    let bad = |detail: String| FailureReport::not_run(RefusalReason::BadRequest, detail);
    let organisation = header_text(headers, ORGANISATION_HEADER).unwrap_or_default();
    let organisation =
        OrganisationName::try_from(organisation).map_err(|error| bad(error.to_string()))?;
    let key = RequestKey::try_from(key).map_err(|error| bad(error.to_string()))?;
    Ok(Some((organisation, key)))
}

fn time_left(headers: &HeaderMap) -> Duration {
    let millis = header_text(headers, DEADLINE_HEADER).and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

fn is_model(shared: &AgentShared) -> bool {
    shared.options.kind == TargetKind::Model
}

fn is_event_stream(response: &ClientResponse) -> bool {
    header_text(response.headers(), "content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}

//! The last gate before the target.
//!
//! Whatever an entry believed when it sent a request, it is admitted here only by what is true
//! now: the run it was meant for, the version it was routed for, the configuration it was routed
//! by, the time it has left, and whether the target takes new work at all.

mod relay;

use crate::{
    keys::{KeptAnswer, KeyEntry, KeyResult},
    runtime::TargetKind,
    shared::{AgentShared, FlightGuard},
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
/// Largest kept answer in bytes.
const MAX_KEPT_ANSWER: usize = 4 * 1024 * 1024;
/// Silence of all entries after which keyed requests are refused: the log's clock, by which keys
/// are forgotten, must not lag further than the key table's margin.
pub(crate) const KEYED_SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// Part of the limit by which a gate admits more than entries aim at. Entries know each other's
/// load only as of the last reports; without slack, requests that entries admitted in good faith
/// bounce between gates.
const GATE_SLACK: u32 = 4;
/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// The event that ends a model's stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Whether a refusal says that its key will never run here.
#[derive(Clone, Copy, PartialEq, Eq)]
enum KeyFinality {
    /// Nothing is certified.
    Open,
    /// The key has not run here and never will.
    NeverHere,
}

/// A request past the checks.
struct GateCall {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deadline: Instant,
    arrived: Instant,
}

/// Answers entries.
pub(crate) struct GateHandler {
    shared: Rc<AgentShared>,
}

impl GateHandler {
    pub(crate) fn new(shared: Rc<AgentShared>) -> Self {
        Self { shared }
    }

    async fn answer(&self, mut request: Request) -> HttpReply {
        if request.path() == "/healthz" {
            return text_reply(StatusCode::OK, "ok\n");
        }
        self.shared.counters.requests.inc();
        let keyed = match keyed_of(request.headers()) {
            Ok(keyed) => keyed,
            Err(report) => return self.refuse(&report, KeyFinality::Open),
        };
        // Counted in before the first wait, so that a drain cannot end between check and run.
        let flight = self.shared.enter();
        if let Err(report) = self.admit(request.headers()) {
            // A key that already runs or has run here is answered even while the target leaves.
            return match keyed {
                Some((organisation, key)) => {
                    self.answer_known(&organisation, &key, &report, request.headers()).await
                }
                None => self.refuse(&report, KeyFinality::Open),
            };
        }
        let body = match read_body(&mut request.take_payload(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(report) => return self.refuse(&report, KeyFinality::Open),
        };
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let call = GateCall {
            method: request.method().clone(),
            path,
            headers: request.headers().clone(),
            body,
            deadline: Instant::now() + deadline_of(request.headers()),
            arrived: Instant::now(),
        };
        match keyed {
            Some((organisation, key)) => self.run_keyed(call, organisation, key, flight).await,
            None => self.run_plain(call, flight).await,
        }
    }

    fn refuse(&self, report: &FailureReport, finality: KeyFinality) -> HttpReply {
        self.shared.metrics.count_refusal(report);
        let mut reply = failure_reply(report);
        if finality == KeyFinality::NeverHere {
            let name = HeaderName::from_static(KEY_REFUSED_HEADER);
            reply.headers_mut().insert(name, actix_http::header::HeaderValue::from_static("1"));
        }
        reply
    }

    /// Whether the target takes this request now.
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
        let limit = profile.spec.max_in_flight + profile.spec.max_in_flight.div_ceil(GATE_SLACK);
        if shared.in_flight.get() > limit {
            let detail = format!("{} requests are in progress", shared.in_flight.get() - 1);
            return Err(FailureReport::not_run(RefusalReason::Overloaded, detail));
        }
        Ok(())
    }

    fn check_version(&self, headers: &HeaderMap) -> Result<(), FailureReport> {
        let Some(expected) = header_text(headers, VERSION_HEADER) else { return Ok(()) };
        let serving = self.shared.serving.borrow();
        let held = serving.as_ref().map(|serving| serving.manifest.to_string());
        if held.as_deref() == Some(expected) {
            return Ok(());
        }
        let detail = "the target serves another version";
        Err(FailureReport::not_run(RefusalReason::VersionMismatch, detail))
    }

    /// A keyed request that would be refused: answers it if the key is known, else marks the key
    /// as refused for good, so that the entry may bind it elsewhere.
    async fn answer_known(
        &self,
        organisation: &OrganisationName,
        key: &RequestKey,
        report: &FailureReport,
        headers: &HeaderMap,
    ) -> HttpReply {
        let shared = &self.shared;
        if report.reason == RefusalReason::OtherIncarnation {
            // What an earlier run did with the key is not known here.
            return self.refuse(report, KeyFinality::Open);
        }
        // Failure guarded: a service with one target is refused a key once, for a moment's reason,
        // and could never run it again. Only a target that leaves for good refuses a key for good.
        if !shared.stopping.get() && !shared.keys.borrow().knows(organisation, key) {
            return self.refuse(report, KeyFinality::Open);
        }
        let clock = shared.clock.get();
        let refused = shared.keys.borrow_mut().refuse(organisation, key, report.reason, clock);
        if refused {
            return self.refuse(report, KeyFinality::NeverHere);
        }
        let entry = shared.keys.borrow_mut().enter(organisation, key, clock);
        let deadline = Instant::now() + deadline_of(headers);
        match entry {
            KeyEntry::Running(result) => self.await_key(result, deadline).await,
            KeyEntry::Ended(result) => self.key_reply(result),
            KeyEntry::Refused(_) => self.refuse(report, KeyFinality::NeverHere),
            KeyEntry::Fresh(_) | KeyEntry::Full => self.refuse(report, KeyFinality::Open),
        }
    }

    async fn run_plain(&self, call: GateCall, flight: FlightGuard) -> HttpReply {
        let response = match send(&self.shared, &call).await {
            Ok(response) => response,
            Err(report) => return self.refuse(&report, KeyFinality::Open),
        };
        let seconds = call.arrived.elapsed().as_secs_f64();
        self.shared.counters.first_byte.observe(seconds);
        relay::relay(self.shared.clone(), &call, response, flight)
    }

    /// Runs a key once. The run is a task of its own: it goes on when the entry that asked for it
    /// dies, and whoever asks again is given its result.
    async fn run_keyed(
        &self,
        call: GateCall,
        organisation: OrganisationName,
        key: RequestKey,
        flight: FlightGuard,
    ) -> HttpReply {
        let shared = &self.shared;
        let clock = shared.clock.get();
        let deadline = call.deadline;
        if !shared.confirmed_within(KEYED_SILENCE_LIMIT) {
            let detail = "no entry confirms the configuration";
            let report = FailureReport::not_run(RefusalReason::LeaseExpired, detail);
            return self.answer_known(&organisation, &key, &report, &call.headers).await;
        }
        let entry = shared.keys.borrow_mut().enter(&organisation, &key, clock);
        match entry {
            KeyEntry::Fresh(sender) => {
                shared.counters.keys_run.inc();
                shared.counters.keys.set(shared.keys.borrow().len() as i64);
                let result = sender.subscribe();
                let task = run_key(shared.clone(), call, organisation, key, sender, flight);
                actix_rt::spawn(task);
                self.await_key(result, deadline).await
            }
            KeyEntry::Running(result) => {
                shared.counters.keys_found.inc();
                self.await_key(result, deadline).await
            }
            KeyEntry::Ended(result) => {
                shared.counters.keys_found.inc();
                self.key_reply(result)
            }
            KeyEntry::Refused(reason) => {
                let detail = "the key was refused here before";
                self.refuse(&FailureReport::not_run(reason, detail), KeyFinality::NeverHere)
            }
            KeyEntry::Full => {
                let detail = "no room to remember another key";
                let report = FailureReport::not_run(RefusalReason::Overloaded, detail);
                self.refuse(&report, KeyFinality::Open)
            }
        }
    }

    async fn await_key(
        &self,
        mut result: watch::Receiver<Option<KeyResult>>,
        deadline: Instant,
    ) -> HttpReply {
        let ended = tokio::time::timeout_at(deadline, result.wait_for(Option::is_some)).await;
        let ended = match ended {
            Ok(Ok(ended)) => ended.clone(),
            Ok(Err(_)) | Err(_) => None,
        };
        match ended {
            Some(result) => self.key_reply(result),
            None => {
                let detail = "the key is still running";
                self.refuse(
                    &FailureReport::may_have_run(RefusalReason::DeadlineExceeded, detail),
                    KeyFinality::Open,
                )
            }
        }
    }

    fn key_reply(&self, result: KeyResult) -> HttpReply {
        match result {
            KeyResult::Answered(answer) => {
                let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
                let mut builder = Response::build(status);
                for (name, value) in &answer.headers {
                    builder.append_header((name.as_str(), value.as_str()));
                }
                builder.body(answer.body.clone()).map_into_boxed_body()
            }
            KeyResult::Failed(report) => self.refuse(&report, KeyFinality::Open),
            KeyResult::Forgotten => self.refuse(
                &FailureReport {
                    reason: RefusalReason::OutcomeUnknown,
                    verdict: RequestVerdict::Ran,
                    detail: "the key has run; its answer is no longer kept".to_owned(),
                },
                KeyFinality::Open,
            ),
        }
    }
}

async fn run_key(
    shared: Rc<AgentShared>,
    call: GateCall,
    organisation: OrganisationName,
    key: RequestKey,
    sender: watch::Sender<Option<KeyResult>>,
    _flight: FlightGuard,
) {
    let result = match run_to_end(&shared, &call).await {
        Ok(answer) => KeyResult::Answered(Rc::new(answer)),
        Err(report) => KeyResult::Failed(report),
    };
    shared.keys.borrow_mut().end(&organisation, &key, result.clone());
    sender.send_replace(Some(result));
}

async fn run_to_end(
    shared: &Rc<AgentShared>,
    call: &GateCall,
) -> Result<KeptAnswer, FailureReport> {
    let mut response = send(shared, call).await?;
    let broken = |detail: String| FailureReport::may_have_run(RefusalReason::BrokenAnswer, detail);
    let mut body = BytesMut::new();
    while let Some(piece) = response.next().await {
        let piece = piece.map_err(|error| broken(error.to_string()))?;
        if body.len() + piece.len() > MAX_KEPT_ANSWER {
            return Err(broken("the answer is too large to keep".to_owned()));
        }
        shared.budget.charge(piece.len());
        body.extend_from_slice(&piece);
    }
    if is_event_stream(&response) && is_model(shared) && !has_done_event(&body) {
        return Err(broken("the stream ended without its last event".to_owned()));
    }
    shared.counters.answered.inc();
    let text = |(name, value): (&HeaderName, &actix_http::header::HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    let mut headers: Vec<_> = forwarded_headers(response.headers()).filter_map(text).collect();
    if let Some(version) = header_text(response.headers(), VERSION_HEADER) {
        headers.push((VERSION_HEADER.to_owned(), version.to_owned()));
    }
    Ok(KeptAnswer { status: response.status().as_u16(), headers, body: body.freeze() })
}

/// Sends a request to the target and checks that the answer is from the version it was meant for.
async fn send(shared: &AgentShared, call: &GateCall) -> Result<ClientResponse, FailureReport> {
    let url = format!("http://{}{}", shared.options.target_address, call.path);
    let left = call.deadline.saturating_duration_since(Instant::now());
    let mut request = shared.client.request(call.method.clone(), url).timeout(left);
    for (name, value) in forwarded_headers(&call.headers) {
        request.headers_mut().append(name.clone(), value.clone());
    }
    for name in [REQUEST_ID_HEADER, ORGANISATION_HEADER, RESUME_HEADER, DEADLINE_HEADER] {
        if let Some(value) = header_text(&call.headers, name) {
            request = request.insert_header((name, value));
        }
    }
    shared.budget.charge(call.body.len());
    let response = request.send_body(call.body.clone()).await;
    let response = response.map_err(|error| classify_send_error(&error))?;
    check_framing(&response, &call.method)?;
    let expected = header_text(&call.headers, VERSION_HEADER);
    let answered = header_text(response.headers(), VERSION_HEADER);
    if is_model(shared) && expected.is_some() && answered != expected {
        // Failure guarded: the engine was switched behind the agent's back, by an earlier agent or
        // by hand. It would show as an answer from weights that the profile does not name.
        let detail = "the engine answered from another version";
        return Err(FailureReport::may_have_run(RefusalReason::VersionMismatch, detail));
    }
    Ok(response)
}

impl HttpHandler for GateHandler {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move { self.answer(request).await })
    }
}

fn keyed_of(headers: &HeaderMap) -> Result<Option<(OrganisationName, RequestKey)>, FailureReport> {
    let Some(key) = header_text(headers, IDEMPOTENCY_HEADER) else { return Ok(None) };
    let bad = |detail: String| FailureReport::not_run(RefusalReason::BadRequest, detail);
    let organisation = header_text(headers, ORGANISATION_HEADER).unwrap_or_default();
    let organisation =
        OrganisationName::try_from(organisation).map_err(|error| bad(error.to_string()))?;
    let key = RequestKey::try_from(key).map_err(|error| bad(error.to_string()))?;
    Ok(Some((organisation, key)))
}

fn deadline_of(headers: &HeaderMap) -> Duration {
    let millis = header_text(headers, DEADLINE_HEADER).and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

fn is_model(shared: &AgentShared) -> bool {
    shared.options.kind == TargetKind::Model
}

fn is_event_stream(response: &ClientResponse) -> bool {
    header_text(response.headers(), "content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn has_done_event(bytes: &[u8]) -> bool {
    bytes.windows(DONE_EVENT.len()).any(|window| window == DONE_EVENT)
}

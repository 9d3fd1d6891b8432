//! A caller that follows the rules of the caller interface: it fetches the list of entry addresses,
//! caches it for its lifetime, retries at the next address after the verdict `not-run`, and checks
//! every response.

use awc::{Client, http::StatusCode};
use egretseam_fakes::{BookingLedger, ExpectedCompletion};
use egretseam_http::{ClientOptions, failure_from_headers, http_client};
use egretseam_proto::{ChunkDigest, IDEMPOTENCY_HEADER, RefusalReason, RequestVerdict};
use futures::StreamExt;
use serde::Deserialize;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};
use tokio::time::Instant;

/// Default timeout of one attempt, applied to the response head and again to the body.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of attempts for one request, each at the next address.
const MAX_ATTEMPTS: usize = 6;
/// Pause after an attempt that failed and may be retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Outcome of one request, including its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response was complete and correct.
    Answered,
    /// The response was complete, but has another status than 200 or 201, or no published version
    /// gives it to this request.
    Wrong,
    /// The verdict was `not-run`, or the last attempt failed to connect.
    NotRun,
    /// An error response said that the request may have run.
    MayHaveRun,
    /// The response began, but its body ended early or did not end within the timeout.
    CutOff,
    /// No response arrived, and the request may have reached the target.
    Lost,
}

/// Counts of requests by outcome.
#[derive(Debug, Default)]
pub struct CallerCounts {
    /// Requests started; retries are not counted.
    pub sent: AtomicU64,
    /// See [`CallOutcome::Answered`].
    pub answered: AtomicU64,
    /// See [`CallOutcome::NotRun`].
    pub not_run: AtomicU64,
    /// See [`CallOutcome::MayHaveRun`].
    pub may_have_run: AtomicU64,
    /// See [`CallOutcome::Wrong`].
    pub wrong: AtomicU64,
    /// See [`CallOutcome::Lost`].
    pub lost: AtomicU64,
    /// See [`CallOutcome::CutOff`].
    pub cut_off: AtomicU64,
    /// Attempts after the first one of a request.
    pub retried: AtomicU64,
    /// Bookings whose outcome contradicts the ledger: `not-run` but booked, answered but not booked
    /// exactly once, or any other outcome and booked more than once.
    pub false_verdicts: AtomicU64,
}

impl CallerCounts {
    fn count(&self, outcome: CallOutcome) {
        let counter = match outcome {
            CallOutcome::Answered => &self.answered,
            CallOutcome::Wrong => &self.wrong,
            CallOutcome::NotRun => &self.not_run,
            CallOutcome::MayHaveRun => &self.may_have_run,
            CallOutcome::CutOff => &self.cut_off,
            CallOutcome::Lost => &self.lost,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

#[derive(Deserialize)]
struct AddressItem {
    address: String,
}

#[derive(Deserialize)]
struct AddressList {
    addresses: Vec<AddressItem>,
    lifetime_seconds: u64,
}

/// A caller with a cached list of entry addresses, which it uses in turn.
pub struct CallerClient {
    client: Client,
    key: String,
    seeds: Vec<String>,
    addresses: RefCell<Vec<String>>,
    expires_at: Cell<Option<Instant>>,
    turn: Cell<usize>,
    attempt_timeout: Duration,
    counts: Arc<CallerCounts>,
}

/// A request, the same for every attempt.
struct CallerRequest<'a> {
    path: &'a str,
    body: &'a serde_json::Value,
    key: Option<&'a str>,
}

impl CallerClient {
    /// Creates a caller. It fetches the address list from `seeds`, and sends to them while it has
    /// no list.
    pub fn new(seeds: &[String], key: &str, counts: Arc<CallerCounts>) -> Self {
        Self {
            client: http_client(ClientOptions::default()),
            key: key.to_owned(),
            seeds: seeds.to_vec(),
            addresses: RefCell::default(),
            expires_at: Cell::new(None),
            turn: Cell::new(rand::random::<u16>() as usize),
            attempt_timeout: ATTEMPT_TIMEOUT,
            counts,
        }
    }

    /// Sets the timeout of one attempt. A frozen instance accepts connections but sends nothing,
    /// and its address stays on the list until the control members notice that it is missing.
    pub fn with_attempt_timeout(mut self, timeout: Duration) -> Self {
        self.attempt_timeout = timeout;
        self
    }

    /// Requests a completion of `tokens` tokens. It is correct if one of `versions` gives it.
    pub async fn complete(
        &self,
        service: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
        versions: &[ChunkDigest],
    ) -> CallOutcome {
        let body = serde_json::json!({
            "model": service, "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        let request = CallerRequest { path: "/v1/completions", body: &body, key: None };
        let is_expected = |text: &str| {
            versions.iter().any(|v| ExpectedCompletion::new(*v, prompt).text(tokens) == text)
        };
        let outcome = self
            .send_with_retries(&request, |bytes| {
                completion_text(bytes, stream).is_some_and(|text| is_expected(&text))
            })
            .await;
        self.record(outcome)
    }

    /// Books the order `id` with `id` as the idempotency key, and compares the outcome with the
    /// ledger.
    pub async fn book(&self, service: &str, id: &str, ledger: &BookingLedger) -> CallOutcome {
        let body = serde_json::json!({ "id": id });
        let path = format!("/services/{service}/orders");
        let request = CallerRequest { path: &path, body: &body, key: Some(id) };
        let outcome = self
            .send_with_retries(&request, |bytes| {
                let reply: Result<serde_json::Value, _> = serde_json::from_slice(bytes);
                reply.is_ok_and(|reply| reply["id"] == id && reply["run"] == 1)
            })
            .await;
        let booking_count = ledger.booking_count(id);
        let false_verdict = match outcome {
            CallOutcome::Answered => booking_count != 1,
            CallOutcome::NotRun => booking_count != 0,
            _ => booking_count > 1,
        };
        if false_verdict {
            self.counts.false_verdicts.fetch_add(1, Ordering::Relaxed);
        }
        self.record(outcome)
    }

    fn record(&self, outcome: CallOutcome) -> CallOutcome {
        self.counts.count(outcome);
        outcome
    }

    /// Sends to one address after the other until an outcome is final or `MAX_ATTEMPTS` is
    /// reached.
    async fn send_with_retries(
        &self,
        request: &CallerRequest<'_>,
        is_correct: impl Fn(&[u8]) -> bool,
    ) -> CallOutcome {
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        let mut outcome = CallOutcome::NotRun;
        for attempt in 0..MAX_ATTEMPTS {
            let addresses = self.addresses().await;
            let turn = self.turn.get();
            self.turn.set(turn + 1);
            let Some(address) = addresses.get(turn % addresses.len().max(1)) else { break };
            if attempt > 0 {
                self.counts.retried.fetch_add(1, Ordering::Relaxed);
            }
            outcome = self.send(address, request, &is_correct).await;
            // The idempotency key makes a retry safe, also when the outcome is unknown.
            let may_retry = outcome == CallOutcome::NotRun
                || (request.key.is_some()
                    && matches!(outcome, CallOutcome::Lost | CallOutcome::CutOff));
            if !may_retry {
                return outcome;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        outcome
    }

    async fn send(
        &self,
        address: &str,
        request: &CallerRequest<'_>,
        is_correct: &impl Fn(&[u8]) -> bool,
    ) -> CallOutcome {
        let url = format!("http://{address}{}", request.path);
        let mut call = self.client.post(url).bearer_auth(&self.key).timeout(self.attempt_timeout);
        if let Some(key) = request.key {
            call = call.insert_header((IDEMPOTENCY_HEADER, key));
        }
        let mut response = match call.send_json(request.body).await {
            Ok(response) => response,
            Err(error) => {
                // A connection that was refused, or that a stopping entry closed while it was idle,
                // did not execute the request.
                let report = egretseam_http::classify_send_error(&error);
                self.remove_address(address);
                return match report.verdict {
                    RequestVerdict::NotRun => CallOutcome::NotRun,
                    _ => CallOutcome::Lost,
                };
            }
        };
        if let Some(report) = failure_from_headers(response.headers()) {
            if report.reason == RefusalReason::Stopping {
                self.remove_address(address);
            }
            return match report.verdict {
                RequestVerdict::NotRun => CallOutcome::NotRun,
                RequestVerdict::MayHaveRun | RequestVerdict::Ran => CallOutcome::MayHaveRun,
            };
        }
        let status = response.status();
        let mut body = Vec::new();
        let read = async {
            while let Some(bytes) = response.next().await {
                body.extend_from_slice(&bytes.map_err(|_| ())?);
            }
            Ok::<(), ()>(())
        };
        if !matches!(tokio::time::timeout(self.attempt_timeout, read).await, Ok(Ok(()))) {
            return CallOutcome::CutOff;
        }
        let correct = matches!(status, StatusCode::OK | StatusCode::CREATED) && is_correct(&body);
        if correct { CallOutcome::Answered } else { CallOutcome::Wrong }
    }

    fn remove_address(&self, address: &str) {
        self.addresses.borrow_mut().retain(|known| known != address);
        if self.addresses.borrow().is_empty() {
            self.expires_at.set(None);
        }
    }

    async fn addresses(&self) -> Vec<String> {
        let fresh = self.expires_at.get().is_some_and(|at| Instant::now() < at);
        if !fresh {
            self.fetch_addresses().await;
        }
        let known = self.addresses.borrow().clone();
        if known.is_empty() { self.seeds.clone() } else { known }
    }

    async fn fetch_addresses(&self) {
        let known = self.addresses.borrow().clone();
        for address in known.iter().chain(&self.seeds) {
            let url = format!("http://{address}/v1/addresses");
            let call = self.client.get(url).bearer_auth(&self.key).timeout(self.attempt_timeout);
            let Ok(mut response) = call.send().await else { continue };
            if let Ok(list) = response.json::<AddressList>().await {
                let lifetime = Duration::from_secs(list.lifetime_seconds);
                self.expires_at.set(Some(Instant::now() + lifetime));
                let items = list.addresses.into_iter().map(|item| item.address);
                *self.addresses.borrow_mut() = items.collect();
                return;
            }
        }
    }
}

/// Returns the text of a completion, or `None` if the response is malformed or incomplete.
fn completion_text(bytes: &[u8], stream: bool) -> Option<String> {
    let text = std::str::from_utf8(bytes).ok()?;
    if !stream {
        let reply: serde_json::Value = serde_json::from_str(text).ok()?;
        return reply["choices"][0]["text"].as_str().map(str::to_owned);
    }
    let mut full_text = String::new();
    let mut done = false;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ")?;
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let reply: serde_json::Value = serde_json::from_str(data).ok()?;
        full_text.push_str(reply["choices"][0]["text"].as_str()?);
    }
    done.then_some(full_text)
}

/// Settings of a load generator: callers that each send one request at a time.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entry addresses from which callers fetch the address list.
    pub seeds: Vec<String>,
    /// API key.
    pub key: String,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Pause of each caller after a request.
    pub pause: Duration,
    /// Model service.
    pub model_service: String,
    /// Plain service that receives every fourth request of a caller, a booking; `None` sends none.
    pub plain_service: Option<String>,
    /// Tokens per completion.
    pub tokens: u64,
    /// Digests of the published versions.
    pub versions: Vec<ChunkDigest>,
}

/// Concurrent callers on one thread, which send requests until stopped.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    counts: Arc<CallerCounts>,
    thread: Option<JoinHandle<()>>,
}

impl LoadGenerator {
    /// Starts the callers; outcomes of bookings are compared with `ledger`.
    pub fn spawn(options: LoadOptions, ledger: BookingLedger) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(CallerCounts::default());
        let (stopped, shared) = (stop.clone(), counts.clone());
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let options = Rc::new(options);
                let callers = (0..options.callers).map(|number| {
                    run_caller(number, options.clone(), ledger.clone(), shared.clone(), &stopped)
                });
                futures::future::join_all(callers).await;
            });
        });
        Self { stop, counts, thread: Some(thread) }
    }

    /// Counts of requests so far.
    pub fn counts(&self) -> &CallerCounts {
        &self.counts
    }

    /// Waits until the requests in progress have ended, then returns the counts.
    pub fn stop(mut self) -> Arc<CallerCounts> {
        self.stop_and_join();
        self.counts.clone()
    }

    fn stop_and_join(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Drop for LoadGenerator {
    fn drop(&mut self) {
        self.stop_and_join();
    }
}

async fn run_caller(
    number: usize,
    options: Rc<LoadOptions>,
    ledger: BookingLedger,
    counts: Arc<CallerCounts>,
    stop: &AtomicBool,
) {
    let caller = CallerClient::new(&options.seeds, &options.key, counts);
    let mut round = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        match (&options.plain_service, round % 4) {
            (Some(service), 0) => {
                caller.book(service, &format!("order-{number}-{round}"), &ledger).await;
            }
            (_, turn) => {
                let prompt = format!("caller {number} asks question {round}");
                let service = &options.model_service;
                let versions = &options.versions;
                caller.complete(service, &prompt, options.tokens, turn != 1, versions).await;
            }
        }
        tokio::time::sleep(options.pause).await;
    }
}

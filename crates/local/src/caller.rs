//! A caller as the interface asks callers to be: it learns which addresses to use, keeps the answer
//! for its lifetime, goes to the next address when it is told `not-run`, and checks every answer.

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

/// How long a caller waits for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(30);
/// Most addresses that a caller tries for one request.
const MAX_TRIES: usize = 6;
/// Pause before a caller tries after every address has refused.
const TRY_PAUSE: Duration = Duration::from_millis(50);

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Whole and right.
    Answered,
    /// Whole, but not the answer to this request from any published version.
    Wrong,
    /// Told that it was not run.
    NotRun,
    /// Told that it may have run.
    MayHaveRun,
    /// Broke off after it had begun.
    CutOff,
    /// No answer of any kind.
    Lost,
}

/// What became of all requests.
#[derive(Debug, Default)]
pub struct CallerCounts {
    /// Requests begun.
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
    /// Sends to a further address.
    pub retried: AtomicU64,
    /// Requests told `not-run` that the ledger shows as run, or answered ones that it does not.
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

/// One caller.
pub struct CallerClient {
    client: Client,
    key: String,
    seeds: Vec<String>,
    addresses: RefCell<Vec<String>>,
    expires_at: Cell<Option<Instant>>,
    turn: Cell<usize>,
    call_limit: Duration,
    counts: Arc<CallerCounts>,
}

/// A request as it is sent to one address.
struct CallerRequest<'a> {
    path: &'a str,
    body: &'a serde_json::Value,
    key: Option<&'a str>,
}

impl CallerClient {
    /// A caller that knows some addresses to begin with.
    pub fn new(seeds: &[String], key: &str, counts: Arc<CallerCounts>) -> Self {
        Self {
            client: http_client(ClientOptions::default()),
            key: key.to_owned(),
            seeds: seeds.to_vec(),
            addresses: RefCell::default(),
            expires_at: Cell::new(None),
            turn: Cell::new(rand::random::<u16>() as usize),
            call_limit: CALL_LIMIT,
            counts,
        }
    }

    /// Sets how long one address may take. A frozen instance accepts connections and says nothing,
    /// and its address stays on the list until control has missed it.
    pub fn with_call_limit(mut self, limit: Duration) -> Self {
        self.call_limit = limit;
        self
    }

    /// Asks for `tokens` tokens and checks them against each published version.
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
        let right = |text: &str| {
            versions.iter().any(|v| ExpectedCompletion::new(*v, prompt).text(tokens) == text)
        };
        let outcome = self
            .until_taken(&request, |bytes| text_of(bytes, stream).is_some_and(|text| right(&text)))
            .await;
        self.note(outcome)
    }

    /// Books an order under an idempotency key, and compares the verdict with the ledger.
    pub async fn book(&self, service: &str, id: &str, ledger: &BookingLedger) -> CallOutcome {
        let body = serde_json::json!({ "id": id });
        let path = format!("/services/{service}/orders");
        let request = CallerRequest { path: &path, body: &body, key: Some(id) };
        let outcome = self
            .until_taken(&request, |bytes| {
                let reply: Result<serde_json::Value, _> = serde_json::from_slice(bytes);
                reply.is_ok_and(|reply| reply["id"] == id && reply["run"] == 1)
            })
            .await;
        let runs = ledger.booking_count(id);
        let false_verdict = match outcome {
            CallOutcome::Answered => runs != 1,
            CallOutcome::NotRun => runs != 0,
            _ => runs > 1,
        };
        if false_verdict {
            self.counts.false_verdicts.fetch_add(1, Ordering::Relaxed);
        }
        self.note(outcome)
    }

    fn note(&self, outcome: CallOutcome) -> CallOutcome {
        self.counts.count(outcome);
        outcome
    }

    /// Sends to one address after the other for as long as the answer is `not-run`.
    async fn until_taken(
        &self,
        request: &CallerRequest<'_>,
        is_right: impl Fn(&[u8]) -> bool,
    ) -> CallOutcome {
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        let mut last = CallOutcome::NotRun;
        for attempt in 0..MAX_TRIES {
            let addresses = self.addresses().await;
            let at = self.turn.get();
            self.turn.set(at + 1);
            let Some(address) = addresses.get(at % addresses.len().max(1)) else { break };
            if attempt > 0 {
                self.counts.retried.fetch_add(1, Ordering::Relaxed);
            }
            last = self.send(address, request, &is_right).await;
            // A key makes every resend safe, so an unknown outcome is asked about again.
            let again = last == CallOutcome::NotRun
                || (request.key.is_some()
                    && matches!(last, CallOutcome::Lost | CallOutcome::CutOff));
            if !again {
                return last;
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        last
    }

    async fn send(
        &self,
        address: &str,
        request: &CallerRequest<'_>,
        is_right: &impl Fn(&[u8]) -> bool,
    ) -> CallOutcome {
        let url = format!("http://{address}{}", request.path);
        let mut call = self.client.post(url).bearer_auth(&self.key).timeout(self.call_limit);
        if let Some(key) = request.key {
            call = call.insert_header((IDEMPOTENCY_HEADER, key));
        }
        let mut answer = match call.send_json(request.body).await {
            Ok(answer) => answer,
            Err(error) => {
                // A connection that was refused, or closed unused by a stopping entry, did nothing.
                let report = egretseam_http::classify_send_error(&error);
                self.forget(address);
                return match report.verdict {
                    RequestVerdict::NotRun => CallOutcome::NotRun,
                    _ => CallOutcome::Lost,
                };
            }
        };
        if let Some(report) = failure_from_headers(answer.headers()) {
            if report.reason == RefusalReason::Stopping {
                self.forget(address);
            }
            return match report.verdict {
                RequestVerdict::NotRun => CallOutcome::NotRun,
                RequestVerdict::MayHaveRun | RequestVerdict::Ran => CallOutcome::MayHaveRun,
            };
        }
        let status = answer.status();
        let mut body = Vec::new();
        let read = async {
            while let Some(piece) = answer.next().await {
                body.extend_from_slice(&piece.map_err(|_| ())?);
            }
            Ok::<(), ()>(())
        };
        if !matches!(tokio::time::timeout(self.call_limit, read).await, Ok(Ok(()))) {
            return CallOutcome::CutOff;
        }
        let good = matches!(status, StatusCode::OK | StatusCode::CREATED) && is_right(&body);
        if good { CallOutcome::Answered } else { CallOutcome::Wrong }
    }

    fn forget(&self, address: &str) {
        self.addresses.borrow_mut().retain(|known| known != address);
        if self.addresses.borrow().is_empty() {
            self.expires_at.set(None);
        }
    }

    async fn addresses(&self) -> Vec<String> {
        let fresh = self.expires_at.get().is_some_and(|at| Instant::now() < at);
        if !fresh {
            self.learn_addresses().await;
        }
        let known = self.addresses.borrow().clone();
        if known.is_empty() { self.seeds.clone() } else { known }
    }

    async fn learn_addresses(&self) {
        let known = self.addresses.borrow().clone();
        for address in known.iter().chain(&self.seeds) {
            let url = format!("http://{address}/v1/addresses");
            let call = self.client.get(url).bearer_auth(&self.key).timeout(self.call_limit);
            let Ok(mut answer) = call.send().await else { continue };
            if let Ok(list) = answer.json::<AddressList>().await {
                let lifetime = Duration::from_secs(list.lifetime_seconds);
                self.expires_at.set(Some(Instant::now() + lifetime));
                let items = list.addresses.into_iter().map(|item| item.address);
                *self.addresses.borrow_mut() = items.collect();
                return;
            }
        }
    }
}

/// The text of an answer; `None` if it is not a whole one.
fn text_of(bytes: &[u8], stream: bool) -> Option<String> {
    let text = std::str::from_utf8(bytes).ok()?;
    if !stream {
        let reply: serde_json::Value = serde_json::from_str(text).ok()?;
        return reply["choices"][0]["text"].as_str().map(str::to_owned);
    }
    let mut whole = String::new();
    let mut done = false;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ")?;
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let reply: serde_json::Value = serde_json::from_str(data).ok()?;
        whole.push_str(reply["choices"][0]["text"].as_str()?);
    }
    done.then_some(whole)
}

/// A steady load of several callers.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses to begin with.
    pub seeds: Vec<String>,
    /// API key.
    pub key: String,
    /// Callers at a time.
    pub callers: usize,
    /// Pause of each caller between requests.
    pub pause: Duration,
    /// Model service.
    pub model_service: String,
    /// Plain service; none books nothing.
    pub plain_service: Option<String>,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Digests of the published versions.
    pub versions: Vec<ChunkDigest>,
}

/// Callers on a thread of their own, until stopped.
pub struct LoadThread {
    stop: Arc<AtomicBool>,
    counts: Arc<CallerCounts>,
    thread: Option<JoinHandle<()>>,
}

impl LoadThread {
    /// Starts the load.
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

    /// What became of the requests so far.
    pub fn counts(&self) -> &CallerCounts {
        &self.counts
    }

    /// Lets every request in progress end, then returns the counts.
    pub fn stop(mut self) -> Arc<CallerCounts> {
        self.end();
        self.counts.clone()
    }

    fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Drop for LoadThread {
    fn drop(&mut self) {
        self.end();
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
            (_, kind) => {
                let prompt = format!("caller {number} asks question {round}");
                let service = &options.model_service;
                let versions = &options.versions;
                caller.complete(service, &prompt, options.tokens, kind != 1, versions).await;
            }
        }
        tokio::time::sleep(options.pause).await;
    }
}

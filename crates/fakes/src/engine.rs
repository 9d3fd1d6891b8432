//! A fake model engine: executes load orders, reports its load with a delay, batches requests, and
//! caches prompt prefixes.

use crate::completion::ExpectedCompletion;
use actix_http::{
    HttpMessage, Method, Request, Response, StatusCode, body::BodyStream, header::HeaderMap,
};
use bytes::Bytes;
use egretseam_http::{
    HttpHandler, HttpReply, ServerHandle, ServerOptions, header_text, json_reply, read_body,
    spawn_server, text_reply,
};
use egretseam_proto::{ChunkDigest, REQUEST_ID_HEADER, RESUME_HEADER, VERSION_HEADER};
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    io,
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::Semaphore, time::Instant};

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Prompt bytes in one block of the prefix cache.
const BLOCK_BYTES: usize = 256;

/// Speed, capacity, and behaviour of a fake engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Time between two tokens of a request in a nearly empty batch.
    pub token_interval: Duration,
    /// Prefill time of a prompt block that is not cached.
    pub prefill_block_time: Duration,
    /// Prompt blocks that the cache holds.
    pub cache_capacity_blocks: usize,
    /// Time that a load takes in addition to reading the file.
    pub load_time: Duration,
    /// Whether orders with an outdated fencing token are rejected.
    pub checks_fences: bool,
    /// Age at which the reported load is measured anew.
    pub report_lag: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 16,
            token_interval: Duration::from_millis(2),
            prefill_block_time: Duration::from_micros(200),
            cache_capacity_blocks: 512,
            load_time: Duration::from_millis(200),
            checks_fences: true,
            report_lag: Duration::from_millis(300),
        }
    }
}

/// Faults that can be switched on from another thread.
#[derive(Debug, Default)]
pub struct EngineFaults {
    /// Every load fails.
    pub fail_loads: AtomicBool,
    /// Streams break at this token position; 0 means never.
    pub break_after_tokens: AtomicU64,
    /// Factor on the time between tokens; 0 counts as 1.
    pub slowdown: AtomicU64,
    /// Orders are executed, but their HTTP response is never sent.
    pub lose_order_replies: AtomicBool,
    /// Streams end without their last event, `[DONE]`.
    pub omit_done_event: AtomicBool,
}

/// Counters of a fake engine.
#[derive(Debug, Default)]
pub struct EngineCounters {
    /// Completion requests accepted.
    pub requests: AtomicU64,
    /// Completion requests whose client disconnected before the end.
    pub cancelled: AtomicU64,
    /// Orders accepted.
    pub orders: AtomicU64,
    /// Orders rejected for an outdated fencing token.
    pub rejected_for_fence: AtomicU64,
    /// Loads that succeeded.
    pub loads_completed: AtomicU64,
    /// Prompt blocks found in the cache.
    pub cache_hits: AtomicU64,
    /// Prompt blocks not found in the cache.
    pub cache_misses: AtomicU64,
}

#[derive(Clone, Debug, Deserialize)]
struct LoadOrder {
    fence: u64,
    identity: String,
    path: String,
}

#[derive(Clone, Debug)]
struct LoadedWeights {
    identity: String,
    digest: ChunkDigest,
}

#[derive(Clone, Debug, Serialize)]
struct FailureItem {
    identity: String,
    message: String,
}

#[derive(Debug, Serialize)]
struct StateReply {
    phase: &'static str,
    identity: Option<String>,
    loading: Option<String>,
    failure: Option<FailureItem>,
    running: u32,
    waiting: u32,
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Option<Vec<serde_json::Value>>,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

fn default_tokens() -> u64 {
    16
}

/// A fake engine; it runs on one thread and shares only its faults and counters with others.
pub struct FakeEngine {
    options: EngineOptions,
    faults: Arc<EngineFaults>,
    counters: Arc<EngineCounters>,
    loaded: RefCell<Option<LoadedWeights>>,
    loading: RefCell<Option<String>>,
    failure: RefCell<Option<FailureItem>>,
    fence: Cell<u64>,
    slots: Rc<Semaphore>,
    running: Rc<Cell<u32>>,
    waiting: Rc<Cell<u32>>,
    reported_load: Cell<(u32, u32)>,
    load_reported_at: Cell<Option<Instant>>,
    cache: RefCell<IndexMap<u64, ()>>,
}

impl FakeEngine {
    /// Starts an engine on `listener`, on the current thread.
    ///
    /// # Errors
    /// Fails if the listener cannot be used.
    pub fn start(
        options: EngineOptions,
        faults: Arc<EngineFaults>,
        counters: Arc<EngineCounters>,
        listener: TcpListener,
    ) -> io::Result<ServerHandle> {
        let engine = Rc::new(Self {
            options,
            faults,
            counters,
            loaded: RefCell::default(),
            loading: RefCell::default(),
            failure: RefCell::default(),
            fence: Cell::new(0),
            slots: Rc::new(Semaphore::new(options.slots)),
            running: Rc::default(),
            waiting: Rc::default(),
            reported_load: Cell::default(),
            load_reported_at: Cell::new(None),
            cache: RefCell::default(),
        });
        spawn_server(listener, engine, ServerOptions::default())
    }

    fn state(&self) -> StateReply {
        let loaded = self.loaded.borrow();
        let loading = self.loading.borrow().clone();
        let phase = match (&loading, &*loaded) {
            (Some(_), _) => "loading",
            (None, Some(_)) => "ready",
            (None, None) => "empty",
        };
        let outdated =
            self.load_reported_at.get().is_none_or(|at| at.elapsed() >= self.options.report_lag);
        if outdated {
            self.reported_load.set((self.running.get(), self.waiting.get()));
            self.load_reported_at.set(Some(Instant::now()));
        }
        let (running, waiting) = self.reported_load.get();
        StateReply {
            phase,
            identity: loaded.as_ref().map(|loaded| loaded.identity.clone()),
            loading,
            failure: self.failure.borrow().clone(),
            running,
            waiting,
        }
    }

    fn accept_order(self: &Rc<Self>, order: LoadOrder) -> HttpReply {
        if self.options.checks_fences && order.fence < self.fence.get() {
            self.counters.rejected_for_fence.fetch_add(1, Ordering::Relaxed);
            return text_reply(StatusCode::CONFLICT, "outdated fencing number\n");
        }
        self.fence.set(self.fence.get().max(order.fence));
        self.counters.orders.fetch_add(1, Ordering::Relaxed);
        *self.loading.borrow_mut() = Some(order.identity.clone());
        self.failure.borrow_mut().take();
        actix_rt::spawn(self.clone().load(order));
        text_reply(StatusCode::ACCEPTED, "loading\n")
    }

    async fn load(self: Rc<Self>, order: LoadOrder) {
        let path = order.path.clone();
        let read = actix_rt::task::spawn_blocking(move || std::fs::read(path));
        let read = read.await.expect("the reading task does not panic");
        tokio::time::sleep(self.options.load_time).await;
        let is_latest_identity = self.loading.borrow().as_ref() == Some(&order.identity);
        if !is_latest_identity {
            return;
        }
        let failed = self.faults.fail_loads.load(Ordering::Relaxed);
        match read {
            Ok(bytes) if !failed => {
                let digest = ChunkDigest::of(&bytes);
                self.counters.loads_completed.fetch_add(1, Ordering::Relaxed);
                self.cache.borrow_mut().clear();
                let identity = order.identity.clone();
                *self.loaded.borrow_mut() = Some(LoadedWeights { identity, digest });
            }
            Ok(_) => self.fail(&order, "told to fail"),
            Err(error) => self.fail(&order, &error.to_string()),
        }
        self.loading.borrow_mut().take();
    }

    fn fail(&self, order: &LoadOrder, message: &str) {
        let item = FailureItem { identity: order.identity.clone(), message: message.to_owned() };
        *self.failure.borrow_mut() = Some(item);
    }

    async fn complete(self: Rc<Self>, headers: &HeaderMap, body: &[u8]) -> HttpReply {
        let request: CompletionRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let loaded = self.loaded.borrow().clone();
        let Some(loaded) = loaded else {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "nothing is loaded\n");
        };
        self.counters.requests.fetch_add(1, Ordering::Relaxed);
        let prompt = prompt_text(&request);
        let offset = header_text(headers, RESUME_HEADER).and_then(|t| t.parse().ok()).unwrap_or(0);
        let id = header_text(headers, REQUEST_ID_HEADER).unwrap_or("none").to_owned();
        let tokens = TokenStream {
            expected: ExpectedCompletion::new(loaded.digest, &prompt),
            id,
            model: request.model.clone(),
            position: offset,
            end: request.max_tokens,
            slot: SlotGuard::new(&self),
            engine: self.clone(),
            done: false,
        };
        let blocks = self.uncached_blocks(prompt.as_bytes());
        tokens.slot.acquire().await;
        tokio::time::sleep(self.options.prefill_block_time * blocks).await;
        let mut builder = Response::build(StatusCode::OK);
        builder.insert_header((VERSION_HEADER, loaded.identity));
        if request.stream {
            builder.insert_header(("content-type", "text/event-stream"));
            let events = futures::stream::unfold(tokens, TokenStream::next_event);
            return builder.body(BodyStream::new(Box::pin(events))).map_into_boxed_body();
        }
        let text = tokens.full_text().await;
        builder.insert_header(("content-type", "application/json"));
        builder.body(completion_json(&text)).map_into_boxed_body()
    }

    /// Caches the prompt's blocks; returns how many were not cached before.
    fn uncached_blocks(&self, prompt: &[u8]) -> u32 {
        let mut cache = self.cache.borrow_mut();
        let mut hasher = blake3::Hasher::new();
        let mut uncached = 0;
        for block in prompt.chunks(BLOCK_BYTES) {
            hasher.update(block);
            let digest = hasher.finalize();
            let key = u64::from_le_bytes(digest.as_bytes()[..8].try_into().expect("eight bytes"));
            if cache.shift_remove(&key).is_some() {
                self.counters.cache_hits.fetch_add(1, Ordering::Relaxed);
            } else {
                self.counters.cache_misses.fetch_add(1, Ordering::Relaxed);
                uncached += 1;
            }
            cache.insert(key, ());
            if cache.len() > self.options.cache_capacity_blocks {
                cache.shift_remove_index(0);
            }
        }
        uncached
    }

    /// Time to the next token at the current batch size.
    fn token_delay(&self) -> Duration {
        let occupancy = f64::from(self.running.get()) / self.options.slots as f64;
        let slowdown = self.faults.slowdown.load(Ordering::Relaxed).max(1) as f64;
        self.options.token_interval.mul_f64((1.0 + 0.5 * occupancy) * slowdown)
    }
}

fn prompt_text(request: &CompletionRequest) -> String {
    match (&request.prompt, &request.messages) {
        (Some(prompt), _) => prompt.clone(),
        (None, Some(messages)) => serde_json::to_string(messages).unwrap_or_default(),
        (None, None) => String::new(),
    }
}

/// A slot of the batch or a place in the queue for one, counted in the reported load; released when
/// dropped.
struct SlotGuard {
    slots: Rc<Semaphore>,
    running: Rc<Cell<u32>>,
    waiting: Rc<Cell<u32>>,
    acquired: Cell<bool>,
}

impl SlotGuard {
    fn new(engine: &FakeEngine) -> Self {
        engine.waiting.set(engine.waiting.get() + 1);
        Self {
            slots: engine.slots.clone(),
            running: engine.running.clone(),
            waiting: engine.waiting.clone(),
            acquired: Cell::new(false),
        }
    }

    async fn acquire(&self) {
        let permit = self.slots.acquire().await.expect("the semaphore is never closed");
        permit.forget();
        self.acquired.set(true);
        self.waiting.set(self.waiting.get() - 1);
        self.running.set(self.running.get() + 1);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if self.acquired.get() {
            self.slots.add_permits(1);
            self.running.set(self.running.get() - 1);
        } else {
            self.waiting.set(self.waiting.get() - 1);
        }
    }
}

struct TokenStream {
    expected: ExpectedCompletion,
    id: String,
    model: String,
    position: u64,
    end: u64,
    slot: SlotGuard,
    engine: Rc<FakeEngine>,
    done: bool,
}

impl TokenStream {
    async fn next_event(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.done {
            return None;
        }
        if self.position >= self.end {
            self.done = true;
            if self.engine.faults.omit_done_event.load(Ordering::Relaxed) {
                return None;
            }
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), self));
        }
        let break_after_tokens = self.engine.faults.break_after_tokens.load(Ordering::Relaxed);
        if break_after_tokens > 0 && self.position >= break_after_tokens {
            self.done = true;
            return Some((Err(io::Error::other("told to break")), self));
        }
        tokio::time::sleep(self.engine.token_delay()).await;
        let choice = serde_json::json!({ "index": 0, "text": self.expected.token(self.position) });
        let event = serde_json::json!({
            "id": self.id, "object": "text_completion", "model": self.model, "choices": [choice],
        });
        self.position += 1;
        Some((Ok(Bytes::from(format!("data: {event}\n\n"))), self))
    }

    async fn full_text(mut self) -> String {
        let start = self.position;
        while self.position < self.end {
            tokio::time::sleep(self.engine.token_delay()).await;
            self.position += 1;
        }
        self.done = true;
        (start..self.end).map(|position| self.expected.token(position)).collect()
    }
}

impl Drop for TokenStream {
    fn drop(&mut self) {
        if !self.done {
            self.engine.counters.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn completion_json(text: &str) -> Vec<u8> {
    let choice = serde_json::json!({ "index": 0, "text": text, "finish_reason": "length" });
    let reply = serde_json::json!({ "object": "text_completion", "choices": [choice] });
    reply.to_string().into_bytes()
}

impl HttpHandler for FakeEngine {
    fn handle(self: Rc<Self>, mut request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move {
            let headers = request.headers().clone();
            let body = match read_body(&mut request.take_payload(), MAX_BODY_BYTES).await {
                Ok(body) => body,
                Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            };
            match (request.method(), request.path()) {
                (&Method::GET, "/engine/state") => json_reply(StatusCode::OK, &self.state()),
                (&Method::POST, "/engine/orders") => match serde_json::from_slice(&body) {
                    Ok(order) => {
                        let reply = self.accept_order(order);
                        if self.faults.lose_order_replies.load(Ordering::Relaxed) {
                            std::future::pending::<()>().await;
                        }
                        reply
                    }
                    Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
                },
                (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                    self.complete(&headers, &body).await
                }
                _ => text_reply(StatusCode::NOT_FOUND, "no such path\n"),
            }
        })
    }
}

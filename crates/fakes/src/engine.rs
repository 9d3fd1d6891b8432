//! A model engine: takes orders, reports its state with a lag, batches, caches prompt beginnings.

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
/// Bytes of prompt that are cached together.
const BLOCK_BYTES: usize = 256;

/// How a fake engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Requests computed at a time.
    pub slots: usize,
    /// Time between tokens of one request when it is alone.
    pub token_interval: Duration,
    /// Time to compute one block of prompt that is not cached.
    pub prefill_block_time: Duration,
    /// Blocks of prompt that the cache holds.
    pub cache_capacity_blocks: usize,
    /// Time that a load takes, besides reading the file.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fences: bool,
    /// How old the reported load is.
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

/// Misbehaviour that can be switched on from another thread.
#[derive(Debug, Default)]
pub struct EngineFaults {
    /// Every load fails.
    pub fail_loads: AtomicBool,
    /// Streams break after this many tokens; 0 means never.
    pub break_after_tokens: AtomicU64,
    /// Tokens take this many times longer; 0 counts as 1.
    pub slowdown: AtomicU64,
    /// Orders are carried out, but their answer is lost.
    pub lose_order_replies: AtomicBool,
    /// Answers carry no last event.
    pub omit_done_event: AtomicBool,
}

/// What a fake engine has done.
#[derive(Debug, Default)]
pub struct EngineCounters {
    /// Requests begun.
    pub requests: AtomicU64,
    /// Requests whose caller went away.
    pub cancelled: AtomicU64,
    /// Orders taken.
    pub orders: AtomicU64,
    /// Orders refused for their fencing number.
    pub rejected_for_fence: AtomicU64,
    /// Orders that named bytes which do not match their identity's version.
    pub loads_completed: AtomicU64,
    /// Blocks of prompt found in the cache.
    pub cache_hits: AtomicU64,
    /// Blocks of prompt computed.
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

/// A fake engine's state; all on one thread but its faults and counters.
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
    lagged: Cell<(u32, u32)>,
    lagged_at: Cell<Option<Instant>>,
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
            lagged: Cell::default(),
            lagged_at: Cell::new(None),
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
        let due = self.lagged_at.get().is_none_or(|at| at.elapsed() >= self.options.report_lag);
        if due {
            self.lagged.set((self.running.get(), self.waiting.get()));
            self.lagged_at.set(Some(Instant::now()));
        }
        let (running, waiting) = self.lagged.get();
        StateReply {
            phase,
            identity: loaded.as_ref().map(|loaded| loaded.identity.clone()),
            loading,
            failure: self.failure.borrow().clone(),
            running,
            waiting,
        }
    }

    fn take_order(self: &Rc<Self>, order: LoadOrder) -> HttpReply {
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
        let still_wanted = self.loading.borrow().as_ref() == Some(&order.identity);
        if !still_wanted {
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
        let prompt = prompt_of(&request);
        let offset = header_text(headers, RESUME_HEADER).and_then(|t| t.parse().ok()).unwrap_or(0);
        let id = header_text(headers, REQUEST_ID_HEADER).unwrap_or("none").to_owned();
        let run = TokenRun {
            expected: ExpectedCompletion::new(loaded.digest, &prompt),
            id,
            model: request.model.clone(),
            at: offset,
            end: request.max_tokens,
            slot: SlotGuard::new(&self),
            engine: self.clone(),
            done: false,
        };
        let blocks = self.uncached_blocks(prompt.as_bytes());
        run.slot.acquire().await;
        tokio::time::sleep(self.options.prefill_block_time * blocks).await;
        let mut builder = Response::build(StatusCode::OK);
        builder.insert_header((VERSION_HEADER, loaded.identity));
        if request.stream {
            builder.insert_header(("content-type", "text/event-stream"));
            let events = futures::stream::unfold(run, TokenRun::next_event);
            return builder.body(BodyStream::new(Box::pin(events))).map_into_boxed_body();
        }
        let text = run.whole_text().await;
        builder.insert_header(("content-type", "application/json"));
        builder.body(completion_json(&text)).map_into_boxed_body()
    }

    /// Notes the prompt's blocks; returns how many must be computed.
    fn uncached_blocks(&self, prompt: &[u8]) -> u32 {
        let mut cache = self.cache.borrow_mut();
        let mut hasher = blake3::Hasher::new();
        let mut missing = 0;
        for block in prompt.chunks(BLOCK_BYTES) {
            hasher.update(block);
            let digest = hasher.finalize();
            let key = u64::from_le_bytes(digest.as_bytes()[..8].try_into().expect("eight bytes"));
            if cache.shift_remove(&key).is_some() {
                self.counters.cache_hits.fetch_add(1, Ordering::Relaxed);
            } else {
                self.counters.cache_misses.fetch_add(1, Ordering::Relaxed);
                missing += 1;
            }
            cache.insert(key, ());
            if cache.len() > self.options.cache_capacity_blocks {
                cache.shift_remove_index(0);
            }
        }
        missing
    }

    /// Time to the next token with the present batch.
    fn pace(&self) -> Duration {
        let busy = f64::from(self.running.get()) / self.options.slots as f64;
        let slowdown = self.faults.slowdown.load(Ordering::Relaxed).max(1) as f64;
        self.options.token_interval.mul_f64((1.0 + 0.5 * busy) * slowdown)
    }
}

fn prompt_of(request: &CompletionRequest) -> String {
    match (&request.prompt, &request.messages) {
        (Some(prompt), _) => prompt.clone(),
        (None, Some(messages)) => serde_json::to_string(messages).unwrap_or_default(),
        (None, None) => String::new(),
    }
}

/// A place in the batch, counted for the load report; given back when dropped.
struct SlotGuard {
    slots: Rc<Semaphore>,
    running: Rc<Cell<u32>>,
    waiting: Rc<Cell<u32>>,
    held: Cell<bool>,
}

impl SlotGuard {
    fn new(engine: &FakeEngine) -> Self {
        engine.waiting.set(engine.waiting.get() + 1);
        Self {
            slots: engine.slots.clone(),
            running: engine.running.clone(),
            waiting: engine.waiting.clone(),
            held: Cell::new(false),
        }
    }

    async fn acquire(&self) {
        let permit = self.slots.acquire().await.expect("the semaphore is never closed");
        permit.forget();
        self.held.set(true);
        self.waiting.set(self.waiting.get() - 1);
        self.running.set(self.running.get() + 1);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if self.held.get() {
            self.slots.add_permits(1);
            self.running.set(self.running.get() - 1);
        } else {
            self.waiting.set(self.waiting.get() - 1);
        }
    }
}

struct TokenRun {
    expected: ExpectedCompletion,
    id: String,
    model: String,
    at: u64,
    end: u64,
    slot: SlotGuard,
    engine: Rc<FakeEngine>,
    done: bool,
}

impl TokenRun {
    async fn next_event(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.done {
            return None;
        }
        if self.at >= self.end {
            self.done = true;
            if self.engine.faults.omit_done_event.load(Ordering::Relaxed) {
                return None;
            }
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), self));
        }
        let break_after_tokens = self.engine.faults.break_after_tokens.load(Ordering::Relaxed);
        if break_after_tokens > 0 && self.at >= break_after_tokens {
            self.done = true;
            return Some((Err(io::Error::other("told to break")), self));
        }
        tokio::time::sleep(self.engine.pace()).await;
        let choice = serde_json::json!({ "index": 0, "text": self.expected.token(self.at) });
        let event = serde_json::json!({
            "id": self.id, "object": "text_completion", "model": self.model, "choices": [choice],
        });
        self.at += 1;
        Some((Ok(Bytes::from(format!("data: {event}\n\n"))), self))
    }

    async fn whole_text(mut self) -> String {
        let begin = self.at;
        while self.at < self.end {
            tokio::time::sleep(self.engine.pace()).await;
            self.at += 1;
        }
        self.done = true;
        (begin..self.end).map(|at| self.expected.token(at)).collect()
    }
}

impl Drop for TokenRun {
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
                        let reply = self.take_order(order);
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

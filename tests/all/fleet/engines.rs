//! Scripted engines and an origin, for what agents bring to them.

use bytes::Bytes;
use egretseam_h1::{BodyReader, ConnectionOptions, HeadWriter, HttpConnection, RequestHead};
use serde_json::json;
use sha2::{Digest, Sha256};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

/// Chunks of a version.
pub(super) const CHUNKS: u32 = 12;

/// A chunk that has turned bad.
const CORRUPTED: &[u8] = b"rotten";

/// The right bytes of a chunk.
pub(super) fn chunk(version: u64, index: u32) -> Bytes {
    Bytes::from(format!("version {version} chunk {index} ").repeat(40))
}

type Answer = (u16, Bytes);

async fn serve(
    listener: tokio::net::TcpListener,
    answer: impl AsyncFn(&RequestHead, Bytes) -> Answer + Clone + 'static,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let answer = answer.clone();
        actix_rt::spawn(async move {
            let options = ConnectionOptions::default();
            let mut connection = HttpConnection::new(stream, &options).expect("set up");
            while let Ok(Some(head)) = connection.read_request(16_384).await {
                let reader = BodyReader::new(head.framing);
                let Ok(body) = connection.read_body(reader, 1 << 20).await else { return };
                let (status, body) = answer(&head, body).await;
                let bytes = HeadWriter::response(status, b"Status").finish_with(&body);
                if connection.write(&bytes).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn number(head: &RequestHead, name: &str) -> Option<u64> {
    head.query(name)?.parse().ok()
}

/// The origin of weights.
#[derive(Default)]
pub(super) struct ScriptedOrigin {
    /// Chunks given.
    pub(super) chunks_sent: Cell<u32>,
    /// How many of the next chunks are spoilt.
    pub(super) chunks_to_corrupt: Cell<u32>,
    /// Whether it gives nothing from this version on.
    pub(super) unreachable_from: Cell<Option<u64>>,
    /// How long a list of digests is on its way.
    pub(super) digest_list_delay: Cell<Duration>,
    /// Lists of digests that it gave.
    pub(super) digest_lists_sent: Cell<u32>,
    /// How many of the next lists of digests are spoilt.
    pub(super) digest_lists_to_corrupt: Cell<u32>,
    /// Size of its chunks where they are larger than what engines expect.
    pub(super) min_chunk_bytes: Cell<usize>,
}

fn decrement(count: &Cell<u32>) -> bool {
    let left = count.get();
    count.set(left.saturating_sub(1));
    left > 0
}

impl ScriptedOrigin {
    pub(super) async fn start(host: IpAddr) -> (Rc<Self>, SocketAddr) {
        let listener = tokio::net::TcpListener::bind((host, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let origin = Rc::new(Self::default());
        let serving = origin.clone();
        actix_rt::spawn(serve(listener, async move |head: &RequestHead, _| {
            serving.answer(head).await
        }));
        (origin, address)
    }

    async fn answer(&self, head: &RequestHead) -> Answer {
        let version = number(head, "version").unwrap_or(1);
        let wants_list = head.path().starts_with("/manifest/");
        if self.unreachable_from.get().is_some_and(|first| version >= first) {
            return (503, Bytes::new());
        }
        if wants_list {
            self.digest_lists_sent.set(self.digest_lists_sent.get() + 1);
            tokio::time::sleep(self.digest_list_delay.get()).await;
            let mut digests: Vec<String> = (0..CHUNKS)
                .map(|index| hex::encode(Sha256::digest(self.chunk(version, index))))
                .collect();
            if decrement(&self.digest_lists_to_corrupt) {
                digests[3] = hex::encode(Sha256::digest(b"spoilt"));
            }
            let list = json!({
                "model": "chat", "version": version, "chunkBytes": 1, "layers": 4,
                "digests": digests
            });
            return (200, Bytes::from(list.to_string()));
        }
        let Some(index) = number(head, "num") else { return (404, Bytes::new()) };
        self.chunks_sent.set(self.chunks_sent.get() + 1);
        if decrement(&self.chunks_to_corrupt) {
            return (200, Bytes::from("spoilt"));
        }
        (200, self.chunk(version, index as u32))
    }

    fn chunk(&self, version: u64, index: u32) -> Bytes {
        let mut bytes = chunk(version, index).to_vec();
        bytes.resize(self.min_chunk_bytes.get().max(bytes.len()), b'.');
        Bytes::from(bytes)
    }
}

/// An engine that takes whatever is staged, and remembers whether it was right.
#[derive(Default)]
pub(super) struct ScriptedEngine {
    staged: RefCell<BTreeMap<u64, Bytes>>,
    /// Version that it holds; 0 for none.
    pub(super) version: Cell<u64>,
    /// Orders with anything but the whole version staged.
    pub(super) invalid_loads: Cell<u32>,
    /// Modes of the orders.
    pub(super) order_modes: RefCell<Vec<String>>,
    /// Answers that run. Once a version is staged whole, one ends with each look at the engine.
    pub(super) running_requests: Cell<u32>,
    /// Answers that orders cut off.
    pub(super) cut_off_requests: Cell<u32>,
    /// How many of the next staged chunks turn bad where they lie.
    pub(super) staged_chunks_to_corrupt: Cell<u32>,
    /// Orders begun.
    orders_begun: Cell<u64>,
    /// Highest fencing token of an order that was not refused.
    fence: Cell<u64>,
    /// Whether it takes orders with a lower one all the same.
    pub(super) ignores_tokens: Cell<bool>,
    /// How many of the next orders get no answer, and are kept until they are carried out late.
    pub(super) orders_to_withhold: Cell<u32>,
    withheld_orders: RefCell<Vec<Bytes>>,
    /// What became of its orders, a line each, for whoever looks for the cause of a failure.
    history: RefCell<Vec<String>>,
    /// Whether they are carried out as soon as a chunk in the middle is staged.
    pub(super) executes_while_staging: Cell<bool>,
}

impl ScriptedEngine {
    pub(super) async fn start(host: IpAddr) -> (Rc<Self>, SocketAddr) {
        let listener = tokio::net::TcpListener::bind((host, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let engine = Rc::new(Self::default());
        engine.serve_at(listener);
        (engine, address)
    }

    /// Answers from now on.
    pub(super) fn serve_at(self: &Rc<Self>, listener: tokio::net::TcpListener) {
        let serving = self.clone();
        actix_rt::spawn(serve(listener, async move |head: &RequestHead, body| {
            let is_order = head.path() == "/order";
            if is_order && decrement(&serving.orders_to_withhold) {
                serving.record(&body, "withheld");
                serving.withheld_orders.borrow_mut().push(body);
                return std::future::pending().await;
            }
            serving.answer(head, body)
        }));
    }

    /// Orders that got no answer and are not carried out yet.
    pub(super) fn withheld_order_count(&self) -> usize {
        self.withheld_orders.borrow().len()
    }

    /// Stages the first half of a version, as an agent does that is killed meanwhile.
    pub(super) fn stage_half(&self, version: u64) {
        let chunks = (0..CHUNKS / 2).map(|index| (u64::from(index), chunk(version, index)));
        self.staged.borrow_mut().extend(chunks);
    }

    /// Spoils a staged chunk where it lies.
    pub(super) fn corrupt_staged(&self, index: u64) {
        self.staged.borrow_mut().insert(index, Bytes::from_static(CORRUPTED));
    }

    /// Whether it is still spoilt.
    pub(super) fn is_corrupted(&self, index: u64) -> bool {
        self.staged.borrow().get(&index).is_some_and(|bytes| bytes == CORRUPTED)
    }

    /// Starts again: it holds nothing, counts anew, and what was on its way to it is gone.
    pub(super) fn restart(&self) {
        self.history.borrow_mut().push("started again".to_owned());
        self.version.set(0);
        self.orders_begun.set(0);
        self.fence.set(0);
        self.withheld_orders.borrow_mut().clear();
    }

    /// Carries out what was withheld, as it would now.
    pub(super) fn execute_withheld(&self) {
        for order in self.withheld_orders.take() {
            self.record(&order, "carried out late");
            self.handle_order(&order);
        }
    }

    /// Stages a whole version.
    pub(super) fn stage(&self, version: u64) {
        let chunks = (0..CHUNKS).map(|index| (u64::from(index), chunk(version, index)));
        self.staged.borrow_mut().extend(chunks);
    }

    fn answer(&self, head: &RequestHead, body: Bytes) -> Answer {
        let index = number(head, "num").unwrap_or(u64::MAX);
        match (&head.method[..], head.path()) {
            (b"GET", "/report") => {
                let held = json!([{"name": "chat", "version": self.version.get()}]);
                let models = if self.version.get() == 0 { json!([]) } else { held };
                if self.holds_staged(self.version.get() + 1) {
                    self.running_requests.set(self.running_requests.get().saturating_sub(1));
                }
                let active = self.running_requests.get();
                let report = json!({
                    "models": models, "busy": false, "active": active, "queued": 0,
                    "seq": self.orders_begun.get()
                });
                (200, Bytes::from(report.to_string()))
            }
            (b"PUT", "/stage-put/chat") => {
                let kept = if decrement(&self.staged_chunks_to_corrupt) {
                    Bytes::from_static(CORRUPTED)
                } else {
                    body
                };
                self.staged.borrow_mut().insert(index, kept);
                if self.executes_while_staging.get() && index == u64::from(CHUNKS / 2) {
                    self.execute_withheld();
                }
                (200, Bytes::new())
            }
            (b"GET", "/stage-get/chat") => match self.staged.borrow().get(&index) {
                Some(bytes) => (200, bytes.clone()),
                None => (404, Bytes::new()),
            },
            (b"POST", "/order") => self.handle_order(&body),
            _ => (404, Bytes::new()),
        }
    }

    fn holds_staged(&self, version: u64) -> bool {
        let staged = self.staged.borrow();
        (0..CHUNKS).all(|index| {
            staged.get(&u64::from(index)).is_some_and(|bytes| *bytes == chunk(version, index))
        })
    }

    fn record(&self, order: &[u8], outcome: &str) {
        let order = String::from_utf8_lossy(order);
        let (begun, held) = (self.orders_begun.get(), self.version.get());
        let line = format!("{order} {outcome}; begun {begun}, held {held}");
        self.history.borrow_mut().push(line);
    }

    /// What became of its orders.
    pub(super) fn history(&self) -> String {
        self.history.borrow().join("\n")
    }

    fn handle_order(&self, body: &[u8]) -> Answer {
        let answer = self.apply_order(body);
        let whole = if self.invalid_loads.get() > 0 { ", not whole once" } else { "" };
        self.record(body, &format!("{}{whole}", answer.0));
        answer
    }

    fn apply_order(&self, body: &[u8]) -> Answer {
        let order: serde_json::Value = serde_json::from_slice(body).expect("JSON");
        let version = order["version"].as_u64().expect("a version");
        let begun = self.orders_begun.get();
        let fence = order["fenceToken"].as_u64();
        if !self.ignores_tokens.get() && fence.is_some_and(|fence| fence < self.fence.get()) {
            return (412, Bytes::new());
        }
        if order["expect"].as_u64().is_some_and(|expected| expected != begun) {
            return (409, Bytes::new());
        }
        self.fence.set(fence.unwrap_or(self.fence.get()));
        if version == self.version.get() {
            return (200, Bytes::new());
        }
        self.orders_begun.set(begun + 1);
        self.cut_off_requests.set(self.cut_off_requests.get() + self.running_requests.replace(0));
        if !self.holds_staged(version) {
            self.invalid_loads.set(self.invalid_loads.get() + 1);
        }
        self.order_modes.borrow_mut().push(order["mode"].as_str().unwrap_or_default().to_owned());
        self.version.set(version);
        (202, Bytes::new())
    }
}

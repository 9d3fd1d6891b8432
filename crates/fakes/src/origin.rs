//! A fake origin or weight store: serves manifests and byte ranges, with a throttled link and a
//! limited request rate.

use actix_http::{
    HttpMessage, Method, Request, Response, StatusCode, body::SizedStream, header::HeaderMap,
};
use bytes::Bytes;
use egretseam_http::{
    HttpHandler, HttpReply, ServerHandle, ServerOptions, header_text, json_reply, spawn_server,
    text_reply,
};
use egretseam_swarm::{LinkPacer, WeightManifest};
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use std::{
    cell::Cell,
    io,
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};
use tokio::time::Instant;

/// Most bytes sent at a time.
const PIECE_BYTES: usize = 32 * 1024;

/// Limits of a fake origin.
#[derive(Clone, Copy, Debug, Default)]
pub struct OriginOptions {
    /// Rate of its link; `None` for no limit.
    pub bytes_per_second: Option<u64>,
    /// Requests per second beyond which it responds with 429; `None` for no limit.
    pub requests_per_second: Option<u32>,
}

/// Faults that can be switched on from another thread.
#[derive(Debug, Default)]
pub struct OriginFaults {
    /// Responds with 502 to every request.
    pub down: AtomicBool,
    /// One in this many ranges has its first byte inverted; 0 means none.
    pub corrupt_one_in: AtomicU64,
}

/// Counters of a fake origin.
#[derive(Debug, Default)]
pub struct OriginCounters {
    /// Bytes of weights sent.
    pub bytes_sent: AtomicU64,
    /// Range requests that were served.
    pub range_requests: AtomicU64,
    /// Requests rejected by the rate limit.
    pub rate_limited: AtomicU64,
}

struct PublishedVersion {
    manifest: WeightManifest,
    data: Bytes,
}

/// A fake origin; its clones share the published versions, faults, and counters.
#[derive(Clone, Default)]
pub struct FakeOrigin {
    versions: Arc<Mutex<IndexMap<String, Arc<PublishedVersion>>>>,
    /// Faults to inject.
    pub faults: Arc<OriginFaults>,
    /// Counters of all servers that were started.
    pub counters: Arc<OriginCounters>,
}

impl FakeOrigin {
    /// Publishes a version under the model and version of its manifest; replaces an earlier one.
    pub fn publish(&self, manifest: &WeightManifest, data: Vec<u8>) {
        let path = format!("{}/{}", manifest.model(), manifest.version());
        let version = PublishedVersion { manifest: manifest.clone(), data: Bytes::from(data) };
        let mut versions = self.versions.lock().expect("no holder panics");
        versions.insert(path, Arc::new(version));
    }

    /// Starts serving `listener` on the current thread.
    ///
    /// # Errors
    /// Fails if the listener cannot be used.
    pub fn start(&self, options: OriginOptions, listener: TcpListener) -> io::Result<ServerHandle> {
        let handler = OriginHandler {
            origin: self.clone(),
            pacer: Rc::new(LinkPacer::new(options.bytes_per_second)),
            options,
            window_start: Cell::new(Instant::now()),
            window_count: Cell::new(0),
        };
        spawn_server(listener, Rc::new(handler), ServerOptions::default())
    }
}

struct OriginHandler {
    origin: FakeOrigin,
    pacer: Rc<LinkPacer>,
    options: OriginOptions,
    window_start: Cell<Instant>,
    window_count: Cell<u32>,
}

impl OriginHandler {
    fn respond(&self, request: &Request) -> HttpReply {
        let counters = &self.origin.counters;
        if self.origin.faults.down.load(Ordering::Relaxed) {
            return text_reply(StatusCode::BAD_GATEWAY, "down\n");
        }
        if self.is_limited() {
            counters.rate_limited.fetch_add(1, Ordering::Relaxed);
            let mut reply = text_reply(StatusCode::TOO_MANY_REQUESTS, "slow down\n");
            let value = actix_http::header::HeaderValue::from_static("1");
            reply.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
            return reply;
        }
        let parts: Vec<&str> = request.path().split('/').skip(1).collect();
        let (["weights", model, version, resource], &Method::GET) =
            (parts.as_slice(), request.method())
        else {
            return text_reply(StatusCode::NOT_FOUND, "no such path\n");
        };
        let path = format!("{model}/{version}");
        let found = self.origin.versions.lock().expect("no holder panics").get(&path).cloned();
        let Some(found) = found else {
            return text_reply(StatusCode::NOT_FOUND, "no such version\n");
        };
        match *resource {
            "manifest" => json_reply(StatusCode::OK, found.manifest.raw()),
            "data" => self.send_range(&found, request.headers()),
            _ => text_reply(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    fn is_limited(&self) -> bool {
        let Some(limit) = self.options.requests_per_second else { return false };
        if self.window_start.get().elapsed().as_secs() >= 1 {
            self.window_start.set(Instant::now());
            self.window_count.set(0);
        }
        self.window_count.set(self.window_count.get() + 1);
        self.window_count.get() > limit
    }

    fn send_range(&self, version: &PublishedVersion, headers: &HeaderMap) -> HttpReply {
        let range = header_text(headers, "range").and_then(parse_range);
        let Some((first, last)) = range else {
            return text_reply(StatusCode::RANGE_NOT_SATISFIABLE, "a range is needed\n");
        };
        if last < first || last >= version.data.len() {
            return text_reply(StatusCode::RANGE_NOT_SATISFIABLE, "out of range\n");
        }
        let range_number = self.origin.counters.range_requests.fetch_add(1, Ordering::Relaxed) + 1;
        let mut data = version.data.slice(first..=last);
        let one_in = self.origin.faults.corrupt_one_in.load(Ordering::Relaxed);
        if one_in > 0 && range_number.is_multiple_of(one_in) {
            let mut copy = data.to_vec();
            copy[0] ^= 0xff;
            data = Bytes::from(copy);
        }
        let length = data.len() as u64;
        let sender =
            RangeSender { pacer: self.pacer.clone(), counters: self.origin.counters.clone(), data };
        let pieces = futures::stream::unfold(sender, RangeSender::next);
        let mut builder = Response::build(StatusCode::PARTIAL_CONTENT);
        let total = version.data.len();
        builder.insert_header(("content-range", format!("bytes {first}-{last}/{total}")));
        builder.body(SizedStream::new(length, Box::pin(pieces))).map_into_boxed_body()
    }
}

struct RangeSender {
    pacer: Rc<LinkPacer>,
    counters: Arc<OriginCounters>,
    data: Bytes,
}

impl RangeSender {
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.data.is_empty() {
            return None;
        }
        let piece = self.data.split_to(self.data.len().min(PIECE_BYTES));
        self.pacer.acquire(piece.len()).await;
        self.counters.bytes_sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
        Some((Ok(piece), self))
    }
}

fn parse_range(text: &str) -> Option<(usize, usize)> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    Some((first.parse().ok()?, last.parse().ok()?))
}

impl HttpHandler for OriginHandler {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move { self.respond(&request) })
    }
}

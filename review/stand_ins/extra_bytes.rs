//! A faulty server that sends additional bytes after a complete response, late: where the next
//! response on the channel is expected. `extra_bytes RECORD` plays the case and writes
//! the file RECORD.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#[allow(dead_code)]
#[path = "http.rs"]
mod http;
#[path = "platform.rs"]
#[allow(dead_code)]
mod platform;
#[allow(dead_code)]
#[path = "processes.rs"]
mod processes;
#[path = "record.rs"]
mod record;

use http::{Answer, Exchange, Request};
use processes::Deployment;
use record::Record;
use std::{
    cell::Cell,
    collections::BTreeMap,
    io::Write,
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Requests that clients send while both servers are up.
const REQUESTS: usize = 40;
/// Time that a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(30);
/// What the faulty server sends by turns: neither names a request, and servers echo the id of the
/// request in their responses.
const EXTRA_BYTES: [&str; 2] = [
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
];

struct Platform {
    record: Arc<Record>,
    deployment: Deployment,
    has_trouble: bool,
    extras: AtomicU64,
    next_request: AtomicU64,
    is_stopped: AtomicBool,
    /// How often each request ran.
    runs: Mutex<BTreeMap<String, u32>>,
}

thread_local! {
    /// Responses completed on this thread's channel.
    static COMPLETED: Cell<u32> = const { Cell::new(0) };
}

fn main() {
    platform::run_case("extra bytes", play);
}

fn play(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let platform = Arc::new(Platform {
        record: record.clone(),
        deployment: Deployment::start(0, record)?,
        has_trouble,
        extras: AtomicU64::new(0),
        next_request: AtomicU64::new(1),
        is_stopped: AtomicBool::new(false),
        runs: Mutex::default(),
    });
    let result = platform.play();
    platform.is_stopped.store(true, Ordering::SeqCst);
    platform.deployment.stop();
    result
}

impl Platform {
    fn play(self: &Arc<Self>) -> Result<bool, String> {
        self.start_server("i-faulty", 0)?;
        self.start_server("i-sound", 1)?;
        platform::send_order(&self.deployment, &self.record, "/config/replace", &manifest())?;
        platform::repeat(|| self.ask().1 == Some(200)).ok_or("no request was answered")?;
        thread::sleep(Duration::from_secs(2));
        let mut refused_but_run = 0;
        for _ in 0..REQUESTS {
            let (id, status) = self.ask();
            let runs = self.runs_of(&id);
            self.record.line(&format!("client: {id} gets {status:?}; it has run {runs} times"));
            let is_promise = matches!(status, Some(408 | 421 | 429 | 503));
            refused_but_run += usize::from(is_promise && runs > 0);
            thread::sleep(Duration::from_millis(50));
        }
        let runs = self.runs.lock().expect("no holder panics");
        let twice = runs.values().filter(|runs| **runs > 1).count();
        self.record.line(&format!("{twice} requests that are not idempotent ran more than once"));
        self.record.line(&format!("{refused_but_run} were answered 503 and had run"));
        Ok(twice > 0 || refused_but_run > 0)
    }

    fn start_server(self: &Arc<Self>, id: &'static str, index: usize) -> Result<(), String> {
        let address = self.deployment.runner_address(index);
        let listener = TcpListener::bind(&address).map_err(|error| error.to_string())?;
        let platform = self.clone();
        http::serve(listener, move |request, stream| platform.respond(id, request, stream));
        let platform = self.clone();
        thread::spawn(move || {
            platform::announce(&platform.deployment, id, &address, &platform.is_stopped);
        });
        Ok(())
    }

    fn respond(&self, id: &str, request: &Request, stream: &mut TcpStream) -> bool {
        let request_id = request.header("X-Request-Id").unwrap_or_default().to_owned();
        let echo = format!("X-Request-Id: {request_id}\r\n");
        if request.header("X-Target-Instance").is_some_and(|target| target != id) {
            let headers = format!("{echo}X-Not-Executed: 1\r\nX-Instance-Id: {id}\r\n");
            return Answer::json(421, "{}").with_headers(&headers).send(stream);
        }
        if id == "i-faulty" && self.has_trouble && COMPLETED.get() > 0 {
            let number = self.extras.fetch_add(1, Ordering::SeqCst);
            let extra = EXTRA_BYTES[number as usize % EXTRA_BYTES.len()];
            stream.write_all(extra.as_bytes()).ok();
            self.record.line(&format!("{id}: additional bytes after its last response, {extra:?}"));
        }
        *self.runs.lock().expect("no holder panics").entry(request_id.clone()).or_default() += 1;
        self.record.line(&format!("{id}: runs {request_id}"));
        thread::sleep(WORK_TIME);
        let headers = format!("{echo}X-Response-Signature: {id}.{request_id}\r\n");
        let is_kept = Answer::json(200, "{\"done\":true}").with_headers(&headers).send(stream);
        COMPLETED.set(COMPLETED.get() + 1);
        is_kept
    }

    fn runs_of(&self, id: &str) -> u32 {
        // A server may still be at work on it.
        thread::sleep(2 * WORK_TIME);
        self.runs.lock().expect("no holder panics").get(id).copied().unwrap_or(0)
    }

    /// Sends one request; returns its id and the status of its answer.
    fn ask(&self) -> (String, Option<u16>) {
        let number = self.next_request.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let headers = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n");
        let exchange = Exchange::new(&self.deployment.entry_address(), "POST", "/o/file", "order")
            .with_host("orders.example")
            .with_headers(&headers);
        (id, exchange.status(Duration::from_secs(4)))
    }
}

fn manifest() -> String {
    r#"{"version":1,"routes":[{"name":"o","host":"orders.example","pathPrefix":"/o/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":"orders","maxAttempts":2,"public":true,"stickySessions":false,"streamResume":false}],"services":[{"name":"orders","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#.to_owned()
}

//! A server that leaves as planned and crashes in the middle of its last answers. `leaving RECORD` plays the
//! case and writes the file RECORD; `leaving serve ID ADDRESS` is one server process.
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

use http::{Answer, ClientAnswer, Exchange, Request};
use processes::Deployment;
use record::Record;
use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    process::{Child, Command},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Parts of each answer.
const PARTS: usize = 10;
/// Time between two parts.
const PART_PAUSE: Duration = Duration::from_millis(300);

/// The platform's side of the case.
struct Platform {
    record: Arc<Record>,
    deployment: Deployment,
    is_draining: AtomicBool,
    /// Last announcement of the leaving server as draining that was acknowledged.
    drain_acks: AtomicU64,
    is_stopped: AtomicBool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [command, id, address] = &arguments[..]
        && command == "serve"
    {
        serve(id, address);
    }
    platform::run_case("leaving", play);
}

fn play(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let deployment = Deployment::start(0, record)?;
    let platform = Arc::new(Platform {
        record: record.clone(),
        deployment,
        is_draining: AtomicBool::new(false),
        drain_acks: AtomicU64::new(0),
        is_stopped: AtomicBool::new(false),
    });
    let mut servers = Vec::new();
    let result = platform.play(has_trouble, &mut servers);
    platform.is_stopped.store(true, Ordering::SeqCst);
    for server in &mut servers {
        server.kill().ok();
        server.wait().ok();
    }
    platform.deployment.stop();
    result
}

impl Platform {
    fn play(self: &Arc<Self>, has_trouble: bool, servers: &mut Vec<Child>) -> Result<bool, String> {
        servers.push(self.start_server("i-leaving", 0)?);
        platform::send_order(&self.deployment, &self.record, "/config/replace", &manifest())?;
        let is_served = || self.ask("/o/quick").is_some_and(|answer| answer.status == 200);
        platform::repeat(is_served).ok_or("no request was answered")?;
        let asked: Vec<JoinHandle<Option<ClientAnswer>>> = ["/o/plain", "/s/stream"]
            .into_iter()
            .map(|target| {
                let platform = self.clone();
                thread::spawn(move || platform.ask(target))
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        // The new server starts first, the old one drains.
        servers.push(self.start_server("i-new", 1)?);
        self.is_draining.store(true, Ordering::SeqCst);
        let give_up_at = Instant::now() + Duration::from_secs(3);
        while self.drain_acks.load(Ordering::SeqCst) == 0 {
            if Instant::now() >= give_up_at {
                return Err("draining was not acknowledged".to_owned());
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line("i-leaving: draining is acknowledged");
        thread::sleep(Duration::from_millis(400));
        if has_trouble {
            servers[0].kill().map_err(|error| error.to_string())?;
            servers[0].wait().ok();
            self.record.line("i-leaving: its process is killed");
        }
        let mut is_broken = false;
        for asked in asked {
            let answer = asked.join().map_err(|_| "a client failed".to_owned())?;
            let Some(answer) = answer else { continue };
            let parts = answer.body.lines().filter(|line| line.contains("part ")).count();
            self.record.line(&format!(
                "client: status {}, {}, {parts} of {PARTS} parts",
                answer.status,
                if answer.is_whole { "looks complete" } else { "visibly broken off" }
            ));
            is_broken |= answer.status == 200 && answer.is_whole && parts < PARTS;
        }
        Ok(is_broken)
    }

    /// Starts a server process, and announces it until the end.
    fn start_server(self: &Arc<Self>, id: &'static str, index: usize) -> Result<Child, String> {
        let address = self.deployment.runner_address(index);
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let server = Command::new(program).args(["serve", id, &address]).spawn();
        let platform = self.clone();
        thread::spawn(move || platform.beat(id, &address, index == 0));
        server.map_err(|error| error.to_string())
    }

    fn beat(&self, id: &str, address: &str, leaves: bool) {
        let mut sequence = 0;
        while !self.is_stopped.load(Ordering::SeqCst) {
            sequence += 1;
            let is_draining = leaves && self.is_draining.load(Ordering::SeqCst);
            let state = if is_draining { "draining" } else { "ready" };
            let is_acknowledged =
                platform::send_heartbeat(&self.deployment, id, address, state, sequence);
            if is_acknowledged && is_draining {
                self.drain_acks.store(sequence, Ordering::SeqCst);
            }
            let next = Instant::now() + Duration::from_millis(1_200);
            while Instant::now() < next {
                // A change of the state is announced at once.
                if leaves && !is_draining && self.is_draining.load(Ordering::SeqCst) {
                    break;
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn ask(&self, target: &str) -> Option<ClientAnswer> {
        static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);
        let id = format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::SeqCst));
        self.record.line(&format!("client: sends {id} {target}"));
        let headers = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\n");
        Exchange::new(&self.deployment.entry_address(), "POST", target, "order")
            .with_host("orders.example")
            .with_headers(&headers)
            .answer(Duration::from_secs(6))
    }
}

fn manifest() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"orders.example","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":6000,"targetLatencyMs":300,"priority":1,"service":"orders","maxAttempts":2,"public":true,"stickySessions":false,"streamResume":false,"targetGapMs":1000}}"#
        )
    };
    let routes = [route("o", "/o/", "non_idempotent"), route("s", "/s/", "streaming")].join(",");
    format!(
        r#"{{"version":1,"routes":[{routes}],"services":[{{"name":"orders","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// Serves requests until the process is killed.
fn serve(id: &str, address: &str) -> ! {
    let listener = TcpListener::bind(address).expect("listen");
    let id = id.to_owned();
    http::serve(listener, move |request, stream| respond(&id, request, stream));
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// Answers without a length: the answer ends with its channel.
fn respond(id: &str, request: &Request, stream: &mut TcpStream) -> bool {
    let request_id = request.header("X-Request-Id").unwrap_or_default();
    let echo = format!("X-Request-Id: {request_id}\r\n");
    if request.header("X-Target-Instance").is_some_and(|target| target != id) {
        let headers = format!("{echo}X-Not-Executed: 1\r\nX-Instance-Id: {id}\r\n");
        return Answer::json(421, "{}").with_headers(&headers).send(stream);
    }
    let signature = format!("{echo}X-Response-Signature: {id}.{request_id}\r\n");
    if request.path() == "/o/quick" {
        return Answer::json(200, "{}").with_headers(&signature).send(stream);
    }
    let is_stream = request.path().starts_with("/s/");
    let kind = if is_stream { "text/event-stream" } else { "text/plain" };
    let head =
        format!("HTTP/1.1 200 OK\r\n{signature}Content-Type: {kind}\r\nConnection: close\r\n\r\n");
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for part in 1..=PARTS {
        let text = if is_stream {
            format!("id: {part}\ndata: part {part}\n\n")
        } else {
            format!("part {part}\n")
        };
        is_open = is_open && stream.write_all(text.as_bytes()).is_ok();
        thread::sleep(PART_PAUSE);
    }
    false
}

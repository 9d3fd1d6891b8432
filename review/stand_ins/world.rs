//! Stand-ins of the platform around the project's own processes: servers with model engines, the origin of
//! weights, an operator and clients, all on loopback addresses. `world CASE RECORD` plays one case of
//! the review and writes the file RECORD.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#[path = "http.rs"]
mod http;
#[path = "processes.rs"]
mod processes;
#[path = "record.rs"]
mod record;
#[path = "runner.rs"]
mod runner;
#[path = "sha256.rs"]
mod sha256;

use http::{Exchange, Request};
use processes::Deployment;
use record::Record;
use runner::Runner;
use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Model of the deployment.
pub const MODEL: &str = "model-a";
/// Pieces of one version of the weights.
pub const PIECES: usize = 48;
/// Bytes of one piece.
pub const PIECE_BYTES: usize = 49_152;
/// Side machines.
const RUNNERS: usize = 4;
/// Longest freeze of a side machine that the site file has.
const FREEZE: Duration = Duration::from_secs(4);
/// Time from the last check of the staged pieces until the machine freezes; the agent lets its engine
/// drain for 0.7 s at most.
const CHECK_AGE: Duration = Duration::from_millis(200);
/// `version_ms` of the site.
const VERSION_LIMIT: Duration = Duration::from_millis(8_000);
/// Age from which on a spoilt piece counts, by the rule.
const SPOILT_LIMIT: Duration = Duration::from_secs(3);

/// Bytes of a piece of a version.
pub fn piece(version: u64, index: usize) -> Vec<u8> {
    let mut state = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (index as u64 + 1);
    let mut bytes = Vec::with_capacity(PIECE_BYTES);
    while bytes.len() < PIECE_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes
}

/// Which case is played.
#[derive(Clone, Copy, PartialEq)]
enum Case {
    /// A machine freezes between the last check of the staged pieces and the order.
    Order,
    /// A machine freezes beyond the time until which a request may begin on its weights.
    Version,
}

struct World {
    record: Arc<Record>,
    deployment: Deployment,
    runners: Vec<Arc<Runner>>,
    next_request: AtomicU64,
    stopped: AtomicBool,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (name, path) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let case = if name == "order" { Case::Order } else { Case::Version };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&path));
    record.line(&format!("case {name}, trouble {has_trouble}"));
    let status = match play(case, has_trouble, &record) {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            2
        }
    };
    record.line(&format!("exit status {status}"));
    std::process::exit(status);
}

/// Plays a case; returns whether the rule was broken.
fn play(case: Case, has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let deployment = Deployment::start(RUNNERS, record)?;
    let runners: Vec<Arc<Runner>> = (0..RUNNERS)
        .map(|index| {
            let (id, address) = (format!("i-{index}"), deployment.runner_address(index));
            Arc::new(Runner::new(&id, address, record.clone()))
        })
        .collect();
    let world = Arc::new(World {
        record: record.clone(),
        deployment,
        runners,
        next_request: AtomicU64::new(1),
        stopped: AtomicBool::new(false),
    });
    let result = world.play(case, has_trouble);
    world.stopped.store(true, Ordering::SeqCst);
    world.deployment.stop();
    result
}

impl World {
    fn play(self: &Arc<Self>, case: Case, has_trouble: bool) -> Result<bool, String> {
        self.start_stand_ins()?;
        // Requests that one engine may answer in place of another let it be preempted.
        let max_attempts = if case == Case::Order { 2 } else { 1 };
        self.acknowledged("/config/replace", &self.manifest(max_attempts))?;
        self.await_first_answer()?;
        self.start_clients(case);
        thread::sleep(Duration::from_secs(2));
        self.acknowledged("/version-put", &format!("{{\"model\":\"{MODEL}\",\"version\":2}}"))?;
        let acked_at = Instant::now();
        let frozen = match (has_trouble, case) {
            (false, _) => true,
            (true, Case::Order) => self.freeze_before_order(acked_at),
            (true, Case::Version) => self.freeze_past_bound(acked_at),
        };
        let until = acked_at + Duration::from_secs(12);
        thread::sleep(until.saturating_duration_since(Instant::now()));
        // No request is under way when the processes end.
        self.stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(2));
        if !frozen {
            return Err("no machine could be frozen at the right moment".to_owned());
        }
        if !self.runners.iter().all(|runner| runner.version() == 2) {
            return Err("a runner did not get the new version".to_owned());
        }
        Ok(self.is_broken(case, acked_at))
    }

    /// Freezes the first machine whose agent has just found all staged pieces of the new version
    /// correct; one piece turns bad before.
    fn freeze_before_order(&self, acked_at: Instant) -> bool {
        while acked_at.elapsed() < Duration::from_secs(8) {
            for (index, runner) in self.runners.iter().enumerate() {
                if !runner.is_checked() || runner.running() == 0 {
                    continue;
                }
                thread::sleep(CHECK_AGE);
                if runner.is_checked() {
                    runner.spoil(7);
                    self.freeze(index);
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        false
    }

    /// Freezes the last machine that still serves the former version, so that it wakes after the
    /// bound.
    fn freeze_past_bound(&self, acked_at: Instant) -> bool {
        let at = acked_at + VERSION_LIMIT + Duration::from_millis(450) - FREEZE;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let index = self.runners.iter().rposition(|runner| runner.version() == 1);
        if let Some(index) = index {
            self.freeze(index);
        }
        index.is_some()
    }

    /// Stops a side machine for [`FREEZE`]: its agent and its runner.
    fn freeze(&self, index: usize) {
        self.record.line(&format!("side machine {index} freezes"));
        self.runners[index].set_frozen(true);
        self.deployment.signal_agent(index, processes::SIGSTOP);
        thread::sleep(FREEZE);
        self.deployment.signal_agent(index, processes::SIGCONT);
        self.runners[index].set_frozen(false);
        self.record.line(&format!("side machine {index} wakes"));
    }

    fn is_broken(&self, case: Case, acked_at: Instant) -> bool {
        let mut broken = 0;
        for runner in &self.runners {
            broken += match case {
                Case::Order => runner.spoilt_tokens(SPOILT_LIMIT),
                Case::Version => runner.begun_on(1, acked_at + VERSION_LIMIT),
            };
        }
        let what = match case {
            Case::Order => "tokens made with a piece that had been spoilt for over 3 s",
            Case::Version => "requests that began on version 1 over 8 s after the ack of version 2",
        };
        self.record.line(&format!("{broken} {what}"));
        broken > 0
    }

    fn start_stand_ins(self: &Arc<Self>) -> Result<(), String> {
        for runner in &self.runners {
            let listener =
                TcpListener::bind(runner.address()).map_err(|error| error.to_string())?;
            let runner = runner.clone();
            let serve = runner.clone();
            http::serve(listener, move |request, stream| serve.respond(request, stream));
            let world = self.clone();
            thread::spawn(move || world.beat(&runner));
        }
        let listener = TcpListener::bind(self.deployment.origin_address())
            .map_err(|error| error.to_string())?;
        http::serve(listener, |request, stream| origin(request).send(stream));
        Ok(())
    }

    /// Announces a runner until the end.
    fn beat(&self, runner: &Runner) {
        let mut sequence = 0;
        while !self.stopped.load(Ordering::SeqCst) {
            runner.await_thaw();
            sequence += 1;
            let path = format!("/instances/{}/heartbeat", runner.id());
            let body = runner.announcement(sequence);
            let controls = self.deployment.control_addresses();
            let acknowledged = controls.iter().any(|address| {
                let exchange = Exchange::new(address, "POST", &path, &body);
                exchange.status(Duration::from_secs(1)) == Some(200)
            });
            let pause = if acknowledged { 1_200 } else { 200 };
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends an order of the operator until it is acknowledged.
    fn acknowledged(&self, path: &str, body: &str) -> Result<(), String> {
        let give_up_at = Instant::now() + Duration::from_secs(20);
        while Instant::now() < give_up_at {
            for address in self.deployment.control_addresses() {
                let status =
                    Exchange::new(&address, "POST", path, body).status(Duration::from_secs(1));
                if status == Some(200) {
                    self.record.line(&format!("operator: {path} acknowledged"));
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(format!("{path} was not acknowledged"))
    }

    fn manifest(&self, max_attempts: u32) -> String {
        let origin = self.deployment.origin_address();
        format!(
            r#"{{"version":1,"routes":[{{"name":"r","host":"model.example","pathPrefix":"/m/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":1,"service":"models","maxAttempts":{max_attempts},"public":true,"stickySessions":true,"streamResume":true,"targetGapMs":300}}],"services":[{{"name":"models","healthPath":"/healthz","maxConnections":434,"protocol":"h1","tls":false,"engine":{{"slots":16,"models":[{{"name":"{MODEL}","pace":1.0,"loadS":4.0,"warmS":0.3}}],"layers":16,"chunks":{PIECES},"chunkBytes":{PIECE_BYTES}}}}},{{"name":"weights","origin":"{origin}","zone":"thrace-a","linkMbps":15.0,"maxConnections":48}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        )
    }

    fn await_first_answer(&self) -> Result<(), String> {
        let give_up_at = Instant::now() + Duration::from_secs(20);
        while Instant::now() < give_up_at {
            if self.ask(false) == Some(200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("no request was answered".to_owned())
    }

    /// Sends requests until the end, each on a channel of its own.
    fn start_clients(self: &Arc<Self>, case: Case) {
        let world = self.clone();
        // Long streams keep the engines busy, so that an agent lets them drain before it orders.
        let pause = if case == Case::Order { 100 } else { 25 };
        thread::spawn(move || {
            while !world.stopped.load(Ordering::SeqCst) {
                let client = world.clone();
                thread::spawn(move || client.ask(true));
                thread::sleep(Duration::from_millis(pause));
            }
        });
    }

    /// Sends one request through the entry and reads its answer; returns the status.
    fn ask(&self, is_recorded: bool) -> Option<u16> {
        let number = self.next_request.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let headers = format!(
            "X-Request-Id: {id}\r\nX-Model: {MODEL}\r\nX-Token-Usage: 700,100\r\nX-Deadline-Ms: 6000\r\n"
        );
        let address = self.deployment.entry_address();
        let exchange = Exchange::new(&address, "POST", "/m/ask", "prompt")
            .with_host("model.example")
            .with_headers(&headers);
        let answer = exchange.answer(Duration::from_secs(6));
        if is_recorded {
            let text = answer.as_ref().map_or("no answer".to_owned(), |answer| answer.summary());
            self.record.line(&format!("client: {id} {text}"));
        }
        answer.map(|answer| answer.status)
    }
}

/// The origin's answer.
fn origin(request: &Request) -> http::Answer {
    let version: u64 = request.query("version").and_then(|text| text.parse().ok()).unwrap_or(2);
    if request.path().starts_with("/manifest/") {
        let digests: Vec<String> = (0..PIECES)
            .map(|index| format!("\"{}\"", sha256::hex(&piece(version, index))))
            .collect();
        let body = format!(
            "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunkBytes\":{PIECE_BYTES},\"layers\":16,\"digests\":[{}]}}",
            digests.join(",")
        );
        return http::Answer::json(200, &body);
    }
    match request.query("num").and_then(|text| text.parse().ok()) {
        Some(index) if index < PIECES => http::Answer::bytes(200, piece(version, index)),
        _ => http::Answer::json(404, "{}"),
    }
}

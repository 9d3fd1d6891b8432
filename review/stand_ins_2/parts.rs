//! What the cases about answers that break off share: the manifest, the runners, the callers, and the
//! check.

use crate::{
    http::{BodyEnd, Channel, Response, request},
    record::Record,
    runner::{self, PIECES},
    world::{FRONT_PORT, RUNNER_PORT, World},
};
use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::mpsc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

pub const HOST: &str = "jepu9.example";
/// Runners of the service: one of eight is an eighth of them.
pub const RUNNERS: u8 = 8;
/// Requests under way, in turn to a stream that may be resumed, one that may not, and an answer that
/// is no stream.
pub const REQUESTS: usize = 48;
const PATHS: [&str; 3] = ["/resumed/a", "/single/a", "/plain/a"];
const ZONES: [&str; 3] = ["bog-hall-a", "med-hall-a", "baq-hall-a"];

const MANIFEST: &str = r#"{"version":3,"routes":[
{"name":"r-resumed","host":"jepu9.example","pathPrefix":"/resumed/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":1,"service":"huvo11a","maxAttempts":2,"public":true,"stickySessions":true,"streamResume":true,"targetGapMs":300},
{"name":"r-single","host":"jepu9.example","pathPrefix":"/single/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":1,"service":"huvo11a","maxAttempts":1,"public":true,"stickySessions":true,"streamResume":false,"targetGapMs":300},
{"name":"r-plain","host":"jepu9.example","pathPrefix":"/plain/","kind":"non_idempotent","timeoutMs":6000,"targetLatencyMs":400,"priority":1,"service":"huvo11a","maxAttempts":1,"public":true},
{"name":"r-warm","host":"jepu9.example","pathPrefix":"/warm/","kind":"idempotent","timeoutMs":6000,"targetLatencyMs":400,"priority":2,"service":"huvo11a","maxAttempts":2,"public":true},
{"name":"r-kept","host":"jepu9.example","pathPrefix":"/kept/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"gowu98c","maxAttempts":2,"public":true}],
"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":274,"protocol":"h1","tls":false},
{"name":"gowu98c","healthPath":"/healthz","maxConnections":48,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A runner's process.
pub struct RunnerProcess {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl RunnerProcess {
    /// Starts a boot of the runner on a machine. Each boot has an id of its own.
    pub fn start(world: &World, index: u8, boot: u8) -> Self {
        Self::start_of(world, "huvo11a", index, boot)
    }

    /// The same, of a service.
    pub fn start_of(world: &World, service: &str, index: u8, boot: u8) -> Self {
        let zone = ZONES[usize::from(index) % 3];
        let address = world.runner(index).at(RUNNER_PORT);
        let controls: Vec<String> = world.controls().iter().map(SocketAddr::to_string).collect();
        let id = format!("i-runner-{index}-{boot}");
        let mut child = Command::new(runner::program())
            .args(["runner", &id, service, zone, &address.to_string(), &controls.join(",")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| world.stop_unable(&format!("a runner: {error}")));
        world.record.line(format!("{id} starts, process {}", child.id()));
        let output = child.stdout.take().expect("the output is piped");
        let (sender, lines) = mpsc::channel();
        let record = world.record.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(format!("{id}: {line}"));
                sender.send(line).ok();
            }
        });
        Self { child, lines }
    }

    pub fn tell(&mut self, word: &str) {
        let input = self.child.stdin.as_mut().expect("the input is piped");
        writeln!(input, "{word}").ok();
        input.flush().ok();
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits for a line that holds `part`; whether it came in time.
    pub fn await_line(&self, part: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            match self.lines.recv_timeout(left) {
                Ok(line) if line.contains(part) => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
        false
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn ask(address: SocketAddr, path: &str, id: &str) -> Option<Response> {
    let fields = [("Host", HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "6000")];
    let mut channel = Channel::open(address, Duration::from_secs(1)).ok()?;
    channel.stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    channel.send(&request("POST", path, &fields, b"{}")).ok()?;
    let head = channel.read_head().ok()??;
    let (body, end) = channel.read_body(&head, false);
    Some(Response { head, body, end })
}

/// A request that is under way: its path, its id and its answer.
pub type Asked = JoinHandle<(&'static str, String, Option<Response>)>;

/// Starts the system with so many entries, and the runners, and waits until requests are served.
pub fn start(world: &mut World, entries: u8) -> Vec<RunnerProcess> {
    start_system(world, entries);
    let runners: Vec<RunnerProcess> =
        (0..RUNNERS).map(|index| RunnerProcess::start(world, index, 1)).collect();
    if !runners.iter().all(|one| one.await_line("ready, number 1: 200", Duration::from_secs(10))) {
        world.stop_unable("a runner was not acknowledged");
    }
    for index in 0..entries {
        await_served(world, world.entry(index).at(FRONT_PORT));
    }
    // The entries learn of all runners.
    thread::sleep(Duration::from_secs(1));
    runners
}

/// Starts the system with so many entries, and waits until they are ready.
pub fn start_system(world: &mut World, entries: u8) {
    for index in 0..3 {
        let process = world.add_control(index, true);
        world.start(process);
    }
    for index in 0..entries {
        let process = world.add_entry(index);
        world.start(process);
    }
    world.send_manifest(MANIFEST);
    for index in 0..entries {
        world.await_ready(index);
    }
}

/// Sends so many requests, in turn to the first `entries` entries.
pub fn ask_all(world: &World, entries: u8, requests: usize) -> Vec<Asked> {
    let asks = (0..requests).map(|number| {
        let path = PATHS[number % 3];
        let address = world.entry((number / 3 % usize::from(entries)) as u8).at(FRONT_PORT);
        let id = format!("{number:016x}");
        world.record.line(format!("client sends request {id}, {path}, to {address}"));
        thread::spawn(move || (path, id.clone(), ask(address, path, &id)))
    });
    asks.collect()
}

/// Has each entry open channels to the runners, which it keeps: `requests` short ones at a time.
pub fn warm_up(world: &World, entries: u8, requests: usize) {
    let asks: Vec<JoinHandle<u16>> = (0..usize::from(entries) * requests)
        .map(|number| {
            let address = world.entry((number / requests) as u8).at(FRONT_PORT);
            let id = format!("{:016x}", 0xb000 + number);
            thread::spawn(move || ask(address, "/warm/a", &id).map_or(0, |one| one.head.status()))
        })
        .collect();
    let all = asks.len();
    let statuses = asks.into_iter().map(|ask| ask.join().expect("no client panics"));
    let served = statuses.filter(|status| *status == 200).count();
    world.record.line(format!("{served} of {all} short requests were served"));
}

/// Records the answers; returns whether a rule was broken.
pub fn judge_all(world: &World, asks: Vec<Asked>) -> bool {
    let mut broken = 0;
    for ask in asks {
        let (path, id, response) = ask.join().expect("no client panics");
        broken += usize::from(judge(&world.record, path, &id, response.as_ref()));
    }
    world.record_checks();
    world.record.line(format!("{broken} answers look complete and are not whole"));
    world.record.line(if broken > 0 { "the rule was broken" } else { "the rule held" });
    broken > 0
}

/// Waits until requests are served, so that the entry knows the runner.
fn await_served(world: &World, address: SocketAddr) {
    for number in 0..100 {
        let id = format!("{:016x}", 0xa000 + number);
        if ask(address, "/resumed/short", &id).is_some_and(|reply| reply.head.status() == 200) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    world.stop_unable("no request was served");
}

/// Records an answer; returns whether it looks complete and is not the runner's whole answer.
fn judge(record: &Record, path: &str, id: &str, response: Option<&Response>) -> bool {
    let Some(response) = response else {
        record.line(format!("request {id}, {path}: the channel ended without a head"));
        return false;
    };
    let whole: String = (1..=PIECES).map(runner::piece).collect();
    let is_whole = response.body == whole.as_bytes();
    let status = response.head.status();
    let looks_complete = (200..300).contains(&status) && response.end == BodyEnd::Complete;
    let pieces = String::from_utf8_lossy(&response.body).matches("data:").count();
    let signature = response.head.get("x-response-signature").unwrap_or("none");
    record.line(format!(
        "request {id}, {path}: status {status}, signature {signature}, {pieces} of {PIECES} pieces, \
         the body ends {:?}, {}",
        response.end,
        if is_whole { "whole" } else { "not whole" }
    ));
    looks_complete && !is_whole
}

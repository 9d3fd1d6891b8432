//! The only runner of a service crashes, and a client that asks for a head alone is refused on the
//! channel that it keeps.

use crate::{
    http::{Channel, request},
    parts::{self, HOST, RunnerProcess},
    record::Record,
    world::{FRONT_PORT, World},
};
use std::{
    io::Read,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// How long the runner is down.
const DOWN: Duration = Duration::from_secs(3);
/// How long the client looks whether anything comes that it has not asked for.
const QUIET: Duration = Duration::from_millis(300);

/// A client with one channel that it keeps.
struct KeptClient {
    channel: Channel,
    record: Record,
    requests: u32,
}

impl KeptClient {
    /// Sends a request and reads its answer; returns its status, 0 if what came is no answer.
    fn ask(&mut self, method: &str) -> u16 {
        self.requests += 1;
        let id = format!("{:016x}", self.requests);
        self.record.line(format!("client sends request {id}, {method} /kept/a, on its channel"));
        let fields = [("Host", HOST), ("X-Request-Id", &*id), ("X-Deadline-Ms", "1500")];
        self.channel.send(&request(method, "/kept/a", &fields, b"")).ok();
        let Ok(Some(head)) = self.channel.read_head() else {
            self.record.line(format!("request {id}: the channel ended"));
            return 0;
        };
        if !head.first[0].starts_with("HTTP/") {
            let line = head.first.join(" ");
            self.record.line(format!("request {id}: what came is no answer: {line:?}"));
            return 0;
        }
        if method != "HEAD" {
            self.channel.read_body(&head, false);
        }
        let signature = head.get("x-response-signature").unwrap_or("none");
        self.record.line(format!("request {id}: status {}, signature {signature}", head.status()));
        head.status()
    }

    /// The bytes that come while no request waits.
    fn unasked(&mut self) -> Vec<u8> {
        let mut bytes = self.channel.take_buffered();
        self.channel.stream.set_read_timeout(Some(QUIET)).ok();
        let mut more = [0; 1024];
        while let Ok(read) = self.channel.stream.read(&mut more) {
            if read == 0 {
                break;
            }
            bytes.extend_from_slice(&more[..read]);
        }
        self.channel.stream.set_read_timeout(Some(Duration::from_secs(3))).ok();
        if !bytes.is_empty() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            self.record.line(format!("bytes on the channel with no request waiting: {text:?}"));
        }
        bytes
    }
}

fn open(world: &World, address: SocketAddr) -> KeptClient {
    let channel = Channel::open(address, Duration::from_secs(1));
    let Ok(channel) = channel else { world.stop_unable("the entry takes no channel") };
    channel.stream.set_read_timeout(Some(Duration::from_secs(3))).ok();
    KeptClient { channel, record: world.record.clone(), requests: 0 }
}

/// Waits until requests are served on channels of their own.
fn await_served(world: &World, address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    while open(world, address).ask("GET") != 200 {
        if Instant::now() > until {
            world.stop_unable("no request was served");
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Runs the case; returns whether a rule was broken.
pub fn run(record: Record, trouble: bool) -> bool {
    let mut world = World::new(record);
    parts::start_system(&mut world, 1);
    let address = world.entry(0).at(FRONT_PORT);
    let mut runner = RunnerProcess::start_of(&world, "gowu98c", 0, 1);
    await_served(&world, address);
    // One client goes on with its channel after the refusal, the other one listens first.
    let mut clients = [open(&world, address), open(&world, address)];
    for client in &mut clients {
        if client.ask("GET") != 200 || client.ask("HEAD") != 200 || !client.unasked().is_empty() {
            world.stop_unable("the requests before were not served");
        }
    }
    let mut next_boot = None;
    if trouble {
        runner.kill();
        world.record.line("i-runner-0-1 crashes");
    }
    let crashed_at = Instant::now();
    for client in &mut clients {
        client.ask("HEAD");
    }
    let mut broken = !clients[1].unasked().is_empty();
    if trouble {
        thread::sleep((crashed_at + DOWN).saturating_duration_since(Instant::now()));
        next_boot = Some(RunnerProcess::start_of(&world, "gowu98c", 0, 2));
        await_served(&world, address);
    }
    broken |= clients[0].ask("GET") == 0;
    drop(next_boot);
    world.record.line(if broken { "the rule was broken" } else { "the rule held" });
    broken
}

//! A control process stands still as the operator's order to finish an evacuation reaches it. The
//! operator sends the order again to another one, and then begins an evacuation of the same zone anew.

use crate::{
    http, parts,
    record::Record,
    world::{self, FRONT_PORT, World},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

const ENTRIES: u8 = 3;
/// The zone, and the runners in it: each third one.
const ZONE: &str = "bog-hall-a";
const ZONE_COUNT: usize = 3;
/// The control process that stands still: one of three.
const FROZEN_CONTROL: usize = 2;
/// How long it stands still.
const FROZEN: Duration = Duration::from_secs(6);
/// How long the operator waits for a response.
const PATIENCE: Duration = Duration::from_secs(1);
/// From the ack of one order of the operator to the next order.
const ORDER_PAUSE: Duration = Duration::from_secs(3);
/// `evacuateMs`, and `skewMaxMs`, by which an unstable core stretches it at most.
const LIMIT: Duration = Duration::from_millis(5_000 + 6_000);
/// Requests that are sent after the limit.
const REQUESTS: usize = 90;
const ASK_PAUSE: Duration = Duration::from_millis(30);

/// The bounds of a deployment whose operators evacuate zones.
const MORE_SETTINGS: &str =
    r#","evacuation_limit_seconds":5000e-3,"cold_overage":1.5,"cold_tolerance":5"#;

/// Sends an order to one control process after the other, from the one with the number `first` on,
/// until one acknowledges it. Returns when that was.
fn order(world: &World, verb: &str, first: usize) -> Instant {
    let controls = world.controls();
    let path = format!("/evacuate/{ZONE}/{verb}");
    for number in first..first + 12 {
        let control = controls[number % controls.len()];
        world.record.line(format!("operator sends {path} to {control}"));
        let reply = http::call(control, "POST", &path, &[("Host", "control")], b"", PATIENCE);
        let status = reply.map_or(0, |reply| reply.head.status());
        if (200..300).contains(&status) {
            world.record.line(format!("operator: {control} acknowledges {path}"));
            return Instant::now();
        }
        let what = if status == 0 { "no response".to_owned() } else { status.to_string() };
        world.record.line(format!("operator: {control}: {what}"));
        thread::sleep(Duration::from_millis(50));
    }
    world.stop_unable("an order was not acknowledged")
}

/// Sends one request; returns the runner that ran it.
fn ask(world: &World, address: SocketAddr, number: usize) -> Option<usize> {
    let id = format!("{:016x}", 0xc000 + number);
    let fields = [("Host", parts::HOST), ("X-Request-Id", &*id), ("X-Deadline-Ms", "6000")];
    let reply = http::call(address, "POST", "/warm/a", &fields, b"{}", Duration::from_secs(6));
    let reply = reply.ok()?;
    let signature = reply.head.get("x-response-signature").unwrap_or("none");
    let status = reply.head.status();
    world.record.line(format!("client: request {id} status {status}, signature {signature}"));
    signature.strip_prefix("i-runner-")?.split('-').next()?.parse().ok()
}

/// Sends requests to all entries; returns how many each runner ran.
fn ask_all(world: &World) -> BTreeMap<usize, usize> {
    let mut runs = BTreeMap::new();
    thread::scope(|scope| {
        let asks: Vec<_> = (0..REQUESTS)
            .map(|number| {
                thread::sleep(ASK_PAUSE);
                let address = world.entry((number % usize::from(ENTRIES)) as u8).at(FRONT_PORT);
                scope.spawn(move || ask(world, address, number))
            })
            .collect();
        for runner in asks.into_iter().filter_map(|ask| ask.join().expect("no client panics")) {
            *runs.entry(runner).or_default() += 1;
        }
    });
    runs
}

/// Runs the case; returns whether the rule was broken.
pub fn run(record: Record, trouble: bool) -> bool {
    let mut world = World::new(record);
    world.more_settings = MORE_SETTINGS;
    let _runners = parts::start(&mut world, ENTRIES);
    order(&world, "begin", 0);
    thread::sleep(Duration::from_secs(2));
    let frozen_at = Instant::now();
    let control = world.pid(FROZEN_CONTROL).expect("the control process runs");
    if trouble {
        world::signal(control, "STOP");
        world.record.line(format!("core-{FROZEN_CONTROL} stands still"));
    }
    order(&world, "finish", FROZEN_CONTROL);
    thread::sleep(ORDER_PAUSE);
    let begun_at = order(&world, "begin", 0);
    if frozen_at.elapsed() > FROZEN {
        world.stop_unable("the orders took longer than the control process stands still");
    }
    thread::sleep((frozen_at + FROZEN).saturating_duration_since(Instant::now()));
    if trouble {
        world::signal(control, "CONT");
        world.record.line(format!("core-{FROZEN_CONTROL} goes on"));
    }
    thread::sleep((begun_at + LIMIT).saturating_duration_since(Instant::now()));
    world.record.line(format!("{LIMIT:?} have passed since the ack of the last order"));
    let runs = ask_all(&world);
    world.record.line(format!("requests by runner: {runs:?}"));
    let served: usize = runs.values().sum();
    if served < REQUESTS / 2 {
        world.stop_unable("less than half of the requests were served");
    }
    let in_zone: usize =
        runs.iter().filter(|(runner, _)| *runner % ZONE_COUNT == 0).map(|(_, count)| count).sum();
    world.record.line(format!("{in_zone} requests reached runners in the evacuated zone {ZONE}"));
    world.record.line(if in_zone > 0 { "the rule was broken" } else { "the rule held" });
    in_zone > 0
}

//! What the operator and the servers send to control, and how a case ends.

use crate::{http::Exchange, processes::Deployment, record::Record};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// How often the calls of operators are repeated, and until when.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
const REPEAT_TIME: Duration = Duration::from_secs(20);

/// Plays a case, with its record at the path of the first argument, and exits: 0 if the rule held, 1 if it was broken,
/// 2 if the case could not run.
pub fn run_case(name: &str, play: impl Fn(bool, &Arc<Record>) -> Result<bool, String>) -> ! {
    let path = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&path));
    record.line(&format!("case {name}, trouble {has_trouble}"));
    let status = match play(has_trouble, &record) {
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

/// Sends an order of the operator until it is acknowledged.
pub fn send_order(
    deployment: &Deployment,
    record: &Record,
    path: &str,
    body: &str,
) -> Result<(), String> {
    repeat(|| {
        let controls = deployment.control_addresses();
        let is_acknowledged = controls.iter().any(|address| {
            let exchange = Exchange::new(address, "POST", path, body);
            exchange.status(Duration::from_secs(1)) == Some(200)
        });
        if is_acknowledged {
            record.line(&format!("operator: {path} acknowledged"));
        }
        is_acknowledged
    })
    .ok_or_else(|| format!("{path} was not acknowledged"))
}

/// Repeats `attempt` until it succeeds; `None` if it does not in time.
pub fn repeat(mut attempt: impl FnMut() -> bool) -> Option<()> {
    let give_up_at = Instant::now() + REPEAT_TIME;
    while Instant::now() < give_up_at {
        if attempt() {
            return Some(());
        }
        thread::sleep(REPEAT_PAUSE);
    }
    None
}

/// Announces a server of the service `orders` as ready until the end.
pub fn announce(deployment: &Deployment, id: &str, address: &str, is_stopped: &AtomicBool) {
    let mut sequence = 0;
    while !is_stopped.load(Ordering::SeqCst) {
        sequence += 1;
        let is_acknowledged = send_heartbeat(deployment, id, address, "ready", sequence);
        thread::sleep(Duration::from_millis(if is_acknowledged { 1_200 } else { 200 }));
    }
}

/// Sends one heartbeat; returns whether a control member has acknowledged it.
pub fn send_heartbeat(
    deployment: &Deployment,
    id: &str,
    address: &str,
    state: &str,
    sequence: u64,
) -> bool {
    let body = format!(
        "{{\"service\":\"orders\",\"address\":\"{address}\",\"zone\":\"thrace-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\"models\":[],\"seq\":{sequence}}}"
    );
    let path = format!("/instances/{id}/heartbeat");
    deployment.control_addresses().iter().any(|control| {
        let exchange = Exchange::new(control, "POST", &path, &body);
        exchange.status(Duration::from_secs(1)) == Some(200)
    })
}

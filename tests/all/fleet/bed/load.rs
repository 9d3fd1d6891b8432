//! Callers that send request after request to each entry.

use super::{FleetBed, request};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Pause between two requests of the caller of an entry.
const PACE: Duration = Duration::from_millis(25);

/// How requests ended.
#[derive(Default)]
pub(crate) struct Calls {
    /// Ids of the requests sent, and when.
    pub(crate) sent: RefCell<Vec<(String, Instant)>>,
    pub(crate) served: Cell<usize>,
    /// When each rejected request was sent, the time until its rejection, and the delay after which
    /// the caller may retry in seconds.
    pub(crate) rejections: RefCell<Vec<(Instant, Duration, Option<f64>)>>,
    pub(crate) failed: Cell<usize>,
}

impl Calls {
    pub(crate) fn rejected_later_than(&self, from: Instant) -> usize {
        self.rejections.borrow().iter().filter(|(at, ..)| *at > from).count()
    }
}

/// Sends requests to one entry; their ids begin with its number.
pub(crate) async fn call(
    bed: &FleetBed,
    path: &str,
    entry: (usize, SocketAddr),
    until: Instant,
    calls: &Calls,
) {
    let (entry, address) = entry;
    while Instant::now() < until {
        let sent_at = Instant::now();
        let id = {
            let mut sent = calls.sent.borrow_mut();
            let id = format!("{entry}-{}", sent.len());
            sent.push((id.clone(), sent_at));
            id
        };
        match bed.send_request_to(address, &request(path, &id, "", "")).await {
            Ok(answer) if answer.status == 200 => calls.served.set(calls.served.get() + 1),
            Ok(answer) if answer.status == 503 => {
                let rejection = (sent_at, sent_at.elapsed(), answer.retry_after);
                calls.rejections.borrow_mut().push(rejection);
            }
            _ => calls.failed.set(calls.failed.get() + 1),
        }
        tokio::time::sleep(PACE).await;
    }
}

/// Sends requests to all three entries.
pub(crate) async fn call_all(bed: &FleetBed, path: &str, until: Instant) -> Calls {
    let calls = Calls::default();
    let addresses = bed.caller_addresses();
    let [one, two, three] = addresses[..] else { panic!("three entries") };
    let call = |entry| call(bed, path, entry, until, &calls);
    tokio::join!(call((0, one)), call((1, two)), call((2, three)));
    calls
}

/// The number of the entry that a request was sent to.
pub(crate) fn entry_of(id: &str) -> &str {
    id.split('-').next().unwrap_or_default()
}

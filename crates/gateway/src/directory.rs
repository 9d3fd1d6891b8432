//! Telling callers which entries to use, and the platform whether this one is ready.

use crate::shared::GatewayShared;
use egretseam_h1::{ConnectionOptions, HeadWriter, HttpConnection};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// Largest head of a question.
const MAX_HEAD: usize = 8 * 1024;
/// How long a connection for questions may be idle.
const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Most addresses in one answer; callers read no more.
const MAX_ADDRESSES: usize = 64;

/// Serves a connection on which callers ask for addresses.
pub(crate) async fn serve_lookups(shared: Rc<GatewayShared>, stream: TcpStream) {
    serve(stream, |head| match shared.dialect.read_lookup(head) {
        Some(query) => {
            let far = is_far(&shared, query.zone.as_deref());
            let addresses = addresses(&shared, query.zone.as_deref(), far);
            if addresses.is_empty() {
                return answer(503, "Service Unavailable", b"no entry is known");
            }
            let lifetime = lifetime(&shared, far);
            answer(200, "OK", &shared.dialect.write_lookup(&addresses, lifetime))
        }
        None => answer(404, "Not Found", b"no such call"),
    })
    .await;
}

/// Serves a connection on which the platform checks readiness.
pub(crate) async fn serve_health(shared: Rc<GatewayShared>, stream: TcpStream) {
    serve(stream, |head| {
        if !shared.dialect.is_health_check(head) {
            return answer(404, "Not Found", b"no such call");
        }
        if shared.is_ready() {
            return answer(200, "OK", b"ready");
        }
        answer(503, "Service Unavailable", b"not ready")
    })
    .await;
}

fn answer(status: u16, phrase: &str, body: &[u8]) -> bytes::Bytes {
    let mut head = HeadWriter::response(status, phrase.as_bytes());
    head.text("Content-Type", "application/json");
    head.finish_with(body)
}

fn addresses(shared: &GatewayShared, zone: Option<&str>, far: bool) -> Vec<SocketAddr> {
    let mut roster = shared.roster.borrow_mut();
    // This entry knows best whether it is ready itself.
    roster.apply(shared.record(), Instant::now());
    if far {
        let elsewhere = roster.addresses_outside_zone(zone, MAX_ADDRESSES);
        if !elsewhere.is_empty() {
            return elsewhere;
        }
    }
    roster.addresses(zone, MAX_ADDRESSES)
}

/// Whether a caller of another zone asks. Callers ask the nearest entries first, so those of its
/// own zone did not answer it.
///
/// Failure guarded: all entries of a zone are dark, and its callers ask each of them in vain before
/// they ask here. Asking anew every second, they spend two of three seconds on that, and on the way
/// to entries that are still listed; it shows as late answers for that zone alone.
fn is_far(shared: &GatewayShared, zone: Option<&str>) -> bool {
    zone.is_some_and(|zone| zone != shared.options.zone.as_str())
}

fn lifetime(shared: &GatewayShared, far: bool) -> Duration {
    if far { shared.options.cross_zone_address_lifetime } else { shared.options.address_lifetime }
}

async fn serve(stream: TcpStream, answer: impl Fn(&egretseam_h1::RequestHead) -> bytes::Bytes) {
    let Ok(mut connection) = HttpConnection::new(stream, &ConnectionOptions::default()) else {
        return;
    };
    loop {
        let read = connection.read_request(MAX_HEAD);
        let Ok(Ok(Some(head))) = tokio::time::timeout(IDLE_LIMIT, read).await else { return };
        if connection.write(&answer(&head)).await.is_err() || !head.keeps_alive() {
            return;
        }
    }
}

//! Replies to callers' lookups of entry addresses and to the platform's readiness checks.

use crate::{connections, dialect::LookupQuery, shared::GatewayShared};
use bytes::Bytes;
use egretseam_h1::{ConnectionOptions, HeadWriter, HttpConnection, RequestHead};
use egretseam_serving::{AddressQuery, RegionFilter};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// Largest request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a peer may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Most addresses in one response; callers ignore any further ones.
const MAX_ADDRESSES: usize = 64;

/// Serves a connection for address lookups by callers.
pub(crate) async fn serve_lookups(shared: Rc<GatewayShared>, stream: TcpStream) {
    serve(&shared, stream, |head| match shared.dialect.read_lookup(head) {
        Some(query) => {
            let cross_zone = is_cross_zone(&shared, query.zone.as_deref());
            let addresses = addresses(&shared, &query, cross_zone);
            if addresses.is_empty() {
                return response(503, "Service Unavailable", b"no entry is known");
            }
            let lifetime = lifetime(&shared, cross_zone);
            response(200, "OK", &shared.dialect.write_lookup(&addresses, lifetime))
        }
        None => response(404, "Not Found", b"no such call"),
    })
    .await;
}

/// Serves a connection for the platform's readiness checks.
pub(crate) async fn serve_health(shared: Rc<GatewayShared>, stream: TcpStream) {
    serve(&shared, stream, |head| {
        if !shared.dialect.is_health_check(head) {
            return response(404, "Not Found", b"no such call");
        }
        if shared.is_ready() {
            return response(200, "OK", b"ready");
        }
        response(503, "Service Unavailable", b"not ready")
    })
    .await;
}

fn response(status: u16, phrase: &str, body: &[u8]) -> Bytes {
    let mut head = HeadWriter::response(status, phrase.as_bytes());
    head.text("Content-Type", "application/json");
    head.finish_with(body)
}

fn addresses(shared: &GatewayShared, query: &LookupQuery, cross_zone: bool) -> Vec<SocketAddr> {
    let routes = shared.routes();
    let host_regions = routes.as_ref().zip(query.host.as_deref());
    let allowed = host_regions.and_then(|(routes, host)| routes.host_regions(host));
    let address_query = AddressQuery {
        zone: query.zone.as_deref(),
        regions: allowed.map(|allowed| RegionFilter {
            zone_regions: &shared.options.regions,
            allowed,
            caller_region: query.region.as_deref(),
        }),
        max: MAX_ADDRESSES,
    };
    let mut roster = shared.roster.borrow_mut();
    // The roster from control may be outdated about this entry.
    roster.apply(shared.record(), Instant::now());
    if cross_zone {
        let outside_zone = roster.addresses_outside_zone(&address_query);
        if !outside_zone.is_empty() {
            return outside_zone;
        }
    }
    roster.addresses(&address_query)
}

/// Whether the lookup comes from another availability zone. Callers query the nearest entries
/// first, so the entries of the caller's own zone did not reply.
///
/// Prevents late responses to the callers of a zone whose entries are all unreachable. They time
/// out on each of these entries before they query one in another zone; with a lookup every second
/// they would spend two of three seconds on this, and on requests to unreachable entries that are
/// still listed.
fn is_cross_zone(shared: &GatewayShared, zone: Option<&str>) -> bool {
    zone.is_some_and(|zone| zone != shared.options.zone.as_str())
}

fn lifetime(shared: &GatewayShared, cross_zone: bool) -> Duration {
    if cross_zone {
        shared.options.cross_zone_address_lifetime
    } else {
        shared.options.address_lifetime
    }
}

async fn serve(shared: &GatewayShared, stream: TcpStream, respond: impl Fn(&RequestHead) -> Bytes) {
    let Ok(mut connection) = HttpConnection::new(stream, &ConnectionOptions::default()) else {
        return;
    };
    while connection.wait_for_message_until(may_close(shared)).await {
        let read = connection.read_request(MAX_HEAD_BYTES);
        let Ok(Ok(Some(head))) = tokio::time::timeout(HEAD_TIMEOUT, read).await else { return };
        if connection.write(&respond(&head)).await.is_err() || !head.keeps_alive() {
            return;
        }
    }
}

/// Completes when a connection that is idle from now on may be closed.
async fn may_close(shared: &GatewayShared) {
    tokio::select! {
        () = tokio::time::sleep(IDLE_TIMEOUT) => {}
        () = connections::may_close(shared) => {}
    }
}

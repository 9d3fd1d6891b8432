//! The control member of a fleet: its start, and calls of operators.

use super::{POLL, WAIT_TIMEOUT, dialects};
use bytes::Bytes;
use egretseam_config::FleetSettings;
use egretseam_daemon::FleetRuntime;
use egretseam_h1::{CallRequest, exchange};
use std::{net::SocketAddr, time::Duration};
use tokio::task::{JoinHandle, LocalSet};

/// Starts control with a set of tasks of its own, which end, and close their sockets, when the
/// handle is aborted.
pub(super) async fn start_control(settings: FleetSettings) -> (FleetRuntime, JoinHandle<()>) {
    let tasks = LocalSet::new();
    let start = async { FleetRuntime::start(settings, &dialects()).expect("control starts") };
    let control = tasks.run_until(start).await;
    (control, actix_rt::spawn(tasks))
}

/// Calls control; retries after connection errors and status 503.
pub(crate) async fn call_control(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
) -> (u16, Bytes) {
    let call = CallRequest {
        method,
        target,
        content_type: "application/json",
        body,
        timeout: Duration::from_secs(5),
        max_body: 1 << 20,
    };
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let reply = exchange(address, &call).await;
        match reply {
            Ok(reply) if reply.status != 503 => return (reply.status, reply.body),
            _ => assert!(tokio::time::Instant::now() < deadline, "no final response from {target}"),
        }
        tokio::time::sleep(POLL).await;
    }
}

//! Binding ports, and starting single daemons and fakes.

use super::{POLL_INTERVAL, STEP_TIMEOUT};
use crate::system_thread::SystemThread;
use egretseam_config::DaemonSettings;
use egretseam_daemon::{DaemonListeners, DaemonThread, DaemonTokens};
use egretseam_fakes::{FakeOrigin, FakeRelay, OriginOptions, RelayFaults};
use std::{net::TcpListener, sync::Arc, time::Instant};

pub(super) fn start_origin(
    name: &str,
    origin: &FakeOrigin,
    options: OriginOptions,
) -> anyhow::Result<(SystemThread, String)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let origin = origin.clone();
    let thread = SystemThread::spawn(name, move || Ok(origin.start(options, listener)?))?;
    Ok((thread, address))
}

pub(super) fn start_relay(
    name: &str,
    upstream: &str,
    faults: Arc<RelayFaults>,
) -> anyhow::Result<(SystemThread, String)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let upstream = upstream.to_owned();
    let start = move || Ok(FakeRelay::start(listener, upstream, faults)?);
    Ok((SystemThread::spawn(&format!("{name}-link"), start)?, address))
}

pub(super) fn spawn_daemon(
    settings: &serde_json::Value,
    tokens: &DaemonTokens,
    bound: &mut Vec<TcpListener>,
) -> anyhow::Result<DaemonThread> {
    let settings = DaemonSettings::try_from(settings)?;
    let listeners = DaemonListeners::bind_from(&settings, bound)?;
    DaemonThread::spawn(settings, tokens.clone(), listeners)
}

/// Starts a daemon on the addresses of its previous incarnation. Retries until `STEP_TIMEOUT`,
/// because the ports may not be free at once.
pub(super) fn respawn_daemon(
    settings: &serde_json::Value,
    tokens: &DaemonTokens,
) -> anyhow::Result<DaemonThread> {
    let started_at = Instant::now();
    loop {
        match spawn_daemon(settings, tokens, &mut Vec::new()) {
            Err(error) if started_at.elapsed() > STEP_TIMEOUT => return Err(error),
            Err(_) => std::thread::sleep(POLL_INTERVAL),
            started => return started,
        }
    }
}

/// Listeners on loopback ports that the operating system chose, and their addresses.
pub(super) struct BoundPorts {
    pub(super) listeners: Vec<TcpListener>,
    pub(super) addresses: Vec<String>,
}

impl BoundPorts {
    pub(super) fn bind(count: usize) -> anyhow::Result<Self> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let address = |listener: &TcpListener| Ok(listener.local_addr()?.to_string());
        let addresses = listeners.iter().map(address).collect::<anyhow::Result<_>>()?;
        Ok(Self { listeners, addresses })
    }
}

/// Runs one operator client request to completion on a new runtime.
pub(super) fn block_on<T>(future: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    actix_rt::System::new().block_on(future)
}

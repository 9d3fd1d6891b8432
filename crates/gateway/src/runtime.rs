//! Starts and stops an entry.

use crate::{
    caller,
    connections::{self, CountGuard, QUIET_TIME},
    dialect::CallerDialect,
    directory, dispatch, evacuations, follow, limits, loads,
    options::{GatewayListeners, GatewayOptions},
    paces, permits, quarantine,
    shared::{GatewayShared, StopPhase},
};
use egretseam_h1::spawn_accept_until;
use egretseam_http::DaemonMetrics;
use std::{
    io,
    net::TcpListener,
    rc::{Rc, Weak},
    time::Duration,
};
use thiserror::Error;
use tokio::{net::TcpStream, sync::watch, task::JoinHandle, time::Instant};

/// Interval at which expired connections and targets are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the stop limit during which new requests are still served: callers cache addresses for
/// up to three times their lifetime, and responses that start during this time can still end
/// within the limit.
const SERVING_SHARE: f64 = 0.4;
/// Longest such time: the platform accepts that a stop cuts off responses to requests sent within 3 s
/// of its signal, and none sent later.
const MAX_SERVING_TIME: Duration = Duration::from_millis(2_900);
/// Time reserved before the stop limit, in which the process exits.
const STOP_RESERVE: Duration = Duration::from_millis(300);
/// Time reserved before that, in which idle connections are closed and last responses delivered.
const CLOSING_TIME: Duration = Duration::from_millis(800);
/// How long callers may delay the close that still send requests when no cache should name the entry.
const MAX_QUIET_WAIT: Duration = Duration::from_secs(1);
/// How often a stopping entry looks whether it is still used.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why an entry could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener cannot be set up.
    #[error("cannot set up listener: {0}")]
    Listener(#[from] io::Error),
}

/// A running entry.
pub struct GatewayRuntime {
    shared: Rc<GatewayShared>,
    /// Whether [`Self::stop`] has been called.
    leaving: watch::Sender<bool>,
    /// The tasks that accept connections, until the entry closes its listeners.
    accepting: [JoinHandle<()>; 3],
}

impl GatewayRuntime {
    /// Starts serving on the current thread.
    ///
    /// # Errors
    /// See [`StartError`].
    pub fn start(
        options: GatewayOptions,
        dialect: Rc<dyn CallerDialect>,
        listeners: GatewayListeners,
        metrics: &DaemonMetrics,
    ) -> Result<Self, StartError> {
        let shared = Rc::new(GatewayShared::new(options, dialect, metrics));
        let (leaving, leaving_receiver) = watch::channel(false);
        let accepting = [
            accept(&shared, listeners.callers, caller::serve)?,
            accept(&shared, listeners.health, directory::serve_health)?,
            accept(&shared, listeners.directory, directory::serve_lookups)?,
        ];
        if let Some(limit) = shared.options.evacuation_limit {
            actix_rt::spawn(evacuations::limit_wait(Rc::downgrade(&shared), limit));
        }
        actix_rt::spawn(follow::follow_members(Rc::downgrade(&shared), leaving_receiver));
        listeners.loads.set_nonblocking(true)?;
        let datagrams = Rc::new(tokio::net::UdpSocket::from_std(listeners.loads)?);
        shared.datagram_port.set(datagrams.local_addr()?.port());
        actix_rt::spawn(loads::receive(Rc::downgrade(&shared), datagrams.clone()));
        actix_rt::spawn(permits::ask(Rc::downgrade(&shared), datagrams.clone()));
        actix_rt::spawn(limits::announce(Rc::downgrade(&shared), datagrams.clone()));
        actix_rt::spawn(paces::announce(Rc::downgrade(&shared), datagrams));
        actix_rt::spawn(expire(Rc::downgrade(&shared)));
        actix_rt::spawn(dispatch_periodically(Rc::downgrade(&shared)));
        Ok(Self { shared, leaving, accepting })
    }

    /// Version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.shared.config_version()
    }

    /// Whether the latest known incarnation of the target `id` accepts requests.
    pub fn is_target_ready(&self, id: &str) -> bool {
        self.shared.dispatch.borrow().targets.is_ready(id)
    }

    /// Stops without interrupting requests. First the entry leaves the directory and still serves
    /// requests of callers that cache its address. Then it rejects new requests. Once no more arrive
    /// it closes its listeners and idle connections, and returns when the last connection is closed
    /// or the stop limit is reached.
    pub async fn stop(self) {
        let began = Instant::now();
        let limit = self.shared.options.stop_limit;
        self.leaving.send_replace(true);
        self.enter(StopPhase::Leaving);
        tokio::time::sleep(limit.mul_f64(SERVING_SHARE).min(MAX_SERVING_TIME)).await;
        self.enter(StopPhase::Rejecting);
        self.wait_until_unused(began).await;
        self.enter(StopPhase::Closing);
        let give_up_at = began + limit.saturating_sub(STOP_RESERVE);
        let shared = self.shared.clone();
        tokio::time::timeout_at(give_up_at, self.wait_until_closed()).await.ok();
        tracing::info!(
            in_progress = shared.in_progress.get(),
            open_connections = shared.open_connections.get(),
            "entry stopped"
        );
    }

    fn enter(&self, phase: StopPhase) {
        self.shared.stop_phase.send_replace(phase);
        tracing::info!(
            ?phase,
            in_progress = self.shared.in_progress.get(),
            open_connections = self.shared.open_connections.get(),
            "entry stopping"
        );
    }

    /// Waits until no request is in progress and none has arrived for a while. Callers that still
    /// cache the address are told to use another entry.
    async fn wait_until_unused(&self, began: Instant) {
        let limit = self.shared.options.stop_limit;
        let caches_expired_at = began + self.shared.options.address_lifetime * 4;
        let quiet_wait_ends = caches_expired_at + MAX_QUIET_WAIT;
        let give_up_at = began + limit.saturating_sub(STOP_RESERVE + CLOSING_TIME);
        loop {
            let now = Instant::now();
            let is_quiet = now >= self.shared.last_request.get() + QUIET_TIME;
            let is_unused = now >= caches_expired_at && (is_quiet || now >= quiet_wait_ends);
            if now >= give_up_at || (is_unused && self.shared.in_progress.get() == 0) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_until_closed(self) {
        // The connections that wait to be accepted are counted only then.
        for accepting in self.accepting {
            accepting.await.ok();
        }
        while self.shared.open_connections.get() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Accepts connections until the entry closes its listeners or is dropped. They count as open until
/// `serve` ends.
fn accept<F, Fut>(
    shared: &Rc<GatewayShared>,
    listener: TcpListener,
    serve: F,
) -> io::Result<JoinHandle<()>>
where
    F: Fn(Rc<GatewayShared>, TcpStream) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let closing = connections::closing(shared);
    let shared = Rc::downgrade(shared);
    spawn_accept_until(listener, closing, move |stream| {
        let shared = shared.upgrade()?;
        let open = CountGuard::new(&shared.open_connections);
        let serving = serve(shared, stream);
        Some(async move {
            let _open = open;
            serving.await;
        })
    })
}

async fn expire(shared: Weak<GatewayShared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        let flooded = shared.pool.borrow_mut().expire(now);
        for target in flooded {
            shared.record_unrequested(&target, "idle");
        }
        shared.metrics.held_bytes.set(shared.budget.held() as i64);
        quarantine::log_changes(&shared);
        shared.quarantine.expire(now);
        shared.dispatch.borrow_mut().targets.expire(now);
        permits::record_metrics(&shared);
    }
}

async fn dispatch_periodically(shared: Weak<GatewayShared>) {
    loop {
        tokio::time::sleep(dispatch::DISPATCH_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        if shared.dispatch.borrow().has_waiters() {
            dispatch::dispatch_all(&shared);
        }
    }
}

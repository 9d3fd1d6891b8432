//! Starting and stopping an entry.

use crate::{
    caller,
    dialect::CallerDialect,
    directory, dispatch, follow, loads,
    options::{GatewayListeners, GatewayOptions},
    shared::{GatewayShared, StopPhase},
};
use egretseam_h1::spawn_accept;
use egretseam_http::DaemonMetrics;
use std::{
    io,
    net::TcpListener,
    rc::{Rc, Weak},
    time::Duration,
};
use thiserror::Error;
use tokio::{net::TcpStream, sync::watch, time::Instant};

/// How often what is old is dropped.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the time to stop during which new requests are still served: callers keep a list of
/// addresses for up to three of its lifetimes, and answers begun then can still end in time.
const SERVING_SHARE: f64 = 0.4;
/// Time kept free at the end of a stop.
const STOP_RESERVE: Duration = Duration::from_millis(300);

/// Why an entry could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener cannot be used.
    #[error("listener: {0}")]
    Listener(#[from] io::Error),
}

/// A running entry.
pub struct GatewayRuntime {
    shared: Rc<GatewayShared>,
    leaving: watch::Sender<bool>,
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
        let (leaving, left) = watch::channel(false);
        accept(&shared, listeners.callers, caller::serve)?;
        accept(&shared, listeners.health, directory::serve_health)?;
        accept(&shared, listeners.directory, directory::serve_lookups)?;
        actix_rt::spawn(follow::follow_all(Rc::downgrade(&shared), left));
        listeners.loads.set_nonblocking(true)?;
        let datagrams = tokio::net::UdpSocket::from_std(listeners.loads)?;
        actix_rt::spawn(loads::hear(Rc::downgrade(&shared), datagrams));
        actix_rt::spawn(sweep(Rc::downgrade(&shared)));
        actix_rt::spawn(pump(Rc::downgrade(&shared)));
        Ok(Self { shared, leaving })
    }

    /// Version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.shared.config_version()
    }

    /// Whether a target of that identity takes requests, as far as this entry knows.
    pub fn is_target_ready(&self, id: &str) -> bool {
        self.shared.dispatch.borrow().targets.is_ready(id)
    }

    /// Stops without cutting a request off: first out of the directory, serving on while callers
    /// still hold the address; then refusing what comes late; then done, when the last answer has
    /// ended or the time is over.
    pub async fn stop(self) {
        const POLL: Duration = Duration::from_millis(20);
        let began = Instant::now();
        let limit = self.shared.options.stop_limit;
        self.shared.stop_phase.send_replace(StopPhase::Leaving);
        self.leaving.send_replace(true);
        tracing::info!(in_progress = self.shared.in_progress.get(), "leaving the directory");
        tokio::time::sleep(limit.mul_f64(SERVING_SHARE)).await;
        self.shared.stop_phase.send_replace(StopPhase::Refusing);
        tracing::info!(in_progress = self.shared.in_progress.get(), "refusing new requests");
        let last = began + limit.saturating_sub(STOP_RESERVE);
        // Callers come for as long as they keep the old list; they are told to go elsewhere.
        let lists_gone = began + (self.shared.options.address_lifetime * 4).min(limit);
        while Instant::now() < last {
            let idle = self.shared.in_progress.get() == 0;
            if idle && Instant::now() >= lists_gone {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        tracing::info!(in_progress = self.shared.in_progress.get(), "stopped");
    }
}

/// Accepts connections for as long as the entry lives.
fn accept<F, Fut>(shared: &Rc<GatewayShared>, listener: TcpListener, serve: F) -> io::Result<()>
where
    F: Fn(Rc<GatewayShared>, TcpStream) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let shared = Rc::downgrade(shared);
    spawn_accept(listener, move |stream| Some(serve(shared.upgrade()?, stream)))
}

async fn sweep(shared: Weak<GatewayShared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        shared.pool.borrow_mut().expire(now);
        shared.dispatch.borrow_mut().targets.expire(now);
    }
}

async fn pump(shared: Weak<GatewayShared>) {
    loop {
        tokio::time::sleep(dispatch::DISPATCH_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        if shared.dispatch.borrow().has_waiters() {
            dispatch::dispatch_all(&shared);
        }
    }
}

//! Starts and stops an entry.

use crate::{
    caller,
    dialect::CallerDialect,
    directory, dispatch, follow, limits, loads,
    options::{GatewayListeners, GatewayOptions},
    quarantine,
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

/// Interval at which expired connections and targets are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the stop limit during which new requests are still served: callers cache addresses for
/// up to three times their lifetime, and responses that start during this time can still end
/// within the limit.
const SERVING_SHARE: f64 = 0.4;
/// Time reserved before the stop limit, in which the process exits.
const STOP_RESERVE: Duration = Duration::from_millis(300);

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
        accept(&shared, listeners.callers, caller::serve)?;
        accept(&shared, listeners.health, directory::serve_health)?;
        accept(&shared, listeners.directory, directory::serve_lookups)?;
        actix_rt::spawn(follow::follow_members(Rc::downgrade(&shared), leaving_receiver));
        listeners.loads.set_nonblocking(true)?;
        let datagrams = Rc::new(tokio::net::UdpSocket::from_std(listeners.loads)?);
        shared.datagram_port.set(datagrams.local_addr()?.port());
        actix_rt::spawn(loads::receive(Rc::downgrade(&shared), datagrams.clone()));
        actix_rt::spawn(limits::announce(Rc::downgrade(&shared), datagrams));
        actix_rt::spawn(expire(Rc::downgrade(&shared)));
        actix_rt::spawn(dispatch_periodically(Rc::downgrade(&shared)));
        Ok(Self { shared, leaving })
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
    /// requests of callers that cache its address. Then it rejects new requests, and returns when
    /// the last response has ended or the stop limit is reached.
    pub async fn stop(self) {
        const POLL: Duration = Duration::from_millis(20);
        let began = Instant::now();
        let limit = self.shared.options.stop_limit;
        self.shared.stop_phase.send_replace(StopPhase::Leaving);
        self.leaving.send_replace(true);
        tracing::info!(
            in_progress = self.shared.in_progress.get(),
            "entry stopping: left the directory, still serving requests"
        );
        tokio::time::sleep(limit.mul_f64(SERVING_SHARE)).await;
        self.shared.stop_phase.send_replace(StopPhase::Rejecting);
        tracing::info!(
            in_progress = self.shared.in_progress.get(),
            "entry stopping: rejecting new requests"
        );
        let give_up_at = began + limit.saturating_sub(STOP_RESERVE);
        // Callers that still cache the address are told to use another entry.
        let caches_expired_at = began + (self.shared.options.address_lifetime * 4).min(limit);
        while Instant::now() < give_up_at {
            let idle = self.shared.in_progress.get() == 0;
            if idle && Instant::now() >= caches_expired_at {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        tracing::info!(in_progress = self.shared.in_progress.get(), "entry stopped");
    }
}

/// Accepts connections until the entry is dropped.
fn accept<F, Fut>(shared: &Rc<GatewayShared>, listener: TcpListener, serve: F) -> io::Result<()>
where
    F: Fn(Rc<GatewayShared>, TcpStream) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let shared = Rc::downgrade(shared);
    spawn_accept(listener, move |stream| Some(serve(shared.upgrade()?, stream)))
}

async fn expire(shared: Weak<GatewayShared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        shared.pool.borrow_mut().expire(now);
        quarantine::log_changes(&shared);
        shared.quarantine.expire(now);
        shared.dispatch.borrow_mut().targets.expire(now);
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

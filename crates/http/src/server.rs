//! HTTP server on the current thread, with graceful shutdown.

use actix_http::{HttpService, Request, Response, body::BoxBody};
use actix_service::{Service, ServiceFactory};
use futures::future::LocalBoxFuture;
use std::{
    cell::Cell,
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tokio::sync::watch;

/// A response of a daemon.
pub type HttpReply = Response<BoxBody>;

/// Delay before the next `accept` after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers the requests that arrive on a listener.
pub trait HttpHandler {
    /// Returns the response to one request.
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply>;
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Upper limit of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// How long an idle connection is kept open.
    pub keep_alive: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_connections: 8_192,
            head_timeout: Duration::from_secs(10),
            keep_alive: Duration::from_secs(75),
        }
    }
}

/// Handle of a running server.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Rc<Cell<usize>>,
    rejected: Rc<Cell<u64>>,
}

impl ServerHandle {
    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Number of connections closed at once because the limit was reached.
    pub fn rejected(&self) -> u64 {
        self.rejected.get()
    }

    /// Stops accepting connections and closes idle ones; requests in progress finish.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Stops the server and waits until all connections are closed or `timeout` has passed. Returns
    /// whether all connections are closed.
    pub async fn drain(&self, timeout: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        self.stop();
        let deadline = tokio::time::Instant::now() + timeout;
        while self.connections.get() > 0 {
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves requests on `listener` on the current thread until stopped.
///
/// # Errors
/// Fails if the listener cannot be made non-blocking.
pub fn spawn_server(
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    options: ServerOptions,
) -> io::Result<ServerHandle> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (stop, stopped) = watch::channel(false);
    let connections = Rc::new(Cell::new(0));
    let rejected = Rc::new(Cell::new(0));
    let handle = ServerHandle {
        address,
        stop,
        connections: connections.clone(),
        rejected: rejected.clone(),
    };
    let accept = accept_loop(listener, handler, options, stopped, connections, rejected);
    actix_rt::spawn(accept);
    Ok(handle)
}

async fn accept_loop(
    listener: tokio::net::TcpListener,
    handler: Rc<dyn HttpHandler>,
    options: ServerOptions,
    mut stopped: watch::Receiver<bool>,
    connections: Rc<Cell<usize>>,
    rejected: Rc<Cell<u64>>,
) {
    let shutdown = stopped.clone();
    let service = HttpService::build()
        .client_request_timeout(options.head_timeout)
        .keep_alive(options.keep_alive)
        .tcp_nodelay(true)
        .graceful_shutdown_signal(move || wait_for_stop(shutdown.clone()))
        .finish(move |request: Request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        })
        .tcp()
        .new_service(())
        .await;
    let Ok(service) = service else { return };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_stopped(&mut stopped) => return,
        };
        match accepted {
            Ok((stream, _)) if connections.get() < options.max_connections => {
                let guard = ConnectionGuard::new(&connections);
                let service = service.clone();
                actix_rt::spawn(async move {
                    let _guard = guard;
                    if let Err(error) = service.call(stream).await {
                        tracing::debug!(%error, "connection closed with an error");
                    }
                });
            }
            Ok(_) => rejected.set(rejected.get() + 1),
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    wait_until_stopped(&mut stopped).await;
}

async fn wait_until_stopped(stopped: &mut watch::Receiver<bool>) {
    if stopped.wait_for(|stop| *stop).await.is_err() {
        // The handle was dropped without a call to `stop`: the server keeps running.
        std::future::pending::<()>().await;
    }
}

//! An accept loop on the current thread, with a graceful stop.

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

/// An answer of ours.
pub type HttpReply = Response<BoxBody>;

/// How long an accept loop rests after the system refused a connection, for example for want of
/// file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// What a listener's requests are handed to.
pub trait HttpHandler {
    /// Answers one request.
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply>;
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Most connections at a time; further ones are closed at once.
    pub max_connections: usize,
    /// How long a caller may take to send a request's head.
    pub head_timeout: Duration,
    /// How long an idle connection is kept.
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

/// A running listener.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Rc<Cell<usize>>,
    refused: Rc<Cell<u64>>,
}

impl ServerHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Connections closed at once because the limit was reached.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Stops accepting and closes idle connections; requests in progress finish.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Stops, and waits until every connection has ended or `limit` has passed. Returns whether
    /// all had ended.
    pub async fn drain(&self, limit: Duration) -> bool {
        const POLL: Duration = Duration::from_millis(10);
        self.stop();
        let deadline = tokio::time::Instant::now() + limit;
        while self.connections.get() > 0 {
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL).await;
        }
        true
    }
}

/// Counts a connection for as long as it lives.
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

/// Serves `listener` on the current thread until stopped.
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
    let refused = Rc::new(Cell::new(0));
    let handle =
        ServerHandle { address, stop, connections: connections.clone(), refused: refused.clone() };
    let accept = accept_loop(listener, handler, options, stopped, connections, refused);
    actix_rt::spawn(accept);
    Ok(handle)
}

async fn accept_loop(
    listener: tokio::net::TcpListener,
    handler: Rc<dyn HttpHandler>,
    options: ServerOptions,
    mut stopped: watch::Receiver<bool>,
    connections: Rc<Cell<usize>>,
    refused: Rc<Cell<u64>>,
) {
    let signal = stopped.clone();
    let service = HttpService::build()
        .client_request_timeout(options.head_timeout)
        .keep_alive(options.keep_alive)
        .tcp_nodelay(true)
        .graceful_shutdown_signal(move || wait_for_stop(signal.clone()))
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
            () = wait_for_stop_ref(&mut stopped) => return,
        };
        match accepted {
            Ok((stream, _)) if connections.get() < options.max_connections => {
                let guard = ConnectionGuard::new(&connections);
                let service = service.clone();
                actix_rt::spawn(async move {
                    let _guard = guard;
                    if let Err(error) = service.call(stream).await {
                        tracing::debug!(%error, "connection ended");
                    }
                });
            }
            Ok(_) => refused.set(refused.get() + 1),
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    wait_for_stop_ref(&mut stopped).await;
}

async fn wait_for_stop_ref(stopped: &mut watch::Receiver<bool>) {
    if stopped.wait_for(|stop| *stop).await.is_err() {
        // The handle was dropped without a stop: serve on.
        std::future::pending::<()>().await;
    }
}

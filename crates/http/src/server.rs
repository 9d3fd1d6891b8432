//! HTTP server on the current thread, with graceful shutdown.

use crate::connection::{RequestFlag, ServerSocket};
use actix_http::{
    ConnectionType, HttpService, Protocol, Request, Response, body::BoxBody, error::DispatchError,
};
use actix_service::{Service, ServiceFactory};
use egretseam_h1::waiting_connections;
use futures::future::{FutureExt, LocalBoxFuture};
use std::{
    cell::Cell,
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tokio::{net::TcpStream, sync::watch, time::Instant};

/// A response of a daemon.
pub type HttpReply = Response<BoxBody>;

/// Delay before the next `accept` after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without requests after which a draining server closes its idle connections. Longer than a
/// request takes on its way from a client that has just chosen this server.
const QUIET_TIME: Duration = Duration::from_millis(250);
/// Longest wait of a draining server for the end of requests from clients that keep sending.
const MAX_QUIET_WAIT: Duration = Duration::from_secs(3);
/// The same, as a part of the time that a drain may take. The rest is for the requests in progress.
const MAX_QUIET_SHARE: f64 = 0.5;
/// How long a connection that was opened shortly before the stop is kept for its first request.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

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

/// Phase of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServerPhase {
    /// Connections are kept open between requests.
    Running,
    /// Each connection is closed after its next response.
    Leaving,
    /// No connections are accepted, and idle ones are closed.
    Closing,
}

/// State shared by the handle, the accept loop and the connections.
#[derive(Debug)]
struct ServerShared {
    phase: watch::Sender<ServerPhase>,
    connections: Cell<usize>,
    rejected: Cell<u64>,
    /// When the last request arrived, or the server began to leave.
    last_request: Cell<Instant>,
}

impl ServerShared {
    fn new() -> Self {
        Self {
            phase: watch::Sender::new(ServerPhase::Running),
            connections: Cell::new(0),
            rejected: Cell::new(0),
            last_request: Cell::new(Instant::now()),
        }
    }

    /// Enters `phase` unless a later one has been entered.
    fn enter(&self, phase: ServerPhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
    }

    /// Waits until the server closes idle connections; forever if it is never stopped.
    async fn closing(&self) {
        let mut phase = self.phase.subscribe();
        if phase.wait_for(|phase| *phase == ServerPhase::Closing).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until a connection accepted at `accepted_at` may be closed once it is idle.
    async fn may_close(self: Rc<Self>, accepted_at: Instant) {
        self.closing().await;
        tokio::time::sleep_until(accepted_at + FIRST_REQUEST_WAIT).await;
    }

    async fn respond(&self, handler: Rc<dyn HttpHandler>, request: Request) -> HttpReply {
        self.last_request.set(Instant::now());
        let in_request = RequestFlag::of(&request);
        let mut reply = handler.handle(request).await;
        in_request.set(false);
        if *self.phase.borrow() >= ServerPhase::Leaving {
            reply.head_mut().set_connection_type(ConnectionType::Close);
        }
        reply
    }
}

/// Handle of a running server.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    shared: Rc<ServerShared>,
}

impl ServerHandle {
    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.get()
    }

    /// Number of connections closed at once because the limit was reached.
    pub fn rejected(&self) -> u64 {
        self.shared.rejected.get()
    }

    /// Announces with every response from now on that its connection closes. Requests are still
    /// served, also on new connections.
    pub fn leave(&self) {
        self.shared.enter(ServerPhase::Leaving);
    }

    /// Stops accepting connections and closes idle ones; requests that have arrived are served.
    pub fn stop(&self) {
        self.shared.enter(ServerPhase::Closing);
    }

    /// Stops the server once no requests arrive, and waits until all connections are closed or
    /// `timeout` has passed. Returns whether all connections are closed.
    pub async fn drain(&self, timeout: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let deadline = Instant::now() + timeout;
        self.leave();
        self.wait_until_quiet(MAX_QUIET_WAIT.min(timeout.mul_f64(MAX_QUIET_SHARE))).await;
        self.stop();
        while self.connections() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Waits until no request has arrived for [`QUIET_TIME`], for at most `max_wait`.
    ///
    /// Prevents the close of a connection from crossing a request that a client is just sending on
    /// it: the client would get no response. Clients that know that this server leaves send
    /// nothing, and those that do not yet know are answered until they do.
    async fn wait_until_quiet(&self, max_wait: Duration) {
        let began = Instant::now();
        let give_up_at = began + max_wait;
        loop {
            let quiet_at = self.shared.last_request.get().max(began) + QUIET_TIME;
            let wake_at = quiet_at.min(give_up_at);
            if Instant::now() >= wake_at {
                return;
            }
            tokio::time::sleep_until(wake_at).await;
        }
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Rc<ServerShared>);

impl ConnectionGuard {
    fn new(shared: &Rc<ServerShared>) -> Self {
        shared.connections.set(shared.connections.get() + 1);
        Self(shared.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
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
    let shared = Rc::new(ServerShared::new());
    actix_rt::spawn(accept_loop(listener, handler, options, shared.clone()));
    Ok(ServerHandle { address, shared })
}

async fn accept_loop(
    listener: tokio::net::TcpListener,
    handler: Rc<dyn HttpHandler>,
    options: ServerOptions,
    shared: Rc<ServerShared>,
) {
    let server = shared.clone();
    let service = HttpService::build()
        .client_request_timeout(options.head_timeout)
        .keep_alive(options.keep_alive)
        .on_connect_ext(|socket: &ServerSocket, data| socket.share_flag(data))
        .finish(move |request: Request| {
            let (server, handler) = (server.clone(), handler.clone());
            async move { Ok::<_, Infallible>(server.respond(handler, request).await) }
        })
        .new_service(())
        .await;
    let Ok(service) = service else { return };
    let service = Rc::new(service);
    let serve = |(stream, peer)| {
        if shared.connections.get() < options.max_connections {
            actix_rt::spawn(serve_connection(shared.clone(), service.clone(), stream, peer));
        } else {
            shared.rejected.set(shared.rejected.get() + 1);
        }
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.closing() => break,
        };
        match accepted {
            Ok(connection) => serve(connection),
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    waiting_connections(listener).for_each(serve);
}

/// Serves one connection until either side closes it. It counts as open from the call on.
fn serve_connection<S>(
    shared: Rc<ServerShared>,
    service: Rc<S>,
    stream: TcpStream,
    peer: SocketAddr,
) -> impl Future<Output = ()>
where
    S: Service<(ServerSocket, Protocol, Option<SocketAddr>), Error = DispatchError>,
{
    let guard = ConnectionGuard::new(&shared);
    // Without the option, responses are only slower.
    stream.set_nodelay(true).ok();
    let close_signal = shared.may_close(Instant::now()).boxed_local();
    let socket = ServerSocket::new(stream, close_signal);
    async move {
        let _guard = guard;
        if let Err(error) = service.call((socket, Protocol::Http1, Some(peer))).await {
            tracing::debug!(%error, "connection closed with an error");
        }
    }
}

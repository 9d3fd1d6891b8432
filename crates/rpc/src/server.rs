//! Servers of the RPC services; each runs on the thread that starts it.

use crate::{
    feed::{ChunkService, FeedService},
    preface::PeerSecret,
    wire::{ControlService, EntryService},
};
use futures::StreamExt;
use std::{
    cell::Cell,
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tarpc::{
    server::{BaseChannel, Channel, Serve},
    tokio_serde::formats::Bincode,
};
use tokio::{net::TcpStream, sync::watch};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Limits of a listener and its connections.
#[derive(Clone, Copy, Debug)]
pub struct RpcOptions {
    /// Largest frame in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of calls in progress on one connection; further calls are rejected.
    pub max_calls: usize,
    /// Maximum number of connections; further connections are closed at once.
    pub max_connections: usize,
}

impl Default for RpcOptions {
    fn default() -> Self {
        Self { max_frame_bytes: 16 * 1024 * 1024, max_calls: 1_024, max_connections: 4_096 }
    }
}

/// A running listener; dropping it stops the accept loop and ends its connections.
#[derive(Debug)]
pub struct RpcServer {
    address: SocketAddr,
    rejected: Rc<Cell<u64>>,
    _stop: watch::Sender<()>,
}

impl RpcServer {
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections closed for a missing or wrong preface, or above `max_connections`.
    pub fn rejected(&self) -> u64 {
        self.rejected.get()
    }
}

macro_rules! serve {
    ($name:ident, $service:ident) => {
        #[doc = concat!("Serves [`", stringify!($service), "`] on the current thread.")]
        ///
        /// # Errors
        /// Fails if the listener cannot be made non-blocking.
        pub fn $name(
            listener: TcpListener,
            secret: PeerSecret,
            options: RpcOptions,
            service: impl $service + Clone + 'static,
        ) -> io::Result<RpcServer> {
            spawn_accept(listener, secret, options, move |stream, options| {
                serve_stream(stream, options, service.clone().serve())
            })
        }
    };
}

serve!(serve_control, ControlService);
serve!(serve_entry, EntryService);
serve!(serve_feed, FeedService);
serve!(serve_chunks, ChunkService);

async fn serve_stream<S>(stream: TcpStream, options: RpcOptions, serve: S)
where
    S: Serve + Clone + 'static,
    S::Req: for<'de> serde::Deserialize<'de> + tarpc::RequestName + 'static,
    S::Resp: serde::Serialize + 'static,
{
    let framed = Framed::new(stream, codec(options.max_frame_bytes));
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(options.max_calls);
    let calls = channel.execute(serve);
    futures::pin_mut!(calls);
    while let Some(call) = calls.next().await {
        actix_rt::spawn(call);
    }
}

pub(crate) fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec()
}

fn spawn_accept<F, Fut>(
    listener: TcpListener,
    secret: PeerSecret,
    options: RpcOptions,
    serve: F,
) -> io::Result<RpcServer>
where
    F: Fn(TcpStream, RpcOptions) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (stop, stopped) = watch::channel(());
    let rejected = Rc::new(Cell::new(0));
    let server = RpcServer { address, rejected: rejected.clone(), _stop: stop };
    actix_rt::spawn(accept_loop(listener, secret, options, Rc::new(serve), stopped, rejected));
    Ok(server)
}

async fn accept_loop<F, Fut>(
    listener: tokio::net::TcpListener,
    secret: PeerSecret,
    options: RpcOptions,
    serve: Rc<F>,
    stopped: watch::Receiver<()>,
    rejected: Rc<Cell<u64>>,
) where
    F: Fn(TcpStream, RpcOptions) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
    let connections = Rc::new(());
    let mut loop_stopped = stopped.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = loop_stopped.changed() => return,
        };
        let Ok((mut stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if Rc::strong_count(&connections) > options.max_connections {
            rejected.set(rejected.get() + 1);
            continue;
        }
        let (serve, rejected) = (serve.clone(), rejected.clone());
        let (guard, mut stopped) = (connections.clone(), stopped.clone());
        actix_rt::spawn(async move {
            let _guard = guard;
            if let Err(error) =
                stream.set_nodelay(true).and(secret.verify_preface(&mut stream).await)
            {
                rejected.set(rejected.get() + 1);
                tracing::warn!(%peer, %error, "rejected a peer connection");
                return;
            }
            tokio::select! {
                () = serve(stream, options) => {}
                _ = stopped.changed() => {}
            }
        });
    }
}

//! Accept loop on the current thread.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::Duration,
};
use tokio::{net::TcpStream, task::JoinHandle};

/// Delay before the next `accept` after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections on `listener` and spawns the task that `serve` returns for each, until
/// `serve` returns `None`.
///
/// # Errors
/// Fails if the listener cannot be made non-blocking.
pub fn spawn_accept<F, Fut>(listener: TcpListener, serve: F) -> io::Result<()>
where
    F: Fn(TcpStream) -> Option<Fut> + 'static,
    Fut: Future<Output = ()> + 'static,
{
    spawn_accept_until(listener, std::future::pending(), serve).map(drop)
}

/// [`spawn_accept`] until `closing` completes. The connections that wait to be accepted then are
/// served too, before the listener is closed and the returned task ends.
///
/// # Errors
/// Fails if the listener cannot be made non-blocking.
pub fn spawn_accept_until<F, Fut>(
    listener: TcpListener,
    closing: impl Future<Output = ()> + 'static,
    serve: F,
) -> io::Result<JoinHandle<()>>
where
    F: Fn(TcpStream) -> Option<Fut> + 'static,
    Fut: Future<Output = ()> + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    Ok(actix_rt::spawn(async move {
        tokio::select! {
            biased;
            () = closing => {}
            () = accept_loop(&listener, &serve) => return,
        }
        for (stream, _) in waiting_connections(listener) {
            let Some(task) = serve(stream) else { return };
            actix_rt::spawn(task);
        }
    }))
}

async fn accept_loop<F, Fut>(listener: &tokio::net::TcpListener, serve: &F)
where
    F: Fn(TcpStream) -> Option<Fut> + 'static,
    Fut: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(task) = serve(stream) else { return };
                actix_rt::spawn(task);
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that wait in the queue of `listener` and closes it.
///
/// Prevents the close of the listener from resetting connections that clients have opened and sent
/// a request on: they would get no response.
pub fn waiting_connections(
    listener: tokio::net::TcpListener,
) -> impl Iterator<Item = (TcpStream, SocketAddr)> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || {
        let (stream, peer) = listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        Some((TcpStream::from_std(stream).ok()?, peer))
    })
}

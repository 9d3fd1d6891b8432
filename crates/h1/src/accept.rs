//! Accept loop on the current thread.

use std::{io, net::TcpListener, time::Duration};
use tokio::net::TcpStream;

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
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    actix_rt::spawn(async move {
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
    });
    Ok(())
}

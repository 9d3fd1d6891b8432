//! Accepting connections on the current thread.

use std::{io, net::TcpListener, time::Duration};
use tokio::net::TcpStream;

/// Pause after the system refused a connection, for example for want of descriptors.
const BACKOFF: Duration = Duration::from_millis(50);

/// Serves every connection of `listener` with the task that `serve` makes of it, until `serve`
/// makes none any more.
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
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(BACKOFF).await;
                }
            }
        }
    });
    Ok(())
}

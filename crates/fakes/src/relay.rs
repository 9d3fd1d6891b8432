//! A TCP relay between two processes that can freeze, as in a silent partition, or corrupt data.

use std::{
    io,
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Most bytes forwarded at a time.
const PIECE_BYTES: usize = 32 * 1024;
/// Smallest piece that is corrupted: heads of messages are smaller, chunks of weights larger.
const MIN_CORRUPTED_PIECE_BYTES: usize = 8 * 1024;
/// Interval at which a frozen connection checks whether it may continue.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Faults that can be switched on from another thread.
#[derive(Debug, Default)]
pub struct RelayFaults {
    /// No data is forwarded and no connection is closed, as in a silent partition; data waits.
    pub frozen: AtomicBool,
    /// One in this many large pieces has its last byte inverted; 0 means none.
    pub corrupt_one_in: AtomicU64,
    /// Large pieces forwarded while `corrupt_one_in` was not 0.
    pieces: AtomicU64,
    /// Large pieces corrupted.
    pub corrupted: AtomicU64,
}

/// A relay on the current thread; it ends with the thread's runtime.
pub struct FakeRelay;

impl FakeRelay {
    /// Relays connections from `listener` to `upstream`, in both directions.
    ///
    /// # Errors
    /// Fails if the listener cannot be used.
    pub fn start(
        listener: TcpListener,
        upstream: String,
        faults: Arc<RelayFaults>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let upstream = Rc::new(upstream);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(relay_connection(stream, upstream.clone(), faults.clone()));
            }
        });
        Ok(Self)
    }
}

async fn relay_connection(client: TcpStream, upstream: Rc<String>, faults: Arc<RelayFaults>) {
    wait_while_frozen(&faults).await;
    let Ok(server) = TcpStream::connect(upstream.as_str()).await else { return };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    actix_rt::spawn(forward(client_read, server_write, faults.clone()));
    forward(server_read, client_write, faults).await;
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, faults: Arc<RelayFaults>) {
    let mut buffer = vec![0; PIECE_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        wait_while_frozen(&faults).await;
        corrupt(&mut buffer[..length], &faults);
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    to.shutdown().await.ok();
}

fn corrupt(piece: &mut [u8], faults: &RelayFaults) {
    let one_in = faults.corrupt_one_in.load(Ordering::Relaxed);
    if one_in == 0 || piece.len() < MIN_CORRUPTED_PIECE_BYTES {
        return;
    }
    let piece_number = faults.pieces.fetch_add(1, Ordering::Relaxed) + 1;
    if piece_number.is_multiple_of(one_in) {
        faults.corrupted.fetch_add(1, Ordering::Relaxed);
        let last = piece.len() - 1;
        piece[last] ^= 0xff;
    }
}

async fn wait_while_frozen(faults: &RelayFaults) {
    while faults.frozen.load(Ordering::Relaxed) {
        tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
    }
}

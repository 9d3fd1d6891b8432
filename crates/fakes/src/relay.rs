//! A link between two processes that can be made to misbehave: cut silently, frozen, or damaging.

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

/// Bytes passed on at a time.
const PIECE_BYTES: usize = 32 * 1024;
/// Smallest piece that is corrupted: heads of messages are smaller, chunks of weights larger.
const DAMAGED_PIECE_BYTES: usize = 8 * 1024;
/// How often a frozen link looks whether it may go on.
const FROZEN_POLL: Duration = Duration::from_millis(20);

/// Misbehaviour that can be switched on from another thread.
#[derive(Debug, Default)]
pub struct RelayFaults {
    /// Nothing passes and nothing is closed, as behind a silent partition; bytes wait.
    pub frozen: AtomicBool,
    /// One in so many large pieces arrives with a flipped byte; 0 means none.
    pub corrupt_one_in: AtomicU64,
    /// Large pieces seen.
    pieces: AtomicU64,
    /// Large pieces corrupted.
    pub corrupted: AtomicU64,
}

/// A relay on the current thread; it ends with the thread's runtime.
pub struct FakeRelay;

impl FakeRelay {
    /// Passes everything that arrives at `listener` on to `upstream`.
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
                actix_rt::spawn(join(stream, upstream.clone(), faults.clone()));
            }
        });
        Ok(Self)
    }
}

async fn join(near: TcpStream, upstream: Rc<String>, faults: Arc<RelayFaults>) {
    wait_while_frozen(&faults).await;
    let Ok(far) = TcpStream::connect(upstream.as_str()).await else { return };
    near.set_nodelay(true).ok();
    far.set_nodelay(true).ok();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    actix_rt::spawn(pass_on(near_read, far_write, faults.clone()));
    pass_on(far_read, near_write, faults).await;
}

async fn pass_on(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, faults: Arc<RelayFaults>) {
    let mut buffer = vec![0; PIECE_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        wait_while_frozen(&faults).await;
        damage(&mut buffer[..length], &faults);
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    to.shutdown().await.ok();
}

fn damage(piece: &mut [u8], faults: &RelayFaults) {
    let one_in = faults.corrupt_one_in.load(Ordering::Relaxed);
    if one_in == 0 || piece.len() < DAMAGED_PIECE_BYTES {
        return;
    }
    let number = faults.pieces.fetch_add(1, Ordering::Relaxed) + 1;
    if number.is_multiple_of(one_in) {
        faults.corrupted.fetch_add(1, Ordering::Relaxed);
        let last = piece.len() - 1;
        piece[last] ^= 0xff;
    }
}

async fn wait_while_frozen(faults: &RelayFaults) {
    while faults.frozen.load(Ordering::Relaxed) {
        tokio::time::sleep(FROZEN_POLL).await;
    }
}

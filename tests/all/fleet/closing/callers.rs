//! Callers on threads of their own, so that their requests reach an entry at any moment of its work.

use super::super::bed::{WAIT_TIMEOUT, request};
use socket2::SockRef;
use std::{
    io::{ErrorKind, Read, Write},
    mem::MaybeUninit,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// How a request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    Answered,
    /// 503: the request has not run.
    Rejected,
    /// Any other response.
    Failed(u16),
    /// Reset before any byte of a response: the entry has not read the request whole, and the
    /// connection was closed before it arrived or was looked at.
    Unread,
    /// Closed in order before any byte of a response: the entry has read the request.
    Dropped,
    /// Ended within the response.
    Cut,
}

/// How many requests ended in each way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CallCounts {
    pub(super) answered: usize,
    pub(super) rejected: usize,
    pub(super) failed: usize,
    pub(super) unread: usize,
    pub(super) dropped: usize,
    pub(super) cut: usize,
}

impl CallCounts {
    pub(super) fn record(&mut self, end: CallEnd) {
        let count = match end {
            CallEnd::Answered => &mut self.answered,
            CallEnd::Rejected => &mut self.rejected,
            CallEnd::Failed(_) => &mut self.failed,
            CallEnd::Unread => &mut self.unread,
            CallEnd::Dropped => &mut self.dropped,
            CallEnd::Cut => &mut self.cut,
        };
        *count += 1;
    }

    pub(super) fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unread += other.unread;
        self.dropped += other.dropped;
        self.cut += other.cut;
    }

    /// Requests that the entry has read and that got neither an answer nor a rejection, or another
    /// response.
    pub(super) fn lost(&self) -> usize {
        self.dropped + self.cut + self.failed
    }
}

/// A caller's connection.
pub(super) struct BlockingCaller {
    stream: TcpStream,
    /// Whether the last response lets the connection be used again.
    is_kept: bool,
    /// When the last request had been sent.
    pub(super) sent_at: Instant,
}

impl BlockingCaller {
    /// Opens a connection; `None` if nothing listens.
    pub(super) fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, WAIT_TIMEOUT).ok()?;
        stream.set_nodelay(true).expect("set");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        Some(Self { stream, is_kept: true, sent_at: Instant::now() })
    }

    /// Whether another request may be sent: the connection is kept, and nothing has arrived on it.
    pub(super) fn is_usable(&self) -> bool {
        if !self.is_kept {
            return false;
        }
        self.stream.set_nonblocking(true).expect("set");
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        self.stream.set_nonblocking(false).expect("set");
        matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a request and reads its response.
    pub(super) fn call(&mut self, id: &str) -> CallEnd {
        let end = self.exchange(id);
        self.is_kept &= !matches!(end, CallEnd::Unread | CallEnd::Dropped | CallEnd::Cut);
        end
    }

    fn exchange(&mut self, id: &str) -> CallEnd {
        let text = request("/once/1", id, "", "");
        if self.stream.write_all(text.as_bytes()).is_err() {
            return CallEnd::Unread;
        }
        self.sent_at = Instant::now();
        let mut bytes = Vec::new();
        loop {
            if let Some(status) = complete_status(&bytes) {
                let text = String::from_utf8_lossy(&bytes).to_lowercase();
                self.is_kept = !text.contains("connection: close");
                return match status {
                    200 => CallEnd::Answered,
                    503 => CallEnd::Rejected,
                    status => CallEnd::Failed(status),
                };
            }
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => panic!("{id}: no end"),
                _ if !bytes.is_empty() => return CallEnd::Cut,
                Ok(_) if self.is_reset_soon() => return CallEnd::Unread,
                Ok(_) => return CallEnd::Dropped,
                Err(_) => return CallEnd::Unread,
            }
        }
    }

    /// Whether the kernel of the entry resets a connection that the entry has closed, as it does if
    /// anything arrives that nobody reads.
    fn is_reset_soon(&mut self) -> bool {
        const TRIES: usize = 20;
        const PAUSE: Duration = Duration::from_millis(5);
        (0..TRIES).any(|_| {
            std::thread::sleep(PAUSE);
            self.stream.write(b"\r\n").is_err()
        })
    }

    /// Waits until the entry has closed the connection.
    pub(super) fn wait_closed(mut self) {
        let read = self.stream.read(&mut [0]);
        assert!(matches!(read, Ok(0)), "closed in order: {read:?}");
    }
}

/// The status of a response with a declared length once it is complete.
fn complete_status(bytes: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.split("content-length: ").nth(1).expect("a declared length");
    let length: usize = length.split("\r\n").next()?.parse().expect("a number");
    (body.len() >= length).then(|| head[9..12].parse().expect("a status"))
}

/// Blocks the thread for a time up to `most`.
pub(super) fn pause_up_to(most: Duration) {
    std::thread::sleep(most.mul_f64(rand::random()));
}

/// Sends request after request to `address` until nothing listens there or `until` has passed. Some
/// connections are kept; some are new, and their first request follows a moment later.
pub(super) fn keep_calling(name: usize, address: SocketAddr, until: Instant) -> CallCounts {
    const PAUSE: Duration = Duration::from_millis(30);
    const FIRST_REQUEST_PAUSE: Duration = Duration::from_millis(4);
    const NEW_SHARE: f64 = 0.3;
    let mut counts = CallCounts::default();
    let mut kept: Option<BlockingCaller> = None;
    for number in 0.. {
        pause_up_to(PAUSE);
        if Instant::now() >= until {
            break;
        }
        let usable = kept.take().filter(BlockingCaller::is_usable);
        let mut caller = match usable.filter(|_| rand::random::<f64>() >= NEW_SHARE) {
            Some(caller) => caller,
            None => {
                let Some(caller) = BlockingCaller::open(address) else { break };
                pause_up_to(FIRST_REQUEST_PAUSE);
                caller
            }
        };
        counts.record(caller.call(&format!("c{name}-{number}")));
        kept = Some(caller);
    }
    counts
}

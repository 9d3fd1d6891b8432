//! A loopback relay in front of a target, which does to its connections what networks do.

use socket2::SockRef;
use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
};

/// Added to each piece of a delayed connection.
const DELAY: Duration = Duration::from_millis(250);
/// How often a relay that holds bytes back looks whether it may pass them on.
const LOOK: Duration = Duration::from_millis(20);
const BUFFER: usize = 16 * 1024;

/// What a relay does to every connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayFault {
    /// Nothing.
    None,
    /// Every piece comes later.
    Delay,
    /// Connections are reset.
    Reset,
    /// Requests pass, answers do not.
    OneWay,
    /// Nothing passes and nothing is closed.
    Silence,
}

impl RelayFault {
    pub(super) const ALL: [Self; 4] = [Self::Delay, Self::Reset, Self::OneWay, Self::Silence];
}

/// Listens, and passes everything on to `target` as the fault allows.
pub(super) async fn start(
    target: SocketAddr,
    fault: Rc<Cell<RelayFault>>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    actix_rt::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let fault = fault.clone();
            actix_rt::spawn(async move {
                // A connection that fails ends; that is what its two ends see.
                if let Ok(far) = TcpStream::connect(target).await {
                    pass(near, far, fault).await;
                }
            });
        }
    });
    Ok(address)
}

async fn pass(mut near: TcpStream, mut far: TcpStream, fault: Rc<Cell<RelayFault>>) {
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let held_there = |fault: RelayFault| fault == RelayFault::Silence;
    let held_back = |fault: RelayFault| matches!(fault, RelayFault::Silence | RelayFault::OneWay);
    let is_reset = tokio::select! {
        () = copy(near_read, far_write, fault.clone(), held_there) => false,
        () = copy(far_read, near_write, fault.clone(), held_back) => false,
        () = wait_for_reset(fault) => true,
    };
    if is_reset {
        // An orderly close would end responses without a length as if they were whole.
        for stream in [&near, &far] {
            SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
        }
    }
}

/// Ends when connections are to be reset.
async fn wait_for_reset(fault: Rc<Cell<RelayFault>>) {
    while fault.get() != RelayFault::Reset {
        tokio::time::sleep(LOOK).await;
    }
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    fault: Rc<Cell<RelayFault>>,
    holds: impl Fn(RelayFault) -> bool,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        while holds(fault.get()) {
            tokio::time::sleep(LOOK).await;
        }
        if fault.get() == RelayFault::Delay {
            tokio::time::sleep(DELAY).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

//! Test fixture: connections that pass simulated links.

use super::link::{LinkSegment, SegmentPayload, SimulatedLink, TrafficKind, forward};
use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
};

/// Bytes of a connection and direction that may be in flight.
const CONNECTION_WINDOW: usize = 64 * 1024;
const SEGMENT_BYTES: usize = 1_448;

async fn write_all(
    mut to: OwnedWriteHalf,
    mut segments: mpsc::UnboundedReceiver<(Vec<u8>, OwnedSemaphorePermit)>,
) {
    while let Some((bytes, _permit)) = segments.recv().await {
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

type KindOf = Rc<dyn Fn(usize) -> TrafficKind>;

/// One direction of a connection: the links to pass, and the kind of a read by its size.
#[derive(Clone)]
pub(super) struct RelayPath {
    route: Vec<Rc<SimulatedLink>>,
    kind: KindOf,
}

impl RelayPath {
    pub(super) fn new(
        route: &[&Rc<SimulatedLink>],
        kind: impl Fn(usize) -> TrafficKind + 'static,
    ) -> Self {
        Self { route: route.iter().map(|link| (*link).clone()).collect(), kind: Rc::new(kind) }
    }

    async fn run(self, mut from: OwnedReadHalf, to: OwnedWriteHalf) {
        let (sender, receiver) = mpsc::unbounded_channel();
        actix_rt::spawn(write_all(to, receiver));
        let window = Arc::new(Semaphore::new(CONNECTION_WINDOW));
        let mut bytes = vec![0; 8 * 1024];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            let kind = (self.kind)(count);
            for part in bytes[..count].chunks(SEGMENT_BYTES) {
                let permit = window.clone().acquire_many_owned(part.len() as u32).await;
                let permit = permit.expect("the window stays open");
                let payload = SegmentPayload { bytes: part.to_vec(), to: sender.clone(), permit };
                forward(LinkSegment {
                    kind,
                    length: part.len(),
                    route: self.route.iter().cloned().collect(),
                    payload: Some(payload),
                });
            }
        }
    }
}

/// Relays connections from `listener` to `server`.
pub(super) fn start_relay(
    listener: TcpListener,
    server: SocketAddr,
    calls: RelayPath,
    replies: RelayPath,
) {
    listener.set_nonblocking(true).expect("the listener is usable");
    let listener = tokio::net::TcpListener::from_std(listener).expect("the listener is usable");
    actix_rt::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(server).await else { continue };
            client.set_nodelay(true).expect("the socket is usable");
            server.set_nodelay(true).expect("the socket is usable");
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            actix_rt::spawn(calls.clone().run(from_client, to_server));
            actix_rt::spawn(replies.clone().run(from_server, to_client));
        }
    });
}

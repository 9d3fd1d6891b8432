//! Closing connections and listeners while something arrives on them.

use egretseam_h1::{ConnectionOptions, HttpConnection, bind_listener, spawn_accept_until};
use std::{
    cell::Cell,
    io::Write,
    net::{SocketAddr, TcpStream},
    rc::Rc,
};

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
const HEAD_LIMIT: usize = 1_024;

/// A listener at a free port, and its address.
fn listen() -> (std::net::TcpListener, SocketAddr) {
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Opens a connection and wraps its accepted end, about which the runtime knows nothing yet.
fn connect() -> (TcpStream, HttpConnection) {
    let (listener, address) = listen();
    let peer = TcpStream::connect(address).expect("connected");
    let (accepted, _) = listener.accept().expect("a connection");
    accepted.set_nonblocking(true).expect("set");
    let accepted = tokio::net::TcpStream::from_std(accepted).expect("a socket of the runtime");
    let connection = HttpConnection::new(accepted, &ConnectionOptions::default());
    (peer, connection.expect("set up"))
}

/// Guards against the close of an idle connection on which a request waits that the runtime does not
/// know of.
#[actix_rt::test]
async fn a_request_that_waits_unread_at_the_expiry_is_read() {
    let (mut peer, mut connection) = connect();
    peer.write_all(REQUEST).expect("sent");
    assert!(connection.wait_for_message_until(std::future::ready(())).await);
    let head = connection.read_request(HEAD_LIMIT).await.expect("valid").expect("a request");
    assert_eq!(head.path(), "/a");
}

/// Guards against idle connections that are not closed at their expiry, or after their peers.
#[actix_rt::test]
async fn a_connection_on_which_nothing_has_arrived_expires() {
    let (peer, mut connection) = connect();
    assert!(!connection.wait_for_message_until(std::future::ready(())).await);
    drop(peer);
    assert!(!connection.wait_for_message_until(std::future::pending()).await);
}

/// Guards against the reset of connections that wait to be accepted when their listener is closed.
#[actix_rt::test]
async fn connections_that_wait_when_their_listener_closes_are_served() {
    const WAITING: usize = 8;
    let (listener, address) = listen();
    let served = Rc::new(Cell::new(0));
    let count = served.clone();
    let accepting = spawn_accept_until(listener, std::future::ready(()), move |_| {
        count.set(count.get() + 1);
        Some(std::future::ready(()))
    });
    let peers: Vec<_> = (0..WAITING).map(|_| TcpStream::connect(address)).collect();
    accepting.expect("it accepts").await.expect("it ends");
    assert!(peers.iter().all(Result::is_ok));
    assert_eq!(served.get(), WAITING);
    assert!(TcpStream::connect(address).is_err(), "nothing listens any more");
}

//! An address where handshakes hang.

use socket2::{Domain, Socket, Type};
use std::net::{IpAddr, SocketAddr};

/// A listener that accepts nothing and whose queue is full, so that handshakes with it hang.
pub(crate) struct HangingListener {
    pub(crate) address: SocketAddr,
    _sockets: Vec<Socket>,
}

impl HangingListener {
    /// More connections than the queue takes.
    const CONNECTIONS: usize = 4;

    pub(super) fn start(host: IpAddr) -> Self {
        let open = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let listener = open();
        listener.bind(&SocketAddr::new(host, 0).into()).expect("a free port");
        listener.listen(1).expect("listens");
        let address = listener.local_addr().expect("bound").as_socket().expect("an address");
        let mut sockets = vec![listener];
        for _ in 0..Self::CONNECTIONS {
            let socket = open();
            socket.set_nonblocking(true).expect("the socket is usable");
            // The handshake goes on, or hangs, after this returns.
            socket.connect(&address.into()).ok();
            sockets.push(socket);
        }
        Self { address, _sockets: sockets }
    }
}

//! A target that answers each request with bytes that never end.

use super::{FleetBed, ScriptedTarget};
use egretseam_h1::{BodyReader, ConnectionOptions, HttpConnection};
use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};

/// What a target sends for each request.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedFlood {
    /// Sent once; `{id}` stands for the id of the request.
    pub(crate) opening: String,
    /// Time between the opening and the rest.
    pub(crate) delay: Duration,
    /// Sent again and again until the connection ends.
    pub(crate) unit: String,
    /// Time between two units.
    pub(crate) interval: Duration,
    /// How long a unit may remain unread until the target breaks off.
    pub(crate) unread_limit: Duration,
}

/// How a connection to a flooding target has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FloodEnd {
    /// Bytes of units that the target's socket has taken, read by the entry or not.
    pub(crate) bytes: usize,
    /// Time since the request arrived.
    pub(crate) after: Duration,
    pub(crate) is_reset: bool,
}

/// A target that follows a [`ScriptedFlood`].
pub(crate) struct FloodingTarget {
    flood: ScriptedFlood,
    /// Requests that have arrived.
    pub(crate) arrived: Cell<usize>,
    pub(crate) ends: RefCell<Vec<FloodEnd>>,
}

impl FleetBed {
    /// Starts a flooding target, announces it and waits until the entry sends requests to it.
    pub(crate) async fn start_flooding(
        &mut self,
        id: &str,
        flood: ScriptedFlood,
    ) -> Rc<FloodingTarget> {
        let listener = TcpListener::bind((self.unused_host(), 0)).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (arrived, ends) = (Cell::new(0), RefCell::default());
        let target = Rc::new(FloodingTarget { flood, arrived, ends });
        let serving = target.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serving.clone();
                actix_rt::spawn(async move { serving.serve(stream).await });
            }
        });
        self.announce(&ScriptedTarget::unserved(address, id), "ready").await;
        self.wait_until(|| self.entry.is_target_ready(id)).await;
        target
    }
}

impl FloodingTarget {
    /// The connections have ended on which requests arrived.
    pub(crate) fn has_ended(&self) -> bool {
        self.ends.borrow().len() == self.arrived.get()
    }

    async fn serve(&self, stream: TcpStream) {
        let options = ConnectionOptions::default();
        let mut connection = HttpConnection::new(stream, &options).expect("set up");
        // Without a request, it is a check whether the process has ended.
        let Ok(Some(head)) = connection.read_request(64 * 1024).await else { return };
        let reader = BodyReader::new(head.framing);
        let Ok(_) = connection.read_body(reader, 1 << 20).await else { return };
        self.arrived.set(self.arrived.get() + 1);
        let (arrived_at, mut bytes) = (Instant::now(), 0);
        let id = head.headers.text("X-Request-Id").unwrap_or_default().to_owned();
        let error = self.send(&mut connection, &id, &mut bytes).await;
        if error.kind() == io::ErrorKind::TimedOut {
            connection.abort();
        }
        let is_reset = error.kind() == io::ErrorKind::ConnectionReset;
        self.ends.borrow_mut().push(FloodEnd { bytes, after: arrived_at.elapsed(), is_reset });
    }

    /// Sends until the connection ends.
    async fn send(&self, connection: &mut HttpConnection, id: &str, sent: &mut usize) -> io::Error {
        let flood = &self.flood;
        if let Err(error) = connection.write(flood.opening.replace("{id}", id).as_bytes()).await {
            return error;
        }
        tokio::time::sleep(flood.delay).await;
        loop {
            let write = connection.write(flood.unit.as_bytes());
            match tokio::time::timeout(flood.unread_limit, write).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error,
                Err(_) => return io::ErrorKind::TimedOut.into(),
            }
            *sent += flood.unit.len();
            if !flood.interval.is_zero() {
                tokio::time::sleep(flood.interval).await;
            }
        }
    }
}

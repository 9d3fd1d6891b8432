//! A fake plain service with a call that is not idempotent: `POST /orders` books an order, and
//! `GET /orders/<id>` reads how often it was booked. `GET /events/whole` and `GET /events/cut` send a
//! stream of events, the second one without the end of its last event.

use actix_http::{Method, Request, Response, StatusCode, body::BodyStream};
use bytes::Bytes;
use egretseam_http::{
    HttpHandler, HttpReply, ServerHandle, ServerOptions, json_reply, read_body, spawn_server,
    text_reply,
};
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::TcpListener,
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Counts how often each order was booked, over all targets of the service.
#[derive(Clone, Debug, Default)]
pub struct BookingLedger {
    counts: Arc<Mutex<IndexMap<String, u32>>>,
}

impl BookingLedger {
    /// How often `id` was booked.
    pub fn booking_count(&self, id: &str) -> u32 {
        self.counts.lock().expect("no holder panics").get(id).copied().unwrap_or(0)
    }

    /// Orders booked more than once.
    pub fn duplicate_count(&self) -> usize {
        self.counts.lock().expect("no holder panics").values().filter(|count| **count > 1).count()
    }

    /// Orders booked at all.
    pub fn booked_count(&self) -> usize {
        self.counts.lock().expect("no holder panics").len()
    }

    fn book(&self, id: &str) -> u32 {
        let mut counts = self.counts.lock().expect("no holder panics");
        let count = counts.entry(id.to_owned()).or_insert(0);
        *count += 1;
        *count
    }
}

#[derive(Debug, Deserialize, Serialize)]
struct OrderBody {
    id: String,
}

#[derive(Debug, Serialize)]
struct OrderReply {
    id: String,
    run: u32,
}

/// A fake booking service.
pub struct FakeBookingService {
    ledger: BookingLedger,
    work_time: Duration,
}

impl FakeBookingService {
    /// Starts a service on `listener`, on the current thread.
    ///
    /// # Errors
    /// Fails if the listener cannot be used.
    pub fn start(
        ledger: BookingLedger,
        work_time: Duration,
        listener: TcpListener,
    ) -> io::Result<ServerHandle> {
        let service = Rc::new(Self { ledger, work_time });
        spawn_server(listener, service, ServerOptions::default())
    }

    async fn respond(&self, mut request: Request) -> HttpReply {
        let body = match read_body(&mut request.take_payload(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match (request.method(), request.path()) {
            (&Method::POST, "/orders") => match serde_json::from_slice::<OrderBody>(&body) {
                Ok(order) => {
                    let run = self.ledger.book(&order.id);
                    tokio::time::sleep(self.work_time).await;
                    json_reply(StatusCode::CREATED, &OrderReply { id: order.id, run })
                }
                Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            },
            (&Method::GET, path) if path.starts_with("/orders/") => {
                let id = path.trim_start_matches("/orders/").to_owned();
                let run = self.ledger.booking_count(&id);
                json_reply(StatusCode::OK, &OrderReply { id, run })
            }
            (&Method::GET, "/events/whole") => event_reply(b"data: 1\n\ndata: 2\n\n"),
            (&Method::GET, "/events/cut") => event_reply(b"data: 1\n\ndata: "),
            _ => text_reply(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

/// A stream of events in chunks, with the last chunk, whatever the events are.
fn event_reply(events: &'static [u8]) -> HttpReply {
    let pieces = futures::stream::iter([Ok::<_, io::Error>(Bytes::from_static(events))]);
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header(("content-type", "text/event-stream"));
    builder.body(BodyStream::new(pieces)).map_into_boxed_body()
}

impl HttpHandler for FakeBookingService {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move { self.respond(request).await })
    }
}

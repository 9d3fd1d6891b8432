//! Callers, which send request after request on connections that they keep.

use super::{
    checks::SoakLedger,
    stand_ins::{CALL_LIMIT, EVENTS, HOST, KEY},
};
use bytes::Bytes;
use egretseam_h1::{BodyReader, ConnectionOptions, HttpConnection, ResponseHead};
use egretseam_platform::stand_in;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

const CALLER_LIMIT: Duration = Duration::from_millis(4_000);

/// A caller that sends request after request, on a kept connection while it lasts.
pub(super) struct CallerTask {
    name: usize,
    entries: Vec<SocketAddr>,
    ledger: Rc<SoakLedger>,
    random: SmallRng,
}

impl CallerTask {
    pub(super) fn start(name: usize, entries: Vec<SocketAddr>, ledger: Rc<SoakLedger>, seed: u64) {
        let task = Self { name, entries, ledger, random: SmallRng::seed_from_u64(seed) };
        actix_rt::spawn(task.run());
    }

    async fn run(mut self) {
        let mut kept: Option<EntryConnection> = None;
        for number in 0_u64.. {
            let pause = Duration::from_millis(self.random.random_range(5..60));
            tokio::time::sleep(pause).await;
            let Some(mut connection) = self.connection(kept.take()).await else { continue };
            let kind = ["once", "safe", "stream"][self.random.random_range(0..3)];
            let id = format!("c{}-{number}-{kind}", self.name);
            if self.ask(&mut connection, kind, &id).await {
                kept = Some(connection);
            }
        }
    }

    /// Half of the callers leave a connection only when it is closed.
    async fn connection(&mut self, kept: Option<EntryConnection>) -> Option<EntryConnection> {
        let kept = kept.filter(|kept| kept.http.is_idle());
        let is_loyal = self.name.is_multiple_of(2);
        if kept.is_some() && (is_loyal || self.random.random_bool(0.9)) {
            return kept;
        }
        let entry = self.random.random_range(0..self.entries.len());
        let options = ConnectionOptions::default();
        let opened = HttpConnection::open(self.entries[entry], CALL_LIMIT, &options).await;
        Some(EntryConnection { entry, http: opened.ok()? })
    }

    /// Sends one request and checks its answer; returns whether the connection goes on.
    async fn ask(&self, connection: &mut EntryConnection, kind: &str, id: &str) -> bool {
        self.ledger.note_sent(id, kind == "once");
        let millis = CALLER_LIMIT.as_millis() as u64;
        let text = stand_in::caller_request(&format!("/{kind}/x"), HOST, id, KEY, millis);
        let sent = Instant::now();
        let exchange = exchange(&mut connection.http, &text);
        let outcome = tokio::time::timeout(CALLER_LIMIT, exchange).await;
        let (head, body) = match outcome.unwrap_or(CallerOutcome::Late) {
            CallerOutcome::Whole(head, body) => (head, body),
            CallerOutcome::Lost => {
                self.ledger.note_lost(id, connection.entry, sent);
                self.ledger.note_failure(id, 0);
                return false;
            }
            CallerOutcome::Unsent | CallerOutcome::Late => {
                self.ledger.note_failure(id, 0);
                return false;
            }
        };
        if head.status == 200 {
            self.check_body(kind, id, &body);
            self.ledger.note_answered();
        } else {
            if matches!(head.status, 502 | 504) {
                self.ledger.note_own_error(id, connection.entry, sent);
            }
            self.ledger.note_failure(id, head.status);
        }
        !head.headers.wants_close()
    }

    fn check_body(&self, kind: &str, id: &str, body: &[u8]) {
        let expected = if kind == "stream" {
            (1..=EVENTS).map(|event| format!("id: {event}\ndata: {id}\n\n")).collect()
        } else {
            id.to_owned()
        };
        if body != expected.as_bytes() {
            let text = String::from_utf8_lossy(body);
            self.ledger.violation(id, format!("{id} got another answer: {text:?}"));
        }
    }
}

/// A connection to one of the entries.
struct EntryConnection {
    entry: usize,
    http: HttpConnection,
}

/// What a caller saw of one request.
enum CallerOutcome {
    /// A complete response.
    Whole(ResponseHead, Bytes),
    /// The request was sent whole, and the connection ended without a complete response.
    Lost,
    /// The request could not be sent whole.
    Unsent,
    /// Nothing more came within the caller's time.
    Late,
}

async fn exchange(connection: &mut HttpConnection, request: &str) -> CallerOutcome {
    if connection.write(request.as_bytes()).await.is_err() {
        return CallerOutcome::Unsent;
    }
    let Ok(head) = connection.read_response().await else { return CallerOutcome::Lost };
    let reader = BodyReader::new(head.framing(b"POST"));
    match connection.read_body(reader, 1 << 20).await {
        Ok(body) => CallerOutcome::Whole(head, body),
        Err(_) => CallerOutcome::Lost,
    }
}

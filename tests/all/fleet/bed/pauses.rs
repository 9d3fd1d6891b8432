//! Responses of a scripted target that falls silent and goes on.

use super::target::{Arrival, EVENTS, Script, ScriptedFraming, ScriptedTarget};
use egretseam_h1::{HttpConnection, chunk_frame, last_chunk};
use indexmap::IndexSet;
use std::{cell::RefCell, time::Duration};
use tokio::{sync::watch, time::Instant};

/// Time between two events of a stream outside its pause.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// A pause that no test outlasts.
pub(crate) const FOREVER: Duration = Duration::from_secs(3_600);

/// Where in a response its target falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PausePlace {
    BeforeHead,
    /// Between the head and the first event or the body.
    AfterHead,
    /// After so many events of this response.
    AfterEvents(u64),
    /// In the middle of an event or of a body that is no stream.
    InsideBody,
    /// In the body of a rejection that says that the request has not run.
    InsideRejection,
}

/// A response whose target falls silent once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScriptedPause {
    pub(crate) place: PausePlace,
    pub(crate) length: Duration,
    pub(crate) framing: ScriptedFraming,
}

impl ScriptedPause {
    pub(crate) const fn new(place: PausePlace, length: Duration) -> Self {
        Self { place, length, framing: ScriptedFraming::Chunked }
    }

    /// A response without a pause.
    pub(crate) const fn none() -> Self {
        Self::new(PausePlace::BeforeHead, Duration::ZERO)
    }
}

/// What a target does with a request, given how it arrived.
pub(crate) type ScriptPlan = Box<dyn Fn(&Arrival) -> Script>;

/// A response whose connection ended before it was whole.
#[derive(Clone, Debug)]
pub(crate) struct EndedResponse {
    pub(crate) id: String,
    pub(crate) at: Instant,
}

/// An event that a target has sent.
#[derive(Clone, Debug)]
pub(crate) struct SentEvent {
    pub(crate) id: String,
    pub(crate) at: Instant,
}

/// A silence of a target that a test begins and ends.
#[derive(Clone, Debug)]
struct TargetSilence {
    /// Whether it goes on.
    lasts: watch::Receiver<bool>,
    /// Events of a response that are sent nevertheless.
    spared_events: u64,
}

impl TargetSilence {
    async fn wait_for_end(mut self) {
        self.lasts.wait_for(|lasts| !lasts).await.ok();
    }
}

/// Pauses of a target and what it saw during them.
#[derive(Default)]
pub(crate) struct PauseState {
    /// What the target does with requests that its script does not name.
    plan: RefCell<Option<ScriptPlan>>,
    silence: RefCell<Option<TargetSilence>>,
    pub(crate) sent_events: RefCell<Vec<SentEvent>>,
    pub(crate) ended: RefCell<Vec<EndedResponse>>,
    /// Ids of the requests that were rejected with a pause.
    pub(super) rejected: RefCell<IndexSet<String>>,
}

impl PauseState {
    pub(super) fn planned(&self, arrival: &Arrival) -> Script {
        self.plan.borrow().as_ref().map_or(Script::Answer, |plan| plan(arrival))
    }
}

/// A part of a response that is written at once.
struct ResponsePiece {
    /// Time without a byte before it.
    pause: Duration,
    bytes: Vec<u8>,
    /// Whether an event ends with it.
    ends_event: bool,
}

impl ScriptedTarget {
    /// Sets what the target does with all requests that its script does not name.
    pub(crate) fn plan(&self, plan: impl Fn(&Arrival) -> Script + 'static) {
        self.pauses.plan.replace(Some(Box::new(plan)));
    }

    /// Makes the target pause in each response.
    pub(crate) fn always_pause(&self, pause: ScriptedPause) {
        self.plan(move |_| Script::Pause(pause));
    }

    /// Lets the target send nothing while `silence` is true, but for the first events of a response.
    pub(crate) fn fall_silent_with(&self, silence: &watch::Sender<bool>, spared_events: u64) {
        let silence = TargetSilence { lasts: silence.subscribe(), spared_events };
        self.pauses.silence.replace(Some(silence));
    }

    /// When the target sent its first event of the response to this request.
    pub(crate) fn first_event_at(&self, id: &str) -> Option<Instant> {
        let events = self.pauses.sent_events.borrow();
        events.iter().find(|event| event.id == id).map(|event| event.at)
    }

    /// When the connection of this request ended before its response was whole.
    pub(crate) fn ended_at(&self, id: &str) -> Option<Instant> {
        let ended = self.pauses.ended.borrow();
        ended.iter().find(|ended| ended.id == id).map(|ended| ended.at)
    }

    /// Sends a response with its pause; returns whether the connection goes on.
    pub(super) async fn respond_with_pause(
        &self,
        connection: &mut HttpConnection,
        arrival: &Arrival,
        pause: ScriptedPause,
    ) -> bool {
        if pause.place == PausePlace::InsideRejection {
            self.pauses.rejected.borrow_mut().insert(arrival.id.clone());
        }
        let mut events = 0;
        for piece in self.pieces(arrival, pause) {
            if !self.wait_to_send(connection, &piece, events).await
                || connection.write(&piece.bytes).await.is_err()
            {
                self.record_ended(&arrival.id);
                return false;
            }
            if piece.ends_event {
                events += 1;
                let sent = SentEvent { id: arrival.id.clone(), at: Instant::now() };
                self.pauses.sent_events.borrow_mut().push(sent);
            }
        }
        !matches!(pause.framing, ScriptedFraming::UntilClose | ScriptedFraming::AnnouncedClose)
    }

    /// Waits until a piece may be sent after so many events of its response; returns false if the
    /// connection ends first.
    async fn wait_to_send(
        &self,
        connection: &mut HttpConnection,
        piece: &ResponsePiece,
        events: u64,
    ) -> bool {
        let silence = self.pauses.silence.borrow().clone();
        let silence = silence.filter(|silence| events >= silence.spared_events);
        let turn = async {
            tokio::time::sleep(piece.pause).await;
            if let Some(silence) = silence {
                silence.wait_for_end().await;
            }
        };
        tokio::select! {
            () = turn => true,
            _ = connection.wait_for_message() => false,
        }
    }

    fn record_ended(&self, id: &str) {
        let ended = EndedResponse { id: id.to_owned(), at: Instant::now() };
        self.pauses.ended.borrow_mut().push(ended);
    }

    fn pieces(&self, arrival: &Arrival, pause: ScriptedPause) -> Vec<ResponsePiece> {
        let is_stream =
            ["/stream/", "/single/"].iter().any(|prefix| arrival.path.starts_with(prefix));
        if pause.place == PausePlace::InsideRejection {
            rejection(pause)
        } else if is_stream {
            stream(&self.signed_fields(&arrival.id), arrival, pause)
        } else {
            let body = format!("{} by {}", arrival.id, self.id);
            plain(&self.signed_fields(&arrival.id), &body, pause)
        }
    }

    fn signed_fields(&self, id: &str) -> String {
        format!("X-Request-Id: {id}\r\nX-Response-Signature: {}\r\n", self.id)
    }
}

fn rejection(pause: ScriptedPause) -> Vec<ResponsePiece> {
    let (one, two) = ("no r", "oom");
    let length = one.len() + two.len();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: {length}\r\n\r\n{one}"
    );
    let mut pieces = Pieces::new(ScriptedFraming::Length);
    pieces.head(Duration::ZERO, head);
    pieces.body(pause.length, two, false);
    pieces.list
}

fn plain(fields: &str, body: &str, pause: ScriptedPause) -> Vec<ResponsePiece> {
    let at = |place: PausePlace| if pause.place == place { pause.length } else { Duration::ZERO };
    let (one, two) = body.split_at(body.len() / 2);
    let head = success_head(fields, "text/plain", pause.framing, body.len());
    let mut pieces = Pieces::new(pause.framing);
    pieces.head(at(PausePlace::BeforeHead), head);
    pieces.body(at(PausePlace::AfterHead), one, false);
    pieces.body(at(PausePlace::InsideBody), two, false);
    pieces.end();
    pieces.list
}

fn stream(fields: &str, arrival: &Arrival, pause: ScriptedPause) -> Vec<ResponsePiece> {
    let at = |place: PausePlace| if pause.place == place { pause.length } else { Duration::ZERO };
    let from: u64 = arrival.last_event.as_ref().and_then(|id| id.parse().ok()).unwrap_or(0);
    let events: Vec<u64> = (from + 1..=EVENTS).collect();
    let text = |event: u64| format!("id: {event}\ndata: {event}\n\n");
    let length = events.iter().map(|event| text(*event).len()).sum();
    let mut pieces = Pieces::new(pause.framing);
    let head = success_head(fields, "text/event-stream", pause.framing, length);
    pieces.head(at(PausePlace::BeforeHead), head);
    for (sent, event) in (0..).zip(events) {
        let before = if sent == 0 {
            at(PausePlace::AfterHead)
        } else {
            EVENT_GAP.max(at(PausePlace::AfterEvents(sent)))
        };
        let text = text(event);
        let (one, two) = text.split_at(text.len() / 2);
        if sent == 2 && pause.place == PausePlace::InsideBody {
            pieces.body(before, one, false);
            pieces.body(pause.length, two, true);
        } else {
            pieces.body(before, &text, true);
        }
    }
    pieces.end();
    pieces.list
}

fn success_head(
    fields: &str,
    content_type: &str,
    framing: ScriptedFraming,
    length: usize,
) -> String {
    let framing = match framing {
        ScriptedFraming::Length => format!("Content-Length: {length}\r\n"),
        ScriptedFraming::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        ScriptedFraming::UntilClose => String::new(),
        ScriptedFraming::AnnouncedClose => "Connection: close\r\n".to_owned(),
    };
    format!("HTTP/1.1 200 OK\r\n{fields}Content-Type: {content_type}\r\n{framing}\r\n")
}

/// The pieces of a response, encoded as its framing demands.
struct Pieces {
    framing: ScriptedFraming,
    list: Vec<ResponsePiece>,
}

impl Pieces {
    fn new(framing: ScriptedFraming) -> Self {
        Self { framing, list: Vec::new() }
    }

    fn head(&mut self, pause: Duration, head: String) {
        self.list.push(ResponsePiece { pause, bytes: head.into_bytes(), ends_event: false });
    }

    fn body(&mut self, pause: Duration, text: &str, ends_event: bool) {
        let bytes = match self.framing {
            ScriptedFraming::Chunked => chunk_frame(text.as_bytes()).to_vec(),
            _ => text.as_bytes().to_vec(),
        };
        self.list.push(ResponsePiece { pause, bytes, ends_event });
    }

    fn end(&mut self) {
        if self.framing == ScriptedFraming::Chunked {
            let bytes = last_chunk().to_vec();
            self.list.push(ResponsePiece { pause: Duration::ZERO, bytes, ends_event: false });
        }
    }
}

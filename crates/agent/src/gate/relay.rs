//! Passing a target's answer on as it comes, and telling a whole one from a broken one.

use super::{GateCall, has_done_event, is_event_stream, is_model};
use crate::shared::{AgentShared, FlightGuard};
use actix_http::{
    Response,
    body::{BodyStream, BoxBody, SizedStream},
};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use egretseam_http::{HttpReply, forwarded_headers, header_text};
use egretseam_proto::VERSION_HEADER;
use futures::StreamExt;
use std::{io, rc::Rc};
use tokio::time::Instant;

/// Passes an answer on as it comes.
pub(super) fn relay(
    shared: Rc<AgentShared>,
    call: &GateCall,
    response: ClientResponse,
    flight: FlightGuard,
) -> HttpReply {
    let mut builder = Response::build(response.status());
    for (name, value) in forwarded_headers(response.headers()) {
        builder.append_header((name.clone(), value.clone()));
    }
    if let Some(version) = header_text(response.headers(), VERSION_HEADER) {
        builder.insert_header((VERSION_HEADER, version));
    }
    let length = header_text(response.headers(), "content-length").and_then(|t| t.parse().ok());
    let needs_done =
        is_event_stream(&response) && response.status().is_success() && is_model(&shared);
    let relay = AnswerRelay {
        shared,
        response,
        deadline: call.deadline,
        needs_done,
        tail: BytesMut::new(),
        failed: false,
        _flight: flight,
    };
    let pieces = Box::pin(futures::stream::unfold(relay, AnswerRelay::next));
    let body = match length {
        Some(length) => BoxBody::new(SizedStream::new(length, pieces)),
        None => BoxBody::new(BodyStream::new(pieces)),
    };
    builder.body(body).map_into_boxed_body()
}

struct AnswerRelay {
    shared: Rc<AgentShared>,
    response: ClientResponse,
    deadline: Instant,
    /// Whether the answer is whole only with the last event of a model's stream.
    needs_done: bool,
    /// The last bytes passed on, enough to hold the last event.
    tail: BytesMut,
    failed: bool,
    _flight: FlightGuard,
}

impl AnswerRelay {
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.failed {
            return None;
        }
        let piece = tokio::time::timeout_at(self.deadline, self.response.next()).await;
        let error = match piece {
            Ok(Some(Ok(piece))) => {
                self.shared.budget.charge(piece.len());
                self.keep_tail(&piece);
                return Some((Ok(piece), self));
            }
            Ok(None) if !self.needs_done || has_done_event(&self.tail) => {
                self.shared.counters.answered.inc();
                return None;
            }
            Ok(None) => io::Error::other("the stream ended without its last event"),
            Ok(Some(Err(error))) => io::Error::other(error.to_string()),
            Err(_) => io::Error::from(io::ErrorKind::TimedOut),
        };
        // An error closes the connection without the last chunk: the entry sees a broken answer.
        self.failed = true;
        Some((Err(error), self))
    }

    fn keep_tail(&mut self, piece: &Bytes) {
        const TAIL_BYTES: usize = 64;
        if !self.needs_done {
            return;
        }
        self.tail.extend_from_slice(piece);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail = self.tail.split_off(excess);
    }
}

//! Relays answers that are too long to hold: event streams, which go on elsewhere when they break,
//! and large bodies, which then end visibly broken.

use crate::{
    attempt::{self, AttemptReply},
    caller::CallerCall,
    forward,
    guards::AdmissionGuard,
    shared::EntryShared,
};
use actix_http::body::BodyStream;
use bytes::{Bytes, BytesMut};
use egretseam_catalog::ProfileRecord;
use egretseam_http::HttpReply;
use egretseam_proto::{InstanceName, RefusalReason};
use egretseam_routing::RequestOutcome;
use futures::StreamExt;
use std::{io, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Ends every event of a stream.
const EVENT_END: &[u8] = b"\n\n";
/// The event that says a stream is whole.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Largest single event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Most further targets that one stream goes on at. When a zone is lost, several in a row may be
/// dead before their silence shows; finding that out is quick.
const MAX_RESUMES: usize = 8;

/// Relays an answer as it comes.
pub(crate) fn relay(
    shared: Rc<EntryShared>,
    call: CallerCall,
    profile: ProfileRecord,
    reply: AttemptReply,
    admitted: AdmissionGuard,
) -> HttpReply {
    let status = reply.response.status();
    let mut head = attempt::reply_head(&call, status, reply.response.headers());
    let resumable = call.is_model && call.repeatable && status.is_success();
    let relay = StreamRelay {
        shared,
        call,
        profile,
        reply,
        buffer: BytesMut::new(),
        events: 0,
        tried: Vec::new(),
        resumable,
        ended: false,
        _admitted: admitted,
    };
    let body = BodyStream::new(Box::pin(futures::stream::unfold(relay, StreamRelay::next)));
    head.body(body).map_into_boxed_body()
}

struct StreamRelay {
    shared: Rc<EntryShared>,
    call: CallerCall,
    profile: ProfileRecord,
    reply: AttemptReply,
    /// Bytes of an event that is not complete yet.
    buffer: BytesMut,
    /// Complete events that the caller has been given.
    events: u64,
    tried: Vec<InstanceName>,
    resumable: bool,
    ended: bool,
    _admitted: AdmissionGuard,
}

impl StreamRelay {
    /// The next bytes for the caller. An error makes the server close the connection without the
    /// last chunk, which is how the caller sees that the answer is not whole.
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.ended {
            self.drain().await;
            return None;
        }
        loop {
            let piece = tokio::time::timeout_at(self.call.deadline, self.reply.response.next());
            let failure = match piece.await {
                Ok(Some(Ok(piece))) => {
                    if let Some(bytes) = self.take_piece(&piece) {
                        return Some((Ok(bytes), self));
                    }
                    continue;
                }
                Ok(None) if self.is_whole() => {
                    self.finish();
                    return None;
                }
                Ok(None) => RefusalReason::BrokenAnswer,
                Ok(Some(Err(_))) => RefusalReason::BrokenAnswer,
                Err(_) => RefusalReason::DeadlineExceeded,
            };
            self.reply.guard.set_outcome(RequestOutcome::Failed(failure));
            if failure == RefusalReason::DeadlineExceeded || !self.resume().await {
                self.ended = true;
                self.shared.counters.broken.inc();
                tracing::info!(request = self.call.id, events = self.events, "an answer broke off");
                let error = io::Error::new(io::ErrorKind::UnexpectedEof, "the answer broke off");
                return Some((Err(error), self));
            }
        }
    }

    /// Reads the end of a stream whose last event has come, so that its connection can be used
    /// again; a target that does not end it soon costs the connection and no time.
    async fn drain(&mut self) {
        const PATIENCE: Duration = Duration::from_millis(20);
        let rest = async { while let Some(Ok(_)) = self.reply.response.next().await {} };
        tokio::time::timeout(PATIENCE, rest).await.ok();
    }

    /// Takes bytes in; returns what the caller can be given. Of a resumable stream only complete
    /// events are passed on, so that the place to go on from is always between two events.
    fn take_piece(&mut self, piece: &Bytes) -> Option<Bytes> {
        if !self.resumable {
            return Some(piece.clone());
        }
        self.buffer.extend_from_slice(piece);
        let end = last_event_end(&self.buffer)?;
        let complete = self.buffer.split_to(end).freeze();
        for event in split_events(&complete) {
            if event.starts_with(DONE_EVENT) {
                self.ended = true;
            } else {
                self.events += 1;
            }
        }
        if self.ended {
            self.finish();
        }
        Some(complete)
    }

    /// Whether a body that ended without an error is whole. A stream of events is whole only with
    /// its last event; other bodies were checked by their length or their last chunk.
    fn is_whole(&self) -> bool {
        !self.resumable
    }

    fn finish(&mut self) {
        self.ended = true;
        let outcome = RequestOutcome::Answered(self.reply.first_byte);
        self.reply.guard.set_outcome(outcome);
        self.shared.counters.answered.inc();
    }

    /// Goes on at another target that serves exactly the same weights, from the first event that
    /// the caller does not have. Failure guarded: a target dies in mid-answer and a fitter on a
    /// roof gets half a diagnosis. Another version would continue a different answer, so without
    /// one of the same version the stream ends broken instead.
    async fn resume(&mut self) -> bool {
        if !self.resumable || self.buffer.len() > MAX_EVENT_BYTES {
            return false;
        }
        let manifest = self.reply.choice.manifest;
        self.tried.push(self.reply.choice.target.clone());
        while self.tried.len() <= MAX_RESUMES && Instant::now() < self.call.deadline {
            if !self.shared.budget.borrow_mut().spend(&self.call.organisation) {
                return false;
            }
            let chosen =
                forward::choose(&self.shared, &self.call, &self.profile, &self.tried, manifest);
            let Ok(choice) = chosen else { return false };
            let target = choice.target.clone();
            self.shared.metrics.count_retry(RefusalReason::BrokenAnswer);
            let sent = attempt::send(&self.shared, &self.call, choice, Some(self.events)).await;
            match sent {
                Ok(reply) if reply.response.status().is_success() => {
                    self.reply = reply;
                    self.buffer.clear();
                    self.shared.counters.resumed.inc();
                    return true;
                }
                Ok(reply) => self.tried.push(reply.choice.target.clone()),
                Err(failure) => {
                    if failure.report.reason == RefusalReason::ConnectFailed {
                        self.shared.budget.borrow_mut().refund(&self.call.organisation);
                    }
                    self.tried.push(target);
                }
            }
        }
        false
    }
}

/// End of the last complete event.
fn last_event_end(buffer: &[u8]) -> Option<usize> {
    let at = buffer.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
    Some(at + EVENT_END.len())
}

/// The complete events in `bytes`, without their ends.
fn split_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let at = rest.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
        let event = &rest[..at];
        rest = &rest[at + EVENT_END.len()..];
        Some(event)
    })
}

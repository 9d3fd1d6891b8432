//! Relays responses that are not buffered. If one breaks off, an event stream is resumed at another
//! target; a large body ends in an error that the caller can detect.

use crate::{
    attempt::{self, AttemptReply},
    caller::CallerRequest,
    forward,
    guards::AdmissionGuard,
    shared::EntryShared,
};
use actix_http::body::BodyStream;
use bytes::{Bytes, BytesMut};
use egretseam_catalog::ProfileRecord;
use egretseam_http::HttpReply;
use egretseam_proto::{InstanceName, ManifestId, RefusalReason};
use egretseam_routing::{RequestOutcome, TargetChoice};
use futures::StreamExt;
use std::{io, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Terminator of every event of a stream.
const EVENT_END: &[u8] = b"\n\n";
/// The last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Largest incomplete event with which a stream is still resumed.
const MAX_PARTIAL_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum number of targets after the first that one stream tries. When a zone fails, several
/// tried in a row may be down before their missing reports exclude them; such attempts fail fast.
const MAX_RESUMES: usize = 8;

/// Relays a response as it arrives.
pub(crate) fn relay(
    shared: Rc<EntryShared>,
    request: CallerRequest,
    profile: ProfileRecord,
    reply: AttemptReply,
    admission: AdmissionGuard,
) -> HttpReply {
    let status = reply.response.status();
    let mut head = attempt::reply_head(&request, status, reply.response.headers());
    let resumable = request.is_model && request.retryable && status.is_success();
    let relay = StreamRelay {
        shared,
        request,
        profile,
        reply,
        buffer: BytesMut::new(),
        events: 0,
        tried: Vec::new(),
        resumable,
        finished: false,
        _admission: admission,
    };
    let body = BodyStream::new(Box::pin(futures::stream::unfold(relay, StreamRelay::next)));
    head.body(body).map_into_boxed_body()
}

struct StreamRelay {
    shared: Rc<EntryShared>,
    request: CallerRequest,
    profile: ProfileRecord,
    reply: AttemptReply,
    /// Bytes of an incomplete event.
    buffer: BytesMut,
    /// Complete events that have been passed on to the caller.
    events: u64,
    tried: Vec<InstanceName>,
    resumable: bool,
    finished: bool,
    _admission: AdmissionGuard,
}

impl StreamRelay {
    /// Returns the next bytes for the caller. An error makes the server close the connection
    /// without the last HTTP chunk, which shows the caller that the response is incomplete.
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.finished {
            self.drain().await;
            return None;
        }
        loop {
            let piece = tokio::time::timeout_at(self.request.deadline, self.reply.response.next());
            let failure = match piece.await {
                Ok(Some(Ok(piece))) => {
                    if let Some(bytes) = self.accept_piece(&piece) {
                        return Some((Ok(bytes), self));
                    }
                    continue;
                }
                Ok(None) if self.is_complete() => {
                    self.record_completed();
                    return None;
                }
                Ok(None) => RefusalReason::BrokenAnswer,
                Ok(Some(Err(_))) => RefusalReason::BrokenAnswer,
                Err(_) => RefusalReason::DeadlineExceeded,
            };
            // At once: streams that wait for each other's targets would wait to their deadlines.
            self.reply.guard.end(RequestOutcome::Failed(failure));
            if failure == RefusalReason::DeadlineExceeded || !self.resume().await {
                self.finished = true;
                self.shared.counters.broken.inc();
                tracing::info!(
                    request = self.request.id,
                    events = self.events,
                    "response broke off; closing the connection to the caller"
                );
                let error = io::Error::new(io::ErrorKind::UnexpectedEof, "the answer broke off");
                return Some((Err(error), self));
            }
        }
    }

    /// Reads the end of a stream whose last event has arrived, so that its connection can be
    /// reused. If the target does not end the body within the timeout, the connection is closed
    /// instead.
    async fn drain(&mut self) {
        const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
        let rest = async { while let Some(Ok(_)) = self.reply.response.next().await {} };
        tokio::time::timeout(DRAIN_TIMEOUT, rest).await.ok();
    }

    /// Accepts bytes from the target and returns those to pass on. Of a resumable stream only
    /// complete events are passed on, so that it can always be resumed between two events.
    fn accept_piece(&mut self, piece: &Bytes) -> Option<Bytes> {
        if !self.resumable {
            return Some(piece.clone());
        }
        self.buffer.extend_from_slice(piece);
        let end = last_event_end(&self.buffer)?;
        let complete = self.buffer.split_to(end).freeze();
        for event in split_events(&complete) {
            if event.starts_with(DONE_EVENT) {
                self.finished = true;
            } else {
                self.events += 1;
            }
        }
        if self.finished {
            self.record_completed();
        }
        Some(complete)
    }

    /// Whether a body that ended without an error is complete. A resumable stream would have ended
    /// with its last event; other bodies have been checked by their length or last HTTP chunk.
    fn is_complete(&self) -> bool {
        !self.resumable
    }

    fn record_completed(&mut self) {
        self.finished = true;
        let outcome = RequestOutcome::Answered(self.reply.first_byte);
        self.reply.guard.set_outcome(outcome);
        self.shared.counters.answered.inc();
    }

    /// Resumes the stream, from the first event that the caller lacks, at another target that
    /// serves exactly the same weights. Returns whether it could be resumed.
    ///
    /// Without this, a target that dies mid-response leaves the caller with an incomplete one, such
    /// as half a diagnosis. Another version would continue a different response, so if no target
    /// serves the same one, the stream ends incomplete.
    async fn resume(&mut self) -> bool {
        if !self.resumable || self.buffer.len() > MAX_PARTIAL_EVENT_BYTES {
            return false;
        }
        let manifest = self.reply.choice.manifest;
        self.tried.push(self.reply.choice.target.clone());
        while self.tried.len() <= MAX_RESUMES && Instant::now() < self.request.deadline {
            let Some(choice) = self.choose_successor(manifest).await else { return false };
            if !self.shared.retry_budget.borrow_mut().spend(&self.request.organisation) {
                return false;
            }
            let target = choice.target.clone();
            self.shared.metrics.count_retry(RefusalReason::BrokenAnswer);
            let sent = attempt::send(&self.shared, &self.request, choice, Some(self.events)).await;
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
                        self.shared.retry_budget.borrow_mut().refund(&self.request.organisation);
                    }
                    self.tried.push(target);
                }
            }
        }
        false
    }

    /// Chooses an untried target with these weights, and waits for a free slot until the deadline:
    /// nothing else can complete the stream.
    async fn choose_successor(&self, manifest: Option<ManifestId>) -> Option<TargetChoice> {
        let Self { shared, request, profile, tried, .. } = self;
        let chosen =
            forward::choose_until(shared, request, profile, tried, manifest, request.deadline);
        chosen.await.ok()
    }
}

/// Offset after the last complete event.
fn last_event_end(buffer: &[u8]) -> Option<usize> {
    let at = buffer.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
    Some(at + EVENT_END.len())
}

/// The complete events in `bytes`, without their terminators.
fn split_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let at = rest.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
        let event = &rest[..at];
        rest = &rest[at + EVENT_END.len()..];
        Some(event)
    })
}

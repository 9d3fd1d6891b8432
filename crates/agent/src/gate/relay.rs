//! Forwards a target's response as it arrives, and tells complete responses from broken ones.

use super::{AdmittedRequest, stream_end::StreamEnd};
use crate::shared::{AgentShared, InFlightGuard};
use actix_http::{
    Response,
    body::{BodyStream, BoxBody, SizedStream},
};
use awc::ClientResponse;
use bytes::Bytes;
use egretseam_http::{HttpReply, forwarded_headers, header_text};
use egretseam_proto::VERSION_HEADER;
use futures::StreamExt;
use std::{io, rc::Rc};
use tokio::time::Instant;

/// Forwards a response as it arrives.
pub(super) fn relay(
    shared: Rc<AgentShared>,
    admitted: &AdmittedRequest,
    response: ClientResponse,
    guard: InFlightGuard,
) -> HttpReply {
    let mut builder = Response::build(response.status());
    for (name, value) in forwarded_headers(response.headers()) {
        builder.append_header((name.clone(), value.clone()));
    }
    if let Some(version) = header_text(response.headers(), VERSION_HEADER) {
        builder.insert_header((VERSION_HEADER, version));
    }
    let length = header_text(response.headers(), "content-length").and_then(|t| t.parse().ok());
    let stream_end = StreamEnd::of(&shared, &response);
    let relay = ResponseRelay {
        shared,
        response,
        deadline: admitted.deadline,
        stream_end,
        failed: false,
        _guard: guard,
    };
    let pieces = Box::pin(futures::stream::unfold(relay, ResponseRelay::next));
    let body = match length {
        Some(length) => BoxBody::new(SizedStream::new(length, pieces)),
        None => BoxBody::new(BodyStream::new(pieces)),
    };
    builder.body(body).map_into_boxed_body()
}

struct ResponseRelay {
    shared: Rc<AgentShared>,
    response: ClientResponse,
    deadline: Instant,
    stream_end: StreamEnd,
    failed: bool,
    _guard: InFlightGuard,
}

impl ResponseRelay {
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.failed {
            return None;
        }
        let piece = tokio::time::timeout_at(self.deadline, self.response.next()).await;
        let error = match piece {
            Ok(Some(Ok(piece))) => {
                self.shared.pacer.charge(piece.len());
                self.stream_end.push(&piece);
                return Some((Ok(piece), self));
            }
            Ok(None) if self.stream_end.is_reached() => {
                self.shared.counters.answered.inc();
                return None;
            }
            Ok(None) => io::Error::other("the stream ended before it was whole"),
            Ok(Some(Err(error))) => io::Error::other(error.to_string()),
            Err(_) => io::Error::from(io::ErrorKind::TimedOut),
        };
        // An error closes the connection without the last chunk, so that the entry sees that the
        // response is incomplete.
        self.failed = true;
        Some((Err(error), self))
    }
}

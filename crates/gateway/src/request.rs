//! State of one request while it is served.

use crate::dialect::RequestMetadata;
use bytes::Bytes;
use egretseam_h1::RequestHead;
use egretseam_proto::{OrganisationName, PartId, ServiceName};
use egretseam_quarantine::{FeatureDigest, RequestContent};
use egretseam_serving::{AttemptLimits, KeyHolder, RouteRecord, WaitUrgency};
use std::{cell::OnceCell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// State of a request while it is served.
pub(crate) struct RequestState {
    pub(crate) head: RequestHead,
    pub(crate) terms: RequestMetadata,
    pub(crate) body: Bytes,
    pub(crate) route: Rc<RouteRecord>,
    pub(crate) holder: Option<KeyHolder>,
    pub(crate) service: ServiceName,
    pub(crate) received_at: Instant,
    pub(crate) deadline: Instant,
    /// How long the caller had been trying when this request arrived; zero for a first attempt.
    pub(crate) tried_before: Duration,
    /// Id of the last event that this entry forwarded to the caller, if any.
    pub(crate) last_event_id: Option<String>,
    /// Whether the head of a streamed response has been sent to the caller.
    pub(crate) response_started: bool,
    /// Total time spent waiting for slots.
    pub(crate) waited: Duration,
    /// Time from receiving the request to the head of its response.
    pub(crate) time_to_first_byte: Duration,
    /// Time from receiving the request to forwarding the first events of a stream.
    pub(crate) time_to_first_event: Duration,
    /// Longest time between forwarding two groups of events of a stream.
    pub(crate) longest_pause: Duration,
    /// When events of a stream were last forwarded.
    pub(crate) last_forwarded_at: Option<Instant>,
    /// Status of the response that is forwarded.
    pub(crate) status: u16,
    /// Whether the current attempt has shown that no part of the prompt ends its target.
    pub(crate) parts_cleared: bool,
    /// When the first events of the current attempt's stream were read.
    pub(crate) events_since: Option<Instant>,
    /// Computed when it is first needed.
    pub(crate) features: OnceCell<Vec<FeatureDigest>>,
}

impl RequestState {
    pub(crate) fn organisation(&self) -> Option<&OrganisationName> {
        self.holder.as_ref().map(|holder| &holder.organisation)
    }

    /// What may end the targets that run the request: its whole content, then the parts of its prompt.
    pub(crate) fn features(&self) -> &[FeatureDigest] {
        let compute = || {
            let content = FeatureDigest::of_content(&RequestContent {
                organisation: self.organisation().map_or("", OrganisationName::as_str),
                host: self.head.headers.text("host").unwrap_or_default(),
                method: &self.head.method,
                target: self.head.target_text(),
                body: &self.body,
            });
            std::iter::once(content).chain(self.part_features()).collect()
        };
        self.features.get_or_init(compute)
    }

    /// The parts of its prompt that other requests may share.
    pub(crate) fn part_features(&self) -> impl Iterator<Item = FeatureDigest> {
        self.terms.shared_parts.iter().copied().map(FeatureDigest::of_part)
    }

    /// What may have ended the target of the current attempt.
    pub(crate) fn suspect_features(&self) -> &[FeatureDigest] {
        let features = self.features();
        if self.parts_cleared { &features[..1] } else { features }
    }

    /// Forgets what the former attempt has shown.
    pub(crate) fn begin_attempt(&mut self) {
        self.parts_cleared = false;
        self.events_since = None;
    }

    /// The parts of its prompt that other requests may share, for logs.
    pub(crate) fn part_texts(&self) -> String {
        let texts: Vec<String> = self.terms.shared_parts.iter().map(PartId::to_string).collect();
        texts.join(" ")
    }

    /// Records that events of a stream were forwarded.
    pub(crate) fn record_forwarded(&mut self, now: Instant) {
        match self.last_forwarded_at.replace(now) {
            None => self.time_to_first_event = now.saturating_duration_since(self.received_at),
            Some(before) => {
                let pause = now.saturating_duration_since(before);
                self.longest_pause = self.longest_pause.max(pause);
            }
        }
    }

    /// Time since the caller last got events, or since the request was received.
    pub(crate) fn silence(&self) -> Duration {
        self.last_forwarded_at.unwrap_or(self.received_at).elapsed()
    }

    /// Time that the request is given in all.
    pub(crate) fn timeout(&self) -> Duration {
        self.deadline.saturating_duration_since(self.received_at)
    }

    /// Time limits of its attempts and of its waits for further slots.
    pub(crate) fn limits(&self, stream_idle_timeout: Duration) -> AttemptLimits {
        AttemptLimits {
            awaits_stream: self.route.kind.is_stream() && !self.response_started,
            objective: self.route.objective,
            received_at: self.received_at,
            deadline: self.deadline,
            stream_idle_timeout,
        }
    }

    /// Urgency of the request in the wait queue, by its priority and how long its caller has been
    /// trying.
    pub(crate) fn urgency(&self) -> WaitUrgency {
        if self.response_started {
            return WaitUrgency::resumed();
        }
        let key_priority = self.holder.as_ref().and_then(|holder| holder.priority);
        let trying_for = self.tried_before + self.received_at.elapsed();
        let objective = self.route.objective;
        WaitUrgency::new(key_priority.unwrap_or(self.route.priority), objective, trying_for)
    }
}

//! State of one request while it is served.

use crate::{answer_progress::AnswerProgress, dialect::RequestMetadata};
use bytes::Bytes;
use egretseam_h1::RequestHead;
use egretseam_proto::{OrganisationName, PartId, ServiceName};
use egretseam_quarantine::{FeatureDigest, RequestContent};
use egretseam_serving::{
    AllowedRegions, AttemptLimits, KeyHolder, RequestPriority, RouteRecord, WaitUrgency,
};
use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// State of a request while it is served.
pub(crate) struct RequestState {
    pub(crate) head: RequestHead,
    pub(crate) terms: RequestMetadata,
    pub(crate) body: Bytes,
    pub(crate) route: Rc<RouteRecord>,
    pub(crate) holder: Option<KeyHolder>,
    pub(crate) service: ServiceName,
    /// Regions that may handle the request, by its route and its organisation; `None` for all.
    pub(crate) regions: Option<AllowedRegions>,
    pub(crate) received_at: Instant,
    pub(crate) deadline: Instant,
    /// How long the caller had been trying when this request arrived; zero for a first attempt.
    pub(crate) tried_before: Duration,
    /// What the caller has got so far. Attempts that run at the same time read it.
    pub(crate) progress: RefCell<AnswerProgress>,
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

    /// What may have ended a target. `parts_cleared` is whether the attempt there has shown that no
    /// part of the prompt did.
    pub(crate) fn suspect_features(&self, parts_cleared: bool) -> &[FeatureDigest] {
        let features = self.features();
        if parts_cleared { &features[..1] } else { features }
    }

    /// The parts of its prompt that other requests may share, for logs.
    pub(crate) fn part_texts(&self) -> String {
        let texts: Vec<String> = self.terms.shared_parts.iter().map(PartId::to_string).collect();
        texts.join(" ")
    }

    /// Whether the head of a streamed response has been sent to the caller.
    pub(crate) fn response_started(&self) -> bool {
        self.progress.borrow().response_started
    }

    /// Id of the last event that was forwarded, empty for none.
    pub(crate) fn events_passed(&self) -> String {
        self.progress.borrow().last_event_id.clone().unwrap_or_default()
    }

    /// Time since the caller last got events, or since the request was received.
    pub(crate) fn silence(&self) -> Duration {
        let progress = self.progress.borrow();
        progress.last_forwarded_at.unwrap_or(self.received_at).elapsed()
    }

    /// Time that the request is given in all.
    pub(crate) fn timeout(&self) -> Duration {
        self.deadline.saturating_duration_since(self.received_at)
    }

    /// Time limits of its attempts and of its waits for further slots.
    pub(crate) fn limits(&self, stream_idle_timeout: Duration) -> AttemptLimits {
        AttemptLimits {
            awaits_stream: self.route.kind.is_stream() && !self.response_started(),
            objective: self.route.objective,
            received_at: self.received_at,
            deadline: self.deadline,
            stream_idle_timeout,
        }
    }

    /// Urgency of the request in the wait queue, by its priority and how long its caller has been
    /// trying.
    pub(crate) fn urgency(&self) -> WaitUrgency {
        if self.response_started() {
            return WaitUrgency::resumed();
        }
        let key_priority = self.holder.as_ref().and_then(|holder| holder.priority);
        let priority = RequestPriority::new(key_priority, self.route.priority);
        let trying_for = self.tried_before + self.received_at.elapsed();
        let objective = self.route.objective;
        WaitUrgency::new(priority, objective, trying_for)
    }
}

//! What a caller has got of its answer so far.

use std::time::Duration;
use tokio::time::Instant;

/// What a caller has got of its answer so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerProgress {
    /// Whether the head of a streamed response has been sent to the caller.
    pub(crate) response_started: bool,
    /// Whether that head left the caller's connection open for further requests.
    pub(crate) keeps_connection: bool,
    /// Id of the last event that this entry forwarded to the caller, if any.
    pub(crate) last_event_id: Option<String>,
    /// Status of the response that is forwarded.
    pub(crate) status: u16,
    /// Total time spent waiting for slots.
    pub(crate) waited: Duration,
    /// Time from receiving the request to the head of the response that is forwarded.
    pub(crate) time_to_first_byte: Duration,
    /// Time from receiving the request to forwarding the first events of a stream.
    pub(crate) time_to_first_event: Duration,
    /// Longest time between forwarding two groups of events of a stream.
    pub(crate) longest_pause: Duration,
    /// When events of a stream were last forwarded.
    pub(crate) last_forwarded_at: Option<Instant>,
}

impl AnswerProgress {
    /// Records that events of a stream were forwarded, the last of them with this id.
    pub(crate) fn record_forwarded(
        &mut self,
        received_at: Instant,
        now: Instant,
        last_event_id: Option<&str>,
    ) {
        match self.last_forwarded_at.replace(now) {
            None => self.time_to_first_event = now.saturating_duration_since(received_at),
            Some(before) => {
                let pause = now.saturating_duration_since(before);
                self.longest_pause = self.longest_pause.max(pause);
            }
        }
        self.response_started = true;
        if let Some(id) = last_event_id {
            self.last_event_id = Some(id.to_owned());
        }
    }
}

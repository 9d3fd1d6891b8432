//! Error responses of the entry itself: why a request was not served, and whether it may have run.

use bytes::Bytes;
use egretseam_h1::HeadWriter;
use egretseam_proto::RequestVerdict;
use std::time::Duration;

/// Why a request ends without a complete response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    /// This entry has no configuration yet.
    NoConfig,
    /// No route matches the request.
    NoRoute,
    /// The route requires an API key and the request has none.
    MissingKey,
    /// The API key belongs to no organisation.
    UnknownKey,
    /// The request is not valid HTTP.
    Malformed,
    /// The head exceeds its size limit.
    HeadTooLarge,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The caller did not send its complete request in time.
    SlowCaller,
    /// The entry holds as many bytes for callers as it may.
    NoMemory,
    /// All slots are occupied, and the wait would be or was too long.
    Full,
    /// No target of the service can run the request.
    NoTarget,
    /// No target ran the request, and it may not be sent to another.
    TargetsRefused,
    /// The deadline passed before the request was sent to a target.
    ExpiredUnsent,
    /// The entry is stopping.
    Stopping,
    /// An attempt timed out or the deadline passed, and a target may have run the request.
    Expired,
    /// The target's response was lost or broken, and the request may not be sent again.
    BrokenAnswer,
    /// Targets ended one after the other under the request.
    Quarantined,
}

impl ErrorKind {
    /// All kinds, for metrics.
    pub(crate) const ALL: [Self; 17] = [
        Self::NoConfig,
        Self::NoRoute,
        Self::MissingKey,
        Self::UnknownKey,
        Self::Malformed,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::SlowCaller,
        Self::NoMemory,
        Self::Full,
        Self::NoTarget,
        Self::TargetsRefused,
        Self::ExpiredUnsent,
        Self::Stopping,
        Self::Expired,
        Self::BrokenAnswer,
        Self::Quarantined,
    ];

    /// The name in logs, metrics and the body of the response.
    pub(crate) fn slug(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::MissingKey => "missing-key",
            Self::UnknownKey => "unknown-key",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::SlowCaller => "slow-caller",
            Self::NoMemory => "no-memory",
            Self::Full => "full",
            Self::NoTarget => "no-target",
            Self::TargetsRefused => "targets-refused",
            Self::ExpiredUnsent => "expired-unsent",
            Self::Stopping => "stopping",
            Self::Expired => "expired",
            Self::BrokenAnswer => "broken-answer",
            Self::Quarantined => "quarantined",
        }
    }

    /// Status and reason phrase.
    ///
    /// 408, 421, 429 and 503 guarantee callers that the request has not run and never will; no
    /// other status guarantees anything. So 502 and 504 are sent where a target may be running it.
    fn status(self) -> (u16, &'static str) {
        match self {
            Self::NoRoute => (404, "Not Found"),
            Self::MissingKey | Self::UnknownKey => (401, "Unauthorized"),
            Self::Malformed => (400, "Bad Request"),
            Self::HeadTooLarge => (431, "Request Header Fields Too Large"),
            Self::BodyTooLarge => (413, "Content Too Large"),
            Self::SlowCaller => (408, "Request Timeout"),
            Self::NoConfig
            | Self::NoMemory
            | Self::Full
            | Self::NoTarget
            | Self::TargetsRefused
            | Self::ExpiredUnsent
            | Self::Stopping
            | Self::Quarantined => (503, "Service Unavailable"),
            Self::Expired => (504, "Gateway Timeout"),
            Self::BrokenAnswer => (502, "Bad Gateway"),
        }
    }

    /// Whether the caller's connection must be closed after the response, because nothing more can
    /// be read from it or the entry is stopping.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::Malformed
                | Self::HeadTooLarge
                | Self::BodyTooLarge
                | Self::SlowCaller
                | Self::NoMemory
                | Self::Stopping
        )
    }

    /// Whether the request may have run or certainly has not.
    pub(crate) fn verdict(self) -> RequestVerdict {
        match self {
            Self::Expired | Self::BrokenAnswer => RequestVerdict::MayHaveRun,
            _ => RequestVerdict::NotRun,
        }
    }
}

/// An error response of the entry itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ErrorResponse {
    pub(crate) kind: ErrorKind,
    /// Delay after which the caller should retry, where a retry helps.
    pub(crate) retry_after: Option<Duration>,
}

impl ErrorResponse {
    pub(crate) fn new(kind: ErrorKind) -> Self {
        Self { kind, retry_after: None }
    }

    pub(crate) fn with_retry_after(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after: Some(retry_after) }
    }

    /// Whether the caller's connection must be closed after the response.
    pub(crate) fn closes_connection(&self) -> bool {
        self.kind.closes_connection()
    }

    /// Head and body of the response. `close` announces that the connection will be closed.
    pub(crate) fn encode(&self, close: bool) -> Bytes {
        let (status, reason) = self.kind.status();
        let mut head = HeadWriter::response(status, reason.as_bytes());
        head.text("Content-Type", "text/plain");
        if let Some(after) = self.retry_after {
            head.text("Retry-After", &format!("{:.2}", after.as_secs_f64()));
        }
        if close || self.closes_connection() {
            head.text("Connection", "close");
        }
        head.finish_with(self.kind.slug().as_bytes())
    }
}

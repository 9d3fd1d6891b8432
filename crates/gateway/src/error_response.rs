//! Answers of our own: why a request was not served, and whether it may have run.

use bytes::Bytes;
use egretseam_h1::HeadWriter;
use egretseam_proto::RequestVerdict;
use std::time::Duration;

/// Why a request ends without its target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    /// This entry has no configuration yet.
    NoConfig,
    /// No route applies.
    NoRoute,
    /// The route needs a key.
    MissingKey,
    /// Nobody holds the key.
    UnknownKey,
    /// The request is not proper HTTP.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The caller took too long to send its request.
    SlowCaller,
    /// Every place is taken, and the wait would be too long.
    Full,
    /// No target of the service can take the request.
    NoTarget,
    /// Targets refused it, and it may not be sent to another.
    TargetsRefused,
    /// The time is over, and it was never sent.
    ExpiredUnsent,
    /// The entry is stopping.
    Stopping,
    /// The time is over while a target was at work.
    Expired,
    /// The target's answer was lost or broken, and the request may not be sent again.
    BrokenAnswer,
}

impl ErrorKind {
    /// All kinds, for metrics.
    pub(crate) const ALL: [Self; 15] = [
        Self::NoConfig,
        Self::NoRoute,
        Self::MissingKey,
        Self::UnknownKey,
        Self::Malformed,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::SlowCaller,
        Self::Full,
        Self::NoTarget,
        Self::TargetsRefused,
        Self::ExpiredUnsent,
        Self::Stopping,
        Self::Expired,
        Self::BrokenAnswer,
    ];

    /// Name in logs and metrics.
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
            Self::Full => "full",
            Self::NoTarget => "no-target",
            Self::TargetsRefused => "targets-refused",
            Self::ExpiredUnsent => "expired-unsent",
            Self::Stopping => "stopping",
            Self::Expired => "expired",
            Self::BrokenAnswer => "broken-answer",
        }
    }

    /// Status and reason phrase.
    ///
    /// 408, 421, 429 and 503 promise callers that the request has not run and never will; every
    /// other status promises nothing. So 502 and 504 stand wherever a target may be at work.
    fn status(self) -> (u16, &'static str) {
        match self {
            Self::NoRoute => (404, "Not Found"),
            Self::MissingKey | Self::UnknownKey => (401, "Unauthorized"),
            Self::Malformed => (400, "Bad Request"),
            Self::HeadTooLarge => (431, "Request Header Fields Too Large"),
            Self::BodyTooLarge => (413, "Content Too Large"),
            Self::SlowCaller => (408, "Request Timeout"),
            Self::NoConfig
            | Self::Full
            | Self::NoTarget
            | Self::TargetsRefused
            | Self::ExpiredUnsent
            | Self::Stopping => (503, "Service Unavailable"),
            Self::Expired => (504, "Gateway Timeout"),
            Self::BrokenAnswer => (502, "Bad Gateway"),
        }
    }

    /// Whether the connection cannot be read any further after it.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::Malformed
                | Self::HeadTooLarge
                | Self::BodyTooLarge
                | Self::SlowCaller
                | Self::Stopping
        )
    }

    /// Whether the request certainly has not run.
    pub(crate) fn verdict(self) -> RequestVerdict {
        match self {
            Self::Expired | Self::BrokenAnswer => RequestVerdict::MayHaveRun,
            _ => RequestVerdict::NotRun,
        }
    }
}

/// An answer of our own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ErrorResponse {
    pub(crate) kind: ErrorKind,
    /// When the caller should come back, where that helps.
    pub(crate) retry_after: Option<Duration>,
}

impl ErrorResponse {
    pub(crate) fn new(kind: ErrorKind) -> Self {
        Self { kind, retry_after: None }
    }

    pub(crate) fn with_retry_after(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after: Some(retry_after) }
    }

    /// Whether the connection must be closed after it.
    pub(crate) fn closes_connection(&self) -> bool {
        self.kind.closes_connection()
    }

    /// The whole answer.
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

//! What a failure response says about the request: whether it ran, why it failed, and when to
//! retry.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Whether a request may have taken effect. It may be retried only if it is `NotRun` or idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestVerdict {
    /// No byte of the request reached the target's handler.
    NotRun,
    /// The request was sent and its outcome is unknown.
    MayHaveRun,
    /// The target responded.
    Ran,
}

impl RequestVerdict {
    /// The header value of this verdict.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RequestVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RequestVerdict {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(()),
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident, $slug:literal, $status:literal, $retry:expr, $title:literal;)*) => {
        /// Why a request or call was rejected or failed. Each reason has its own label in the
        /// counters.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum RefusalReason {
            $($(#[$doc])* $variant,)*
        }

        impl RefusalReason {
            /// Every reason, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Short stable name, used in problem documents and as a counter label.
            pub fn slug(self) -> &'static str {
                match self { $(Self::$variant => $slug,)* }
            }

            /// HTTP status of the response to a request that failed for this reason.
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }

            /// Seconds after which a retry may succeed; `None` if a retry cannot help.
            pub fn retry_after_seconds(self) -> Option<u64> {
                match self { $(Self::$variant => $retry,)* }
            }

            /// Human-readable summary in one line.
            pub fn title(self) -> &'static str {
                match self { $(Self::$variant => $title,)* }
            }
        }
    };
}

reasons! {
    /// The request could not be parsed.
    BadRequest, "bad-request", 400, None, "The request is malformed.";
    /// No valid API key or token was presented.
    Unauthorized, "unauthorized", 401, None, "A valid API key or token is needed.";
    /// No such path, service or profile.
    NotFound, "not-found", 404, None, "No such path, service or profile.";
    /// The path exists, the method does not.
    MethodNotAllowed, "method-not-allowed", 405, None, "The path does not take this method.";
    /// The body is larger than the limit.
    BodyTooLarge, "body-too-large", 413, None, "The body exceeds the limit.";
    /// The idempotency key was used for a different request.
    KeyReused, "key-reused", 422, None, "The idempotency key belongs to a different request.";
    /// The change was based on an older revision.
    Conflict, "conflict", 409, None, "The change was based on an older revision.";
    /// The organisation already has its share of requests in progress.
    OverShare, "over-share", 429, Some(1), "The organisation is over its share.";
    /// Every target of the service is at its limit.
    Overloaded, "overloaded", 503, Some(1), "All targets are at their limit.";
    /// The service has no target in service.
    NoTarget, "no-target", 503, Some(1), "No target is in service.";
    /// The configuration lease expired, so the entry's routing could be outdated.
    LeaseExpired, "lease-expired", 503, Some(2), "This address cannot confirm its configuration; use another.";
    /// This process is stopping.
    Stopping, "stopping", 503, Some(1), "This address is stopping; use another.";
    /// The target does not admit requests: it is leaving, switching its version, or preparing.
    Leaving, "leaving", 503, Some(1), "The target is leaving.";
    /// The target serves another version than the request was routed for.
    VersionMismatch, "version-mismatch", 503, Some(1), "The target holds another version.";
    /// The request was routed by an outdated revision.
    OutdatedRevision, "outdated-revision", 503, Some(1), "The request was routed by an outdated configuration.";
    /// The request was meant for another incarnation of the agent.
    OtherIncarnation, "other-incarnation", 503, Some(1), "The request was meant for an earlier run of this agent.";
    /// The deadline passed, or too little of it is left.
    DeadlineExceeded, "deadline-exceeded", 504, Some(1), "The deadline cannot be met.";
    /// No connection to the target could be made.
    ConnectFailed, "connect-failed", 502, Some(1), "The target could not be reached.";
    /// The connection broke after the request was sent.
    BrokenAnswer, "broken-answer", 502, Some(1), "The answer broke off.";
    /// An earlier attempt with the same key has an unknown outcome.
    OutcomeUnknown, "outcome-unknown", 409, None, "An earlier send of this key may have run.";
    /// The retry budget is used up.
    RetryBudget, "retry-budget", 503, Some(2), "The retry budget is used up.";
    /// No quorum of control members answered.
    NoQuorum, "no-quorum", 503, Some(2), "No quorum of control members answered.";
}

impl FromStr for RefusalReason {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        Self::ALL.iter().copied().find(|reason| reason.slug() == text).ok_or(())
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.slug())
    }
}

/// A failure with its verdict: the error type of each step between caller and engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Reason of the failure.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RequestVerdict,
    /// Human-readable description; never contains a key or token.
    pub detail: String,
}

impl FailureReport {
    /// A failure of a request that certainly did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, verdict: RequestVerdict::NotRun, detail: detail.into() }
    }

    /// A failure after the request was sent, so that it may have run.
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, verdict: RequestVerdict::MayHaveRun, detail: detail.into() }
    }
}

impl fmt::Display for FailureReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.verdict, self.detail)
    }
}

impl std::error::Error for FailureReport {}

//! What a rejection says of the time for which its target wants no request.

use std::time::Duration;

/// Longest rest that is told from a longer one. Incarnations of targets do not live that long.
const MAX_REST: Duration = Duration::from_secs(30 * 86_400);

/// What a rejection says of the time for which its target wants no request of this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedRest {
    /// Nothing.
    #[default]
    Absent,
    /// For so long from the rejection on.
    For(Duration),
    /// The time cannot be read, so it says nothing.
    Invalid,
}

impl RequestedRest {
    /// A rest of so many seconds; invalid if that is negative or no number.
    pub fn from_seconds(seconds: f64) -> Self {
        match Duration::try_from_secs_f64(seconds.min(MAX_REST.as_secs_f64())) {
            Ok(rest) if seconds.is_finite() => Self::For(rest),
            _ => Self::Invalid,
        }
    }
}

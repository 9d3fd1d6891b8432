//! Numbers that order events. Each is a newtype so that a revision can never be compared with a
//! fencing number by accident.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number! {
    /// Position in the order of accepted configuration changes; 0 before the first.
    Revision, u64
}
number! {
    /// Strictly growing number of an order to one target; an engine that checks refuses lower ones.
    FencingNumber, u64
}
number! {
    /// Number that tells one run of a process from its earlier and later runs: the milliseconds of
    /// its start by its own wall clock, then sixteen random bits. Later runs compare higher as long
    /// as that clock does not go back.
    Incarnation, u64
}
number! {
    /// Random number an operator's tool draws once per change, so that a resend is recognised.
    OperationId, u64
}

impl Incarnation {
    /// The number of a run that starts now; `random` supplies the low bits.
    pub fn starting(random: u16) -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let millis = since.map_or(0, |since| since.as_millis() as u64);
        Self(millis << 16 | u64::from(random))
    }
}

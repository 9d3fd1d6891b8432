//! Numbers that identify and order events. Each is a newtype so that, for example, a revision
//! cannot be compared with a fencing number by accident.

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
    /// Position in the sequence of committed configuration changes; 0 before the first.
    Revision, u64
}
number! {
    /// Strictly increasing number of an order to one target. An engine that checks it rejects
    /// orders with lower numbers.
    FencingNumber, u64
}
number! {
    /// One life of a process under its name: the Unix time of its start in milliseconds by its own
    /// wall clock, then 16 random bits. Later incarnations compare higher as long as that clock
    /// does not go back.
    Incarnation, u64
}
number! {
    /// Random number that an operator's tool generates once per change, so that a retry is
    /// recognised.
    OperationId, u64
}

impl Incarnation {
    /// The incarnation of a process that starts now; `random` supplies the low 16 bits.
    pub fn starting(random: u16) -> Self {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let millis = since_epoch.map_or(0, |duration| duration.as_millis() as u64);
        Self(millis << 16 | u64::from(random))
    }
}

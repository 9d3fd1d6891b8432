//! What an entry believes of the weights that targets hold, for the log.

use super::{TargetRow, TargetTable};
use crate::status::TargetId;
use std::net::SocketAddr;

/// What an entry believes of one target's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BelievedWeights {
    /// Version of the first model that the target holds; `None` if it holds none.
    pub version: Option<u64>,
    /// Whether its agent says that it gets no requests.
    pub loading: bool,
}

impl BelievedWeights {
    fn of(row: &TargetRow) -> Self {
        let version = row.models.first().map(|held| held.version);
        Self { version, loading: row.loading }
    }
}

impl TargetTable {
    /// What is believed of the weights of a target; `None` if it is not known.
    pub fn believed_weights(&self, id: &TargetId) -> Option<BelievedWeights> {
        self.rows.get(id).map(BelievedWeights::of)
    }

    /// The same of all targets at an address.
    pub fn believed_weights_at(&self, address: SocketAddr) -> Vec<(TargetId, BelievedWeights)> {
        let ids = self.by_address.get(&address).into_iter().flatten();
        let believed = |id: &TargetId| Some((id.clone(), self.believed_weights(id)?));
        ids.filter_map(believed).collect()
    }
}

//! What named versions of weights are made of, so that staged weights can be told by their digest when
//! every agent that knew them has gone.

use egretseam_proto::{ContentDigest, ModelName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Versions of a model that are remembered: more than are named while an agent is down.
const MAX_VERSIONS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ContentRecord {
    version: u64,
    digest: ContentDigest,
}

/// Contents of each model's versions, the latest noted last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentTable {
    models: IndexMap<ModelName, VecDeque<ContentRecord>>,
}

impl ContentTable {
    /// Notes what a version is made of. Beyond [`MAX_VERSIONS`] the one that was noted first is forgotten.
    pub(crate) fn note(&mut self, model: &ModelName, version: u64, digest: ContentDigest) {
        let records = self.models.entry(model.clone()).or_default();
        let record = ContentRecord { version, digest };
        if records.contains(&record) {
            return;
        }
        records.push_back(record);
        if records.len() > MAX_VERSIONS {
            records.pop_front();
        }
    }

    /// The version that is made of this.
    pub(crate) fn version_of(&self, model: &ModelName, digest: &ContentDigest) -> Option<u64> {
        let mut records = self.models.get(model)?.iter();
        records.find(|record| record.digest == *digest).map(|record| record.version)
    }
}

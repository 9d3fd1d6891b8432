//! Content digests of published versions of weights. They identify staged weights when every agent
//! that knew their version is gone.

use egretseam_proto::{ContentDigest, ModelName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Exceeds the number of versions that are published while an agent is down.
const MAX_RECORDS_PER_MODEL: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ContentRecord {
    version: u64,
    digest: ContentDigest,
}

/// Content digests of each model's versions, in the order in which they were recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentTable {
    models: IndexMap<ModelName, VecDeque<ContentRecord>>,
}

impl ContentTable {
    /// Records the content digest of a version. Beyond [`MAX_RECORDS_PER_MODEL`], evicts the oldest
    /// record.
    pub(crate) fn record(&mut self, model: &ModelName, version: u64, digest: ContentDigest) {
        let records = self.models.entry(model.clone()).or_default();
        let record = ContentRecord { version, digest };
        if records.contains(&record) {
            return;
        }
        records.push_back(record);
        if records.len() > MAX_RECORDS_PER_MODEL {
            records.pop_front();
        }
    }

    /// The version recorded with this digest.
    pub(crate) fn version_of(&self, model: &ModelName, digest: &ContentDigest) -> Option<u64> {
        let mut records = self.models.get(model)?.iter();
        records.find(|record| record.digest == *digest).map(|record| record.version)
    }
}

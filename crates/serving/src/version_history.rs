//! Published versions of models, and when each was published.

use crate::status::PublishedVersion;
use egretseam_proto::ModelName;
use indexmap::IndexMap;
use tokio::time::Instant;

/// Versions kept of each model, the newest ones. Only those matter whose staleness bound may not
/// have passed yet; that is a few even when versions follow each other within seconds.
const MAX_VERSIONS: usize = 8;

/// One published version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionRecord {
    /// The version.
    pub version: u64,
    /// When it was published, as far as is known: not before that moment.
    pub published_at: Instant,
}

/// The latest published versions of each model.
///
/// Failure guarded: a version is superseded within seconds, and a process that starts afterwards
/// learns only of the newest one. It would count the staleness bound of the older weights from the
/// later publication, and requests would begin on them after the bound.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// By model; each list in the order of the versions.
    models: IndexMap<ModelName, Vec<VersionRecord>>,
}

impl VersionHistory {
    /// Records a version; of several times of its publication the earliest holds, since processes
    /// learn of it late but never early. Returns whether the version is new.
    pub fn record(&mut self, model: &ModelName, version: u64, published_at: Instant) -> bool {
        let records = self.models.entry(model.clone()).or_default();
        match records.binary_search_by_key(&version, |record| record.version) {
            Ok(at) => {
                let record = &mut records[at];
                record.published_at = record.published_at.min(published_at);
                false
            }
            Err(0) if records.len() >= MAX_VERSIONS => false,
            Err(at) => {
                records.insert(at, VersionRecord { version, published_at });
                if records.len() > MAX_VERSIONS {
                    records.remove(0);
                }
                true
            }
        }
    }

    /// The kept versions of a model, oldest first.
    pub fn versions(&self, model: &ModelName) -> &[VersionRecord] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// The newest version of a model.
    pub fn newest(&self, model: &ModelName) -> Option<VersionRecord> {
        self.versions(model).last().copied()
    }

    /// All kept versions with their ages, for other processes.
    pub fn published(&self, now: Instant) -> Vec<PublishedVersion> {
        let rows = self.models.iter().flat_map(|(model, records)| {
            records.iter().map(move |record| PublishedVersion {
                model: model.clone(),
                version: record.version,
                age_millis: now.saturating_duration_since(record.published_at).as_millis() as u64,
            })
        });
        rows.collect()
    }
}

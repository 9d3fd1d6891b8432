//! Publishes to feed readers what the replicated log has applied, and which soft state has expired.

use crate::{evacuations, plans, shared::RegistrarShared};
use bytes::Bytes;
use egretseam_serving::{ServingConfig, encode_config};
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Interval of the checks for silent targets and entries.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the checks whether the roster is due to be published.
const ROSTER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long an entry is listed after it last read this member's feed: twice the wait of a feed call
/// plus a margin, so that a single lost call removes no entry.
const ENTRY_SILENCE_LIMIT: Duration = Duration::from_millis(2_300);

/// Applies configurations and published versions as the log commits them.
pub(crate) async fn watch_log(shared: Weak<RegistrarShared>) {
    let Some(state) = shared.upgrade() else { return };
    let mut applied = state.control.applied_index();
    drop(state);
    loop {
        {
            let Some(shared) = shared.upgrade() else { return };
            apply_config(&shared);
            apply_versions(&shared);
            evacuations::apply(&shared);
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}

fn apply_config(shared: &Rc<RegistrarShared>) {
    let applied_version = shared.applied.borrow().as_ref().map_or(0, |config| config.version);
    let content = {
        let state = shared.control.state();
        let Some(document) = state.serving().filter(|document| document.version > applied_version)
        else {
            return;
        };
        document.content.clone()
    };
    let checked = shared.dialect.parse_config(&content);
    let checked =
        checked.and_then(|raw| ServingConfig::try_from(raw).map_err(|error| error.to_string()));
    let config = match checked {
        Ok(config) => config,
        Err(error) => {
            // It was validated before it was proposed, so only a different release can reject it.
            tracing::error!(%error, "the committed configuration is invalid and was not applied");
            return;
        }
    };
    let encoded = encode_config(&config);
    tracing::info!(version = config.version, bytes = encoded.len(), "configuration applied");
    shared.metrics.config_version.set(config.version as i64);
    shared.documents.borrow_mut().push(config.version, Bytes::from(encoded));
    *shared.applied.borrow_mut() = Some(Rc::new(config));
    plans::refresh_plans(shared);
    shared.publish();
}

fn apply_versions(shared: &Rc<RegistrarShared>) {
    let now = Instant::now();
    let mut changed = false;
    {
        let state = shared.control.state();
        let mut versions = shared.versions.borrow_mut();
        for (model, version) in state.published_versions() {
            if versions.record(model, *version, now) {
                tracing::info!(%model, version, "applied a published version");
                changed = true;
            }
        }
    }
    if changed {
        plans::refresh_plans(shared);
        shared.publish_roster();
    }
}

/// Publishes the roster whenever a batch of changes of entries is due.
pub(crate) async fn publish_roster_batches(shared: Weak<RegistrarShared>) {
    loop {
        tokio::time::sleep(ROSTER_CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let is_due = shared.roster_batcher.borrow_mut().take_due(Instant::now());
        if is_due {
            shared.publish_roster();
        }
    }
}

/// Marks silent targets, removes silent entries, and updates the list of members from the group's
/// membership.
pub(crate) async fn expire(shared: Weak<RegistrarShared>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        shared.evidence.borrow_mut().expire(now);
        let expired = shared.registry.borrow_mut().expire(now);
        if expired || shared.peers_outdated.get() {
            shared.publish();
        }
        let removed = shared.entries.borrow_mut().expire(ENTRY_SILENCE_LIMIT, now);
        let members = known_members(&shared);
        let changed = *shared.members.borrow() != members;
        if changed {
            tracing::info!(?members, "control members changed");
            *shared.members.borrow_mut() = members;
        }
        if removed || changed {
            shared.publish_roster();
        }
        shared.metrics.targets.set(shared.registry.borrow().live().count() as i64);
        shared.metrics.entries.set(shared.entries.borrow().iter().count() as i64);
    }
}

/// Feed addresses of the group's members, or of the seeds while the membership is unknown.
fn known_members(shared: &RegistrarShared) -> Vec<String> {
    let status = shared.control.status();
    let port = shared.options.feed_port;
    let feed_address = |peer: &str| peer.rsplit_once(':').map(|(host, _)| format!("{host}:{port}"));
    let members = status.iter().flat_map(|status| status.membership.members());
    let mut addresses: Vec<String> =
        members.filter_map(|member| feed_address(&member.address)).collect();
    if addresses.is_empty() {
        addresses = shared.options.feed_seeds.borrow().clone();
    }
    addresses.sort();
    addresses.dedup();
    addresses
}

//! Brings what the log has applied, and what time does to soft state, to the readers of the feed.

use crate::{plans, shared::RegistrarShared};
use bytes::Bytes;
use egretseam_serving::ServingConfig;
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// How often silent targets and entries are looked for.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(200);
/// How often it is looked whether the roster is to be published.
const ROSTER_INTERVAL: Duration = Duration::from_millis(50);
/// How long an entry is listed after it last read this member's feed: twice the wait of a reading
/// and some slack, so that one lost reading takes nobody out.
const ENTRY_SILENCE: Duration = Duration::from_millis(2_300);

/// Watches the log's state.
pub(crate) async fn watch_log(shared: Weak<RegistrarShared>) {
    let Some(held) = shared.upgrade() else { return };
    let mut applied = held.control.applied();
    drop(held);
    loop {
        {
            let Some(shared) = shared.upgrade() else { return };
            take_config(&shared);
            take_versions(&shared);
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}

fn take_config(shared: &Rc<RegistrarShared>) {
    let held = shared.applied.borrow().as_ref().map_or(0, |config| config.version);
    let content = {
        let state = shared.control.state();
        let Some(document) = state.serving().filter(|document| document.version > held) else {
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
            // It was checked before it was proposed, so only a change of release can lead here.
            tracing::error!(%error, "the accepted configuration cannot be read");
            return;
        }
    };
    let encoded = postcard::to_stdvec(&config).expect("in-memory encoding does not fail");
    tracing::info!(version = config.version, bytes = encoded.len(), "configuration applied");
    shared.metrics.config_version.set(config.version as i64);
    shared.documents.borrow_mut().push(config.version, Bytes::from(encoded));
    *shared.applied.borrow_mut() = Some(Rc::new(config));
    plans::refresh_plans(shared);
    shared.publish();
}

fn take_versions(shared: &Rc<RegistrarShared>) {
    let now = Instant::now();
    let mut news = false;
    {
        let state = shared.control.state();
        let mut versions = shared.versions.borrow_mut();
        for (model, version) in state.published_versions() {
            let known = versions.get(model).map(|(version, _)| *version);
            if known != Some(*version) {
                versions.insert(model.clone(), (*version, now));
                tracing::info!(%model, version, "a named version is to be brought to its targets");
                news = true;
            }
        }
    }
    if news {
        plans::refresh_plans(shared);
        shared.publish_roster();
    }
}

/// Publishes the roster when changes of entries have been gathered.
pub(crate) async fn pace_roster(shared: Weak<RegistrarShared>) {
    loop {
        tokio::time::sleep(ROSTER_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let is_due = shared.roster_batcher.borrow_mut().take_due(Instant::now());
        if is_due {
            shared.publish_roster();
        }
    }
}

/// Marks what has gone silent, and follows the group's membership.
pub(crate) async fn expire(shared: Weak<RegistrarShared>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        let expired = shared.registry.borrow_mut().expire(now);
        if expired || shared.peers_changed.get() {
            shared.publish();
        }
        let lost = shared.entries.borrow_mut().expire(ENTRY_SILENCE, now);
        let members = known_members(&shared);
        let changed = *shared.members.borrow() != members;
        if changed {
            tracing::info!(?members, "control members changed");
            *shared.members.borrow_mut() = members;
        }
        if lost || changed {
            shared.publish_roster();
        }
        shared.metrics.targets.set(shared.registry.borrow().live().count() as i64);
        shared.metrics.entries.set(shared.entries.borrow().iter().count() as i64);
    }
}

/// Feed addresses of the group's members; of the seeds while the group is not known.
fn known_members(shared: &RegistrarShared) -> Vec<String> {
    let status = shared.control.status();
    let port = shared.options.feed_port;
    let feed_of = |peer: &str| peer.rsplit_once(':').map(|(host, _)| format!("{host}:{port}"));
    let members = status.iter().flat_map(|status| status.membership.members());
    let mut known: Vec<String> = members.filter_map(|member| feed_of(&member.address)).collect();
    if known.is_empty() {
        known = shared.options.feed_seeds.borrow().clone();
    }
    known.sort();
    known.dedup();
    known
}

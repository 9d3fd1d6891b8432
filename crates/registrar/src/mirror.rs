//! The targets that announce themselves to the other control members, and the ages of published
//! versions. An agent follows one member only, so each member has to know the peers that announce
//! themselves elsewhere.

use crate::{plans, shared::RegistrarShared};
use egretseam_rpc::{FeedCall, FeedLink, FeedReader, FeedReply, LinkOptions};
use egretseam_serving::{ConfigRequest, PublishedVersion, TargetId, TargetRecord, TargetStatus};
use indexmap::IndexMap;
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// How long another member may hold a feed call until something changes.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a failed feed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which the mirrored members are compared with the list of members.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Targets by the member to which they announce themselves.
#[derive(Debug, Default)]
pub(crate) struct MirrorTable {
    /// By the member's feed address, then by the target's name.
    members: IndexMap<String, IndexMap<String, TargetStatus>>,
}

impl MirrorTable {
    fn apply(&mut self, member: &str, restarted: bool, reply: &FeedReply) {
        let targets = self.members.entry(member.to_owned()).or_default();
        if restarted {
            targets.clear();
        }
        for status in &reply.targets {
            targets.insert(status.record.id.name.clone(), status.clone());
        }
        for id in &reply.gone {
            let held = targets.get(&id.name).map(|status| status.record.id.incarnation);
            if held.is_some_and(|held| held <= id.incarnation) {
                targets.shift_remove(&id.name);
            }
        }
    }

    fn remove(&mut self, member: &str) {
        self.members.shift_remove(member);
    }

    /// The latest incarnation under a name that announced itself to another member.
    pub(crate) fn current(&self, name: &str) -> Option<&TargetId> {
        let statuses = self.members.values().filter_map(|targets| targets.get(name));
        statuses.map(|status| &status.record.id).max()
    }

    /// Targets that another member does not report as silent.
    pub(crate) fn live(&self) -> impl Iterator<Item = &TargetRecord> {
        let statuses = self.members.values().flat_map(IndexMap::values);
        statuses.filter(|status| !status.silent).map(|status| &status.record)
    }
}

/// Mirrors the targets of all other members.
pub(crate) async fn mirror_all(shared: Weak<RegistrarShared>) {
    let mut tasks: IndexMap<String, actix_rt::task::JoinHandle<()>> = IndexMap::new();
    loop {
        {
            let Some(shared) = shared.upgrade() else { return };
            let own_address = &shared.options.feed_address;
            let members = shared.members.borrow().clone();
            tasks.retain(|address, task| {
                let is_member = members.contains(address);
                if !is_member {
                    task.abort();
                    shared.mirrors.borrow_mut().remove(address);
                }
                is_member
            });
            for address in members.into_iter().filter(|address| address != own_address) {
                let spawn_mirror =
                    || actix_rt::spawn(mirror(Rc::downgrade(&shared), address.clone()));
                tasks.entry(address.clone()).or_insert_with(spawn_mirror);
            }
        }
        tokio::time::sleep(MEMBERS_CHECK_INTERVAL).await;
    }
}

/// Applies the versions that another member knows, once after this member has started.
///
/// Failure guarded: a member that has restarted learns of all versions from its log as if they were
/// published at that moment, and of superseded ones not at all. Entries and agents that start then
/// would allow requests on older weights for too long.
fn apply_versions(shared: &RegistrarShared, published: &[PublishedVersion]) {
    let now = Instant::now();
    let mut has_new = false;
    for record in published {
        let age = Duration::from_millis(record.age_millis);
        let published_at = now.checked_sub(age).unwrap_or(now);
        let mut versions = shared.versions.borrow_mut();
        has_new |= versions.record(&record.model, record.version, published_at);
    }
    if has_new {
        plans::refresh_plans(shared);
        shared.publish_roster();
    }
}

async fn mirror(shared: Weak<RegistrarShared>, address: String) {
    let Some(state) = shared.upgrade() else { return };
    let link = FeedLink::new(&address, state.options.control.secret, LinkOptions::default());
    drop(state);
    let (mut member_incarnation, mut targets_seen) = (0, 0);
    let mut has_versions = false;
    loop {
        let call = FeedCall {
            reader: FeedReader::Member,
            run: member_incarnation,
            targets_seen,
            roster_seen: if has_versions { u64::MAX } else { 0 },
            config_held: u64::MAX,
            config_wish: ConfigRequest::Number,
            wait_millis: LONG_POLL_WAIT.as_millis() as u64,
        };
        let result = link.feed(call).await;
        let Some(shared) = shared.upgrade() else { return };
        match result {
            Ok(reply) => {
                shared.mirrors.borrow_mut().apply(
                    &address,
                    member_incarnation != reply.run,
                    &reply,
                );
                member_incarnation = reply.run;
                targets_seen = reply.targets_seen;
                if let Some(roster) = &reply.roster {
                    has_versions = true;
                    apply_versions(&shared, &roster.versions);
                }
                if !reply.targets.is_empty() || !reply.gone.is_empty() {
                    shared.publish();
                }
            }
            Err(error) => {
                tracing::debug!(
                    member = %address, %error,
                    "failed to read the feed of another member"
                );
                drop(shared);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

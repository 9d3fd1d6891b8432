//! Tasks of a member beside the log: requests to join the group, rejoins under a new id after its
//! removal, and reports to the leader which entries watch the configuration.

use crate::{
    driver::{ControlInput, REOPEN_DELAY},
    runtime::ControlShared,
};
use egretseam_catalog::CatalogCommand;
use egretseam_replica::{LogStore, MemberRecord, NodeRole};
use egretseam_rpc::{CallError, ControlLink, JoinReply};
use std::{rc::Weak, time::Duration};
use tokio::sync::oneshot;

/// Interval at which members report to the leader which entries watch, and at which the leader
/// expires entries whose watch has timed out.
const WATCHER_REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which a member that does not belong to the group requests to join.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Reinitialises the data folder under a new member id after the group removed the previous one.
pub(crate) async fn rejoin(shared: &ControlShared) {
    let Some(formation) = &shared.options.formation else { return };
    tracing::warn!("the group removed this member; rejoining under a new id");
    let renewed = LogStore::discard(&shared.options.folder)
        .and_then(|()| formation.initialise_joining(&shared.options));
    if let Err(error) = renewed {
        tracing::error!(%error, "cannot reinitialise the data folder");
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

/// Sends join requests for as long as this member does not belong to the group.
pub(crate) async fn request_join(shared: Weak<ControlShared>) {
    loop {
        tokio::time::sleep(JOIN_REQUEST_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let Some(formation) = &shared.options.formation else { return };
        let Some(record) = non_member_record(&shared) else { continue };
        let seeds = formation.seeds.borrow().clone();
        for seed in seeds.iter().filter(|seed| **seed != shared.options.peer_address) {
            match send_join_request(&shared, seed, &record).await {
                Ok(JoinReply::NotLeader { leader: Some(leader) }) => {
                    if let Err(error) = send_join_request(&shared, &leader, &record).await {
                        tracing::debug!(%error, "join request to the leader failed");
                    }
                    break;
                }
                Ok(JoinReply::NotLeader { leader: None }) => {}
                Ok(JoinReply::Noted | JoinReply::Member) => break,
                Err(error) => tracing::debug!(%error, "join request to a seed failed"),
            }
        }
    }
}

async fn send_join_request(
    shared: &ControlShared,
    address: &str,
    record: &MemberRecord,
) -> Result<JoinReply, CallError> {
    let link = ControlLink::new(address, shared.options.secret, shared.link_options);
    link.join(record.clone()).await
}

/// This member's record for a join request, or `None` if the membership in its log contains it.
fn non_member_record(shared: &ControlShared) -> Option<MemberRecord> {
    let status = shared.status.borrow();
    let status = status.as_ref()?;
    if status.membership.get(status.id).is_some() {
        return None;
    }
    let name = shared.options.name.clone();
    let address = shared.options.peer_address.clone();
    Some(MemberRecord { id: status.id, name, address, voter: false })
}

/// Reports to the leader which entries watch here; at the leader, expires silent entries.
pub(crate) async fn report_watchers(shared: Weak<ControlShared>) {
    let mut link: Option<ControlLink> = None;
    loop {
        tokio::time::sleep(WATCHER_REPORT_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let status = shared.status.borrow().clone();
        let Some(status) = status else { continue };
        if status.role == NodeRole::Leader {
            expire_silent_entries(&shared);
            continue;
        }
        let leader = status.leader.and_then(|id| status.membership.get(id).cloned());
        let Some(leader) = leader else { continue };
        if link.as_ref().is_none_or(|link| link.address() != leader.address) {
            link =
                Some(ControlLink::new(&leader.address, shared.options.secret, shared.link_options));
        }
        let reports = shared.watchers.borrow().reports();
        if let Some(link) = &link
            && !reports.is_empty()
            && let Err(error) = link.note_watchers(reports).await
        {
            tracing::debug!(%error, "report of watching entries to the leader failed");
        }
    }
}

fn expire_silent_entries(shared: &ControlShared) {
    let silent = shared.watchers.borrow_mut().silent_entries(shared.state.borrow().view());
    for (name, incarnation) in silent {
        tracing::info!(%name, "watch of an entry timed out; removing the entry");
        let (reply, _) = oneshot::channel();
        let command = CatalogCommand::ExpireEntry { name, incarnation };
        shared.inbox.try_send(ControlInput::Submit { command, reply }).ok();
    }
}

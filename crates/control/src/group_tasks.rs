//! What a member does about its group beside the log: asks to belong to it, begins anew after it was
//! removed, and tells the leader which entries watch.

use crate::{
    driver::{ControlInput, REOPEN_PAUSE},
    runtime::ControlShared,
};
use egretseam_catalog::CatalogCommand;
use egretseam_replica::{LogStore, MemberRecord, NodeRole};
use egretseam_rpc::{CallError, ControlLink, JoinReply};
use std::{rc::Weak, time::Duration};
use tokio::sync::oneshot;

/// How often members tell the leader which entries watch, and the leader looks for silent ones.
const WATCHER_INTERVAL: Duration = Duration::from_secs(3);
/// How often a member that does not belong to the group asks to.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Begins anew as a member that the group does not know, after it removed the former one.
pub(crate) async fn rejoin(shared: &ControlShared) {
    let Some(formation) = &shared.options.formation else { return };
    tracing::warn!("the group removed this member while it was away; it joins anew");
    let renewed = LogStore::discard(&shared.options.folder)
        .and_then(|()| formation.initialise_joining(&shared.options));
    if let Err(error) = renewed {
        tracing::error!(%error, "the data folder cannot be initialised anew");
        tokio::time::sleep(REOPEN_PAUSE).await;
    }
}

/// Asks to belong to the group for as long as this member does not.
pub(crate) async fn ask_to_join(shared: Weak<ControlShared>) {
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let Some(formation) = &shared.options.formation else { return };
        let Some(record) = stranger_record(&shared) else { continue };
        let seeds = formation.seeds.borrow().clone();
        for seed in seeds.iter().filter(|seed| **seed != shared.options.peer_address) {
            match ask_at(&shared, seed, &record).await {
                Ok(JoinReply::NotLeader { leader: Some(leader) }) => {
                    if let Err(error) = ask_at(&shared, &leader, &record).await {
                        tracing::debug!(%error, "the leader could not be asked");
                    }
                    break;
                }
                Ok(JoinReply::NotLeader { leader: None }) => {}
                Ok(JoinReply::Noted | JoinReply::Member) => break,
                Err(error) => tracing::debug!(%error, "a seed could not be asked"),
            }
        }
    }
}

async fn ask_at(
    shared: &ControlShared,
    address: &str,
    record: &MemberRecord,
) -> Result<JoinReply, CallError> {
    let link = ControlLink::new(address, shared.options.secret, shared.link_options);
    link.join(record.clone()).await
}

/// This member's record, if its own log does not say that it belongs to the group.
fn stranger_record(shared: &ControlShared) -> Option<MemberRecord> {
    let status = shared.status.borrow();
    let status = status.as_ref()?;
    if status.membership.get(status.id).is_some() {
        return None;
    }
    let name = shared.options.name.clone();
    let address = shared.options.peer_address.clone();
    Some(MemberRecord { id: status.id, name, address, voter: false })
}

/// Passes on which entries watch; at the leader, removes silent ones.
pub(crate) async fn watch_entries(shared: Weak<ControlShared>) {
    let mut link: Option<ControlLink> = None;
    loop {
        tokio::time::sleep(WATCHER_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let status = shared.status.borrow().clone();
        let Some(status) = status else { continue };
        if status.role == NodeRole::Leader {
            expire_silent(&shared);
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
            tracing::debug!(%error, "the leader was not told of watching entries");
        }
    }
}

fn expire_silent(shared: &ControlShared) {
    let silent = shared.watchers.borrow_mut().silent(shared.state.borrow().view());
    for (name, incarnation) in silent {
        tracing::info!(%name, "an entry went silent and leaves the addresses");
        let (reply, _) = oneshot::channel();
        let command = CatalogCommand::ExpireEntry { name, incarnation };
        shared.inbox.try_send(ControlInput::Submit { command, reply }).ok();
    }
}

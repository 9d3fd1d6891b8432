//! What the other control members hear from targets, so that agents, which ask one member only,
//! learn of all their peers.

use crate::shared::RegistrarShared;
use egretseam_rpc::{FeedCall, FeedLink, FeedReader, FeedReply, LinkOptions};
use egretseam_serving::{ConfigRequest, TargetId, TargetRecord, TargetStatus};
use indexmap::IndexMap;
use std::{
    rc::{Rc, Weak},
    time::Duration,
};

/// How long a reading of another member's feed may wait.
const READING_WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a reading failed.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);
/// How often the list of members is compared with what is read.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(300);

/// Targets by the member that hears of them.
#[derive(Debug, Default)]
pub(crate) struct MirrorTable {
    /// By member, then by the target's name.
    members: IndexMap<String, IndexMap<String, TargetStatus>>,
}

impl MirrorTable {
    fn take(&mut self, member: &str, restarted: bool, reply: &FeedReply) {
        let targets = self.members.entry(member.to_owned()).or_default();
        if restarted {
            targets.clear();
        }
        for news in &reply.targets {
            targets.insert(news.record.id.name.clone(), news.clone());
        }
        for id in &reply.gone {
            let held = targets.get(&id.name).map(|news| news.record.id.incarnation);
            if held.is_some_and(|held| held <= id.incarnation) {
                targets.shift_remove(&id.name);
            }
        }
    }

    fn forget(&mut self, member: &str) {
        self.members.shift_remove(member);
    }

    /// The latest run under a name that some other member heard of.
    pub(crate) fn current(&self, name: &str) -> Option<&TargetId> {
        let held = self.members.values().filter_map(|targets| targets.get(name));
        held.map(|news| &news.record.id).max()
    }

    /// Live targets, by some other member's word.
    pub(crate) fn live(&self) -> impl Iterator<Item = &TargetRecord> {
        let news = self.members.values().flat_map(IndexMap::values);
        news.filter(|news| !news.silent).map(|news| &news.record)
    }
}

/// Reads the feeds of all other members.
pub(crate) async fn mirror_all(shared: Weak<RegistrarShared>) {
    let mut tasks: IndexMap<String, actix_rt::task::JoinHandle<()>> = IndexMap::new();
    loop {
        {
            let Some(shared) = shared.upgrade() else { return };
            let own = &shared.options.feed_address;
            let members = shared.members.borrow().clone();
            tasks.retain(|address, task| {
                let named = members.contains(address);
                if !named {
                    task.abort();
                    shared.mirrors.borrow_mut().forget(address);
                }
                named
            });
            for address in members.into_iter().filter(|address| address != own) {
                let start = || actix_rt::spawn(mirror(Rc::downgrade(&shared), address.clone()));
                tasks.entry(address.clone()).or_insert_with(start);
            }
        }
        tokio::time::sleep(MEMBERS_INTERVAL).await;
    }
}

async fn mirror(shared: Weak<RegistrarShared>, address: String) {
    let Some(held) = shared.upgrade() else { return };
    let link = FeedLink::new(&address, held.options.control.secret, LinkOptions::default());
    drop(held);
    let (mut run, mut targets_seen) = (0, 0);
    loop {
        let call = FeedCall {
            reader: FeedReader::Member,
            run,
            targets_seen,
            roster_seen: u64::MAX,
            config_held: u64::MAX,
            config_wish: ConfigRequest::Number,
            wait_millis: READING_WAIT.as_millis() as u64,
        };
        let reading = link.feed(call).await;
        let Some(shared) = shared.upgrade() else { return };
        match reading {
            Ok(reply) => {
                shared.mirrors.borrow_mut().take(&address, run != reply.run, &reply);
                run = reply.run;
                targets_seen = reply.targets_seen;
                if !reply.targets.is_empty() || !reply.gone.is_empty() {
                    shared.publish();
                }
            }
            Err(error) => {
                tracing::debug!(member = %address, %error, "a member's feed cannot be read");
                drop(shared);
                tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
            }
        }
    }
}

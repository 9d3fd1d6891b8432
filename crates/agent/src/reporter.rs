//! Tells entries what the target does, and learns configuration, lease and swarm from them.
//!
//! An agent reports to a bounded number of entries, those that rank highest for it. Each entry thus
//! hears from a part of the targets and routes to that part, and neither side's work grows with
//! the whole.

use crate::shared::AgentShared;
use egretseam_rpc::{EntryLink, LinkOptions, ReportCall, ReportReply};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// How often the set of entries is looked at.
const CHOOSE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after an entry could not be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How long an unreachable entry's list of peers is used on.
const STALE_LIST: Duration = Duration::from_secs(10);

/// Keeps one reporting task for each chosen entry.
pub(crate) async fn report_to_entries(shared: Rc<AgentShared>) {
    let mut tasks: IndexMap<String, actix_rt::task::JoinHandle<()>> = IndexMap::new();
    loop {
        let chosen = choose_entries(&shared);
        tasks.retain(|address, task| {
            let keep = chosen.contains(address);
            if !keep {
                task.abort();
                shared.peer_lists.borrow_mut().shift_remove(address);
            }
            keep
        });
        for address in chosen {
            if !tasks.contains_key(&address) {
                let task = actix_rt::spawn(report_loop(shared.clone(), address.clone()));
                tasks.insert(address, task);
            }
        }
        tokio::time::sleep(CHOOSE_INTERVAL).await;
    }
}

/// The entries to report to: the announced ones that rank highest for this target; while none is
/// known, those from the settings.
fn choose_entries(shared: &AgentShared) -> Vec<String> {
    let view = shared.view();
    let mut known: Vec<String> =
        view.entries.values().map(|entry| entry.peer_address.clone()).collect();
    if known.is_empty() {
        known = shared.options.entries.clone();
    }
    let name = shared.options.name.as_str();
    known.sort_by_key(|address| std::cmp::Reverse(rank(name, address)));
    known.truncate(shared.options.report_fanout);
    known
}

fn rank(target: &str, entry: &str) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = target.bytes().chain(entry.bytes()).fold(0xcbf2_9ce4_8422_2325, fold);
    (hash ^ hash >> 31).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

async fn report_loop(shared: Rc<AgentShared>, address: String) {
    let link = EntryLink::new(&address, shared.options.secret, LinkOptions::default());
    let mut peers_seen = 0;
    let mut heard_at = Instant::now();
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let sent = Instant::now();
        let call = ReportCall {
            report: shared.report(),
            held: shared.view.borrow().revision,
            peers_seen,
            wait_millis: shared.options.report_wait.as_millis() as u64,
        };
        shared.counters.reports.inc();
        let reply = tokio::select! {
            reply = link.report(call) => reply,
            // The state changed while the entry held the last report: the entry must learn of it
            // now, above all that the target is leaving.
            _ = changed.changed() => continue,
        };
        match reply {
            Ok(reply) => {
                heard_at = Instant::now();
                peers_seen = take_reply(&shared, &address, reply, sent, peers_seen);
            }
            Err(error) => {
                tracing::debug!(%error, "an entry took no report");
                if heard_at.elapsed() > STALE_LIST {
                    shared.peer_lists.borrow_mut().shift_remove(&address);
                    peers_seen = 0;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn take_reply(
    shared: &AgentShared,
    address: &str,
    reply: ReportReply,
    sent: Instant,
    peers_seen: u64,
) -> u64 {
    let mut view = (**shared.view.borrow()).clone();
    if view.apply_update(reply.update) {
        let revision = view.revision;
        *shared.view.borrow_mut() = Rc::new(view);
        shared.revision.send_replace(revision);
    }
    shared.clock.set(shared.clock.get().max(reply.clock));
    if reply.lease_millis > 0 {
        shared.confirmed_at.set(shared.confirmed_at.get().max(Some(sent)));
    }
    let Some(peers) = reply.peers else { return peers_seen };
    shared.peer_lists.borrow_mut().insert(address.to_owned(), peers);
    shared.peers_changed.send_modify(|number| *number += 1);
    reply.peers_number
}

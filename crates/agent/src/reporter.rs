//! Reports the target's state to entries, and receives the configuration, lease and peers from
//! their replies.
//!
//! An agent reports to a bounded number of entries, chosen by rendezvous hashing. Each entry thus
//! gets the reports of some of the targets and routes to these only. Neither the reports that an
//! agent sends nor those that an entry receives grow with the size of the fleet.

use crate::shared::AgentShared;
use egretseam_proto::rendezvous_score;
use egretseam_rpc::{EntryLink, LinkOptions, ReportCall, ReportReply};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// How often the entries to report to are selected again.
const SELECTION_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a report to an entry failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long the peer list of an unreachable entry is still used.
const PEER_LIST_RETENTION: Duration = Duration::from_secs(10);

/// Runs one reporting task for each selected entry.
pub(crate) async fn report_to_entries(shared: Rc<AgentShared>) {
    let mut tasks: IndexMap<String, actix_rt::task::JoinHandle<()>> = IndexMap::new();
    loop {
        let selected = select_entries(&shared);
        tasks.retain(|address, task| {
            let keep = selected.contains(address);
            if !keep {
                task.abort();
                shared.peer_lists.borrow_mut().shift_remove(address);
            }
            keep
        });
        for address in selected {
            if !tasks.contains_key(&address) {
                let task = actix_rt::spawn(report_loop(shared.clone(), address.clone()));
                tasks.insert(address, task);
            }
        }
        tokio::time::sleep(SELECTION_INTERVAL).await;
    }
}

/// The entries to report to: those in the configuration with the highest rendezvous scores for this
/// target; while the configuration names none, those from the settings.
fn select_entries(shared: &AgentShared) -> Vec<String> {
    let view = shared.view();
    let mut known: Vec<String> =
        view.entries.values().map(|entry| entry.peer_address.clone()).collect();
    if known.is_empty() {
        known = shared.options.entries.clone();
    }
    let name = shared.options.name.as_str();
    known.sort_by_key(|address| std::cmp::Reverse(rendezvous_score(name, address)));
    known.truncate(shared.options.report_fanout);
    known
}

async fn report_loop(shared: Rc<AgentShared>, address: String) {
    let link = EntryLink::new(&address, shared.options.secret, LinkOptions::default());
    let mut peers_seen = 0;
    let mut last_reply_at = Instant::now();
    let mut report_trigger = shared.report_trigger.subscribe();
    loop {
        report_trigger.mark_unchanged();
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
            // The state changed while the entry holds the last report. The entry must get the new
            // state at once, above all that the target is leaving.
            _ = report_trigger.changed() => continue,
        };
        match reply {
            Ok(reply) => {
                last_reply_at = Instant::now();
                peers_seen = apply_reply(&shared, &address, reply, sent, peers_seen);
            }
            Err(error) => {
                tracing::debug!(%error, "could not report to an entry");
                if last_reply_at.elapsed() > PEER_LIST_RETENTION {
                    shared.peer_lists.borrow_mut().shift_remove(&address);
                    peers_seen = 0;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_reply(
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
    shared.log_clock.set(shared.log_clock.get().max(reply.clock));
    if reply.lease_millis > 0 {
        shared.confirmed_at.set(shared.confirmed_at.get().max(Some(sent)));
    }
    let Some(peers) = reply.peers else { return peers_seen };
    shared.peer_lists.borrow_mut().insert(address.to_owned(), peers);
    shared.peers_changed.send_modify(|number| *number += 1);
    reply.peers_number
}

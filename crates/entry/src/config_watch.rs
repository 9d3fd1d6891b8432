//! Watches the configuration, which renews its lease, and keeps this entry announced in it.

use crate::shared::EntryShared;
use egretseam_catalog::{CatalogCommand, EntryRecord};
use egretseam_rpc::{WatchCall, WatchReply};
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Delay after a watch call that failed or did not confirm the configuration.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often the entry checks that the configuration lists it.
const ANNOUNCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) async fn watch_config(shared: Weak<EntryShared>) {
    let mut is_confirmed = false;
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let sent_at = Instant::now();
        let call = WatchCall {
            entry: shared.options.name.clone(),
            incarnation: shared.options.incarnation,
            held: shared.view.borrow().revision,
            wait_millis: watch_wait(&shared, is_confirmed).as_millis() as u64,
        };
        let reply = shared.control.watch(call).await;
        is_confirmed = matches!(reply, Ok(WatchReply::Confirmed { .. }));
        match reply {
            Ok(WatchReply::Confirmed { update, clock }) => {
                shared.clock.set(shared.clock.get().max(clock));
                let mut view = (**shared.view.borrow()).clone();
                if view.apply_update(update) {
                    let revision = view.revision;
                    *shared.view.borrow_mut() = Rc::new(view);
                    shared.counters.revision.set(revision.0 as i64);
                    shared.revision.send_replace(revision);
                    shared.refresh_limits();
                }
                // The lease starts when the call was sent, not when the reply arrived: the reply
                // lacks changes committed while it was in flight.
                shared.lease_until.set(Some(sent_at + shared.options.lease));
            }
            Ok(WatchReply::Unconfirmed) => tokio::time::sleep(WATCH_RETRY_DELAY).await,
            Err(error) => {
                tracing::debug!(%error, "watch call to control failed; lease not renewed");
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
            }
        }
    }
}

/// How long a control member may hold a watch. Until a member confirms the configuration, they are
/// asked to reply at once: the lease may be about to expire.
fn watch_wait(shared: &EntryShared, is_confirmed: bool) -> Duration {
    if is_confirmed { shared.options.max_watch_wait } else { Duration::ZERO }
}

/// Announces this entry whenever the configuration lacks its current record, for example after
/// control removed an entry that it had not heard from.
pub(crate) async fn keep_announced(shared: Weak<EntryShared>) {
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let record = own_record(&shared);
        let listed = shared.view.borrow().entries.get(&record.name) == Some(&record);
        if !listed {
            announce(&shared, record).await;
        }
        drop(shared);
        tokio::time::sleep(ANNOUNCE_CHECK_INTERVAL).await;
    }
}

pub(crate) async fn announce_leaving(shared: &EntryShared) {
    announce(shared, own_record(shared)).await;
}

async fn announce(shared: &EntryShared, record: EntryRecord) {
    let command = CatalogCommand::AnnounceEntry(record);
    if let Err(error) = shared.submit(&command, ANNOUNCE_TIMEOUT).await {
        tracing::warn!(%error, "announcing this entry to control failed");
    }
}

fn own_record(shared: &EntryShared) -> EntryRecord {
    let options = &shared.options;
    EntryRecord {
        name: options.name.clone(),
        incarnation: options.incarnation,
        zone: options.zone.clone(),
        caller_address: options.caller_address.clone(),
        peer_address: options.peer_address.clone(),
        leaving: shared.stopping.get(),
    }
}

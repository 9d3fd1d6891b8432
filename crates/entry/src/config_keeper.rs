//! Keeps the configuration current and confirmed, and this entry on the list of addresses.

use crate::shared::EntryShared;
use egretseam_catalog::{CatalogCommand, EntryRecord};
use egretseam_rpc::{WatchCall, WatchReply};
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Pause after a watch that confirmed nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often the entry looks whether it is on the list.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// How long an announcement may take.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(3);

pub(crate) async fn watch_config(shared: Weak<EntryShared>) {
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let sent = Instant::now();
        let call = WatchCall {
            entry: shared.options.name.clone(),
            incarnation: shared.options.incarnation,
            held: shared.view.borrow().revision,
            wait_millis: shared.options.watch_wait.as_millis() as u64,
        };
        match shared.control.watch(call).await {
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
                // From the time of sending, not of receiving: changes accepted while the reply
                // was under way are not in it.
                shared.lease_until.set(Some(sent + shared.options.lease));
            }
            Ok(WatchReply::Unconfirmed) => tokio::time::sleep(RETRY_PAUSE).await,
            Err(error) => {
                tracing::debug!(%error, "no control member confirmed the configuration");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Announces this run whenever the configuration does not show it, for example after control
/// removed it for silence.
pub(crate) async fn stay_announced(shared: Weak<EntryShared>) {
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let record = own_record(&shared);
        let listed = shared.view.borrow().entries.get(&record.name) == Some(&record);
        if !listed {
            announce(&shared, record).await;
        }
        drop(shared);
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

pub(crate) async fn announce_leaving(shared: &EntryShared) {
    announce(shared, own_record(shared)).await;
}

async fn announce(shared: &EntryShared, record: EntryRecord) {
    let command = CatalogCommand::AnnounceEntry(record);
    if let Err(error) = shared.submit(&command, ANNOUNCE_LIMIT).await {
        tracing::warn!(%error, "this entry could not be announced");
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

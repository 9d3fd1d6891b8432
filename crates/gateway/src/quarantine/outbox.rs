//! What this entry has seen and still has to report to control members.

use crate::shared::GatewayShared;
use egretseam_quarantine::{CrashTable, EvidenceRecord, FeatureDigest, RequestFate};
use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};
use tokio::{sync::watch, time::Instant};

/// How long records are held back. What ended with many other targets at the same time, and parts that
/// are answered meanwhile, are then not reported at all.
const REPORT_DELAY: Duration = Duration::from_millis(60);
/// Most records kept for control members that restart or are reached later.
const MAX_RECORDS: usize = 256;
/// Most records in one call.
const MAX_CALL_RECORDS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct OutboxRow {
    feature: FeatureDigest,
    fate: RequestFate,
    at: Instant,
}

/// Records in the order in which they are reported.
#[derive(Debug)]
pub(crate) struct EvidenceOutbox {
    held_back: RefCell<Vec<OutboxRow>>,
    rows: RefCell<VecDeque<(u64, OutboxRow)>>,
    last_number: watch::Sender<u64>,
}

impl Default for EvidenceOutbox {
    fn default() -> Self {
        Self {
            held_back: RefCell::default(),
            rows: RefCell::default(),
            last_number: watch::Sender::new(0),
        }
    }
}

impl EvidenceOutbox {
    /// The number of the latest record that can be reported, and its changes.
    pub(crate) fn last_number(&self) -> watch::Receiver<u64> {
        self.last_number.subscribe()
    }

    /// Records after number `sent`, and the number of the last one returned.
    pub(crate) fn records_since(&self, sent: u64) -> (Vec<EvidenceRecord>, u64) {
        let rows = self.rows.borrow();
        let unsent = rows.iter().filter(|(number, _)| *number > sent).take(MAX_CALL_RECORDS);
        let mut last = sent;
        let records = unsent
            .map(|(number, row)| {
                last = *number;
                let age_millis = row.at.elapsed().as_millis() as u64;
                EvidenceRecord { feature: row.feature, fate: row.fate, age_millis }
            })
            .collect();
        (records, last)
    }

    fn release(&self, rows: Vec<OutboxRow>) {
        let mut number = *self.last_number.borrow();
        let mut released = self.rows.borrow_mut();
        for row in rows {
            number += 1;
            released.push_back((number, row));
        }
        while released.len() > MAX_RECORDS {
            released.pop_front();
        }
        drop(released);
        self.last_number.send_replace(number);
    }
}

/// Whether the others have to know of a record that was held back.
fn is_reported(table: &CrashTable, row: &OutboxRow) -> bool {
    if !matches!(row.fate, RequestFate::ProcessEnded { .. }) {
        return true;
    }
    if row.feature.is_part() {
        // Which other targets ended without the part, only all entries together know.
        return table.is_suspect(&row.feature);
    }
    !table.has_common_cause(&row.feature, row.at)
}

/// Adds a record; it is reported after [`REPORT_DELAY`].
pub(super) fn push(
    shared: &Rc<GatewayShared>,
    feature: FeatureDigest,
    fate: RequestFate,
    at: Instant,
) {
    let outbox = &shared.quarantine.outbox;
    if fate.is_of_claim() {
        return outbox.release(vec![OutboxRow { feature, fate, at }]);
    }
    let mut held_back = outbox.held_back.borrow_mut();
    held_back.push(OutboxRow { feature, fate, at });
    if held_back.len() > 1 {
        return;
    }
    drop(held_back);
    let shared = shared.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(REPORT_DELAY).await;
        let mut rows = shared.quarantine.outbox.held_back.take();
        let table = shared.quarantine.table.borrow();
        rows.retain(|row| is_reported(&table, row));
        drop(table);
        shared.quarantine.outbox.release(rows);
    });
}

//! What the entries of a simulation see, and how it reaches the others.

use super::{Delivery, HeldReport, Pending, Run, World};
use egretseam_quarantine::{EvidenceRecord, FeatureDigest, RequestFate};
use rand::RngExt;

/// Delay with which another entry learns of evidence.
const SPREAD_MILLIS: std::ops::Range<u64> = 65..200;
/// Time after a crash at which entries drop evidence that has a common cause.
const REPORT_DELAY_MILLIS: u64 = 60;

impl World {
    pub(super) fn clear_parts(&mut self) {
        for index in 0..self.runs.len() {
            let run = self.runs[index];
            if run.cleared || run.cleared_at > self.now || self.is_bad(run.pending.request) {
                continue;
            }
            self.runs[index].cleared = true;
            self.record_answered(run);
        }
    }

    /// Counts and clears the parts of a run that its target goes on answering or has answered.
    pub(super) fn record_answered(&mut self, run: Run) {
        let Pending { request, entry, .. } = run.pending;
        let parts = self.part_features(request);
        self.tables[entry].count_answered(&parts);
        for feature in parts {
            if self.tables[entry].is_suspect(&feature) {
                self.report(entry, feature, RequestFate::Served);
            }
        }
    }

    /// Tells the entry at once and the others later.
    pub(super) fn report(&mut self, entry: usize, feature: FeatureDigest, fate: RequestFate) {
        let made_at = self.now;
        let is_end = matches!(fate, RequestFate::ProcessEnded { .. });
        self.deliveries.push(Delivery { due: made_at, entry, made_at, feature, fate });
        if is_end {
            return self.held_reports.push(HeldReport { entry, made_at, feature, fate });
        }
        self.pass_on(entry, made_at, feature, fate, SPREAD_MILLIS);
    }

    pub(super) fn pass_on(
        &mut self,
        entry: usize,
        made_at: u64,
        feature: FeatureDigest,
        fate: RequestFate,
        delay: std::ops::Range<u64>,
    ) {
        for other in (0..self.scenario.entries).filter(|other| *other != entry) {
            let due = self.now + self.rng.random_range(delay.clone());
            self.deliveries.push(Delivery { due, entry: other, made_at, feature, fate });
        }
        self.reported.push(Delivery { due: 0, entry, made_at, feature, fate });
    }

    /// Reports ends, but of contents not those that have a common cause, and of parts not those that
    /// have been answered meanwhile.
    pub(super) fn release_reports(&mut self) {
        let limit = self.now.saturating_sub(REPORT_DELAY_MILLIS);
        let due = self.held_reports.extract_if(.., |report| report.made_at <= limit);
        let due: Vec<HeldReport> = due.collect();
        for HeldReport { entry, made_at, feature, fate } in due {
            let (table, at) = (&self.tables[entry], self.instant(made_at));
            let is_reported = if feature.is_part() {
                table.is_suspect(&feature)
            } else {
                !table.has_common_cause(&feature, at)
            };
            if is_reported {
                self.pass_on(entry, made_at, feature, fate, 5..140);
            }
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.deliveries.iter().partition(|delivery| delivery.due <= now);
        self.deliveries = later;
        let due: Vec<Delivery> = due;
        for Delivery { entry, made_at, feature, fate, .. } in due {
            let record = EvidenceRecord { feature, fate, age_millis: now - made_at };
            let instant = self.instant(now);
            self.tables[entry].apply(&record, instant);
        }
        if now.is_multiple_of(500) {
            let instant = self.instant(now);
            self.tables.iter_mut().for_each(|table| table.expire(instant));
        }
    }
}

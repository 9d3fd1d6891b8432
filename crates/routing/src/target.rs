//! What is known of each target, and which one a request goes to.

mod choose;

use egretseam_proto::{
    GroupName, Incarnation, InstanceName, ManifestId, RefusalReason, TargetReport, TargetState,
    ZoneName,
};
use indexmap::IndexMap;
use std::time::Duration;

pub use choose::{ChoicePolicy, ChoiceQuery, TargetChoice};

/// Limits of routing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingOptions {
    /// How targets are chosen.
    pub policy: ChoicePolicy,
    /// Silence after which a target gets nothing.
    pub report_timeout: Duration,
    /// Silence after which a target is forgotten.
    pub remove_after: Duration,
    /// Failures in a row that eject a target.
    pub consecutive_failures: u32,
    /// First ejection's length; doubles with each further one.
    pub base_ejection_time: Duration,
    /// Part of a group that may be ejected; beyond it nothing more is.
    pub max_ejected_ratio: f64,
    /// Time over which a target that starts to serve takes on its full part.
    pub slow_start: Duration,
    /// Use of own-zone targets above which others are considered too.
    pub spillover_threshold: f64,
}

impl Default for RoutingOptions {
    fn default() -> Self {
        Self {
            policy: ChoicePolicy::Balanced,
            report_timeout: Duration::from_secs(3),
            remove_after: Duration::from_secs(30),
            consecutive_failures: 3,
            base_ejection_time: Duration::from_secs(1),
            max_ejected_ratio: 0.5,
            slow_start: Duration::from_secs(5),
            spillover_threshold: 0.75,
        }
    }
}

/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// Smallest limit that a failing target is brought down to.
const LOWEST_LIMIT: f64 = 1.0;

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered; time to the first byte.
    Answered(Duration),
    /// Failed for this reason.
    Failed(RefusalReason),
    /// The caller went away; says nothing of the target.
    Cancelled,
}

/// One target as this entry sees it.
#[derive(Clone, Debug)]
struct TargetRow {
    report: TargetReport,
    reported_at: Duration,
    serving_since: Option<Duration>,
    /// Requests of this entry in progress there.
    own: u32,
    /// Requests of this entry in progress there when the report was made.
    own_at_report: u32,
    /// Requests that it may have of this entry; shrinks when it fails, grows back.
    limit: f64,
    /// Smoothed time to the first byte, in seconds.
    first_byte: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
}

/// One target for status pages.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Its latest report.
    pub report: TargetReport,
    /// Time since that report.
    pub silent_for: Duration,
    /// Requests of this entry in progress there.
    pub own_in_flight: u32,
    /// Whether it is ejected now.
    pub ejected: bool,
}

/// All targets that report to this entry.
#[derive(Debug)]
pub struct TargetTable {
    options: RoutingOptions,
    rows: IndexMap<InstanceName, TargetRow>,
    /// How many rows were live at the last tick.
    live: usize,
    /// Entries that share the targets.
    entries: u32,
    turn: u64,
    random: u64,
}

impl TargetTable {
    /// An empty table. `seed` spreads random choices between entries.
    pub fn new(options: RoutingOptions, seed: u64) -> Self {
        Self { options, rows: IndexMap::new(), live: 0, entries: 1, turn: 0, random: seed | 1 }
    }

    /// Takes in a report; returns whether the announced swarm changed.
    ///
    /// A report of an earlier run, or one that was overtaken by a later one on the network, is
    /// dropped: taken for news, it could put a target back that has just said it is leaving.
    pub fn apply_report(&mut self, report: TargetReport, now: Duration) -> bool {
        let known = self.rows.get_mut(&report.target);
        if known.as_ref().is_some_and(|row| row.report.incarnation > report.incarnation) {
            return false;
        }
        let Some(row) = known.filter(|row| row.report.incarnation == report.incarnation) else {
            let row = TargetRow {
                serving_since: (report.state == TargetState::Serving).then_some(now),
                report,
                reported_at: now,
                own: 0,
                own_at_report: 0,
                limit: f64::INFINITY,
                first_byte: 0.0,
                failures: 0,
                ejections: 0,
                ejected_until: Duration::ZERO,
            };
            self.rows.insert(row.report.target.clone(), row);
            return true;
        };
        if report.sequence <= row.report.sequence {
            return false;
        }
        let moved = row.report.chunk_address != report.chunk_address;
        let starts =
            report.state == TargetState::Serving && row.report.state != TargetState::Serving;
        if starts {
            row.serving_since = Some(now);
            row.first_byte = 0.0;
        }
        row.reported_at = now;
        row.own_at_report = row.own;
        row.report = report;
        moved
    }

    /// A request of this entry starts at `target`.
    pub fn record_start(&mut self, target: &InstanceName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.own += 1;
        }
    }

    /// A request of this entry ended at `target`.
    pub fn record_end(&mut self, target: &InstanceName, outcome: RequestOutcome, now: Duration) {
        let options = self.options;
        let Some(row) = self.rows.get_mut(target) else { return };
        row.own = row.own.saturating_sub(1);
        match outcome {
            RequestOutcome::Answered(first_byte) => row.note_success(first_byte),
            RequestOutcome::Failed(reason) => row.note_failure(reason, &options, now),
            RequestOutcome::Cancelled => {}
        }
    }

    /// The run of `target`'s agent that last reported.
    pub fn incarnation(&self, target: &InstanceName) -> Option<Incarnation> {
        self.rows.get(target).map(|row| row.report.incarnation)
    }

    /// Where `target`'s agent takes requests.
    pub fn address(&self, target: &InstanceName) -> Option<&str> {
        self.rows.get(target).map(|row| row.report.address.as_str())
    }

    /// Live targets of a group, serving or not: the announced swarm.
    pub fn swarm_members(
        &self,
        group: &GroupName,
        now: Duration,
    ) -> impl Iterator<Item = &TargetReport> {
        let limit = self.options.report_timeout;
        self.rows
            .values()
            .filter(move |row| now.saturating_sub(row.reported_at) < limit)
            .map(|row| &row.report)
            .filter(move |report| report.group == *group)
    }

    /// Sets how many entries share the targets.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entries = entries.max(1) as u32;
    }

    /// Requests that this entry may have in progress at all live, serving targets, given each
    /// group's limit per target.
    pub fn capacity(&self, limit_of: impl Fn(&GroupName) -> u32, now: Duration) -> usize {
        let live = self.rows.values().filter(|row| self.is_live(row, now));
        // Rounded once, not for each target: rounding each up would promise more than there is.
        live.map(|row| self.own_part(row, limit_of(&row.report.group))).sum::<f64>() as usize
    }

    /// What this entry may have in progress at one target: what it had at the last report and its
    /// part of what was free then, but at least an equal part of the limit.
    ///
    /// Failure guarded: reports lag, and entries that each take all that looks free overrun the
    /// target together. It then refuses whoever comes, a small organisation's request as likely as
    /// a large one's, and the shares that entries hold count for nothing. These parts add up to the
    /// limit.
    fn own_part(&self, row: &TargetRow, limit: u32) -> f64 {
        let entries = f64::from(self.entries);
        let free = f64::from(limit.saturating_sub(row.report.in_flight)) / entries;
        let equal = f64::from(limit) / entries;
        equal.max(f64::from(row.own_at_report) + free).min(f64::from(limit))
    }

    /// How many live targets of a group serve exactly these weights.
    pub fn replica_count(&self, group: &GroupName, manifest: ManifestId, now: Duration) -> usize {
        let live = self.rows.values().filter(|row| self.is_live(row, now));
        let holds = |row: &&TargetRow| {
            row.report.group == *group
                && row.report.serving.as_ref().is_some_and(|s| s.manifest == manifest)
        };
        live.filter(holds).count()
    }

    /// All rows, for status pages.
    pub fn views(&self, now: Duration) -> Vec<TargetView> {
        let view = |row: &TargetRow| TargetView {
            report: row.report.clone(),
            silent_for: now.saturating_sub(row.reported_at),
            own_in_flight: row.own,
            ejected: row.ejected_until > now,
        };
        self.rows.values().map(view).collect()
    }

    /// Zones of live targets of a group.
    pub fn zones(&self, group: &GroupName, now: Duration) -> Vec<&ZoneName> {
        self.swarm_members(group, now).map(|report| &report.zone).collect()
    }

    /// Forgets targets that have long been silent; returns whether the announced swarm changed.
    ///
    /// Failure guarded: an instance dies, and its peers go on waiting for the chunks that it was to
    /// draw. It shows as a burst that stops until the row is forgotten. Silence counts as leaving
    /// the swarm long before the row goes. One that goes silent while another returns in the same
    /// tick is told with the next change; its peers avoid it by themselves meanwhile.
    pub fn tick(&mut self, now: Duration) -> bool {
        let (forget, limit) = (self.options.remove_after, self.options.report_timeout);
        self.rows.retain(|_, row| now.saturating_sub(row.reported_at) < forget || row.own > 0);
        let live = |row: &&TargetRow| now.saturating_sub(row.reported_at) < limit;
        let count = self.rows.values().filter(live).count();
        std::mem::replace(&mut self.live, count) != count
    }

    fn is_live(&self, row: &TargetRow, now: Duration) -> bool {
        row.report.state == TargetState::Serving
            && now.saturating_sub(row.reported_at) < self.options.report_timeout
    }
}

impl TargetRow {
    fn note_success(&mut self, first_byte: Duration) {
        self.failures = 0;
        self.ejections = 0;
        let seconds = first_byte.as_secs_f64();
        // A slow answer counts at once, a fast one is believed gradually, so that a target that
        // turns slow loses requests with the first slow answer.
        let gain = if seconds > self.first_byte { 0.5 } else { 0.1 };
        self.first_byte += (seconds - self.first_byte) * gain;
        if self.limit.is_finite() {
            self.limit += 1.0 / self.limit;
        }
    }

    fn note_failure(&mut self, reason: RefusalReason, options: &RoutingOptions, now: Duration) {
        match reason {
            // The target said that it is full: send it less.
            RefusalReason::Overloaded | RefusalReason::DeadlineExceeded => {
                let present = if self.limit.is_finite() { self.limit } else { f64::from(self.own) };
                self.limit = (present * 0.8).max(LOWEST_LIMIT);
            }
            // It is leaving or switching, by its own account: its next report says so too.
            RefusalReason::Leaving
            | RefusalReason::VersionMismatch
            | RefusalReason::Stopping
            | RefusalReason::OtherIncarnation => {
                self.ejected_until = now + options.base_ejection_time
            }
            RefusalReason::ConnectFailed | RefusalReason::BrokenAnswer => {
                self.failures += 1;
                if self.failures >= options.consecutive_failures
                    || reason == RefusalReason::ConnectFailed
                {
                    let doubled = options.base_ejection_time * 2_u32.pow(self.ejections.min(5));
                    self.ejected_until = now + doubled.min(LONGEST_EJECTION);
                    self.ejections += 1;
                    self.failures = 0;
                }
            }
            _ => {}
        }
    }
}

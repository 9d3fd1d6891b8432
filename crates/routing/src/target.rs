//! State of each target as one entry sees it, and the choice of a target for a request.

mod choose;

use egretseam_proto::{
    GroupName, Incarnation, InstanceName, ManifestId, RefusalReason, TargetReport, TargetState,
    ZoneName,
};
use indexmap::IndexMap;
use std::time::Duration;

pub use choose::{ChoicePolicy, ChoiceQuery, TargetChoice};

/// Settings of routing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingOptions {
    /// How targets are chosen.
    pub policy: ChoicePolicy,
    /// Time without a report after which a target receives no requests.
    pub report_timeout: Duration,
    /// Time without a report after which a target is removed from the table.
    pub remove_after: Duration,
    /// Consecutive failures that eject a target.
    pub consecutive_failures: u32,
    /// Duration of the first ejection; doubles with each further one until a request succeeds.
    pub base_ejection_time: Duration,
    /// Largest fraction of a group that may be ejected; if more targets are, ejections are ignored.
    pub max_ejected_ratio: f64,
    /// Time over which a target that starts to serve takes an increasing part of its full load.
    pub slow_start: Duration,
    /// Load of the chosen same-zone target, as a fraction of its limit, above which cross-zone
    /// targets are considered too.
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

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Lower bound of the request limit of an overloaded target.
const MIN_REQUEST_LIMIT: f64 = 1.0;

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered, with the time to the first byte.
    Answered(Duration),
    /// Failed for this reason.
    Failed(RefusalReason),
    /// The caller disconnected; counts as neither success nor failure of the target.
    Cancelled,
}

/// One target as this entry sees it.
#[derive(Clone, Debug)]
struct TargetRow {
    report: TargetReport,
    reported_at: Duration,
    serving_since: Option<Duration>,
    /// Requests of this entry in progress at the target.
    own_in_flight: u32,
    /// Requests of this entry in progress at the target when its last report was received.
    own_in_flight_at_report: u32,
    /// Maximum number of requests of this entry in progress at the target: unlimited until the
    /// target is overloaded, which reduces it; each success raises it again.
    request_limit: f64,
    /// Moving average of the time to the first byte, in seconds.
    smoothed_first_byte: f64,
    /// Failures since the last success or ejection.
    failures: u32,
    /// Ejections for failures since the last success.
    ejections: u32,
    ejected_until: Duration,
}

/// State of one target for status pages.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// The latest report of the target.
    pub report: TargetReport,
    /// Time since that report.
    pub silent_for: Duration,
    /// Requests of this entry in progress at the target.
    pub own_in_flight: u32,
    /// Whether it is ejected now.
    pub ejected: bool,
}

/// All targets that report to this entry.
#[derive(Debug)]
pub struct TargetTable {
    options: RoutingOptions,
    rows: IndexMap<InstanceName, TargetRow>,
    /// Targets with a report within `report_timeout`, as counted at the last tick.
    reporting_count: usize,
    /// Number of entries that share the targets, including this one.
    entry_count: u32,
    round_robin_turn: u64,
    rng_state: u64,
}

impl TargetTable {
    /// An empty table. Entries use different seeds so that their random choices differ.
    pub fn new(options: RoutingOptions, seed: u64) -> Self {
        Self {
            options,
            rows: IndexMap::new(),
            reporting_count: 0,
            entry_count: 1,
            round_robin_turn: 0,
            rng_state: seed | 1,
        }
    }

    /// Applies a report; returns whether the swarm membership changed: the target or its
    /// incarnation is new, or its chunk address changed.
    ///
    /// Drops a report of an earlier incarnation, and one that the network delivers after a later
    /// one: applied, it could return a target to service that has since reported that it is
    /// leaving.
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
                own_in_flight: 0,
                own_in_flight_at_report: 0,
                request_limit: f64::INFINITY,
                smoothed_first_byte: 0.0,
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
        let chunk_address_changed = row.report.chunk_address != report.chunk_address;
        let starts_serving =
            report.state == TargetState::Serving && row.report.state != TargetState::Serving;
        if starts_serving {
            row.serving_since = Some(now);
            row.smoothed_first_byte = 0.0;
        }
        row.reported_at = now;
        row.own_in_flight_at_report = row.own_in_flight;
        row.report = report;
        chunk_address_changed
    }

    /// Records that this entry starts a request at `target`.
    pub fn record_start(&mut self, target: &InstanceName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.own_in_flight += 1;
        }
    }

    /// Records that a request of this entry at `target` ended.
    pub fn record_end(&mut self, target: &InstanceName, outcome: RequestOutcome, now: Duration) {
        let options = self.options;
        let Some(row) = self.rows.get_mut(target) else { return };
        row.own_in_flight = row.own_in_flight.saturating_sub(1);
        match outcome {
            RequestOutcome::Answered(first_byte) => row.record_success(first_byte),
            RequestOutcome::Failed(reason) => row.record_failure(reason, &options, now),
            RequestOutcome::Cancelled => {}
        }
    }

    /// Incarnation of the agent in the latest report of `target`.
    pub fn incarnation(&self, target: &InstanceName) -> Option<Incarnation> {
        self.rows.get(target).map(|row| row.report.incarnation)
    }

    /// Address at which the agent of `target` accepts requests.
    pub fn address(&self, target: &InstanceName) -> Option<&str> {
        self.rows.get(target).map(|row| row.report.address.as_str())
    }

    /// Targets of a group with a report within `report_timeout`, whether they serve or not: the
    /// swarm membership.
    pub fn swarm_members(
        &self,
        group: &GroupName,
        now: Duration,
    ) -> impl Iterator<Item = &TargetReport> {
        let report_timeout = self.options.report_timeout;
        self.rows
            .values()
            .filter(move |row| now.saturating_sub(row.reported_at) < report_timeout)
            .map(|row| &row.report)
            .filter(move |report| report.group == *group)
    }

    /// Sets how many entries share the targets, including this one.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entry_count = entries.max(1) as u32;
    }

    /// Requests that this entry may have in progress at all targets in service together. `limit_of`
    /// gives the limit for each target of a group.
    pub fn capacity(&self, limit_of: impl Fn(&GroupName) -> u32, now: Duration) -> usize {
        let in_service = self.rows.values().filter(|row| self.is_in_service(row, now));
        // Only the sum is rounded: rounding up each quota would exceed the actual capacity.
        in_service.map(|row| self.in_flight_quota(row, limit_of(&row.report.group))).sum::<f64>()
            as usize
    }

    /// Requests that this entry may have in progress at one target: those in progress at the last
    /// report and an equal part of the slots free then, but at least an equal part of the limit.
    ///
    /// Reports lag. If each entry took all slots that look free, the entries together would
    /// overload the target. It would then reject requests regardless of their organisation, those
    /// of a small one as likely as those of a large one, and the shares that entries grant would
    /// have no effect. The quotas of all entries add up to the limit.
    fn in_flight_quota(&self, row: &TargetRow, limit: u32) -> f64 {
        let entries = f64::from(self.entry_count);
        let free = f64::from(limit.saturating_sub(row.report.in_flight)) / entries;
        let equal = f64::from(limit) / entries;
        equal.max(f64::from(row.own_in_flight_at_report) + free).min(f64::from(limit))
    }

    /// Number of targets of a group in service that serve exactly these weights.
    pub fn replica_count(&self, group: &GroupName, manifest: ManifestId, now: Duration) -> usize {
        let in_service = self.rows.values().filter(|row| self.is_in_service(row, now));
        let serves = |row: &&TargetRow| {
            row.report.group == *group
                && row.report.serving.as_ref().is_some_and(|s| s.manifest == manifest)
        };
        in_service.filter(serves).count()
    }

    /// State of all targets, for status pages.
    pub fn views(&self, now: Duration) -> Vec<TargetView> {
        let view = |row: &TargetRow| TargetView {
            report: row.report.clone(),
            silent_for: now.saturating_sub(row.reported_at),
            own_in_flight: row.own_in_flight,
            ejected: row.ejected_until > now,
        };
        self.rows.values().map(view).collect()
    }

    /// Availability zone of each member of a group's swarm.
    pub fn zones(&self, group: &GroupName, now: Duration) -> Vec<&ZoneName> {
        self.swarm_members(group, now).map(|report| &report.zone).collect()
    }

    /// Removes targets without a report for `remove_after`, unless a request of this entry is in
    /// progress there. Returns whether the number of swarm members changed since the last tick.
    ///
    /// A target without a report leaves the swarm after `report_timeout`, long before its row is
    /// removed. Otherwise, when an instance dies, its peers would wait for the chunks that it was
    /// to fetch from the origin, and a burst of loads would stall until the row is removed. If one
    /// target leaves and another returns between the same two ticks, the count stays the same and
    /// agents are informed with the next change; meanwhile peers avoid the dead instance by
    /// themselves.
    pub fn tick(&mut self, now: Duration) -> bool {
        let (remove_after, report_timeout) =
            (self.options.remove_after, self.options.report_timeout);
        self.rows.retain(|_, row| {
            now.saturating_sub(row.reported_at) < remove_after || row.own_in_flight > 0
        });
        let reporting = |row: &&TargetRow| now.saturating_sub(row.reported_at) < report_timeout;
        let count = self.rows.values().filter(reporting).count();
        std::mem::replace(&mut self.reporting_count, count) != count
    }

    /// Whether a target serves requests and has reported within `report_timeout`.
    fn is_in_service(&self, row: &TargetRow, now: Duration) -> bool {
        row.report.state == TargetState::Serving
            && now.saturating_sub(row.reported_at) < self.options.report_timeout
    }
}

impl TargetRow {
    fn record_success(&mut self, first_byte: Duration) {
        self.failures = 0;
        self.ejections = 0;
        let seconds = first_byte.as_secs_f64();
        // Slow answers have a larger weight than fast ones, so that a target that turns slow gets
        // fewer requests from the first slow answer on.
        let gain = if seconds > self.smoothed_first_byte { 0.5 } else { 0.1 };
        self.smoothed_first_byte += (seconds - self.smoothed_first_byte) * gain;
        if self.request_limit.is_finite() {
            self.request_limit += 1.0 / self.request_limit;
        }
    }

    fn record_failure(&mut self, reason: RefusalReason, options: &RoutingOptions, now: Duration) {
        match reason {
            // The target is full or could not meet the deadline: lower its request limit by a
            // fifth.
            RefusalReason::Overloaded | RefusalReason::DeadlineExceeded => {
                let current = if self.request_limit.is_finite() {
                    self.request_limit
                } else {
                    f64::from(self.own_in_flight)
                };
                self.request_limit = (current * 0.8).max(MIN_REQUEST_LIMIT);
            }
            // The target itself answered that it is leaving, stopping, switching or restarted. Its
            // next report says so too; the ejection covers the time until then.
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
                    let ejection_time =
                        options.base_ejection_time * 2_u32.pow(self.ejections.min(5));
                    self.ejected_until = now + ejection_time.min(MAX_EJECTION_TIME);
                    self.ejections += 1;
                    self.failures = 0;
                }
            }
            _ => {}
        }
    }
}

//! Places a request: chooses its target, or says why no target gets it.
//!
//! Several entries fill the same targets, each with a view that lags by hundreds of milliseconds.
//! If all of them sent to the emptiest target they would flood it. A target is therefore drawn at
//! random with a weight by its share of free slots ([`PlacementPolicy::free_share_exponent`]), so
//! that what all entries send until the next load sample spreads as the free slots do. Between
//! samples the estimate of the other entries' load at a target decays to the mean of the service.

use crate::{
    backpressure::SendRoom,
    status::{TargetId, TargetState},
    target_table::{TargetRow, TargetTable},
};
use egretseam_proto::{ModelName, ServiceName};
use rand::RngExt;
use std::time::Duration;
use tokio::time::Instant;

/// Most targets compared for one request. Of a larger service a random part is compared, so that
/// the cost of a placement does not grow with the service.
const MAX_CANDIDATES: usize = 64;

/// Load assumed at a target without a sample, as a fraction of the mean load.
const UNSAMPLED_LOAD_SHARE: f64 = 0.5;

/// Time after its start within which an entry learns of all targets: they announce themselves about
/// once a second, and to another control member if one does not answer for a second.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Factor on [`PlacementPolicy::old_version_penalty`] for a request that was tried before.
const RETRY_PENALTY_FACTOR: f64 = 6.0;

/// Least free share with which a target that has a free slot is weighted.
const MIN_FREE_SHARE: f64 = 0.02;

/// Limits and penalties of a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Requests that a target may hold, as a multiple of its slots.
    pub max_fill: f64,
    /// The same for a late request: one that has missed its latency objective.
    pub late_max_fill: f64,
    /// Late requests per target whose prefill may be pending at a time; an entry keeps to its share
    /// of them.
    ///
    /// After an outage hundreds of queued requests go to empty engines. An engine prefills all
    /// requests that it admits in one pass, so with a dozen at once no request, new ones included,
    /// gets its first event in less than 0.4 s.
    pub late_prefills: f64,
    /// Load added for a target in another availability zone, as a fraction of its slots. The
    /// penalties below have the same unit.
    pub cross_zone_penalty: f64,
    /// Exponent of a target's free share in its weight. With 0 all targets are equally likely, with
    /// 1 they fill evenly; a larger one favours the emptier targets but lets entries with the same
    /// view flood them.
    pub free_share_exponent: i32,
    /// Time in which a sample of the other entries' load decays to the mean.
    pub load_decay: Duration,
    /// How long after a load sample an entry keeps to its share of an engine's slots.
    pub entry_share_max_age: Duration,
    /// Load added for a target while others hold a newer version: it will soon switch, and requests
    /// running there are then cut off or waited for.
    pub old_version_penalty: f64,
    /// Load added per median first byte by which a target's mean first byte exceeds one and a half
    /// times the median of its service: its process is slow, or others have filled its link.
    pub slowness_penalty: f64,
    /// Load added for a target that started recently.
    pub cold_start_penalty: f64,
    /// How long a target that says that it leaves still serves.
    pub drain_time: Duration,
    /// Whether each entry keeps to its share of an engine's slots.
    pub limits_entry_share: bool,
    /// Whether targets that seem to hang are left out.
    pub skips_hung: bool,
    /// Whether targets that fail often are ejected.
    pub ejects: bool,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            max_fill: 1.0,
            late_max_fill: 0.75,
            late_prefills: 4.0,
            cross_zone_penalty: 0.25,
            free_share_exponent: 2,
            load_decay: Duration::from_millis(1_500),
            entry_share_max_age: Duration::from_millis(1_100),
            old_version_penalty: 0.1,
            slowness_penalty: 0.25,
            cold_start_penalty: 0.3,
            drain_time: Duration::ZERO,
            limits_entry_share: true,
            skips_hung: true,
            ejects: true,
        }
    }
}

/// What a request needs of its target.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Service whose targets are considered.
    pub service: &'a ServiceName,
    /// Model that the target must hold; `None` in services without engines.
    pub model: Option<&'a ModelName>,
    /// Targets that the request was sent to before.
    pub tried: &'a [TargetId],
    /// Whether the request has missed its latency objective, so that it leaves the last slots to
    /// others.
    pub late: bool,
    /// When the caller leaves unless the answer has begun; set only for a further attempt.
    pub first_byte_deadline: Option<Instant>,
}

impl PlacementQuery<'_> {
    /// Whether a target is likely to answer before the caller leaves.
    ///
    /// Guards against a further attempt over a slow link: the request arrives seconds later and is
    /// run for a caller that has left. A request that was sent cannot be recalled, so it is not
    /// sent.
    fn answers_in_time(&self, row: &TargetRow, now: Instant) -> bool {
        let left = self.first_byte_deadline.map(|deadline| deadline.saturating_duration_since(now));
        left.is_none_or(|left| row.answers_within(left, now))
    }
}

/// Result of a placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// The request goes to this target.
    Target(TargetId),
    /// Every target that could take the request is full, at its limit, ejected or backing off.
    Full,
    /// Every target that could take the request has asked for rest; the first rest ends then.
    Resting(Instant),
    /// No target of the service can take the request at all.
    NoTarget,
}

impl TargetTable {
    /// Chooses a target for a request at once, by what is known now.
    pub fn choose(&self, query: &PlacementQuery<'_>, now: Instant) -> PlacementOutcome {
        let Some(ids) = self.services.get(query.service) else { return PlacementOutcome::NoTarget };
        let sampled: Vec<(&TargetId, &TargetRow)> =
            self.sample(ids).filter_map(|id| Some((id, self.rows.get(id)?))).collect();
        let median = median_first_byte(&sampled, now);
        let eligible: Vec<(&TargetId, &TargetRow)> = sampled
            .into_iter()
            .filter(|(id, row)| {
                !self.backpressure.has_left(id, now) && self.is_eligible(row, query, median, now)
            })
            .collect();
        if eligible.is_empty() {
            return PlacementOutcome::NoTarget;
        }
        let (resting, eligible): (Vec<_>, Vec<_>) =
            eligible.into_iter().partition(|(id, _)| self.backpressure.withheld(id, now).is_some());
        if eligible.is_empty() {
            let ends = resting.iter().filter_map(|(id, _)| self.backpressure.rest_end(id));
            return ends.min().map_or(PlacementOutcome::NoTarget, PlacementOutcome::Resting);
        }
        if query.late && self.at_late_prefill_limit(&eligible) {
            return PlacementOutcome::Full;
        }
        let view = ServiceView::of(&eligible, resting.len(), query, now);
        let untried = eligible.iter().filter(|(id, _)| !query.tried.contains(*id));
        let mut weighted: Vec<(f64, &TargetId)> = Vec::new();
        let mut trials: Vec<(f64, &TargetId)> = Vec::new();
        let mut last_resorts: Vec<(f64, &TargetId)> = Vec::new();
        let all_leave = eligible.iter().all(|(id, _)| self.is_leaving(id));
        for (id, row) in untried {
            let ignores_failures = view.ignores_failures || !self.policy.ejects;
            let is_hung = self.policy.skips_hung && view.is_hung(row, now);
            if is_hung
                || view.has_slow_link(row)
                || !query.answers_in_time(row, now)
                || !row.has_limit_room(now)
                || !row.health.admits(row.own_in_flight, ignores_failures, now)
            {
                continue;
            }
            let Some(cost) = self.cost(row, query, &view, now) else { continue };
            let free = (1.0 - cost).max(MIN_FREE_SHARE);
            let weight = free.powi(self.policy.free_share_exponent);
            match self.backpressure.room(id, now) {
                SendRoom::Open => weighted.push((weight, id)),
                // A request that was rejected once must not be rejected for a trial.
                SendRoom::Trial if !query.tried.is_empty() => trials.push((weight, id)),
                SendRoom::Trial => weighted.push((weight, id)),
                SendRoom::LastResort if all_leave => last_resorts.push((weight, id)),
                SendRoom::LastResort | SendRoom::Closed => {}
            }
        }
        draw_weighted(&weighted)
            .or_else(|| draw_weighted(&trials))
            .or_else(|| draw_weighted(&last_resorts))
            .map_or(PlacementOutcome::Full, |id| PlacementOutcome::Target(id.clone()))
    }

    /// Whether as many first bytes are pending at this entry as its share of late prefills allows.
    fn at_late_prefill_limit(&self, eligible: &[(&TargetId, &TargetRow)]) -> bool {
        let pending: usize = eligible.iter().map(|(_, row)| row.pending_first_bytes()).sum();
        let limit = eligible.len() as f64 * self.policy.late_prefills * self.entry_share().fraction;
        pending as f64 >= limit.max(1.0)
    }

    /// Whether a service whose targets take no requests now is expected to take some soon: a target
    /// announces itself as ready and its weights are arriving, or this entry started recently and
    /// does not know all targets yet.
    ///
    /// While the origin of the weights is unreachable, the end of the outage cannot be predicted,
    /// and a queued request would wait for 1.5 s without a result; its caller could have retried in
    /// that time. Over a day with such an outage of four seconds, 0.787 of the value of all
    /// requests was earned with waiting and 0.794 without (means of two and three plays of 48 s at
    /// usual load).
    pub fn expects_capacity(&self, service: &ServiceName, now: Instant) -> bool {
        if now.saturating_duration_since(self.started_at) < DISCOVERY_PERIOD {
            return true;
        }
        let ids = self.services.get(service).into_iter().flatten();
        let staying = ids.filter(|id| !self.is_leaving(id));
        let mut rows = staying.filter_map(|id| self.rows.get(id));
        rows.any(|row| {
            row.record.state == TargetState::Ready && !row.stalled && !row.is_silent(now)
        })
    }

    /// Median over the targets of a service of the mean time from sending a request to the first
    /// byte of its answer.
    pub fn median_first_byte(&self, service: &ServiceName, now: Instant) -> Duration {
        let Some(ids) = self.services.get(service) else { return FAST_FIRST_BYTE };
        let rows = self.sample(ids).filter_map(|id| Some((id, self.rows.get(id)?)));
        median_first_byte(&rows.collect::<Vec<_>>(), now)
    }

    /// At most [`MAX_CANDIDATES`] of a service's targets, from a random one on.
    pub(crate) fn sample<'a>(
        &self,
        ids: &'a [TargetId],
    ) -> impl Iterator<Item = &'a TargetId> + use<'a> {
        let count = ids.len().min(MAX_CANDIDATES);
        let start = if ids.len() > count { rand::rng().random_range(0..ids.len()) } else { 0 };
        ids.iter().cycle().skip(start).take(count)
    }

    /// Whether a target takes requests and would start this one on an allowed version.
    fn is_eligible(
        &self,
        row: &TargetRow,
        query: &PlacementQuery<'_>,
        median_first_byte: Duration,
        now: Instant,
    ) -> bool {
        if !row.takes_requests(now) {
            return false;
        }
        let allowed = |model| self.starts_on_allowed_version(row, model, median_first_byte, now);
        query.model.is_none_or(allowed)
    }

    /// The taken share of a target's slots plus its penalties; `None` if it is full for this
    /// request.
    fn cost(
        &self,
        row: &TargetRow,
        query: &PlacementQuery<'_>,
        view: &ServiceView,
        now: Instant,
    ) -> Option<f64> {
        let slots = f64::from(row.record.slots.max(1));
        let load = self.estimated_load(row, view.mean_other_load, now);
        let fill = if query.late { self.policy.late_max_fill } else { self.policy.max_fill };
        if load >= slots * fill || self.at_entry_share(row, query, now) {
            return None;
        }
        let mut cost = load / slots;
        if row.record.zone != self.zone {
            cost += self.policy.cross_zone_penalty;
        }
        if now < row.cold_until {
            cost += self.policy.cold_start_penalty;
        }
        if query.model.and_then(|model| row.held_version(model)) != view.newest_version {
            // A request that was cut off once must not be cut off again.
            let factor = if query.tried.is_empty() { 1.0 } else { RETRY_PENALTY_FACTOR };
            cost += self.policy.old_version_penalty * factor;
        }
        cost += self.policy.slowness_penalty * slowness(row, view.median_first_byte, now);
        cost += row.health.failure_rate();
        Some(cost)
    }

    /// Whether this entry uses its share of an engine's slots, by a fresh load sample. Does not
    /// apply to services without models: they answer within some ten milliseconds, so any sample of
    /// them is stale.
    fn at_entry_share(&self, row: &TargetRow, query: &PlacementQuery<'_>, now: Instant) -> bool {
        let fresh = row.load.filter(|sample| {
            now.saturating_duration_since(sample.at) < self.policy.entry_share_max_age
        });
        let limited = self.policy.limits_entry_share && query.model.is_some();
        limited && fresh.is_some_and(|sample| row.own_in_flight >= sample.own_limit)
    }

    /// Requests estimated at a target: this entry's own are known, the others' follow from the last
    /// load sample.
    fn estimated_load(&self, row: &TargetRow, mean_other_load: f64, now: Instant) -> f64 {
        let own = f64::from(row.own_in_flight);
        // A target without a sample is likely new. Assumed as full as the others, it would get no
        // request and so no sample; assumed empty, every entry would fill it at once.
        let Some(sample) = row.load else { return own + mean_other_load * UNSAMPLED_LOAD_SHARE };
        let others = f64::from(sample.busy.saturating_sub(sample.own));
        let age = now.saturating_duration_since(sample.at);
        let decayed = (age.as_secs_f64() / self.policy.load_decay.as_secs_f64()).min(1.0);
        own + others * (1.0 - decayed) + mean_other_load * decayed
    }
}

/// Time to the first byte up to which no target counts as slow.
const FAST_FIRST_BYTE: Duration = Duration::from_millis(100);
/// Multiple of the median after which a target with a pending first byte seems to hang: in a full
/// service 99 in 100 first bytes come within 3.2 times the median.
const HUNG_FACTOR: u32 = 4;
/// Upper bound of [`slowness`].
const MAX_SLOWNESS: f64 = 3.0;

/// Median of the targets' mean times to the first byte, or [`FAST_FIRST_BYTE`] if none is known.
fn median_first_byte(eligible: &[(&TargetId, &TargetRow)], now: Instant) -> Duration {
    let mut times: Vec<Duration> =
        eligible.iter().filter_map(|(_, row)| row.mean_first_byte(now)).collect();
    if times.is_empty() {
        return FAST_FIRST_BYTE;
    }
    let middle = times.len() / 2;
    *times.select_nth_unstable(middle).1
}

/// By how many medians a target's mean first byte exceeds one and a half times the median.
fn slowness(row: &TargetRow, median: Duration, now: Instant) -> f64 {
    let Some(own) = row.mean_first_byte(now) else { return 0.0 };
    let ratio = own.as_secs_f64() / median.max(FAST_FIRST_BYTE).as_secs_f64();
    (ratio - 1.5).clamp(0.0, MAX_SLOWNESS)
}

/// What the placement of a request compares its targets with.
struct ServiceView {
    /// Mean number of other entries' requests per target.
    mean_other_load: f64,
    /// Median time to the first byte.
    median_first_byte: Duration,
    /// Newest version of the requested model that an eligible target holds.
    newest_version: Option<u64>,
    /// Whether ejections and hangs are ignored.
    ///
    /// When most targets fail, for example because something that they all depend on is down,
    /// ejecting them all would turn a service that answers some requests into one that answers
    /// none. Ejections and hangs are therefore ignored once more than half of the targets are
    /// excluded or at rest.
    ignores_failures: bool,
    /// Whether the links of all targets that the request was not sent to before are slow.
    all_links_slow: bool,
}

impl ServiceView {
    /// Whether a target seems to hang: a first byte has been pending several times as long as the
    /// median.
    ///
    /// Guards against a target that freezes while every entry goes on sending to it until its first
    /// request times out, 1.6 s with an objective of 0.4 s, which costs dozens of late answers per
    /// target. A penalty would not keep requests away while all targets are full.
    fn is_hung(&self, row: &TargetRow, now: Instant) -> bool {
        let limit = self.median_first_byte.max(FAST_FIRST_BYTE) * HUNG_FACTOR;
        !self.ignores_failures
            && row.longest_pending_first_byte(now).is_some_and(|pending| pending > limit)
    }

    /// Whether a target's link is slow while another's is not.
    ///
    /// Guards against requests that queue in front of a slow link, arrive after their callers have
    /// left and are run for no one. A request that was sent cannot be recalled, so it is not sent,
    /// even when all other targets are full: most callers of streams leave before an event arrives
    /// over such a link.
    fn has_slow_link(&self, row: &TargetRow) -> bool {
        !self.all_links_slow && !row.link_delay.is_zero()
    }

    /// The view of the targets that could take the request, beside `resting` ones that have asked
    /// for rest.
    fn of(
        eligible: &[(&TargetId, &TargetRow)],
        resting: usize,
        query: &PlacementQuery<'_>,
        now: Instant,
    ) -> Self {
        let mut untried = eligible.iter().filter(|(id, _)| !query.tried.contains(*id));
        let mut view = Self {
            mean_other_load: mean_other_load(eligible, now),
            median_first_byte: median_first_byte(eligible, now),
            newest_version: query.model.and_then(|model| newest_version(eligible, model)),
            ignores_failures: false,
            all_links_slow: untried.all(|(_, row)| !row.link_delay.is_zero()),
        };
        let excluded = |row: &TargetRow| {
            row.health.is_ejected(now) || view.is_hung(row, now) || view.has_slow_link(row)
        };
        let count = resting + eligible.iter().filter(|(_, row)| excluded(row)).count();
        view.ignores_failures = count * 2 > resting + eligible.len();
        view
    }
}

/// Draws a target at random by the weights.
fn draw_weighted<'a>(weighted: &[(f64, &'a TargetId)]) -> Option<&'a TargetId> {
    let total: f64 = weighted.iter().map(|(weight, _)| weight).sum();
    let mut remaining = rand::rng().random::<f64>() * total;
    let drawn = weighted.iter().find(|(weight, _)| {
        remaining -= weight;
        remaining <= 0.0
    });
    drawn.or(weighted.last()).map(|(_, id)| *id)
}

/// The newest version of a model that any of the targets holds.
fn newest_version(eligible: &[(&TargetId, &TargetRow)], model: &ModelName) -> Option<u64> {
    eligible.iter().filter_map(|(_, row)| row.held_version(model)).max()
}

/// Mean number of other entries' requests per target, over load samples less than a second old.
fn mean_other_load(eligible: &[(&TargetId, &TargetRow)], now: Instant) -> f64 {
    const MAX_AGE: Duration = Duration::from_secs(1);
    let fresh = eligible
        .iter()
        .filter_map(|(_, row)| row.load)
        .filter(|sample| now.saturating_duration_since(sample.at) < MAX_AGE)
        .map(|sample| f64::from(sample.busy.saturating_sub(sample.own)));
    let (count, sum) = fresh.fold((0_u32, 0.0), |(count, sum), others| (count + 1, sum + others));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}

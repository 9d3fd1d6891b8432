//! Places a request: chooses its target, or says why no target gets it.
//!
//! Several entries fill the same targets, each with a view that lags by hundreds of milliseconds.
//! If all of them sent to the emptiest target they would flood it. A target is therefore drawn at
//! random with a weight by its share of free slots ([`PlacementPolicy::free_share_exponent`]), so
//! that what all entries send until the next load sample spreads as the free slots do. Between
//! samples the estimate of the other entries' load at a target decays to the mean of the service.

mod candidates;
mod policy;
mod service_view;

pub use self::policy::PlacementPolicy;

use self::{
    candidates::PlacementCandidates,
    service_view::{FAST_FIRST_BYTE, ServiceView, median_first_byte, slowness},
};
use crate::{
    backpressure::SendRoom,
    regions::AllowedRegions,
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
pub(crate) const DISCOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Factor on [`PlacementPolicy::old_version_penalty`] for a request that was tried before.
const RETRY_PENALTY_FACTOR: f64 = 6.0;

/// Least free share with which a target that has a free slot is weighted.
const MIN_FREE_SHARE: f64 = 0.02;

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
    /// Share of a target's slots that the request leaves to more urgent ones; `None` if no other
    /// priorities are in use at the service.
    pub reserved_share: Option<f64>,
    /// When the caller leaves unless the answer has begun; set only for a further attempt.
    pub first_byte_deadline: Option<Instant>,
    /// Regions whose targets may get the request; `None` for all.
    pub regions: Option<&'a AllowedRegions>,
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

/// Result of a placement, and the permit that another result needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// Where the request goes.
    pub outcome: PlacementOutcome,
    /// The cold target that the request would have gone to with a permit, if one may be asked for
    /// now.
    pub permit_wanted: Option<TargetId>,
}

impl From<PlacementOutcome> for PlacementChoice {
    fn from(outcome: PlacementOutcome) -> Self {
        Self { outcome, permit_wanted: None }
    }
}

impl TargetTable {
    /// Chooses a target for a request at once, by what is known now.
    pub fn choose(&self, query: &PlacementQuery<'_>, now: Instant) -> PlacementOutcome {
        self.choose_with_permits(query, now).outcome
    }

    /// As [`Self::choose`], and names the cold target for which a permit should be asked for.
    pub fn choose_with_permits(&self, query: &PlacementQuery<'_>, now: Instant) -> PlacementChoice {
        let Some(ids) = self.services.get(query.service) else {
            return PlacementOutcome::NoTarget.into();
        };
        let sampled = self.sample_for(ids, query);
        let median = median_first_byte(&sampled, now);
        let eligible: Vec<(&TargetId, &TargetRow)> = sampled
            .into_iter()
            .filter(|(id, row)| {
                !self.backpressure.has_left(id, now) && self.is_eligible(row, query, median, now)
            })
            .collect();
        if eligible.is_empty() {
            return PlacementOutcome::NoTarget.into();
        }
        let (resting, eligible): (Vec<_>, Vec<_>) =
            eligible.into_iter().partition(|(id, _)| self.backpressure.withheld(id, now).is_some());
        if eligible.is_empty() {
            let ends = resting.iter().filter_map(|(id, _)| self.backpressure.rest_end(id));
            let outcome = ends.min().map_or(PlacementOutcome::NoTarget, PlacementOutcome::Resting);
            return outcome.into();
        }
        if query.late && self.at_late_prefill_limit(&eligible) {
            return PlacementOutcome::Full.into();
        }
        let view = ServiceView::of(&eligible, resting.len(), query, now);
        let candidates = self.candidates(&eligible, query, &view, now);
        let permit_wanted = candidates.draw_without_permit().cloned();
        let choices = if self.weighs_cost(query) { self.policy.choices } else { 1 };
        let drawn = candidates.draw(choices);
        let outcome =
            drawn.map_or(PlacementOutcome::Full, |id| PlacementOutcome::Target(id.clone()));
        PlacementChoice { outcome, permit_wanted }
    }

    /// The targets with room for the request that it was not sent to before.
    fn candidates<'a>(
        &self,
        eligible: &[(&'a TargetId, &TargetRow)],
        query: &PlacementQuery<'_>,
        view: &ServiceView,
        now: Instant,
    ) -> PlacementCandidates<'a> {
        let mut candidates = PlacementCandidates::default();
        let all_leave = eligible.iter().all(|(id, _)| self.is_leaving(id));
        let untried = eligible.iter().filter(|(id, _)| !query.tried.contains(*id));
        for (id, row) in untried {
            if !self.may_get(row, query, view, now) {
                continue;
            }
            let Some(cost) = self.cost(row, query, view, now) else { continue };
            let free = (1.0 - cost).max(MIN_FREE_SHARE);
            let weight =
                free.powi(self.policy.free_share_exponent) * self.weight_factor(id, row, query);
            let room = self.backpressure.room(id, now);
            if self.is_cold(row, now) {
                let is_last_resort = room == SendRoom::LastResort && all_leave;
                if is_last_resort || matches!(room, SendRoom::Open | SendRoom::Trial) {
                    candidates.push_cold(self.permits(), weight, id, now);
                }
                continue;
            }
            match room {
                SendRoom::Open => candidates.usual.push((weight, id)),
                // A request that was rejected once must not be rejected for a trial.
                SendRoom::Trial if !query.tried.is_empty() => candidates.trials.push((weight, id)),
                SendRoom::Trial => candidates.usual.push((weight, id)),
                SendRoom::LastResort if all_leave => candidates.last_resorts.push((weight, id)),
                SendRoom::LastResort | SendRoom::Closed => {}
            }
        }
        candidates
    }

    /// Whether placement weighs costs for this request. Services without models answer within some
    /// ten milliseconds, before an entry learns anything of their load.
    fn weighs_cost(&self, query: &PlacementQuery<'_>) -> bool {
        self.policy.weighs_cost && query.model.is_some()
    }

    /// Factor on the weight of a target: by what this entry knows of the prompts that
    /// are read there, and by whether it is one of the few entries that use the target first.
    fn weight_factor(&self, id: &TargetId, row: &TargetRow, query: &PlacementQuery<'_>) -> f64 {
        if !self.weighs_cost(query) {
            return 1.0;
        }
        let prompts = row.own_prompts.as_secs_f64() / self.policy.prompt_window.as_secs_f64();
        let unread = (1.0 + prompts).powi(2).recip();
        let used_first = self.policy.first_entries == 0 || self.is_used_first(id, row);
        if used_first { unread } else { unread * self.policy.other_entries_factor }
    }

    /// Whether a target answers, as far as is known, and its limit leaves room.
    fn may_get(
        &self,
        row: &TargetRow,
        query: &PlacementQuery<'_>,
        view: &ServiceView,
        now: Instant,
    ) -> bool {
        let ignores_failures = view.ignores_failures || !self.policy.ejects;
        let is_hung = self.policy.skips_hung && view.is_hung(row, now);
        !is_hung
            && !view.has_slow_link(row)
            && query.answers_in_time(row, now)
            && row.has_limit_room(now)
            && row.health.admits(row.own_in_flight, ignores_failures, now)
    }

    /// Whether as many first bytes are pending at this entry as its share of late prefills allows.
    fn at_late_prefill_limit(&self, eligible: &[(&TargetId, &TargetRow)]) -> bool {
        let pending: usize = eligible.iter().map(|(_, row)| row.pending_first_bytes()).sum();
        let limit = eligible.len() as f64 * self.policy.late_prefills * self.entry_share().fraction;
        pending as f64 >= limit.max(1.0)
    }

    /// Whether a service whose targets take no requests now is expected to take the request soon: a
    /// target announces itself as ready and its weights are arriving, or this entry started recently and
    /// does not know all targets yet.
    ///
    /// While the origin of the weights is unreachable, the end of the outage cannot be predicted,
    /// and a queued request would wait without a result; its caller could have retried in that time.
    pub fn expects_capacity(&self, query: &PlacementQuery<'_>, now: Instant) -> bool {
        if query.regions.is_some_and(AllowedRegions::is_empty) {
            return false;
        }
        let has_just_started = now.saturating_duration_since(self.started_at) < DISCOVERY_PERIOD;
        if has_just_started || self.awaits_evacuations() {
            return true;
        }
        let ids = self.services.get(query.service).into_iter().flatten();
        let staying = ids.filter(|id| !self.is_leaving(id));
        let rows = staying.filter_map(|id| self.rows.get(id));
        let mut allowed = rows.filter(|row| self.is_in_allowed_zone(row, query));
        allowed.any(|row| {
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

    /// At most [`MAX_CANDIDATES`] targets for a request. Where many targets are in regions or zones that
    /// the request may not go to, they are left out first, or the sample might hold no other.
    fn sample_for<'a>(
        &'a self,
        ids: &'a [TargetId],
        query: &PlacementQuery<'_>,
    ) -> Vec<(&'a TargetId, &'a TargetRow)> {
        let is_partial = query.regions.is_some() || self.evacuations().evacuated_count() > 0;
        let row = |id: &'a TargetId| Some((id, self.rows.get(id)?));
        if ids.len() <= MAX_CANDIDATES || !is_partial {
            return self.sample(ids).filter_map(row).collect();
        }
        let rows = ids.iter().filter_map(row);
        let mut allowed: Vec<_> =
            rows.filter(|(_, row)| self.is_in_allowed_zone(row, query)).collect();
        if allowed.len() > MAX_CANDIDATES {
            let start = rand::rng().random_range(0..allowed.len());
            allowed.rotate_left(start);
            allowed.truncate(MAX_CANDIDATES);
        }
        allowed
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
        if !row.takes_requests(now) || !self.is_in_allowed_zone(row, query) {
            return false;
        }
        let allowed = |model| self.starts_on_allowed_version(row, model, median_first_byte, now);
        query.model.is_none_or(allowed)
    }

    /// Whether the availability zone of a target is in a region that may handle the request, and is
    /// not evacuated.
    pub(crate) fn is_in_allowed_zone(&self, row: &TargetRow, query: &PlacementQuery<'_>) -> bool {
        let zone = &row.record.zone;
        !self.is_closed_zone(zone) && self.regions.allows(zone, query.regions)
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
        let excess = if self.weighs_cost(query) { row.own_excess_work } else { 0.0 };
        let work = (load + excess).max(0.0);
        let fill = match query.reserved_share {
            Some(reserved) => self.policy.max_fill - reserved,
            None if query.late => self.policy.late_max_fill,
            None => self.policy.max_fill,
        };
        if load >= slots * fill || self.at_entry_share(row, query, now) {
            return None;
        }
        let mut cost = work / slots;
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
        cost += self.policy.pace_penalty * row.pace.excess(now);
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

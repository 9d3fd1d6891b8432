//! Placing a request: which target gets it, or why none does.
//!
//! Answers the load pattern of several entries that fill the same targets with views that lag by
//! hundreds of milliseconds. All of them chasing the emptiest target would flood it. A target is
//! therefore drawn at random by the free part of its places ([`PlacementPolicy::free_share_exponent`]), so that
//! what all entries send until the next sample spreads as the free places do; and what an entry
//! does not see of the others' requests fades from the last sample to the service's mean.

use crate::{
    status::{TargetId, TargetState},
    target_table::{TargetRow, TargetTable},
};
use egretseam_proto::{ModelName, ServiceName};
use rand::RngExt;
use std::time::Duration;
use tokio::time::Instant;

/// Most targets compared for one request; beyond it a random part is, so that the cost of a choice
/// does not grow with the service.
const MAX_CANDIDATES: usize = 64;

/// Part of the mean load that a target without a sample is assumed to have.
const UNKNOWN_SHARE: f64 = 0.5;

/// Time after its start within which an entry has heard of all targets: they announce themselves
/// about once a second, and to another control member after a second in vain.
const HEARD_ALL: Duration = Duration::from_secs(3);

/// How much more a request that was tried before is charged for a target that will soon switch.
const RESUMED_CHARGE: f64 = 6.0;

/// Least free part that a target counts with while it has a place at all.
const LEAST_FREE: f64 = 0.02;

/// Weights of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Requests that a target may hold, as a multiple of its places.
    pub max_fill: f64,
    /// The same for requests that are late already.
    pub late_max_fill: f64,
    /// Prompts of requests that are late already which targets may have to read at a time, for each
    /// target; an entry keeps to its part of them.
    ///
    /// Answers the load pattern after an outage: hundreds that were held go to engines that stand
    /// empty. An engine reads all that it admits in one pass, so that of a dozen at once nobody has
    /// its first event in less than 0.4 s, new requests among them.
    pub late_prefills: f64,
    /// Load that a target in another availability zone is charged, in parts of its places.
    pub cross_zone_penalty: f64,
    /// Power of the free part of a target's places by which it is drawn: 0 draws evenly, 1 fills
    /// all alike, more favours the emptier ones but lets entries with the same view flood them.
    pub free_share_exponent: i32,
    /// Time in which a sample of the others' load fades to the mean.
    pub load_decay: Duration,
    /// How long an entry keeps to its part of an engine's places after a sample.
    pub entry_share_max_age: Duration,
    /// Load that a target is charged while others hold a newer version: it will soon switch, and
    /// what runs there is then cut off or waited for.
    pub old_version_penalty: f64,
    /// Load that a target is charged for each time that its first bytes take as long again as
    /// usual in its service: a slow process, or a link that others have filled.
    pub slowness_penalty: f64,
    /// Load that a target which started a moment ago is charged.
    pub cold_start_penalty: f64,
    /// Whether each entry keeps to its part of an engine's places.
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
            limits_entry_share: true,
            skips_hung: true,
            ejects: true,
        }
    }
}

/// What a request needs of its target.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Model, where the service has engines.
    pub model: Option<&'a ModelName>,
    /// Targets that have had it already.
    pub tried: &'a [TargetId],
    /// Whether it is late already, so that it leaves the last places to others.
    pub late: bool,
    /// When its caller leaves, if its answer has not begun: only asked for where another target had
    /// it before.
    pub first_byte_deadline: Option<Instant>,
}

impl PlacementQuery<'_> {
    /// Whether a target is likely to answer before the caller leaves.
    ///
    /// Failure guarded: a request that one target did not answer goes to another whose link is
    /// narrowed, arrives there seconds later and is run for a caller that has left. What is on its
    /// way cannot be recalled, so it is not sent.
    fn is_in_time(&self, row: &TargetRow, now: Instant) -> bool {
        let left = self
            .first_byte_deadline
            .map(|first_byte_deadline| first_byte_deadline.saturating_duration_since(now));
        left.is_none_or(|left| row.begins_within(left, now))
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// To this target.
    Target(TargetId),
    /// Nowhere now: every target that could take it is full, ejected or paused.
    Full,
    /// Nowhere: no target of the service can take it at all.
    NoTarget,
}

impl TargetTable {
    /// Chooses a target. Decided on arrival; nothing waits for a tick.
    pub fn choose(&self, need: &PlacementQuery<'_>, now: Instant) -> PlacementOutcome {
        let Some(ids) = self.services.get(need.service) else { return PlacementOutcome::NoTarget };
        let sampled: Vec<(&TargetId, &TargetRow)> =
            self.sample(ids).filter_map(|id| Some((id, self.rows.get(id)?))).collect();
        let usual = median_first_byte(&sampled, now);
        let able: Vec<(&TargetId, &TargetRow)> =
            sampled.into_iter().filter(|(_, row)| self.is_able(row, need, usual, now)).collect();
        if able.is_empty() {
            return PlacementOutcome::NoTarget;
        }
        if need.late && self.reads_enough(&able) {
            return PlacementOutcome::Full;
        }
        let view = ServiceView::of(&able, need, now);
        let untried = able.iter().filter(|(id, _)| !need.tried.contains(*id));
        let mut weighted: Vec<(f64, &TargetId)> = Vec::new();
        for (id, row) in untried {
            let spared = view.spared || !self.policy.ejects;
            let hangs = self.policy.skips_hung && view.hangs(row, now);
            if hangs
                || view.is_behind_narrow_link(row)
                || !need.is_in_time(row, now)
                || !row.health.admits(row.own_in_flight, spared, now)
            {
                continue;
            }
            let Some(cost) = self.cost(row, need, &view, now) else { continue };
            let free = (1.0 - cost).max(LEAST_FREE);
            weighted.push((free.powi(self.policy.free_share_exponent), id));
        }
        draw(&weighted).map_or(PlacementOutcome::Full, |id| PlacementOutcome::Target(id.clone()))
    }

    /// Whether this entry awaits as many first bytes as are its part for requests that are late.
    fn reads_enough(&self, able: &[(&TargetId, &TargetRow)]) -> bool {
        let awaited: usize = able.iter().map(|(_, row)| row.awaited_count()).sum();
        let part = able.len() as f64 * self.policy.late_prefills * self.own_part().share;
        awaited as f64 >= part.max(1.0)
    }

    /// Whether a service whose targets can take nothing now is expected to take requests soon: some
    /// target announces itself as ready and its weights are on their way, or this entry started a
    /// moment ago and has not heard of all targets yet.
    ///
    /// While the origin of weights is gone no end is in sight, and who is held then waits in vain for
    /// 1.5 s of the time in which it could have come back. Of the value of all requests of
    /// a day with such an outage of four seconds 0.787 was earned with waiting and 0.794 without (means
    /// of two and three plays of 48 s at usual load).
    pub fn expects_capacity(&self, service: &ServiceName, now: Instant) -> bool {
        if now.saturating_duration_since(self.started_at) < HEARD_ALL {
            return true;
        }
        let ids = self.services.get(service).into_iter().flatten();
        let mut rows = ids.filter_map(|id| self.rows.get(id));
        rows.any(|row| {
            row.record.state == TargetState::Ready && !row.stalled && !row.is_silent(now)
        })
    }

    /// The usual time from sending a request of a service on to the first byte of its answer.
    pub fn median_first_byte(&self, service: &ServiceName, now: Instant) -> Duration {
        let Some(ids) = self.services.get(service) else { return QUICK };
        let rows = self.sample(ids).filter_map(|id| Some((id, self.rows.get(id)?)));
        median_first_byte(&rows.collect::<Vec<_>>(), now)
    }

    fn sample<'a>(&self, ids: &'a [TargetId]) -> impl Iterator<Item = &'a TargetId> + use<'a> {
        let count = ids.len().min(MAX_CANDIDATES);
        let start = if ids.len() > count { rand::rng().random_range(0..ids.len()) } else { 0 };
        ids.iter().cycle().skip(start).take(count)
    }

    fn is_able(
        &self,
        row: &TargetRow,
        need: &PlacementQuery<'_>,
        median_first_byte: Duration,
        now: Instant,
    ) -> bool {
        if row.record.state != TargetState::Ready || row.loading || row.is_silent(now) {
            return false;
        }
        let allowed = |model| self.begins_allowed(row, model, median_first_byte, now);
        need.model.is_none_or(allowed)
    }

    /// The taken part of a target's places and what it is charged besides; `None` if it is full.
    fn cost(
        &self,
        row: &TargetRow,
        need: &PlacementQuery<'_>,
        view: &ServiceView,
        now: Instant,
    ) -> Option<f64> {
        let slots = f64::from(row.record.slots.max(1));
        let load = self.expected_load(row, view.mean_others, now);
        let fill = if need.late { self.policy.late_max_fill } else { self.policy.max_fill };
        if load >= slots * fill || self.has_its_part(row, need, now) {
            return None;
        }
        let mut cost = load / slots;
        if row.record.zone != self.zone {
            cost += self.policy.cross_zone_penalty;
        }
        if now < row.cold_until {
            cost += self.policy.cold_start_penalty;
        }
        if need.model.and_then(|model| row.held_version(model)) != view.newest {
            // What was cut off once must not be cut off again.
            let times = if need.tried.is_empty() { 1.0 } else { RESUMED_CHARGE };
            cost += self.policy.old_version_penalty * times;
        }
        cost += self.policy.slowness_penalty * slowness(row, view.median_first_byte, now);
        cost += row.health.failure_rate();
        Some(cost)
    }

    /// Whether this entry has its part of an engine's places, by a sample that is fresh. Plain
    /// services answer within some ten milliseconds, so that any sample of them is stale.
    fn has_its_part(&self, row: &TargetRow, need: &PlacementQuery<'_>, now: Instant) -> bool {
        let fresh = row.load.filter(|sample| {
            now.saturating_duration_since(sample.at) < self.policy.entry_share_max_age
        });
        let shares = self.policy.limits_entry_share && need.model.is_some();
        shares && fresh.is_some_and(|sample| row.own_in_flight >= sample.granted)
    }

    /// Requests expected at the target: this entry's own exactly, the others' by the last sample.
    fn expected_load(&self, row: &TargetRow, mean: f64, now: Instant) -> f64 {
        let own = f64::from(row.own_in_flight);
        // A target that was never sampled is likely new: assumed full like the others, it would get
        // no request and so no sample; assumed empty, every entry would fill it at once.
        let Some(sample) = row.load else { return own + mean * UNKNOWN_SHARE };
        let others = f64::from(sample.busy.saturating_sub(sample.own));
        let age = now.saturating_duration_since(sample.at);
        let faded = (age.as_secs_f64() / self.policy.load_decay.as_secs_f64()).min(1.0);
        own + others * (1.0 - faded) + mean * faded
    }
}

/// Times to the first byte below which nobody counts as slow.
const QUICK: Duration = Duration::from_millis(100);
/// How many times the usual a first byte may take before its target seems to hang: in a full service
/// 99 in 100 come within 3.2 times the middle one.
const HANGING_TIMES: u32 = 4;
/// How many times the usual a target may be charged for.
const MOST_SLOWNESS: f64 = 3.0;

/// The time to the first byte at the middle target.
fn median_first_byte(able: &[(&TargetId, &TargetRow)], now: Instant) -> Duration {
    let mut times: Vec<Duration> = able.iter().filter_map(|(_, row)| row.first_byte(now)).collect();
    if times.is_empty() {
        return QUICK;
    }
    let middle = times.len() / 2;
    *times.select_nth_unstable(middle).1
}

/// How many times longer than usual a target takes, beyond one and a half times.
fn slowness(row: &TargetRow, usual: Duration, now: Instant) -> f64 {
    let Some(own) = row.first_byte(now) else { return 0.0 };
    let times = own.as_secs_f64() / usual.max(QUICK).as_secs_f64();
    (times - 1.5).clamp(0.0, MOST_SLOWNESS)
}

/// What the targets of a service have in common at one moment.
struct ServiceView {
    /// The others' requests at a mean target.
    mean_others: f64,
    /// Time to the first byte at the middle target.
    median_first_byte: Duration,
    /// Newest version of the wanted model.
    newest: Option<u64>,
    /// Whether ejections and hangs do not count.
    ///
    /// Failure guarded: when most targets fail, for example for want of something behind them,
    /// ejecting them all would turn a service that answers some requests into one that answers
    /// none. Beyond half of the targets ejections and hangs do not count.
    spared: bool,
    /// Whether the links of all targets that a request has not tried are narrow.
    all_narrow: bool,
}

impl ServiceView {
    /// Whether a target seems to hang: a request awaits its first byte several times as long as
    /// usual.
    ///
    /// Failure guarded: a target freezes, and every entry goes on sending to it until the first
    /// request has been waited for in vain, 1.6 s with an objective of 0.4 s. It shows as dozens of
    /// late answers for each target. A charge would not keep them away while all are full.
    fn hangs(&self, row: &TargetRow, now: Instant) -> bool {
        let limit = self.median_first_byte.max(QUICK) * HANGING_TIMES;
        !self.spared && row.longest_awaited(now).is_some_and(|awaited| awaited > limit)
    }

    /// Whether a target's link is narrow while another's is not.
    ///
    /// Failure guarded: requests queue before a narrowed link, arrive when their callers have left, and
    /// are run for nobody. What is on its way cannot be recalled, so it is not sent, also when the other
    /// targets are full: most callers of streams leave before an event comes over such a link.
    fn is_behind_narrow_link(&self, row: &TargetRow) -> bool {
        !self.all_narrow && !row.link_delay.is_zero()
    }

    fn of(able: &[(&TargetId, &TargetRow)], need: &PlacementQuery<'_>, now: Instant) -> Self {
        let mut untried = able.iter().filter(|(id, _)| !need.tried.contains(*id));
        let mut view = Self {
            mean_others: mean_of_others(able, now),
            median_first_byte: median_first_byte(able, now),
            newest: need.model.and_then(|model| newest_version(able, model)),
            spared: false,
            all_narrow: untried.all(|(_, row)| !row.link_delay.is_zero()),
        };
        let left_out = |row: &TargetRow| {
            row.health.is_ejected(now) || view.hangs(row, now) || view.is_behind_narrow_link(row)
        };
        let count = able.iter().filter(|(_, row)| left_out(row)).count();
        view.spared = count * 2 > able.len();
        view
    }
}

/// Draws one of several by their weights.
fn draw<'a>(weighted: &[(f64, &'a TargetId)]) -> Option<&'a TargetId> {
    let total: f64 = weighted.iter().map(|(weight, _)| weight).sum();
    let mut left = rand::rng().random::<f64>() * total;
    let drawn = weighted.iter().find(|(weight, _)| {
        left -= weight;
        left <= 0.0
    });
    drawn.or(weighted.last()).map(|(_, id)| *id)
}

/// The newest version of a model that any of the targets holds.
fn newest_version(able: &[(&TargetId, &TargetRow)], model: &ModelName) -> Option<u64> {
    able.iter().filter_map(|(_, row)| row.held_version(model)).max()
}

/// The others' requests at a mean target, from samples less than a second old.
fn mean_of_others(able: &[(&TargetId, &TargetRow)], now: Instant) -> f64 {
    const FRESH: Duration = Duration::from_secs(1);
    let fresh = able
        .iter()
        .filter_map(|(_, row)| row.load)
        .filter(|sample| now.saturating_duration_since(sample.at) < FRESH)
        .map(|sample| f64::from(sample.busy.saturating_sub(sample.own)));
    let (count, sum) = fresh.fold((0_u32, 0.0), |(count, sum), others| (count + 1, sum + others));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}

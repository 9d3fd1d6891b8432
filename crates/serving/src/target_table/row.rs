//! One target as an entry sees it.

use super::{cold::ColdTimes, limits::TargetLimit};
use crate::{
    health::TargetHealth,
    status::{EngineStatus, HeldModel, Incarnation, TargetRecord, TargetState, TargetStatus},
    target_pace::TargetPace,
};
use egretseam_proto::ModelName;
use indexmap::IndexMap;
use std::{cell::Cell, collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// How long a target counts as alive if it is known only through a control member that restarted or
/// was lost.
/// Targets announce themselves about once a second, so a live one announces itself well within it.
const RESTART_GRACE: Duration = Duration::from_secs(4);
/// Weight of the newest answer in the moving average of the time to the first byte.
const FIRST_BYTE_WEIGHT: f64 = 0.35;
/// Age of its last answer up to which the mean time to the first byte is used.
const FIRST_BYTE_MAX_AGE: Duration = Duration::from_secs(3);
/// Age up to which a slow first byte counts against a target with old weights and against a further
/// attempt there: about as long as a link stays disturbed, and longer than an entry sends nothing
/// to a target that it finds slow.
const SLOW_FIRST_BYTE_MAX_AGE: Duration = Duration::from_secs(8);
/// Span of [`TargetRow::own_history`]; longer than any load sample is old.
const OWN_HISTORY_SPAN: Duration = Duration::from_secs(1);

/// Load of a target at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that it ran or had queued, from all entries.
    pub busy: u32,
    /// Requests of this entry among them, as far as this entry knows.
    pub own: u32,
    /// When the load was measured.
    pub at: Instant,
    /// How many requests of its own this entry may have there by this sample; see
    /// [`crate::TargetTable::set_entry_count`].
    pub own_limit: u32,
}

/// Share of a target's slots that one entry may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryShare {
    /// Requests that a target may hold, as a multiple of its slots.
    pub(super) max_fill: f64,
    /// This entry's fraction of the free slots.
    pub(crate) fraction: f64,
}

impl EntryShare {
    /// How many requests of its own an entry may have at a target where `busy` of `slots` slots are
    /// taken, `own` of them by this entry: as many as it has, and its share of the free ones. A
    /// fractional limit is rounded up or down at random, so that the entries together use what is
    /// free. At a target with too many requests, every entry's limit is the same fraction of the
    /// requests that it has there.
    fn own_limit(self, slots: f64, busy: u32, own: u32) -> u32 {
        let (busy, own) = (f64::from(busy), f64::from(own));
        let own_limit =
            if busy <= slots { own + (slots - busy) * self.fraction } else { own * slots / busy };
        let rounding = f64::from(rand::random_bool(own_limit.fract()));
        (own_limit.floor() + rounding) as u32
    }
}

/// What one control member reports about a target's announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Liveness {
    /// The target announces itself.
    Alive,
    /// The announcements have stopped.
    Silent,
    /// The member restarted or was lost at this moment and has not reported the target since.
    Unconfirmed(Instant),
}

/// State of one target.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) record: TargetRecord,
    pub(crate) models: Vec<HeldModel>,
    /// When the state that `models` shows was announced or reported.
    models_reported_at: Instant,
    /// What the agent at this target's address last reported, if one has.
    agent_models: Option<Vec<HeldModel>>,
    /// What the agent reported before this incarnation announced itself, without these weights.
    former_models: Option<Vec<HeldModel>>,
    /// When this incarnation was first heard of.
    pub(super) first_seen_at: Instant,
    /// When the target last announced itself, as control members pass it on.
    pub(super) last_heard_at: Instant,
    /// Whether the engine is loading weights and accepts no request.
    pub(crate) loading: bool,
    /// Whether the engine lacks wanted weights and its agent receives no more chunks of them.
    pub(crate) stalled: bool,
    /// Delay of requests on the instance's link, as the agent reports it; zero unless the link is
    /// slow.
    pub(crate) link_delay: Duration,
    /// End of the time after its start in which the target is slow.
    pub(crate) cold_until: Instant,
    /// When requests need a permit, if the service limits its cold targets.
    pub(super) cold: ColdTimes,
    pub(crate) own_in_flight: u32,
    /// By how much the work of this entry's requests there exceeds that of as many usual ones.
    pub(crate) own_excess_work: f64,
    /// Engine time of the prompts of this entry's requests whose first byte is pending.
    pub(crate) own_prompts: Duration,
    /// Whether this entry uses the target first, for the list of entries with this epoch.
    pub(super) used_first: Cell<Option<(u64, bool)>>,
    /// This entry's requests there over the last second, for load samples that arrive late.
    pub(super) own_history: VecDeque<(Instant, u32)>,
    pub(crate) load: Option<LoadSample>,
    /// How fast the target works, as it says itself.
    pub(crate) pace: TargetPace,
    /// The limit that the target names, if it does.
    pub(super) limit: Option<TargetLimit>,
    /// When the target last said whether it has a limit.
    pub(super) limit_heard_at: Option<Instant>,
    pub(crate) health: TargetHealth,
    /// Moving average of the time to the first byte of an answer, and when it was last updated.
    pub(super) mean_first_byte: Option<(Duration, Instant)>,
    /// The longest recent time to the first byte, and when it was recorded.
    pub(super) slowest_first_byte: Option<(Duration, Instant)>,
    /// When the requests were sent whose first byte is pending.
    pub(super) pending_sent_at: Vec<Instant>,
    /// Liveness by control member.
    pub(super) liveness: IndexMap<u32, Liveness>,
}

impl TargetRow {
    pub(super) fn new(status: &TargetStatus, entry_started_at: Instant, now: Instant) -> Self {
        let reported_at = instant_at_age(status.age_millis, now);
        Self {
            record: status.record.clone(),
            models: status.record.models.clone(),
            models_reported_at: reported_at,
            agent_models: None,
            former_models: None,
            first_seen_at: reported_at,
            last_heard_at: reported_at,
            loading: false,
            stalled: false,
            link_delay: Duration::ZERO,
            cold_until: reported_at,
            cold: ColdTimes::new(status, entry_started_at, now),
            own_in_flight: 0,
            own_excess_work: 0.0,
            own_prompts: Duration::ZERO,
            used_first: Cell::new(None),
            own_history: VecDeque::new(),
            load: None,
            pace: TargetPace::default(),
            limit: None,
            limit_heard_at: None,
            health: TargetHealth::default(),
            mean_first_byte: None,
            slowest_first_byte: None,
            pending_sent_at: Vec::new(),
            liveness: IndexMap::new(),
        }
    }

    /// Whether the target accepts requests, as far as is known.
    pub(crate) fn takes_requests(&self, now: Instant) -> bool {
        self.record.state == TargetState::Ready && !self.loading && !self.is_silent(now)
    }

    /// Whether the limit that the target names, if it does, leaves room for a request of this entry.
    pub(crate) fn has_limit_room(&self, now: Instant) -> bool {
        self.limit.as_ref().is_none_or(|limit| limit.pacer.admits(now))
    }

    /// Whether each control member that knows the target reports it as silent, or restarted or was
    /// lost more than [`RESTART_GRACE`] ago and has not reported it since. False if none knows it.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        let silent = |liveness: &Liveness| match liveness {
            Liveness::Alive => false,
            Liveness::Silent => true,
            Liveness::Unconfirmed(since) => now.saturating_duration_since(*since) > RESTART_GRACE,
        };
        !self.liveness.is_empty() && self.liveness.values().all(silent)
    }

    /// Drops what a lost control member reported, or marks it as unconfirmed if no other member
    /// reports the target as alive.
    pub(super) fn lose_source(&mut self, source: u32, now: Instant) {
        let lost = self.liveness.shift_remove(&source);
        let is_confirmed = self.liveness.values().any(|liveness| *liveness == Liveness::Alive);
        if lost == Some(Liveness::Alive) && !is_confirmed {
            self.liveness.insert(source, Liveness::Unconfirmed(now));
        }
    }

    /// Applies the models that the target announces.
    ///
    /// Guards against responses from corrupted weights. An engine accepts an order late, on chunks
    /// that have been corrupted meanwhile, announces the new version, and its agent has not checked
    /// that load yet or has ended. Only agents order engines to load, so where one has reported on
    /// this engine, weights that it has not reported are not used.
    pub(super) fn apply_announced_models(&mut self, announced: &[HeldModel], reported_at: Instant) {
        if reported_at < self.models_reported_at {
            return;
        }
        self.former_models.take_if(|former| former.iter().all(|held| announced.contains(held)));
        let is_reported = |held: &&HeldModel| {
            self.agent_models.as_ref().is_none_or(|models| models.contains(held))
        };
        self.models = announced.iter().filter(is_reported).cloned().collect();
        self.models_reported_at = reported_at;
    }

    /// When the state was announced or reported by which the target's models are known.
    pub(super) fn models_reported_at(&self) -> Instant {
        self.models_reported_at
    }

    /// Sets what the agent at this target's address had reported when the target was first heard of.
    ///
    /// Guards against responses from corrupted weights. A report on the engine's previous
    /// incarnation may seem to be later than the announcement of this one, which holds nothing yet:
    /// a control member stood still while both were on their way. It would count for whatever this
    /// incarnation loads. So the same report counts only once the target announces the weights too,
    /// or the agent has reported something else.
    pub(super) fn set_former_report(&mut self, status: &EngineStatus) {
        let is_held = |held: &HeldModel| self.record.models.contains(held);
        if !status.models.is_empty() && !status.models.iter().all(is_held) {
            self.agent_models = Some(status.models.clone());
            self.former_models = Some(status.models.clone());
        }
    }

    /// Applies what an agent reports on the engine at this target's address.
    ///
    /// Guards against taking the state of one incarnation of an engine for that of another: an
    /// engine that restarts under its name holds no weights, and would reject the requests sent to
    /// it. Where both incarnations are stated they must be equal; a later one at the address means
    /// that this one holds nothing any more.
    pub(super) fn apply_engine(&mut self, status: &EngineStatus, seen_at: Instant) {
        let own = self.record.id.incarnation;
        let stated = own != Incarnation::UNSTATED && status.incarnation != Incarnation::UNSTATED;
        if stated && status.incarnation < own {
            return;
        }
        let replaced = stated && status.incarnation > own;
        if self.former_models.as_ref() == Some(&status.models) && !status.loading {
            return;
        }
        self.former_models = None;
        let models = if replaced { Vec::new() } else { status.models.clone() };
        self.agent_models = Some(models.clone());
        if seen_at >= self.models_reported_at {
            self.models = models;
            self.models_reported_at = seen_at;
        } else {
            self.models.retain(|held| models.contains(held));
        }
        self.loading = status.loading;
        self.stalled = status.stalled;
        self.link_delay = Duration::from_millis(status.link_delay_millis);
        if status.link_delay_millis > 0 {
            self.record_slow_first_byte(Duration::from_millis(status.link_delay_millis), seen_at);
        }
    }

    /// Records the time to the first byte of an answer.
    pub(super) fn record_first_byte(&mut self, took: Duration, now: Instant) {
        let mean = match self.mean_first_byte {
            Some((mean, _)) => {
                mean.mul_f64(1.0 - FIRST_BYTE_WEIGHT) + took.mul_f64(FIRST_BYTE_WEIGHT)
            }
            None => took,
        };
        self.mean_first_byte = Some((mean, now));
        self.record_slow_first_byte(took, now);
    }

    /// Keeps a time to the first byte if it is the longest recent one.
    pub(super) fn record_slow_first_byte(&mut self, took: Duration, now: Instant) {
        if self.slowest_first_byte(now).is_none_or(|slowest| took >= slowest) {
            self.slowest_first_byte = Some((took, now));
        }
    }

    /// Whether an answer is likely to begin within `limit`: the link is not slow, and no recent
    /// first byte took longer.
    pub(crate) fn answers_within(&self, limit: Duration, now: Instant) -> bool {
        self.link_delay.is_zero()
            && self.slowest_first_byte(now).is_none_or(|slowest| slowest <= limit)
    }

    /// The longest recent time to the first byte, including pending ones.
    pub(super) fn slowest_first_byte(&self, now: Instant) -> Option<Duration> {
        let fresh = |at: Instant| now.saturating_duration_since(at) < SLOW_FIRST_BYTE_MAX_AGE;
        let recorded = self.slowest_first_byte.filter(|(_, at)| fresh(*at)).map(|(took, _)| took);
        recorded.max(self.longest_pending_first_byte(now))
    }

    /// Mean time to the first byte, if it was updated recently. An old one is dropped, so that a
    /// target that was slow is tried again.
    pub(crate) fn mean_first_byte(&self, now: Instant) -> Option<Duration> {
        let (mean, at) = self.mean_first_byte?;
        (now.saturating_duration_since(at) < FIRST_BYTE_MAX_AGE).then_some(mean)
    }

    /// How long the earliest request whose first byte is pending has been waiting for it.
    pub(crate) fn longest_pending_first_byte(&self, now: Instant) -> Option<Duration> {
        let first = self.pending_sent_at.iter().min()?;
        Some(now.saturating_duration_since(*first))
    }

    /// Number of requests of this entry whose first byte is pending.
    pub(crate) fn pending_first_bytes(&self) -> usize {
        self.pending_sent_at.len()
    }

    pub(super) fn stop_awaiting(&mut self, sent_at: Instant) {
        if let Some(at) = self.pending_sent_at.iter().position(|pending| *pending == sent_at) {
            self.pending_sent_at.swap_remove(at);
        }
    }

    /// Adds the current number of this entry's requests to the history.
    pub(super) fn record_own_in_flight(&mut self, now: Instant) {
        self.own_history.push_back((now, self.own_in_flight));
        while self.own_history.len() > 1
            && now.saturating_duration_since(self.own_history[1].0) > OWN_HISTORY_SPAN
        {
            self.own_history.pop_front();
        }
    }

    /// Number of this entry's requests there at an earlier moment.
    pub(super) fn own_in_flight_at(&self, moment: Instant) -> u32 {
        let before = self.own_history.iter().rev().find(|(at, _)| *at <= moment);
        before.map_or(0, |(_, own)| *own)
    }

    /// Records a load sample unless a later one is known. The sample keeps apart how many of its
    /// requests were this entry's own at that moment, so that own requests sent since then are
    /// counted and earlier ones are not counted twice.
    pub(super) fn record_load(&mut self, busy: u32, measured_at: Instant, share: EntryShare) {
        // A sample from before this incarnation was heard of may be the earlier one's at the same
        // address.
        if measured_at < self.first_seen_at || self.load.is_some_and(|held| held.at > measured_at) {
            return;
        }
        let own = self.own_in_flight_at(measured_at);
        let slots = f64::from(self.record.slots.max(1)) * share.max_fill;
        let own_limit = share.own_limit(slots, busy, own);
        self.load = Some(LoadSample { busy, own, at: measured_at, own_limit });
    }

    pub(crate) fn held_version(&self, model: &ModelName) -> Option<u64> {
        let held = self.models.iter().find(|held| held.model == *model);
        held.map(|held| held.version)
    }
}

/// The moment that was `age_millis` before `now`.
pub(super) fn instant_at_age(age_millis: u64, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(age_millis)).unwrap_or(now)
}

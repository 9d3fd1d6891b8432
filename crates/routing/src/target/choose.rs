//! Choosing a target for one request.

use super::{TargetRow, TargetTable};
use crate::prefix::{PrefixIndex, PrefixKey};
use egretseam_proto::{
    FailureReport, GroupName, Incarnation, InstanceName, ManifestId, RefusalReason, ZoneName,
};
use std::time::Duration;

/// How targets are chosen. All but the first are baselines for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// The cheapest of a few random candidates; prompt beginnings kept together while loads allow.
    Balanced,
    /// Each in turn.
    RoundRobin,
    /// Fewest requests of this entry in progress.
    LeastInFlight,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Group of the service's profile.
    pub group: &'a GroupName,
    /// Zone of this entry.
    pub zone: &'a ZoneName,
    /// Exact weights, where an answer must go on as it began.
    pub manifest: Option<ManifestId>,
    /// Targets already tried.
    pub exclude: &'a [InstanceName],
    /// Most requests at one target.
    pub max_in_flight: u32,
    /// Beginning of the prompt.
    pub prefix: &'a PrefixKey,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// The target.
    pub target: InstanceName,
    /// Run of its agent.
    pub incarnation: Incarnation,
    /// `host:port` of its agent's gate.
    pub address: String,
    /// Weights that it serves from.
    pub manifest: Option<ManifestId>,
    /// Whether it is in another availability zone.
    pub cross_zone: bool,
}

/// Random candidates that are compared.
const CANDIDATES: usize = 4;
/// How much dearer a target in another zone is.
const CROSS_ZONE_COST: f64 = 1.5;
/// How much above the mean load a cache holder may be and still be preferred.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Requests above the mean load that are always tolerated for a cache holder.
const AFFINITY_SLACK: f64 = 2.0;
/// Smallest part that a starting target takes.
const FIRST_PART: f64 = 0.1;
/// Floor under the smoothed first byte, so that an idle target's zero does not attract everything.
const FIRST_BYTE_FLOOR: f64 = 0.002;

impl TargetTable {
    /// Chooses a target; the caller reports the request's start and end.
    ///
    /// # Errors
    /// Refuses when no target serves the group, or all are at their limit.
    pub fn choose(
        &mut self,
        query: &ChoiceQuery<'_>,
        index: &PrefixIndex,
        now: Duration,
    ) -> Result<TargetChoice, FailureReport> {
        let serving = self.serving(query, now);
        if serving.is_empty() {
            let detail = format!("no target of group {} is in service", query.group);
            return Err(FailureReport::not_run(RefusalReason::NoTarget, detail));
        }
        let open: Vec<usize> = serving.into_iter().filter(|at| self.has_room(*at, query)).collect();
        if open.is_empty() {
            let detail = format!("all targets of group {} are at their limit", query.group);
            return Err(FailureReport::not_run(RefusalReason::Overloaded, detail));
        }
        let at = match self.options.policy {
            ChoicePolicy::RoundRobin => self.next_in_turn(&open),
            ChoicePolicy::LeastInFlight => self.least_in_flight(&open),
            ChoicePolicy::Balanced => self.balanced(&open, query, index, now),
        };
        let row = &self.rows[at];
        Ok(TargetChoice {
            target: row.report.target.clone(),
            incarnation: row.report.incarnation,
            address: row.report.address.clone(),
            manifest: row.report.serving.as_ref().map(|serving| serving.manifest),
            cross_zone: row.report.zone != *query.zone,
        })
    }

    /// Live targets that fit. Ejected ones are left out unless that would leave too few: when half
    /// a group fails, the cause is more likely shared than theirs, and sending everything to the
    /// other half would break that too.
    fn serving(&self, query: &ChoiceQuery<'_>, now: Duration) -> Vec<usize> {
        let fits = |row: &TargetRow| {
            let manifest = row.report.serving.as_ref().map(|serving| serving.manifest);
            row.report.group == *query.group
                && self.is_live(row, now)
                && (query.manifest.is_none() || query.manifest == manifest)
        };
        let all: Vec<usize> = (0..self.rows.len()).filter(|at| fits(&self.rows[*at])).collect();
        let kept = |at: &usize| self.rows[*at].ejected_until <= now;
        let sound: Vec<usize> = all.iter().copied().filter(kept).collect();
        let floor = all.len() as f64 * (1.0 - self.options.max_ejected_ratio);
        let chosen = if (sound.len() as f64) < floor || sound.is_empty() { all } else { sound };
        let tried = |at: &usize| query.exclude.contains(&self.rows[*at].report.target);
        chosen.into_iter().filter(|at| !tried(at)).collect()
    }

    fn has_room(&self, at: usize, query: &ChoiceQuery<'_>) -> bool {
        let row = &self.rows[at];
        f64::from(row.own) < row.limit.min(self.own_part(row, query.max_in_flight).ceil())
    }

    fn next_in_turn(&mut self, open: &[usize]) -> usize {
        self.turn += 1;
        open[self.turn as usize % open.len()]
    }

    fn least_in_flight(&mut self, open: &[usize]) -> usize {
        self.turn += 1;
        let turn = self.turn as usize;
        let order = (0..open.len()).map(|step| open[(turn + step) % open.len()]);
        order.min_by_key(|at| self.rows[*at].own).unwrap_or(open[0])
    }

    fn balanced(
        &mut self,
        open: &[usize],
        query: &ChoiceQuery<'_>,
        index: &PrefixIndex,
        now: Duration,
    ) -> usize {
        if let Some(at) = self.cache_holder(open, query, index, now) {
            return at;
        }
        let is_near = |at: &usize| self.rows[*at].report.zone == *query.zone;
        let (near, far): (Vec<usize>, Vec<usize>) = open.iter().copied().partition(is_near);
        let first = self.cheapest_of_few(&near, query, now);
        match first {
            Some(at) if !self.is_crowded(at, query) => at,
            Some(near) => match self.cheapest_of_few(&far, query, now) {
                Some(far) if self.cost(far, query, now) < self.cost(near, query, now) => far,
                _ => near,
            },
            None => self.cheapest_of_few(open, query, now).unwrap_or(open[0]),
        }
    }

    fn is_crowded(&self, at: usize, query: &ChoiceQuery<'_>) -> bool {
        self.load(at) / f64::from(query.max_in_flight) > self.options.spillover_threshold
    }

    /// A target that probably has the prompt's beginning, if its load is near the others'.
    fn cache_holder(
        &self,
        open: &[usize],
        query: &ChoiceQuery<'_>,
        index: &PrefixIndex,
        now: Duration,
    ) -> Option<usize> {
        let first = query.prefix.first_block()?;
        let mean = open.iter().map(|at| self.load(*at)).sum::<f64>() / open.len() as f64;
        let bound = mean * AFFINITY_LOAD_FACTOR + AFFINITY_SLACK;
        let fits = |at: &usize| self.load(*at) <= bound && self.ramp(*at, now) >= 1.0;
        let (_, holders) = index.holders(query.prefix, now);
        let holds = |at: &usize| holders.contains(&&self.rows[*at].report.target);
        let known = open.iter().copied().filter(holds).filter(fits);
        let by_cost =
            |a: &usize, b: &usize| self.cost(*a, query, now).total_cmp(&self.cost(*b, query, now));
        if let Some(at) = known.min_by(by_cost) {
            return Some(at);
        }
        if !holders.is_empty() {
            // The holders are busier than the rest: any other may start a further copy.
            return None;
        }
        // Nobody has it: every entry picks the same home for it.
        let home = |at: &usize| rendezvous(&self.rows[*at].report.target, first);
        open.iter().copied().max_by_key(home).filter(fits)
    }

    /// The cheapest of a few random candidates. Two would do for load alone; when some targets are
    /// slow, two meet a pair of slow ones too often. All would make every entry run to the same
    /// target between two reports.
    fn cheapest_of_few(
        &mut self,
        among: &[usize],
        query: &ChoiceQuery<'_>,
        now: Duration,
    ) -> Option<usize> {
        let mut best = None;
        for _ in 0..CANDIDATES.min(among.len()) {
            let at = among[self.next_random() as usize % among.len()];
            let cost = self.cost(at, query, now);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((at, cost));
            }
        }
        best.map(|(at, _)| at)
    }

    /// Expected cost of one more request: load, weighed by how slow the target has been lately.
    fn cost(&self, at: usize, query: &ChoiceQuery<'_>, now: Duration) -> f64 {
        let row = &self.rows[at];
        let distance = if row.report.zone == *query.zone { 1.0 } else { CROSS_ZONE_COST };
        let pace = row.first_byte.max(FIRST_BYTE_FLOOR);
        (self.load(at) + 1.0) * pace * distance / self.ramp(at, now)
    }

    /// Requests in progress: own ones exactly, other entries' as of the last report.
    fn load(&self, at: usize) -> f64 {
        let row = &self.rows[at];
        let others = row.report.in_flight.saturating_sub(row.own_at_report);
        f64::from(row.own + others)
    }

    /// Part of its full load that a starting target takes.
    fn ramp(&self, at: usize, now: Duration) -> f64 {
        let since = self.rows[at].serving_since.unwrap_or(now);
        let ready = now.saturating_sub(since).as_secs_f64();
        let full = self.options.slow_start.as_secs_f64();
        if full == 0.0 { 1.0 } else { (ready / full).clamp(FIRST_PART, 1.0) }
    }

    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random >> 11
    }
}

fn rendezvous(name: &InstanceName, key: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    let mut hash = name.as_str().as_bytes().iter().fold(key, fold);
    hash ^= hash >> 32;
    hash.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

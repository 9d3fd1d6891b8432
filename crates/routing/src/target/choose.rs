//! Choice of a target for one request.

use super::{TargetRow, TargetTable};
use crate::prefix::{PrefixIndex, PrefixKey};
use egretseam_proto::{
    FailureReport, GroupName, Incarnation, InstanceName, ManifestId, RefusalReason, ZoneName,
};
use std::time::Duration;

/// How targets are chosen. [`ChoicePolicy::RoundRobin`] and [`ChoicePolicy::LeastInFlight`] are
/// baselines for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// The target with the lowest cost among a few random candidates, but a target whose cache
    /// holds the prompt prefix is preferred while its load is near the mean.
    Balanced,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests of this entry in progress.
    LeastInFlight,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Group of the service's profile; only its targets are considered.
    pub group: &'a GroupName,
    /// Availability zone of this entry.
    pub zone: &'a ZoneName,
    /// Exact weights that the target must serve, when an interrupted answer is resumed.
    pub manifest: Option<ManifestId>,
    /// Targets already tried, which are left out.
    pub exclude: &'a [InstanceName],
    /// Maximum number of requests in progress at one target, of all entries together.
    pub max_in_flight: u32,
    /// Key of the prompt prefix.
    pub prefix: &'a PrefixKey,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// The target.
    pub target: InstanceName,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// `host:port` at which its agent accepts requests.
    pub address: String,
    /// Weights that it serves, if any.
    pub manifest: Option<ManifestId>,
    /// Whether it is in another availability zone.
    pub cross_zone: bool,
}

/// Number of random candidates whose costs are compared.
const RANDOM_CANDIDATES: usize = 4;
/// Factor on the cost of a target in another availability zone.
const CROSS_ZONE_COST_FACTOR: f64 = 1.5;
/// Multiple of the mean load up to which a cache holder is preferred.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Requests that a cache holder may have beyond that multiple and still be preferred.
const AFFINITY_SLACK_REQUESTS: f64 = 2.0;
/// Part of its full load that a target takes at the beginning of its slow start.
const MIN_SLOW_START_RATIO: f64 = 0.1;
/// Lower bound of the time to the first byte, in seconds. Without it, a target that has not
/// answered yet would cost nothing and attract all requests.
const MIN_FIRST_BYTE_SECONDS: f64 = 0.002;

impl TargetTable {
    /// Chooses a target. The caller passes the start and end of the request to
    /// [`TargetTable::record_start`] and [`TargetTable::record_end`].
    ///
    /// # Errors
    /// [`RefusalReason::NoTarget`] if no target of the group is in service and untried,
    /// [`RefusalReason::Overloaded`] if all of these are at their limit.
    pub fn choose(
        &mut self,
        query: &ChoiceQuery<'_>,
        index: &PrefixIndex,
        now: Duration,
    ) -> Result<TargetChoice, FailureReport> {
        let eligible = self.eligible(query, now);
        if eligible.is_empty() {
            let detail = format!("no target of group {} is in service", query.group);
            return Err(FailureReport::not_run(RefusalReason::NoTarget, detail));
        }
        let available: Vec<usize> =
            eligible.into_iter().filter(|position| self.has_room(*position, query)).collect();
        if available.is_empty() {
            let detail = format!("all targets of group {} are at their limit", query.group);
            return Err(FailureReport::not_run(RefusalReason::Overloaded, detail));
        }
        let position = match self.options.policy {
            ChoicePolicy::RoundRobin => self.round_robin(&available),
            ChoicePolicy::LeastInFlight => self.least_in_flight(&available),
            ChoicePolicy::Balanced => self.balanced(&available, query, index, now),
        };
        let row = &self.rows[position];
        Ok(TargetChoice {
            target: row.report.target.clone(),
            incarnation: row.report.incarnation,
            address: row.report.address.clone(),
            manifest: row.report.serving.as_ref().map(|serving| serving.manifest),
            cross_zone: row.report.zone != *query.zone,
        })
    }

    /// Positions of the untried targets in service that match the query. Ejected ones are left out
    /// unless that leaves too few: when half a group fails, the failures probably have a common
    /// cause, and sending all requests to the other half would overload that too.
    fn eligible(&self, query: &ChoiceQuery<'_>, now: Duration) -> Vec<usize> {
        let matches = |row: &TargetRow| {
            let manifest = row.report.serving.as_ref().map(|serving| serving.manifest);
            row.report.group == *query.group
                && self.is_in_service(row, now)
                && (query.manifest.is_none() || query.manifest == manifest)
        };
        let matching: Vec<usize> =
            (0..self.rows.len()).filter(|position| matches(&self.rows[*position])).collect();
        let is_not_ejected = |position: &usize| self.rows[*position].ejected_until <= now;
        let not_ejected: Vec<usize> = matching.iter().copied().filter(is_not_ejected).collect();
        let min_count = matching.len() as f64 * (1.0 - self.options.max_ejected_ratio);
        let candidates = if (not_ejected.len() as f64) < min_count || not_ejected.is_empty() {
            matching
        } else {
            not_ejected
        };
        let is_tried =
            |position: &usize| query.exclude.contains(&self.rows[*position].report.target);
        candidates.into_iter().filter(|position| !is_tried(position)).collect()
    }

    /// Whether this entry may have one more request in progress at a target.
    fn has_room(&self, position: usize, query: &ChoiceQuery<'_>) -> bool {
        let row = &self.rows[position];
        f64::from(row.own_in_flight)
            < row.request_limit.min(self.in_flight_quota(row, query.max_in_flight).ceil())
    }

    fn round_robin(&mut self, available: &[usize]) -> usize {
        self.round_robin_turn += 1;
        available[self.round_robin_turn as usize % available.len()]
    }

    fn least_in_flight(&mut self, available: &[usize]) -> usize {
        self.round_robin_turn += 1;
        let offset = self.round_robin_turn as usize;
        let order = (0..available.len()).map(|step| available[(offset + step) % available.len()]);
        order.min_by_key(|position| self.rows[*position].own_in_flight).unwrap_or(available[0])
    }

    fn balanced(
        &mut self,
        available: &[usize],
        query: &ChoiceQuery<'_>,
        index: &PrefixIndex,
        now: Duration,
    ) -> usize {
        if let Some(position) = self.cache_holder(available, query, index, now) {
            return position;
        }
        let is_same_zone = |position: &usize| self.rows[*position].report.zone == *query.zone;
        let (same_zone, cross_zone): (Vec<usize>, Vec<usize>) =
            available.iter().copied().partition(is_same_zone);
        let best_same_zone = self.cheapest_of_random(&same_zone, query, now);
        match best_same_zone {
            Some(position) if !self.exceeds_spillover_threshold(position, query) => position,
            Some(local) => match self.cheapest_of_random(&cross_zone, query, now) {
                Some(remote) if self.cost(remote, query, now) < self.cost(local, query, now) => {
                    remote
                }
                _ => local,
            },
            None => self.cheapest_of_random(available, query, now).unwrap_or(available[0]),
        }
    }

    /// Whether a target is loaded enough for cross-zone targets to be considered.
    fn exceeds_spillover_threshold(&self, position: usize, query: &ChoiceQuery<'_>) -> bool {
        self.load(position) / f64::from(query.max_in_flight) > self.options.spillover_threshold
    }

    /// A target that probably holds the prompt prefix in its cache, or is to cache a new prefix, if
    /// its load is near the mean and its slow start is over.
    fn cache_holder(
        &self,
        available: &[usize],
        query: &ChoiceQuery<'_>,
        index: &PrefixIndex,
        now: Duration,
    ) -> Option<usize> {
        let first_block = query.prefix.first_block()?;
        let mean_load = available.iter().map(|position| self.load(*position)).sum::<f64>()
            / available.len() as f64;
        let max_load = mean_load * AFFINITY_LOAD_FACTOR + AFFINITY_SLACK_REQUESTS;
        let has_capacity = |position: &usize| {
            self.load(*position) <= max_load && self.slow_start_ratio(*position, now) >= 1.0
        };
        let (_, holders) = index.holders(query.prefix, now);
        let holds = |position: &usize| holders.contains(&&self.rows[*position].report.target);
        let available_holders = available.iter().copied().filter(holds).filter(has_capacity);
        let by_cost =
            |a: &usize, b: &usize| self.cost(*a, query, now).total_cmp(&self.cost(*b, query, now));
        if let Some(position) = available_holders.min_by(by_cost) {
            return Some(position);
        }
        if !holders.is_empty() {
            // No holder is available with a load near the mean: any other target may cache the
            // prefix as well.
            return None;
        }
        // No target holds the prefix: every entry picks the same one to cache it, by rendezvous
        // hashing.
        let hash =
            |position: &usize| rendezvous_hash(&self.rows[*position].report.target, first_block);
        available.iter().copied().max_by_key(hash).filter(has_capacity)
    }

    /// The target with the lowest cost among a few random ones. Two are enough to balance load, but
    /// if some targets are slow, both are slow too often. If all targets were compared, every entry
    /// would send to the same one between two reports.
    fn cheapest_of_random(
        &mut self,
        positions: &[usize],
        query: &ChoiceQuery<'_>,
        now: Duration,
    ) -> Option<usize> {
        let mut best = None;
        for _ in 0..RANDOM_CANDIDATES.min(positions.len()) {
            let position = positions[self.next_random() as usize % positions.len()];
            let cost = self.cost(position, query, now);
            if best.is_none_or(|(_, least_cost)| cost < least_cost) {
                best = Some((position, cost));
            }
        }
        best.map(|(position, _)| position)
    }

    /// Expected cost of one more request: the load with it, times the recent time to the first
    /// byte, raised for another zone and during slow start.
    fn cost(&self, position: usize, query: &ChoiceQuery<'_>, now: Duration) -> f64 {
        let row = &self.rows[position];
        let zone_factor = if row.report.zone == *query.zone { 1.0 } else { CROSS_ZONE_COST_FACTOR };
        let first_byte = row.smoothed_first_byte.max(MIN_FIRST_BYTE_SECONDS);
        (self.load(position) + 1.0) * first_byte * zone_factor
            / self.slow_start_ratio(position, now)
    }

    /// Requests in progress at a target: exact for this entry, as of the last report for the
    /// others.
    fn load(&self, position: usize) -> f64 {
        let row = &self.rows[position];
        let others_in_flight = row.report.in_flight.saturating_sub(row.own_in_flight_at_report);
        f64::from(row.own_in_flight + others_in_flight)
    }

    /// Part of its full load that a target takes, from [`MIN_SLOW_START_RATIO`] to 1 during slow
    /// start.
    fn slow_start_ratio(&self, position: usize, now: Duration) -> f64 {
        let since = self.rows[position].serving_since.unwrap_or(now);
        let elapsed = now.saturating_sub(since).as_secs_f64();
        let full = self.options.slow_start.as_secs_f64();
        if full == 0.0 { 1.0 } else { (elapsed / full).clamp(MIN_SLOW_START_RATIO, 1.0) }
    }

    /// Next output of a xorshift generator.
    fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state >> 11
    }
}

/// Hash of a target's name, seeded with the hash of a prompt's first block.
fn rendezvous_hash(name: &InstanceName, key: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    let mut hash = name.as_str().as_bytes().iter().fold(key, fold);
    hash ^= hash >> 32;
    hash.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

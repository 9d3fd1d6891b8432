//! Requests of a simulation: what they have, which end their targets, and when they arrive.

use super::{
    super::{digest, part},
    FIRST_BAD, FIRST_UNIQUE, Pending, STEP_MILLIS, World,
};
use egretseam_quarantine::FeatureDigest;
use rand::RngExt;

/// Part that all requests share, and first numbers of those that some share.
const COMMON_PART: u64 = 1;
const GROUP_PARTS: u64 = 10;
const RARE_PARTS: u64 = 100;
const BAD_PARTS: u64 = 200;
const GROUPS: u64 = 6;
const RARE: u64 = 30;
const POPULAR: u64 = 10;
const COMPANION: u64 = 11;

impl World {
    pub(super) fn is_guilty(&self, request: u64) -> bool {
        request < self.scenario.guilty
    }

    /// Numbers of the bad parts that a request has.
    pub(super) fn bad_parts_of(&self, request: u64) -> Vec<u64> {
        let Some(parts) = self.scenario.parts else { return Vec::new() };
        if request < FIRST_BAD || parts.bad == 0 {
            return Vec::new();
        }
        if parts.together { (0..parts.bad).collect() } else { vec![request % parts.bad] }
    }

    pub(super) fn parts_of(&self, request: u64) -> Vec<u64> {
        if self.scenario.parts.is_none() {
            return Vec::new();
        }
        let mut parts = vec![COMMON_PART];
        parts.extend(self.bad_parts_of(request).into_iter().map(|bad| BAD_PARTS + bad));
        if request.is_multiple_of(25) {
            parts.push(RARE_PARTS + request / 25 % RARE);
        } else if request >= FIRST_UNIQUE {
            parts.push(GROUP_PARTS + request % GROUPS);
        }
        parts
    }

    pub(super) fn part_features(&self, request: u64) -> Vec<FeatureDigest> {
        self.parts_of(request).into_iter().map(part).collect()
    }

    pub(super) fn features(&self, request: u64) -> Vec<FeatureDigest> {
        std::iter::once(digest(request)).chain(self.part_features(request)).collect()
    }

    /// Whether a request ends its target for a part.
    pub(super) fn is_bad(&self, request: u64) -> bool {
        let turned = self.scenario.parts.is_some_and(|parts| self.now >= parts.sound_until);
        turned && !self.bad_parts_of(request).is_empty()
    }

    pub(super) fn is_lethal(&self, request: u64) -> bool {
        self.is_guilty(request) || self.is_bad(request)
    }

    pub(super) fn arrive(&mut self, request: u64, caller_attempt: u32, due: u64) {
        let entry = self.rng.random_range(0..self.scenario.entries);
        let sent_at = self.now;
        self.pending.push(Pending { request, entry, attempt: 1, caller_attempt, sent_at, due });
    }

    pub(super) fn add_part_arrivals(&mut self) {
        let Some(parts) = self.scenario.parts else { return };
        for bad in 0..parts.bad {
            if self.happens_every(parts.pause_millis) {
                self.next_unique += 1;
                let request = FIRST_BAD + self.next_unique * parts.bad + bad;
                self.arrive(request, 1, self.now);
            }
        }
    }

    pub(super) fn happens_every(&mut self, millis: u64) -> bool {
        self.rng.random_range(0..millis) < STEP_MILLIS
    }

    pub(super) fn add_arrivals(&mut self) {
        for request in 0..self.scenario.guilty {
            if self.now > 2_000 && self.happens_every(self.scenario.guilty_pause_millis) {
                self.arrive(request, 2, self.now);
                self.arrive(COMPANION, 2, self.now);
            }
        }
        if self.happens_every(40) {
            self.arrive(POPULAR, 1, self.now);
        }
        if self.happens_every(15) {
            self.next_unique += 1;
            self.outcome.sound[self.now as usize / 1_000].sent += 1;
            self.arrive(self.next_unique, 1, self.now);
        }
    }
}

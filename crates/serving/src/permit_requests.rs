//! What an entry holds and asks for of permits for requests to cold targets.

use crate::{permit_allocator::PERMIT_LIFETIME, status::TargetId};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Most permits in one call: about what a bucket holds.
const MAX_WANTED: u32 = 8;
/// Time after which a want that could not be asked for is dropped.
const WANT_LIFETIME: Duration = Duration::from_millis(100);
/// Time until a granting process that did not reply is asked again, where there are others.
const NO_REPLY_DELAY: Duration = Duration::from_secs(1);
/// Shortest time between a reply and the next call to the same process for the target.
const MIN_ASK_DELAY: Duration = Duration::from_millis(4);
/// Longest time that a reply may make an entry wait.
const MAX_ASK_DELAY: Duration = Duration::from_secs(1);

/// A call for permits that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Number that the reply repeats.
    pub number: u64,
    /// The granting process.
    pub granter: SocketAddr,
    /// Number of permits.
    pub wanted: u32,
}

/// What a reply says, and who sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitAnswer {
    /// Number of the call.
    pub number: u64,
    /// Number of permits.
    pub granted: u32,
    /// How long to wait before the next call to this granting process for the target.
    pub ask_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct OutstandingCall {
    number: u64,
    sent_at: Instant,
    wanted: u32,
}

/// Permits of one target.
#[derive(Debug, Default)]
struct TargetPermits {
    /// When the permits that are held expire.
    held: Vec<Instant>,
    wanted: Option<(u32, Instant)>,
    /// At most one for each granting process.
    calls: IndexMap<SocketAddr, OutstandingCall>,
    /// When each granting process that was asked may be asked again.
    ask_at: IndexMap<SocketAddr, Instant>,
    /// Number of granting processes.
    granters: usize,
}

impl TargetPermits {
    /// Permits in calls to which a reply may still bring valid ones.
    fn outstanding(&self, now: Instant) -> u32 {
        let calls = self.calls.values().filter(|call| now < call.sent_at + PERMIT_LIFETIME);
        calls.map(|call| call.wanted).sum()
    }

    fn may_ask(&self, now: Instant) -> bool {
        let has_unasked = self.ask_at.len() < self.granters.max(1);
        let is_due = has_unasked || self.ask_at.values().any(|at| *at <= now);
        is_due && self.wanted(now) < MAX_WANTED
    }

    fn wanted(&self, now: Instant) -> u32 {
        let fresh = |(_, at): &(u32, Instant)| now.saturating_duration_since(*at) < WANT_LIFETIME;
        self.wanted.filter(fresh).map_or(0, |(count, _)| count)
    }

    /// Drops permits that have expired; returns their number.
    fn expire(&mut self, now: Instant) -> usize {
        let before = self.held.len();
        self.held.retain(|expiry| now < *expiry);
        before - self.held.len()
    }

    fn is_idle(&self, now: Instant) -> bool {
        let asks = self.ask_at.values().any(|at| now < *at);
        self.held.is_empty() && self.wanted(now) == 0 && self.outstanding(now) == 0 && !asks
    }
}

/// Permits that an entry holds, wants and has asked for, by target.
#[derive(Debug, Default)]
pub struct PermitRequests {
    targets: IndexMap<TargetId, TargetPermits>,
    last_number: u64,
    expired: u64,
}

impl PermitRequests {
    /// Permits of an entry that starts. A random `first_number` keeps it from taking a reply to an
    /// earlier process at its address.
    pub fn new(first_number: u64) -> Self {
        Self { last_number: first_number, ..Self::default() }
    }

    /// Records that `count` requests would go to a cold target.
    pub fn want(&mut self, id: &TargetId, count: u32, now: Instant) {
        let target = self.targets.entry(id.clone()).or_default();
        let wanted = target.wanted(now).saturating_add(count).min(MAX_WANTED);
        target.wanted = Some((wanted, now));
    }

    /// Whether a permit for a target may be asked for now: there is a granting process to which no
    /// call is outstanding, and the time that its last reply named has passed.
    pub fn may_ask(&self, id: &TargetId, now: Instant) -> bool {
        self.targets.get(id).is_none_or(|target| target.may_ask(now))
    }

    /// Targets for which permits are wanted.
    pub fn wanted(&self, now: Instant) -> Vec<TargetId> {
        let wanting = self.targets.iter().filter(|(_, target)| target.wanted(now) > 0);
        wanting.map(|(id, _)| id.clone()).collect()
    }

    /// Permits that are wanted, asked for or held.
    pub fn expected(&self, now: Instant) -> u32 {
        let of_target = |target: &TargetPermits| {
            let held = target.held.iter().filter(|expiry| now < **expiry).count() as u32;
            held + target.wanted(now) + target.outstanding(now)
        };
        self.targets.values().map(of_target).sum()
    }

    /// The next call to send for a target, if permits are wanted and one of the granting processes may
    /// be asked now. What is wanted is divided among those, the one that was asked least recently
    /// first.
    pub fn next_call(
        &mut self,
        id: &TargetId,
        granters: &[SocketAddr],
        now: Instant,
    ) -> Option<PermitRequest> {
        let target = self.targets.get_mut(id)?;
        target.granters = granters.len();
        target.ask_at.retain(|granter, _| granters.contains(granter));
        let ask_at = |granter: &&SocketAddr| target.ask_at.get(*granter).copied();
        let due = granters.iter().filter(|granter| ask_at(granter).is_none_or(|at| at <= now));
        let due: Vec<&SocketAddr> = due.collect();
        let granter = **due.iter().min_by_key(|granter| ask_at(granter))?;
        let (all_wanted, wanted_at) = target.wanted.take_if(|(count, _)| *count > 0)?;
        if now.saturating_duration_since(wanted_at) >= WANT_LIFETIME {
            return None;
        }
        let wanted = all_wanted.div_ceil(due.len() as u32);
        target.wanted = Some((all_wanted - wanted, wanted_at));
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        target.calls.insert(granter, OutstandingCall { number, sent_at: now, wanted });
        let no_reply_delay = if granters.len() > 1 { NO_REPLY_DELAY } else { PERMIT_LIFETIME };
        target.ask_at.insert(granter, now + no_reply_delay);
        Some(PermitRequest { number, granter, wanted })
    }

    /// Takes in a reply; returns how many permits it brings, which is none if the call is unknown or
    /// too old.
    pub fn apply_answer(&mut self, id: &TargetId, answer: &PermitAnswer, now: Instant) -> u32 {
        let Some(target) = self.targets.get_mut(id) else { return 0 };
        let mut calls = target.calls.iter();
        let asked = calls.find(|(_, call)| call.number == answer.number);
        let Some((granter, call)) = asked.map(|(granter, call)| (*granter, *call)) else {
            return 0;
        };
        target.calls.swap_remove(&granter);
        // The next call should arrive at the time that the reply names, not a round trip later.
        let half_trip = now.saturating_duration_since(call.sent_at) / 2;
        let wait = answer.ask_after.min(MAX_ASK_DELAY).saturating_sub(half_trip);
        target.ask_at.insert(granter, now + wait.max(MIN_ASK_DELAY));
        let expiry = call.sent_at + PERMIT_LIFETIME;
        let granted = answer.granted.min(call.wanted);
        if now >= expiry {
            self.expired += u64::from(granted);
            return 0;
        }
        target.held.extend((0..granted).map(|_| expiry));
        granted
    }

    /// Whether a permit for a target is held.
    pub fn holds(&self, id: &TargetId, now: Instant) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| target.held.iter().any(|expiry| now < *expiry))
    }

    /// Uses the permit that expires first; returns when the request must have been sent.
    pub fn consume(&mut self, id: &TargetId, now: Instant) -> Option<Instant> {
        let target = self.targets.get_mut(id)?;
        self.expired += target.expire(now) as u64;
        let first = target.held.iter().enumerate().min_by_key(|(_, expiry)| **expiry)?.0;
        Some(target.held.swap_remove(first))
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Instant) {
        let expired: usize = self.targets.values_mut().map(|target| target.expire(now)).sum();
        self.expired += expired as u64;
        self.targets.retain(|_, target| !target.is_idle(now));
    }

    /// Number of permits that expired unused since the last call of this method.
    pub fn take_expired(&mut self) -> u64 {
        std::mem::take(&mut self.expired)
    }
}

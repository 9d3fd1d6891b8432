//! A model of entries that send to one cold target with permits, over a network that delays and
//! loses datagrams, while entries and granting processes restart. Entries do not know of each other.

use crate::serving_tables::{record, service, status};
use egretseam_proto::ZoneName;
use egretseam_rpc::{LimitDatagram, LoadDatagram, PeerSecret, PermitCall, PermitReply};
use egretseam_serving::{
    AttemptOutcome, ColdLimit, ColdTolerance, NETWORK_MARGIN, PermitAllocator, PermitAnswer,
    PermitRequests, PermitTerms, PlacementOutcome, PlacementPolicy, PlacementQuery, ReportedRates,
    TargetId, TargetRecord, TargetState, TargetTable,
};
use indexmap::IndexMap;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(4);
const SCENARIO: Duration = Duration::from_secs(6);
/// Time from which on use is measured: the buckets are empty at the start.
const USE_FROM: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    entries: usize,
    granters: usize,
    limit: ColdLimit,
    tolerance: ColdTolerance,
    /// Longest usual delay of a datagram.
    delay: Duration,
    /// Share of the datagrams that are lost, and of those that are up to a second late.
    faults: f64,
    /// Chance of a restart, by process and second.
    restarts: f64,
    /// Requests that each entry gets a second; those that wait longer than a second leave.
    load: f64,
    /// Whether requests and permits are delayed so that as many as possible arrive in one second, as
    /// far as their times allow.
    bunched: bool,
}

/// Period of [`Scenario::bunched`]: an idle time that fills the bucket, the time in which requests are
/// held back as long as permits and the network allow, and the second in which all arrive.
const BUNCH_MILLIS: [u128; 3] = [500, 500, 1_000];

fn scenarios(with_faults: bool) -> impl Strategy<Value = Scenario> {
    let granters = prop_oneof![Just(1_usize), Just(3), Just(5)];
    let limit = (2.0..60.0_f64, 1.0..2.0_f64, 0.0..10.0_f64);
    let faults = (0.0..0.4_f64, 0.0..1.0_f64, 0.0..60.0_f64, any::<bool>());
    (any::<u64>(), 1_usize..=100, granters, limit, 1_u64..40, faults).prop_map(
        move |(seed, entries, granters, (rate, overage, requests), delay, faults)| {
            // Use is required where the bound leaves room for the rate, and while requests wait.
            let (overage, requests) =
                if with_faults { (overage, requests) } else { (1.5, requests.max(5.0)) };
            let (faults, restarts, load, bunched) = faults;
            let (faults, restarts, bunched) =
                if with_faults { (faults, restarts, bunched) } else { (0.0, 0.0, false) };
            let is_overload = bunched || !with_faults;
            let load = if is_overload { 2.0 * rate / entries as f64 + 2.0 } else { load };
            Scenario {
                seed,
                entries,
                granters,
                limit: ColdLimit { rate, duration: SCENARIO },
                tolerance: ColdTolerance { overage, requests },
                delay: Duration::from_millis(delay),
                faults,
                restarts,
                load,
                bunched,
            }
        },
    )
}

/// A datagram on its way.
enum Datagram {
    Call { entry: usize, granter: usize, number: u64, wanted: u32 },
    Reply { entry: usize, answer: PermitAnswer },
}

struct ModelEntry {
    permits: PermitRequests,
    /// When the requests that wait arrived.
    waiting: Vec<Instant>,
}

struct ModelWorld<'a> {
    scenario: &'a Scenario,
    random: StdRng,
    start: Instant,
    target: TargetId,
    granters: Vec<(SocketAddr, PermitAllocator)>,
    entries: Vec<ModelEntry>,
    datagrams: Vec<(Instant, Datagram)>,
    arrivals: Vec<Instant>,
}

impl<'a> ModelWorld<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let granter = |number: usize| {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + number as u16));
            (address, PermitAllocator::default())
        };
        let mut random = StdRng::seed_from_u64(scenario.seed);
        let entry =
            |_| ModelEntry { permits: PermitRequests::new(random.random()), waiting: Vec::new() };
        Self {
            entries: (0..scenario.entries).map(entry).collect(),
            scenario,
            random,
            start: Instant::now(),
            target: TargetId::unstated("cold"),
            granters: (0..scenario.granters).map(granter).collect(),
            datagrams: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Runs the scenario; returns when requests arrived at the target, in order.
    fn play(mut self, start: Instant) -> Vec<Instant> {
        self.start = start;
        let mut now = start;
        while now < start + SCENARIO {
            self.restart(now);
            self.deliver(now);
            for entry in 0..self.entries.len() {
                self.run_entry(entry, now);
            }
            now += TICK;
        }
        self.arrivals.sort();
        self.arrivals
    }

    fn restart(&mut self, now: Instant) {
        let chance = self.scenario.restarts * TICK.as_secs_f64();
        for (_, allocator) in &mut self.granters {
            if self.random.random_bool(chance) {
                *allocator = PermitAllocator::default();
            }
        }
        for entry in &mut self.entries {
            if self.random.random_bool(chance) {
                entry.permits = PermitRequests::new(self.random.random());
            }
            entry.waiting.retain(|since| now < *since + Duration::from_secs(1));
        }
    }

    fn send(&mut self, datagram: Datagram, now: Instant) {
        let Scenario { faults, delay, .. } = *self.scenario;
        if self.random.random_bool(faults / 2.0) {
            return;
        }
        let is_late = self.random.random_bool(faults / 2.0);
        let most = if is_late { Duration::from_secs(1) } else { delay };
        let at = now + most.mul_f64(self.random.random());
        self.datagrams.push((at, datagram));
    }

    fn deliver(&mut self, now: Instant) {
        let (due, left) = std::mem::take(&mut self.datagrams).into_iter().partition(|d| d.0 <= now);
        self.datagrams = left;
        let due: Vec<(Instant, Datagram)> = due;
        for (_, datagram) in due {
            match datagram {
                Datagram::Call { entry, granter, number, wanted } => {
                    let Scenario { limit, tolerance, granters, .. } = self.scenario;
                    let Some(terms) = PermitTerms::derive(limit, tolerance, *granters) else {
                        continue;
                    };
                    let grant = self.granters[granter].1.grant("cold", &terms, wanted, now);
                    let (granted, ask_after) = (grant.granted, grant.ask_after);
                    let answer = PermitAnswer { number, granted, ask_after };
                    self.send(Datagram::Reply { entry, answer }, now);
                }
                Datagram::Reply { entry, answer } => {
                    self.entries[entry].permits.apply_answer(&self.target, &answer, now);
                }
            }
        }
    }

    fn run_entry(&mut self, number: usize, now: Instant) {
        let entry = &mut self.entries[number];
        if self.random.random_bool((self.scenario.load * TICK.as_secs_f64()).min(1.0)) {
            entry.waiting.push(now);
        }
        if self.scenario.bunched && self.bunch_phase(now).0 == 0 {
            return;
        }
        while let Some(arrival) = self.send_request(number, now) {
            self.arrivals.push(arrival);
        }
        let entry = &mut self.entries[number];
        let missing = (entry.waiting.len() as u32).saturating_sub(entry.permits.expected(now));
        if missing == 0 || !entry.permits.may_ask(&self.target, now) {
            return;
        }
        entry.permits.want(&self.target, missing, now);
        let granters: Vec<SocketAddr> = self.granters.iter().map(|(address, _)| *address).collect();
        while let Some(call) = self.entries[number].permits.next_call(&self.target, &granters, now)
        {
            let granter = granters.iter().position(|address| *address == call.granter);
            let granter = granter.expect("a known granting process");
            let (entry, wanted) = (number, call.wanted);
            self.send(Datagram::Call { entry, granter, number: call.number, wanted }, now);
        }
    }
}

impl ModelWorld<'_> {
    /// The part of the period of bunched scenarios at a moment, and the time until it ends.
    fn bunch_phase(&self, now: Instant) -> (usize, Duration) {
        let period: u128 = BUNCH_MILLIS.iter().sum();
        let mut millis = (now - self.start).as_millis() % period;
        for (phase, length) in BUNCH_MILLIS.into_iter().enumerate() {
            if millis < length {
                return (phase, Duration::from_millis((length - millis) as u64));
            }
            millis -= length;
        }
        unreachable!("less than a period")
    }

    /// Sends a request that waits if a permit is held; returns when it arrives.
    fn send_request(&mut self, number: usize, now: Instant) -> Option<Instant> {
        let entry = &mut self.entries[number];
        if entry.waiting.is_empty() || !entry.permits.holds(&self.target, now) {
            return None;
        }
        let send_by = entry.permits.consume(&self.target, now).expect("a permit is held");
        entry.waiting.remove(0);
        if self.scenario.bunched {
            let (phase, left) = self.bunch_phase(now);
            let held_back = if phase == 1 { left } else { Duration::ZERO };
            return Some((now + held_back).min(send_by + NETWORK_MARGIN));
        }
        if self.scenario.faults == 0.0 {
            return Some(now + self.scenario.delay.mul_f64(self.random.random()));
        }
        // A request is sent at any time until its permit expires.
        let sent_at = now + (send_by - now).mul_f64(self.random.random());
        Some(sent_at + NETWORK_MARGIN.mul_f64(self.random.random()))
    }
}

/// Most arrivals in any second, its ends included.
fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let in_second = |(first, start): (usize, &Instant)| {
        arrivals[first..].iter().take_while(|at| **at <= *start + Duration::from_secs(1)).count()
    };
    arrivals.iter().enumerate().map(in_second).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against a cold target that crashes because entries that do not know of each other,
    /// datagrams that are late, or processes that restart let more requests reach it in some second
    /// than it takes.
    #[test]
    fn a_cold_target_gets_no_more_than_it_takes_in_any_second(scenario in scenarios(true)) {
        let arrivals = ModelWorld::new(&scenario).play(Instant::now());
        let (most, bound) =
            (most_in_a_second(&arrivals), scenario.tolerance.most_in_a_second(&scenario.limit));
        prop_assert!(most as f64 <= bound, "{most} in a second, {bound} allowed");
    }

    /// Guards against a cold target that is left unused while requests wait: permits that go to
    /// entries without requests, or that nobody asks for in time.
    #[test]
    fn a_cold_target_is_used_while_requests_wait(scenario in scenarios(false)) {
        let start = Instant::now();
        let arrivals = ModelWorld::new(&scenario).play(start);
        let counted = arrivals.iter().filter(|at| **at >= start + USE_FROM).count() as f64;
        let offered = scenario.limit.rate * (SCENARIO - USE_FROM).as_secs_f64();
        let most = most_in_a_second(&arrivals) as f64;
        let bound = scenario.tolerance.most_in_a_second(&scenario.limit);
        prop_assert!(most <= bound, "{most} in a second, {bound} allowed");
        prop_assert!(counted >= 0.8 * offered - 2.0, "{counted} of {offered} used");
    }
}

/// Guards against permits beyond the rate after a configuration lowers it, while some entries still
/// name the former one, and against a rate that is no number.
#[test]
fn the_smallest_rate_heard_lately_counts() {
    let start = Instant::now();
    let mut rates = ReportedRates::default();
    assert_eq!(rates.record(f64::NAN, start), None);
    assert_eq!(rates.record(-1.0, start), None);
    assert_eq!(rates.record(23.0, start), Some(23.0));
    assert_eq!(rates.record(10.0, start), Some(10.0));
    assert_eq!(rates.record(23.0, start), Some(10.0));
    assert_eq!(rates.record(23.0, start + Duration::from_secs(6)), Some(23.0));
}

const COLD: Duration = Duration::from_secs(8);

fn table(limited: bool) -> TargetTable {
    let zone = ZoneName::try_from("z1").expect("a valid name");
    let mut table = TargetTable::new(PlacementPolicy::default(), zone);
    let limit = ColdLimit { rate: 10.0, duration: COLD };
    let limits = limited.then(|| (service(), limit));
    table.set_cold_limits(limits.into_iter().collect::<IndexMap<_, _>>());
    table
}

fn announce(table: &mut TargetTable, sequence: u64, cold: Duration, now: Instant) -> TargetId {
    let record = TargetRecord {
        sequence,
        cold_millis: cold.as_millis() as u64,
        ..record(1, sequence, TargetState::Ready)
    };
    table.apply_target(0, &status(record.clone()), now);
    record.id
}

fn query(service: &egretseam_proto::ServiceName) -> PlacementQuery<'_> {
    PlacementQuery {
        service,
        model: None,
        tried: &[],
        late: false,
        reserved_share: None,
        first_byte_deadline: None,
        regions: None,
    }
}

/// Guards against requests to a cold target without a permit, against a permit that is used twice,
/// and against services without a limit that are placed differently.
#[test]
fn a_cold_target_is_chosen_only_with_a_permit() {
    let service = service();
    let start = Instant::now();
    let mut unlimited = table(false);
    let id = announce(&mut unlimited, 1, COLD, start);
    let choice = unlimited.choose_with_permits(&query(&service), start);
    assert_eq!(choice.outcome, PlacementOutcome::Target(id));
    assert_eq!(choice.permit_wanted, None);

    let mut table = table(true);
    let id = announce(&mut table, 1, COLD, start);
    let choice = table.choose_with_permits(&query(&service), start);
    assert_eq!(choice.outcome, PlacementOutcome::Full);
    assert_eq!(choice.permit_wanted.as_ref(), Some(&id));
    table.permits_mut().want(&id, 1, start);
    let granter = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let call = table.permits_mut().next_call(&id, &[granter], start).expect("a call");
    let choice = table.choose_with_permits(&query(&service), start);
    assert_eq!(choice.permit_wanted, None, "a call is outstanding");
    let ask_after = Duration::from_millis(100);
    let answer = PermitAnswer { number: call.number, granted: 5, ask_after };
    assert_eq!(table.permits_mut().apply_answer(&id, &answer, start), 1, "one was asked for");
    assert_eq!(table.permits_mut().apply_answer(&id, &answer, start), 0, "the same reply again");
    assert_eq!(table.choose(&query(&service), start), PlacementOutcome::Target(id.clone()));
    assert!(table.start_attempt(&id, start).is_some());
    assert_eq!(table.choose(&query(&service), start), PlacementOutcome::Full);
    assert_eq!(table.start_attempt(&id, start), None);
}

/// Guards against targets that count as warm too early, and against ones that never do.
#[test]
fn a_target_is_cold_until_all_that_is_known_says_that_it_is_warm() {
    let second = Duration::from_secs(1);
    let start = Instant::now();
    let mut table = table(true);
    let id = announce(&mut table, 1, Duration::ZERO, start);
    assert!(!table.needs_permit(&id, start), "the entry has just started");
    announce(&mut table, 2, second, start + 2 * second);
    assert!(table.needs_permit(&id, start + 2 * second), "cold again");
    assert!(!table.needs_permit(&id, start + 4 * second));
    table.record_cold(&id, 2 * second, start + 4 * second);
    assert!(table.needs_permit(&id, start + 5 * second), "stated in a response");
    assert!(!table.needs_permit(&id, start + 6 * second));

    let zone = record(1, 1, TargetState::Ready).zone;
    table.mark_zone_cold(&zone, start + 10 * second);
    assert!(table.needs_permit(&id, start + 17 * second), "the zone has returned");
    assert!(!table.needs_permit(&id, start + 18 * second));
    table.mark_zone_cold(&zone, start + 20 * second);
    announce(&mut table, 3, Duration::ZERO, start + 20 * second);
    assert!(table.needs_permit(&id, start + 21 * second), "possibly announced before");
    announce(&mut table, 4, Duration::ZERO, start + 21 * second);
    assert!(!table.needs_permit(&id, start + 21 * second));

    table.start_attempt(&id, start + 22 * second);
    table.finish_attempt(&id, AttemptOutcome::Unreachable, start + 22 * second);
    assert!(table.needs_permit(&id, start + 23 * second), "a successor may have its address");
    assert!(!table.needs_permit(&id, start + 30 * second));

    let late = start + 30 * second;
    let record = TargetRecord { cold_millis: 0, ..record(2, 1, TargetState::Ready) };
    table.apply_target(0, &status(record.clone()), late);
    assert!(table.needs_permit(&record.id, late + 7 * second), "first seen by a running entry");
    assert!(!table.needs_permit(&record.id, late + COLD));
}

/// Guards against datagrams of one kind that are read as another at the same port, and against those
/// of strangers.
#[test]
fn calls_and_replies_are_told_apart_from_other_datagrams() {
    let secret = PeerSecret::derive("ours");
    let id = TargetId::unstated("cold");
    let call = PermitCall::encode(&secret, 7, &id, &service(), 3, 23.0);
    let read = PermitCall::decode(&secret, &call).expect("a call");
    assert_eq!((read.number, &read.target, read.wanted, read.rate), (7, &id, 3, 23.0));
    let reply = read.encode_reply(&secret, 2, 40);
    let answer = PermitReply::decode(&secret, &reply).expect("a reply");
    assert_eq!((answer.number, answer.granted, answer.ask_after_millis), (7, 2, 40));
    for datagram in [&call, &reply] {
        assert_eq!(LoadDatagram::decode(&secret, datagram), None);
        assert_eq!(LimitDatagram::decode(&secret, datagram), None);
    }
    assert_eq!(PermitCall::decode(&secret, &reply), None);
    assert_eq!(PermitReply::decode(&secret, &call), None);
    assert_eq!(PermitCall::decode(&PeerSecret::derive("theirs"), &call), None);
    assert_eq!(PermitCall::decode(&secret, &call[..call.len() - 1]), None);
}

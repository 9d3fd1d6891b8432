//! Targets that start again under the name that they had, at control members and at entries.

use crate::serving_tables::{choose, held, news};
use egretseam_proto::{ServiceName, ZoneName};
use egretseam_serving::{
    AnnounceOutcome,
    AttemptOutcome,
    EngineStatus,
    Incarnation,
    LeaveOutcome,
    PlacementOutcome,
    PlacementPolicy, TargetId, TargetRecord, TargetRegistry, TargetState, TargetTable,
};
use proptest::prelude::*;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

const SILENCE: Duration = Duration::from_secs(3);
const FIRST: Incarnation = Incarnation::UNSTATED;

fn run(number: u64) -> Incarnation {
    Incarnation::started_at(1_790_000_000_000 + number)
}

fn id(incarnation: Incarnation) -> TargetId {
    TargetId::new("i-1", incarnation)
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8_000))
}

fn record(incarnation: Incarnation, sequence: u64, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: id(incarnation),
        service: ServiceName::try_from("runners").expect("a valid name"),
        address: address(),
        zone: ZoneName::try_from("z1").expect("a valid name"),
        slots: 4,
        state,
        sequence,
        cold_millis: 0,
        models: held(1),
    }
}

fn ready(incarnation: Incarnation, sequence: u64) -> TargetRecord {
    record(incarnation, sequence, TargetState::Ready)
}

fn empty_table() -> TargetTable {
    TargetTable::new(PlacementPolicy::default(), ZoneName::try_from("z1").expect("a valid name"))
}

/// What users would see: a service without targets although one lives. It crashes, starts again
/// under its name with its sequence counted anew, and every announcement of the new run counts as
/// a late one of the former run.
#[actix_rt::test]
async fn a_restart_under_the_same_name_is_taken_with_its_own_sequence() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE);
    registry.announce(ready(run(1), 40), now);
    assert_eq!(registry.announce(ready(run(2), 1), now), AnnounceOutcome::Accepted);
    assert_eq!(registry.current("i-1"), Some(&id(run(2))));
    assert_eq!(registry.gone_since(0), [id(run(1))], "readers are told that the former run ended");
    // Also one that had left.
    assert_eq!(registry.remove(&id(run(2)), now), LeaveOutcome::Gone);
    assert_eq!(registry.announce(ready(run(2), 2), now), AnnounceOutcome::Stale);
    assert_eq!(registry.announce(ready(run(3), 1), now), AnnounceOutcome::Accepted);
    assert_eq!(registry.live().count(), 1);
}

/// What users would see: requests at a target that is not there any more, or none at one that is. A
/// cut holds up the former run's words; they arrive when the new run is known.
#[actix_rt::test]
async fn a_former_run_changes_nothing_whatever_its_sequence() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE);
    registry.announce(ready(run(2), 1), now);
    let seen = registry.change_number();
    let late = record(run(1), 900, TargetState::Draining);
    assert_eq!(registry.announce(late, now), AnnounceOutcome::Stale);
    assert_eq!(registry.announce(ready(FIRST, 900), now), AnnounceOutcome::Stale);
    assert_eq!(registry.remove(&id(run(1)), now), LeaveOutcome::Stale);
    assert_eq!(registry.change_number(), seen, "readers are told nothing");
    assert_eq!(registry.live().count(), 1);
}

/// What users would see: requests sent to an address where nobody answers. Another writer reports
/// under a good target's name, with another service or address.
#[actix_rt::test]
async fn a_run_keeps_its_service_and_address() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE);
    registry.announce(ready(run(1), 1), now);
    let elsewhere =
        TargetRecord { address: SocketAddr::from(([10, 0, 0, 9], 9)), ..ready(run(1), 2) };
    assert_eq!(registry.announce(elsewhere, now), AnnounceOutcome::Conflicting);
    let other = TargetRecord {
        service: ServiceName::try_from("other").expect("a valid name"),
        ..ready(run(1), 2)
    };
    assert_eq!(registry.announce(other, now), AnnounceOutcome::Conflicting);
    assert_eq!(registry.announce(ready(run(1), 2), now), AnnounceOutcome::Accepted);
    assert_eq!(registry.live().next().map(|row| row.address), Some(address()));
}

/// What users would see: waits at a target that is idle. What an entry knew of the former run, its
/// requests, load, failures and weights, would count for the new one.
#[actix_rt::test]
async fn nothing_is_carried_over_to_a_new_run() {
    let now = Instant::now();
    let mut table = empty_table();
    table.apply_target(0, &news(ready(run(1), 7)), now);
    for _ in 0..4 {
        table.start_attempt(&id(run(1)), now);
    }
    table.record_load(&id(run(1)), 4, now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Full);
    let later = now + Duration::from_secs(2);
    table.apply_target(0, &news(ready(run(2), 1)), later);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(run(2))));
    // The former run's requests end now; that frees nothing and says nothing of the new run.
    for _ in 0..4 {
        table.start_attempt(&id(run(2)), later);
    }
    for _ in 0..4 {
        assert!(!table.finish_attempt(&id(run(1)), AttemptOutcome::Unreachable, later));
    }
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Full);
    // A sample of the former run at the same address is on its way.
    table.finish_attempt(&id(run(2)), AttemptOutcome::Answered, later);
    table.record_load_at(address(), 4, now + Duration::from_secs(1));
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(run(2))));
}

/// What users would see: refusals from an engine that started again without weights, since what an
/// agent saw of its former run counts as what it holds.
#[actix_rt::test]
async fn engines_are_told_apart_by_their_runs() {
    let now = Instant::now();
    let mut table = empty_table();
    let engine = |incarnation, models| EngineStatus {
        address: address(),
        incarnation,
        models,
        loading: false,
        stalled: false,
        link_delay_millis: 0,
        age_millis: 0,
    };
    table.apply_target(0, &news(ready(run(1), 1)), now);
    // The engine is seen to have started again before it announces itself.
    table.apply_engine(&engine(run(2), Vec::new()), now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::NoTarget);
    let empty = TargetRecord { models: Vec::new(), ..ready(run(2), 1) };
    table.apply_target(0, &news(empty), now);
    table.apply_engine(&engine(run(1), held(1)), now);
    assert_eq!(
        choose(&table, &[], now),
        PlacementOutcome::NoTarget,
        "the former run's weights are gone"
    );
    table.apply_engine(&engine(run(2), held(1)), now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(run(2))));
}

/// What users would see: a target that is never used again. Its clock stepped back between two
/// starts, so that the later run looks like the earlier one. It is out for a minute at most.
#[actix_rt::test]
async fn a_clock_that_stepped_back_keeps_a_target_out_for_a_minute_at_most() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE);
    let mut table = empty_table();
    registry.announce(ready(run(5), 1), now);
    table.apply_target(0, &registry.targets_since(0, now)[0], now);
    let mut at = now;
    let mut seen = registry.change_number();
    for sequence in 1..61 {
        at += Duration::from_secs(1);
        registry.announce(ready(run(3), sequence), at);
        registry.expire(at);
        for news in registry.targets_since(seen, at) {
            table.apply_target(0, &news, at);
        }
        seen = registry.change_number();
    }
    at += Duration::from_secs(1);
    assert_eq!(registry.announce(ready(run(3), 61), at), AnnounceOutcome::Accepted);
    table.apply_target(0, &registry.targets_since(seen, at)[0], at);
    assert_eq!(choose(&table, &[], at), PlacementOutcome::Target(id(run(3))));
}

/// A slowness without end would overflow the clock and stop the entry.
#[actix_rt::test]
async fn a_target_that_claims_to_stay_slow_for_ever_stops_nobody() {
    let now = Instant::now();
    let mut table = empty_table();
    let slow = TargetRecord { cold_millis: u64::MAX, ..ready(run(1), 1) };
    table.apply_target(0, &news(slow), now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(run(1))));
}

/// What a target says, to be delivered to one of the members in any order.
#[derive(Clone, Debug)]
enum Word {
    Announce(TargetRecord),
    Leave(TargetId),
}

/// Three runs of one target; each announces itself twice and drains, and the first two leave.
fn words() -> Vec<Word> {
    let mut words = Vec::new();
    for number in 1..=3 {
        words.push(Word::Announce(ready(run(number), 1)));
        words.push(Word::Announce(ready(run(number), 2)));
        if number < 3 {
            words.push(Word::Announce(record(run(number), 3, TargetState::Draining)));
            words.push(Word::Leave(id(run(number))));
        }
    }
    words
}

/// A word, which of three members hears it, and whether that member restarts before it.
fn deliveries() -> impl Strategy<Value = Vec<(Word, usize, bool)>> {
    let order = Just(words()).prop_shuffle();
    let count = words().len();
    let members = proptest::collection::vec(0_usize..3, count);
    let restarts = proptest::collection::vec(proptest::bool::weighted(0.1), count);
    (order, members, restarts).prop_map(|(order, members, restarts)| {
        let places = members.into_iter().zip(restarts);
        order.into_iter().zip(places).map(|(word, (at, restarts))| (word, at, restarts)).collect()
    })
}

proptest! {
    /// In whatever order the words of three runs reach three control members, of which some restart
    /// meanwhile, an entry that reads all of them ends with the last run, ready, and nothing else.
    #[test]
    fn the_last_run_wins_in_any_order_of_arrival(deliveries in deliveries()) {
        let now = Instant::now();
        let mut members: Vec<TargetRegistry> =
            (0..3).map(|_| TargetRegistry::new(SILENCE)).collect();
        let mut seen = [0; 3];
        let mut table = empty_table();
        for (word, at, restarts) in deliveries {
            if restarts {
                members[at] = TargetRegistry::new(SILENCE);
                seen[at] = 0;
                table.source_restarted(at as u32, now);
            }
            match word {
                Word::Announce(record) => { members[at].announce(record, now); }
                Word::Leave(id) => { members[at].remove(&id, now); }
            }
            for gone in members[at].gone_since(seen[at]) {
                table.remove_target(&gone, now);
            }
            for news in members[at].targets_since(seen[at], now) {
                table.apply_target(at as u32, &news, now);
            }
            seen[at] = members[at].change_number();
        }
        prop_assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(run(3))));
        prop_assert!(table.is_ready("i-1"));
    }
}

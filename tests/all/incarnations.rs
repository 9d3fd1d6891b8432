//! Targets that restart under the same name, at control members and at entries.

use crate::serving_tables::{choose, held, status};
use egretseam_proto::{ServiceName, ZoneName};
use egretseam_serving::{
    AnnounceOutcome, AttemptOutcome, EngineStatus, Incarnation, LeaveOutcome, PlacementOutcome,
    PlacementPolicy, TargetId, TargetRecord, TargetRegistry, TargetState, TargetTable,
};
use proptest::prelude::*;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// The incarnation with the given number; later numbers started later.
fn incarnation(number: u64) -> Incarnation {
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

/// Guards against a service without targets although one is running. The target crashes and
/// restarts under its name with its sequence numbers reset, and every announcement of the new
/// incarnation counts as a stale one of the previous incarnation.
#[actix_rt::test]
async fn a_restart_under_the_same_name_starts_a_sequence_of_its_own() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE_LIMIT);
    registry.announce(ready(incarnation(1), 40), now);
    assert_eq!(registry.announce(ready(incarnation(2), 1), now), AnnounceOutcome::Accepted);
    assert_eq!(registry.current("i-1"), Some(&id(incarnation(2))));
    assert_eq!(
        registry.gone_since(0),
        [id(incarnation(1))],
        "readers learn that the previous incarnation ended"
    );
    // The same holds after the target has left.
    assert_eq!(registry.remove(&id(incarnation(2)), now), LeaveOutcome::Gone);
    assert_eq!(registry.announce(ready(incarnation(2), 2), now), AnnounceOutcome::Stale);
    assert_eq!(registry.announce(ready(incarnation(3), 1), now), AnnounceOutcome::Accepted);
    assert_eq!(registry.live().count(), 1);
}

/// Guards against requests to a target that no longer exists, or none to one that does. A network
/// partition delays the announcements of the previous incarnation; they arrive after those of the
/// new one.
#[actix_rt::test]
async fn an_earlier_incarnation_changes_nothing_whatever_its_sequence() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE_LIMIT);
    registry.announce(ready(incarnation(2), 1), now);
    let seen = registry.change_number();
    let delayed = record(incarnation(1), 900, TargetState::Draining);
    assert_eq!(registry.announce(delayed, now), AnnounceOutcome::Stale);
    assert_eq!(registry.announce(ready(Incarnation::UNSTATED, 900), now), AnnounceOutcome::Stale);
    assert_eq!(registry.remove(&id(incarnation(1)), now), LeaveOutcome::Stale);
    assert_eq!(registry.change_number(), seen, "readers receive no change");
    assert_eq!(registry.live().count(), 1);
}

/// Guards against requests to an address that does not answer. Another sender announces itself
/// under the name of a healthy target, with another service or address.
#[actix_rt::test]
async fn an_incarnation_keeps_its_service_and_address() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE_LIMIT);
    registry.announce(ready(incarnation(1), 1), now);
    let elsewhere =
        TargetRecord { address: SocketAddr::from(([10, 0, 0, 9], 9)), ..ready(incarnation(1), 2) };
    assert_eq!(registry.announce(elsewhere, now), AnnounceOutcome::Conflicting);
    let other = TargetRecord {
        service: ServiceName::try_from("other").expect("a valid name"),
        ..ready(incarnation(1), 2)
    };
    assert_eq!(registry.announce(other, now), AnnounceOutcome::Conflicting);
    assert_eq!(registry.announce(ready(incarnation(1), 2), now), AnnounceOutcome::Accepted);
    assert_eq!(registry.live().next().map(|row| row.address), Some(address()));
}

/// Guards against requests that wait for an idle target. What an entry knows of the previous
/// incarnation, its requests, load, failures and weights, must not count for the new one.
#[actix_rt::test]
async fn nothing_is_carried_over_to_a_new_incarnation() {
    let now = Instant::now();
    let mut table = empty_table();
    table.apply_target(0, &status(ready(incarnation(1), 7)), now);
    for _ in 0..4 {
        table.start_attempt(&id(incarnation(1)), now);
    }
    table.record_load(&id(incarnation(1)), 4, now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Full);
    let later = now + Duration::from_secs(2);
    table.apply_target(0, &status(ready(incarnation(2), 1)), later);
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(incarnation(2))));
    // The previous incarnation's requests end; this frees no slot of the new one and does not count
    // as its failure.
    for _ in 0..4 {
        table.start_attempt(&id(incarnation(2)), later);
    }
    for _ in 0..4 {
        assert!(!table.finish_attempt(&id(incarnation(1)), AttemptOutcome::Unreachable, later));
    }
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Full);
    // A load sample of the previous incarnation at the same address arrives late.
    table.finish_attempt(&id(incarnation(2)), AttemptOutcome::Answered, later);
    table.record_load_at(address(), 4, now + Duration::from_secs(1));
    assert_eq!(choose(&table, &[], later), PlacementOutcome::Target(id(incarnation(2))));
}

/// Guards against rejections by an engine that restarted without weights, because an agent's report
/// on its previous incarnation still counts.
#[actix_rt::test]
async fn engine_reports_count_for_their_incarnation_only() {
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
    table.apply_target(0, &status(ready(incarnation(1), 1)), now);
    // The agent observes the restart of the engine before the engine announces itself.
    table.apply_engine(&engine(incarnation(2), Vec::new()), now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::NoTarget);
    let empty = TargetRecord { models: Vec::new(), ..ready(incarnation(2), 1) };
    table.apply_target(0, &status(empty), now);
    table.apply_engine(&engine(incarnation(1), held(1)), now);
    assert_eq!(
        choose(&table, &[], now),
        PlacementOutcome::NoTarget,
        "the previous incarnation's weights do not count"
    );
    table.apply_engine(&engine(incarnation(2), held(1)), now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(incarnation(2))));
}

/// Guards against a target that is never used again. Its clock steps back between two starts, so
/// the later incarnation has the lower number. The target must be unused for a minute at most.
#[actix_rt::test]
async fn a_clock_that_stepped_back_disables_a_target_for_a_minute_at_most() {
    let now = Instant::now();
    let mut registry = TargetRegistry::new(SILENCE_LIMIT);
    let mut table = empty_table();
    registry.announce(ready(incarnation(5), 1), now);
    table.apply_target(0, &registry.targets_since(0, now)[0], now);
    let mut at = now;
    let mut seen = registry.change_number();
    for sequence in 1..61 {
        at += Duration::from_secs(1);
        registry.announce(ready(incarnation(3), sequence), at);
        registry.expire(at);
        for status in registry.targets_since(seen, at) {
            table.apply_target(0, &status, at);
        }
        seen = registry.change_number();
    }
    at += Duration::from_secs(1);
    assert_eq!(registry.announce(ready(incarnation(3), 61), at), AnnounceOutcome::Accepted);
    table.apply_target(0, &registry.targets_since(seen, at)[0], at);
    assert_eq!(choose(&table, &[], at), PlacementOutcome::Target(id(incarnation(3))));
}

/// Guards against an overflow of the clock, which would abort the entry, if a target announces the
/// largest possible cold time.
#[actix_rt::test]
async fn the_largest_cold_time_does_not_overflow() {
    let now = Instant::now();
    let mut table = empty_table();
    let slow = TargetRecord { cold_millis: u64::MAX, ..ready(incarnation(1), 1) };
    table.apply_target(0, &status(slow), now);
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(incarnation(1))));
}

/// A message of a target to a member.
#[derive(Clone, Debug)]
enum TargetMessage {
    Announce(TargetRecord),
    Leave(TargetId),
}

/// Messages of three incarnations of one target: each announces itself twice, and the first two
/// also drain and leave.
fn messages() -> Vec<TargetMessage> {
    let mut messages = Vec::new();
    for number in 1..=3 {
        messages.push(TargetMessage::Announce(ready(incarnation(number), 1)));
        messages.push(TargetMessage::Announce(ready(incarnation(number), 2)));
        if number < 3 {
            messages.push(TargetMessage::Announce(record(
                incarnation(number),
                3,
                TargetState::Draining,
            )));
            messages.push(TargetMessage::Leave(id(incarnation(number))));
        }
    }
    messages
}

/// Messages in any order; for each, which of three members receives it and whether that member
/// restarts before.
fn deliveries() -> impl Strategy<Value = Vec<(TargetMessage, usize, bool)>> {
    let order = Just(messages()).prop_shuffle();
    let count = messages().len();
    let members = proptest::collection::vec(0_usize..3, count);
    let restarts = proptest::collection::vec(proptest::bool::weighted(0.1), count);
    (order, members, restarts).prop_map(|(order, members, restarts)| {
        let receivers = members.into_iter().zip(restarts);
        order
            .into_iter()
            .zip(receivers)
            .map(|(message, (at, restarts))| (message, at, restarts))
            .collect()
    })
}

proptest! {
    /// In whatever order the messages of three incarnations reach three control members, some of
    /// which restart meanwhile, an entry that reads all members has the last incarnation in the
    /// end, ready, and no other.
    #[test]
    fn the_last_incarnation_wins_in_any_order_of_arrival(deliveries in deliveries()) {
        let now = Instant::now();
        let mut members: Vec<TargetRegistry> =
            (0..3).map(|_| TargetRegistry::new(SILENCE_LIMIT)).collect();
        let mut seen = [0; 3];
        let mut table = empty_table();
        for (message, at, restarts) in deliveries {
            if restarts {
                members[at] = TargetRegistry::new(SILENCE_LIMIT);
                seen[at] = 0;
                table.source_restarted(at as u32, now);
            }
            match message {
                TargetMessage::Announce(record) => { members[at].announce(record, now); }
                TargetMessage::Leave(id) => { members[at].remove(&id, now); }
            }
            for gone in members[at].gone_since(seen[at]) {
                table.remove_target(&gone, now);
            }
            for status in members[at].targets_since(seen[at], now) {
                table.apply_target(at as u32, &status, now);
            }
            seen[at] = members[at].change_number();
        }
        prop_assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(incarnation(3))));
        prop_assert!(table.is_ready("i-1"));
    }
}

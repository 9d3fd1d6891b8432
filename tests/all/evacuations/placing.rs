//! Placement at an entry that receives tables late, out of order, or not at all.

use super::zone;
use crate::serving_tables::{id, model, query, record, service, status};
use egretseam_serving::{
    EvacuationView, PlacementOutcome, PlacementPolicy, RequestRate, TargetId, TargetState,
    TargetTable, WithholdReason, ZoneEvacuation,
};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which an entry no longer expects to learn of further targets.
const DISCOVERED_AFTER: Duration = Duration::from_secs(4);

/// An entry with one target in each of the zones `z1` to `z3`.
fn table(now: Instant) -> TargetTable {
    let mut table = TargetTable::new(PlacementPolicy::default(), zone("z1"));
    for host in 1..=3 {
        let mut record = record(host, 1, TargetState::Ready);
        record.zone = zone(&format!("z{host}"));
        table.apply_target(0, &status(record), now);
    }
    table
}

/// A table with rows of a zone, whether it is evacuated, and when that last began.
fn view(revision: u64, rows: &[(&str, bool, u64)]) -> EvacuationView {
    let row = |(name, evacuated, begun): &(&str, bool, u64)| ZoneEvacuation {
        zone: zone(name),
        evacuated: *evacuated,
        begun: *begun,
    };
    EvacuationView { revision, zones: rows.iter().map(row).collect() }
}

/// Targets that a request may be sent to.
fn reachable(table: &TargetTable, tried: &[TargetId], now: Instant) -> Vec<TargetId> {
    let (service, model) = (service(), model());
    let mut found = Vec::new();
    for _ in 0..200 {
        let outcome = table.choose(&query(&service, &model, tried), now);
        if let PlacementOutcome::Target(target) = outcome
            && !found.contains(&target)
        {
            found.push(target);
        }
    }
    found.sort();
    found
}

/// Guards against requests, retries among them, that are sent to an evacuated zone, and against a
/// zone that gets none after its return.
#[actix_rt::test]
async fn an_evacuated_zone_gets_no_request() {
    let now = Instant::now();
    let mut table = table(now);
    let change = table.set_evacuated(view(1, &[("z2", true, 1)]), false, now);
    assert_eq!(change.begun, [zone("z2")]);
    assert_eq!(reachable(&table, &[], now), [id(1), id(3)]);
    assert_eq!(reachable(&table, &[id(1)], now), [id(3)]);
    assert_eq!(reachable(&table, &[id(1), id(3)], now), []);
    let later = now + Duration::from_secs(1);
    let change = table.set_evacuated(view(2, &[("z2", false, 1)]), false, later);
    assert_eq!(change.returned, [zone("z2")]);
    assert_eq!(table.zone_returned_at(&zone("z2")), Some(later));
    assert_eq!(reachable(&table, &[], later), [id(1), id(2), id(3)]);
}

/// Guards against a request that was placed just before the evacuation and is sent afterwards, because
/// a handshake lay in between.
#[actix_rt::test]
async fn a_request_that_was_placed_before_is_withheld() {
    let now = Instant::now();
    let mut table = table(now);
    assert_eq!(table.withheld(&id(2), now), None);
    table.set_evacuated(view(1, &[("z2", true, 1)]), false, now);
    assert_eq!(table.withheld(&id(2), now), Some(WithholdReason::Evacuated));
    assert_eq!(table.withheld(&id(1), now), None);
}

/// Guards against a control member that lags behind and reverts a zone at an entry.
#[actix_rt::test]
async fn a_table_of_a_lower_revision_changes_nothing() {
    let now = Instant::now();
    let mut table = table(now);
    table.set_evacuated(view(3, &[("z2", true, 3)]), true, now);
    for late in [view(2, &[("z2", false, 1)]), view(3, &[]), view(0, &[])] {
        assert!(table.set_evacuated(late, true, now).is_empty());
        assert_eq!(reachable(&table, &[], now), [id(1), id(3)]);
    }
}

/// Guards against an entry that is partitioned through begin, finish and begin and sends to the zone
/// afterwards, and against one that misses an evacuation and does not know that targets may be cold.
#[actix_rt::test]
async fn an_entry_that_was_partitioned_catches_up() {
    let now = Instant::now();
    let mut table = table(now);
    table.set_evacuated(view(0, &[]), true, now);
    table.set_evacuated(view(3, &[("z2", true, 3)]), false, now);
    assert_eq!(reachable(&table, &[], now), [id(1), id(3)]);
    let missed = table.set_evacuated(view(6, &[("z2", true, 5), ("z3", false, 6)]), false, now);
    assert_eq!((missed.begun, missed.returned), (vec![], vec![zone("z3")]));
    assert_eq!(table.zone_returned_at(&zone("z3")), Some(now));
    assert_eq!(table.zone_returned_at(&zone("z2")), None);
}

/// Guards against an entry that has just started and sends to a zone that was evacuated before, and
/// against one that waits for ever, or counts targets as cold that returned before its start.
#[actix_rt::test]
async fn an_entry_that_starts_waits_for_a_confirmed_table() {
    let now = Instant::now();
    let (service, model) = (service(), model());
    let mut waiting = table(now);
    waiting.await_evacuations();
    let later = now + DISCOVERED_AFTER;
    assert_eq!(reachable(&waiting, &[], later), []);
    assert!(waiting.expects_capacity(&query(&service, &model, &[]), later), "requests may wait");
    let unconfirmed = view(4, &[("z1", true, 4), ("z3", false, 2)]);
    waiting.set_evacuated(unconfirmed, false, later);
    assert_eq!(reachable(&waiting, &[], later), []);
    // A confirmed table of a lower revision comes from a member whose leader is behind nobody.
    assert!(waiting.set_evacuated(view(3, &[]), true, later).released);
    assert_eq!(reachable(&waiting, &[], later), [id(2), id(3)]);
    assert_eq!(waiting.zone_returned_at(&zone("z3")), None);

    let mut without_control = table(now);
    without_control.await_evacuations();
    without_control.set_evacuated(view(4, &[("z1", true, 4)]), false, later);
    assert!(without_control.stop_awaiting_evacuations());
    assert!(!without_control.stop_awaiting_evacuations());
    assert_eq!(reachable(&without_control, &[], later), [id(2), id(3)]);
}

/// Guards against requests that wait for capacity, or search for another target, although every zone
/// is evacuated.
#[actix_rt::test]
async fn no_capacity_is_expected_of_evacuated_zones() {
    let now = Instant::now();
    let later = now + DISCOVERED_AFTER;
    let (service, model) = (service(), model());
    let query = query(&service, &model, &[]);
    let mut table = table(now);
    let rate = RequestRate::try_from(5.0).expect("a rate");
    for host in 1..=3 {
        table.record_limit(&id(host), Some(rate), now, now);
    }
    let full = table.paced_room(&query, later).expect("all name limits").rate;
    table.set_evacuated(view(1, &[("z1", true, 1)]), true, now);
    let rest = table.paced_room(&query, later).expect("all name limits").rate;
    assert!(rest < full * 0.7, "{rest} of {full}");
    assert!(table.expects_capacity(&query, later) && table.has_other(&query));
    let all = [("z1", true, 1), ("z2", true, 2), ("z3", true, 3)];
    table.set_evacuated(view(3, &all), true, now);
    assert!(!table.expects_capacity(&query, later) && !table.has_other(&query));
    assert!(table.paced_room(&query, later).is_none());
    assert_eq!(table.choose(&query, later), PlacementOutcome::NoTarget);
}

//! Which parts of prompts are rejected, by the processes that ended under them.

use super::{part, part_ended, served, table_of};
use egretseam_quarantine::{CrashTable, EvidenceRecord, RequestTreatment};
use std::time::Duration;
use tokio::time::Instant;

/// Guards against the rejection of all requests for the part that they share, while two rarer parts
/// end their targets and nothing is answered.
#[test]
fn a_common_part_is_not_rejected_for_two_rare_ones() {
    let now = Instant::now() + Duration::from_secs(60);
    let (common, rare, other) = (1, 2, 3);
    let mut table = table_of(&[], now);
    for _ in 0..40 {
        table.count_answered(&[part(common)]);
    }
    let status = |table: &mut CrashTable, number| table.treatment(&[part(number)], now);
    let rejected = |treatment| matches!(treatment, RequestTreatment::Rejected { .. });
    for (number, with) in [(1, rare), (2, other), (3, rare), (4, other)] {
        let age = 6_000 - 1_000 * number;
        table.apply(&part_ended(common, number, true, age), now);
        table.apply(&part_ended(with, number, true, age), now);
        assert!(!rejected(status(&mut table, common)), "after {number} ends");
    }
    table.apply(&EvidenceRecord { feature: part(common), ..served(0, 500) }, now);
    assert_eq!(status(&mut table, common), RequestTreatment::Normal);
    assert!(rejected(status(&mut table, rare)) && rejected(status(&mut table, other)));
}

/// Guards against the rejection of all requests after kills, the second of which meets the claimed run
/// of a sound one.
#[test]
fn a_common_part_is_not_rejected_for_one_claimed_run_that_meets_a_kill() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut table = table_of(&[], now);
    for _ in 0..40 {
        table.count_answered(&[part(1)]);
    }
    for number in 1..=13 {
        table.apply(&part_ended(1, number, false, 5_000), now);
    }
    table.apply(&part_ended(1, 20, true, 1_000), now);
    let treatment = table.treatment(&[part(1)], now);
    assert!(matches!(treatment, RequestTreatment::Careful { .. }), "{treatment:?}");
}

/// Guards against a common part that ends all targets and is excused by the parts beside it.
#[test]
fn a_common_part_is_rejected_if_all_that_have_it_end_their_targets() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut table = table_of(&[], now);
    for _ in 0..40 {
        table.count_answered(&[part(1)]);
    }
    for number in 1..=3 {
        let age = 6_000 - 1_000 * number;
        table.apply(&part_ended(1, number, true, age), now);
        table.apply(&part_ended(10 + number, number, true, age), now);
    }
    let treatment = table.treatment(&[part(1)], now);
    assert!(matches!(treatment, RequestTreatment::Rejected { .. }), "{treatment:?}");
}

/// Guards against the rejection of all requests of a service for the part that they share, where the
/// entry serves another service too.
#[test]
fn a_part_that_one_of_two_services_shares_is_not_rejected_for_one_claimed_run_that_meets_a_kill() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut table = table_of(&[], now);
    for _ in 0..40 {
        table.count_answered(&[part(1)]);
        table.count_answered(&[part(2)]);
    }
    for number in 1..=13 {
        table.apply(&part_ended(1, number, false, 5_000), now);
    }
    table.apply(&part_ended(1, 20, true, 1_000), now);
    let treatment = table.treatment(&[part(1)], now);
    assert!(matches!(treatment, RequestTreatment::Careful { .. }), "{treatment:?}");
}

/// Guards against the rejection of all requests for the part that they share, where a third part was
/// at as many ends as either of the two that end their targets.
#[test]
fn a_common_part_is_not_rejected_for_two_rare_ones_beside_a_third() {
    let now = Instant::now() + Duration::from_secs(60);
    let (common, rare, other, third) = (1, 2, 3, 4);
    let mut table = table_of(&[], now);
    for _ in 0..40 {
        table.count_answered(&[part(common)]);
    }
    let ends: [(u64, &[u64]); 4] =
        [(1, &[rare]), (2, &[other]), (3, &[rare, third]), (4, &[other, third])];
    for (number, with) in ends {
        let age = 6_000 - 1_000 * number;
        table.apply(&part_ended(common, number, true, age), now);
        for part in with {
            table.apply(&part_ended(*part, number, true, age), now);
        }
    }
    let treatment = table.treatment(&[part(common)], now);
    assert!(matches!(treatment, RequestTreatment::Careful { .. }), "{treatment:?}");
}

/// Guards against the rejection of all requests by an entry that has just started, after a kill whose
/// processes all had the part that they share and one claimed run that meets another kill.
#[test]
fn an_entry_that_knows_no_shares_rejects_no_part_for_a_kill() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut table = table_of(&[], now);
    for number in 1..=13 {
        table.apply(&part_ended(1, number, false, 5_000), now);
    }
    table.apply(&part_ended(1, 20, true, 1_000), now);
    let treatment = table.treatment(&[part(1)], now);
    assert!(matches!(treatment, RequestTreatment::Careful { .. }), "{treatment:?}");
}

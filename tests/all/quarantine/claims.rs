//! Claims of runs, and their releases, at entries and at control.

use super::{part, part_ended, process, table_of};
use egretseam_quarantine::{
    EvidenceLog, EvidenceRecord, FeatureDigest, RequestFate, RequestTreatment,
};
use std::time::Duration;
use tokio::time::Instant;

/// Guards against a claim that keeps all requests with its features waiting though its run will not
/// begin, also if that is heard of before the claim.
#[test]
fn a_released_claim_keeps_no_request_waiting() {
    let now = Instant::now() + Duration::from_secs(60);
    let ends = [part_ended(1, 1, false, 3_000), part_ended(1, 2, false, 2_000)];
    let claim = table_of(&ends, now).claim(&[part(1)], process(3), 7);
    let record = |fate| EvidenceRecord { feature: part(1), fate, age_millis: 0 };
    let claimed = record(RequestFate::Claimed(claim));
    let released = record(RequestFate::Released(claim));
    let may_run = |records: &[EvidenceRecord]| {
        let mut table = table_of(&[&ends[..], records].concat(), now);
        let treatment = table.treatment(&[part(1)], now);
        matches!(treatment, RequestTreatment::Careful { not_before, .. } if not_before <= now)
    };
    assert!(may_run(&[]));
    assert!(!may_run(&[claimed]));
    assert!(may_run(&[claimed, released]));
    assert!(may_run(&[released, claimed]));
}

/// Guards against released claims that leave no room for others, so that nothing is run with care.
#[test]
fn released_claims_leave_room_for_others() {
    let now = Instant::now() + Duration::from_secs(60);
    let features: Vec<FeatureDigest> = (1..=4).map(part).collect();
    let mut table = table_of(&[], now);
    for number in 1..=4 {
        table.apply(&part_ended(number, 1, false, 3_000), now);
        table.apply(&part_ended(number, 2, false, 2_000), now);
    }
    let record = |feature: &FeatureDigest, fate, age_millis| EvidenceRecord {
        feature: *feature,
        fate,
        age_millis,
    };
    for number in 0..300 {
        let claim = table.claim(&features, process(number), number << 20);
        let age = 1_300 - number / 100 * 400;
        for feature in &features {
            table.apply(&record(feature, RequestFate::Claimed(claim), age), now);
            table.apply(&record(feature, RequestFate::Released(claim), age - 300), now);
        }
    }
    let claim = table.claim(&features, process(1), 1);
    for feature in &features {
        table.apply(&record(feature, RequestFate::Claimed(claim), 0), now);
    }
    assert!(table.has_turn(&features, &claim, now));
}

/// Guards against a control member that forgets which processes ended while a hundred entries claim
/// runs and release them.
#[test]
fn claims_and_their_releases_displace_no_end_at_control() {
    let mut now = Instant::now() + Duration::from_secs(60);
    let mut log = EvidenceLog::new(now);
    for number in 1..=13 {
        assert!(log.add(&part_ended(1, number, false, 0), now));
    }
    let table = table_of(&[], now);
    for round in 0..6 {
        now += Duration::from_millis(600);
        for entry in 0..100 {
            let claim = table.claim(&[], process(entry), (round * 100 + entry + 1) << 20);
            for feature in [part(1), part(2)] {
                for fate in [RequestFate::Claimed(claim), RequestFate::Released(claim)] {
                    log.add(&EvidenceRecord { feature, fate, age_millis: 0 }, now);
                }
            }
        }
        log.expire(now);
    }
    let (mut seen, mut ends) = (0, 0);
    loop {
        let (records, last) = log.records_since(seen, now);
        let is_end =
            |record: &&EvidenceRecord| matches!(record.fate, RequestFate::ProcessEnded { .. });
        ends += records.iter().filter(is_end).count();
        if records.is_empty() {
            break;
        }
        seen = last;
    }
    assert_eq!(ends, 13);
}

//! What requests that may end their targets cost an entry.

use super::SlopeRow;
use egretseam_quarantine::{
    CrashTable, EvidenceRecord, FeatureDigest, ProcessDigest, RequestContent, RequestFate,
};
use std::time::Instant;

/// Sizes of bodies in KiB.
const BODY_KIB: [usize; 3] = [1, 16, 64];
/// Numbers of suspects.
const SUSPECTS: [u64; 3] = [16, 128, 1_000];
const ROUNDS: u32 = 2_000;
/// Requests that a target has when it ends.
const REQUESTS_PER_TARGET: u64 = 16;

fn digest(body: &[u8]) -> FeatureDigest {
    FeatureDigest::of_content(&RequestContent {
        organisation: "organisation",
        host: "a.example",
        method: b"POST",
        target: "/path",
        body,
    })
}

fn numbered(number: u64) -> FeatureDigest {
    digest(&number.to_le_bytes())
}

/// Each suspect was at two targets that ended.
fn records(suspects: u64) -> Vec<EvidenceRecord> {
    let ended = |suspect: u64, round: u64| {
        let target = format!("target-{round}-{}", suspect / REQUESTS_PER_TARGET);
        let process = ProcessDigest::of(&target, "1");
        let fate = RequestFate::ProcessEnded { process, isolated: false };
        let age_millis = 500 * (suspect / REQUESTS_PER_TARGET) + 200 * round;
        EvidenceRecord { feature: numbered(suspect), fate, age_millis }
    };
    (0..suspects).flat_map(|suspect| [ended(suspect, 0), ended(suspect, 1)]).collect()
}

/// Time to compute the digest of a request, by the KiB of its body.
pub(super) fn digest_time() -> SlopeRow {
    let point = |kib: usize| {
        let body = vec![7; kib * 1024];
        let begun = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(digest(std::hint::black_box(&body)));
        }
        (kib as f64, begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS))
    };
    let points = BODY_KIB.into_iter().map(point).collect();
    SlopeRow::new("digest of a request, for each KiB of its body", "microseconds", points)
}

/// Time to look up how a request is treated that is not suspect, by suspects.
pub(super) fn treatment_time() -> SlopeRow {
    let point = |suspects: u64| {
        let now = tokio::time::Instant::now();
        let mut table = CrashTable::new(0);
        for record in records(suspects) {
            table.apply(&record, now);
        }
        let other = numbered(u64::MAX);
        let begun = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(table.treatment(&[other], now));
        }
        (suspects as f64, begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS))
    };
    let points = SUSPECTS.into_iter().map(point).collect();
    SlopeRow::new("treatment of another request, for each suspect", "microseconds", points)
}

/// Time to take in one record and decide again for all suspects, by suspects.
pub(super) fn record_time() -> SlopeRow {
    const RECORDS: u32 = 20;
    let point = |suspects: u64| {
        let now = tokio::time::Instant::now();
        let mut table = CrashTable::new(0);
        let records = records(suspects);
        for record in &records {
            table.apply(record, now);
        }
        let begun = Instant::now();
        for record in records.iter().cycle().take(RECORDS as usize) {
            table.apply(record, now);
            std::hint::black_box(table.treatment(&[record.feature], now));
        }
        (suspects as f64, begun.elapsed().as_secs_f64() * 1e6 / f64::from(RECORDS))
    };
    let points = SUSPECTS.into_iter().map(point).collect();
    SlopeRow::new("record taken in, for each suspect", "microseconds", points)
}

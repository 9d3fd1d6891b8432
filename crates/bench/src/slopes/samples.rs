//! What a sample of a target's load costs an entry.

use super::SlopeRow;
use egretseam_proto::{ServiceName, ZoneName};
use egretseam_serving::{
    PlacementPolicy, TargetId, TargetRecord, TargetState, TargetStatus, TargetTable,
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Targets that an entry knows.
const SIZES: [usize; 3] = [100, 300, 1_000];
/// Samples of each target.
const ROUNDS: usize = 200;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 8_000))
}

fn table(size: usize) -> anyhow::Result<TargetTable> {
    let zone = ZoneName::try_from("zone-1")?;
    let mut table = TargetTable::new(PlacementPolicy::default(), zone.clone());
    for number in 0..size {
        let record = TargetRecord {
            id: TargetId::unstated(format!("target-{number}")),
            service: ServiceName::try_from("runners")?,
            address: address(number),
            zone: zone.clone(),
            slots: 8,
            state: TargetState::Ready,
            sequence: 1,
            cold_millis: 0,
            models: Vec::new(),
        };
        let news = TargetStatus { record, silent: false, age_millis: 0 };
        table.apply_target(0, &news, tokio::time::Instant::now());
    }
    Ok(table)
}

/// Time to note one sample, by targets.
pub(super) fn sample_time() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for size in SIZES {
        let mut table = table(size)?;
        let mut at = tokio::time::Instant::now();
        let begun = Instant::now();
        for round in 0..ROUNDS {
            at += Duration::from_millis(100);
            for number in 0..size {
                table.record_load_at(address(number), round as u32 % 9, at);
            }
        }
        let micros = begun.elapsed().as_secs_f64() * 1e6;
        points.push((size as f64, micros / (ROUNDS * size) as f64));
    }
    Ok(SlopeRow::new("sample of load at an entry, for each target", "microseconds", points))
}

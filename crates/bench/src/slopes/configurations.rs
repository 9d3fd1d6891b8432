//! What a serving configuration costs on its way from an operator to the entries.

use super::SlopeRow;
use egretseam_delta::{DocumentHistory, PackedDocument};
use egretseam_platform::PlatformControl;
use egretseam_registrar::ControlDialect;
use egretseam_serving::{ConfigHolder, RouteTable, ServingConfig, encode_config};
use serde_json::json;
use std::time::Instant;

/// Routes of a configuration of 1,700 routes that one change replaces.
const CHANGED: [usize; 3] = [1, 100, 1_700];
/// Routes of a whole configuration.
const SIZES: [usize; 3] = [100, 500, 1_700];
/// Entries in one region, each sent its difference by five control members at the most.
const REGION_ENTRIES: f64 = 10.0;
const MEMBERS: f64 = 5.0;
/// How often a time is measured; the mean is printed.
const REPEATS: u32 = 20;

fn text(version: u64, routes: usize, changed: usize) -> Vec<u8> {
    let route = |number: usize| {
        let timeout = if number < changed { 1_000 + version } else { 1_000 };
        json!({
            "name": format!("branch-{number}"), "host": format!("h{}.example", number % 40),
            "pathPrefix": format!("/branch/{number}/"), "kind": "idempotent",
            "timeoutMs": timeout, "targetLatencyMs": 150, "priority": 1, "service": "orders",
            "maxAttempts": 2, "public": false
        })
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    let services = json!([{"name": "orders", "healthPath": "/healthz", "maxConnections": 100,
                           "protocol": "h1", "tls": false}]);
    json!({"version": version, "routes": routes, "services": services}).to_string().into_bytes()
}

fn encoded(version: u64, routes: usize, changed: usize) -> anyhow::Result<Vec<u8>> {
    let raw = PlatformControl.parse_config(&text(version, routes, changed));
    let config = ServingConfig::try_from(raw.map_err(anyhow::Error::msg)?)?;
    Ok(encode_config(&config))
}

/// Bytes of a whole configuration in the log, by routes.
pub(super) fn whole_bytes() -> anyhow::Result<SlopeRow> {
    let packed = |size| PackedDocument::full(&text(1, size, 0)).size();
    let points = SIZES.iter().map(|size| (*size as f64, packed(*size) as f64));
    Ok(SlopeRow::new("route of a configuration sent whole", "bytes", points.collect()))
}

/// Bytes of a change in the log, by routes that it changes.
pub(super) fn log_bytes() -> anyhow::Result<SlopeRow> {
    let packed = |changed| PackedDocument::delta(&text(2, 1_700, changed), &text(1, 1_700, 0));
    let points = CHANGED.iter().map(|changed| (*changed as f64, packed(*changed).size() as f64));
    Ok(SlopeRow::new("changed route among 1,700, in the log", "bytes", points.collect()))
}

fn difference(changed: usize) -> anyhow::Result<PackedDocument> {
    let [former, newer] = [encoded(1, 1_700, 0)?, encoded(2, 1_700, changed)?];
    let mut history = DocumentHistory::default();
    history.push(1, former.into());
    history.push(2, newer.into());
    history.packed_for(Some(1)).ok_or_else(|| anyhow::anyhow!("no configuration"))
}

/// Bytes for one entry of a change, by routes that it changes.
pub(super) fn difference_bytes() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for changed in CHANGED {
        points.push((changed as f64, difference(changed)?.size() as f64));
    }
    Ok(SlopeRow::new("changed route among 1,700, for each entry", "bytes", points))
}

/// Bytes of a change into a region, by routes that it changes.
pub(super) fn region_bytes() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for changed in CHANGED {
        let bytes = difference(changed)?.size() as f64 * REGION_ENTRIES * MEMBERS;
        points.push((changed as f64, bytes));
    }
    let what = "changed route among 1,700, for a region of 10 entries and 5 members";
    Ok(SlopeRow::new(what, "bytes", points))
}

fn mean_micros(mut run: impl FnMut() -> anyhow::Result<()>) -> anyhow::Result<f64> {
    let begun = Instant::now();
    for _ in 0..REPEATS {
        run()?;
    }
    Ok(begun.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS))
}

/// Time in which a member packs the difference of one changed route, by routes.
pub(super) fn pack_time() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for size in SIZES {
        let [former, newer] = [text(1, size, 0), text(2, size, 1)];
        let time = mean_micros(|| {
            PackedDocument::delta(&newer, &former);
            Ok(())
        })?;
        points.push((size as f64, time));
    }
    Ok(SlopeRow::new("route of a configuration packed as a difference", "microseconds", points))
}

/// Time in which an entry puts a change of one route in force, by routes.
pub(super) fn apply_time() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for size in SIZES {
        let [former, newer] = [encoded(1, size, 0)?, encoded(2, size, 1)?];
        let whole = PackedDocument::full(&former);
        let difference = PackedDocument::delta(&newer, &former);
        let mut spent = 0.0;
        for _ in 0..REPEATS {
            let mut holder = ConfigHolder::default();
            holder.apply(0, 1, &whole)?;
            let begun = Instant::now();
            let config = holder.apply(1, 2, &difference)?;
            let table = config.map(RouteTable::new);
            spent += begun.elapsed().as_secs_f64();
            drop(table);
        }
        points.push((size as f64, spent * 1e6 / f64::from(REPEATS)));
    }
    Ok(SlopeRow::new("route of a configuration put in force", "microseconds", points))
}

//! Chooses a target for each request from the targets' reports, and ends each request as failed.

use egretseam_proto::{
    GroupName, Incarnation, InstanceName, RefusalReason, TargetReport, TargetState, ZoneName,
};
use egretseam_routing::{
    ChoiceQuery, PrefixIndex, PrefixKey, RequestOutcome, RoutingOptions, TargetTable,
};
use std::time::Duration;

fn main() -> anyhow::Result<()> {
    let (group, zone) = (GroupName::try_from("runners")?, ZoneName::try_from("zone-a")?);
    let mut table = TargetTable::new(RoutingOptions::default(), 1);
    for number in 0..4 {
        let report = TargetReport {
            target: InstanceName::try_from(format!("runner-{number}"))?,
            incarnation: Incarnation(1),
            zone: zone.clone(),
            group: group.clone(),
            address: format!("10.0.0.{number}:7103"),
            chunk_address: format!("10.0.0.{number}:7104"),
            state: TargetState::Serving,
            serving: None,
            in_flight: 0,
            engine_load: 0,
            chunks_have: 0,
            chunks_total: 0,
            sequence: 1,
        };
        table.apply_report(report, Duration::ZERO);
    }
    let query = ChoiceQuery {
        group: &group,
        zone: &zone,
        manifest: None,
        exclude: &[],
        max_in_flight: 8,
        prefix: &PrefixKey::default(),
    };
    for request in 0..6 {
        let now = Duration::from_millis(request * 10);
        let choice = table.choose(&query, &PrefixIndex::new(), now)?;
        table.record_start(&choice.target);
        println!("request {request} goes to {}", choice.target);
        let failed = RequestOutcome::Failed(RefusalReason::ConnectFailed);
        table.record_end(&choice.target, failed, now);
    }
    Ok(())
}

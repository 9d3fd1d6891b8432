//! `egretseam targets`: lists the targets that report to one entry.

use super::{
    OperatorArgs,
    output::{print_json, print_table},
};
use clap::Args;

/// List the targets that one entry knows. They are not configured: the entry learns them from their
/// reports.
#[derive(Args, Debug)]
pub(super) struct TargetsCommand {
    #[command(flatten)]
    operator: OperatorArgs,
}

impl TargetsCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let json = self.operator.json;
        self.operator.run(async move |client| {
            let targets = client.targets().await?;
            if json {
                return print_json(&targets);
            }
            let rows: Vec<_> = targets
                .iter()
                .map(|item| {
                    let report = &item.report;
                    let version = report.serving.as_ref();
                    [
                        report.target.to_string(),
                        report.zone.to_string(),
                        report.group.to_string(),
                        format!("{:?}", report.state).to_lowercase(),
                        version.map_or("-".to_owned(), |serving| serving.version.to_string()),
                        report.in_flight.to_string(),
                        format!("{}/{}", report.chunks_have, report.chunks_total),
                        format!("{:.1} s", item.silent_millis as f64 / 1_000.0),
                        if item.ejected { "ejected" } else { "-" }.to_owned(),
                    ]
                })
                .collect();
            print_table(
                [
                    "TARGET",
                    "ZONE",
                    "GROUP",
                    "STATE",
                    "VERSION",
                    "IN FLIGHT",
                    "CHUNKS",
                    "SILENT",
                    "HEALTH",
                ],
                &rows,
            );
            Ok(())
        })
    }
}

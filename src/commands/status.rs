//! `egretseam status`: a summary of the control group, entries and targets.

use super::{
    OperatorArgs,
    output::{print_json, print_table},
};
use clap::Args;
use egretseam_proto::TargetState;

/// Show the control group, the revision that each entry has, and the number of serving targets.
#[derive(Args, Debug)]
pub(super) struct StatusCommand {
    #[command(flatten)]
    operator: OperatorArgs,
}

impl StatusCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let json = self.operator.json;
        self.operator.run(async move |client| {
            let members = client.members().await?;
            let view = client.config().await?;
            // Only a process with an entry lists targets; for others the rest is shown.
            let targets = client.targets().await.ok();
            if json {
                return print_json(&serde_json::json!({
                    "revision": view.revision, "members": members, "entries": view.entries,
                    "targets": targets,
                }));
            }
            println!("revision {}, term {}", view.revision, members.term);
            println!("leader   {}", members.leader.as_deref().unwrap_or("none"));
            let voters = members.members.iter().filter(|member| member.voter).count();
            println!("members  {voters} voters of {}", members.members.len());
            if let Some(targets) = targets {
                let serving =
                    targets.iter().filter(|item| item.report.state == TargetState::Serving);
                println!("targets  {} serving of {}", serving.count(), targets.len());
            }
            for (name, record) in &view.profiles {
                if let Some(reason) = &record.halted {
                    println!("HALTED   profile {name}: {reason}");
                }
            }
            println!();
            let rows: Vec<_> = view
                .entries
                .values()
                .map(|entry| {
                    let watch = members.watchers.iter().find(|watch| watch.entry == entry.name);
                    [
                        entry.name.to_string(),
                        entry.zone.to_string(),
                        entry.caller_address.clone(),
                        watch.map_or("?".to_owned(), |watch| watch.held.to_string()),
                        watch.map_or("?".to_owned(), |watch| {
                            format!("{:.1} s", watch.silent_millis as f64 / 1_000.0)
                        }),
                        if entry.leaving { "leaving" } else { "in service" }.to_owned(),
                    ]
                })
                .collect();
            print_table(["ENTRY", "ZONE", "ADDRESS", "REVISION", "SILENT", "STATE"], &rows);
            Ok(())
        })
    }
}

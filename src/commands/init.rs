//! `egretseam init`: gives a control member's data folder its identity.

use anyhow::{Context, bail};
use clap::Args;
use egretseam_config::DaemonSettings;
use egretseam_replica::{GroupId, LogStore, MemberId};
use std::path::PathBuf;

/// Initialise the data folder of a control member.
///
/// Exactly one member is founded, once; all others join and are then added by `members add`. A
/// member that lost its disk joins anew: it must not come back as its former self, whose
/// promises it no longer knows.
#[derive(Args, Debug)]
pub(super) struct InitCommand {
    /// Settings with a control section.
    #[arg(long)]
    config: PathBuf,
    /// Found a new group with this member as its only one.
    #[arg(long, conflicts_with = "joining", required_unless_present = "joining")]
    founding: bool,
    /// Prepare to join an existing group.
    #[arg(long)]
    joining: bool,
}

impl InitCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let shown = self.config.display();
        let text =
            std::fs::read_to_string(&self.config).with_context(|| format!("read {shown}"))?;
        let settings = DaemonSettings::parse(&text)?;
        let Some(control) = &settings.control else { bail!("{shown} has no control section") };
        let id = MemberId(rand::random());
        let folder = &control.data_folder;
        if self.founding {
            let group = GroupId(rand::random());
            let name = settings.instance.as_str();
            LogStore::bootstrap(folder, id, group, name, &control.peer_address)?;
            println!("founded a group with member {id}");
        } else {
            LogStore::init_joining(folder, id)?;
            println!("member {id} may join; add it with:");
            let (name, address) = (&settings.instance, &control.peer_address);
            println!("  egretseam members add --id {id} --name {name} --address {address}");
        }
        Ok(())
    }
}

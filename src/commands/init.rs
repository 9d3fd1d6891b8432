//! `egretseam init`: writes a member identity into the data folder of a control member.

use anyhow::{Context, bail};
use clap::Args;
use egretseam_config::DaemonSettings;
use egretseam_replica::{GroupId, LogStore, MemberId};
use std::path::PathBuf;

/// Initialise the data folder of a control member.
///
/// Use `--founding` for exactly one member, once; all others use `--joining` and are then added
/// with `members add`. A member that lost its disk joins under a new identity: it must not vote
/// under its previous one, as it no longer knows the votes it gave.
#[derive(Args, Debug)]
pub(super) struct InitCommand {
    /// Settings file with a control section.
    #[arg(long)]
    config: PathBuf,
    /// Bootstrap a new group with this member as the only one.
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
            println!("bootstrapped a group with member {id}");
        } else {
            LogStore::init_joining(folder, id)?;
            println!("member {id} is ready to join; add it with:");
            let (name, address) = (&settings.instance, &control.peer_address);
            println!("  egretseam members add --id {id} --name {name} --address {address}");
        }
        Ok(())
    }
}

//! `egretseam config`: the serving configurations that operators send to control.

mod check;

use clap::{Args, Subcommand};

pub(super) use check::ConfigRejected;

/// Check serving configurations.
#[derive(Args, Debug)]
pub(super) struct ConfigCommand {
    #[command(subcommand)]
    verb: ConfigVerb,
}

#[derive(Debug, Subcommand)]
enum ConfigVerb {
    Check(check::CheckCommand),
}

impl ConfigCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        match self.verb {
            ConfigVerb::Check(command) => command.execute(),
        }
    }
}

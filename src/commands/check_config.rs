//! `egretseam check-config`: prints every invalid field of a settings file, with its JSON path.

use anyhow::{Context, bail};
use clap::Args;
use egretseam_config::DaemonSettings;
use std::path::PathBuf;

/// Check a settings file without starting a process.
#[derive(Args, Debug)]
pub(super) struct CheckConfigCommand {
    /// Settings file.
    file: PathBuf,
}

impl CheckConfigCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let shown = self.file.display();
        let text = std::fs::read_to_string(&self.file).with_context(|| format!("read {shown}"))?;
        match DaemonSettings::parse(&text) {
            Ok(_) => {
                println!("{shown}: valid");
                Ok(())
            }
            Err(error) => {
                for field_error in &error.field_errors {
                    println!("{field_error}");
                }
                bail!("{shown}: {} invalid field(s)", error.field_errors.len())
            }
        }
    }
}

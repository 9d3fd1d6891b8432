//! `egretseam config check`: prints what is wrong with a serving configuration, and what differs
//! from another one.

mod report;

use self::report::CheckReport;
use crate::commands::output::print_json;
use anyhow::{Context, anyhow};
use clap::Args;
use egretseam_config::FleetSettings;
use egretseam_config_check::{DeploymentFacts, check, compare};
use egretseam_platform::PlatformControl;
use egretseam_registrar::ControlDialect;
use egretseam_serving::{RawServing, RetryPolicy};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Check a serving configuration before it is sent: every error, what has no effect, and what
/// contradicts itself.
#[derive(Args, Debug)]
pub(super) struct CheckCommand {
    /// Serving configuration, as it is sent to control.
    file: PathBuf,
    /// Settings file of a process of the fleet, which states the regions of the availability zones
    /// and the retry budget.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Number of entries, which share the retry budget of the settings.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
    entries: u32,
    /// Another configuration, for example the one in force; prints what differs from it.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Print JSON instead of one line for each finding and difference.
    #[arg(long)]
    json: bool,
}

/// The configuration has errors.
#[derive(Debug, Error)]
#[error("{file}: {errors} error(s)")]
pub(in crate::commands) struct ConfigRejected {
    file: String,
    errors: usize,
}

impl CheckCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let report = self.report()?;
        if self.json {
            print_json(&report)?;
        } else {
            print!("{report}");
        }
        match report.errors {
            0 => Ok(()),
            errors => Err(ConfigRejected { file: report.file, errors }.into()),
        }
    }

    fn report(&self) -> anyhow::Result<CheckReport> {
        let file = self.file.display().to_string();
        let content = read(&self.file)?;
        let facts = self.facts()?;
        let other = self.against.as_deref().map(parse_other).transpose()?;
        let config = match PlatformControl.parse_config(&content) {
            Ok(config) => config,
            Err(message) => return Ok(CheckReport::unparsable(file, message)),
        };
        let findings = check(&config, &facts);
        let differences = other.map(|other| compare(&config, &other));
        Ok(CheckReport::new(file, &findings, differences.as_deref(), &PlatformControl))
    }

    fn facts(&self) -> anyhow::Result<DeploymentFacts> {
        let entries = self.entries as usize;
        let Some(path) = &self.settings else {
            return Ok(DeploymentFacts { entries, ..DeploymentFacts::default() });
        };
        let shown = path.display();
        let text = std::fs::read_to_string(path).with_context(|| format!("read {shown}"))?;
        let settings = FleetSettings::parse(&text)
            .with_context(|| format!("{shown} is not a valid settings file"))?;
        let retries = RetryPolicy {
            ratio: settings.retry_ratio,
            minimum: settings.retry_minimum as u32,
            window: settings.retry_window,
        };
        let regions = settings.regions.into_iter().collect();
        Ok(DeploymentFacts { regions: Some(regions), retries: Some(retries), entries })
    }
}

fn read(path: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(path).with_context(|| format!("read {}", path.display()))
}

/// The configuration to compare with; it need not be valid, but readable.
fn parse_other(path: &Path) -> anyhow::Result<RawServing> {
    let parsed = PlatformControl.parse_config(&read(path)?);
    parsed.map_err(|error| anyhow!("{} is not a configuration: {error}", path.display()))
}

//! `egretseam local`: the whole system in one process, as a demonstration and a check.

use super::{output::print_json, serve::start_log};
use clap::Args;
use egretseam_config::{LogFormat, LogSettings};
use egretseam_local::{DrillOptions, DrillReport, run_drill};
use thiserror::Error;

/// Run the whole system on loopback: bring a model to all replicas, change its version under load,
/// stop a target gracefully, and report.
#[derive(Args, Debug)]
pub(super) struct LocalCommand {
    /// Instances that serve the model.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(2..=32))]
    replicas: u8,
    /// Size of the model in MiB.
    #[arg(long, default_value_t = 32, value_parser = clap::value_parser!(u16).range(1..=256))]
    size_mib: u16,
    /// Log filter, such as `debug`; logs go to standard error.
    #[arg(long)]
    log: Option<String>,
    /// Print one JSON object and nothing else on standard output.
    #[arg(long)]
    json: bool,
}

/// The drill found something that must not happen.
#[derive(Debug, Error)]
#[error("{wrong} wrong, {lost} lost, {doubled} doubled, {cut_off} cut off; all must be 0")]
pub(super) struct DrillFailure {
    wrong: u64,
    lost: u64,
    doubled: u64,
    cut_off: u64,
}

impl LocalCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let options = DrillOptions {
            replicas: usize::from(self.replicas),
            size_mib: usize::from(self.size_mib),
            ..DrillOptions::default()
        };
        if let Some(filter) = &self.log {
            start_log(&LogSettings { format: LogFormat::Human, filter: filter.clone() })?;
        }
        let report = run_drill(&options, &|step| eprintln!("{step} ..."))?;
        if self.json {
            print_json(&report)?;
        } else {
            print_report(&report);
        }
        if report.is_clean() {
            return Ok(());
        }
        let DrillReport { wrong, lost, doubled, cut_off, .. } = report;
        Err(DrillFailure { wrong, lost, doubled, cut_off }.into())
    }
}

fn print_report(report: &DrillReport) {
    println!("replicas serving             {}", report.replicas);
    println!("time to all of them          {:.2} s", report.time_to_n_seconds);
    println!("  least possible             {:.2} s", report.lower_bound_seconds);
    println!("copies from the origin       {:.2}", report.origin_copies);
    println!("change of version under load {:.2} s", report.change_seconds);
    println!("  copies from the origin     {:.2}", report.change_origin_copies);
    println!("requests                     {}", report.requests);
    println!("  answered whole and right   {}", report.answered);
    println!("  refused as not run         {}", report.not_run);
    println!("  may have run               {}", report.may_have_run);
    println!("  sent to a further address  {}", report.retried);
    println!("  wrong                      {}", report.wrong);
    println!("  lost                       {}", report.lost);
    println!("  doubled                    {}", report.doubled);
    println!("  cut off                    {}", report.cut_off);
}

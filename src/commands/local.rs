//! `egretseam local`: runs the whole system in one process, as a demonstration and a check.

use super::{output::print_json, serve::init_log};
use clap::Args;
use egretseam_config::{LogFormat, LogSettings};
use egretseam_local::{DrillOptions, DrillReport, run_drill};
use thiserror::Error;

/// Run the whole system on loopback: distribute a model to all replicas, change its version under
/// load, stop a target gracefully, and print a report.
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

/// The drill found requests with outcomes that must not occur.
#[derive(Debug, Error)]
#[error(
    "requests: {wrong} with a wrong response, {lost} without a response, {doubled} executed twice or \
     with a false verdict, {cut_off} with a truncated response; expected 0 of each"
)]
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
            init_log(&LogSettings { format: LogFormat::Human, filter: filter.clone() })?;
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
    println!("time until all serve         {:.2} s", report.time_to_n_seconds);
    println!("  lower bound                {:.2} s", report.lower_bound_seconds);
    println!("copies from the origin       {:.2}", report.origin_copies);
    println!("change of version under load {:.2} s", report.change_seconds);
    println!("  copies from the origin     {:.2}", report.change_origin_copies);
    println!("requests                     {}", report.requests);
    println!("  complete, correct response {}", report.answered);
    println!("  rejected, not executed     {}", report.not_run);
    println!("  may have been executed     {}", report.may_have_run);
    println!("  retried at another address {}", report.retried);
    println!("  wrong response             {}", report.wrong);
    println!("  no response                {}", report.lost);
    println!("  run twice or false verdict {}", report.doubled);
    println!("  truncated response         {}", report.cut_off);
}

//! The `egretseam` program.

use clap::Parser;
use egretseam::commands::EgretseamCommand;
use std::process::ExitCode;

fn main() -> ExitCode {
    EgretseamCommand::parse().execute()
}

//! The verbs, and what they share: exit codes, logs, the operator's client.

mod check_config;
mod fleet;
mod init;
mod local;
mod manifest;
mod members;
mod organisation;
mod output;
mod profile;
mod serve;
mod service;
mod status;
mod targets;

use clap::{Args, Parser, Subcommand};
use egretseam_http::SecretToken;
use egretseam_operator::{OperatorClient, OperatorError};
use std::{path::PathBuf, process::ExitCode};

/// Exit codes. Scripts may rely on them.
pub mod exit {
    /// Done.
    pub const DONE: u8 = 0;
    /// Failed for a reason of this machine: a file, an address, a bad argument.
    pub const FAILED: u8 = 1;
    /// The command line could not be parsed (set by the argument parser).
    pub const USAGE: u8 = 2;
    /// Refused for good: a rule, a missing thing, a wrong token.
    pub const REJECTED: u8 = 3;
    /// Someone else changed the thing first.
    pub const CONFLICT: u8 = 4;
    /// Nobody knows whether it was done.
    pub const UNKNOWN: u8 = 5;
    /// Not done, because no quorum could be reached; may be tried again.
    pub const UNAVAILABLE: u8 = 6;
    /// The drill found something that must not happen.
    pub const DRILL_FAILED: u8 = 7;
}

/// Brings model weights to many instances, whole, and gives every live request one answer.
#[derive(Debug, Parser)]
#[command(name = "egretseam", version, about)]
pub struct EgretseamCommand {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    Serve(serve::ServeCommand),
    Fleet(fleet::FleetCommand),
    CheckConfig(check_config::CheckConfigCommand),
    Init(init::InitCommand),
    Local(local::LocalCommand),
    Profile(profile::ProfileCommand),
    Service(service::ServiceCommand),
    Organisation(organisation::OrganisationCommand),
    Targets(targets::TargetsCommand),
    Members(members::MembersCommand),
    Status(status::StatusCommand),
    Manifest(manifest::ManifestCommand),
}

impl EgretseamCommand {
    /// Carries the command out; errors go to standard error, one line each.
    pub fn execute(self) -> ExitCode {
        let result = match self.verb {
            Verb::Serve(command) => command.execute(),
            Verb::Fleet(command) => command.execute(),
            Verb::CheckConfig(command) => command.execute(),
            Verb::Init(command) => command.execute(),
            Verb::Local(command) => command.execute(),
            Verb::Profile(command) => command.execute(),
            Verb::Service(command) => command.execute(),
            Verb::Organisation(command) => command.execute(),
            Verb::Targets(command) => command.execute(),
            Verb::Members(command) => command.execute(),
            Verb::Status(command) => command.execute(),
            Verb::Manifest(command) => command.execute(),
        };
        match result {
            Ok(()) => ExitCode::from(exit::DONE),
            Err(error) => {
                eprintln!("egretseam: {error:#}");
                ExitCode::from(exit_code(&error))
            }
        }
    }
}

fn exit_code(error: &anyhow::Error) -> u8 {
    if error.downcast_ref::<local::DrillFailure>().is_some() {
        return exit::DRILL_FAILED;
    }
    match error.downcast_ref::<OperatorError>() {
        Some(OperatorError::Conflict { .. }) => exit::CONFLICT,
        Some(OperatorError::Rejected(_) | OperatorError::Unauthorized) => exit::REJECTED,
        Some(OperatorError::Unknown(_)) => exit::UNKNOWN,
        Some(OperatorError::NotExecuted(_)) => exit::UNAVAILABLE,
        None => exit::FAILED,
    }
}

/// Where and as whom an operator works.
#[derive(Args, Clone, Debug)]
struct OperatorArgs {
    /// `host:port` of any process's operators' listener.
    #[arg(long, env = "EGRETSEAM_OPERATOR", global = true, default_value = "127.0.0.1:7100")]
    operator: String,
    /// File with the operator token.
    #[arg(long, env = "EGRETSEAM_TOKEN_FILE", global = true, default_value = "operator.token")]
    token_file: PathBuf,
    /// Name that stands in the history of changes.
    #[arg(long, env = "USER", global = true, default_value = "operator")]
    actor: String,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    json: bool,
}

impl OperatorArgs {
    fn client(&self) -> anyhow::Result<OperatorClient> {
        let token = SecretToken::read(&self.token_file)?;
        Ok(OperatorClient::new(&self.operator, token, &self.actor))
    }

    /// Runs an operator's task on a runtime of its own.
    fn run<F, Fut>(&self, task: F) -> anyhow::Result<()>
    where
        F: FnOnce(OperatorClient) -> Fut,
        Fut: Future<Output = anyhow::Result<()>>,
    {
        actix_rt::System::new().block_on(async { task(self.client()?).await })
    }
}

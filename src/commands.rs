//! The subcommands and what they share: exit codes and the operators' client.

mod check_config;
mod config;
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
    /// Success.
    pub const DONE: u8 = 0;
    /// Failed for a local reason: a file, an address, an invalid argument.
    pub const FAILED: u8 = 1;
    /// The command line could not be parsed (set by the argument parser).
    pub const USAGE: u8 = 2;
    /// Rejected, and a retry does not help: a rule is violated, the item does not exist, the token
    /// is wrong, or a checked configuration has errors.
    pub const REJECTED: u8 = 3;
    /// The item was changed meanwhile.
    pub const CONFLICT: u8 = 4;
    /// It is unknown whether the change was made.
    pub const UNKNOWN: u8 = 5;
    /// Not executed, for example because there is no quorum; may be retried.
    pub const UNAVAILABLE: u8 = 6;
    /// The drill found requests with a wrong, truncated or missing response, that were executed
    /// twice, or that got a false verdict.
    pub const DRILL_FAILED: u8 = 7;
}

/// Distributes complete model weights to many instances and gives every live request one response.
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
    Config(config::ConfigCommand),
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
    /// Executes the command and prints an error to standard error, on one line.
    pub fn execute(self) -> ExitCode {
        let result = match self.verb {
            Verb::Serve(command) => command.execute(),
            Verb::Fleet(command) => command.execute(),
            Verb::CheckConfig(command) => command.execute(),
            Verb::Config(command) => command.execute(),
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
    if error.downcast_ref::<config::ConfigRejected>().is_some() {
        return exit::REJECTED;
    }
    match error.downcast_ref::<OperatorError>() {
        Some(OperatorError::Conflict { .. }) => exit::CONFLICT,
        Some(OperatorError::Rejected(_) | OperatorError::Unauthorized) => exit::REJECTED,
        Some(OperatorError::Unknown(_)) => exit::UNKNOWN,
        Some(OperatorError::NotExecuted(_)) => exit::UNAVAILABLE,
        None => exit::FAILED,
    }
}

/// Address, token and name with which an operator connects.
#[derive(Args, Clone, Debug)]
struct OperatorArgs {
    /// `host:port` of the operators' listener of any process.
    #[arg(long, env = "EGRETSEAM_OPERATOR", global = true, default_value = "127.0.0.1:7100")]
    operator: String,
    /// File with the operator token.
    #[arg(long, env = "EGRETSEAM_TOKEN_FILE", global = true, default_value = "operator.token")]
    token_file: PathBuf,
    /// Name to record in the history of changes.
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

    /// Runs `task` with a client on a new runtime.
    fn run<F, Fut>(&self, task: F) -> anyhow::Result<()>
    where
        F: FnOnce(OperatorClient) -> Fut,
        Fut: Future<Output = anyhow::Result<()>>,
    {
        actix_rt::System::new().block_on(async { task(self.client()?).await })
    }
}
